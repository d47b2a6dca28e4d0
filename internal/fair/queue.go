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
	meterBuckets        = 8
	windowShare         = 0.88 // the window is this part of what was carried when a rejection was met;
	ceilingShare        = 0.94 // and at most this part of what those within their part may use;
	slowGrowth          = 0.01 // it grows by this part in a span of two startup targets up to there,
	fastGrowth          = 0.40 // and by this one beyond, while nothing is rejected
	peakDecaySpans      = 32   // spans over which the most that was carried fades
	toleratedRejections = 2    // rejections in a row that may be bad luck at the edge of what there is room for
	probesPerPause      = 4    // at least so many are tried in a breath while there is no room
	serviceSpans        = 2    // spans over which a tenant's drain is measured
	returnWindows       = 4    // windows of promises over which it is measured how many are kept
	reservedShare       = 0.88 // of what others leave of the pace is promised to those who come back
	shareTolerance      = 2    // times a tenant's part of the drain that still counts as within it
	requestTolerance    = 4    // requests by which a tenant may be ahead or behind and counts as within its part
	longTurnDivisor     = 8    // a turn over this part of the startup target counts as a rejection
	quietSpans          = 4    // spans without a rejection or anything waiting, until all are admitted as they come
	setupReserve        = 2    // times the usual setup time is kept for the setup
)

type queuedRequest struct {
	Ask
	arrived   Time
	deadline  Time // refused then, if it still waits
	tenant    *tenant
	client    *client
	returning bool // it came back when told to
	seq       uint64
	heapIndex int // in the queue's deadlines
}

// tenant is one class of the fair order; client is one of its.
type tenant struct {
	name          string
	weight        float64
	startTag      float64 // virtual time of its next service
	virtualTime   float64 // among its clients
	waiting       int
	byStart       heap[*client] // by start
	byFinish      heap[*client] // by virtual end of what waits
	clients       map[string]*client
	returning     []*queuedRequest // came back when told: served before the others
	reservedUntil Time             // until when its part of the pace is promised
	heapIndex     [4]int           // in the queue's heaps
	overServed    bool             // it was served more than its part of late, when that was last looked at
	lastRequest   Time             // last
	activeSince   Time             // to ask, after a pause
	served        meter.Count
	bucketTokens  float64 // of the bucket baseline
	refilledAt    Time
	Figures       TenantFigures
}

type client struct {
	name      string
	tenant    *tenant
	startTag  float64
	waiting   []*queuedRequest
	heapIndex [2]int
	idleSeq   uint64 // when it last had something waiting, by the queue's count
}

// TenantFigures count what became of a tenant's requests.
type TenantFigures struct{ Asked, Admitted, Refused, Returned int64 }

// Queue is the door of one session manager.
type Queue struct {
	config                Terms
	now                   Time
	tenants               map[string]*tenant
	byStart               heap[*tenant]        // that have something waiting, by start
	byFinish              heap[*tenant]        // the same, by virtual end of what waits
	leastServed           heap[*tenant]        // the same the other way round
	idle                  heap[*tenant]        // remembered only, by start
	deadlines             heap[*queuedRequest] // of all that waits
	baselineQueue         []*queuedRequest     // of the baselines
	byID                  map[int]*queuedRequest
	virtualTime           float64
	waitingWeight         float64 // of the tenants that have something waiting
	waitingBytes          int
	seq                   uint64
	randomDraws           uint32
	setupTime             float64 // usual setup time
	window                admissionWindow
	reservations          reservations
	reservedUntil         Time        // until when the pace is promised to those who come back
	servedWithinShare     meter.Count // admitted, of tenants within their part
	decisions             []Verdict
	noCapacity            bool   // the module's latest word was that there is no room
	consecutiveRejections int    // in a row
	nextProbe             Time   // not asked before, while full
	pausedUntil           Time   // until when only the sparse are served
	awaitingResult        bool   // the word on the one admitted last is not out yet
	untracked             tenant // the figures of tenants no longer remembered
	Refused               [Causes]int64
	Admitted              int64
	freeRequests          []*queuedRequest
	idleClients           []idleClient // clients remembered without anything waiting, oldest first
	idleHead              int          // of departed, at its beginning: no longer remembered
	idleClientCount       int          // of them
	activeWeight          float64      // weights of the tenants that asked of late
	activeWeightAt        Time
}

