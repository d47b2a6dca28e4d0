package registry

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

// Version is the format version of the values. Values of any other version are rejected.
const Version = 1

// Keys of the registry. The key of a box or a manager is its prefix followed by its name.
const (
	BoxesPrefix    = "/pierlink/boxes/"
	ManagersPrefix = "/pierlink/managers/"
	HistoryKey     = "/pierlink/history" // identifies the history of the registry
)

// Box is the value stored under the key of a box.
type Box struct {
	Version int       `json:"version"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	Rack    string    `json:"rack"`
	Cell    int       `json:"cell"`
	Kind    string    `json:"kind"`
	Weight  float64   `json:"weight"`
	Started time.Time `json:"started"`
	State   string    `json:"state"` // ready or draining
}

// Encode encodes a box as JSON, with the current version.
func (b Box) Encode() []byte {
	b.Version = Version
	encoded, err := json.Marshal(b)
	if err != nil {
		return nil // unreachable: every field can be encoded
	}
	return encoded
}

// DecodeBox decodes and validates the value of a box. The error states what was expected.
func DecodeBox(value []byte) (box Box, err error) {
	decoder := json.NewDecoder(strings.NewReader(string(value)))
	if err := decoder.Decode(&box); err != nil {
		return box, fmt.Errorf("invalid value of a box: %w", err)
	}
	switch {
	case box.Version != Version:
		return box, fmt.Errorf("unknown version %d, expected %d", box.Version, Version)
	case box.State != "ready" && box.State != "draining":
		return box, fmt.Errorf("state %q: expected ready or draining", box.State)
	case box.Cell < 0 || box.Weight < 0:
		return box, fmt.Errorf("cell and weight must not be negative")
	}
	if _, _, err := net.SplitHostPort(box.Address); err != nil {
		return box, fmt.Errorf("address %q: expected host:port", box.Address)
	}
	return box, nil
}

// Manager is the value stored under the key of a session manager.
type Manager struct {
	Version    int    `json:"version"`
	Address    string `json:"address"`          // host:port for players; empty while it does not listen
	TLSAddress string `json:"secure,omitempty"` // host:port for players over TLS, if enabled
	State      string `json:"state"`            // starting, ready, draining
}

// Encode encodes a manager as JSON, with the current version.
func (m Manager) Encode() []byte {
	m.Version = Version
	encoded, err := json.Marshal(m)
	if err != nil {
		return nil // unreachable: every field can be encoded
	}
	return encoded
}

// DecodeManager decodes the value of a manager. A manager whose value is invalid still counts as a manager, but no
// viewer is redirected to it.
func DecodeManager(value []byte) (manager Manager, err error) {
	if err := json.Unmarshal(value, &manager); err != nil {
		return Manager{}, fmt.Errorf("invalid value of a session manager: %w", err)
	}
	if manager.Version != Version {
		return Manager{}, fmt.Errorf("unknown version %d, expected %d", manager.Version, Version)
	}
	return manager, nil
}
