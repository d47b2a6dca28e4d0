// Package registry follows the server list in a key-value registry that speaks etcd v3's API (KV, Watch,
// Lease). The core, free of I/O, owns the view, the revision that it stands for, and what to do next; an
// edge lists, watches and waits as it is told, and brings back what came of it. docs/registry.md tells the
// options weighed.
//
// The view is always the registry's state at one revision: a transaction's changes show together, each once,
// and never those of two histories mixed.
package registry

import (
	"hash/crc32"
	"maps"
	"slices"
)

// Time is a clock value or span in microseconds.
type Time = int64

// Entry is one key of the view.
type Entry struct {
	Value []byte
	Mod   int64 // the revision of its latest change
}

// Change is one change of a watch answer, in the registry's order.
type Change struct {
	Key     string
	Value   []byte
	Mod     int64
	Deleted bool
}

// Head is what every answer of the registry tells of itself (ResponseHeader of the API).
type Head struct {
	Cluster  uint64
	Revision int64
}

// Mark names a history: the value of a key that is written once for as long as the registry lives. Cluster
// ids follow from settings and may stay the same over a new beginning; a mark does not.
type Mark string

// Act is what the core wants done.
type Operation int

// The acts. For each List and Watch exactly one of the answers comes, under the try's number.
const (
	None  Operation = iota
	List            // all keys and the mark, in one linearizable transaction
	Watch           // from a revision on, after the mark was read and found the same
)

// Want is one act.
type Want struct {
	Act        Operation
	NextMember bool  // by another member than the last time
	Try        int   // its number; what comes under another number is of the past
	From       int64 // of Watch: the first revision wanted
	Mark       Mark  // of Watch: the history that it must be
}

// News is what the view has become: whole after a list, changes otherwise.
type News struct {
	Whole    bool
	Changes  []Change // of a whole one: all keys, in the order of their names
	Revision int64
	Kept     bool // the view of an earlier process
	Guarded  bool // a whole list that lost much was held for confirmation before
}

// Failure is why a try has ended.
type Failure int

// The failures.
const (
	Lost           Failure = iota // the connection, a time-out, a server that is away
	Compacted                     // the revision asked for is gone: only a list helps
	Foreign                       // the mark read is another than the one asked for
	WatcherDropped                // the registry dropped a slow watcher; it may be resumed
)

// Bounds are told at the start.
type Bounds struct {
	Seed    uint64
	Grace   Time // of rule 3: news of gone boxes must bind by then
	Timeout Time // of a try
	Held    int  // changes of one answer in pieces, at most
}

const (
	initialBackoffDivisor = 16  // the first wait after a failure is this part of a time-out
	backoffMultiplier     = 2   // and doubles each time
	confirmDivisor        = 2   // a list that lost much is confirmed within this part of the grace
	massRemovalShare      = 0.5 // much is more than this part of the keys
	watchIdleTimeouts     = 4   // time-outs without any answer until a watch is taken for stuck
	streamIdleTimeouts    = 3   // time-outs without a word on a stream that is asked for one in each
	reregisterDivisor     = 4   // a lost registration is taken anew after this part of a time-out
	olderListTimeouts     = 16  // time-outs in which lists older than the view are not followed
	memberLagTimeouts     = 2   // time-outs that a watch may lie behind what another member told
)

// Counts tell what was met.
type Counts struct {
	Lists, Watches, Compactions, Histories, Lower, Duplicates, Guarded, Refuted, Failures, Overfull, Stale int64
}

// Core is the registry's view.
type Core struct {
	Bounds
	Counts     Counts
	now        Time
	view       map[string]Entry
	revision   int64
	cluster    uint64
	history    Mark
	synced     bool // a list was taken
	verifiedAt Time // when the view was last known to be the registry's

	op            Operation // under way
	attempt       int
	lastActivity  Time // the try's beginning, or the watch's last sign of life
	needsList     bool
	retryAt       Time
	failures      int
	fragments     []Change    // of an answer that is not whole
	pendingList   *listResult // a list that lost much
	pendingUntil  Time
	updates       []News
	jitterDraws   uint32
	aheadRevision int64 // the revision that another member told of
	aheadSince    Time
	switchMember  bool
	olderSince    Time // since when lists have been older than the view, 0 for none
}

type listResult struct {
	header  Head
	history Mark
	keys    map[string]Entry
}

// New makes a core that knows nothing.
func New(b Bounds, now Time) *Core { return &Core{Bounds: b, now: now, view: map[string]Entry{}} }

// Resume gives it a view kept from before: it is served until the registry answers.
func (c *Core) Restore(view map[string]Entry, header Head, history Mark, asOf Time) {
	c.view, c.revision, c.cluster, c.history = maps.Clone(view), header.Revision, header.Cluster, history
	c.synced, c.verifiedAt = true, asOf
	n := c.snapshot()
	n.Kept = true
	c.queueUpdate(n)
}

// At begins a turn.
func (c *Core) At(now Time) { c.now = max(c.now, now) }

// Revision is the one that the view stands for, in the history of the mark; 0 before any.
func (c *Core) Revision() (int64, Mark) { return c.revision, c.history }

// Age is how long ago the view was last known to be the registry's.
func (c *Core) Age() Time { return c.now - c.verifiedAt }

// View is the state at the revision.
func (c *Core) View() map[string]Entry { return c.view }

// Head is what the view's history tells of itself.
func (c *Core) Header() Head { return Head{c.cluster, c.revision} }

