package lab

import (
	"strconv"
	"strings"
	"sync"

	"pierlink/internal/rtsp"
	"pierlink/session"
)

// Recording records what passed on the connections of players and boxes, and the box states sent to the managers. It parses
// the bytes itself and does not use the state of the cores.
type Recording struct {
	mu        sync.Mutex
	Entries   []Entry
	Flows     []*Flow // for players' connections only
	connCount int
}

// Flow holds the RTP bytes received on a player's connection, for each half second from its first packet on.
type Flow struct {
	ConnID int
	From   Time
	Bytes  []int32
}

// EntryKind is the kind of a recorded entry.
type EntryKind uint8

// The kinds of entries: of connections, of messages on them, and of processes.
const (
	ConnOpened EntryKind = iota
	ConnClosed
	RequestSent   // a request
	ResponseSent  // a response
	FirstFrame    // the first RTP frame of a connection
	StateNotified // a manager was notified of a box's state
	ProcessKilled
	ProcessStarted
	ProcessPaused // a process was paused from At until Until, so nothing could answer
)

// Entry is one recorded event.
type Entry struct {
	At            Time
	Kind          EntryKind
	Player        bool // on a player's connection; otherwise on a box's
	FromFront     bool
	ConnID        int
	Host          string // the box, or the players' host
	Front         string // the manager at the other end of the connection
	Method        string
	Status        int
	CSeq          int
	RequestID     string // Request-Id header
	Try           int
	Session       string
	Plan          string
	Title         string
	Rung          int // -1 if the message has none
	HasRetryAfter bool
	State         session.ServerState // of StateNotified
	Started       Time                // of StateNotified and ProcessStarted
	Until         Time                // of ProcessPaused
	ClosedLocally bool                // of ConnClosed: closed by this end
	NetworkBroken bool                // of ConnClosed: broken by the network
}

func (t *Recording) add(e Entry) {
	t.mu.Lock()
	t.Entries = append(t.Entries, e)
	t.mu.Unlock()
}

// RecordState records that a manager was notified of a box's state.
func (t *Recording) RecordState(at Time, front, box string, state session.ServerState, startedAt Time) {
	t.add(Entry{At: at, Kind: StateNotified, Front: front, Host: box, State: state, Started: startedAt})
}

// RecordKill records the end of a manager's or a box's process.
func (t *Recording) RecordKill(at Time, name string) {
	t.add(Entry{At: at, Kind: ProcessKilled, Host: name})
}

// RecordPause records that a manager's process was paused.
func (t *Recording) RecordPause(from, until Time, name string) {
	t.add(Entry{At: from, Kind: ProcessPaused, Host: name, Until: until})
}

// RecordStart records the start of a manager's or a box's process; started is 0 if it counts as warm.
func (t *Recording) RecordStart(at Time, name string, startedAt Time) {
	t.add(Entry{At: at, Kind: ProcessStarted, Host: name, Started: startedAt})
}

// connTap parses and records one connection.
type connTap struct {
	recording               *Recording
	connID                  int
	host                    string
	front                   string
	player                  bool
	toHost, fromHost        rtsp.Parser // parsers of the two directions, seen from the stand-in
	firstFrameSeen          bool
	isClosed, networkBroken bool
	flow                    *Flow
}

func (t *Recording) tap(host, front string, player bool) *connTap {
	t.mu.Lock()
	t.connCount++
	connID := t.connCount
	t.mu.Unlock()
	return &connTap{recording: t, connID: connID, host: host, front: front, player: player, toHost: rtsp.Parser{Bounds: rtsp.DefaultBounds},
		fromHost: rtsp.Parser{Bounds: rtsp.DefaultBounds}}
}

func (p *connTap) entry(at Time, kind EntryKind) Entry {
	return Entry{At: at, Kind: kind, Player: p.player, ConnID: p.connID, Host: p.host, Front: p.front, Rung: -1}
}

func (p *connTap) opened(at Time, _ string) { p.recording.add(p.entry(at, ConnOpened)) }
func (p *connTap) closed(at Time, local bool) {
	if !p.isClosed {
		p.isClosed = true
		e := p.entry(at, ConnClosed)
		e.ClosedLocally, e.NetworkBroken = local, p.networkBroken
		p.recording.add(e)
	}
}
func (p *connTap) received(at Time, b []byte) { _ = p.toHost.Feed(b, &tapSink{p, at, true}) }
func (p *connTap) sent(at Time, b []byte)     { _ = p.fromHost.Feed(b, &tapSink{p, at, false}) }

// tapSink adds the messages and frames that a parser finds to the recording.
type tapSink struct {
	tap       *connTap
	at        Time
	fromFront bool
}

func (s *tapSink) Malformed(*rtsp.MalformedError) {}
func (s *tapSink) Frame(channel byte, payload []byte) {
	if tap := s.tap; tap.player && s.fromFront && channel&1 == 0 {
		if tap.flow == nil {
			tap.flow = &Flow{ConnID: tap.connID, From: s.at}
			tap.recording.mu.Lock()
			tap.recording.Flows = append(tap.recording.Flows, tap.flow)
			tap.recording.mu.Unlock()
		}
		bucket := int((s.at - tap.flow.From) / bucketWidth)
		for len(tap.flow.Bytes) <= bucket {
			tap.flow.Bytes = append(tap.flow.Bytes, 0)
		}
		tap.flow.Bytes[bucket] += int32(len(payload))
	}
	if tap := s.tap; !tap.firstFrameSeen && channel&1 == 0 && s.fromFront == tap.player {
		tap.firstFrameSeen = true
		e := tap.entry(s.at, FirstFrame)
		e.FromFront = s.fromFront
		tap.recording.add(e)
	}
}
func (s *tapSink) Message(message *rtsp.Message) {
	entry := s.tap.entry(s.at, ResponseSent)
	entry.FromFront, entry.CSeq, entry.Status = s.fromFront, message.CSeq, message.Status
	entry.RequestID = message.Get("Request-Id")
	entry.Session, _ = rtsp.ParseSession(message.Get("Session"))
	entry.HasRetryAfter = message.Get("Retry-After") != ""
	if message.IsRequest() {
		entry.Kind, entry.Method = RequestSent, message.Method
		if n, err := strconv.Atoi(message.Get("Try")); err == nil {
			entry.Try = n
		}
		if n, err := strconv.Atoi(message.Get("Rung")); err == nil {
			entry.Rung = n
		}
		for _, parameter := range rtsp.ParseParameters(message.Body) {
			if n, err := strconv.Atoi(parameter.Value); err == nil && parameter.Name == "rung" {
				entry.Rung = n
			}
		}
		path, _, _ := strings.Cut(strings.TrimPrefix(message.URI, "rtsp://"), "?")
		if segments := strings.Split(path, "/"); len(segments) >= 3 {
			entry.Plan, entry.Title = segments[1], segments[2]
		}
		if !s.tap.player && s.fromFront {
			if userAgent := message.Get("User-Agent"); userAgent != "" {
				s.tap.front = userAgent
				entry.Front = userAgent
			}
		}
	}
	s.tap.recording.add(entry)
}
