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

// syntheticPlayback holds the true course of a generated playback.
type syntheticPlayback struct {
	id                          string
	plan, rack                  int
	title                       string
	startedAt, startup, endedAt Time // startup is negative if it never started
	stalls                      [][2]Time
	rungs                       [][2]Time // start time and rung of each period at one rung
}

// reportArrival is the arrival of a playback's quality report.
type reportArrival struct {
	at     Time
	id     string
	report quality.Report
}

// proveQuality feeds the quality collector with generated playbacks whose true figures are known. Their reports arrive
// late, twice, out of order, and from clocks that are up to an hour off, and one rack and one title are degraded for a
// time. The collector's figures must match the true ones, and its alarms must name the degraded rack and title and
// nothing else.
func proveQuality(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "quality", Seed: seed, Judged: map[string]int{}}
	const sec = Time(1_000_000)
	playbackCount, rackCount, titleCount := 20_000, 8, 60
	switch size {
	case Small:
		playbackCount, titleCount = 4_000, 12
	case Full:
		playbackCount, rackCount, titleCount = 200_000, 40, 400
	}
	rng := rand.New(rand.NewPCG(seed, 0x9a11))
	length := 900 * sec
	config := quality.Config{Plans: []quality.Plan{{Startup: 1_500_000, Revenue: 4}, {Startup: 800_000, Revenue: 1}, {Startup: 1_000_000, Revenue: 2}},
		RungWorth: []float64{0.4, 0.7, 0.9, 1}, Racks: rackCount, MaxTitles: 2 * titleCount, MaxPlaybacks: playbackCount, BucketWidth: 30 * sec, BucketCount: 64, ReportGrace: 60 * sec}
	badRack, badTitle := rng.IntN(rackCount), fmt.Sprint("title-", rng.IntN(titleCount/4))
	badInterval := [2]Time{240 * sec, 480 * sec}
	startTime := Time(1_700_000_000) * sec
	var playbacks []syntheticPlayback
	var arrivals []reportArrival
	for i := range playbackCount {
		playback := &syntheticPlayback{id: fmt.Sprint("s", i), plan: rng.IntN(3), rack: rng.IntN(rackCount), startedAt: startTime + Time(rng.Float64()*float64(length))}
		playback.title = fmt.Sprint("title-", int(math.Pow(rng.Float64(), 2)*float64(titleCount)))
		startupTarget := config.Plans[playback.plan].Startup
		playback.startup = Time(float64(startupTarget) * (0.2 + 0.5*rng.Float64()))
		if rng.IntN(50) == 0 {
			playback.startup = Time(float64(startupTarget) * (1 + rng.Float64()))
		}
		degraded := playback.rack == badRack && inWindow(playback.startedAt-startTime, badInterval) && rng.Float64() < 0.6
		if degraded || playback.title == badTitle && inWindow(playback.startedAt-startTime, badInterval) && rng.Float64() < 0.7 {
			playback.startup = Time(float64(startupTarget) * (1.1 + rng.Float64()))
		}
		if rng.IntN(100) == 0 {
			playback.startup = -1
		}
		watchTime := (5 + Time(rng.IntN(60))) * sec
		if playback.startup < 0 {
			playback.endedAt = playback.startedAt + 2*startupTarget
		} else {
			playback.endedAt = playback.startedAt + playback.startup + watchTime
		}
		clockOffset := Time((rng.Float64()*2 - 1) * 3600 * float64(sec)) // error of the player's clock
		sequence := uint32(0)
		report := func(reportType int, at, span Time, rung int) {
			sequence++
			sent := at + span + Time(rng.Float64()*0.5*float64(sec)) // the app sends it at once or later
			if rng.IntN(10) == 0 {
				sent += Time(rng.Float64() * 30 * float64(sec))
			}
			message := quality.Report{Seq: sequence, Type: reportType, SentAt: sent + clockOffset, OccurredAt: at + clockOffset, Duration: span, Rung: rung}
			arrivesAt := sent + Time(rng.Float64()*0.02*float64(sec))
			arrivals = append(arrivals, reportArrival{arrivesAt, playback.id, message})
			for rng.IntN(4) == 0 { // sent again, as if the answer was lost: the player's clock has advanced
				resendDelay := Time(rng.Float64() * 5 * float64(sec))
				message.SentAt += resendDelay
				arrivals = append(arrivals, reportArrival{arrivesAt + resendDelay, playback.id, message})
			}
		}
		if playback.startup >= 0 {
			report(quality.StartupReport, playback.startedAt+playback.startup, 0, 0)
			arrivals[len(arrivals)-1].report.Duration = playback.startup
			for index := len(arrivals) - 1; index >= 0 && arrivals[index].id == playback.id; index-- {
				arrivals[index].report.Duration = playback.startup
			}
			at := playback.startedAt + playback.startup
			playback.rungs = append(playback.rungs, [2]Time{at, Time(rng.IntN(4))})
			for at += Time(rng.IntN(20)) * sec; at < playback.endedAt-sec; at += Time(5+rng.IntN(20)) * sec {
				if rng.IntN(2) == 0 {
					stallTime := min(Time(rng.Float64()*2*float64(sec)), playback.endedAt-at-1)
					playback.stalls = append(playback.stalls, [2]Time{at, at + stallTime})
					report(quality.StallReport, at, stallTime, 0)
				} else if rung := Time(rng.IntN(4)); rung != playback.rungs[len(playback.rungs)-1][1] {
					playback.rungs = append(playback.rungs, [2]Time{at, rung})
					report(quality.RungReport, at, 0, int(rung))
				}
			}
		}
		playbacks = append(playbacks, *playback)
	}
	type event struct {
		at    Time
		apply func(*quality.Collector)
	}
	var events []event
	addEvent := func(at Time, apply func(*quality.Collector)) { events = append(events, event{at, apply}) }
	for i := range playbacks {
		playback := &playbacks[i]
		addEvent(playback.startedAt, func(collector *quality.Collector) {
			collector.Begin(playback.id, playback.plan, playback.title, playback.startedAt)
		})
		if playback.startup >= 0 {
			seen := playback.startedAt + playback.startup*9/10 // the session manager sees the start earlier than the viewer
			addEvent(seen, func(collector *quality.Collector) {
				collector.Playing(playback.id, playback.rack, int(playback.rungs[0][1]), seen)
			})
		}
		addEvent(playback.endedAt, func(collector *quality.Collector) {
			collector.Failed(playback.id, playback.rack)
			collector.End(playback.id, playback.endedAt)
		})
	}
	reportCount := 0
	for _, received := range arrivals {
		reportCount++
		addEvent(received.at, func(collector *quality.Collector) { collector.Report(received.id, received.report) })
	}
	slices.SortStableFunc(events, func(a, b event) int {
		if a.at < b.at {
			return -1
		} else if a.at > b.at {
			return 1
		}
		return 0
	})
	collector := quality.New(config, startTime)
	type alarm struct {
		quality.Alarm
		at Time
	}
	var alarms []alarm
	var elapsed time.Duration
	nextEvaluation := startTime
	for _, event := range events {
		began := time.Now()
		for nextEvaluation <= event.at {
			now := nextEvaluation
			collector.Advance(now)
			nextEvaluation = collector.Evaluate(func(a quality.Alarm) { alarms = append(alarms, alarm{a, now - startTime}) })
		}
		collector.Advance(event.at)
		event.apply(collector)
		elapsed += time.Since(began)
	}
	end := startTime + length + 200*sec
	for nextEvaluation <= end {
		now := nextEvaluation
		collector.Advance(now)
		nextEvaluation = collector.Evaluate(func(a quality.Alarm) { alarms = append(alarms, alarm{a, now - startTime}) })
	}
	expected := expectedTotals(playbacks, &config)
	measured := collector.Totals()
	largestError, worstFigure := 0.0, ""
	for group, wantTotals := range expected {
		gotTotals := measured[group]
		for name, pair := range map[string][2]float64{"due": {gotTotals.RevenueDue, wantTotals.RevenueDue}, "on time": {gotTotals.RevenueOnTime, wantTotals.RevenueOnTime}, "watched": {gotTotals.Watched, wantTotals.Watched},
			"stalled": {gotTotals.Stalled, wantTotals.Stalled}, "worth": {gotTotals.Worth, wantTotals.Worth}, "changes": {gotTotals.Changes, wantTotals.Changes}} {
			if relativeError := math.Abs(pair[0]-pair[1]) / max(pair[1], 1); relativeError > largestError {
				largestError, worstFigure = relativeError, fmt.Sprintf("%s of %+v: %.3f, not %.3f", name, group, pair[0], pair[1])
			}
		}
	}
	p.Note("farthest off: %s", worstFigure)
	p.AtMost(100*largestError, 1, "per cent by which any figure of a rack or title is off its known answer")
	p.AtMost(float64(len(measured)-len(expected)), 0, "racks and titles with figures that had no playback")
	falseAlarms, raisedAt, clearedAt := 0, map[quality.Group]Time{}, map[quality.Group]Time{}
	for _, notice := range alarms {
		correct := notice.Group == quality.Group{Kind: quality.Rack, Rack: badRack} || notice.Group == quality.Group{Kind: quality.Title, Title: badTitle}
		if !correct {
			falseAlarms++
			p.Note("wrongly: %+v at %.0f s: lost %.3f, others %.3f", notice.Group, seconds(notice.at), notice.Loss, notice.OthersLoss)
		} else if notice.Raised {
			if _, ok := raisedAt[notice.Group]; !ok {
				raisedAt[notice.Group] = notice.at
			}
		} else {
			clearedAt[notice.Group] = notice.at
		}
	}
	p.AtLeast(float64(len(raisedAt)), 2, "of the bad rack and the bad title, those that were named")
	p.AtMost(float64(falseAlarms), 0, "alarms of what was not bad")
	for group, at := range raisedAt {
		p.Note("%+v: bad from %.0f s on, named at %.0f s, no more at %.0f s", group, seconds(badInterval[0]), seconds(at), seconds(clearedAt[group]))
		detectionLimit := Time(config.BucketCount/8+2)*config.BucketWidth + config.ReportGrace // by then the evaluated buckets are all from the degraded time, and closed to reports
		p.AtMost(seconds(at-badInterval[0]), seconds(detectionLimit), "seconds from the beginning of the trouble to its being named")
	}
	counts := collector.Counts
	p.Note("%+v; %.2f us a playback with its reports", counts, float64(elapsed.Microseconds())/float64(playbackCount))
	p.AtMost(float64(collector.OpenCount()), 0, "records left open")
	p.AtLeast(float64(counts.Duplicates), float64(len(arrivals))/20, "reports that came twice and were left out")
	p.Judged["playbacks"], p.Judged["reports"], p.Judged["groups"] = playbackCount, reportCount, len(expected)
	return p, p.checkSlowRack(seed, log)
}

