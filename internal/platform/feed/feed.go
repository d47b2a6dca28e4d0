// Package feed decodes the events of the platform's event bus and tracks the offset of the last one: no event is
// delivered twice, and a gap between events is an error.
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
	maxFrameLength = 1 << 20 // in bytes; enough for a list of 38,000 servers
	recordLength   = 27      // bytes per server
	headerLength   = 9       // bytes of offset and kind, which count towards the frame's length
)

// Server is the entry of a server in an event.
type Server struct {
	ID               uint32
	Address          string // address:port
	Zone, Kind, Cell int    // indexes in the settings' lists, and the number of the cell
	State            session.ServerState
	Weight           float64      // capacity relative to other servers
	Started          session.Time // Unix time in microseconds, 0 for long ago
}

// ServerName returns the textual form of a server ID.
func ServerName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// ParseServerID parses the textual form of a server ID.
func ParseServerID(name string) (uint32, error) {
	hex, ok := strings.CutPrefix(name, "s-")
	id, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("server ID %.20q: expected s- and 8 hex digits", name)
	}
	return uint32(id), nil
}

// Event is a change of the server list.
type Event struct {
	Offset   uint64 // position on the bus
	Snapshot bool   // the event holds the complete list; servers it does not name are gone
	Servers  []Server
}

// ParseEvents decodes the events in a configuration. Zones and kinds are given by name; they are stored as indexes in
// the lists zones and kinds.
func ParseEvents(text []byte, zones, kinds []string) ([]Event, error) {
	var decoded struct {
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
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, err
	}
	var events []Event
	for _, entry := range decoded.Batch {
		event := Event{Offset: entry.Offset, Snapshot: entry.Topology.All}
		for _, target := range entry.Topology.Targets {
			id, err := ParseServerID(target.UID)
			if err != nil {
				return nil, err
			}
			if _, err := netip.ParseAddrPort(target.Endpoint); err != nil {
				return nil, err
			}
			server := Server{ID: id, Address: target.Endpoint, Zone: slices.Index(zones, target.AZ), Kind: slices.Index(kinds, target.Model),
				Cell: target.Cell, Weight: target.Weight, Started: target.BootMS * 1000}
			switch target.State {
			case "Ready":
				server.State = session.Ready
			case "Terminating":
				server.State = session.Draining
			case "Gone":
				server.State = session.Gone
			default:
				return nil, fmt.Errorf("server %s: unknown state %.20q", target.UID, target.State)
			}
			if server.State != session.Gone && (server.Zone < 0 || server.Kind < 0) {
				return nil, fmt.Errorf("server %s: zone %.20q or kind %.20q is not in the settings", target.UID, target.AZ, target.Model)
			}
			server.Zone, server.Kind = max(server.Zone, 0), max(server.Kind, 0)
			event.Servers = append(event.Servers, server)
		}
		events = append(events, event)
	}
	if count := len(events); count > 0 && events[count-1].Offset != decoded.Offset {
		return nil, fmt.Errorf("last event has offset %d, expected %d", events[count-1].Offset, decoded.Offset)
	}
	return events, nil
}

// Reader decodes the events received on one connection to the bus. LastOffset is the offset of the last event that was
// delivered.
type Reader struct {
	LastOffset           uint64
	ZoneCount, KindCount int // number of zones and kinds in the settings
	buffered             []byte
}

// ResumeRequest returns the first message of a connection, which requests the events after LastOffset.
func (r *Reader) ResumeRequest() []byte {
	r.buffered = nil
	return binary.BigEndian.AppendUint64(nil, r.LastOffset)
}

// ErrGap reports that events are missing before the received one.
var ErrGap = errors.New("gap in the events of the bus")

// Feed decodes data and calls handle for each new event. After an error the connection cannot be read any further; the
// events delivered until then are valid.
func (r *Reader) Feed(data []byte, handle func(Event)) error {
	r.buffered = append(r.buffered, data...)
	for len(r.buffered) >= 4 {
		length := int(binary.BigEndian.Uint32(r.buffered))
		if length < headerLength || length > maxFrameLength || (length-headerLength)%recordLength != 0 {
			return fmt.Errorf("frame length of %d bytes is invalid", length)
		}
		if len(r.buffered) < 4+length {
			break
		}
		if err := r.parseFrame(r.buffered[4:4+length], handle); err != nil {
			return err
		}
		r.buffered = r.buffered[4+length:]
	}
	if len(r.buffered) == 0 {
		r.buffered = nil
	}
	return nil
}

func (r *Reader) parseFrame(frame []byte, handle func(Event)) error {
	event := Event{Offset: binary.BigEndian.Uint64(frame), Snapshot: frame[8] == 1}
	if frame[8] > 2 || frame[8] == 0 && len(frame) > headerLength {
		return fmt.Errorf("frame of kind %d is unknown or has unexpected entries", frame[8])
	}
	if frame[8] == 0 || event.Offset <= r.LastOffset {
		if frame[8] == 0 && event.Offset > r.LastOffset {
			return ErrGap
		}
		return nil
	}
	if event.Offset != r.LastOffset+1 && !event.Snapshot {
		return ErrGap
	}
	for frame = frame[headerLength:]; len(frame) > 0; frame = frame[recordLength:] {
		server := Server{ID: binary.BigEndian.Uint32(frame), Zone: int(frame[11]), Kind: int(frame[12]),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte(frame[4:8])), binary.BigEndian.Uint16(frame[8:])).String(),
			Cell:    int(binary.BigEndian.Uint16(frame[13:])), Weight: float64(binary.BigEndian.Uint32(frame[15:])) / 1000}
		startedMS := binary.BigEndian.Uint64(frame[19:])
		if frame[10] > 2 || server.Zone >= r.ZoneCount || server.Kind >= r.KindCount || startedMS > math.MaxInt64/1000 {
			return fmt.Errorf("server %s: invalid state %d, zone %d, kind %d or start time %d ms", ServerName(server.ID), frame[10], server.Zone, server.Kind, startedMS)
		}
		server.State, server.Started = [...]session.ServerState{session.Ready, session.Draining, session.Gone}[frame[10]], session.Time(startedMS)*1000
		event.Servers = append(event.Servers, server)
	}
	r.LastOffset = event.Offset
	handle(event)
	return nil
}
