// Package tenants authorises playbacks: it keeps a view of the tenants and members of an LDAP directory (RFC 4511).
// The core performs no I/O: it owns the view, tracks the age of each entry and decides what to request next. A client
// executes the requests and passes the results back. docs/tenants.md compares the design options.
//
// Entries of a synchronisation are applied one by one, as each is complete in itself. Entries that it does not contain
// are removed only once it has completed, so a partial answer never removes a tenant.
package tenants

import (
	"slices"
	"strings"
)

// Time is a clock value or a duration, in microseconds.
type Time = int64

// Kind is the kind of an entry.
type Kind uint8

// The kinds.
const (
	Tenant Kind = iota + 1
	Member
)

// Record is an entry of the directory.
type Record struct {
	ID     string // entryUUID (RFC 4530), unchanged by a rename or a move
	DN     string // in lower case
	Kind   Kind
	Name   string   // of a tenant: its name; of a member: its account name
	Tenant string   // of a member: the name of its tenant
	Plans  []string // allowed plans; a member without any has those of its tenant
	Weight float64  // of a tenant: its weight in admission control
	Quota  float64  // of a tenant: new playbacks per second within its share
	Seats  int      // of a tenant: concurrent playbacks, 0 for no limit
	Digest string   // of a member: HA1 of RFC 7616, empty for none
	Stamp  Time     // modifyTimestamp (RFC 4512 section 3.4.2) by the directory's clock, 0 for none
}

// Config configures a core.
type Config struct {
	Seed         uint64 // of the backoff jitter and of the first endpoint to ask
	MaxAge       Time   // an entry older than this is stale
	SyncInterval Time   // interval after which a new synchronisation starts, even if a stream is open
	Timeout      Time   // of one request to the directory
	NegativeTTL  Time   // how long the absence of an account is cached
	MaxWaiting   int    // limit of queries waiting for a lookup
	MaxLookups   int    // limit of lookups in flight per endpoint
	Endpoints    int    // number of endpoints of the directory
	MaxEntries   int    // limit of entries in the view, 0 for none
	AdmitStale   bool   // admit playbacks of stale entries instead of refusing them
}

// Operation is a kind of request that the core makes.
type Operation int

// The operations.
const (
	Sync         Operation = iota + 1 // content synchronisation (RFC 4533) from a cookie on
	FullSearch                        // a paged search of all entries
	Poll                              // a paged search of entries modified at Since or later
	List                              // a paged search of all entries for their ids and stamps only
	Reread                            // a search of entries by their ids
	LookUpMember                      // a search of one account
	LookUpTenant                      // a search of one tenant
)

// String returns the name of an operation as it appears in logs.
func (a Operation) String() string {
	return [...]string{"nothing", "synchronisation", "whole search", "poll", "list", "entries by name", "look-up", "look-up of a tenant"}[a]
}

// Request is one request of the core.
type Request struct {
	Op       Operation
	Attempt  int      // number of the attempt
	Endpoint int      // index of the endpoint to ask
	Cookie   []byte   // of Sync: where to resume; empty for a full synchronisation
	Since    Time     // of Poll: the first stamp wanted
	IDs      []string // of Reread
	Name     string   // of lookups: the account or the tenant
	Probe    bool     // the single request that an open circuit lets through
}

// Checkpoint is the position of a synchronisation. It is valid only for the endpoint that issued it.
type Checkpoint struct {
	End    int    // index of the endpoint, less than 0 for none
	Cookie []byte // of content synchronisation
	Stamp  Time   // of polling: all earlier modifications have been read
}

// ListedEntry is the id and the stamp of an entry in a list.
type ListedEntry struct {
	ID    string
	Stamp Time
}

// SyncFailure is the reason why a synchronisation ended early.
type SyncFailure int

// The reasons.
const (
	Interrupted     SyncFailure = iota // connection lost, timeout or error result
	CookieExpired                      // e-syncRefreshRequired (RFC 4533): the cookie is no longer valid
	SyncUnsupported                    // the endpoint does not support content synchronisation
)

// Verdict is the result of a query.
type Verdict int

