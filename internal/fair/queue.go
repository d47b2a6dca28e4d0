// Package fair decides when a playback that has come to the door is put before the decision module, and
// which are refused before: fair by tenant, within a tenant by client, in bounded memory, with an honest
// time to come back. It is free of I/O and of any wire. docs/fair.md tells the options weighed.
//
// The order is start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996), in two levels: tenants by their
// weights, and the clients of each. The state of a tenant or client is one virtual start time and a count;
// it is needed only while something waits or while it has had more than its part of late.
package fair

import (
	"hash/crc32"
	"math"

	"pierlink/internal/meter"
)

// Time is a clock value or span in microseconds.
type Time = int64

// Terms are what a queue is told at its start, or by a reload.
type Terms struct {
	Waiting int                // requests that wait, at most
	Bytes   int                // that they hold, at most
	Tenants int                // tenants of which something is remembered, at most
	Clients int                // clients of all tenants of which something is remembered, beside those that wait
	Startup Time               // the longest startup target
	Longest Time               // the longest advice that clients honour, 0 for any
	Silent  bool               // nobody is told when to come again, and nothing is promised
	Weights map[string]float64 // of tenants; 1 for those not named
	Secret  []byte             // of the tokens; managers that share it know each other's
	Unfair  Order              // a baseline's order in place of the fair one
	PerSec  float64            // of the bucket baseline: each tenant's rate
}

// Order is how requests are put in line.
type Order int

// The orders. All but Fair are baselines to measure against.
const (
	Fair    Order = iota
	Fifo          // one line, first come first served
	Buckets       // a token bucket for each tenant, one line behind them
)

// Ask is a request at the door.
type Ask struct {
	ID               int
	Tenant, Client   string
	Bytes            int
	Startup, Abandon Time   // clock times of the startup target and of the abandon time
	Token            string // of an earlier refusal, if it brings one
}

// Cause is why a request was refused.
type Cause int

// The causes.
const (
	Late    Cause = iota // its turn would come, or has come, too late for its startup target
	Crowded              // a bound was reached and it was of the most over-served
	NoRoom               // the module rejected it
	Causes
)

func (c Cause) String() string { return [...]string{"late", "crowded", "no room"}[c] }

// Verdict is what becomes of a request.
type Verdict struct {
	ID        int
	Admit     bool
	Cause     Cause
	ComeAgain Time   // after so long; 0 where no time can be told
	Token     string // to bring back then; empty without a promise
}

const (
	buckets   = 8
	hold      = 0.88 // the window is this part of what was carried when a rejection was met;
	edge      = 0.94 // and at most this part of what those within their part may use;
	slowly    = 0.01 // it grows by this part in a span of two startup targets up to there,
	quickly   = 0.40 // and by this one beyond, while nothing is rejected
	memory    = 32   // spans over which the most that was carried fades
	doubt     = 2    // rejections in a row that may be bad luck at the edge of what there is room for
	probes    = 4    // at least so many are tried in a breath while there is no room
	servedFor = 2    // spans over which a tenant's drain is measured
	kept      = 4    // windows of promises over which it is measured how many are kept
	promised  = 0.88 // of what others leave of the pace is promised to those who come back
	leeway    = 2    // times a tenant's part of the drain that still counts as within it
	allowance = 4    // requests by which a tenant may be ahead or behind and counts as within its part
	busyPart  = 8    // a turn over this part of the startup target counts as a rejection
	quietFor  = 4    // spans without a rejection or anything waiting, until all are admitted as they come
	needs     = 2    // times the usual setup time is kept for the setup
)

type request struct {
	Ask
	came     Time
	deadline Time // refused then, if it still waits
	tenant   *tenant
	client   *client
	back     bool // it came back when told to
	seq      uint64
	at       int // in the queue's deadlines
}

