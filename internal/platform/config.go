package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"pierlink/internal/platform/feed"
	"pierlink/internal/start"
)

// Config is the configuration of a session manager.
type Config struct {
	Name, Listen, Bus string // Listen and Bus are addresses of the form address:port
	Seed              uint64 // of session IDs and jitter, and of the decision module
	Cores             float64
	MemoryBytes       int64
	Sockets           int             // limit of open descriptors
	Settings          *start.Settings // the fleet's settings
	KnownEvents       []feed.Event    // events of the server list up to the offset from which the bus is read
}

// ParseConfig parses and checks the platform's configuration. An error names the key that it concerns.
func ParseConfig(text []byte) (*Config, error) {
	var raw struct {
		Name, Listen, Seed, Bus string
		Limits                  struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	config := &Config{Name: raw.Name, Listen: raw.Listen, Bus: raw.Bus, Cores: raw.Limits.Cores, MemoryBytes: int64(raw.Limits.MemoryMB * (1 << 20)),
		Sockets: raw.Limits.Sockets}
	var err error
	if config.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: expected 16 hex digits, got %.20q", raw.Seed)
	}
	for key, addr := range map[string]string{"listen": config.Listen, "bus": config.Bus} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("%s: expected address:port, got %.40q", key, addr)
		}
	}
	if config.Cores <= 0 || config.MemoryBytes <= 0 || config.Sockets < minSockets {
		return nil, fmt.Errorf("limits: expected cores and memory_mb above 0 and at least %d sockets, got %v, %v and %d",
			minSockets, config.Cores, raw.Limits.MemoryMB, config.Sockets)
	}
	if config.Settings, err = start.Read(raw.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, abandonAfter := range config.Settings.AbandonAfter {
		if abandonAfter <= 0 {
			return nil, fmt.Errorf("settings: classes[%d].giveUp: expected a time above 0", i)
		}
	}
	if config.Settings.ConnectTimeout <= 0 || config.Settings.IdleTimeout <= 0 {
		return nil, fmt.Errorf("settings: limits.connectTimeout and limits.connIdle: expected times above 0")
	}
	if config.KnownEvents, err = feed.ParseEvents(raw.Known, config.Settings.Zones, config.Settings.Kinds); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return config, nil
}