// The verdicts.
const (
	Pending        Verdict = iota // a lookup is in progress; the answer follows later
	Allowed                       // with the age of the entries that it is based on
	Unknown                       // the account or its tenant does not exist
	PlanNotAllowed                // the plan is not among those of the account
	Stale                         // the entries are too old, and the configuration refuses then
	NoSeat                        // the tenant has reached its limit of concurrent playbacks
	Busy                          // too many queries wait, or no endpoint is available: retry later
)

// String returns the name of a verdict.
func (v Verdict) String() string {
	return [...]string{"wait", "allowed", "unknown", "not its plan", "stale", "no seat", "busy"}[v]
}

// Query asks whether an account may play a plan.
type Query struct {
	ID          int
	Account     string
	Plan        string
	Deadline    Time // when the answer is due
	ForceLookup bool // look the account up, unless that was done recently: the credentials do not match the known ones
}

// Answer is the answer to a query.
type Answer struct {
	ID      int
	Verdict Verdict
	Tenant  string
	Age     Time // of the entries that it is based on
}

// Counts holds the event counters of a core. Whole counts completed synchronisations, Broken interrupted ones, and Full
// those that read all entries; Joined, queries that share a lookup; Negatives, results and hits of the negative cache;
// Doubts, forced lookups; Overfull, entries without room in the view; Refused, queries refused as busy; Stales, queries
// refused on stale entries; and Fallbacks, those admitted on stale entries.
type Counts struct {
	Syncs, Whole, Broken, Full          int64
	Polls, Lists, Reread                int64
	Looks, Joined, Negatives, Doubts    int64
	Retried, Referred                   int64 // requests sent to another endpoint after a failure or a referral
	Opened, Trials                      int64 // circuits opened, probes sent
	Changes, Deleted, Overfull, Refused int64
	Stales, Fallbacks                   int64
}

const (
	negativeCacheFactor = 4 // size of the negative cache in multiples of the limit of waiting queries
	answerMarginDivisor = 8 // a query is answered Timeout divided by this before it is due
)

type entry struct {
	Record
	verifiedAt Time
	lookedUpAt Time   // when it was last looked up by name
	syncRound  uint64 // number of the synchronisation that confirmed it last
	position   int    // index in Core.entries
}

// Core holds the view of the directory and decides what to request next. It is not safe for concurrent use.
type Core struct {
	Config
	Counts        Counts
	now           Time
	byID          map[string]*entry
	entries       []*entry // unordered
	accounts      map[string]*entry
	tenants       map[string]*entry
	absentUntil   map[string]Time // negative cache: until when an account is known to be absent
	seatsTaken    map[string]int  // by entry id of the tenant, so that a rename keeps its seats
	verifiedAt    Time            // when the view was last known to match the directory
	synced        bool            // the view has matched the directory before
	checkpoint    Checkpoint
	latestStamp   Time // latest stamp received from the endpoint of the checkpoint
	latestStampAt Time // when that stamp was first received
	endpoints     endpointSet

	attempt          int
	sync             syncState
	unreadable       map[string]Time // stamps of entries that could not be decoded, by id
	syncRound        uint64
	nextSyncAt       Time
	lookups          map[int]*lookup
	lookupsByAccount map[string]*lookup
	lookupQueue      []*lookup
	waiting          int
	answers          []Answer
	changedTenants   []Record // tenants whose shares in the module and in admission control have changed
}

// New returns a core with an empty view.
func New(config Config, now Time) *Core {
	c := &Core{Config: config, now: now, checkpoint: Checkpoint{End: -1}, unreadable: map[string]Time{}, byID: map[string]*entry{}, accounts: map[string]*entry{}, tenants: map[string]*entry{},
		absentUntil: map[string]Time{}, seatsTaken: map[string]int{}, lookups: map[int]*lookup{}, lookupsByAccount: map[string]*lookup{}}
	c.endpoints = newEndpointSet(&c.Config, config.Endpoints)
	c.sync.preferred = -1
	return c
}

// SetTime sets the current time; it is called before each batch of events.
func (c *Core) SetTime(now Time) { c.now = max(c.now, now) }

// Fold returns the form in which names are compared: names in a directory do not differ by case or by surrounding
// space (RFC 4518).
func Fold(s string) string { return strings.ToLower(strings.TrimSpace(s)) }