type idleClient struct {
	client  *client
	idleSeq uint64
}

// New makes a queue.
func New(config Terms, now Time) *Queue {
	q := &Queue{now: now, tenants: make(map[string]*tenant, 64), byID: make(map[int]*queuedRequest, 64)}
	q.byStart = heap[*tenant]{less: func(a, b *tenant) bool { return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name },
		indexOf: func(t *tenant) *int { return &t.heapIndex[0] }}
	q.byFinish = heap[*tenant]{less: func(a, b *tenant) bool {
		return a.finishTag() > b.finishTag() || a.finishTag() == b.finishTag() && a.name < b.name
	},
		indexOf: func(t *tenant) *int { return &t.heapIndex[1] }}
	q.leastServed = heap[*tenant]{less: func(a, b *tenant) bool {
		if a.overServed != b.overServed {
			return b.overServed
		}
		return a.finishTag() < b.finishTag() || a.finishTag() == b.finishTag() && a.name < b.name
	},
		indexOf: func(t *tenant) *int { return &t.heapIndex[3] }}
	q.idle = heap[*tenant]{less: func(a, b *tenant) bool { return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name },
		indexOf: func(t *tenant) *int { return &t.heapIndex[2] }}
	q.deadlines = heap[*queuedRequest]{less: func(a, b *queuedRequest) bool {
		return a.deadline < b.deadline || a.deadline == b.deadline && a.seq < b.seq
	}, indexOf: func(r *queuedRequest) *int { return &r.heapIndex }}
	q.window = newAdmissionWindow(config.Startup, now)
	q.reservations = newReservations(config.Secret, config.Startup, now)
	q.servedWithinShare = meter.NewCount(serviceSpans*q.window.span, meterBuckets)
	q.untracked = tenant{weight: 1, served: meter.NewCount(serviceSpans*q.window.span, meterBuckets)}
	q.Tell(config)
	return q
}

// end is the virtual time at which the last of what waits would have been served: who has the latest is the
// most over-served.
func (t *tenant) finishTag() float64 { return t.startTag + float64(t.waiting)/t.weight }
func (c *client) finishTag() float64 { return c.startTag + float64(len(c.waiting)) }

// Tell gives new terms while requests wait: weights count from now on, and what no longer fits is refused.
func (q *Queue) Tell(config Terms) {
	q.config = config
	q.waitingWeight = 0
	for _, t := range q.tenants {
		t.weight = weightOf(config.Weights, t.name)
		if t.waiting > 0 {
			q.waitingWeight += t.weight
		}
	}
	q.byFinish.init()
	q.leastServed.init()
	for len(q.byID) > max(config.Waiting, 0) || q.waitingBytes > config.Bytes {
		q.shed()
	}
	q.trimTenants()
}

func weightOf(weights map[string]float64, name string) float64 {
	if weight, ok := weights[name]; ok && weight > 0 {
		return weight
	}
	return 1
}

// At begins a turn.
func (q *Queue) At(now Time) {
	q.now = max(q.now, now)
	q.reservations.advance(q.now)
}

// Behind tells by how much this turn comes late: those who came back in time meanwhile have not come late.
func (q *Queue) Behind(late Time) { q.reservations.lag = max(late, 0) }

// Offer takes a request. What becomes of it comes out of Settle, at the latest at its deadline.
func (q *Queue) Offer(ask Ask) {
	if q.byID[ask.ID] != nil {
		return
	}
	t := q.lookup(ask.Tenant)
	t.Figures.Asked++
	if q.now-t.lastRequest > q.window.span {
		t.activeSince = q.now
	}
	t.lastRequest = q.now
	r := q.newRequest()
	r.Ask, r.arrived, r.tenant = ask, q.now, t
	r.returning = q.reservations.redeem(&ask, q.now)
	if r.returning {
		t.Figures.Returned++
	}
	r.deadline = min(ask.Startup, ask.Abandon) - Time(setupReserve*q.setupTime)
	switch {
	case t == &q.untracked:
		q.refuse(r, Crowded)
	case q.config.Unfair != Fair && (len(q.byID) >= q.config.Waiting || q.waitingBytes+r.Bytes > q.config.Bytes):
		q.refuse(r, Crowded)
	case q.config.Unfair != Fair:
		q.enqueue(r)
	case r.deadline < q.now || q.window.limited && !t.withinShare(q) && q.expectedWait(t, r.returning) > float64(r.deadline-q.now):
		q.refuse(r, Late)
	case !q.makeRoom(t, r):
		q.refuse(r, Crowded)
	default:
		q.enqueue(r)
	}
}

