// Package fair implements the admission queue of a session manager. It decides when a playback request is
// passed to the decision module and which requests are refused before that. The queue is fair between tenants
// and, within a tenant, between clients; its memory is bounded, and refused clients are given a retry time
// that the queue expects to keep. The package does no I/O and is independent of the wire protocol.
// docs/fair.md compares the alternatives considered.
//
// Requests are ordered by start-time fair queueing (Goyal, Vin, Cheng, SIGCOMM 1996) on two levels: tenants by
// weight, and the clients of each tenant. The state of a tenant or client is a virtual start time and a count;
// it is needed only while requests wait or while the tenant or client has recently had more than its share.
package fair

import (
	"hash/crc32"
	"math"

	"pierlink/internal/meter"
)

// Time is a clock value or span in microseconds.
type Time = int64

// Config holds the configuration of a Queue, set at its start and replaced by a reload.
type Config struct {
	MaxWaiting        int                // maximum number of waiting requests
	MaxBytes          int                // maximum size of the waiting requests together
	MaxTenants        int                // maximum number of tenants with state
	MaxIdleClients    int                // maximum number of clients with state but without waiting requests, over all tenants
	StartupTarget     Time               // longest startup target of the plans
	MaxRetryAfter     Time               // longest retry time that clients honour; 0 for no limit
	WithholdRetryTime bool               // refusals carry neither a retry time nor a token
	Weights           map[string]float64 // by tenant; 1 for tenants not listed
	TokenSecret       []byte             // key of the retry tokens; managers that share it accept each other's tokens
	Discipline        Discipline         // queueing discipline; a baseline if not the fair one
	BucketRate        float64            // rate of each tenant in the token bucket baseline, in requests/s
}

// Discipline is a queueing discipline.
type Discipline int

// The queueing disciplines. All but the first are baselines for comparison.
const (
	StartTimeFair Discipline = iota
	FIFO                     // a single queue, first come first served
	TokenBuckets             // a token bucket per tenant in front of a single queue
)

// Request is a playback request that is offered to the queue.
type Request struct {
	ID                               int
	Tenant, Client                   string
	Bytes                            int
	StartupDeadline, AbandonDeadline Time   // clock times at which the startup target and the abandon time end
	Token                            string // retry token of an earlier refusal, if any
}

// Cause is the reason for which a request was refused.
type Cause int

// The causes of refusals.
const (
	TooLate    Cause = iota // its turn would come, or came, too late for its startup target
	QueueFull               // a queue limit was reached and its tenant was the most over-served
	NoCapacity              // the module rejected it for lack of capacity
	CauseCount
)

func (c Cause) String() string { return [...]string{"late", "crowded", "no room"}[c] }

// Decision is the queue's decision on a request.
type Decision struct {
	ID         int
	Admit      bool
	Cause      Cause
	RetryAfter Time   // delay until the client should retry; 0 if no time is given
	Token      string // to present on the retry; empty if no time was reserved
}

const (
	meterBuckets        = 8    // buckets in which a span is measured
	windowShare         = 0.88 // limit after a rejection, as a share of the playbacks then active
	ceilingShare        = 0.94 // largest limit as a share of the ceiling; a larger limit raises the ceiling
	slowGrowth          = 0.01 // growth of the limit per span of two startup targets, below the ceiling
	fastGrowth          = 0.40 // growth per span from the ceiling on, while nothing is rejected
	peakDecaySpans      = 32   // decay time of the peak of active playbacks, in spans
	toleratedRejections = 2    // consecutive rejections that may be chance close to full capacity
	probesPerPause      = 4    // minimum number of attempts in a pause while there is no capacity
	serviceSpans        = 2    // spans over which the service of a tenant is measured
	returnWindows       = 4    // return windows over which the share of clients that return is measured
	reservedShare       = 0.88 // share of the remaining admission rate that is reserved for returning clients
	shareTolerance      = 2    // multiple of a tenant's fair rate that counts as within its share
	requestTolerance    = 4    // requests by which a tenant may be ahead or behind and count as within its share
	longTurnDivisor     = 8    // a turn longer than the startup target divided by this counts as a rejection
	quietSpans          = 4    // spans without rejections or waiting requests until admission is unlimited again
	setupReserve        = 2    // multiple of the usual setup time that is left for the setup
)