// tenant is one class of the fair order; client is one of its.
type tenant struct {
	name    string
	weight  float64
	start   float64 // virtual time of its next service
	virtual float64 // among its clients
	waiting int
	first   heap[*client] // by start
	over    heap[*client] // by virtual end of what waits
	clients map[string]*client
	back    []*request // came back when told: served before the others
	due     Time       // until when its part of the pace is promised
	at      [4]int     // in the queue's heaps
	beyond  bool       // it was served more than its part of late, when that was last looked at
	asked   Time       // last
	began   Time       // to ask, after a pause
	served  meter.Count
	tokens  float64 // of the bucket baseline
	filled  Time
	Figures TenantFigures
}

type client struct {
	name    string
	tenant  *tenant
	start   float64
	waiting []*request
	at      [2]int
	left    uint64 // when it last had something waiting, by the queue's count
}

// TenantFigures count what became of a tenant's requests.
type TenantFigures struct{ Asked, Admitted, Refused, Returned int64 }

// Queue is the door of one session manager.
type Queue struct {
	terms     Terms
	now       Time
	tenants   map[string]*tenant
	first     heap[*tenant]  // that have something waiting, by start
	over      heap[*tenant]  // the same, by virtual end of what waits
	least     heap[*tenant]  // the same the other way round
	idle      heap[*tenant]  // remembered only, by start
	deadlines heap[*request] // of all that waits
	line      []*request     // of the baselines
	byID      map[int]*request
	virtual   float64
	weights   float64 // of the tenants that have something waiting
	bytes     int
	seq       uint64
	draws     uint32
	setup     float64 // usual setup time
	pace      pace
	promise   promise
	slot      Time        // until when the pace is promised to those who come back
	sparsely  meter.Count // admitted, of tenants within their part
	out       []Verdict
	full      bool   // the module's latest word was that there is no room
	rejects   int    // in a row
	probe     Time   // not asked before, while full
	breath    Time   // until when only the sparse are served
	asked     bool   // the word on the one admitted last is not out yet
	strangers tenant // the figures of tenants no longer remembered
	Refused   [Causes]int64
	Admitted  int64
	free      []*request
	departed  []departure // clients remembered without anything waiting, oldest first
	gone      int         // of departed, at its beginning: no longer remembered
	clients   int         // of them
	active    float64     // weights of the tenants that asked of late
	activeAt  Time
}

type departure struct {
	c    *client
	left uint64
}

// New makes a queue.
func New(t Terms, now Time) *Queue {
	q := &Queue{now: now, tenants: make(map[string]*tenant, 64), byID: make(map[int]*request, 64)}
	q.first = heap[*tenant]{less: func(a, b *tenant) bool { return a.start < b.start || a.start == b.start && a.name < b.name },
		at: func(t *tenant) *int { return &t.at[0] }}
	q.over = heap[*tenant]{less: func(a, b *tenant) bool { return a.end() > b.end() || a.end() == b.end() && a.name < b.name },
		at: func(t *tenant) *int { return &t.at[1] }}
	q.least = heap[*tenant]{less: func(a, b *tenant) bool {
		if a.beyond != b.beyond {
			return b.beyond
		}
		return a.end() < b.end() || a.end() == b.end() && a.name < b.name
	},
		at: func(t *tenant) *int { return &t.at[3] }}
	q.idle = heap[*tenant]{less: func(a, b *tenant) bool { return a.start < b.start || a.start == b.start && a.name < b.name },
		at: func(t *tenant) *int { return &t.at[2] }}
	q.deadlines = heap[*request]{less: func(a, b *request) bool {
		return a.deadline < b.deadline || a.deadline == b.deadline && a.seq < b.seq
	}, at: func(r *request) *int { return &r.at }}
	q.pace = newPace(t.Startup, now)
	q.promise = newPromise(t.Secret, t.Startup, now)
	q.sparsely = meter.NewCount(servedFor*q.pace.span, buckets)
	q.strangers = tenant{weight: 1, served: meter.NewCount(servedFor*q.pace.span, buckets)}
	q.Tell(t)
	return q
}

// end is the virtual time at which the last of what waits would have been served: who has the latest is the
// most over-served.
func (t *tenant) end() float64 { return t.start + float64(t.waiting)/t.weight }
func (c *client) end() float64 { return c.start + float64(len(c.waiting)) }

