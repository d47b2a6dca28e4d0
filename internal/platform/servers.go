package platform

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/platform/feed"
	"pierlink/internal/rtsp"
	"pierlink/internal/start"
	"pierlink/session"
)

// box is a video server, known by its id.
type box struct {
	id        uint32
	name      string
	index     int // the module's number
	address   string
	state     session.ServerState
	started   core.Time
	links     []*link
	standing  map[*call]struct{}
	tries     int
	tests     map[string]*core.Timer
	heard     core.Time // it let a connection come up, or sent something
	said      core.Time // it sent something of what stands there
	dialledAt core.Time
	brokenAt  core.Time // its last connection was reset, 0 once another is up
	refusedAt core.Time // the first of its refusals since then
	goneAt    core.Time
	owed      []owing // withdrawals and the like that no connection has taken yet
}

// owing is a message for a server that belongs to no connection.
type owing struct {
	line []byte
	by   core.Time // it matters until then
}

// link is one connection to a server. Set-ups of many playbacks share it.
type link struct {
	box     *box
	conn    *core.Conn
	reader  boxes.Reader
	up      bool
	closing bool
	leaving bool    // we send nothing more, and read on until the server ends it
	stale   bool    // something on it went unanswered: it takes nothing new
	tries   []*call // whose set-up is on it, or waits for it
	timer   *core.Timer
	upAt    core.Time
	used    core.Time // something passed on it
}

// listed takes an event of the list.
func (m *Manager) listed(e feed.Event) {
	l := session.List{Whole: e.Whole}
	named := map[uint32]bool{}
	for _, s := range e.Servers {
		named[s.ID] = true
		b := m.boxes[s.ID]
		if b == nil {
			if s.State == session.Gone {
				continue
			}
			b = &box{id: s.ID, name: feed.Name(s.ID), standing: map[*call]struct{}{}, tests: map[string]*core.Timer{}, heard: m.now}
			b.index = len(m.byIndex)
			if n := len(m.unused); n > 0 {
				b.index, m.unused = m.unused[n-1], m.unused[:n-1]
				m.byIndex[b.index] = b
			} else {
				m.byIndex = append(m.byIndex, b)
			}
			m.boxes[s.ID] = b
		}
		moved := b.address != s.Address
		b.state, b.address = s.State, s.Address
		if b.started != s.Started {
			b.started = s.Started
			m.cut(b, "it has started anew", func(c *call) bool { return c.since < b.started })
		}
		for _, l := range slices.Clone(b.links) { // a machine that was away has not reset them
			if moved || l.up && l.upAt < b.started-core.Millisecond {
				m.linkGone(l, errors.New("it led to an earlier process"))
			}
		}
		l.Entries = append(l.Entries, session.Entry{Server: b.index, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: s.State,
			Started: s.Started, Weight: s.Weight})
	}
	ready := 0
	for id, b := range m.boxes {
		if e.Whole && !named[id] {
			b.state = session.Gone
		}
		if b.state == session.Gone && b.goneAt == 0 {
			b.goneAt = m.now
		} else if b.state != session.Gone {
			b.goneAt = 0
			ready++
		}
	}
	m.perBox = perServer(m.given, ready)
	m.module.Listed(l)
	m.trace("list %d whole %v %+v", e.Number, e.Whole, e.Servers)
}

// cut ends what stood at a server: its process is another one now, or none.
func (m *Manager) cut(b *box, why string, which func(*call) bool) {
	m.trace("cut %s, %d sessions: %s", b.name, len(b.standing), why)
	for c := range b.standing {
		if which == nil || which(c) {
			m.release(c.viewer, c.id, causeReset)
			m.ended(c, session.Reset, "")
		}
	}
}

// linkTo finds the connection with the fewest set-ups open, or makes one, within the budget.
func (m *Manager) linkTo(b *box) *link {
	var best *link
	for _, l := range b.links {
		if l.stale || m.idle(l) {
			continue
		}
		if best == nil || len(l.tries) < len(best.tries) {
			best = l
		}
	}
	if best == nil || len(best.tries) > 0 && len(b.links) < m.perBox {
		if l := m.dial(b); l != nil {
			return l
		}
	}
	if best != nil && m.given.Told.Shared > 0 && len(best.tries) >= m.given.Told.Shared {
		return nil
	}
	return best
}

