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
	mu      sync.Mutex
	Entries []Entry
	Flows   []*Flow // of players' connections
	conns   int
}

// Flow is the RTP bytes that came on a player's connection, by half seconds from its first packet on.
type Flow struct {
	Conn  int
	From  Time
	Bytes []int32
}

// Kind tells what an entry is of.
type Kind uint8

// The kinds. Down is the connection's end; Told is news to a manager; Killed and Began are of processes.
const (
	Up Kind = iota
	Down
	Asks    // a request
	Answers // an answer
	First   // the first RTP frame of a connection
	Told
	Killed
	Began
	Stood // a process stood still from At until Until: nothing ran that could answer
)

// Entry is one thing on a tape.
type Entry struct {
	At        Time
	Kind      Kind
	Player    bool // a player's connection; otherwise a box's
	FromFront bool
	Conn      int
	Place     string // the box, or the crowd
	Front     string // the manager at the other end
	Method    string
	Status    int
	CSeq      int
	Request   string // Request-Id
	Try       int
	Session   string
	Plan      string
	Title     string
	Rung      int // -1 where none is told
	Retry     bool
	State     session.ServerState // of Told
	Started   Time                // of Told and Began
	Until     Time                // of Stood
	Own       bool                // of Down: this end closed it
	Broken    bool                // of Down: the network did
}

func (t *Tape) add(e Entry) {
	t.mu.Lock()
	t.Entries = append(t.Entries, e)
	t.mu.Unlock()
}

// Told notes that a manager was told of a box.
func (t *Tape) Told(at Time, front, box string, s session.ServerState, started Time) {
	t.add(Entry{At: at, Kind: Told, Front: front, Place: box, State: s, Started: started})
}

// Killed notes the death of a manager or a box.
func (t *Tape) Killed(at Time, name string) { t.add(Entry{At: at, Kind: Killed, Place: name}) }

// Stood notes that a manager's process stood still.
func (t *Tape) Stood(from, until Time, name string) {
	t.add(Entry{At: from, Kind: Stood, Place: name, Until: until})
}

// Began notes the start of one; started is 0 where it counts as warm.
func (t *Tape) Began(at Time, name string, started Time) {
	t.add(Entry{At: at, Kind: Began, Place: name, Started: started})
}

// tap reads one connection.
type tap struct {
	t            *Tape
	conn         int
	place        string
	front        string
	player       bool
	in, out      rtsp.Parser // towards the stand-in, and away from it
	first        bool
	down, broken bool
	flow         *Flow
}

func (t *Tape) tap(place, front string, player bool) *tap {
	t.mu.Lock()
	t.conns++
	n := t.conns
	t.mu.Unlock()
	return &tap{t: t, conn: n, place: place, front: front, player: player, in: rtsp.Parser{Bounds: rtsp.DefaultBounds},
		out: rtsp.Parser{Bounds: rtsp.DefaultBounds}}
}

func (p *tap) entry(at Time, k Kind) Entry {
	return Entry{At: at, Kind: k, Player: p.player, Conn: p.conn, Place: p.place, Front: p.front, Rung: -1}
}

func (p *tap) opened(at Time, _ string) { p.t.add(p.entry(at, Up)) }
func (p *tap) closed(at Time, own bool) {
	if !p.down {
		p.down = true
		e := p.entry(at, Down)
		e.Own, e.Broken = own, p.broken
		p.t.add(e)
	}
}
func (p *tap) received(at Time, b []byte) { _ = p.in.Feed(b, &tapSink{p, at, true}) }
func (p *tap) sent(at Time, b []byte)     { _ = p.out.Feed(b, &tapSink{p, at, false}) }

type tapSink struct {
	p         *tap
	at        Time
	fromFront bool
}

func (s *tapSink) Malformed(*rtsp.MalformedError) {}
func (s *tapSink) Frame(channel byte, payload []byte) {
	if p := s.p; p.player && s.fromFront && channel&1 == 0 {
		if p.flow == nil {
			p.flow = &Flow{Conn: p.conn, From: s.at}
			p.t.mu.Lock()
			p.t.Flows = append(p.t.Flows, p.flow)
			p.t.mu.Unlock()
		}
		i := int((s.at - p.flow.From) / bucket)
		for len(p.flow.Bytes) <= i {
			p.flow.Bytes = append(p.flow.Bytes, 0)
		}
		p.flow.Bytes[i] += int32(len(payload))
	}
	if p := s.p; !p.first && channel&1 == 0 && s.fromFront == p.player {
		p.first = true
		e := p.entry(s.at, First)
		e.FromFront = s.fromFront
		p.t.add(e)
	}
}
func (s *tapSink) Message(m *rtsp.Message) {
	e := s.p.entry(s.at, Answers)
	e.FromFront, e.CSeq, e.Status = s.fromFront, m.CSeq, m.Status
	e.Request = m.Get("Request-Id")
	e.Session, _ = rtsp.ParseSession(m.Get("Session"))
	e.Retry = m.Get("Retry-After") != ""
	if m.IsRequest() {
		e.Kind, e.Method = Asks, m.Method
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
		if !s.p.player && s.fromFront {
			if a := m.Get("User-Agent"); a != "" {
				s.p.front = a
				e.Front = a
			}
		}
	}
	s.p.t.add(e)
}
