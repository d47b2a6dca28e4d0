// Package tenants knows who may play what: tenants and their members as a directory has them (LDAP, RFC 4511).
// The core is free of I/O: it owns the view, knows how fresh each entry is, and says what to ask next; an edge
// asks and brings back what came of it. docs/tenants.md tells the options weighed.
//
// What a synchronisation brings is taken entry by entry, as each is whole in itself; what it does not bring is
// taken for deleted only once it has come to its end. So half an answer never loses a tenant.
package tenants

import (
	"slices"
	"strings"
)

// Time is a clock value or span in microseconds.
type Time = int64

// Kind tells tenants from members.
type Kind uint8

// The kinds.
const (
	Tenant Kind = iota + 1
	Member
)

// Record is an entry as it was read.
type Record struct {
	ID     string // entryUUID (RFC 4530): it stays over a rename or a move
	DN     string // normalised
	Kind   Kind
	Name   string   // of a tenant: its name; of a member: its account
	Tenant string   // of a member: the name of its tenant
	Plans  []string // that it may play; a member with none may play its tenant's
	Weight float64  // of a tenant: at the door
	Quota  float64  // of a tenant: new playbacks a second within its share
	Seats  int      // of a tenant: playbacks at once, 0 for no cap
	Digest string   // of a member: HA1 of RFC 7616, empty for none
	Stamp  Time     // modifyTimestamp (RFC 4512 section 3.4.2) by the directory's clock, 0 for none
}

// Terms are told at the start.
type Terms struct {
	Seed     uint64
	Longest  Time // an entry older than this is stale
	Renew    Time // a synchronisation is begun anew after so long, silent or not
	Timeout  Time // of one question to the directory
	Negative Time // what is not there is not asked for again within this
	Waiting  int  // questions that wait for a look-up, at most
	Lookups  int  // look-ups out at once at one endpoint, at most
	Ends     int  // endpoints that the directory has
	Entries  int  // that are held, at most
	Admit    bool // stale entries are admitted; otherwise refused
}

// Act is what the core wants done.
type Operation int

// The acts.
const (
	Sync         Operation = iota + 1 // content synchronisation from a cookie on
	FullSearch                        // a paged search of all entries
	Poll                              // a paged search of those that were modified at Since or later
	List                              // a paged search of all, for their names and stamps alone
	Reread                            // the entries of some names
	Look                              // one account
	LookUpTenant                      // one tenant
)

func (a Operation) String() string {
	return [...]string{"nothing", "synchronisation", "whole search", "poll", "list", "entries by name", "look-up", "look-up of a tenant"}[a]
}

// Want is one act under a number.
type Want struct {
	Act      Operation
	Try      int
	Endpoint int      // the endpoint to ask
	Cookie   []byte   // of Sync: empty for all
	Since    Time     // of Poll
	IDs      []string // of Again
	Account  string   // of Look and Tenure
	Probe    bool     // the single one that an open circuit lets through
}

// Mark is how far a synchronisation has come: it means something to the endpoint alone that told it.
type Mark struct {
	End    int
	Cookie []byte // of content synchronisation
	Stamp  Time   // of polling: all that was modified before it has been read
}

// Seen is what a list tells of an entry.
type ListedEntry struct {
	ID    string
	Stamp Time
}

// Why tells how a synchronisation ended that did not come to its own end.
type SyncFailure int

// The reasons.
const (
	Interrupted     SyncFailure = iota
	CookieExpired               // RFC 4533 e-syncRefreshRequired
	SyncUnsupported             // the endpoint has no content synchronisation
)

// Verdict is what becomes of a playback's question.
type Verdict int

// The verdicts.
const (
	Wait    Verdict = iota // a look-up is out; the answer comes by Settle
	Allowed                // with the age of what it rests on
	Unknown
	NotPlan // the plan is not its
	Stale   // what is known is too old, and the terms refuse then
	NoSeat
	Busy // too many wait, or the directory cannot be asked: come again
)

func (v Verdict) String() string {
	return [...]string{"wait", "allowed", "unknown", "not its plan", "stale", "no seat", "busy"}[v]
}

// Question is a playback's.
type Question struct {
	ID      int
	Account string
	Plan    string
	Until   Time // it must be answered by then
	Doubt   bool // what is known of the account did not bear it out: it is looked up, unless it was just now
}

// Answer is a question's.
type Answer struct {
	ID      int
	Verdict Verdict
	Tenant  string
	Age     Time // of what it rests on
}