// wait is how long a further request of a tenant would wait: what of its own is before it, at its part of
// the pace.
func (q *Queue) expectedWait(t *tenant, back bool) float64 {
	ahead := t.waiting
	if back {
		ahead = len(t.returning)
	}
	return float64(ahead+1) / q.waitingRate(t) * 1e6
}

// part is a tenant's part of the pace, a second, with what waits now.
func (q *Queue) waitingRate(t *tenant) float64 {
	total := q.waitingWeight
	if t.waiting == 0 {
		total += t.weight
	}
	return q.window.rate(q.now) * t.weight / total
}

// fits makes room at a bound: the most over-served loses first, which may be the newcomer itself.
func (q *Queue) makeRoom(t *tenant, r *queuedRequest) bool {
	for len(q.byID) >= q.config.Waiting || q.waitingBytes+r.Bytes > q.config.Bytes {
		overServed := q.byFinish.top()
		if overServed == nil || r.Bytes > q.config.Bytes {
			return false
		}
		start := t.startTag
		if t.waiting == 0 {
			start = max(start, q.virtualTime)
		}
		if start+float64(t.waiting+1)/t.weight >= overServed.finishTag() && overServed != t {
			return false
		}
		if overServed == t && !r.returning { // of one tenant: the client that has most loses
			c := t.clients[r.Client]
			finish := t.virtualTime + 1
			if c != nil {
				finish = c.finishTag() + 1
			}
			if top := t.byFinish.top(); top == nil || finish >= top.finishTag() {
				return false
			}
		}
		q.shed()
	}
	return true
}

// shed refuses the last request of the most over-served client of the most over-served tenant.
func (q *Queue) shed() {
	if q.config.Unfair != Fair {
		r := q.baselineQueue[len(q.baselineQueue)-1]
		q.dequeue(r)
		q.refuse(r, Crowded)
		return
	}
	t := q.byFinish.top()
	var r *queuedRequest
	if c := t.byFinish.top(); c != nil {
		r = c.waiting[len(c.waiting)-1]
	} else {
		r = t.returning[len(t.returning)-1]
	}
	q.dequeue(r)
	q.refuse(r, Crowded)
}

func (q *Queue) newRequest() *queuedRequest {
	if n := len(q.freeRequests); n > 0 {
		r := q.freeRequests[n-1]
		q.freeRequests = q.freeRequests[:n-1]
		return r
	}
	return &queuedRequest{}
}

// enqueue puts a request in line.
func (q *Queue) enqueue(r *queuedRequest) {
	q.seq++
	r.seq = q.seq
	q.byID[r.ID] = r
	q.waitingBytes += r.Bytes
	q.deadlines.push(r)
	t := r.tenant
	if t.waiting == 0 {
		q.idle.remove(t)
	}
	if q.config.Unfair != Fair {
		q.baselineQueue = append(q.baselineQueue, r)
		t.waiting++
		return
	}
	if t.waiting == 0 {
		t.startTag = max(t.startTag, q.virtualTime)
		q.waitingWeight += t.weight
		t.overServed = t.overShare(q)
		q.byStart.push(t)
		q.byFinish.push(t)
		q.leastServed.push(t)
	}
	t.waiting++
	q.updatePosition(t)
	if r.returning {
		t.returning = append(t.returning, r)
		return
	}
	c := t.clients[r.Client]
	if c == nil {
		c = &client{name: r.Client, tenant: t, startTag: t.virtualTime}
		if t.clients == nil {
			t.clients = map[string]*client{}
		}
		t.clients[r.Client] = c
	} else if c.idleSeq > 0 {
		c.idleSeq = 0
		q.idleClientCount--
	}
	r.client = c
	c.waiting = append(c.waiting, r)
	if len(c.waiting) == 1 {
		c.startTag = max(c.startTag, t.virtualTime)
		t.byStart.push(c)
		t.byFinish.push(c)
	} else {
		t.byFinish.fix(c)
	}
}