// inWindow reports whether a time is in a half-open interval.
func inWindow(at Time, window [2]Time) bool { return at >= window[0] && at < window[1] }

// expectedTotals computes the totals of each rack and title from the true course of the playbacks.
func expectedTotals(playbacks []syntheticPlayback, config *quality.Config) map[quality.Group]quality.Totals {
	totals := map[quality.Group]quality.Totals{}
	for _, playback := range playbacks {
		plan := config.Plans[playback.plan]
		contribution := quality.Totals{RevenueDue: plan.Revenue, Playbacks: 1}
		if playback.startup >= 0 {
			if playback.startup <= plan.Startup {
				contribution.RevenueOnTime = plan.Revenue
			}
			contribution.Watched = plan.Revenue * seconds(playback.endedAt-playback.startedAt-playback.startup)
			for _, stall := range playback.stalls {
				contribution.Stalled += plan.Revenue * seconds(stall[1]-stall[0])
			}
			for index, rung := range playback.rungs {
				until := playback.endedAt
				if index+1 < len(playback.rungs) {
					until = playback.rungs[index+1][0]
				}
				contribution.Worth += plan.Revenue * config.RungWorth[rung[1]] * seconds(until-rung[0])
				if index > 0 {
					contribution.Changes += plan.Revenue
				}
			}
		}
		for _, group := range []quality.Group{{Kind: quality.Rack, Rack: playback.rack}, {Kind: quality.Title, Title: playback.title}} {
			sum := totals[group]
			sum.RevenueDue, sum.RevenueOnTime, sum.Watched, sum.Stalled = sum.RevenueDue+contribution.RevenueDue, sum.RevenueOnTime+contribution.RevenueOnTime, sum.Watched+contribution.Watched, sum.Stalled+contribution.Stalled
			sum.Worth, sum.Changes, sum.Playbacks = sum.Worth+contribution.Worth, sum.Changes+contribution.Changes, sum.Playbacks+contribution.Playbacks
			totals[group] = sum
		}
	}
	return totals
}

