// Package quality turns what session managers see and what players report of startup, stalls and rung changes into
// service by rack and by title, weighed by revenue, and says which rack or title does worse than the others. It is
// free of I/O. docs/quality.md tells the options weighed.
//
// Nothing is credited before a playback is closed to reports: until then its record is what is known of it, so that
// reports that come late, twice or in another order change only the record.
package quality

import (
	"cmp"
	"slices"
)

// Time is a clock value or span in microseconds.
type Time = int64

// Plan is what counts of a plan.
type Plan struct {
	Startup Time // target
	Revenue float64
}

// Terms are told at the start.
type Terms struct {
	Plans     []Plan
	Worth     []float64 // of the rungs
	Racks     int
	Titles    int  // with figures of their own, at most
	Playbacks int  // records held, at most
	Width     Time // of a bucket of time
	Buckets   int  // kept
	Late      Time // after its end a playback is closed to reports
}

// Figures are sums, weighed by revenue.
type Figures struct {
	Due     float64 // of playbacks that were asked for
	OnTime  float64 // that started within their target
	Watched float64 // revenue times seconds
	Stalled float64
	Worth   float64 // times the worth of the rung in force
	Changes float64
	Squares float64 // of the revenues due: how much chance may have in their sum
	Count   int     // playbacks asked for
}

func (f *Figures) add(other *Figures) {
	f.Due, f.OnTime, f.Watched, f.Stalled = f.Due+other.Due, f.OnTime+other.OnTime, f.Watched+other.Watched, f.Stalled+other.Stalled
	f.Worth, f.Changes, f.Count = f.Worth+other.Worth, f.Changes+other.Changes, f.Count+other.Count
	f.Squares += other.Squares
}

// Service is the part of the revenue that started in time.
func (f *Figures) Service() float64 { return ratio(f.OnTime, f.Due) }

// Stalls is the part of the time watched that stood still.
func (f *Figures) Stalls() float64 { return ratio(f.Stalled, f.Watched) }

// Rung is the mean worth of the rungs in force.
func (f *Figures) Rung() float64 { return ratio(f.Worth, f.Watched) }

// Lost is the part of what was due that was not given: not in time, or in time and then stalled.
func (f *Figures) Lost() float64 {
	if f.Due == 0 {
		return f.Stalls()
	}
	return 1 - f.Service()*(1-f.Stalls())
}

func ratio(value, total float64) float64 {
	if total == 0 {
		return 0
	}
	return value / total
}

// Counts tell what reports were like.
type Counts struct {
	Reports, Duplicates, Late, Strange, Clocks int64 // Clocks: a time of the player's that cannot be
	Closed, Early                              int64 // playbacks; Early: for want of room
}

// Kind tells racks from titles.
type Kind int

// The kinds.
const (
	Rack Kind = iota
	Title
)

// Group is a rack by its number, or a title.
type Group struct {
	Kind  Kind
	Rack  int
	Title string
}

// Other is where titles are counted that have no figures of their own.
const Other = "other"

// ring is a group's figures by buckets of time.
type series struct {
	buckets     []Figures
	unblamed    []Figures // of a title without what played on racks that stand out, of a rack without such titles
	latest      Time      // the latest bucket's number
	outlier     bool
	clearChecks int // looks in a row at which it did not stand out
}

// What a player reports.
const (
	Startup = iota + 1 // it took Span until the first picture
	Stall              // the picture stood still for Span from At on
	Rung               // from At on at Rung
)

// Report is one of a player's, with its own clock's times.
type Report struct {
	Seq   uint32 // from 1, the same when it is sent again
	What  int
	Clock Time // when it was sent
	At    Time // when it happened
	Span  Time
	Rung  int
}

type interval struct{ from, to Time }

// step is what holds from a moment on: a rung, or a rack.
type change struct {
	at    Time
	value int
}

// at is the step in force at a moment; that before the first is the first.
func valueAt(changes []change, moment Time) int {
	value := changes[0].value
	for _, entry := range changes {
		if entry.at <= moment {
			value = entry.value
		}
	}
	return value
}

// record is what is known of a playback.
type record struct {
	id                              string
	plan                            int
	startRack                       int      // that started it, or failed it; -1 for none
	rackChanges                     []change // over its moves
	title                           string
	requestedAt, startedAt, endedAt Time // 0 for not yet
	reportedStartup                 Time // as reported, -1 for not
	stalls                          []interval
	rungChanges                     []change
	reportedRungs                   []change // rungs as the player reports them
	lastSeq                         uint32
	seenMask                        uint64 // of the sequence numbers up to last
}

