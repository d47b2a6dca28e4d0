// Package feed is the codec of the platform's event bus, and the place in it: what is read once is not given again,
// and nothing is passed over.
package feed

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"pierlink/session"
)

const (
	longest = 1 << 20 // of a frame: a list of 38,000 servers
	record  = 27
	head    = 9 // number and kind, counted in a frame's length
)

// Server is what an event tells of one.
type Server struct {
	ID               uint32
	Address          string
	Zone, Kind, Cell int
	State            session.ServerState
	Weight           float64
	Started          session.Time // Unix microseconds, 0 for long ago
}

// Name is the id as text has it.
func Name(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// ID reads such a name.
func ID(name string) (uint32, error) {
	hex, ok := strings.CutPrefix(name, "s-")
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("server id %.20q", name)
	}
	return uint32(n), nil
}

// Event is one change of the list.
type Event struct {
	Number  uint64
	Whole   bool
	Servers []Server
}

// Known reads the events that a configuration holds. The names of zones and kinds are places in the lists given.
func Known(text []byte, zones, kinds []string) ([]Event, error) {
	var k struct {
		Offset uint64
		Batch  []struct {
			Offset   uint64
			Topology struct {
				All     bool
				Targets []struct {
					UID, Endpoint, AZ, Model, State string
					Cell                            int     `json:"pod_group"`
					Weight                          float64 `json:"capacity_hint"`
					BootMS                          int64   `json:"boot_ms"`
				}
			}
		}
	}
	if err := json.Unmarshal(text, &k); err != nil {
		return nil, err
	}
	var all []Event
	for _, b := range k.Batch {
		e := Event{Number: b.Offset, Whole: b.Topology.All}
		for _, x := range b.Topology.Targets {
			id, err := ID(x.UID)
			if err != nil {
				return nil, err
			}
			if _, err := netip.ParseAddrPort(x.Endpoint); err != nil {
				return nil, err
			}
			s := Server{ID: id, Address: x.Endpoint, Zone: slices.Index(zones, x.AZ), Kind: slices.Index(kinds, x.Model),
				Cell: x.Cell, Weight: x.Weight, Started: x.BootMS * 1000}
			switch x.State {
			case "Ready":
				s.State = session.Ready
			case "Terminating":
				s.State = session.Draining
			case "Gone":
				s.State = session.Gone
			default:
				return nil, fmt.Errorf("server %s: state %.20q", x.UID, x.State)
			}
			if s.State != session.Gone && (s.Zone < 0 || s.Kind < 0) {
				return nil, fmt.Errorf("server %s: zone %.20q or kind %.20q is not in the settings", x.UID, x.AZ, x.Model)
			}
			s.Zone, s.Kind = max(s.Zone, 0), max(s.Kind, 0)
			e.Servers = append(e.Servers, s)
		}
		all = append(all, e)
	}
	if n := len(all); n > 0 && all[n-1].Number != k.Offset {
		return nil, fmt.Errorf("the last event is %d, not %d", all[n-1].Number, k.Offset)
	}
	return all, nil
}

// Reader reads what one connection to the bus brings. Last is the number of the last event had.
type Reader struct {
	Last         uint64
	Zones, Kinds int // how many there are
	rest         []byte
}

// Hello is what is written first on a connection.
func (r *Reader) Hello() []byte {
	r.rest = nil
	return binary.BigEndian.AppendUint64(nil, r.Last)
}

// ErrGap is an event that does not follow the last one.
var ErrGap = errors.New("events are missing")

// Feed reads on. After an error the connection is of no more use; what was told till then counts.
func (r *Reader) Feed(b []byte, each func(Event)) error {
	r.rest = append(r.rest, b...)
	for len(r.rest) >= 4 {
		n := int(binary.BigEndian.Uint32(r.rest))
		if n < head || n > longest || (n-head)%record != 0 {
			return fmt.Errorf("frame of %d bytes", n)
		}
		if len(r.rest) < 4+n {
			break
		}
		if err := r.frame(r.rest[4:4+n], each); err != nil {
			return err
		}
		r.rest = r.rest[4+n:]
	}
	if len(r.rest) == 0 {
		r.rest = nil
	}
	return nil
}

func (r *Reader) frame(b []byte, each func(Event)) error {
	e := Event{Number: binary.BigEndian.Uint64(b), Whole: b[8] == 1}
	if b[8] > 2 || b[8] == 0 && len(b) > head {
		return fmt.Errorf("frame of kind %d", b[8])
	}
	if b[8] == 0 || e.Number <= r.Last {
		if b[8] == 0 && e.Number > r.Last {
			return ErrGap
		}
		return nil
	}
	if e.Number != r.Last+1 && !e.Whole {
		return ErrGap
	}
	for b = b[head:]; len(b) > 0; b = b[record:] {
		s := Server{ID: binary.BigEndian.Uint32(b), Zone: int(b[11]), Kind: int(b[12]),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:])).String(),
			Cell:    int(binary.BigEndian.Uint16(b[13:])), Weight: float64(binary.BigEndian.Uint32(b[15:])) / 1000}
		ms := binary.BigEndian.Uint64(b[19:])
		if b[10] > 2 || s.Zone >= r.Zones || s.Kind >= r.Kinds || ms > math.MaxInt64/1000 {
			return fmt.Errorf("server %s: state %d, zone %d, kind %d, start %d", Name(s.ID), b[10], s.Zone, s.Kind, ms)
		}
		s.State, s.Started = [...]session.ServerState{session.Ready, session.Draining, session.Gone}[b[10]], session.Time(ms)*1000
		e.Servers = append(e.Servers, s)
	}
	r.Last = e.Number
	each(e)
	return nil
}
