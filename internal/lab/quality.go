package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/quality"
)

// known is what was true of one synthetic playback.
type syntheticPlayback struct {
	id                          string
	plan, rack                  int
	title                       string
	startedAt, startup, endedAt Time // startup less than 0: it never started
	stalls                      [][2]Time
	rungs                       [][2]Time // from when on at which
}

// arrival is a report on its way.
type reportArrival struct {
	at     Time
	id     string
	report quality.Report
}

// proveQuality plays a synthetic stream of playbacks and reports with known answers: reports come late, twice, out of
// order and from clocks that are wrong by up to an hour; a rack and a title are bad for a while. The figures must match
// the answers, and the alarms name what was bad and nothing else.
func proveQuality(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "quality", Seed: seed, Judged: map[string]int{}}
	const sec = Time(1_000_000)
	n, racks, titles := 20_000, 8, 60
	switch size {
	case Small:
		n, titles = 4_000, 12
	case Full:
		n, racks, titles = 200_000, 40, 400
	}
	rng := rand.New(rand.NewPCG(seed, 0x9a11))
	length := 900 * sec
	terms := quality.Config{Plans: []quality.Plan{{Startup: 1_500_000, Revenue: 4}, {Startup: 800_000, Revenue: 1}, {Startup: 1_000_000, Revenue: 2}},
		RungWorth: []float64{0.4, 0.7, 0.9, 1}, Racks: racks, MaxTitles: 2 * titles, MaxPlaybacks: n, BucketWidth: 30 * sec, BucketCount: 64, ReportGrace: 60 * sec}
	badRack, badTitle := rng.IntN(racks), fmt.Sprint("title-", rng.IntN(titles/4))
	bad := [2]Time{240 * sec, 480 * sec}
	base := Time(1_700_000_000) * sec
	var truths []syntheticPlayback
	var arrivals []reportArrival
	for i := range n {
		t := &syntheticPlayback{id: fmt.Sprint("s", i), plan: rng.IntN(3), rack: rng.IntN(racks), startedAt: base + Time(rng.Float64()*float64(length))}
		t.title = fmt.Sprint("title-", int(math.Pow(rng.Float64(), 2)*float64(titles)))
		target := terms.Plans[t.plan].Startup
		t.startup = Time(float64(target) * (0.2 + 0.5*rng.Float64()))
		if rng.IntN(50) == 0 {
			t.startup = Time(float64(target) * (1 + rng.Float64()))
		}
		slow := t.rack == badRack && inWindow(t.startedAt-base, bad) && rng.Float64() < 0.6
		if slow || t.title == badTitle && inWindow(t.startedAt-base, bad) && rng.Float64() < 0.7 {
			t.startup = Time(float64(target) * (1.1 + rng.Float64()))
		}
		if rng.IntN(100) == 0 {
			t.startup = -1
		}
		watch := (5 + Time(rng.IntN(60))) * sec
		if t.startup < 0 {
			t.endedAt = t.startedAt + 2*target
		} else {
			t.endedAt = t.startedAt + t.startup + watch
		}
		offset := Time((rng.Float64()*2 - 1) * 3600 * float64(sec)) // of the player's clock
		seq := uint32(0)
		report := func(what int, at, span Time, rung int) {
			seq++
			sent := at + span + Time(rng.Float64()*0.5*float64(sec)) // from the app, at once or later
			if rng.IntN(10) == 0 {
				sent += Time(rng.Float64() * 30 * float64(sec))
			}
			x := quality.Report{Seq: seq, Type: what, SentAt: sent + offset, OccurredAt: at + offset, Duration: span, Rung: rung}
			arrive := sent + Time(rng.Float64()*0.02*float64(sec))
			arrivals = append(arrivals, reportArrival{arrive, t.id, x})
			for rng.IntN(4) == 0 { // sent again, as the answer was lost: its clock has gone on
				again := Time(rng.Float64() * 5 * float64(sec))
				x.SentAt += again
				arrivals = append(arrivals, reportArrival{arrive + again, t.id, x})
			}
		}
		if t.startup >= 0 {
			report(quality.StartupReport, t.startedAt+t.startup, 0, 0)
			arrivals[len(arrivals)-1].report.Duration = t.startup
			for k := len(arrivals) - 1; k >= 0 && arrivals[k].id == t.id; k-- {
				arrivals[k].report.Duration = t.startup
			}
			at := t.startedAt + t.startup
			t.rungs = append(t.rungs, [2]Time{at, Time(rng.IntN(4))})
			for at += Time(rng.IntN(20)) * sec; at < t.endedAt-sec; at += Time(5+rng.IntN(20)) * sec {
				if rng.IntN(2) == 0 {
					long := min(Time(rng.Float64()*2*float64(sec)), t.endedAt-at-1)
					t.stalls = append(t.stalls, [2]Time{at, at + long})
					report(quality.StallReport, at, long, 0)
				} else if r := Time(rng.IntN(4)); r != t.rungs[len(t.rungs)-1][1] {
					t.rungs = append(t.rungs, [2]Time{at, r})
					report(quality.RungReport, at, 0, int(r))
				}
			}
		}
		truths = append(truths, *t)
	}
	type step struct {
		at   Time
		call func(*quality.Collector)
	}
	var steps []step
	do := func(at Time, call func(*quality.Collector)) { steps = append(steps, step{at, call}) }
	for i := range truths {
		t := &truths[i]
		do(t.startedAt, func(c *quality.Collector) { c.Begin(t.id, t.plan, t.title, t.startedAt) })
		if t.startup >= 0 {
			seen := t.startedAt + t.startup*9/10 // what the session manager sees itself is not what the viewer saw
			do(seen, func(c *quality.Collector) { c.Playing(t.id, t.rack, int(t.rungs[0][1]), seen) })
		}
		do(t.endedAt, func(c *quality.Collector) {
			c.Failed(t.id, t.rack)
			c.End(t.id, t.endedAt)
		})
	}
	accepted := 0
	for _, a := range arrivals {
		accepted++
		do(a.at, func(c *quality.Collector) { c.Report(a.id, a.report) })
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		if a.at < b.at {
			return -1
		} else if a.at > b.at {
			return 1
		}
		return 0
	})
	c := quality.New(terms, base)
	type alarm struct {
		quality.Alarm
		at Time
	}
	var alarms []alarm
	var took time.Duration
	next := base
	for _, s := range steps {
		began := time.Now()
		for next <= s.at {
			now := next
			c.Advance(now)
			next = c.Evaluate(func(a quality.Alarm) { alarms = append(alarms, alarm{a, now - base}) })
		}
		c.Advance(s.at)
		s.call(c)
		took += time.Since(began)
	}
	end := base + length + 200*sec
	for next <= end {
		now := next
		c.Advance(now)
		next = c.Evaluate(func(a quality.Alarm) { alarms = append(alarms, alarm{a, now - base}) })
	}
	want := expectedTotals(truths, &terms)
	got := c.Totals()
	worst, what := 0.0, ""
	for g, w := range want {
		f := got[g]
		for name, x := range map[string][2]float64{"due": {f.RevenueDue, w.RevenueDue}, "on time": {f.RevenueOnTime, w.RevenueOnTime}, "watched": {f.Watched, w.Watched},
			"stalled": {f.Stalled, w.Stalled}, "worth": {f.Worth, w.Worth}, "changes": {f.Changes, w.Changes}} {
			if off := math.Abs(x[0]-x[1]) / max(x[1], 1); off > worst {
				worst, what = off, fmt.Sprintf("%s of %+v: %.3f, not %.3f", name, g, x[0], x[1])
			}
		}
	}
	p.Note("farthest off: %s", what)
	p.AtMost(100*worst, 1, "per cent by which any figure of a rack or title is off its known answer")
	p.AtMost(float64(len(got)-len(want)), 0, "racks and titles with figures that had no playback")
	wrong, raised, mended := 0, map[quality.Group]Time{}, map[quality.Group]Time{}
	for _, a := range alarms {
		right := a.Group == quality.Group{Kind: quality.Rack, Rack: badRack} || a.Group == quality.Group{Kind: quality.Title, Title: badTitle}
		if !right {
			wrong++
			p.Note("wrongly: %+v at %.0f s: lost %.3f, others %.3f", a.Group, seconds(a.at), a.Loss, a.OthersLoss)
		} else if a.Raised {
			if _, ok := raised[a.Group]; !ok {
				raised[a.Group] = a.at
			}
		} else {
			mended[a.Group] = a.at
		}
	}
	p.AtLeast(float64(len(raised)), 2, "of the bad rack and the bad title, those that were named")
	p.AtMost(float64(wrong), 0, "alarms of what was not bad")
	for g, at := range raised {
		p.Note("%+v: bad from %.0f s on, named at %.0f s, no more at %.0f s", g, seconds(bad[0]), seconds(at), seconds(mended[g]))
		full := Time(terms.BucketCount/8+2)*terms.BucketWidth + terms.ReportGrace // what is looked at is full of it, and closed to reports
		p.AtMost(seconds(at-bad[0]), seconds(full), "seconds from the beginning of the trouble to its being named")
	}
	counts := c.Counts
	p.Note("%+v; %.2f us a playback with its reports", counts, float64(took.Microseconds())/float64(n))
	p.AtMost(float64(c.OpenCount()), 0, "records left open")
	p.AtLeast(float64(counts.Duplicates), float64(len(arrivals))/20, "reports that came twice and were left out")
	p.Judged["playbacks"], p.Judged["reports"], p.Judged["groups"] = n, accepted, len(want)
	return p, p.checkSlowRack(seed, log)
}

