package registry

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"
)

// Version is the one that values are written in. A value of another version is not understood.
const Version = 1

// Prefixes of the keys. A box's key is its name behind the first, a manager's behind the second.
const (
	BoxesPrefix    = "/pierlink/boxes/"
	ManagersPrefix = "/pierlink/managers/"
	MarkKey        = "/pierlink/history"
)

// Box is the value of a box's key.
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

// Value writes a box.
func (b Box) Value() []byte {
	b.Version = Version
	encoded, err := json.Marshal(b)
	if err != nil {
		return nil // no field of it can fail
	}
	return encoded
}

// ReadBox reads a box's value. The error says what was expected.
func ReadBox(value []byte) (box Box, err error) {
	decoder := json.NewDecoder(strings.NewReader(string(value)))
	if err := decoder.Decode(&box); err != nil {
		return box, fmt.Errorf("not a box: %w", err)
	}
	switch {
	case box.Version != Version:
		return box, fmt.Errorf("version %d is not known, %d is expected", box.Version, Version)
	case box.State != "ready" && box.State != "draining":
		return box, fmt.Errorf("state %q: ready or draining is expected", box.State)
	case box.Cell < 0 || box.Weight < 0:
		return box, fmt.Errorf("cell and weight of 0 or more are expected")
	}
	if _, _, err := net.SplitHostPort(box.Address); err != nil {
		return box, fmt.Errorf("address %q: host:port is expected", box.Address)
	}
	return box, nil
}

// Manager is the value of a session manager's key.
type Manager struct {
	Version int    `json:"version"`
	Address string `json:"address"`          // where players reach it; empty while it does not listen
	Secure  string `json:"secure,omitempty"` // its door under TLS, if it has one
	State   string `json:"state"`            // starting, ready, draining
}

// Value writes a manager.
func (m Manager) Value() []byte {
	m.Version = Version
	encoded, err := json.Marshal(m)
	if err != nil {
		return nil // no field of it can fail
	}
	return encoded
}

// ReadManager reads a manager's value. One that cannot be read counts as a manager all the same, to which no
// viewer is sent.
func DecodeManager(value []byte) (manager Manager, err error) {
	if err := json.Unmarshal(value, &manager); err != nil {
		return Manager{}, fmt.Errorf("not a session manager: %w", err)
	}
	if manager.Version != Version {
		return Manager{}, fmt.Errorf("version %d is not known, %d is expected", manager.Version, Version)
	}
	return manager, nil
}