func (m *Manager) dial(b *box) *link {
	if m.links >= m.given.Sockets/serverShare && !m.spareLink() || b.state == session.Gone {
		return nil
	}
	l := &link{box: b, conn: &core.Conn{}, used: m.now}
	l.conn.Owner = l
	b.links = append(b.links, l)
	b.dialledAt = m.now
	m.links++
	l.timer = m.timers.Set(nil, m.now+m.given.Told.Connect, func() { m.linkUp(l, errors.New("no connection in time")) })
	m.net.Dial(l.conn, b.address)
	return l
}

// spareLink closes the connection that has carried nothing for longest, where nothing needs it.
func (m *Manager) spareLink() bool {
	var pick *link
	for _, b := range m.boxes {
		for _, l := range b.links {
			if len(l.tries) == 0 && (len(b.standing) == 0 || len(b.links) > 1) && len(b.tests) == 0 &&
				(pick == nil || l.used < pick.used || l.used == pick.used && b.id < pick.box.id) {
				pick = l
			}
		}
	}
	if pick != nil {
		m.closeLink(pick)
	}
	return pick != nil
}

// leaveLink closes a connection without losing what the server is just saying of what stands there: it sends that once.
func (m *Manager) leaveLink(l *link) {
	if l.closing || l.leaving {
		return
	}
	if !l.up || len(l.box.standing) == 0 || m.half == nil {
		m.closeLink(l)
		return
	}
	l.leaving = true
	l.box.links = slices.DeleteFunc(l.box.links, func(x *link) bool { return x == l })
	m.half.CloseWrite(l.conn)
	l.timer = m.timers.Set(l.timer, m.now+linger, func() { m.closeLink(l) })
}

func (m *Manager) closeLink(l *link) {
	if l.closing {
		return
	}
	l.closing = true
	l.reader.Stop()
	m.timers.Stop(l.timer)
	l.box.links = slices.DeleteFunc(l.box.links, func(x *link) bool { return x == l })
	m.links--
	m.net.Close(l.conn)
}

func (m *Manager) linkUp(l *link, err error) {
	if l.closing {
		return
	}
	m.timers.Stop(l.timer)
	b := l.box
	if err != nil {
		m.trace("no connection to %s %s: %v", b.name, b.address, err)
		m.closeLink(l)
		for _, c := range slices.Clone(l.tries) {
			m.ended(c, session.NoConnection, "")
		}
		m.untested(b, session.NoConnection)
		if errors.Is(err, core.ErrRefused) {
			if slices.ContainsFunc(b.links, func(x *link) bool { return x.up }) {
				b.heard = m.now // it takes no newcomers, but a process that had died would have reset the others
			} else if b.refusedAt == 0 {
				b.refusedAt = m.now
			} else if m.dead(b) {
				m.cut(b, "it refuses connections", nil)
			}
		}
		return
	}
	l.up, l.upAt, l.used, b.heard, b.brokenAt, b.refusedAt = true, m.now, m.now, m.now, 0, 0
	for _, o := range b.owed {
		if m.now <= o.by {
			m.net.Send(l.conn, o.line)
		}
	}
	b.owed = nil
	for _, c := range slices.Clone(l.tries) {
		if b.state != session.Ready {
			m.ended(c, session.NotSent, "")
			continue
		}
		m.offer(c)
	}
}

// offer writes a set-up.
func (m *Manager) offer(c *call) {
	left := c.timer.At() - m.now
	c.sent = true
	m.send(c.link, &boxes.Message{Op: boxes.Offer, Call: c.id, Desc: c.desc, With: map[string]string{"class": c.plan, "key": c.key,
		"left": strconv.FormatInt(max(left/core.Millisecond, 1), 10), "rung": strconv.Itoa(c.rung)}})
}

// withdraw takes a set-up off its connection: nothing of it is out at the server then.
func (m *Manager) withdraw(c *call) {
	l := c.link
	c.link = nil
	if l == nil {
		return
	}
	l.tries = slices.DeleteFunc(l.tries, func(x *call) bool { return x == c })
	if c.sent && l.up && !l.closing && !c.forgotten {
		m.send(l, &boxes.Message{Op: boxes.End, Call: c.id, Why: causeOver})
	}
	c.sent = false
	if l.stale && len(l.tries) == 0 {
		m.leaveLink(l)
	}
}