// Listed takes the answer to a List.
func (c *Core) Listed(attempt int, header Head, history Mark, entries map[string]Entry) {
	if attempt != c.attempt || c.op != List {
		return
	}
	c.op = None
	list := &listResult{header, history, entries}
	if c.synced && c.isOlder(list) {
		// A member that has fallen behind says what the view knew before: it tells nothing that must bind in
		// time. Others are asked until one is as far; only a registry that goes on being older, as one restored
		// from a copy does, is followed back.
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
	case c.pendingList != nil: // the confirmation: the later list counts, whichever it is
		if !c.losesMany(list) {
			c.Counts.Refuted++
		}
		c.pendingList = nil
		c.install(list, true)
	case c.synced && c.Grace > 0 && c.losesMany(list):
		// Something may be wrong with the registry, or the member asked, rather than with the boxes: another
		// member is asked, if there is one. What was read binds in time for the grace whether or not that answer comes, as the manager has been told.
		c.Counts.Guarded++
		c.pendingList, c.pendingUntil, c.needsList, c.switchMember = list, c.now+c.Grace/confirmDivisor, true, true
	default:
		c.install(list, false)
	}
}

// loses tells whether a list lacks more than a part of what is known.
func (c *Core) losesMany(list *listResult) bool {
	removed := 0
	for key := range c.view {
		if _, ok := list.keys[key]; !ok {
			removed++
		}
	}
	return removed > 0 && float64(removed) > massRemovalShare*float64(len(c.view))
}

// older tells whether a list is of an earlier state of the same history: of a member that has fallen behind,
// or of a registry restored from a copy.
func (c *Core) isOlder(list *listResult) bool {
	return list.history == c.history && list.header.Cluster == c.cluster && list.header.Revision < c.revision
}

// take makes a list the view.
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
	update.Guarded = deferred
	c.queueUpdate(update)
}

func (c *Core) snapshot() News {
	update := News{Whole: true, Revision: c.revision}
	for _, key := range slices.Sorted(maps.Keys(c.view)) {
		update.Changes = append(update.Changes, Change{Key: key, Value: c.view[key].Value, Mod: c.view[key].Mod})
	}
	return update
}

func (c *Core) queueUpdate(update News) { c.updates = append(c.updates, update) }

// Watched takes an answer of a watch. With fragment set more pieces of the same answer follow. An answer
// without changes tells how far the registry has come (a progress notification), or that the watch began.
func (c *Core) Watched(attempt int, header Head, changes []Change, fragment, created bool) {
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
		if header.Revision < c.revision { // it has not even come as far as the view
			c.restart(true)
		}
		return
	}
	c.fragments = append(c.fragments, changes...)
	if c.Held > 0 && len(c.fragments) > c.Held {
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

// Elsewhere takes how far another member says that the history of a mark has come. It guards against a member
// that answers all that it is asked and hears of nothing any more: a watch there that has not come as far
// within some time-outs is left for the next member. It costs one small read of another member in a while.
func (c *Core) HandleMemberRevision(header Head, history Mark) {
	if c.op == Watch && history == c.history && header.Cluster == c.cluster && header.Revision > c.revision && c.aheadRevision <= c.revision {
		c.aheadRevision, c.aheadSince = header.Revision, c.now
	}
}

// apply takes whole transactions on, in order; what is known already is passed over.
func (c *Core) apply(changes []Change) {
	update := News{}
	lastRevision := c.revision
	for _, change := range changes {
		if change.Mod <= c.revision {
			c.Counts.Duplicates++
			continue
		}
		if change.Mod < lastRevision { // out of order: nothing of it can be trusted
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

// Ended takes the end of a try that brought nothing more.
func (c *Core) Ended(attempt int, failure Failure) {
	if attempt != c.attempt || c.op == None {
		return
	}
	c.Counts.Failures++
	switch failure {
	case Compacted:
		c.Counts.Compactions++
		c.restart(true)
	case Foreign:
		c.restart(true)
	case WatcherDropped:
		c.restart(false)
	default:
		c.restart(false)
		c.scheduleRetry()
	}
}

// again ends what is under way; a list follows, or the watch from where it stood.
func (c *Core) restart(needsList bool) {
	c.op, c.fragments = None, nil
	c.needsList = c.needsList || needsList
}

// backOff waits before the next try: doubling, and spread by chance over the last half, so that managers
// that lost the registry together do not come back together.
func (c *Core) scheduleRetry() {
	delay := min(c.Timeout/initialBackoffDivisor<<min(c.failures, 10), c.Timeout)
	c.failures++
	c.jitterDraws++
	seedBytes := [8]byte{byte(c.Seed >> 24), byte(c.Seed >> 16), byte(c.Seed >> 8), byte(c.Seed), byte(c.jitterDraws >> 24), byte(c.jitterDraws >> 16),
		byte(c.jitterDraws >> 8), byte(c.jitterDraws)}
	jitter := float64(crc32.ChecksumIEEE(seedBytes[:])) / (1 << 32)
	c.retryAt = c.now + delay/2 + Time(float64(delay/2)*jitter)
}

// Silence is how long a stream that is asked for a word once in each time-out may say nothing.
func (b *Bounds) StreamIdleTimeout() Time { return streamIdleTimeouts * b.Timeout }

// Anew is how long one waits before a registration that was lost is taken anew.
func (b *Bounds) ReregisterDelay() Time { return b.Timeout / reregisterDivisor }

// Settle emits what is to be done now, and the news since the last time. It returns when it wants to be
// called again at the latest.
func (c *Core) Settle(request func(Want), publish func(News)) Time {
	if c.pendingList != nil && c.now >= c.pendingUntil { // unconfirmed, yet the manager has been told
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
		request(Want{Act: c.op, Try: c.attempt, From: c.revision + 1, Mark: c.history, NextMember: c.switchMember})
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
