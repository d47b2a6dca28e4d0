// Package platform is one session manager on the operators' platform, free of I/O: viewers speak RTSP, video servers
// JSON lines, and the event bus tells the list of servers. It carries out what the decision module wants and tells
// the module what comes of it; it chooses no server, no rung and no rejection of its own.
package platform

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// Figures are counts since the start, and levels.
type Figures struct {
	Taken, Served, Refused, Failed, Left, Bad       int
	Tries                                           [session.NotSent + 1]int
	Probes, Over, Cut, Moved, Spoilt, Unheard       int
	Viewers, Links, Open, Standing, Servers, Titles int
	Position                                        uint64
	BusUp                                           bool
	Longest                                         core.Time // turn
}

// Manager is the core.
type Manager struct {
	Trace func(format string, a ...any) // nil for none
	Exit  func()
	Hush  func() // accept no more

	given  *Given
	net    core.Net
	half   core.HalfCloser // nil where the network cannot
	module session.Manager
	now    core.Time
	came   core.Time // when the event at hand did
	timers core.Timers
	queue  []func() // outcomes that a turn's own actions had
	wake   map[uint64]*core.Timer
	draws  uint32
	fig    Figures

	calls  map[string]*call
	pbs    []*call // by the module's numbers
	free   []int
	titles map[uint64]*title
	spare  []int // numbers of titles that nobody plays
	held   int   // bytes of descriptions and of messages that are not whole

	viewers []*viewer
	front   *viewer // the last on which something was served
	owed    []*release

	boxes   map[uint32]*box
	byIndex []*box
	unused  []int
	links   int
	perBox  int
	bus     bus

	stopping core.Time // 0 while it serves
	closed   bool      // all is answered and released; the module is not asked any more
}

type title struct{ index, uses int }

type phase uint8

const (
	asked phase = iota
	trying
	standing
	done
)

// call is one playback's session.
type call struct {
	id, plan, key, desc string
	request             session.Request
	viewer              *viewer // which sent it; nil once that is closed
	phase               phase
	box                 *box
	link                *link // that the set-up is on
	sent                bool
	try, rung           int
	since               core.Time
	timer               *core.Timer
	moving, forgotten   bool
}

// New makes a session manager. The module is made with the clock.
func New(n core.Net, g *Given, now core.Time, make_ func(*session.Site, uint64, core.Time) session.Manager) *Manager {
	m := &Manager{given: g, net: n, now: now, wake: map[uint64]*core.Timer{}, calls: map[string]*call{}, titles: map[uint64]*title{},
		boxes: map[uint32]*box{}}
	m.half, _ = n.(core.HalfCloser)
	g.Told.Site.StartsTold = true
	m.module = make_(g.Told.Site, g.Seed, now)
	m.module.At(now)
	m.bus.at(g)
	for _, e := range g.Known {
		m.listed(e)
		m.bus.reader.Last = e.Number
	}
	m.settle()
	m.timers.Set(nil, now, m.lookAfterBus) // the network is there from the first turn on
	m.timers.Set(nil, now+sweep, m.sweep)
	return m
}

// Figures tells how it stands.
func (m *Manager) Figures() Figures {
	f := m.fig
	f.Viewers, f.Links, f.Servers, f.Titles = len(m.viewers), m.links, len(m.boxes), len(m.titles)
	f.Position, f.BusUp = m.bus.reader.Last, m.bus.up
	f.Open, f.Standing = 0, 0
	for _, c := range m.calls {
		if c.phase == standing {
			f.Standing++
		} else {
			f.Open++
		}
	}
	m.fig.Longest = 0
	return f
}

func (m *Manager) trace(format string, a ...any) {
	if m.Trace != nil {
		m.Trace("%d "+format, append([]any{m.now}, a...)...)
	}
}

// At begins a turn.
func (m *Manager) At(now core.Time) {
	m.now, m.came = now, now
	m.module.At(now)
}

// Turned counts how long a turn took.
func (m *Manager) Turned(_, took core.Time) { m.fig.Longest = max(m.fig.Longest, took) }

// Came is when an event came, which the turn may find late.
func (m *Manager) Came(at core.Time) { m.came = min(at, m.now) }