// queuedRequest is a request with its state in the queue.
type queuedRequest struct {
	Request
	arrived   Time
	deadline  Time // refused at this time if it still waits
	tenant    *tenantQueue
	client    *clientQueue
	returning bool // presented a valid token within its return window
	seq       uint64
	heapIndex int // in Queue.deadlines
}

// tenantQueue is the scheduling state of a tenant, and clientQueue that of one of its clients.
type tenantQueue struct {
	name          string
	weight        float64
	startTag      float64 // virtual start time of its next request
	virtualTime   float64 // of the scheduling among its clients
	waiting       int
	byStart       heap[*clientQueue] // clients with waiting requests, by start tag
	byFinish      heap[*clientQueue] // the same clients, latest finish tag first
	clients       map[string]*clientQueue
	returning     []*queuedRequest // returned at their reserved time; served before the others
	reservedUntil Time             // end of the reserved part of its share of the admission rate
	heapIndex     [4]int           // in the heaps of Queue
	overServed    bool             // had recently been served more than its share at the last update
	lastRequest   Time
	activeSince   Time // start of the current series of requests, after a span without any
	served        meter.Count
	bucketTokens  float64 // of the token bucket baseline
	refilledAt    Time
	Stats         TenantStats
}

type clientQueue struct {
	name      string
	tenant    *tenantQueue
	startTag  float64
	waiting   []*queuedRequest
	heapIndex [2]int
	idleSeq   uint64 // value of Queue.seq when it became idle; 0 if it is not kept as idle
}

// TenantStats counts the requests of a tenant by outcome.
type TenantStats struct{ Requested, Admitted, Refused, Returned int64 }

// Queue is the admission queue of one session manager. It is not safe for concurrent use.
type Queue struct {
	config                Config
	now                   Time
	tenants               map[string]*tenantQueue
	byStart               heap[*tenantQueue]   // tenants with waiting requests, by start tag
	byFinish              heap[*tenantQueue]   // the same tenants, latest finish tag (most over-served) first
	leastServed           heap[*tenantQueue]   // the same tenants, those within their share first, then by finish tag
	idle                  heap[*tenantQueue]   // tenants without waiting requests, by start tag
	deadlines             heap[*queuedRequest] // all waiting requests, by deadline
	baselineQueue         []*queuedRequest     // of the baseline disciplines
	byID                  map[int]*queuedRequest
	virtualTime           float64
	waitingWeight         float64 // sum of the weights of tenants with waiting requests
	waitingBytes          int
	seq                   uint64
	randomDraws           uint32
	setupTime             float64 // moving average, in microseconds
	window                admissionWindow
	reservations          reservations
	reservedUntil         Time        // end of the reserved part of the admission rate of all tenants together
	servedWithinShare     meter.Count // admissions of tenants within their share
	decisions             []Decision
	noCapacity            bool // set by repeated rejections until the module accepts a request again
	consecutiveRejections int
	nextProbe             Time        // earliest time of the next attempt while noCapacity is set
	pausedUntil           Time        // until then only tenants within their share are served
	awaitingResult        bool        // the module has not yet answered the request admitted last
	untracked             tenantQueue // counts the requests of tenants without state
	Refused               [CauseCount]int64
	Admitted              int64
	freeRequests          []*queuedRequest
	idleClients           []idleClient // clients kept without waiting requests, oldest first
	idleHead              int          // number of entries at the start of idleClients that are no longer in use
	idleClientCount       int          // number of idle clients with state
	activeWeight          float64      // sum of the weights of tenants with a request in the last span
	activeWeightAt        Time
}

// idleClient is an entry of Queue.idleClients. It is valid while the client still has the same idleSeq.
type idleClient struct {
	client  *clientQueue
	idleSeq uint64
}

