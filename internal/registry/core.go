// Package registry follows the server list in a key-value registry that serves the etcd v3 API (KV, Watch,
// Lease). The core performs no I/O: it owns the view, its revision and the decision what to do next. A client
// executes the lists and watches that the core requests and passes the results back. docs/registry.md compares
// the design options.
//
// The view always equals the registry's state at one revision: the changes of a transaction become visible
// together and once only, and changes of two histories are never mixed.
package registry

import (
	"hash/crc32"
	"maps"
	"slices"
)

// Time is a clock value or a duration, in microseconds.
type Time = int64

// Entry is the value of one key of the view.
type Entry struct {
	Value []byte
	Mod   int64 // revision of the latest change (mod_revision)
}

// Change is one event of a watch response. Changes keep the order in which the registry sent them.
type Change struct {
	Key     string
	Value   []byte
	Mod     int64 // revision of the change (mod_revision)
	Deleted bool
}

// Header holds the fields of the API's ResponseHeader that every response carries.
type Header struct {
	Cluster  uint64 // cluster_id
	Revision int64  // revision of the store
}

// HistoryID identifies a history of the registry: the value of a key that is written once in the registry's lifetime.
// Cluster ids are derived from settings, so a registry that is set up anew may have the same one; the identifier
// of its history differs.
type HistoryID string

// Operation is a kind of request that the core makes.
type Operation int

// The operations. Each List and Watch is answered under the number of its attempt.
const (
	None  Operation = iota
	List            // read all keys and the history identifier in one linearizable transaction
	Watch           // watch from a revision on, once the history identifier has been read and matches
)

// Request is one request of the core.
type Request struct {
	Op            Operation
	NextMember    bool      // ask another member than the last time
	Attempt       int       // number of the attempt; results under any other number are outdated
	StartRevision int64     // of Watch: the first revision to deliver
	History       HistoryID // of Watch: the history that the registry must have
}

// Update is an update of the view: the complete view after a list, single changes otherwise.
type Update struct {
	Snapshot bool     // Changes is the complete view
	Changes  []Change // of a complete view: all keys, sorted by name
	Revision int64
	Restored bool // loaded from the view that an earlier process stored
	Deferred bool // a list that lacked many keys was held back for confirmation first
}

// Failure is the reason why an attempt ended.
type Failure int

// The reasons.
const (
	ConnectionLost Failure = iota // connection lost, timeout, or server unavailable
	Compacted                     // the requested revision has been compacted: a list is required
	HistoryChanged                // the history identifier differs from the requested one
	WatcherDropped                // the registry cancelled a slow watcher; the watch may be resumed
)

// Config configures a core.
type Config struct {
	Seed               uint64 // of the backoff jitter and of the first member to ask
	GracePeriod        Time   // removed boxes must be out of use within this time, for rule 3
	Timeout            Time   // of one attempt
	MaxBufferedChanges int    // most changes buffered of a fragmented response; 0 for no limit
}

const (
	initialBackoffDivisor = 16  // the first delay after a failure is Timeout divided by this
	backoffMultiplier     = 2   // growth of the delay with each failure
	confirmDivisor        = 2   // a list that lacks many keys is confirmed within the grace period divided by this
	massRemovalShare      = 0.5 // share of the keys above which a removal must be confirmed
	watchIdleTimeouts     = 4   // timeouts without any response until a watch counts as stuck
	streamIdleTimeouts    = 3   // timeouts that a stream may be silent; its progress is requested once in each
	reregisterDivisor     = 4   // a lost registration is renewed after Timeout divided by this
	olderListTimeouts     = 16  // timeouts during which lists older than the view are rejected
	memberLagTimeouts     = 2   // timeouts that a watch may lag behind the revision of another member
)

// Counts holds the event counters of a core. Histories counts changes of the history; Lower, lists that lowered the
// revision; Guarded, lists held back for confirmation or rejected as older; Refuted, those that a later list
// contradicted; Overfull, fragmented responses above the limit; Stale, watches moved away from a lagging member.
type Counts struct {
	Lists, Watches, Compactions, Histories, Lower, Duplicates, Guarded, Refuted, Failures, Overfull, Stale int64
}