const (
	maxStalls  = 64 // apart from each other, of a playback; then the shortest are left out
	maxChanges = 64
	seqWindow  = 64 // sequence numbers that a report may be behind the latest
)

// Core holds records and figures. One goroutine owns it.
type Core struct {
	Terms
	Counts     Counts
	now        Time
	open       map[string]*record
	ended      []*record // ended, oldest first
	groups     map[Group]*series
	titleCount int
	lastCheck  Time
	changed    []Alarm
}

// New makes an empty one.
func New(t Terms, now Time) *Core {
	t.Buckets, t.Width = max(t.Buckets, 2), max(t.Width, 1)
	return &Core{Terms: t, now: now, open: map[string]*record{}, groups: map[Group]*series{}, lastCheck: now / t.Width}
}

// At begins a turn.
func (c *Core) At(now Time) { c.now = max(c.now, now) }

// Taken begins a playback.
func (c *Core) Taken(id string, plan int, title string, requestedAt Time) {
	if c.open[id] != nil || plan < 0 || plan >= len(c.Plans) {
		return
	}
	for len(c.open) >= max(c.Playbacks, 1) {
		if len(c.ended) == 0 {
			c.Counts.Early++
			return
		}
		c.Counts.Early++
		c.close(c.ended[0])
		c.ended = c.ended[1:]
	}
	c.open[id] = &record{id: id, plan: plan, startRack: -1, title: title, requestedAt: requestedAt, reportedStartup: -1}
}

// Name gives a playback another name.
func (c *Core) Name(oldID, newID string) {
	if r := c.open[oldID]; r != nil && c.open[newID] == nil {
		delete(c.open, oldID)
		r.id = newID
		c.open[newID] = r
	}
}

// Known tells whether a playback is open to reports.
func (c *Core) Known(id string) bool { return c.open[id] != nil }

// Open is how many records are held.
func (c *Core) Open() int { return len(c.open) }

// Plays tells where a playback plays, and at which rung: at first, after a move, and when the rung changes.
func (c *Core) Plays(id string, rack, rung int, startedAt Time) {
	r := c.open[id]
	if r == nil || r.endedAt > 0 {
		return
	}
	if r.startedAt == 0 {
		r.startedAt, r.startRack = startedAt, rack
	}
	if n := len(r.rungChanges); n == 0 || r.rungChanges[n-1].value != rung && n < maxChanges {
		r.rungChanges = append(r.rungChanges, change{startedAt, rung})
	}
	if n := len(r.rackChanges); n == 0 || r.rackChanges[n-1].value != rack && n < maxChanges {
		r.rackChanges = append(r.rackChanges, change{startedAt, rack})
	}
}

// Failed tells the rack on which a playback came to nothing, where one is known.
func (c *Core) Failed(id string, rack int) {
	if r := c.open[id]; r != nil && r.startedAt == 0 {
		r.startRack = rack
	}
}

// Ended ends a playback; reports are heard for a while after it.
func (c *Core) Ended(id string, endedAt Time) {
	if r := c.open[id]; r != nil && r.endedAt == 0 {
		r.endedAt = max(endedAt, r.requestedAt+1)
		c.ended = append(c.ended, r)
	}
}

// Report takes a player's report that came in now.
func (c *Core) Report(id string, report Report) {
	r := c.open[id]
	c.Counts.Reports++
	switch {
	case r == nil:
		c.Counts.Late++
		return
	case report.Seq == 0 || report.Span < 0 || report.What < Startup || report.What > Rung || report.What == Rung && (report.Rung < 0 || report.Rung >= len(c.Worth)):
		c.Counts.Strange++
		return
	case !r.markSeen(report.Seq):
		c.Counts.Duplicates++
		return
	}
	// The player's clock may be an hour wrong: what counts is how long ago it says that something was. What would
	// have been before the playback, or is yet to come, tells of a clock that was set in between.
	age := report.Clock - report.At
	occurredAt := c.now - age
	if age < 0 || occurredAt < r.requestedAt-c.Width {
		c.Counts.Clocks++
		occurredAt = c.now - report.Span // as late as it can have been
	}
	occurredAt = max(occurredAt, r.requestedAt)
	switch report.What {
	case Startup:
		r.reportedStartup = report.Span
	case Stall:
		r.addStall(interval{occurredAt, occurredAt + report.Span})
	case Rung:
		if len(r.reportedRungs) < maxChanges {
			r.reportedRungs = append(r.reportedRungs, change{occurredAt, report.Rung})
		}
	}
}