// Settle ends a turn. What has come is looked at before time runs out for anything: a manager that stood still finds
// both.
func (m *Manager) Settle() core.Time {
	m.timers.Run(m.now)
	m.makeRoom()
	m.settle()
	return m.timers.Next()
}

func (m *Manager) settle() {
	for {
		if !m.closed {
			m.module.Settle(m)
		}
		if len(m.queue) == 0 {
			return
		}
		queue := m.queue
		m.queue = nil
		for _, f := range queue {
			f()
		}
	}
}

// Accepted, Dialed, Received, Drained and Closed sort the connections.

// Accepted takes a viewer's connection in.
func (m *Manager) Accepted(c *core.Conn, from string) { m.comes(c, from) }

// Dialed tells how a connect came out.
func (m *Manager) Dialed(c *core.Conn, err error) {
	switch o := c.Owner.(type) {
	case *link:
		m.linkUp(o, err)
	case *bus:
		m.busUp(err)
	}
}

// Received takes bytes.
func (m *Manager) Received(c *core.Conn, b []byte) {
	switch o := c.Owner.(type) {
	case *viewer:
		m.viewerSays(o, b)
	case *link:
		m.linkSays(o, b)
	case *bus:
		m.busSays(c, b)
	}
}

// Drained is of no matter here: what waits for a connection is bounded by closing it.
func (m *Manager) Drained(*core.Conn) {}

// Closed takes the end of a connection.
func (m *Manager) Closed(c *core.Conn, err error) {
	switch o := c.Owner.(type) {
	case *viewer:
		m.viewerGone(o)
	case *link:
		m.linkGone(o, err)
	case *bus:
		m.busGone(c)
	}
}

// number is an id of this manager's own making.
func (m *Manager) number() string {
	b := m.draw()
	return fmt.Sprintf("%08x%08x", crc32.ChecksumIEEE(b), crc32.ChecksumIEEE(append(b, 1)))
}

// chance is the next number in [0,1).
func (m *Manager) chance() float64 { return float64(xxhash.Sum64(m.draw())>>11) / (1 << 53) }

// draw is the seed and the next place in its row.
func (m *Manager) draw() []byte {
	m.draws++
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, m.given.Seed), m.draws)
}

// The module's actions.

// SetRung sets a playback's rung.
func (m *Manager) SetRung(pb, rung int) {
	c := m.pbs[pb]
	c.rung = rung
	if c.phase == standing {
		m.tell(c.box, &boxes.Message{Op: boxes.Set, Call: c.id, With: map[string]string{"rung": strconv.Itoa(rung)}})
	}
}

// Try sends a playback to a server.
func (m *Manager) Try(pb, server int, limit core.Time) {
	c, b := m.pbs[pb], m.byIndex[server]
	c.try++
	c.phase, c.box, c.since, c.sent = trying, b, m.now, false
	b.tries++
	left := c.request.Abandon - m.now
	if limit == 0 || limit > left {
		limit = left
	}
	if limit <= 0 || b.state != session.Ready {
		m.queue = append(m.queue, func() { m.ended(c, session.NotSent, "") })
		return
	}
	l := m.linkTo(b)
	if l == nil {
		m.queue = append(m.queue, func() { m.ended(c, session.NoConnection, "") })
		return
	}
	c.link = l
	l.tries = append(l.tries, c)
	c.timer = m.timers.Set(c.timer, m.now+limit, func() { m.ended(c, session.TimedOut, "") })
	if l.up {
		m.offer(c)
	}
}

// Reject refuses a playback.
func (m *Manager) Reject(pb int, comeAgain core.Time) {
	c := m.pbs[pb]
	m.fig.Refused++
	a := rtsp.Answer(rtsp.StatusUnavailable, setupSeq)
	if comeAgain > 0 {
		a.With("Come-Back-Ms", strconv.FormatInt(comeAgain/core.Millisecond, 10))
	}
	m.answer(c, a)
}

// Abort answers a playback as failed.
func (m *Manager) Abort(pb int) {
	m.fig.Failed++
	m.answer(m.pbs[pb], rtsp.Answer(rtsp.StatusInternal, setupSeq))
}