// Core holds the view of the registry and decides what to request next.
type Core struct {
	Config
	Counts     Counts
	now        Time
	view       map[string]Entry
	revision   int64
	cluster    uint64
	history    HistoryID
	synced     bool // a list or a stored view has been installed
	verifiedAt Time // when the view was last known to match the registry

	op            Operation // in progress
	attempt       int
	lastActivity  Time // start of the attempt, or the last response of the watch
	needsList     bool
	retryAt       Time
	failures      int
	fragments     []Change    // of a response that is not complete yet
	pendingList   *listResult // lacks many keys and awaits confirmation
	pendingUntil  Time
	updates       []Update
	jitterDraws   uint32
	aheadRevision int64 // revision that another member reported
	aheadSince    Time
	switchMember  bool
	olderSince    Time // since when lists have been older than the view, 0 if they are not
}

type listResult struct {
	header  Header
	history HistoryID
	keys    map[string]Entry
}

// New returns a core with an empty view.
func New(config Config, now Time) *Core {
	return &Core{Config: config, now: now, view: map[string]Entry{}}
}

// Restore installs a stored view, which is served until the registry answers.
func (c *Core) Restore(view map[string]Entry, header Header, history HistoryID, asOf Time) {
	c.view, c.revision, c.cluster, c.history = maps.Clone(view), header.Revision, header.Cluster, history
	c.synced, c.verifiedAt = true, asOf
	update := c.snapshot()
	update.Restored = true
	c.queueUpdate(update)
}

// SetTime sets the current time; it is called before each batch of events.
func (c *Core) SetTime(now Time) { c.now = max(c.now, now) }

// Revision returns the revision of the view and its history; 0 before the first list.
func (c *Core) Revision() (int64, HistoryID) { return c.revision, c.history }

// Age returns the time since the view was last known to match the registry.
func (c *Core) Age() Time { return c.now - c.verifiedAt }

// View returns the state at the current revision.
func (c *Core) View() map[string]Entry { return c.view }

// Header returns the cluster id and the revision of the view.
func (c *Core) Header() Header { return Header{c.cluster, c.revision} }

// HandleList handles the response to a List.
func (c *Core) HandleList(attempt int, header Header, history HistoryID, entries map[string]Entry) {
	if attempt != c.attempt || c.op != List {
		return
	}
	c.op = None
	list := &listResult{header, history, entries}
	if c.synced && c.isOlder(list) {
		// A member that lags behind returns an earlier state of the view, so nothing in it has to take effect
		// within the grace period. Other members are asked until one has caught up. Only a registry that stays
		// older, such as one restored from a backup, replaces the view.
		if c.olderSince == 0 {
			c.olderSince = c.now
		}
		if c.now-c.olderSince <= olderListTimeouts*c.Timeout {
			c.Counts.Guarded++
			c.needsList, c.switchMember = true, true
			c.scheduleRetry()
			return
		}
	} else if c.olderSince > 0 {
		c.Counts.Refuted++
	}
	c.failures = 0
	switch {
	case c.pendingList != nil: // the confirmation: the later list is used, whatever it holds
		if !c.losesMany(list) {
			c.Counts.Refuted++
		}
		c.pendingList = nil
		c.install(list, true)
	case c.synced && c.GracePeriod > 0 && c.losesMany(list):
		// The fault may lie with the registry or with the member rather than with the boxes, so another member
		// is asked if there is one. The list takes effect within the grace period even without that response,
		// as this manager has been notified of the removals.
		c.Counts.Guarded++
		c.pendingList, c.pendingUntil, c.needsList, c.switchMember = list, c.now+c.GracePeriod/confirmDivisor, true, true
	default:
		c.install(list, false)
	}
}