func inWindow(t Time, x [2]Time) bool { return t >= x[0] && t < x[1] }

// answersOf works the figures out from what was true, playback by playback.
func expectedTotals(all []syntheticPlayback, terms *quality.Config) map[quality.Group]quality.Totals {
	want := map[quality.Group]quality.Totals{}
	for _, t := range all {
		plan := terms.Plans[t.plan]
		f := quality.Totals{RevenueDue: plan.Revenue, Playbacks: 1}
		if t.startup >= 0 {
			if t.startup <= plan.Startup {
				f.RevenueOnTime = plan.Revenue
			}
			f.Watched = plan.Revenue * seconds(t.endedAt-t.startedAt-t.startup)
			for _, s := range t.stalls {
				f.Stalled += plan.Revenue * seconds(s[1]-s[0])
			}
			for i, r := range t.rungs {
				to := t.endedAt
				if i+1 < len(t.rungs) {
					to = t.rungs[i+1][0]
				}
				f.Worth += plan.Revenue * terms.RungWorth[r[1]] * seconds(to-r[0])
				if i > 0 {
					f.Changes += plan.Revenue
				}
			}
		}
		for _, g := range []quality.Group{{Kind: quality.Rack, Rack: t.rack}, {Kind: quality.Title, Title: t.title}} {
			x := want[g]
			x.RevenueDue, x.RevenueOnTime, x.Watched, x.Stalled = x.RevenueDue+f.RevenueDue, x.RevenueOnTime+f.RevenueOnTime, x.Watched+f.Watched, x.Stalled+f.Stalled
			x.Worth, x.Changes, x.Playbacks = x.Worth+f.Worth, x.Changes+f.Changes, x.Playbacks+f.Playbacks
			want[g] = x
		}
	}
	return want
}