// Tell gives new terms while requests wait: weights count from now on, and what no longer fits is refused.
func (q *Queue) Tell(t Terms) {
	q.terms = t
	q.weights = 0
	for _, x := range q.tenants {
		x.weight = weight(t.Weights, x.name)
		if x.waiting > 0 {
			q.weights += x.weight
		}
	}
	q.over.build()
	q.least.build()
	for len(q.byID) > max(t.Waiting, 0) || q.bytes > t.Bytes {
		q.shed()
	}
	q.forget()
}

func weight(all map[string]float64, name string) float64 {
	if w, ok := all[name]; ok && w > 0 {
		return w
	}
	return 1
}

// At begins a turn.
func (q *Queue) At(now Time) {
	q.now = max(q.now, now)
	q.promise.roll(q.now)
}

// Behind tells by how much this turn comes late: those who came back in time meanwhile have not come late.
func (q *Queue) Behind(late Time) { q.promise.behind = max(late, 0) }

// Offer takes a request. What becomes of it comes out of Settle, at the latest at its deadline.
func (q *Queue) Offer(a Ask) {
	if q.byID[a.ID] != nil {
		return
	}
	t := q.tenant(a.Tenant)
	t.Figures.Asked++
	if q.now-t.asked > q.pace.span {
		t.began = q.now
	}
	t.asked = q.now
	r := q.request()
	r.Ask, r.came, r.tenant = a, q.now, t
	r.back = q.promise.kept(&a, q.now)
	if r.back {
		t.Figures.Returned++
	}
	r.deadline = min(a.Startup, a.Abandon) - Time(needs*q.setup)
	switch {
	case t == &q.strangers:
		q.refuse(r, Crowded)
	case q.terms.Unfair != Fair && (len(q.byID) >= q.terms.Waiting || q.bytes+r.Bytes > q.terms.Bytes):
		q.refuse(r, Crowded)
	case q.terms.Unfair != Fair:
		q.enqueue(r)
	case r.deadline < q.now || q.pace.limited && !t.within(q) && q.wait(t, r.back) > float64(r.deadline-q.now):
		q.refuse(r, Late)
	case !q.fits(t, r):
		q.refuse(r, Crowded)
	default:
		q.enqueue(r)
	}
}

// wait is how long a further request of a tenant would wait: what of its own is before it, at its part of
// the pace.
func (q *Queue) wait(t *tenant, back bool) float64 {
	n := t.waiting
	if back {
		n = len(t.back)
	}
	return float64(n+1) / q.part(t) * 1e6
}

// part is a tenant's part of the pace, a second, with what waits now.
func (q *Queue) part(t *tenant) float64 {
	all := q.weights
	if t.waiting == 0 {
		all += t.weight
	}
	return q.pace.perSec(q.now) * t.weight / all
}

// fits makes room at a bound: the most over-served loses first, which may be the newcomer itself.
func (q *Queue) fits(t *tenant, r *request) bool {
	for len(q.byID) >= q.terms.Waiting || q.bytes+r.Bytes > q.terms.Bytes {
		worst := q.over.top()
		if worst == nil || r.Bytes > q.terms.Bytes {
			return false
		}
		start := t.start
		if t.waiting == 0 {
			start = max(start, q.virtual)
		}
		if start+float64(t.waiting+1)/t.weight >= worst.end() && worst != t {
			return false
		}
		if worst == t && !r.back { // of one tenant: the client that has most loses
			c := t.clients[r.Client]
			mine := t.virtual + 1
			if c != nil {
				mine = c.end() + 1
			}
			if top := t.over.top(); top == nil || mine >= top.end() {
				return false
			}
		}
		q.shed()
	}
	return true
}

// shed refuses the last request of the most over-served client of the most over-served tenant.
func (q *Queue) shed() {
	if q.terms.Unfair != Fair {
		r := q.line[len(q.line)-1]
		q.take(r)
		q.refuse(r, Crowded)
		return
	}
	t := q.over.top()
	var r *request
	if c := t.over.top(); c != nil {
		r = c.waiting[len(c.waiting)-1]
	} else {
		r = t.back[len(t.back)-1]
	}
	q.take(r)
	q.refuse(r, Crowded)
}