// losesMany reports whether a list lacks more than massRemovalShare of the keys in the view.
func (c *Core) losesMany(list *listResult) bool {
	removed := 0
	for key := range c.view {
		if _, ok := list.keys[key]; !ok {
			removed++
		}
	}
	return removed > 0 && float64(removed) > massRemovalShare*float64(len(c.view))
}

// isOlder reports whether a list shows an earlier state of the same history: it comes from a member that lags
// behind, or from a registry restored from a backup.
func (c *Core) isOlder(list *listResult) bool {
	return list.history == c.history && list.header.Cluster == c.cluster && list.header.Revision < c.revision
}

// install replaces the view by a list.
func (c *Core) install(list *listResult, deferred bool) {
	switch {
	case c.synced && (list.history != c.history || list.header.Cluster != c.cluster):
		c.Counts.Histories++
	case c.synced && list.header.Revision < c.revision:
		c.Counts.Lower++
	}
	c.needsList, c.synced, c.verifiedAt, c.olderSince = false, true, c.now, 0
	c.view, c.revision, c.cluster, c.history = list.keys, list.header.Revision, list.header.Cluster, list.history
	update := c.snapshot()
	update.Deferred = deferred
	c.queueUpdate(update)
}

func (c *Core) snapshot() Update {
	update := Update{Snapshot: true, Revision: c.revision}
	for _, key := range slices.Sorted(maps.Keys(c.view)) {
		update.Changes = append(update.Changes, Change{Key: key, Value: c.view[key].Value, Mod: c.view[key].Mod})
	}
	return update
}

func (c *Core) queueUpdate(update Update) { c.updates = append(c.updates, update) }

// HandleWatch handles a response of a watch. If fragment is set, more fragments of the same response follow. A
// response without changes is a progress notification, or, with created set, confirms that the watch exists.
func (c *Core) HandleWatch(attempt int, header Header, changes []Change, fragment, created bool) {
	if attempt != c.attempt || c.op != Watch {
		return
	}
	c.lastActivity = c.now
	if header.Cluster != c.cluster || !created && header.Revision < c.revision {
		c.restart(true)
		return
	}
	c.failures = 0
	if created {
		if header.Revision < c.revision { // the member has not reached the revision of the view
			c.restart(true)
		}
		return
	}
	c.fragments = append(c.fragments, changes...)
	if c.MaxBufferedChanges > 0 && len(c.fragments) > c.MaxBufferedChanges {
		c.Counts.Overfull++
		c.restart(true)
		return
	}
	if fragment {
		return
	}
	complete := c.fragments
	c.fragments = nil
	c.verifiedAt = c.now
	if len(complete) == 0 {
		c.revision = max(c.revision, header.Revision)
		return
	}
	c.apply(complete)
}

// HandleMemberRevision records the revision of a history that another member reports. It guards against a member
// that answers every request but no longer receives changes: a watch on it that does not reach the reported
// revision within memberLagTimeouts timeouts is moved to the next member. The cost is one small read per timeout.
func (c *Core) HandleMemberRevision(header Header, history HistoryID) {
	if c.op == Watch && history == c.history && header.Cluster == c.cluster && header.Revision > c.revision && c.aheadRevision <= c.revision {
		c.aheadRevision, c.aheadSince = header.Revision, c.now
	}
}

// apply adds complete transactions to the view, in order; changes that it already contains are skipped.
func (c *Core) apply(changes []Change) {
	update := Update{}
	lastRevision := c.revision
	for _, change := range changes {
		if change.Mod <= c.revision {
			c.Counts.Duplicates++
			continue
		}
		if change.Mod < lastRevision { // out of order: the whole response is untrustworthy
			c.restart(true)
			return
		}
		lastRevision = change.Mod
		update.Changes = append(update.Changes, change)
	}
	for _, change := range update.Changes {
		if change.Deleted {
			delete(c.view, change.Key)
		} else {
			c.view[change.Key] = Entry{change.Value, change.Mod}
		}
	}
	if c.revision = lastRevision; len(update.Changes) > 0 {
		update.Revision = lastRevision
		c.queueUpdate(update)
	}
}