// refile moves a tenant to where it stands now by what it asks for.
func (q *Queue) updatePosition(t *tenant) {
	t.overServed = t.overShare(q)
	q.byFinish.fix(t)
	q.leastServed.fix(t)
}

// take takes a request out of line, wherever it stands.
func (q *Queue) dequeue(r *queuedRequest) {
	delete(q.byID, r.ID)
	q.waitingBytes -= r.Bytes
	q.deadlines.remove(r)
	t := r.tenant
	t.waiting--
	if q.config.Unfair != Fair {
		if q.baselineQueue = removeRequest(q.baselineQueue, r); t.waiting == 0 {
			q.idle.push(t)
			q.trimTenants()
		}
		return
	}
	if r.returning {
		t.returning = removeRequest(t.returning, r)
	} else {
		c := r.client
		if c.waiting = removeRequest(c.waiting, r); len(c.waiting) == 0 {
			t.byStart.remove(c)
			t.byFinish.remove(c)
			q.rememberIdle(c)
		} else {
			t.byFinish.fix(c)
		}
	}
	if t.waiting > 0 {
		q.updatePosition(t)
		return
	}
	q.byStart.remove(t)
	q.byFinish.remove(t)
	q.leastServed.remove(t)
	if q.waitingWeight -= t.weight; q.byStart.len() == 0 {
		q.waitingWeight = 0
	}
	for _, c := range t.clients { // among its clients nothing is owed once none waits
		if c.idleSeq > 0 {
			c.idleSeq = 0
			q.idleClientCount--
		}
	}
	t.clients = nil
	q.idle.push(t)
	q.trimTenants()
}

// depart remembers a client that has nothing waiting any more, for as long as there is room.
func (q *Queue) rememberIdle(c *client) {
	q.seq++
	c.idleSeq = q.seq
	q.idleClientCount++
	q.idleClients = append(q.idleClients, idleClient{c, q.seq})
	for q.idleHead < len(q.idleClients) {
		oldest := q.idleClients[q.idleHead]
		if oldest.client.idleSeq == oldest.idleSeq {
			if q.idleClientCount <= q.config.Clients {
				break
			}
			delete(oldest.client.tenant.clients, oldest.client.name)
			oldest.client.idleSeq = 0
			q.idleClientCount--
		}
		q.idleClients[q.idleHead] = idleClient{}
		q.idleHead++
	}
	if len(q.idleClients) > 2*q.config.Clients+16 { // those that came again in between
		live := q.idleClients[:0]
		for _, oldest := range q.idleClients[q.idleHead:] {
			if oldest.client.idleSeq == oldest.idleSeq {
				live = append(live, oldest)
			}
		}
		clear(q.idleClients[len(live):])
		q.idleClients, q.idleHead = live, 0
	}
}

func removeRequest(queue []*queuedRequest, r *queuedRequest) []*queuedRequest {
	for i, other := range queue {
		if other == r {
			copy(queue[i:], queue[i+1:])
			queue[len(queue)-1] = nil
			return queue[:len(queue)-1]
		}
	}
	return queue
}

// next is whose turn it is.
func (q *Queue) next() *queuedRequest {
	switch q.config.Unfair {
	case Fifo:
		if len(q.baselineQueue) > 0 {
			return q.baselineQueue[0]
		}
		return nil
	case Buckets:
		for _, r := range q.baselineQueue {
			if t := r.tenant; t.refilledAt == 0 {
				t.bucketTokens, t.refilledAt = q.config.PerSec, q.now
			} else {
				t.bucketTokens = min(t.bucketTokens+float64(q.now-t.refilledAt)/1e6*q.config.PerSec, max(q.config.PerSec, 1))
				t.refilledAt = q.now
			}
			if r.tenant.bucketTokens >= 1 {
				return r
			}
		}
		return nil
	}
	t := q.byStart.top()
	if t == nil {
		return nil
	}
	if q.noCapacity {
		t = q.byFinish.top()
	} else if least := q.leastServed.top(); !q.window.hasRoom(false) && least.withinShare(q) { // only such ones may go now
		t = least
	}
	if len(t.returning) > 0 {
		return t.returning[0]
	}
	return t.byStart.top().waiting[0]
}