// serviceOf adds up what a session manager makes of each rack and title.
func (p *Play) serviceOf(c *quality.Collector) {
	if p.service == nil {
		p.service = map[quality.Group]quality.Totals{}
	}
	for g, f := range c.Totals() {
		x := p.service[g]
		x.RevenueDue, x.RevenueOnTime, x.Watched, x.Playbacks = x.RevenueDue+f.RevenueDue, x.RevenueOnTime+f.RevenueOnTime, x.Watched+f.Watched, x.Playbacks+f.Playbacks
		p.service[g] = x
	}
}

// slowRack plays a day on the virtual network on which a rack becomes slow, and holds what session managers make of
// each rack against what passed between players, managers and boxes.
func (p *Proof) checkSlowRack(seed uint64, log *zap.Logger) error {
	d, err := Library("slow-rack")
	if err != nil {
		return err
	}
	d.Seed, d.figures = seed, true
	play, tape, _ := Virtual(d, nil, log)
	cells := map[string]int{}
	for _, b := range play.boxes {
		cells[b.name] = b.cell
	}
	last, answered := map[string]*attempt{}, map[string]*asked{}
	for _, a := range askings(tape.Entries) {
		answered[a.request] = a
	}
	for _, a := range attempts(tape.Entries) {
		if x := answered[a.request]; x != nil && (x.answeredAt == 0 || a.from <= x.answeredAt) { // a move comes later, under another name
			last[a.request] = a
		}
	}
	want := make([]quality.Totals, d.Racks)
	for _, a := range answered {
		t := last[a.request]
		if t == nil {
			continue
		}
		plan, _ := d.Bounds(0).plan(a.plan)
		w := &want[cells[t.box]%d.Racks]
		w.RevenueDue += d.Site.Plans[plan].Revenue
		if a.status == 200 && a.answeredAt-a.at <= d.Site.Plans[plan].StartupTarget {
			w.RevenueOnTime += d.Site.Plans[plan].Revenue
		}
	}
	worst, lowest := 0.0, 0
	for r := range want {
		f := play.service[quality.Group{Kind: quality.Rack, Rack: r}]
		worst = max(worst, math.Abs(f.RevenueDue/want[r].RevenueDue-1), math.Abs(f.RevenueOnTime/want[r].RevenueOnTime-1))
		if want[r].Service() < want[lowest].Service() {
			lowest = r
		}
		p.Note("rack %d: service %.3f, from what passed %.3f; due %.0f and %.0f", r, f.Service(), want[r].Service(), f.RevenueDue, want[r].RevenueDue)
	}
	p.AtMost(100*worst, 0.5, "per cent by which what managers make of a rack differs from what passed")
	p.Check(lowest == play.slowRack, float64(lowest), fmt.Sprint(play.slowRack), "the rack with the least service is the one that was slow")
	return nil
}
