package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	"pierlink/internal/platform/feed"
	"pierlink/internal/start"
)

// Given is what a session manager is told at its start.
type Config struct {
	Name, Listen, Bus string
	Seed              uint64
	Cores             float64
	MemoryBytes       int64 // bytes
	Sockets           int
	Settings          *start.Told
	KnownEvents       []feed.Event
}

// Read reads the platform's configuration. An error names the key.
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
		return nil, fmt.Errorf("seed: 16 hex digits are expected, not %.20q", raw.Seed)
	}
	for key, addr := range map[string]string{"listen": config.Listen, "bus": config.Bus} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("%s: address:port is expected, not %.40q", key, addr)
		}
	}
	if config.Cores <= 0 || config.MemoryBytes <= 0 || config.Sockets < minSockets {
		return nil, fmt.Errorf("limits: cores and memory_mb over 0 and sockets of %d or more are expected, not %v, %v and %d",
			minSockets, config.Cores, raw.Limits.MemoryMB, config.Sockets)
	}
	if config.Settings, err = start.Read(raw.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, patience := range config.Settings.Patience {
		if patience <= 0 {
			return nil, fmt.Errorf("settings: classes[%d].giveUp: a time over 0 is expected", i)
		}
	}
	if config.Settings.Connect <= 0 || config.Settings.Idle <= 0 {
		return nil, fmt.Errorf("settings: limits.connectTimeout and limits.connIdle: times over 0 are expected")
	}
	if config.KnownEvents, err = feed.ParseEvents(raw.Known, config.Settings.Zones, config.Settings.Kinds); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return config, nil
}