// serve charges a tenant and a client with a request, and admits it.
func (q *Queue) serve(r *queuedRequest) {
	t := r.tenant
	if q.config.Unfair == Buckets {
		t.bucketTokens--
	}
	if q.config.Unfair == Fair {
		if q.window.limited && q.withinShare(r) && !r.returning {
			q.servedWithinShare.Add(q.now, 1)
		}
		q.virtualTime = max(q.virtualTime, t.startTag)
		t.startTag += 1 / t.weight
		if c := r.client; c != nil && !r.returning {
			t.virtualTime = max(t.virtualTime, c.startTag)
			c.startTag++
			t.byStart.fix(c)
			t.byFinish.fix(c)
		}
		q.byStart.fix(t)
		q.updatePosition(t)
	}
	q.dequeue(r)
	q.admit(r)
}

func (q *Queue) admit(r *queuedRequest) {
	r.tenant.Figures.Admitted++
	if r.tenant != &q.untracked {
		r.tenant.served.Add(q.now, 1)
	}
	q.Admitted++
	q.decisions = append(q.decisions, Verdict{ID: r.ID, Admit: true})
	q.release(r)
}

func (q *Queue) refuse(r *queuedRequest, cause Cause) {
	r.tenant.Figures.Refused++
	q.Refused[cause]++
	retryAfter, token := q.reserveRetry(r.tenant, r.Client)
	if !q.config.Silent && (r.returning || r.Token != "") {
		if due, ok := q.reservations.verify(&r.Ask); ok && due > q.now { // too early: its time stands
			retryAfter, token = due-q.now, r.Token
		}
	}
	q.decisions = append(q.decisions, Verdict{ID: r.ID, Cause: cause, ComeAgain: retryAfter, Token: token})
	q.release(r)
}

func (q *Queue) release(r *queuedRequest) {
	*r = queuedRequest{}
	if len(q.freeRequests) < q.config.Waiting {
		q.freeRequests = append(q.freeRequests, r)
	}
}

// Refuse is what a request that the module has rejected is told.
func (q *Queue) Refuse(tenant, client string) (after Time, token string) {
	t := q.lookup(tenant)
	t.Figures.Refused++
	q.Refused[NoRoom]++
	return q.reserveRetry(t, client)
}

// sparseRate is what tenants within their part are served, a second.
func (q *Queue) withinShareRate() float64 {
	return q.servedWithinShare.Most(q.now) / float64(serviceSpans*q.window.span) * 1e6
}

// rate is the drain that a tenant can count on, a second: what it was served of late, yet no less than its
// part beside all that asked of late, and no more than those within their part leave.
func (q *Queue) drainRate(t *tenant) float64 {
	span := q.window.span
	floor := q.fairRate(t)
	served := t.served.Most(q.now) / float64(min(max(q.now-t.activeSince, span/meterBuckets), serviceSpans*span)) * 1e6
	return min(max(served, floor), max(q.window.rate(q.now)-q.withinShareRate(), floor))
}

// advise finds the time at which a tenant's part of the pace is not promised yet: those refused come back
// one after the other at that part, spread by chance within their turns. Where that lies beyond the longest
// advice nothing is promised; the time told is then the longest, spread over its last half.
func (q *Queue) reserveRetry(t *tenant, client string) (Time, string) {
	if q.config.Silent {
		return 0, ""
	}
	rate := q.drainRate(t)
	returnRate := q.reservations.returnRate(q.now)
	interval := 1e6 / (rate * reservedShare) * returnRate
	if !q.window.limited { // nothing was known to be short: soon, but not all at once
		interval = float64(q.config.Startup) / meterBuckets
	}
	earliest := max(float64(t.reservedUntil), float64(q.now)+interval+float64(t.waiting)/rate*1e6)
	if q.window.limited { // and of all tenants together, what those within their part leave
		leftover := max(q.window.rate(q.now)*reservedShare-q.withinShareRate(), q.window.rate(q.now)/meterBuckets)
		q.reservedUntil = max(q.reservedUntil, q.now) + Time(1e6/leftover*returnRate)
		earliest = max(earliest, float64(q.reservedUntil))
	}
	due := Time(earliest + interval*q.random())
	if longest := q.config.Longest; longest > 0 && due-q.now > longest {
		return longest - Time(float64(longest)/2*q.random()), ""
	}
	t.reservedUntil = Time(earliest + interval)
	q.reservations.add(due, q.now)
	return due - q.now, q.reservations.token(t.name, client, due)
}

