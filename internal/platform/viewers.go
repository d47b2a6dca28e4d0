package platform

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"pierlink/internal/core"
	"pierlink/internal/platform/boxes"
	"pierlink/internal/platform/feed"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// The CSeq that a message has by its method, and the causes that the platform tells.
const (
	setupSeq    = 1
	teardownSeq = 2
	optionsSeq  = 3

	causeOver  = 16
	causeMoved = 31
	causeFull  = 34
	causeReset = 41
	causeError = 47
	causeMoot  = 102
)

const prefix = "rtsp://media/"

// Messages hold 16 KiB at most.
var bounds = rtsp.Bounds{Line: 2048, Head: 4096, Fields: 32, Body: boxes.Longest, NoFrames: true}

// viewer is one connection from viewers, which carries many sessions.
type viewer struct {
	m        *Manager
	conn     *core.Conn
	parser   rtsp.Parser
	came     core.Time
	heard    core.Time // when bytes came last
	spoke    core.Time // when the last whole message came, 0 for never
	used     core.Time // when something on it was last heard or over
	partAt   core.Time // when what is not whole began, 0 while nothing is
	held     int
	open     int // set-ups without an answer
	standing int // sessions set up on it: their ends are told on it
	served   bool
	closing  bool
}

// release is owed to a viewer until it has said that it heard it.
type release struct {
	id     string
	cause  int
	since  core.Time
	sentAt core.Time
	on     *viewer // the connection that it was sent on last
	sent   int
}

func (m *Manager) comes(c *core.Conn, _ string) {
	v := &viewer{m: m, conn: c, came: m.now, parser: rtsp.Parser{Bounds: bounds}}
	c.Owner = v
	m.viewers = append(m.viewers, v)
}

// makeRoom closes connections over the bound, those first that are missed least: ones that have said nothing whole in
// their grace, then the longest idle, those on which nothing stands before others, then newcomers and ones in the midst
// of a message, and last ones with a set-up open. It is done at a turn's end, when all that has come is read.
func (m *Manager) makeRoom() {
	for len(m.viewers) > Viewers(m.given) {
		pick := slices.MinFunc(m.viewers, func(a, b *viewer) int {
			i, s := a.missed(m.now)
			j, t := b.missed(m.now)
			return cmp.Or(cmp.Compare(i, j), cmp.Compare(s, t))
		})
		m.trace("no room: closing a connection %d us old, last heard %d, %d open", m.now-pick.came, pick.spoke, pick.open)
		m.shut(pick)
	}
}

// shut closes a viewer's connection.
func (m *Manager) shut(v *viewer) {
	if v.closing {
		return
	}
	v.closing = true
	v.parser.Stop()
	m.net.Close(v.conn)
	m.viewerGone(v)
}

func (m *Manager) viewerGone(v *viewer) {
	i := slices.Index(m.viewers, v)
	if i < 0 {
		return
	}
	v.closing = true
	m.viewers = slices.Delete(m.viewers, i, i+1)
	m.held -= v.held
	v.held = 0
	if m.front == v {
		m.front = nil
	}
	for _, r := range m.owed {
		if r.on == v { // what was written may not have been read
			m.sendRelease(r)
		}
	}
	if v.open > 0 || v.served {
		for _, c := range m.calls {
			if c.viewer != v {
				continue
			}
			if c.phase == standing {
				c.viewer = nil
			} else {
				m.left(c)
			}
		}
	}
}

// left ends a set-up whose viewer has given it up.
func (m *Manager) left(c *call) {
	m.fig.Left++
	c.viewer.open--
	c.viewer = nil
	m.module.Left(c.request.Playback)
	if c.phase == trying {
		m.ended(c, session.Cancelled, "")
	} else {
		m.finish(c)
	}
}

func (m *Manager) viewerSays(v *viewer, b []byte) {
	if v.closing {
		return
	}
	v.heard = m.now
	err := v.parser.Feed(b, v)
	if v.closing {
		return
	}
	if err != nil {
		m.fig.Bad++
		status := rtsp.StatusBadRequest
		var bad *rtsp.Malformed
		if errors.As(err, &bad) {
			status = bad.Status
		}
		m.say(v, rtsp.Answer(status, -1))
		m.shut(v)
		return
	}
	m.held += v.parser.Held() - v.held
	v.held = v.parser.Held()
	if !v.parser.Waiting() {
		v.partAt = 0
	} else if v.partAt == 0 {
		v.partAt = m.now
	}
	for int64(m.held) > m.given.Memory/heldShare && v.held > 0 {
		fullest := v
		for _, x := range m.viewers {
			if x.held > fullest.held {
				fullest = x
			}
		}
		m.say(fullest, rtsp.Answer(rtsp.StatusUnavailable, -1))
		m.shut(fullest)
	}
}

// Frame is not let through by the bounds.
func (v *viewer) Frame(byte, []byte) {}

// Bad is a message that cannot be read, while its end is known.
func (v *viewer) Bad(e *rtsp.Malformed) {
	v.m.fig.Bad++
	v.m.say(v, rtsp.Answer(e.Status, e.CSeq))
	v.m.shut(v)
}