// New returns an empty queue.
func New(config Config, now Time) *Queue {
	q := &Queue{now: now, tenants: make(map[string]*tenantQueue, 64), byID: make(map[int]*queuedRequest, 64)}
	q.byStart = heap[*tenantQueue]{less: func(a, b *tenantQueue) bool {
		return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name
	},
		indexOf: func(t *tenantQueue) *int { return &t.heapIndex[0] }}
	q.byFinish = heap[*tenantQueue]{less: func(a, b *tenantQueue) bool {
		return a.finishTag() > b.finishTag() || a.finishTag() == b.finishTag() && a.name < b.name
	},
		indexOf: func(t *tenantQueue) *int { return &t.heapIndex[1] }}
	q.leastServed = heap[*tenantQueue]{less: func(a, b *tenantQueue) bool {
		if a.overServed != b.overServed {
			return b.overServed
		}
		return a.finishTag() < b.finishTag() || a.finishTag() == b.finishTag() && a.name < b.name
	},
		indexOf: func(t *tenantQueue) *int { return &t.heapIndex[3] }}
	q.idle = heap[*tenantQueue]{less: func(a, b *tenantQueue) bool {
		return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name
	},
		indexOf: func(t *tenantQueue) *int { return &t.heapIndex[2] }}
	q.deadlines = heap[*queuedRequest]{less: func(a, b *queuedRequest) bool {
		return a.deadline < b.deadline || a.deadline == b.deadline && a.seq < b.seq
	}, indexOf: func(r *queuedRequest) *int { return &r.heapIndex }}
	q.window = newAdmissionWindow(config.StartupTarget, now)
	q.reservations = newReservations(config.TokenSecret, config.StartupTarget, now)
	q.servedWithinShare = meter.NewCount(serviceSpans*q.window.span, meterBuckets)
	q.untracked = tenantQueue{weight: 1, served: meter.NewCount(serviceSpans*q.window.span, meterBuckets)}
	q.Reconfigure(config)
	return q
}

// finishTag is the virtual time at which the last waiting request would have been served. The tenant with the
// latest finish tag is the most over-served.
func (t *tenantQueue) finishTag() float64 { return t.startTag + float64(t.waiting)/t.weight }
func (c *clientQueue) finishTag() float64 { return c.startTag + float64(len(c.waiting)) }