func (m *Manager) send(l *link, w *boxes.Message) {
	m.trace("to %s %s", l.box.name, w.Append(nil))
	l.used = m.now
	m.net.Send(l.conn, w.Append(nil))
}

// tell writes what belongs to no connection of its own.
func (m *Manager) tell(b *box, w *boxes.Message) {
	for _, l := range b.links {
		if l.up && !m.idle(l) {
			m.send(l, w)
			return
		}
	}
	if b.state == session.Gone && len(b.links) == 0 {
		return // its process has ended, and what stood there with it
	}
	if len(b.owed) < waitMost {
		b.owed = append(b.owed, owing{w.Append(nil), m.now + forgiven})
	}
	if !slices.ContainsFunc(b.links, func(l *link) bool { return !l.up }) {
		m.dial(b)
	}
}

func (m *Manager) test(b *box) {
	id := m.number()
	b.tests[id] = m.timers.Set(nil, m.now+m.given.Told.Connect, func() { m.tested(b, id, session.TimedOut, "") })
	m.tell(b, &boxes.Message{Op: boxes.Test, Call: id, Why: 1})
	if len(b.links) == 0 {
		m.queue = append(m.queue, func() { m.untested(b, session.NoConnection) })
	}
}

func (m *Manager) tested(b *box, id string, o session.Outcome, load string) {
	if t, ok := b.tests[id]; ok {
		m.timers.Stop(t)
		delete(b.tests, id)
		m.module.Probed(b.index, o, m.load(load))
	}
}

func (m *Manager) untested(b *box, o session.Outcome) {
	if len(b.links) > 0 {
		return
	}
	for id := range b.tests {
		m.tested(b, id, o, "")
	}
}

// load reads a report: name:value;name:value.
func (m *Manager) load(text string) session.Load {
	if text == "" {
		return session.Load{}
	}
	var names []string
	var values []float64
	for _, f := range rtsp.Pairs(strings.ReplaceAll(text, ":", "=")) {
		if v, err := strconv.ParseFloat(f.Value, 64); err == nil && v >= 0 && v < 1e6 {
			names, values = append(names, f.Name), append(values, v)
		}
	}
	return start.Load(names, values)
}

func (m *Manager) linkSays(l *link, b []byte) {
	if l.closing {
		return
	}
	l.box.heard, l.used = m.now, m.now
	err := l.reader.Feed(b, func(w *boxes.Message) { m.message(l, w) })
	if err == nil || l.closing {
		return
	}
	// Where messages begin is not known any more. What ran may stand there: it is taken back on another connection.
	m.fig.Spoilt++
	m.trace("spoilt by %s: %v", l.box.name, err)
	m.linkGone(l, err)
}

func (m *Manager) linkGone(l *link, err error) {
	if l.closing {
		return
	}
	if l.leaving {
		m.closeLink(l)
		return
	}
	b := l.box
	m.trace("connection to %s gone: %v", b.name, err)
	m.closeLink(l)
	b.brokenAt = m.now
	for _, c := range slices.Clone(l.tries) {
		sent := c.sent
		m.ended(c, session.Reset, "")
		if sent && b.state != session.Gone {
			m.tell(b, &boxes.Message{Op: boxes.End, Call: c.id, Why: causeOver})
		}
	}
	m.untested(b, session.Reset)
	if len(b.links) == 0 && len(b.standing) > 0 {
		if b.state == session.Gone {
			m.cut(b, "gone from the list, and its connections with it", nil)
		} else {
			m.dial(b)
		}
	}
}

func (m *Manager) message(l *link, w *boxes.Message) {
	b := l.box
	if m.Trace != nil {
		m.trace("from %s %s", b.name, w.Append(nil))
	}
	load := w.With["load"]
	if w.Op == boxes.Tested {
		o := session.Failed
		if w.Why == 1 {
			o = session.OK
		}
		m.tested(b, w.Call, o, load)
		return
	}
	c := m.calls[w.Call]
	if c == nil || c.box != b || c.phase == asked || c.phase == trying && c.link != l {
		return // over by now, not this manager's, or the answer to an earlier try
	}
	b.said = m.now
	switch w.Op {
	case boxes.Accept:
		if c.phase != trying || !c.sent || w.Desc == "" {
			return
		}
		m.accepted(c, w) // the notes of a set-up tell its load
	case boxes.End:
		m.endedBy(c, w.Why, load)
	case boxes.Info:
		if c.phase == standing {
			m.noted(c, w)
		}
	}
}