// Message takes a whole one.
func (v *viewer) Message(r *rtsp.Message) {
	m := v.m
	v.spoke, v.used, v.partAt = m.now, m.now, 0
	id := r.Get("Session")
	m.trace("from viewer %s %s %d %s %v %q", id, r.Method, r.Status, r.URI, r.Header, r.Body)
	if !r.IsRequest() {
		if i := slices.IndexFunc(m.owed, func(o *release) bool { return o.id == id }); i >= 0 {
			m.owed = slices.Delete(m.owed, i, i+1)
		} else if !v.served { // to nothing that was asked
			m.bad(v, r)
		}
		return
	}
	if !boxes.ID(id) || !strings.HasPrefix(r.URI, prefix) {
		m.bad(v, r)
		return
	}
	switch r.Method {
	case rtsp.Setup:
		m.setup(v, id, r)
	case rtsp.Teardown:
		m.teardown(v, id, r)
	case rtsp.Options:
		status := rtsp.StatusOK
		if m.stopping > 0 {
			status = rtsp.StatusUnavailable
		}
		m.say(v, rtsp.Answer(status, r.CSeq).With("Session", id))
	default:
		m.fig.Bad++
		m.say(v, rtsp.Answer(rtsp.StatusMethodNotAllowed, r.CSeq).With("Session", id))
	}
}

// bad answers what makes no sense, and closes unless others' set-ups are open there.
func (m *Manager) bad(v *viewer, r *rtsp.Message) {
	m.fig.Bad++
	if r.IsRequest() {
		a := rtsp.Answer(rtsp.StatusBadRequest, r.CSeq)
		if id := r.Get("Session"); boxes.ID(id) {
			a.With("Session", id)
		}
		m.say(v, a)
	}
	if v.open == 0 {
		m.shut(v)
	}
}

// number reads a whole number within bounds.
func number(s string, least, most int64) (int64, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil && n >= least && n <= most && s[0] != '+'
}

// read makes a call of a set-up; false where it is not one.
func (m *Manager) read(id string, r *rtsp.Message) (c *call, at string, ok bool) {
	told := m.given.Told
	c = &call{id: id, key: strings.TrimPrefix(r.URI, prefix), plan: r.Get("Call-Kind"), desc: string(r.Body), try: -1}
	q := &c.request
	if q.Plan = slices.Index(told.Plans, c.plan); q.Plan < 0 || !boxes.ID(c.key) || c.desc == "" || !utf8.ValidString(c.desc) {
		return nil, "", false
	}
	if len(told.Tenants) > 0 {
		if q.Tenant = slices.Index(told.Tenants, r.Get("Charged-Party")); q.Tenant < 0 {
			return nil, "", false
		}
	}
	q.Show, _ = strconv.ParseUint(c.key, 16, 64)
	fields := map[string]string{}
	for _, f := range rtsp.Pairs(strings.ReplaceAll(r.Get("Routing-Data"), ":", "=")) {
		if _, twice := fields[f.Name]; twice {
			return nil, "", false
		}
		fields[f.Name] = f.Value
	}
	base, ok1 := number(fields["home"], 0, int64(told.Site.Fleet.Cells)-1)
	span, ok2 := number(fields["copies"], 1, int64(told.Site.Fleet.Cells))
	top, ok3 := number(fields["top"], 0, int64(len(told.Site.Ladder.RateKB))-1)
	if !ok1 || !ok2 || !ok3 || !boxes.ID(fields["viewer"]) {
		return nil, "", false
	}
	q.Base, q.Span, q.Top = int(base), int(span), int(top)
	at = fields["at"]
	left, ok4 := number(r.Get("Answer-Within"), 1, told.Patience[q.Plan]/core.Millisecond)
	if !ok4 && at == "" { // what plays already waits for no answer
		return nil, "", false
	}
	left *= core.Millisecond
	q.Abandon = m.came + left - left/wayShare
	c.rung = told.Site.Plans[q.Plan].Floor
	return c, at, true
}

func (m *Manager) setup(v *viewer, id string, r *rtsp.Message) {
	c, at, ok := m.read(id, r)
	if !ok {
		m.bad(v, r)
		return
	}
	if at != "" {
		m.plays(v, c, at)
		return
	}
	if old := m.calls[id]; old != nil { // two under one id: none of them is served on this connection
		if old.viewer == v && old.phase != standing {
			m.left(old)
		}
		m.bad(v, r)
		return
	}
	if m.stopping > 0 || int64(m.held+len(c.desc)) > m.given.Memory/heldShare {
		m.fig.Refused++
		a := rtsp.Answer(rtsp.StatusUnavailable, setupSeq).With("Session", id)
		if t := m.given.Told.Site.Terms.MaxComeAgain; t > 0 {
			a.With("Come-Back-Ms", strconv.FormatInt(t/core.Millisecond, 10))
		}
		m.say(v, a)
		return
	}
	c.viewer = v
	v.open++
	m.fig.Taken++
	m.take(c)
	m.module.Requested(c.request)
}