// Counts tell what was met.
type Counts struct {
	Syncs, Whole, Broken, Full          int64
	Polls, Lists, Reread                int64
	Looks, Joined, Negatives, Doubts    int64
	Retried, Referred                   int64 // look-ups that another endpoint was asked
	Opened, Trials                      int64 // of circuits
	Changes, Deleted, Overfull, Refused int64
	Stales, Fallbacks                   int64
}

const (
	negativeCacheFactor = 4 // times as many names as may wait are remembered as not there
	answerMarginDivisor = 8 // a question is answered this part of a time-out before it must be
)

type entry struct {
	Record
	verifiedAt Time
	lookedUpAt Time   // by a look-up of its own
	syncRound  uint64 // of the synchronisation that brought it last
	position   int    // among all
}

// Core is the view. One goroutine owns it.
type Core struct {
	Terms
	Counts        Counts
	now           Time
	byID          map[string]*entry
	entries       []*entry // in no order
	accounts      map[string]*entry
	tenants       map[string]*entry
	absentUntil   map[string]Time // until when it is known not to be there
	seatsTaken    map[string]int  // by the tenant's id: seats go with it over a rename
	verifiedAt    Time            // the view was the directory's then
	synced        bool            // it was, once
	checkpoint    Mark
	latestStamp   Time // stamp that the mark's endpoint has told
	latestStampAt Time // when it was first told
	endpoints     endpointSet

	attempt          int
	sync             syncState
	unreadable       map[string]Time // entries that could not be read, by their stamps
	syncRound        uint64
	nextSyncAt       Time
	lookups          map[int]*lookup
	lookupsByAccount map[string]*lookup
	lookupQueue      []*lookup
	waiting          int
	answers          []Answer
	changedTenants   []Record // tenants that have changed: shares for the module and the door
}

// New makes a core that knows nothing.
func New(config Terms, now Time) *Core {
	c := &Core{Terms: config, now: now, checkpoint: Mark{End: -1}, unreadable: map[string]Time{}, byID: map[string]*entry{}, accounts: map[string]*entry{}, tenants: map[string]*entry{},
		absentUntil: map[string]Time{}, seatsTaken: map[string]int{}, lookups: map[int]*lookup{}, lookupsByAccount: map[string]*lookup{}}
	c.endpoints = newEndpointSet(&c.Terms, config.Ends)
	c.sync.preferred = -1
	return c
}

// At begins a turn.
func (c *Core) At(now Time) { c.now = max(c.now, now) }

// Fold is an account or a name as it is compared: names in a directory do not differ by case or blanks around
// them (RFC 4518).
func Fold(s string) string { return strings.ToLower(strings.TrimSpace(s)) }

// Resume gives it a view kept by an earlier process, as old as it is. A mark of an endpoint that is not there any
// more has less than 0 for it.
func (c *Core) Resume(records []Record, checkpoint Mark, asOf Time) {
	for i := range records {
		c.upsert(&records[i], asOf)
	}
	c.checkpoint, c.verifiedAt, c.synced, c.latestStamp = checkpoint, asOf, true, checkpoint.Stamp
}

// Records is the view in no order, for keeping and for checks; the mark and the moment that it stands for.
func (c *Core) Records() (records []Record, checkpoint Mark, asOf Time) {
	records = make([]Record, 0, len(c.byID))
	for _, e := range c.byID {
		records = append(records, e.Record)
	}
	return records, c.checkpoint, c.verifiedAt
}