func (q *Queue) request() *request {
	if n := len(q.free); n > 0 {
		r := q.free[n-1]
		q.free = q.free[:n-1]
		return r
	}
	return &request{}
}

// enqueue puts a request in line.
func (q *Queue) enqueue(r *request) {
	q.seq++
	r.seq = q.seq
	q.byID[r.ID] = r
	q.bytes += r.Bytes
	q.deadlines.push(r)
	t := r.tenant
	if t.waiting == 0 {
		q.idle.remove(t)
	}
	if q.terms.Unfair != Fair {
		q.line = append(q.line, r)
		t.waiting++
		return
	}
	if t.waiting == 0 {
		t.start = max(t.start, q.virtual)
		q.weights += t.weight
		t.beyond = t.much(q)
		q.first.push(t)
		q.over.push(t)
		q.least.push(t)
	}
	t.waiting++
	q.refile(t)
	if r.back {
		t.back = append(t.back, r)
		return
	}
	c := t.clients[r.Client]
	if c == nil {
		c = &client{name: r.Client, tenant: t, start: t.virtual}
		if t.clients == nil {
			t.clients = map[string]*client{}
		}
		t.clients[r.Client] = c
	} else if c.left > 0 {
		c.left = 0
		q.clients--
	}
	r.client = c
	c.waiting = append(c.waiting, r)
	if len(c.waiting) == 1 {
		c.start = max(c.start, t.virtual)
		t.first.push(c)
		t.over.push(c)
	} else {
		t.over.fix(c)
	}
}

// refile moves a tenant to where it stands now by what it asks for.
func (q *Queue) refile(t *tenant) {
	t.beyond = t.much(q)
	q.over.fix(t)
	q.least.fix(t)
}

// take takes a request out of line, wherever it stands.
func (q *Queue) take(r *request) {
	delete(q.byID, r.ID)
	q.bytes -= r.Bytes
	q.deadlines.remove(r)
	t := r.tenant
	t.waiting--
	if q.terms.Unfair != Fair {
		if q.line = without(q.line, r); t.waiting == 0 {
			q.idle.push(t)
			q.forget()
		}
		return
	}
	if r.back {
		t.back = without(t.back, r)
	} else {
		c := r.client
		if c.waiting = without(c.waiting, r); len(c.waiting) == 0 {
			t.first.remove(c)
			t.over.remove(c)
			q.depart(c)
		} else {
			t.over.fix(c)
		}
	}
	if t.waiting > 0 {
		q.refile(t)
		return
	}
	q.first.remove(t)
	q.over.remove(t)
	q.least.remove(t)
	if q.weights -= t.weight; q.first.len() == 0 {
		q.weights = 0
	}
	for _, c := range t.clients { // among its clients nothing is owed once none waits
		if c.left > 0 {
			c.left = 0
			q.clients--
		}
	}
	t.clients = nil
	q.idle.push(t)
	q.forget()
}

// depart remembers a client that has nothing waiting any more, for as long as there is room.
func (q *Queue) depart(c *client) {
	q.seq++
	c.left = q.seq
	q.clients++
	q.departed = append(q.departed, departure{c, q.seq})
	for q.gone < len(q.departed) {
		d := q.departed[q.gone]
		if d.c.left == d.left {
			if q.clients <= q.terms.Clients {
				break
			}
			delete(d.c.tenant.clients, d.c.name)
			d.c.left = 0
			q.clients--
		}
		q.departed[q.gone] = departure{}
		q.gone++
	}
	if len(q.departed) > 2*q.terms.Clients+16 { // those that came again in between
		live := q.departed[:0]
		for _, d := range q.departed[q.gone:] {
			if d.c.left == d.left {
				live = append(live, d)
			}
		}
		clear(q.departed[len(live):])
		q.departed, q.gone = live, 0
	}
}

func without(all []*request, r *request) []*request {
	for i, x := range all {
		if x == r {
			copy(all[i:], all[i+1:])
			all[len(all)-1] = nil
			return all[:len(all)-1]
		}
	}
	return all
}