// plays takes over what plays already.
func (m *Manager) plays(v *viewer, c *call, at string) {
	if m.calls[c.id] != nil {
		return
	}
	n, err := feed.ID(at)
	b := m.boxes[n]
	if err != nil || b == nil || b.state == session.Gone || m.closed {
		m.release(v, c.id, causeReset)
		return
	}
	c.viewer, c.desc, c.try, c.box = v, "", 0, b
	m.take(c)
	m.stands(c)
	m.module.Opened(c.request, b.index)
	if len(b.links) == 0 {
		m.dial(b)
	}
}

func (m *Manager) teardown(v *viewer, id string, r *rtsp.Message) {
	cause, reasoned := reason(r.Get("Reason"))
	c := m.calls[id]
	if c == nil || c.phase != standing && reasoned {
		m.say(v, rtsp.Answer(rtsp.StatusSessionNotFound, r.CSeq).With("Session", id))
		return
	}
	m.say(v, rtsp.Answer(rtsp.StatusOK, r.CSeq).With("Session", id))
	if c.phase != standing { // a session belongs to no connection, nor does what gives it up
		m.left(c)
		return
	}
	m.tell(c.box, &boxes.Message{Op: boxes.End, Call: id, Why: cause})
	o := session.Cancelled
	if cause == causeOver && reasoned {
		o = session.OK
	}
	m.ended(c, o, "")
}

func reason(text string) (cause int, ok bool) {
	s, ok := strings.CutPrefix(text, "cause=")
	n, good := number(s, 0, 1<<16)
	if !ok || !good {
		return causeOver, false
	}
	return int(n), true
}

// answer is a set-up's final one.
func (m *Manager) answer(c *call, a *rtsp.Message) {
	if c.viewer != nil {
		m.say(c.viewer, a.With("Session", c.id))
	}
	m.finish(c)
}

// say writes a message to a viewer. One that does not read is not written to for long.
func (m *Manager) say(v *viewer, a *rtsp.Message) {
	if v.closing {
		return
	}
	if len(a.Body) == 0 {
		a.With("Content-Length", "0")
	}
	m.trace("to viewer %s %s %d", a.Get("Session"), a.Method, a.Status)
	m.net.Send(v.conn, a.Append(nil))
	if m.net.Pending(v.conn) > unreadMost {
		m.queue = append(m.queue, func() { m.shut(v) })
	}
}

// heir is where a viewer can be told of what stands: its connection or, as what stands belongs to none, another on
// which something was served. Connections of which nothing of the kind is known may be anybody's.
func (m *Manager) heir(v, but *viewer) *viewer {
	if v != nil && !v.closing && v != but {
		return v
	}
	if m.front != nil && m.front != but {
		return m.front
	}
	for _, x := range m.viewers {
		if x.served && !x.closing && x != but {
			return x
		}
	}
	return nil
}

// release tells a viewer that what stood is over.
func (m *Manager) release(v *viewer, id string, cause int) {
	r := &release{id: id, cause: cause, since: m.now, on: v}
	if len(m.owed) > owedMost(len(m.pbs)) { // more than ever stood at once: the oldest is not answered any more
		m.owed = slices.Delete(m.owed, 0, 1)
	}
	m.owed = append(m.owed, r)
	if v == nil || v.closing {
		r.on = nil
	}
	m.writeRelease(r, m.heir(r.on, nil))
}

// sendRelease sends one again, elsewhere if that can be.
func (m *Manager) sendRelease(r *release) {
	v := m.heir(nil, r.on)
	if v == nil {
		v = m.heir(r.on, nil)
	}
	if r.sent > 0 && v != nil {
		m.fig.Unheard++
		m.trace("release of %s is sent again", r.id)
	}
	m.writeRelease(r, v)
}

func (m *Manager) writeRelease(r *release, v *viewer) {
	if v == nil {
		r.on = nil
		return
	}
	r.on, r.sentAt = v, m.now
	r.sent++
	m.say(v, rtsp.Request(rtsp.Teardown, prefix+r.id, teardownSeq).With("Session", r.id).With("Reason", "cause="+strconv.Itoa(r.cause)))
}

// remind sends releases again that nobody has answered, as long as they still count.
func (m *Manager) remind() {
	m.owed = slices.DeleteFunc(m.owed, func(r *release) bool { return m.now-r.since > forgiven || r.sent >= most && m.now-r.sentAt > unheard })
	for _, r := range slices.Clone(m.owed) {
		if r.sent == 0 || m.now-r.sentAt > unheard {
			m.sendRelease(r)
		}
	}
}

// sweep closes connections on which nothing whole comes and looks after servers.
func (m *Manager) sweep() {
	for _, v := range slices.Clone(m.viewers) {
		switch {
		case v.overdue(m.now):
			m.fig.Bad++
			m.say(v, rtsp.Answer(rtsp.StatusRequestTimeout, -1))
			m.shut(v)
		case v.open == 0 && v.standing == 0 && v.partAt == 0 && v.spoke > 0 && m.now-v.used > kept:
			m.shut(v)
		}
	}
	m.remind()
	m.lookAfter()
	m.lookAfterBus()
	m.timers.Set(nil, m.now+sweep, m.sweep)
}
