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
	v, err := json.Marshal(b)
	if err != nil {
		return nil // no field of it can fail
	}
	return v
}

// ReadBox reads a box's value. The error says what was expected.
func ReadBox(v []byte) (b Box, err error) {
	d := json.NewDecoder(strings.NewReader(string(v)))
	if err := d.Decode(&b); err != nil {
		return b, fmt.Errorf("not a box: %w", err)
	}
	switch {
	case b.Version != Version:
		return b, fmt.Errorf("version %d is not known, %d is expected", b.Version, Version)
	case b.State != "ready" && b.State != "draining":
		return b, fmt.Errorf("state %q: ready or draining is expected", b.State)
	case b.Cell < 0 || b.Weight < 0:
		return b, fmt.Errorf("cell and weight of 0 or more are expected")
	}
	if _, _, err := net.SplitHostPort(b.Address); err != nil {
		return b, fmt.Errorf("address %q: host:port is expected", b.Address)
	}
	return b, nil
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
	v, err := json.Marshal(m)
	if err != nil {
		return nil // no field of it can fail
	}
	return v
}

// ReadManager reads a manager's value. One that cannot be read counts as a manager all the same, to which no
// viewer is sent.
func DecodeManager(v []byte) (m Manager, err error) {
	if err := json.Unmarshal(v, &m); err != nil {
		return Manager{}, fmt.Errorf("not a session manager: %w", err)
	}
	if m.Version != Version {
		return Manager{}, fmt.Errorf("version %d is not known, %d is expected", m.Version, Version)
	}
	return m, nil
}