// chance is the next number in [0,1).
func (q *Queue) random() float64 {
	q.randomDraws++
	b := [4]byte{byte(q.randomDraws >> 24), byte(q.randomDraws >> 16), byte(q.randomDraws >> 8), byte(q.randomDraws)}
	return float64(crc32.Update(crc32.ChecksumIEEE(q.config.Secret), crc32.IEEETable, b[:])) / (1 << 32)
}

// tenant finds a tenant, or begins to remember it. At the bound those go that have had least of late.
func (q *Queue) lookup(name string) *tenant {
	t := q.tenants[name]
	if t != nil {
		return t
	}
	if len(q.tenants) >= max(q.config.Tenants, 1) {
		evicted := q.idle.top()
		if evicted == nil { // all have something waiting
			return &q.untracked
		}
		q.forgetTenant(evicted)
	}
	t = &tenant{name: name, weight: weightOf(q.config.Weights, name), startTag: q.virtualTime,
		served: meter.NewCount(serviceSpans*q.window.span, meterBuckets)}
	t.byStart = heap[*client]{less: func(a, b *client) bool { return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name },
		indexOf: func(c *client) *int { return &c.heapIndex[0] }}
	t.byFinish = heap[*client]{less: func(a, b *client) bool {
		return a.finishTag() > b.finishTag() || a.finishTag() == b.finishTag() && a.name < b.name
	},
		indexOf: func(c *client) *int { return &c.heapIndex[1] }}
	q.tenants[name] = t
	q.idle.push(t)
	return t
}

func (q *Queue) forgetTenant(t *tenant) {
	q.idle.remove(t)
	delete(q.tenants, t.name)
	total, figures := &q.untracked.Figures, &t.Figures
	total.Asked, total.Admitted, total.Refused, total.Returned = total.Asked+figures.Asked, total.Admitted+figures.Admitted, total.Refused+figures.Refused, total.Returned+figures.Returned
}

// forget drops what is remembered beyond the bound.
func (q *Queue) trimTenants() {
	for len(q.tenants) > max(q.config.Tenants, 1) && q.idle.len() > 0 {
		q.forgetTenant(q.idle.top())
	}
}

// Gone takes a request out whose player has left.
func (q *Queue) Gone(id int) {
	if r := q.byID[id]; r != nil {
		q.dequeue(r)
		q.release(r)
	}
}

// Played tells that an admitted request plays, and how long its setup took.
func (q *Queue) Played(took Time) {
	q.setupTime += (float64(took) - q.setupTime) / 16
	q.window.started(q.now)
}

// Carrying tells how many playbacks the session manager carries or is setting up.
func (q *Queue) Carrying(n int) { q.window.active = float64(n) }

// Ended tells that a playback that played has ended.
func (q *Queue) Ended() { q.window.ended(q.now) }

// Accepted tells that the module has sent an admitted one to a box.
func (q *Queue) Accepted() { q.noCapacity, q.awaitingResult, q.consecutiveRejections = false, false, 0 }

// Rejected tells that the module rejected an admitted one for want of room. Those that have had more than
// their part pause for a breath, so that what room comes free is there for the others. After a third one in
// a row the next to ask is the most over-served, after a while that doubles with each.
func (q *Queue) Rejected() {
	q.noCapacity, q.awaitingResult = q.consecutiveRejections >= toleratedRejections, false
	q.window.rejected(q.now)
	breath := q.window.span / meterBuckets
	q.pausedUntil = q.now + breath
	q.nextProbe = q.now + min(q.window.interval(q.now)<<min(q.consecutiveRejections, 10), breath/probesPerPause)
	q.consecutiveRejections++
}

