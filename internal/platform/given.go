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
type Given struct {
	Name, Listen, Bus string
	Seed              uint64
	Cores             float64
	Memory            int64 // bytes
	Sockets           int
	Told              *start.Told
	Known             []feed.Event
}

// Read reads the platform's configuration. An error names the key.
func Read(text []byte) (*Given, error) {
	var w struct {
		Name, Listen, Seed, Bus string
		Limits                  struct {
			Cores    float64
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, err
	}
	g := &Given{Name: w.Name, Listen: w.Listen, Bus: w.Bus, Cores: w.Limits.Cores, Memory: int64(w.Limits.MemoryMB * (1 << 20)),
		Sockets: w.Limits.Sockets}
	var err error
	if g.Seed, err = strconv.ParseUint(w.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: 16 hex digits are expected, not %.20q", w.Seed)
	}
	for key, addr := range map[string]string{"listen": g.Listen, "bus": g.Bus} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("%s: address:port is expected, not %.40q", key, addr)
		}
	}
	if g.Cores <= 0 || g.Memory <= 0 || g.Sockets < leastSockets {
		return nil, fmt.Errorf("limits: cores and memory_mb over 0 and sockets of %d or more are expected, not %v, %v and %d",
			leastSockets, g.Cores, w.Limits.MemoryMB, g.Sockets)
	}
	if g.Told, err = start.Read(w.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, p := range g.Told.Patience {
		if p <= 0 {
			return nil, fmt.Errorf("settings: classes[%d].giveUp: a time over 0 is expected", i)
		}
	}
	if g.Told.Connect <= 0 || g.Told.Idle <= 0 {
		return nil, fmt.Errorf("settings: limits.connectTimeout and limits.connIdle: times over 0 are expected")
	}
	if g.Known, err = feed.Known(w.Known, g.Told.Zones, g.Told.Kinds); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return g, nil
}