// fresh notes a sequence number, and tells whether it is new.
func (r *record) markSeen(seq uint32) bool {
	switch {
	case seq > r.lastSeq:
		if ahead := seq - r.lastSeq; ahead < seqWindow {
			r.seenMask = r.seenMask<<ahead | 1
		} else {
			r.seenMask = 1
		}
		r.lastSeq = seq
		return true
	case r.lastSeq-seq >= seqWindow || r.seenMask>>(r.lastSeq-seq)&1 == 1:
		return false
	}
	r.seenMask |= 1 << (r.lastSeq - seq)
	return true
}

// stall adds one; those that overlap are one.
func (r *record) addStall(stall interval) {
	if stall.to <= stall.from {
		return
	}
	var separate []interval
	for _, other := range r.stalls {
		if other.to < stall.from || other.from > stall.to {
			separate = append(separate, other)
			continue
		}
		stall.from, stall.to = min(stall.from, other.from), max(stall.to, other.to)
	}
	r.stalls = append(separate, stall)
	if len(r.stalls) > maxStalls {
		slices.SortFunc(r.stalls, func(a, b interval) int { return cmp.Compare(b.to-b.from, a.to-a.from) })
		r.stalls = r.stalls[:maxStalls]
	}
}

// started is when a playback started; false where it never did.
func (r *record) started() (Time, bool) {
	switch {
	case r.reportedStartup >= 0 && r.startedAt > 0:
		return r.requestedAt + r.reportedStartup, true
	case r.startedAt > 0:
		return r.startedAt, true
	}
	return 0, false
}

// credit adds what a playback stands for to the racks and buckets that it falls in, up to a moment. A playback is due
// to the rack that started it; what it watched is that of the rack where it was.
func (c *Core) credit(r *record, until Time, add func(rack int, at Time, f Figures)) {
	plan := &c.Plans[r.plan]
	startup := Figures{Due: plan.Revenue, Squares: plan.Revenue * plan.Revenue, Count: 1}
	startedAt, started := r.started()
	if started && startedAt-r.requestedAt <= plan.Startup {
		startup.OnTime = plan.Revenue
	}
	if !started && r.endedAt == 0 && until-r.requestedAt <= plan.Startup {
		return // it may come yet
	}
	add(r.startRack, r.requestedAt, startup)
	if !started {
		return
	}
	end := until
	if r.endedAt > 0 {
		end = r.endedAt
	}
	rungs := slices.Clone(r.rungChanges)
	if len(r.reportedRungs) > 0 { // the player knows better
		rungs = slices.Clone(r.reportedRungs)
		slices.SortStableFunc(rungs, func(a, b change) int { return cmp.Compare(a.at, b.at) })
		if rungs[0].at > startedAt {
			rungs = append([]change{{startedAt, r.rungChanges[0].value}}, rungs...)
		}
	}
	cuts := []Time{startedAt, end}
	for _, changes := range [][]change{rungs, r.rackChanges} {
		for _, entry := range changes {
			if entry.at > startedAt && entry.at < end {
				cuts = append(cuts, entry.at)
			}
		}
	}
	slices.Sort(cuts)
	for i := 1; i < len(cuts); i++ {
		worth := c.Worth[min(max(valueAt(rungs, cuts[i-1]), 0), len(c.Worth)-1)]
		rack := valueAt(r.rackChanges, cuts[i-1])
		c.splitByBucket(cuts[i-1], cuts[i], func(at Time, seconds float64) {
			add(rack, at, Figures{Watched: plan.Revenue * seconds, Worth: plan.Revenue * seconds * worth})
		})
	}
	for i := 1; i < len(rungs); i++ {
		if entry := rungs[i]; entry.value != rungs[i-1].value && entry.at <= end {
			add(valueAt(r.rackChanges, entry.at), entry.at, Figures{Changes: plan.Revenue})
		}
	}
	for _, stall := range r.stalls {
		rack := valueAt(r.rackChanges, stall.from)
		c.splitByBucket(max(stall.from, startedAt), min(stall.to, end), func(at Time, seconds float64) { add(rack, at, Figures{Stalled: plan.Revenue * seconds}) })
	}
}