// Reconfigure replaces the configuration while requests wait: new weights apply from now on, and requests that exceed
// the new limits are refused.
func (q *Queue) Reconfigure(config Config) {
	q.config = config
	q.waitingWeight = 0
	for _, tenant := range q.tenants {
		tenant.weight = weightOf(config.Weights, tenant.name)
		if tenant.waiting > 0 {
			q.waitingWeight += tenant.weight
		}
	}
	q.byFinish.init()
	q.leastServed.init()
	for len(q.byID) > max(config.MaxWaiting, 0) || q.waitingBytes > config.MaxBytes {
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

// Advance starts a turn at the given time.
func (q *Queue) Advance(now Time) {
	q.now = max(q.now, now)
	q.reservations.advance(q.now)
}

// SetLag reports the delay of this turn. Clients that returned in time during the delay do not count as late.
func (q *Queue) SetLag(late Time) { q.reservations.lag = max(late, 0) }

// Offer adds a request. The decision on it is emitted later, at its deadline at the latest.
func (q *Queue) Offer(offered Request) {
	if q.byID[offered.ID] != nil {
		return
	}
	tenant := q.lookup(offered.Tenant)
	tenant.Stats.Requested++
	if q.now-tenant.lastRequest > q.window.span {
		tenant.activeSince = q.now
	}
	tenant.lastRequest = q.now
	request := q.newRequest()
	request.Request, request.arrived, request.tenant = offered, q.now, tenant
	request.returning = q.reservations.redeem(&offered, q.now)
	if request.returning {
		tenant.Stats.Returned++
	}
	request.deadline = min(offered.StartupDeadline, offered.AbandonDeadline) - Time(setupReserve*q.setupTime)
	switch {
	case tenant == &q.untracked:
		q.refuse(request, QueueFull)
	case q.config.Discipline != StartTimeFair && (len(q.byID) >= q.config.MaxWaiting || q.waitingBytes+request.Bytes > q.config.MaxBytes):
		q.refuse(request, QueueFull)
	case q.config.Discipline != StartTimeFair:
		q.enqueue(request)
	case request.deadline < q.now || q.window.limited && !tenant.withinShare(q) && q.expectedWait(tenant, request.returning) > float64(request.deadline-q.now):
		q.refuse(request, TooLate)
	case !q.makeRoom(tenant, request):
		q.refuse(request, QueueFull)
	default:
		q.enqueue(request)
	}
}

// expectedWait is the time, in microseconds, that a further request of a tenant would wait for the tenant's own
// requests ahead of it, which are served at the tenant's share of the admission rate.
func (q *Queue) expectedWait(tenant *tenantQueue, returning bool) float64 {
	ahead := tenant.waiting
	if returning {
		ahead = len(tenant.returning)
	}
	return float64(ahead+1) / q.waitingRate(tenant) * 1e6
}

// waitingRate is a tenant's share of the admission rate, in requests/s, among the tenants with waiting requests.
func (q *Queue) waitingRate(tenant *tenantQueue) float64 {
	total := q.waitingWeight
	if tenant.waiting == 0 {
		total += tenant.weight
	}
	return q.window.rate(q.now) * tenant.weight / total
}

// makeRoom enforces the queue limits by refusing requests of the most over-served tenant. It reports false if
// the new request itself has to be refused.
func (q *Queue) makeRoom(tenant *tenantQueue, request *queuedRequest) bool {
	for len(q.byID) >= q.config.MaxWaiting || q.waitingBytes+request.Bytes > q.config.MaxBytes {
		overServed := q.byFinish.top()
		if overServed == nil || request.Bytes > q.config.MaxBytes {
			return false
		}
		start := tenant.startTag
		if tenant.waiting == 0 {
			start = max(start, q.virtualTime)
		}
		if start+float64(tenant.waiting+1)/tenant.weight >= overServed.finishTag() && overServed != tenant {
			return false
		}
		if overServed == tenant && !request.returning { // within a tenant the most over-served client loses
			client := tenant.clients[request.Client]
			finish := tenant.virtualTime + 1
			if client != nil {
				finish = client.finishTag() + 1
			}
			if top := tenant.byFinish.top(); top == nil || finish >= top.finishTag() {
				return false
			}
		}
		q.shed()
	}
	return true
}

// shed refuses the latest request of the most over-served client of the most over-served tenant.
func (q *Queue) shed() {
	if q.config.Discipline != StartTimeFair {
		request := q.baselineQueue[len(q.baselineQueue)-1]
		q.dequeue(request)
		q.refuse(request, QueueFull)
		return
	}
	tenant := q.byFinish.top()
	var request *queuedRequest
	if client := tenant.byFinish.top(); client != nil {
		request = client.waiting[len(client.waiting)-1]
	} else {
		request = tenant.returning[len(tenant.returning)-1]
	}
	q.dequeue(request)
	q.refuse(request, QueueFull)
}

func (q *Queue) newRequest() *queuedRequest {
	if n := len(q.freeRequests); n > 0 {
		request := q.freeRequests[n-1]
		q.freeRequests = q.freeRequests[:n-1]
		return request
	}
	return &queuedRequest{}
}

// enqueue adds a request to the queues of its tenant and client.
func (q *Queue) enqueue(request *queuedRequest) {
	q.seq++
	request.seq = q.seq
	q.byID[request.ID] = request
	q.waitingBytes += request.Bytes
	q.deadlines.push(request)
	tenant := request.tenant
	if tenant.waiting == 0 {
		q.idle.remove(tenant)
	}
	if q.config.Discipline != StartTimeFair {
		q.baselineQueue = append(q.baselineQueue, request)
		tenant.waiting++
		return
	}
	if tenant.waiting == 0 {
		tenant.startTag = max(tenant.startTag, q.virtualTime)
		q.waitingWeight += tenant.weight
		tenant.overServed = tenant.overShare(q)
		q.byStart.push(tenant)
		q.byFinish.push(tenant)
		q.leastServed.push(tenant)
	}
	tenant.waiting++
	q.updatePosition(tenant)
	if request.returning {
		tenant.returning = append(tenant.returning, request)
		return
	}
	client := tenant.clients[request.Client]
	if client == nil {
		client = &clientQueue{name: request.Client, tenant: tenant, startTag: tenant.virtualTime}
		if tenant.clients == nil {
			tenant.clients = map[string]*clientQueue{}
		}
		tenant.clients[request.Client] = client
	} else if client.idleSeq > 0 {
		client.idleSeq = 0
		q.idleClientCount--
	}
	request.client = client
	client.waiting = append(client.waiting, request)
	if len(client.waiting) == 1 {
		client.startTag = max(client.startTag, tenant.virtualTime)
		tenant.byStart.push(client)
		tenant.byFinish.push(client)
	} else {
		tenant.byFinish.fix(client)
	}
}

// updatePosition moves a tenant to its place in the heaps after its waiting requests or service changed.
func (q *Queue) updatePosition(tenant *tenantQueue) {
	tenant.overServed = tenant.overShare(q)
	q.byFinish.fix(tenant)
	q.leastServed.fix(tenant)
}

// dequeue removes a request from the queue, whatever its position.
func (q *Queue) dequeue(request *queuedRequest) {
	delete(q.byID, request.ID)
	q.waitingBytes -= request.Bytes
	q.deadlines.remove(request)
	tenant := request.tenant
	tenant.waiting--
	if q.config.Discipline != StartTimeFair {
		if q.baselineQueue = removeRequest(q.baselineQueue, request); tenant.waiting == 0 {
			q.idle.push(tenant)
			q.trimTenants()
		}
		return
	}
	if request.returning {
		tenant.returning = removeRequest(tenant.returning, request)
	} else {
		client := request.client
		if client.waiting = removeRequest(client.waiting, request); len(client.waiting) == 0 {
			tenant.byStart.remove(client)
			tenant.byFinish.remove(client)
			q.rememberIdle(client)
		} else {
			tenant.byFinish.fix(client)
		}
	}
	if tenant.waiting > 0 {
		q.updatePosition(tenant)
		return
	}
	q.byStart.remove(tenant)
	q.byFinish.remove(tenant)
	q.leastServed.remove(tenant)
	if q.waitingWeight -= tenant.weight; q.byStart.len() == 0 {
		q.waitingWeight = 0
	}
	for _, client := range tenant.clients { // fairness among the clients needs no state once none of them waits
		if client.idleSeq > 0 {
			client.idleSeq = 0
			q.idleClientCount--
		}
	}
	tenant.clients = nil
	q.idle.push(tenant)
	q.trimTenants()
}

// rememberIdle keeps the state of a client without waiting requests until the limit on idle clients evicts it.
func (q *Queue) rememberIdle(client *clientQueue) {
	q.seq++
	client.idleSeq = q.seq
	q.idleClientCount++
	q.idleClients = append(q.idleClients, idleClient{client, q.seq})
	for q.idleHead < len(q.idleClients) {
		entry := q.idleClients[q.idleHead]
		if entry.client.idleSeq == entry.idleSeq {
			if q.idleClientCount <= q.config.MaxIdleClients {
				break
			}
			delete(entry.client.tenant.clients, entry.client.name)
			entry.client.idleSeq = 0
			q.idleClientCount--
		}
		q.idleClients[q.idleHead] = idleClient{}
		q.idleHead++
	}
	if len(q.idleClients) > 2*q.config.MaxIdleClients+16 { // drop the entries of clients that have become active again
		live := q.idleClients[:0]
		for _, entry := range q.idleClients[q.idleHead:] {
			if entry.client.idleSeq == entry.idleSeq {
				live = append(live, entry)
			}
		}
		clear(q.idleClients[len(live):])
		q.idleClients, q.idleHead = live, 0
	}
}

func removeRequest(queue []*queuedRequest, request *queuedRequest) []*queuedRequest {
	for i, other := range queue {
		if other == request {
			copy(queue[i:], queue[i+1:])
			queue[len(queue)-1] = nil
			return queue[:len(queue)-1]
		}
	}
	return queue
}

// next returns the request whose turn it is, or nil if there is none.
func (q *Queue) next() *queuedRequest {
	switch q.config.Discipline {
	case FIFO:
		if len(q.baselineQueue) > 0 {
			return q.baselineQueue[0]
		}
		return nil
	case TokenBuckets:
		for _, request := range q.baselineQueue {
			if tenant := request.tenant; tenant.refilledAt == 0 {
				tenant.bucketTokens, tenant.refilledAt = q.config.BucketRate, q.now
			} else {
				tenant.bucketTokens = min(tenant.bucketTokens+float64(q.now-tenant.refilledAt)/1e6*q.config.BucketRate, max(q.config.BucketRate, 1))
				tenant.refilledAt = q.now
			}
			if request.tenant.bucketTokens >= 1 {
				return request
			}
		}
		return nil
	}
	tenant := q.byStart.top()
	if tenant == nil {
		return nil
	}
	if q.noCapacity {
		tenant = q.byFinish.top()
	} else if least := q.leastServed.top(); !q.window.hasRoom(false) && least.withinShare(q) { // above the limit only tenants within their share are served
		tenant = least
	}
	if len(tenant.returning) > 0 {
		return tenant.returning[0]
	}
	return tenant.byStart.top().waiting[0]
}

// serve charges a request to its tenant and client and admits it.
func (q *Queue) serve(request *queuedRequest) {
	tenant := request.tenant
	if q.config.Discipline == TokenBuckets {
		tenant.bucketTokens--
	}
	if q.config.Discipline == StartTimeFair {
		if q.window.limited && q.withinShare(request) && !request.returning {
			q.servedWithinShare.Add(q.now, 1)
		}
		q.virtualTime = max(q.virtualTime, tenant.startTag)
		tenant.startTag += 1 / tenant.weight
		if client := request.client; client != nil && !request.returning {
			tenant.virtualTime = max(tenant.virtualTime, client.startTag)
			client.startTag++
			tenant.byStart.fix(client)
			tenant.byFinish.fix(client)
		}
		q.byStart.fix(tenant)
		q.updatePosition(tenant)
	}
	q.dequeue(request)
	q.admit(request)
}

func (q *Queue) admit(request *queuedRequest) {
	request.tenant.Stats.Admitted++
	if request.tenant != &q.untracked {
		request.tenant.served.Add(q.now, 1)
	}
	q.Admitted++
	q.decisions = append(q.decisions, Decision{ID: request.ID, Admit: true})
	q.release(request)
}

func (q *Queue) refuse(request *queuedRequest, cause Cause) {
	request.tenant.Stats.Refused++
	q.Refused[cause]++
	retryAfter, token := q.reserveRetry(request.tenant, request.Client)
	if !q.config.WithholdRetryTime && (request.returning || request.Token != "") {
		if due, ok := q.reservations.verify(&request.Request); ok && due > q.now { // returned too early: its reservation stays valid
			retryAfter, token = due-q.now, request.Token
		}
	}
	q.decisions = append(q.decisions, Decision{ID: request.ID, Cause: cause, RetryAfter: retryAfter, Token: token})
	q.release(request)
}

func (q *Queue) release(request *queuedRequest) {
	*request = queuedRequest{}
	if len(q.freeRequests) < q.config.MaxWaiting {
		q.freeRequests = append(q.freeRequests, request)
	}
}

// RejectionAdvice counts a request that the module rejected and returns its retry time and token.
func (q *Queue) RejectionAdvice(tenant, client string) (retryAfter Time, token string) {
	t := q.lookup(tenant)
	t.Stats.Refused++
	q.Refused[NoCapacity]++
	return q.reserveRetry(t, client)
}

// withinShareRate is the rate, in requests/s, at which tenants within their share are served.
func (q *Queue) withinShareRate() float64 {
	return q.servedWithinShare.UpperBound(q.now) / float64(serviceSpans*q.window.span) * 1e6
}

// drainRate is the service rate, in requests/s, that a tenant can rely on: its recent rate, but no less than its
// fair rate among the active tenants, and no more than tenants within their share leave.
func (q *Queue) drainRate(tenant *tenantQueue) float64 {
	span := q.window.span
	floor := q.fairRate(tenant)
	served := tenant.served.UpperBound(q.now) / float64(min(max(q.now-tenant.activeSince, span/meterBuckets), serviceSpans*span)) * 1e6
	return min(max(served, floor), max(q.window.rate(q.now)-q.withinShareRate(), floor))
}

// reserveRetry reserves the next free part of a tenant's share of the admission rate: refused clients return one
// after the other at that rate, with jitter within their intervals. If the time lies beyond the longest retry
// time, nothing is reserved and the client gets the longest retry time with jitter over its second half.
func (q *Queue) reserveRetry(tenant *tenantQueue, client string) (Time, string) {
	if q.config.WithholdRetryTime {
		return 0, ""
	}
	rate := q.drainRate(tenant)
	returnRate := q.reservations.returnRate(q.now)
	interval := 1e6 / (rate * reservedShare) * returnRate
	if !q.window.limited { // no shortage was known: retry soon, but not all at once
		interval = float64(q.config.StartupTarget) / meterBuckets
	}
	earliest := max(float64(tenant.reservedUntil), float64(q.now)+interval+float64(tenant.waiting)/rate*1e6)
	if q.window.limited { // all tenants together get what tenants within their share leave
		leftover := max(q.window.rate(q.now)*reservedShare-q.withinShareRate(), q.window.rate(q.now)/meterBuckets)
		q.reservedUntil = max(q.reservedUntil, q.now) + Time(1e6/leftover*returnRate)
		earliest = max(earliest, float64(q.reservedUntil))
	}
	due := Time(earliest + interval*q.random())
	if longest := q.config.MaxRetryAfter; longest > 0 && due-q.now > longest {
		return longest - Time(float64(longest)/2*q.random()), ""
	}
	tenant.reservedUntil = Time(earliest + interval)
	q.reservations.add(due, q.now)
	return due - q.now, q.reservations.token(tenant.name, client, due)
}

// random returns the next pseudo-random number in [0,1).
func (q *Queue) random() float64 {
	q.randomDraws++
	b := [4]byte{byte(q.randomDraws >> 24), byte(q.randomDraws >> 16), byte(q.randomDraws >> 8), byte(q.randomDraws)}
	return float64(crc32.Update(crc32.ChecksumIEEE(q.config.TokenSecret), crc32.IEEETable, b[:])) / (1 << 32)
}

// lookup returns the state of a tenant and creates it if there is none. At the limit it evicts the idle tenant
// that has recently been served least.
func (q *Queue) lookup(name string) *tenantQueue {
	tenant := q.tenants[name]
	if tenant != nil {
		return tenant
	}
	if len(q.tenants) >= max(q.config.MaxTenants, 1) {
		evicted := q.idle.top()
		if evicted == nil { // every tenant has waiting requests
			return &q.untracked
		}
		q.forgetTenant(evicted)
	}
	tenant = &tenantQueue{name: name, weight: weightOf(q.config.Weights, name), startTag: q.virtualTime,
		served: meter.NewCount(serviceSpans*q.window.span, meterBuckets)}
	tenant.byStart = heap[*clientQueue]{less: func(a, b *clientQueue) bool {
		return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name
	},
		indexOf: func(c *clientQueue) *int { return &c.heapIndex[0] }}
	tenant.byFinish = heap[*clientQueue]{less: func(a, b *clientQueue) bool {
		return a.finishTag() > b.finishTag() || a.finishTag() == b.finishTag() && a.name < b.name
	},
		indexOf: func(c *clientQueue) *int { return &c.heapIndex[1] }}
	q.tenants[name] = tenant
	q.idle.push(tenant)
	return tenant
}

func (q *Queue) forgetTenant(tenant *tenantQueue) {
	q.idle.remove(tenant)
	delete(q.tenants, tenant.name)
	total, figures := &q.untracked.Stats, &tenant.Stats
	total.Requested, total.Admitted, total.Refused, total.Returned = total.Requested+figures.Requested, total.Admitted+figures.Admitted, total.Refused+figures.Refused, total.Returned+figures.Returned
}

// trimTenants evicts idle tenants beyond the limit.
func (q *Queue) trimTenants() {
	for len(q.tenants) > max(q.config.MaxTenants, 1) && q.idle.len() > 0 {
		q.forgetTenant(q.idle.top())
	}
}

// Cancel removes a request whose player has disconnected.
func (q *Queue) Cancel(id int) {
	if request := q.byID[id]; request != nil {
		q.dequeue(request)
		q.release(request)
	}
}

// Started reports that an admitted request has started to play, and the duration of its setup.
func (q *Queue) Started(took Time) {
	q.setupTime += (float64(took) - q.setupTime) / 16
	q.window.started(q.now)
}

// SetActive reports the number of playbacks that are active or being set up in the session manager.
func (q *Queue) SetActive(n int) { q.window.active = float64(n) }

// Ended reports the end of a playback that had started to play.
func (q *Queue) Ended() { q.window.ended(q.now) }

// Accepted reports that the module has sent an admitted request to a server.
func (q *Queue) Accepted() { q.noCapacity, q.awaitingResult, q.consecutiveRejections = false, false, 0 }

// Rejected reports that the module rejected an admitted request for lack of capacity. Tenants above their share
// then pause, so that capacity that becomes free goes to the others. From the third consecutive rejection on, the
// most over-served tenant is tried next, after a delay that doubles with each rejection.
func (q *Queue) Rejected() {
	q.noCapacity, q.awaitingResult = q.consecutiveRejections >= toleratedRejections, false
	q.window.rejected(q.now)
	pause := q.window.span / meterBuckets
	q.pausedUntil = q.now + pause
	q.nextProbe = q.now + min(q.window.interval(q.now)<<min(q.consecutiveRejections, 10), pause/probesPerPause)
	q.consecutiveRejections++
}

// TurnFinished reports the duration of a turn of the session manager. A long turn counts as a rejection.
func (q *Queue) TurnFinished(took Time) {
	if took > q.config.StartupTarget/longTurnDivisor {
		q.window.rejected(q.now)
	}
}

// Waiting returns the number of waiting requests and the bytes that they hold.
func (q *Queue) Waiting() (requests, bytes int) { return len(q.byID), q.waitingBytes }

// AdmissionRate returns the admission rate in requests/s; it is infinite while admission is unlimited.
func (q *Queue) AdmissionRate() float64 {
	if !q.window.limited {
		return math.Inf(1)
	}
	return q.window.rate(q.now)
}

// TenantCount returns the number of tenants with state.
func (q *Queue) TenantCount() int { return len(q.tenants) }

// EachTenant calls report with the counts of every tenant with state, and with those of all other tenants together
// under the empty name.
func (q *Queue) EachTenant(report func(name string, counts TenantStats)) {
	for name, tenant := range q.tenants {
		report(name, tenant.Stats)
	}
	report("", q.untracked.Stats)
}

// Dispatch emits the decisions that can be made now. It admits one request at a time, as the module's answer affects
// the next one. While there is no capacity, the most over-served tenant is tried first, so that a tenant with a
// single request does not lose it to a probe. It returns the time by which it has to be called again.
func (q *Queue) Dispatch(emit func(Decision)) Time {
	q.window.advance(q.now, len(q.byID) > 0)
	q.awaitingResult = false
	for len(q.byID) > 0 {
		if request := q.deadlines.top(); request.deadline <= q.now {
			q.dequeue(request)
			q.refuse(request, TooLate)
			continue
		}
		if q.awaitingResult {
			break
		}
		request := q.next()
		if request == nil || q.paused(request) || !q.window.hasRoom(q.noCapacity || q.withinShare(request)) {
			break
		}
		q.serve(request)
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
	nextCall := q.now + q.window.span/meterBuckets // the end of a playback causes an earlier turn
	if q.noCapacity {
		nextCall = min(nextCall, max(q.nextProbe, q.now+1))
	}
	if q.config.Discipline == TokenBuckets {
		nextCall = q.now + q.config.StartupTarget/longTurnDivisor/meterBuckets
	}
	return min(q.deadlines.top().deadline, max(nextCall, q.now+1))
}

// paused reports whether a request has to wait because of the latest rejections.
func (q *Queue) paused(request *queuedRequest) bool {
	if q.config.Discipline != StartTimeFair {
		return false
	}
	if q.noCapacity {
		return q.now < q.nextProbe
	}
	return q.now < q.pausedUntil && !q.withinShare(request)
}

// withinShare reports whether a request belongs to a tenant that has received, and asks for, no more than its
// share, with a tolerance of a few requests.
func (q *Queue) withinShare(request *queuedRequest) bool {
	return q.config.Discipline == StartTimeFair && request.tenant.withinShare(q)
}

// withinShare reports whether a tenant has few waiting requests and has recently been served no more than its
// share among the active tenants, with some tolerance.
func (t *tenantQueue) withinShare(q *Queue) bool {
	return t.finishTag() <= q.virtualTime+requestTolerance/t.weight && !t.overShare(q)
}

// overShare reports whether a tenant has recently been served more than its share, beyond the tolerance.
func (t *tenantQueue) overShare(q *Queue) bool {
	limit := q.fairRate(t) * float64(serviceSpans*q.window.span) / 1e6 * shareTolerance
	return t.served.UpperBound(q.now) > max(limit, requestTolerance)
}

// fairRate is a tenant's share of the admission rate, in requests/s, among the tenants with recent requests.
func (q *Queue) fairRate(tenant *tenantQueue) float64 {
	if q.now-q.activeWeightAt > q.window.span/meterBuckets || q.activeWeight == 0 {
		q.activeWeightAt, q.activeWeight = q.now, 0
		for _, other := range q.tenants {
			if q.now-other.lastRequest <= q.window.span {
				q.activeWeight += other.weight
			}
		}
	}
	return q.window.rate(q.now) * tenant.weight / max(q.activeWeight, tenant.weight)
}