// Turned tells how long a turn of the session manager took.
func (q *Queue) Turned(took Time) {
	if took > q.config.Startup/longTurnDivisor {
		q.window.rejected(q.now)
	}
}

// Waiting is how many wait, and what they hold.
func (q *Queue) Waiting() (requests, bytes int) { return len(q.byID), q.waitingBytes }

// PerSec is the pace at which requests are admitted; infinite while all are.
func (q *Queue) PerSec() float64 {
	if !q.window.limited {
		return math.Inf(1)
	}
	return q.window.rate(q.now)
}

// Remembered is how many tenants are.
func (q *Queue) Remembered() int { return len(q.tenants) }

// Each tells the figures of all tenants remembered, and of the others together under the empty name.
func (q *Queue) Each(report func(name string, f TenantFigures)) {
	for name, t := range q.tenants {
		report(name, t.Figures)
	}
	report("", q.untracked.Figures)
}

// Settle emits what is to become of requests now: the difference between what should wait and what does.
// It admits one at a time, as the module's word on it bears on the next: Accepted, Rejected or Gone. While
// that word was that there is no room, the most over-served is asked first, so that the lone one does not
// spend its only request on finding out. It returns when it wants to be called again at the latest.
func (q *Queue) Settle(emit func(Verdict)) Time {
	q.window.advance(q.now, len(q.byID) > 0)
	q.awaitingResult = false
	for len(q.byID) > 0 {
		if r := q.deadlines.top(); r.deadline <= q.now {
			q.dequeue(r)
			q.refuse(r, Late)
			continue
		}
		if q.awaitingResult {
			break
		}
		r := q.next()
		if r == nil || q.paused(r) || !q.window.hasRoom(q.noCapacity || q.withinShare(r)) {
			break
		}
		q.serve(r)
		q.window.active++
		q.awaitingResult = true
	}
	for i := 0; i < len(q.decisions); i++ {
		emit(q.decisions[i])
	}
	clear(q.decisions)
	q.decisions = q.decisions[:0]
	if len(q.byID) == 0 {
		return math.MaxInt64
	}
	if q.awaitingResult {
		return q.now
	}
	nextCall := q.now + q.window.span/meterBuckets // a playback that ends brings a turn sooner
	if q.noCapacity {
		nextCall = min(nextCall, max(q.nextProbe, q.now+1))
	}
	if q.config.Unfair == Buckets {
		nextCall = q.now + q.config.Startup/longTurnDivisor/meterBuckets
	}
	return min(q.deadlines.top().deadline, max(nextCall, q.now+1))
}

// paused tells whether a request has to wait for what was last said of room.
func (q *Queue) paused(r *queuedRequest) bool {
	if q.config.Unfair != Fair {
		return false
	}
	if q.noCapacity {
		return q.now < q.nextProbe
	}
	return q.now < q.pausedUntil && !q.withinShare(r)
}

// sparse tells whether a request is of a tenant that has had, and asks for, no more than its part, give or
// take a few requests.
func (q *Queue) withinShare(r *queuedRequest) bool {
	return q.config.Unfair == Fair && r.tenant.withinShare(q)
}

// within tells whether a tenant has few waiting and was served of late no more than its part beside all that
// asked, give or take.
func (t *tenant) withinShare(q *Queue) bool {
	return t.finishTag() <= q.virtualTime+requestTolerance/t.weight && !t.overShare(q)
}

// much tells whether a tenant was served more than its part.
func (t *tenant) overShare(q *Queue) bool {
	limit := q.fairRate(t) * float64(serviceSpans*q.window.span) / 1e6 * shareTolerance
	return t.served.Most(q.now) > max(limit, requestTolerance)
}

// equal is a tenant's part of the drain beside all that asked of late, a second.
func (q *Queue) fairRate(t *tenant) float64 {
	if q.now-q.activeWeightAt > q.window.span/meterBuckets || q.activeWeight == 0 {
		q.activeWeightAt, q.activeWeight = q.now, 0
		for _, t := range q.tenants {
			if q.now-t.lastRequest <= q.window.span {
				q.activeWeight += t.weight
			}
		}
	}
	return q.window.rate(q.now) * t.weight / max(q.activeWeight, t.weight)
}