// next is whose turn it is.
func (q *Queue) next() *request {
	switch q.terms.Unfair {
	case Fifo:
		if len(q.line) > 0 {
			return q.line[0]
		}
		return nil
	case Buckets:
		for _, r := range q.line {
			if t := r.tenant; t.filled == 0 {
				t.tokens, t.filled = q.terms.PerSec, q.now
			} else {
				t.tokens = min(t.tokens+float64(q.now-t.filled)/1e6*q.terms.PerSec, max(q.terms.PerSec, 1))
				t.filled = q.now
			}
			if r.tenant.tokens >= 1 {
				return r
			}
		}
		return nil
	}
	t := q.first.top()
	if t == nil {
		return nil
	}
	if q.full {
		t = q.over.top()
	} else if x := q.least.top(); !q.pace.room(false) && x.within(q) { // only such ones may go now
		t = x
	}
	if len(t.back) > 0 {
		return t.back[0]
	}
	return t.first.top().waiting[0]
}

// serve charges a tenant and a client with a request, and admits it.
func (q *Queue) serve(r *request) {
	t := r.tenant
	if q.terms.Unfair == Buckets {
		t.tokens--
	}
	if q.terms.Unfair == Fair {
		if q.pace.limited && q.sparse(r) && !r.back {
			q.sparsely.Add(q.now, 1)
		}
		q.virtual = max(q.virtual, t.start)
		t.start += 1 / t.weight
		if c := r.client; c != nil && !r.back {
			t.virtual = max(t.virtual, c.start)
			c.start++
			t.first.fix(c)
			t.over.fix(c)
		}
		q.first.fix(t)
		q.refile(t)
	}
	q.take(r)
	q.admit(r)
}

func (q *Queue) admit(r *request) {
	r.tenant.Figures.Admitted++
	if r.tenant != &q.strangers {
		r.tenant.served.Add(q.now, 1)
	}
	q.Admitted++
	q.out = append(q.out, Verdict{ID: r.ID, Admit: true})
	q.give(r)
}

func (q *Queue) refuse(r *request, why Cause) {
	r.tenant.Figures.Refused++
	q.Refused[why]++
	after, token := q.advise(r.tenant, r.Client)
	if !q.terms.Silent && (r.back || r.Token != "") {
		if due, ok := q.promise.told(&r.Ask); ok && due > q.now { // too early: its time stands
			after, token = due-q.now, r.Token
		}
	}
	q.out = append(q.out, Verdict{ID: r.ID, Cause: why, ComeAgain: after, Token: token})
	q.give(r)
}

func (q *Queue) give(r *request) {
	*r = request{}
	if len(q.free) < q.terms.Waiting {
		q.free = append(q.free, r)
	}
}

// Refuse is what a request that the module has rejected is told.
func (q *Queue) Refuse(tenant, client string) (after Time, token string) {
	t := q.tenant(tenant)
	t.Figures.Refused++
	q.Refused[NoRoom]++
	return q.advise(t, client)
}

// sparseRate is what tenants within their part are served, a second.
func (q *Queue) sparseRate() float64 {
	return q.sparsely.Most(q.now) / float64(servedFor*q.pace.span) * 1e6
}

// rate is the drain that a tenant can count on, a second: what it was served of late, yet no less than its
// part beside all that asked of late, and no more than those within their part leave.
func (q *Queue) rate(t *tenant) float64 {
	span := q.pace.span
	least := q.equal(t)
	got := t.served.Most(q.now) / float64(min(max(q.now-t.began, span/buckets), servedFor*span)) * 1e6
	return min(max(got, least), max(q.pace.perSec(q.now)-q.sparseRate(), least))
}