// Part is so many records, from a place down, and the place for the next part; less than 0 after the last. What
// stands there throughout is brought by the parts together, though the view changes in between: an entry that goes
// leaves its place to one that was brought already. Begin with Size, and with the mark as it was before.
func (c *Core) Part(from, limit int) (records []Record, next int) {
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

// Mark is how far the view has come, and the moment that it stands for.
func (c *Core) Mark() (Mark, Time) { return c.checkpoint, c.verifiedAt }

// Stands tells whether the view was ever whole, how many entries it has, and the moment that it stands for.
func (c *Core) Status() (whole bool, entries int, asOf Time) {
	return c.synced, len(c.byID), c.verifiedAt
}

// Name is an entry's name, empty for none.
func (c *Core) Name(id string) string {
	if e := c.byID[id]; e != nil {
		return e.Name
	}
	return ""
}

// TellAll has all tenants' shares told anew.
func (c *Core) TellAll() {
	for _, e := range c.tenants {
		c.changedTenants = append(c.changedTenants, e.Record)
	}
}

// Size is how many entries are held.
func (c *Core) Size() int { return len(c.byID) }

// age is how old what an entry says may be.
func (c *Core) age(e *entry) Time { return c.now - max(e.verifiedAt, c.lastVerified()) }

// fresh is when the whole view was last known to be the directory's: while a stream lives, its word counts.
func (c *Core) lastVerified() Time {
	if !c.synced {
		return 0
	}
	return c.verifiedAt
}

// Age is how old the view is.
func (c *Core) Age() Time { return c.now - c.lastVerified() }

// put takes an entry in.
func (c *Core) upsert(record *Record, asOf Time) {
	e := c.byID[record.ID]
	if e == nil {
		if c.Entries > 0 && len(c.byID) >= c.Entries {
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

// index is where an entry's name belongs.
func (c *Core) index(e *entry) map[string]*entry {
	if e.Kind == Tenant {
		return c.tenants
	}
	return c.accounts
}

// found puts an entry's name back on its index, if no other has it: a look-up at a replica that was behind may have
// missed it.
func (c *Core) restoreName(e *entry) {
	if key := Fold(e.Name); c.index(e)[key] == nil {
		c.index(e)[key] = e
	}
}

// unname takes an entry's name off the indexes, if it is still its own.
func (c *Core) removeName(e *entry) {
	if key := Fold(e.Name); c.index(e)[key] == e {
		delete(c.index(e), key)
	}
}

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

// judge answers a question from what is known; false where nothing is.
func (c *Core) decide(query *Question) (Answer, bool) {
	answer := Answer{ID: query.ID, Verdict: Unknown}
	e := c.accounts[Fold(query.Account)]
	if e == nil {
		return answer, false
	}
	tenant := c.tenants[Fold(e.Tenant)]
	if tenant == nil {
		return answer, c.synced // its tenant is not there
	}
	answer.Tenant = tenant.Name
	answer.Age = max(c.age(e), c.age(tenant))
	plans := e.Plans
	if len(plans) == 0 {
		plans = tenant.Plans
	}
	switch {
	case answer.Age > c.Longest && !c.Admit:
		c.Counts.Stales++
		answer.Verdict = Stale
	case !slices.Contains(plans, query.Plan):
		answer.Verdict = NotPlan
	case tenant.Seats > 0 && c.seatsTaken[tenant.ID] >= tenant.Seats:
		answer.Verdict = NoSeat
	default:
		if answer.Age > c.Longest {
			c.Counts.Fallbacks++
		}
		answer.Verdict = Allowed
	}
	return answer, true
}

// Cancel takes a question out whose player has left.
func (c *Core) Cancel(id int) {
	for _, pending := range c.lookupsByAccount {
		n := len(pending.queries)
		pending.queries = slices.DeleteFunc(pending.queries, func(q Question) bool { return q.ID == id })
		c.waiting -= n - len(pending.queries)
	}
}

// Plays takes a seat for a playback that was allowed, and Over gives it back by the id returned. Several that were
// allowed by one look-up may meet at the last seat: false for those that come too late. Seats belong to the
// tenant's entry, whatever its name.
func (c *Core) Plays(name string) (id string, ok bool) {
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

// Over gives a seat back.
func (c *Core) Over(id string) {
	if id == "" {
		return
	}
	if c.seatsTaken[id]--; c.seatsTaken[id] <= 0 {
		delete(c.seatsTaken, id)
	}
}

// Digest is the HA1 of an account, and whether it is known.
func (c *Core) Digest(account string) (string, bool) {
	if e := c.accounts[Fold(account)]; e != nil {
		return e.Digest, e.Digest != ""
	}
	return "", false
}

// Settle emits what is to be asked now, the answers that are ready, and tenants whose shares have changed. It
// returns when it wants to be called again.
func (c *Core) Settle(request func(Want), answer func(Answer), share func(Record)) Time {
	next := min(c.processSync(request), c.processLookups(request))
	c.Counts.Opened, c.Counts.Trials = c.endpoints.opened, c.endpoints.probes
	for _, a := range c.answers {
		answer(a)
	}
	c.answers = nil
	for _, r := range c.changedTenants {
		share(r)
	}
	c.changedTenants = nil
	return max(next, c.now+1)
}