// Restore installs a view stored by an earlier process, verified as of asOf. The endpoint of the checkpoint is less
// than 0 if it is no longer configured.
func (c *Core) Restore(records []Record, checkpoint Checkpoint, asOf Time) {
	for i := range records {
		c.upsert(&records[i], asOf)
	}
	c.checkpoint, c.verifiedAt, c.synced, c.latestStamp = checkpoint, asOf, true, checkpoint.Stamp
}

// Records returns the view, unordered, with its checkpoint and the time at which it was last verified.
func (c *Core) Records() (records []Record, checkpoint Checkpoint, asOf Time) {
	records = make([]Record, 0, len(c.byID))
	for _, e := range c.byID {
		records = append(records, e.Record)
	}
	return records, c.checkpoint, c.verifiedAt
}

// Chunk returns up to limit records below position from, and the position for the next call, less than 0 after the
// last. Start at Size, with the checkpoint taken beforehand. An entry that stays in the view throughout is returned by
// one of the calls even if the view changes between them: the position of a removed entry is taken over by an entry
// that has been returned already.
func (c *Core) Chunk(from, limit int) (records []Record, next int) {
	from = min(from, len(c.entries))
	next = max(from-limit, 0)
	for _, e := range c.entries[next:from] {
		records = append(records, e.Record)
	}
	if next == 0 {
		next = -1
	}
	return records, next
}

// Checkpoint returns the checkpoint of the view and the time at which the view was last verified.
func (c *Core) Checkpoint() (Checkpoint, Time) { return c.checkpoint, c.verifiedAt }

// Status reports whether the view was ever complete, its number of entries, and when it was last verified.
func (c *Core) Status() (whole bool, entries int, asOf Time) {
	return c.synced, len(c.byID), c.verifiedAt
}

// Name returns the name of an entry, empty if there is none.
func (c *Core) Name(id string) string {
	if e := c.byID[id]; e != nil {
		return e.Name
	}
	return ""
}

// QueueAllTenants causes the shares of all tenants to be emitted again.
func (c *Core) QueueAllTenants() {
	for _, e := range c.tenants {
		c.changedTenants = append(c.changedTenants, e.Record)
	}
}

// Size returns the number of entries in the view.
func (c *Core) Size() int { return len(c.byID) }

// age returns the time since an entry was last verified, by itself or with the whole view.
func (c *Core) age(e *entry) Time { return c.now - max(e.verifiedAt, c.lastVerified()) }

// lastVerified returns when the view was last known to match the directory, 0 if it never was.
func (c *Core) lastVerified() Time {
	if !c.synced {
		return 0
	}
	return c.verifiedAt
}

// Age returns the time since the view was last known to match the directory.
func (c *Core) Age() Time { return c.now - c.lastVerified() }

// upsert adds or updates an entry.
func (c *Core) upsert(record *Record, asOf Time) {
	e := c.byID[record.ID]
	if e == nil {
		if c.MaxEntries > 0 && len(c.byID) >= c.MaxEntries {
			c.Counts.Overfull++
			return
		}
		e = &entry{}
		c.byID[record.ID] = e
		e.position = len(c.entries)
		c.entries = append(c.entries, e)
	} else {
		c.removeName(e)
	}
	changed := e.Name != record.Name || e.Weight != record.Weight || e.Quota != record.Quota || e.Seats != record.Seats
	e.Record, e.verifiedAt = *record, max(e.verifiedAt, asOf)
	e.syncRound = c.syncRound
	c.index(e)[Fold(e.Name)] = e
	if changed && record.Kind == Tenant {
		c.changedTenants = append(c.changedTenants, e.Record)
	}
	delete(c.absentUntil, Fold(record.Name))
	c.Counts.Changes++
}

// index returns the name index for an entry.
func (c *Core) index(e *entry) map[string]*entry {
	if e.Kind == Tenant {
		return c.tenants
	}
	return c.accounts
}

// restoreName adds the name of an entry to its index again if the name is free: a lookup at a lagging replica may have
// missed the entry.
func (c *Core) restoreName(e *entry) {
	if key := Fold(e.Name); c.index(e)[key] == nil {
		c.index(e)[key] = e
	}
}