// HandleFailure handles the end of an attempt.
func (c *Core) HandleFailure(attempt int, failure Failure) {
	if attempt != c.attempt || c.op == None {
		return
	}
	c.Counts.Failures++
	switch failure {
	case Compacted:
		c.Counts.Compactions++
		c.restart(true)
	case HistoryChanged:
		c.restart(true)
	case WatcherDropped:
		c.restart(false)
	default:
		c.restart(false)
		c.scheduleRetry()
	}
}

// restart ends the operation in progress; a list follows, or a watch from the current revision.
func (c *Core) restart(needsList bool) {
	c.op, c.fragments = None, nil
	c.needsList = c.needsList || needsList
}

// scheduleRetry sets the delay before the next attempt: exponential backoff with jitter over the last half, so
// that managers that lost the registry at the same time do not reconnect at the same time.
func (c *Core) scheduleRetry() {
	delay := min(c.Timeout/initialBackoffDivisor<<min(c.failures, 10), c.Timeout)
	c.failures++
	c.jitterDraws++
	seedBytes := [8]byte{byte(c.Seed >> 24), byte(c.Seed >> 16), byte(c.Seed >> 8), byte(c.Seed), byte(c.jitterDraws >> 24), byte(c.jitterDraws >> 16),
		byte(c.jitterDraws >> 8), byte(c.jitterDraws)}
	jitter := float64(crc32.ChecksumIEEE(seedBytes[:])) / (1 << 32)
	c.retryAt = c.now + delay/2 + Time(float64(delay/2)*jitter)
}

// StreamIdleTimeout returns how long a watch stream may be silent; its progress is requested once per timeout.
func (b *Config) StreamIdleTimeout() Time { return streamIdleTimeouts * b.Timeout }

// ReregisterDelay returns the delay before a lost registration is renewed.
func (b *Config) ReregisterDelay() Time { return b.Timeout / reregisterDivisor }

// Process emits the next request, if one is due, and the updates since the last call. It returns the time by which
// it must be called again.
func (c *Core) Process(request func(Request), publish func(Update)) Time {
	if c.pendingList != nil && c.now >= c.pendingUntil { // not confirmed in time; this manager has been notified, so the list takes effect
		list := c.pendingList
		c.pendingList = nil
		c.install(list, true)
		c.op, c.attempt = None, c.attempt+1
	}
	switch {
	case c.op == List && c.now-c.lastActivity > c.Timeout, c.op == Watch && c.now-c.lastActivity > watchIdleTimeouts*c.Timeout:
		c.Counts.Failures++
		c.restart(c.op == List)
		c.scheduleRetry()
	}
	if c.op == Watch && c.aheadRevision > c.revision && c.now-c.aheadSince > memberLagTimeouts*c.Timeout {
		c.Counts.Stale++
		c.restart(false)
		c.aheadRevision, c.switchMember = 0, true
	}
	if c.op == None && c.now >= c.retryAt {
		c.attempt++
		c.lastActivity = c.now
		if c.op = Watch; !c.synced || c.needsList || c.pendingList != nil {
			c.op = List
			c.Counts.Lists++
		} else {
			c.Counts.Watches++
		}
		request(Request{Op: c.op, Attempt: c.attempt, StartRevision: c.revision + 1, History: c.history, NextMember: c.switchMember})
		c.switchMember = false
	}
	for _, update := range c.updates {
		publish(update)
	}
	c.updates = nil
	next := c.retryAt
	switch c.op {
	case List:
		next = c.lastActivity + c.Timeout + 1
	case Watch:
		next = c.lastActivity + watchIdleTimeouts*c.Timeout + 1
		if c.aheadRevision > c.revision {
			next = min(next, c.aheadSince+memberLagTimeouts*c.Timeout+1)
		}
	}
	if c.pendingList != nil {
		next = min(next, c.pendingUntil)
	}
	return max(next, c.now+1)
}