// advise finds the time at which a tenant's part of the pace is not promised yet: those refused come back
// one after the other at that part, spread by chance within their turns. Where that lies beyond the longest
// advice nothing is promised; the time told is then the longest, spread over its last half.
func (q *Queue) advise(t *tenant, client string) (Time, string) {
	if q.terms.Silent {
		return 0, ""
	}
	rate := q.rate(t)
	come := q.promise.share(q.now)
	turn := 1e6 / (rate * promised) * come
	if !q.pace.limited { // nothing was known to be short: soon, but not all at once
		turn = float64(q.terms.Startup) / buckets
	}
	from := max(float64(t.due), float64(q.now)+turn+float64(t.waiting)/rate*1e6)
	if q.pace.limited { // and of all tenants together, what those within their part leave
		rest := max(q.pace.perSec(q.now)*promised-q.sparseRate(), q.pace.perSec(q.now)/buckets)
		q.slot = max(q.slot, q.now) + Time(1e6/rest*come)
		from = max(from, float64(q.slot))
	}
	due := Time(from + turn*q.chance())
	if l := q.terms.Longest; l > 0 && due-q.now > l {
		return l - Time(float64(l)/2*q.chance()), ""
	}
	t.due = Time(from + turn)
	q.promise.promised(due, q.now)
	return due - q.now, q.promise.token(t.name, client, due)
}

// chance is the next number in [0,1).
func (q *Queue) chance() float64 {
	q.draws++
	b := [4]byte{byte(q.draws >> 24), byte(q.draws >> 16), byte(q.draws >> 8), byte(q.draws)}
	return float64(crc32.Update(crc32.ChecksumIEEE(q.terms.Secret), crc32.IEEETable, b[:])) / (1 << 32)
}

// tenant finds a tenant, or begins to remember it. At the bound those go that have had least of late.
func (q *Queue) tenant(name string) *tenant {
	t := q.tenants[name]
	if t != nil {
		return t
	}
	if len(q.tenants) >= max(q.terms.Tenants, 1) {
		old := q.idle.top()
		if old == nil { // all have something waiting
			return &q.strangers
		}
		q.drop(old)
	}
	t = &tenant{name: name, weight: weight(q.terms.Weights, name), start: q.virtual,
		served: meter.NewCount(servedFor*q.pace.span, buckets)}
	t.first = heap[*client]{less: func(a, b *client) bool { return a.start < b.start || a.start == b.start && a.name < b.name },
		at: func(c *client) *int { return &c.at[0] }}
	t.over = heap[*client]{less: func(a, b *client) bool { return a.end() > b.end() || a.end() == b.end() && a.name < b.name },
		at: func(c *client) *int { return &c.at[1] }}
	q.tenants[name] = t
	q.idle.push(t)
	return t
}

func (q *Queue) drop(t *tenant) {
	q.idle.remove(t)
	delete(q.tenants, t.name)
	f, g := &q.strangers.Figures, &t.Figures
	f.Asked, f.Admitted, f.Refused, f.Returned = f.Asked+g.Asked, f.Admitted+g.Admitted, f.Refused+g.Refused, f.Returned+g.Returned
}

// forget drops what is remembered beyond the bound.
func (q *Queue) forget() {
	for len(q.tenants) > max(q.terms.Tenants, 1) && q.idle.len() > 0 {
		q.drop(q.idle.top())
	}
}

// Gone takes a request out whose player has left.
func (q *Queue) Gone(id int) {
	if r := q.byID[id]; r != nil {
		q.take(r)
		q.give(r)
	}
}

// Played tells that an admitted request plays, and how long its setup took.
func (q *Queue) Played(took Time) {
	q.setup += (float64(took) - q.setup) / 16
	q.pace.played(q.now)
}

// Carrying tells how many playbacks the session manager carries or is setting up.
func (q *Queue) Carrying(n int) { q.pace.carried = float64(n) }

// Ended tells that a playback that played has ended.
func (q *Queue) Ended() { q.pace.ended(q.now) }

// Accepted tells that the module has sent an admitted one to a box.
func (q *Queue) Accepted() { q.full, q.asked, q.rejects = false, false, 0 }

// Rejected tells that the module rejected an admitted one for want of room. Those that have had more than
// their part pause for a breath, so that what room comes free is there for the others. After a third one in
// a row the next to ask is the most over-served, after a while that doubles with each.
func (q *Queue) Rejected() {
	q.full, q.asked = q.rejects >= doubt, false
	q.pace.rejected(q.now)
	breath := q.pace.span / buckets
	q.breath = q.now + breath
	q.probe = q.now + min(q.pace.turnTime(q.now)<<min(q.rejects, 10), breath/probes)
	q.rejects++
}