// removeName removes the name of an entry from its index unless another entry has taken it over.
func (c *Core) removeName(e *entry) {
	if key := Fold(e.Name); c.index(e)[key] == e {
		delete(c.index(e), key)
	}
}

// remove deletes an entry from the view.
func (c *Core) remove(id string) {
	if e := c.byID[id]; e != nil {
		c.removeName(e)
		delete(c.byID, id)
		last := c.entries[len(c.entries)-1]
		c.entries[e.position], last.position = last, e.position
		c.entries[len(c.entries)-1] = nil
		c.entries = c.entries[:len(c.entries)-1]
		c.Counts.Deleted++
		if e.Kind == Tenant {
			removed := e.Record
			removed.Weight, removed.Quota, removed.Seats = 0, 0, 0
			c.changedTenants = append(c.changedTenants, removed)
		}
	}
}

// decide answers a query from the view; false if the view does not suffice.
func (c *Core) decide(query *Query) (Answer, bool) {
	answer := Answer{ID: query.ID, Verdict: Unknown}
	e := c.accounts[Fold(query.Account)]
	if e == nil {
		return answer, false
	}
	tenant := c.tenants[Fold(e.Tenant)]
	if tenant == nil {
		return answer, c.synced // the tenant does not exist
	}
	answer.Tenant = tenant.Name
	answer.Age = max(c.age(e), c.age(tenant))
	plans := e.Plans
	if len(plans) == 0 {
		plans = tenant.Plans
	}
	switch {
	case answer.Age > c.MaxAge && !c.AdmitStale:
		c.Counts.Stales++
		answer.Verdict = Stale
	case !slices.Contains(plans, query.Plan):
		answer.Verdict = PlanNotAllowed
	case tenant.Seats > 0 && c.seatsTaken[tenant.ID] >= tenant.Seats:
		answer.Verdict = NoSeat
	default:
		if answer.Age > c.MaxAge {
			c.Counts.Fallbacks++
		}
		answer.Verdict = Allowed
	}
	return answer, true
}

// Cancel removes a query whose player has left.
func (c *Core) Cancel(id int) {
	for _, pending := range c.lookupsByAccount {
		before := len(pending.queries)
		pending.queries = slices.DeleteFunc(pending.queries, func(q Query) bool { return q.ID == id })
		c.waiting -= before - len(pending.queries)
	}
}

// TakeSeat takes a seat for an allowed playback; the returned id serves to release it. It returns false if all seats are
// taken: several playbacks allowed by one lookup may compete for the last seat. Seats belong to the entry of the
// tenant, whatever its name.
func (c *Core) TakeSeat(name string) (id string, ok bool) {
	record := c.tenants[Fold(name)]
	if record == nil {
		return "", true
	}
	if record.Seats > 0 && c.seatsTaken[record.ID] >= record.Seats {
		return "", false
	}
	c.seatsTaken[record.ID]++
	return record.ID, true
}

// ReleaseSeat releases a seat.
func (c *Core) ReleaseSeat(id string) {
	if id == "" {
		return
	}
	if c.seatsTaken[id]--; c.seatsTaken[id] <= 0 {
		delete(c.seatsTaken, id)
	}
}

// Digest returns the HA1 (RFC 7616) of an account, and whether it is known.
func (c *Core) Digest(account string) (string, bool) {
	if e := c.accounts[Fold(account)]; e != nil {
		return e.Digest, e.Digest != ""
	}
	return "", false
}

// Process emits the requests that are due, the answers that are ready, and the tenants whose shares have changed. It
// returns the time by which it must be called again.
func (c *Core) Process(request func(Request), answer func(Answer), share func(Record)) Time {
	next := min(c.processSync(request), c.processLookups(request))
	c.Counts.Opened, c.Counts.Trials = c.endpoints.opened, c.endpoints.probes
	for _, ready := range c.answers {
		answer(ready)
	}
	c.answers = nil
	for _, tenant := range c.changedTenants {
		share(tenant)
	}
	c.changedTenants = nil
	return max(next, c.now+1)
}
