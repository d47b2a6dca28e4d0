package lab

import (
	"strconv"
	"strings"
	"sync"

	"pierlink/internal/rtsp"
	"pierlink/session"
)

// Tape is what passed on the connections of players and boxes, and what the managers were told. It reads
// the bytes itself; it knows nothing of the cores' states.
type Tape struct {
	mu        sync.Mutex
	Entries   []Entry
	Flows     []*Flow // of players' connections
	connCount int
}

// Flow is the RTP bytes that came on a player's connection, by half seconds from its first packet on.
type Flow struct {
	ConnID int
	From   Time
	Bytes  []int32
}

// Kind tells what an entry is of.
type EntryKind uint8

// The kinds. Down is the connection's end; Told is news to a manager; Killed and Began are of processes.
const (
	Up EntryKind = iota
	ConnClosed
	RequestSent  // a request
	ResponseSent // an answer
	FirstFrame   // the first RTP frame of a connection
	StateNotified
	ProcessKilled
	ProcessStarted
	ProcessPaused // a process stood still from At until Until: nothing ran that could answer
)

// Entry is one thing on a tape.
type Entry struct {
	At            Time
	Kind          EntryKind
	Player        bool // a player's connection; otherwise a box's
	FromFront     bool
	ConnID        int
	Host          string // the box, or the crowd
	Front         string // the manager at the other end
	Method        string
	Status        int
	CSeq          int
	RequestID     string // Request-Id
	Try           int
	Session       string
	Plan          string
	Title         string
	Rung          int // -1 where none is told
	HasRetryAfter bool
	State         session.ServerState // of Told
	Started       Time                // of Told and Began
	Until         Time                // of Stood
	ClosedLocally bool                // of Down: this end closed it
	NetworkBroken bool                // of Down: the network did
}

func (t *Tape) add(e Entry) {
	t.mu.Lock()
	t.Entries = append(t.Entries, e)
	t.mu.Unlock()
}

// Told notes that a manager was told of a box.
func (t *Tape) Told(at Time, front, box string, s session.ServerState, started Time) {
	t.add(Entry{At: at, Kind: StateNotified, Front: front, Host: box, State: s, Started: started})
}

// Killed notes the death of a manager or a box.
func (t *Tape) Killed(at Time, name string) { t.add(Entry{At: at, Kind: ProcessKilled, Host: name}) }

// Stood notes that a manager's process stood still.
func (t *Tape) Stood(from, until Time, name string) {
	t.add(Entry{At: from, Kind: ProcessPaused, Host: name, Until: until})
}

// Began notes the start of one; started is 0 where it counts as warm.
func (t *Tape) Began(at Time, name string, started Time) {
	t.add(Entry{At: at, Kind: ProcessStarted, Host: name, Started: started})
}

// tap reads one connection.
type tap struct {
	recording               *Tape
	connID                  int
	host                    string
	front                   string
	player                  bool
	toHost, fromHost        rtsp.Parser // towards the stand-in, and away from it
	firstFrameSeen          bool
	isClosed, networkBroken bool
	flow                    *Flow
}

func (t *Tape) tap(place, front string, player bool) *tap {
	t.mu.Lock()
	t.connCount++
	n := t.connCount
	t.mu.Unlock()
	return &tap{recording: t, connID: n, host: place, front: front, player: player, toHost: rtsp.Parser{Bounds: rtsp.DefaultBounds},
		fromHost: rtsp.Parser{Bounds: rtsp.DefaultBounds}}
}

func (p *tap) entry(at Time, k EntryKind) Entry {
	return Entry{At: at, Kind: k, Player: p.player, ConnID: p.connID, Host: p.host, Front: p.front, Rung: -1}
}

func (p *tap) opened(at Time, _ string) { p.recording.add(p.entry(at, Up)) }
func (p *tap) closed(at Time, own bool) {
	if !p.isClosed {
		p.isClosed = true
		e := p.entry(at, ConnClosed)
		e.ClosedLocally, e.NetworkBroken = own, p.networkBroken
		p.recording.add(e)
	}
}
func (p *tap) received(at Time, b []byte) { _ = p.toHost.Feed(b, &tapSink{p, at, true}) }
func (p *tap) sent(at Time, b []byte)     { _ = p.fromHost.Feed(b, &tapSink{p, at, false}) }

type tapSink struct {
	tap       *tap
	at        Time
	fromFront bool
}

func (s *tapSink) Malformed(*rtsp.MalformedError) {}
func (s *tapSink) Frame(channel byte, payload []byte) {
	if p := s.tap; p.player && s.fromFront && channel&1 == 0 {
		if p.flow == nil {
			p.flow = &Flow{ConnID: p.connID, From: s.at}
			p.recording.mu.Lock()
			p.recording.Flows = append(p.recording.Flows, p.flow)
			p.recording.mu.Unlock()
		}
		i := int((s.at - p.flow.From) / bucketWidth)
		for len(p.flow.Bytes) <= i {
			p.flow.Bytes = append(p.flow.Bytes, 0)
		}
		p.flow.Bytes[i] += int32(len(payload))
	}
	if p := s.tap; !p.firstFrameSeen && channel&1 == 0 && s.fromFront == p.player {
		p.firstFrameSeen = true
		e := p.entry(s.at, FirstFrame)
		e.FromFront = s.fromFront
		p.recording.add(e)
	}
}
func (s *tapSink) Message(m *rtsp.Message) {
	e := s.tap.entry(s.at, ResponseSent)
	e.FromFront, e.CSeq, e.Status = s.fromFront, m.CSeq, m.Status
	e.RequestID = m.Get("Request-Id")
	e.Session, _ = rtsp.ParseSession(m.Get("Session"))
	e.HasRetryAfter = m.Get("Retry-After") != ""
	if m.IsRequest() {
		e.Kind, e.Method = RequestSent, m.Method
		if n, err := strconv.Atoi(m.Get("Try")); err == nil {
			e.Try = n
		}
		if n, err := strconv.Atoi(m.Get("Rung")); err == nil {
			e.Rung = n
		}
		for _, x := range rtsp.ParseParameters(m.Body) {
			if n, err := strconv.Atoi(x.Value); err == nil && x.Name == "rung" {
				e.Rung = n
			}
		}
		path, _, _ := strings.Cut(strings.TrimPrefix(m.URI, "rtsp://"), "?")
		if w := strings.Split(path, "/"); len(w) >= 3 {
			e.Plan, e.Title = w[1], w[2]
		}
		if !s.tap.player && s.fromFront {
			if a := m.Get("User-Agent"); a != "" {
				s.tap.front = a
				e.Front = a
			}
		}
	}
	s.tap.recording.add(e)
}
