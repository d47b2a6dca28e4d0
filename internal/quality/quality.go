// Package quality computes quality of service by rack and by title, weighted by revenue, from the events of session
// managers and from players' reports of startup, stalls and rung changes. It raises an alarm for a rack or title that
// does worse than the others. The package does no I/O. docs/quality.md compares the alternatives considered.
//
// A playback is credited only once it no longer accepts reports. Until then everything known of it is in its record,
// so that late, duplicate or reordered reports change only the record.
package quality

import (
	"cmp"
	"slices"
)

// Time is a clock value or span in microseconds.
type Time = int64

// Plan holds the properties of a plan that its quality depends on.
type Plan struct {
	Startup Time // startup target
	Revenue float64
}

// Config holds the configuration, set at the start.
type Config struct {
	Plans        []Plan
	RungWorth    []float64 // by rung
	Racks        int
	MaxTitles    int  // maximum number of titles with figures of their own
	MaxPlaybacks int  // maximum number of records
	BucketWidth  Time // duration of a bucket
	BucketCount  int  // number of buckets kept
	ReportGrace  Time // time after its end for which a playback accepts reports
}

// Totals holds sums over playbacks, each weighted by its revenue.
type Totals struct {
	RevenueDue     float64 // revenue of the playbacks requested
	RevenueOnTime  float64 // revenue of those that started within their startup target
	Watched        float64 // revenue times seconds played
	Stalled        float64 // revenue times seconds stalled
	Worth          float64 // revenue times seconds times worth of the current rung
	Changes        float64 // revenue times rung changes
	RevenueSquares float64 // sum of the squared revenues of the playbacks requested, for the variance of their sum
	Playbacks      int     // number of playbacks requested
}

func (f *Totals) add(other *Totals) {
	f.RevenueDue, f.RevenueOnTime, f.Watched, f.Stalled = f.RevenueDue+other.RevenueDue, f.RevenueOnTime+other.RevenueOnTime, f.Watched+other.Watched, f.Stalled+other.Stalled
	f.Worth, f.Changes, f.Playbacks = f.Worth+other.Worth, f.Changes+other.Changes, f.Playbacks+other.Playbacks
	f.RevenueSquares += other.RevenueSquares
}

// Service is the share of the revenue whose playbacks started in time.
func (f *Totals) Service() float64 { return ratio(f.RevenueOnTime, f.RevenueDue) }

// StallRatio is the share of the playing time that was stalled.
func (f *Totals) StallRatio() float64 { return ratio(f.Stalled, f.Watched) }

// MeanWorth is the mean worth of the rungs played.
func (f *Totals) MeanWorth() float64 { return ratio(f.Worth, f.Watched) }

// Loss is the share of the due service that was not delivered: playbacks that did not start in time, and stalls of
// those that did.
func (f *Totals) Loss() float64 {
	if f.RevenueDue == 0 {
		return f.StallRatio()
	}
	return 1 - f.Service()*(1-f.StallRatio())
}

func ratio(value, total float64) float64 {
	if total == 0 {
		return 0
	}
	return value / total
}

// Counts counts reports by outcome, and closed playbacks.
type Counts struct {
	Reports, Duplicates, Late, Strange, Clocks int64 // Clocks: with an impossible time or duration by the player's clock
	Closed, Early                              int64 // playbacks; Early: closed early or not recorded, for lack of space
}

// Kind distinguishes racks and titles.
type Kind int

// The kinds of groups.
const (
	Rack Kind = iota
	Title
)

// Group identifies a rack by its number, or a title.
type Group struct {
	Kind  Kind
	Rack  int
	Title string
}

// OtherTitles is the title under which all titles without figures of their own are counted.
const OtherTitles = "other"

// Types of players' reports.
const (
	StartupReport = iota + 1 // the first picture came after the reported duration
	StallReport              // the playback stalled for the reported duration from the time of the event on
	RungReport               // the player changed to the reported rung at the time of the event
)

// Report is a report of a player, with times by the player's clock.
type Report struct {
	Seq        uint32 // starts at 1; a retransmission has the same number
	Type       int
	SentAt     Time // time of sending
	OccurredAt Time // time of the event
	Duration   Time
	Rung       int
}