// spread calls for each bucket that a span falls in, with the seconds in it.
func (c *Core) splitByBucket(from, to Time, visit func(at Time, seconds float64)) {
	for from < to {
		bucketEnd := min((from/c.Width+1)*c.Width, to)
		visit(from, float64(bucketEnd-from)/1e6)
		from = bucketEnd
	}
}

// close credits a playback for good.
func (c *Core) close(r *record) {
	delete(c.open, r.id)
	c.Counts.Closed++
	title := c.series(Group{Kind: Title, Title: r.title})
	c.credit(r, r.endedAt, func(rackNumber int, when Time, figures Figures) {
		bucket := when / c.Width
		title.add(title.buckets, bucket, &figures)
		if rackNumber < 0 || rackNumber >= c.Racks {
			title.add(title.unblamed, bucket, &figures)
			return
		}
		rack := c.series(Group{Kind: Rack, Rack: rackNumber})
		rack.add(rack.buckets, bucket, &figures)
		if !title.outlier {
			rack.add(rack.unblamed, bucket, &figures)
		}
		if !rack.outlier {
			title.add(title.unblamed, bucket, &figures)
		}
	})
}

// ring is a group's; a title for which there is no room has that of the others.
func (c *Core) series(group Group) *series {
	s := c.groups[group]
	if s == nil && group.Kind == Title && group.Title != Other {
		if c.titleCount >= max(c.Titles, 1) {
			c.evictEmptyTitles()
		}
		if c.titleCount >= max(c.Titles, 1) {
			group.Title = Other
			s = c.groups[group]
		} else {
			c.titleCount++
		}
	}
	if s == nil {
		s = &series{buckets: make([]Figures, c.Buckets), unblamed: make([]Figures, c.Buckets)}
		c.groups[group] = s
	}
	s.advance(c.now / c.Width)
	return s
}

// forget drops titles of which nothing is left.
func (c *Core) evictEmptyTitles() {
	for group, s := range c.groups {
		if group.Kind != Title || group.Title == Other || s.outlier {
			continue
		}
		s.advance(c.now / c.Width)
		if sum := s.sum(s.buckets); sum.Due == 0 && sum.Watched == 0 {
			delete(c.groups, group)
			c.titleCount--
		}
	}
}

// turn empties the buckets between the latest one and a new latest one.
func (s *series) advance(bucket Time) {
	size := Time(len(s.buckets))
	for skipped := max(s.latest+1, bucket-size+1); skipped <= bucket; skipped++ {
		s.buckets[skipped%size], s.unblamed[skipped%size] = Figures{}, Figures{}
	}
	s.latest = max(s.latest, bucket)
}

func (s *series) add(buckets []Figures, bucket Time, figures *Figures) {
	if size := Time(len(buckets)); bucket > s.latest-size && bucket <= s.latest {
		buckets[bucket%size].add(figures)
	}
}

// recent is the sum of the latest buckets.
func (s *series) recent(buckets []Figures, count int) (total Figures) {
	size := Time(len(buckets))
	for bucket := max(s.latest-Time(count)+1, 0); bucket <= s.latest; bucket++ {
		total.add(&buckets[bucket%size])
	}
	return total
}

func (s *series) sum(buckets []Figures) (total Figures) {
	for i := range buckets {
		total.add(&buckets[i])
	}
	return total
}

// Figures are the sums over all buckets, what still plays included.
func (c *Core) Figures() map[Group]Figures {
	all := map[Group]Figures{}
	for group, r := range c.groups {
		r.advance(c.now / c.Width)
		all[group] = r.sum(r.buckets)
	}
	oldest := (c.now/c.Width - Time(c.Buckets) + 1) * c.Width
	add := func(group Group, figures *Figures) {
		total := all[group]
		total.add(figures)
		all[group] = total
	}
	for _, r := range c.open {
		title := Group{Kind: Title, Title: r.title}
		if _, ok := c.groups[title]; !ok && c.titleCount >= max(c.Titles, 1) {
			title.Title = Other
		}
		c.credit(r, c.now, func(rack int, when Time, figures Figures) {
			if when < oldest {
				return
			}
			add(title, &figures)
			if rack >= 0 && rack < c.Racks {
				add(Group{Kind: Rack, Rack: rack}, &figures)
			}
		})
	}
	return all
}