// Adds a session manager's quality totals of each rack and title to those of the day.
func (p *DayRun) addTotals(collector *quality.Collector) {
	if p.groupTotals == nil {
		p.groupTotals = map[quality.Group]quality.Totals{}
	}
	for group, totals := range collector.Totals() {
		sum := p.groupTotals[group]
		sum.RevenueDue, sum.RevenueOnTime, sum.Watched, sum.Playbacks = sum.RevenueDue+totals.RevenueDue, sum.RevenueOnTime+totals.RevenueOnTime, sum.Watched+totals.Watched, sum.Playbacks+totals.Playbacks
		p.groupTotals[group] = sum
	}
}

// checkSlowRack plays a day on the virtual network on which a rack becomes slow. It compares the session managers'
// quality totals of each rack with those computed from the recorded messages between players, managers and boxes.
func (p *Proof) checkSlowRack(seed uint64, log *zap.Logger) error {
	day, err := Library("slow-rack")
	if err != nil {
		return err
	}
	day.Seed, day.countQuality = seed, true
	play, recording, _ := RunVirtual(day, nil, log)
	cellOf := map[string]int{}
	for _, box := range play.boxes {
		cellOf[box.name] = box.cell
	}
	lastTry, requests := map[string]*serverTry{}, map[string]*playerRequest{}
	for _, request := range findPlayerRequests(recording.Entries) {
		requests[request.requestID] = request
	}
	for _, try := range findTries(recording.Entries) {
		if request := requests[try.requestID]; request != nil && (request.answeredAt == 0 || try.startedAt <= request.answeredAt) { // only tries up to the answer: a later move uses another request name
			lastTry[try.requestID] = try
		}
	}
	expected := make([]quality.Totals, day.Racks)
	for _, request := range requests {
		try := lastTry[request.requestID]
		if try == nil {
			continue
		}
		planIndex, _ := day.Bounds(0).plan(request.plan)
		totals := &expected[cellOf[try.box]%day.Racks]
		totals.RevenueDue += day.Site.Plans[planIndex].Revenue
		if request.status == 200 && request.answeredAt-request.sentAt <= day.Site.Plans[planIndex].StartupTarget {
			totals.RevenueOnTime += day.Site.Plans[planIndex].Revenue
		}
	}
	largestError, lowestRack := 0.0, 0
	for rack := range expected {
		measured := play.groupTotals[quality.Group{Kind: quality.Rack, Rack: rack}]
		largestError = max(largestError, math.Abs(measured.RevenueDue/expected[rack].RevenueDue-1), math.Abs(measured.RevenueOnTime/expected[rack].RevenueOnTime-1))
		if expected[rack].Service() < expected[lowestRack].Service() {
			lowestRack = rack
		}
		p.Note("rack %d: service %.3f, from what passed %.3f; due %.0f and %.0f", rack, measured.Service(), expected[rack].Service(), measured.RevenueDue, expected[rack].RevenueDue)
	}
	p.AtMost(100*largestError, 0.5, "per cent by which what managers make of a rack differs from what passed")
	p.Check(lowestRack == play.slowRack, float64(lowestRack), fmt.Sprint(play.slowRack), "the rack with the least service is the one that was slow")
	return nil
}