// Collector holds the records of playbacks and the figures of groups. It is not safe for concurrent use.
type Collector struct {
	Config
	Counts     Counts
	now        Time
	open       map[string]*playbackRecord
	ended      []*playbackRecord // playbacks that have ended but still accept reports, oldest first
	groups     map[Group]*series
	titleCount int
	lastCheck  Time
	changed    []Alarm
}

// New returns an empty collector. It keeps at least two buckets.
func New(config Config, now Time) *Collector {
	config.BucketCount, config.BucketWidth = max(config.BucketCount, 2), max(config.BucketWidth, 1)
	return &Collector{Config: config, now: now, open: map[string]*playbackRecord{}, groups: map[Group]*series{}, lastCheck: now / config.BucketWidth}
}

// Advance starts a turn at the given time.
func (c *Collector) Advance(now Time) { c.now = max(c.now, now) }

// Begin starts the record of a playback. If there is no space, it closes the playbacks that ended first.
func (c *Collector) Begin(id string, plan int, title string, requestedAt Time) {
	if c.open[id] != nil || plan < 0 || plan >= len(c.Plans) {
		return
	}
	for len(c.open) >= max(c.MaxPlaybacks, 1) {
		if len(c.ended) == 0 {
			c.Counts.Early++
			return
		}
		c.Counts.Early++
		c.close(c.ended[0])
		c.ended = c.ended[1:]
	}
	c.open[id] = &playbackRecord{id: id, plan: plan, startRack: -1, title: title, requestedAt: requestedAt, reportedStartup: -1}
}

// Rename changes the id of a playback.
func (c *Collector) Rename(oldID, newID string) {
	if record := c.open[oldID]; record != nil && c.open[newID] == nil {
		delete(c.open, oldID)
		record.id = newID
		c.open[newID] = record
	}
}

// IsOpen reports whether a playback accepts reports.
func (c *Collector) IsOpen(id string) bool { return c.open[id] != nil }

// OpenCount returns the number of records held.
func (c *Collector) OpenCount() int { return len(c.open) }

// Playing records the rack and rung of a playback at its start, after a move, and after a rung change.
func (c *Collector) Playing(id string, rack, rung int, startedAt Time) {
	record := c.open[id]
	if record == nil || record.endedAt > 0 {
		return
	}
	if record.startedAt == 0 {
		record.startedAt, record.startRack = startedAt, rack
	}
	if n := len(record.rungChanges); n == 0 || record.rungChanges[n-1].value != rung && n < maxChanges {
		record.rungChanges = append(record.rungChanges, change{startedAt, rung})
	}
	if n := len(record.rackChanges); n == 0 || record.rackChanges[n-1].value != rack && n < maxChanges {
		record.rackChanges = append(record.rackChanges, change{startedAt, rack})
	}
}

// Failed records the rack on which a playback failed to start, if one is known.
func (c *Collector) Failed(id string, rack int) {
	if record := c.open[id]; record != nil && record.startedAt == 0 {
		record.startRack = rack
	}
}

// End records the end of a playback. Reports are still accepted for the grace period after it.
func (c *Collector) End(id string, endedAt Time) {
	if record := c.open[id]; record != nil && record.endedAt == 0 {
		record.endedAt = max(endedAt, record.requestedAt+1)
		c.ended = append(c.ended, record)
	}
}

// Report records a player's report received now.
func (c *Collector) Report(id string, report Report) {
	record := c.open[id]
	c.Counts.Reports++
	switch {
	case record == nil:
		c.Counts.Late++
		return
	case report.Seq == 0 || report.Duration < 0 || report.Type < StartupReport || report.Type > RungReport || report.Type == RungReport && (report.Rung < 0 || report.Rung >= len(c.RungWorth)):
		c.Counts.Strange++
		return
	case !record.markSeen(report.Seq):
		c.Counts.Duplicates++
		return
	}
	latest := c.now // by then all that the report tells of is over
	if record.endedAt > 0 {
		latest = min(latest, record.endedAt)
	}
	possible := latest - record.requestedAt
	if report.Duration > possible+c.BucketWidth { // whatever the player meant, it did not measure this
		c.Counts.Clocks++
		return
	}
	report.Duration = min(report.Duration, possible)
	// The player's clock may be an hour off, so only the age of the event by that clock is used. An event before the
	// playback or in the future means that the clock was set between the event and the report.
	age := report.SentAt - report.OccurredAt
	occurredAt := c.now - age
	if age < 0 || occurredAt < record.requestedAt-c.BucketWidth {
		c.Counts.Clocks++
		occurredAt = c.now - report.Duration // the latest time possible
	}
	occurredAt = max(occurredAt, record.requestedAt)
	switch report.Type {
	case StartupReport:
		record.reportedStartup = report.Duration
	case StallReport:
		record.addStall(interval{occurredAt, min(occurredAt+report.Duration, latest)})
	case RungReport:
		if len(record.reportedRungs) < maxChanges {
			record.reportedRungs = append(record.reportedRungs, change{occurredAt, report.Rung})
		}
	}
}