func (m *Manager) accepted(c *call, w *boxes.Message) {
	m.timers.Stop(c.timer)
	l := c.link
	l.tries = slices.DeleteFunc(l.tries, func(x *call) bool { return x == c })
	c.link = nil
	c.box.tries--
	c.viewer.open--
	took := m.now - c.since
	m.stands(c)
	for _, r := range slices.Clone(m.owed) {
		if r.sent == 0 {
			m.sendRelease(r)
		}
	}
	m.held -= len(c.desc)
	c.desc = ""
	m.fig.Served++
	m.fig.Tries[session.OK]++
	a := rtsp.Answer(rtsp.StatusOK, setupSeq).With("Session", c.id)
	a.Body = []byte(w.Desc)
	m.say(c.viewer, a)
	m.module.Playing(c.request.Playback, c.try, c.box.index, took)
}

func (m *Manager) endedBy(c *call, cause int, load string) {
	if c.phase == trying {
		o := session.Reset
		switch cause {
		case causeFull:
			o = session.Full
		case causeError:
			o = session.Failed
		case causeMoot:
			o = session.NotSent
		}
		c.forgotten = true // nothing is left to be withdrawn
		m.ended(c, o, load)
		c.forgotten = false
		return
	}
	o := session.Reset
	switch cause {
	case causeOver:
		o = session.OK
	case causeMoved:
		o = session.Cancelled
	}
	if cause != causeMoved {
		m.release(c.viewer, c.id, cause)
	}
	m.ended(c, o, load)
}

var notes = map[string]session.NoteKind{"got": session.Delivered, "level": session.RungNow, "port": session.LinkAsked,
	"spine": session.UplinkAsked}

func (m *Manager) noted(c *call, w *boxes.Message) {
	kind, ok := notes[w.With["note"]]
	v, err := strconv.ParseFloat(w.With["value"], 64)
	if !ok || err != nil || v < 0 || v > 1e6 {
		return
	}
	m.module.Noted(session.Note{Playback: c.request.Playback, Server: c.box.index, Kind: kind, Value: v})
}

// lookAfter looks for servers that have sessions and say nothing, retires connections before the servers close them for
// idleness, and forgets servers that are gone.
func (m *Manager) lookAfter() {
	for id, b := range m.boxes {
		for _, l := range slices.Clone(b.links) {
			if l.up && len(l.tries) == 0 && len(b.tests) == 0 && m.idle(l) && (len(b.standing) == 0 || len(b.links) > 1) {
				m.leaveLink(l)
			}
		}
		b.owed = slices.DeleteFunc(b.owed, func(o owing) bool { return m.now > o.by })
		if len(b.links) == 0 && b.state != session.Gone && len(b.owed)+len(b.standing) > 0 && m.now-b.dialledAt > sweep/2 {
			m.dial(b)
		}
		switch quiet := m.now - b.heard; {
		case len(b.standing) == 0:
		case m.tells() && m.now-b.said > forgotten:
			m.cut(b, "nothing is heard of what stands there", nil)
		case b.state == session.Gone && (len(b.links) == 0 || quiet > lost), quiet > lost:
			m.cut(b, "not heard of for "+strconv.FormatInt(quiet/core.Millisecond, 10)+" ms", nil)
		case quiet > silence && m.now-b.dialledAt > silence/4:
			if n := len(b.links); n >= m.perBox {
				for _, l := range b.links {
					if len(l.tries) == 0 && l.up {
						m.leaveLink(l)
						break
					}
				}
			}
			m.dial(b)
		}
		if b.state == session.Gone && len(b.standing) == 0 && b.tries == 0 && len(b.tests) == 0 && m.now-b.goneAt > forgiven {
			for _, l := range slices.Clone(b.links) {
				m.closeLink(l)
			}
			delete(m.boxes, id)
			m.unused = append(m.unused, b.index)
		}
	}
}