// Turned tells how long a turn of the session manager took.
func (q *Queue) Turned(took Time) {
	if took > q.terms.Startup/busyPart {
		q.pace.rejected(q.now)
	}
}

// Waiting is how many wait, and what they hold.
func (q *Queue) Waiting() (requests, bytes int) { return len(q.byID), q.bytes }

// PerSec is the pace at which requests are admitted; infinite while all are.
func (q *Queue) PerSec() float64 {
	if !q.pace.limited {
		return math.Inf(1)
	}
	return q.pace.perSec(q.now)
}

// Remembered is how many tenants are.
func (q *Queue) Remembered() int { return len(q.tenants) }

// Each tells the figures of all tenants remembered, and of the others together under the empty name.
func (q *Queue) Each(tell func(name string, f TenantFigures)) {
	for name, t := range q.tenants {
		tell(name, t.Figures)
	}
	tell("", q.strangers.Figures)
}

// Settle emits what is to become of requests now: the difference between what should wait and what does.
// It admits one at a time, as the module's word on it bears on the next: Accepted, Rejected or Gone. While
// that word was that there is no room, the most over-served is asked first, so that the lone one does not
// spend its only request on finding out. It returns when it wants to be called again at the latest.
func (q *Queue) Settle(emit func(Verdict)) Time {
	q.pace.turn(q.now, len(q.byID) > 0)
	q.asked = false
	for len(q.byID) > 0 {
		if r := q.deadlines.top(); r.deadline <= q.now {
			q.take(r)
			q.refuse(r, Late)
			continue
		}
		if q.asked {
			break
		}
		r := q.next()
		if r == nil || q.paused(r) || !q.pace.room(q.full || q.sparse(r)) {
			break
		}
		q.serve(r)
		q.pace.carried++
		q.asked = true
	}
	for i := 0; i < len(q.out); i++ {
		emit(q.out[i])
	}
	clear(q.out)
	q.out = q.out[:0]
	if len(q.byID) == 0 {
		return math.MaxInt64
	}
	if q.asked {
		return q.now
	}
	at := q.now + q.pace.span/buckets // a playback that ends brings a turn sooner
	if q.full {
		at = min(at, max(q.probe, q.now+1))
	}
	if q.terms.Unfair == Buckets {
		at = q.now + q.terms.Startup/busyPart/buckets
	}
	return min(q.deadlines.top().deadline, max(at, q.now+1))
}

// paused tells whether a request has to wait for what was last said of room.
func (q *Queue) paused(r *request) bool {
	if q.terms.Unfair != Fair {
		return false
	}
	if q.full {
		return q.now < q.probe
	}
	return q.now < q.breath && !q.sparse(r)
}

// sparse tells whether a request is of a tenant that has had, and asks for, no more than its part, give or
// take a few requests.
func (q *Queue) sparse(r *request) bool {
	return q.terms.Unfair == Fair && r.tenant.within(q)
}

// within tells whether a tenant has few waiting and was served of late no more than its part beside all that
// asked, give or take.
func (t *tenant) within(q *Queue) bool {
	return t.end() <= q.virtual+allowance/t.weight && !t.much(q)
}

// much tells whether a tenant was served more than its part.
func (t *tenant) much(q *Queue) bool {
	most := q.equal(t) * float64(servedFor*q.pace.span) / 1e6 * leeway
	return t.served.Most(q.now) > max(most, allowance)
}

// equal is a tenant's part of the drain beside all that asked of late, a second.
func (q *Queue) equal(t *tenant) float64 {
	if q.now-q.activeAt > q.pace.span/buckets || q.active == 0 {
		q.activeAt, q.active = q.now, 0
		for _, x := range q.tenants {
			if q.now-x.asked <= q.pace.span {
				q.active += x.weight
			}
		}
	}
	return q.pace.perSec(q.now) * t.weight / max(q.active, t.weight)
}