// Move takes a playback off its server: its viewer comes again.
func (m *Manager) Move(pb int) {
	c := m.pbs[pb]
	if c.phase != standing {
		return
	}
	m.fig.Moved++
	c.moving = true
	if v := m.heir(c.viewer, nil); v != nil {
		m.say(v, rtsp.Request(rtsp.Redirect, "rtsp://media/"+c.key, 4).With("Session", c.id))
	}
	c.timer = m.timers.Set(c.timer, m.now+core.Second, func() { // its server is to end it by itself
		m.tell(c.box, &boxes.Message{Op: boxes.End, Call: c.id, Why: causeMoved})
		m.ended(c, session.Cancelled, "")
	})
}

// Probe probes a server.
func (m *Manager) Probe(server int) {
	m.fig.Probes++
	m.test(m.byIndex[server])
}

// Wake asks for a wake-up.
func (m *Manager) Wake(at core.Time, token uint64) {
	m.wake[token] = m.timers.Set(m.wake[token], at, func() { m.module.Woken(token) })
}

// Watch has nothing to do: the bus tells the list unasked.
func (m *Manager) Watch() {}

// Forget has the module's number free for another playback.
func (m *Manager) Forget(pb int) {
	c := m.pbs[pb]
	m.pbs[pb] = nil
	m.free = append(m.free, pb)
	m.finish(c)
	if t := m.titles[c.request.Show]; t != nil {
		if t.uses--; t.uses == 0 {
			delete(m.titles, c.request.Show)
			m.spare = append(m.spare, t.index)
		}
	}
}

// finish takes a call out of the table; nothing more is owed for it.
func (m *Manager) finish(c *call) {
	if c.phase == done {
		return
	}
	m.timers.Stop(c.timer)
	if c.viewer != nil && c.phase != standing {
		c.viewer.open--
	}
	if c.phase == trying {
		c.box.tries--
	}
	m.sits(c)
	if m.calls[c.id] == c {
		delete(m.calls, c.id)
	}
	m.held -= len(c.desc)
	c.phase, c.desc, c.viewer, c.link = done, "", nil, nil
}

// stands books what stands at its server, and on the connection of its viewer.
func (m *Manager) stands(c *call) {
	c.phase, c.since = standing, m.now
	c.box.standing[c] = struct{}{}
	c.box.said = m.now
	c.viewer.served = true
	c.viewer.standing++
	m.front = c.viewer
}

// sits takes what stood off the books again; it does nothing for what does not stand.
func (m *Manager) sits(c *call) {
	if c.phase != standing {
		return
	}
	delete(c.box.standing, c)
	if c.viewer != nil {
		c.viewer.standing--
		c.viewer.used = m.now
	}
}

// take hands a playback to the module under its numbers.
func (m *Manager) take(c *call) {
	r := &c.request
	t := m.titles[r.Show]
	if t == nil {
		t = &title{index: len(m.titles) + len(m.spare)}
		if n := len(m.spare); n > 0 {
			t.index, m.spare = m.spare[n-1], m.spare[:n-1]
		}
		m.titles[r.Show] = t
	}
	t.uses++
	r.Title = t.index
	r.Playback = len(m.pbs)
	if n := len(m.free); n > 0 {
		r.Playback, m.free = m.free[n-1], m.free[:n-1]
		m.pbs[r.Playback] = c
	} else {
		m.pbs = append(m.pbs, c)
	}
	m.calls[c.id] = c
	m.held += len(c.desc)
}

// ended tells the module how a try or what stood came out.
func (m *Manager) ended(c *call, o session.Outcome, load string) {
	if c.phase != trying && c.phase != standing {
		return
	}
	m.timers.Stop(c.timer)
	r := session.Result{Playback: c.request.Playback, Try: max(c.try, 0), Server: c.box.index, Outcome: o, Took: m.now - c.since,
		Load: m.load(load)}
	m.trace("%s ended %d at %s", c.id, o, c.box.name)
	if c.phase == standing {
		r.Final = true
		m.fig.Over++
		if o != session.OK && o != session.Cancelled {
			m.fig.Cut++
		}
		m.sits(c)
		delete(m.calls, c.id)
		c.phase = done
	} else {
		m.fig.Tries[o]++
		if o == session.TimedOut && c.sent {
			c.link.stale = true
		}
		m.withdraw(c)
		c.box.tries--
		c.phase = asked
		if c.viewer == nil { // it has gone
			r.Final = true
			m.finish(c)
		}
	}
	m.module.Ended(r)
}