// credit adds the figures of a playback up to a time, by rack and bucket. The revenue due belongs to the rack that
// started the playback, and the time played to the rack that it played on.
func (c *Collector) credit(record *playbackRecord, until Time, add func(rack int, at Time, figures Totals)) {
	plan := &c.Plans[record.plan]
	startup := Totals{RevenueDue: plan.Revenue, RevenueSquares: plan.Revenue * plan.Revenue, Playbacks: 1}
	startedAt, started := record.started()
	if started && startedAt-record.requestedAt <= plan.Startup {
		startup.RevenueOnTime = plan.Revenue
	}
	if !started && record.endedAt == 0 && until-record.requestedAt <= plan.Startup {
		return // it may still start in time
	}
	add(record.startRack, record.requestedAt, startup)
	if !started {
		return
	}
	end := until
	if record.endedAt > 0 {
		end = record.endedAt
	}
	rungs := slices.Clone(record.rungChanges)
	if len(record.reportedRungs) > 0 { // reports of the player take precedence
		rungs = slices.Clone(record.reportedRungs)
		slices.SortStableFunc(rungs, func(a, b change) int { return cmp.Compare(a.at, b.at) })
		if rungs[0].at > startedAt {
			rungs = append([]change{{startedAt, record.rungChanges[0].value}}, rungs...)
		}
	}
	cuts := []Time{startedAt, end}
	for _, changes := range [][]change{rungs, record.rackChanges} {
		for _, entry := range changes {
			if entry.at > startedAt && entry.at < end {
				cuts = append(cuts, entry.at)
			}
		}
	}
	slices.Sort(cuts)
	for i := 1; i < len(cuts); i++ {
		worth := c.RungWorth[min(max(valueAt(rungs, cuts[i-1]), 0), len(c.RungWorth)-1)]
		rack := valueAt(record.rackChanges, cuts[i-1])
		c.splitByBucket(cuts[i-1], cuts[i], func(at Time, seconds float64) {
			add(rack, at, Totals{Watched: plan.Revenue * seconds, Worth: plan.Revenue * seconds * worth})
		})
	}
	for i := 1; i < len(rungs); i++ {
		if entry := rungs[i]; entry.value != rungs[i-1].value && entry.at <= end {
			add(valueAt(record.rackChanges, entry.at), entry.at, Totals{Changes: plan.Revenue})
		}
	}
	for _, stall := range record.stalls {
		rack := valueAt(record.rackChanges, stall.from)
		c.splitByBucket(max(stall.from, startedAt), min(stall.to, end), func(at Time, seconds float64) { add(rack, at, Totals{Stalled: plan.Revenue * seconds}) })
	}
}

// close credits a playback finally and removes its record.
func (c *Collector) close(record *playbackRecord) {
	delete(c.open, record.id)
	c.Counts.Closed++
	title := c.series(Group{Kind: Title, Title: record.title})
	c.credit(record, record.endedAt, func(rackNumber int, at Time, figures Totals) {
		bucket := at / c.BucketWidth
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

// Totals returns the sums over all buckets by group, including playbacks that are still open.
func (c *Collector) Totals() map[Group]Totals {
	all := map[Group]Totals{}
	for group, s := range c.groups {
		s.advance(c.now / c.BucketWidth)
		all[group] = s.sum(s.buckets)
	}
	oldest := c.oldestKept()
	add := func(group Group, figures *Totals) {
		total := all[group]
		total.add(figures)
		all[group] = total
	}
	for _, record := range c.open {
		title := Group{Kind: Title, Title: record.title}
		if _, ok := c.groups[title]; !ok && c.titleCount >= max(c.MaxTitles, 1) {
			title.Title = OtherTitles
		}
		c.credit(record, c.now, func(rack int, at Time, figures Totals) {
			if at < oldest {
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
