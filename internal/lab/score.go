package lab

import (
	"math"
	"slices"
	"strings"

	"pierlink/internal/core"
)

const (
	bucketWidth     = core.Second / 2
	worstWindow     = 10 * core.Second
	wholeWeight     = 0.7 // of the goal; the weights are those of the users
	worstWeight     = 0.2
	planWeight      = 0.1
	minShareDivisor = 40 // only plans and tenants with more than 1/40 of the offered revenue count as the worst
)

// Score is the score of a day as its users value it. For each half second in which a viewer wants to watch, offered is
// its plan's revenue at the highest rung that it can use. Earned is the revenue at the rung in force times the share
// that was delivered, if the playback started within its startup target. All of it is computed from the recorded
// traffic.
type Score struct {
	Whole, Worst, WorstPlan, WorstTenant float64   // earned over offered: of the day, of the worst 10 s, of the worst plan and tenant
	Prices                               float64   // cost of zone crossings, moves, probes and rung changes, on the scale of Whole
	Goal                                 float64   // weighted sum of Whole, Worst and WorstPlan, less Prices
	Best                                 float64   // upper bound of Whole, from the capacity of links and uplinks
	Offered, Earned                      []float64 // for each half second
	Possible                             []float64
	MeanRungs                            []float64 // mean rung of the running playbacks
	Playing                              []float64
	Tries                                []float64 // set-ups at boxes
	MeanWaits                            []float64 // mean seconds from request to answer
	ByPlan                               []float64
	Moves, Changes, Crossed              int
	// the shares of the offered revenue that were not earned: not served; started after the startup target; at a
	// lower rung than the viewer could use; not delivered in full
	Unserved, Late, LowRung, Short float64
}

// rungSpan is the rung and box of a playback from a time on.
type rungSpan struct {
	from Time
	rung int
	box  string
}

// playerFlow is what a player's connection received.
type playerFlow struct {
	requestedAt, firstPacketAt, closedAt Time
	answered                             bool
	front, plan, title                   string
	bytes                                []int32
	bytesFrom                            Time
}

// Score computes the score of a day from its recorded traffic.
func (p *DayRun) Score(recording *Recording) *Score {
	day := p.Day
	entries := slices.Clone(recording.Entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return int(min(max(a.At-b.At, -1), 1)) })
	bucketCount := int(p.Duration()/bucketWidth) + 1
	score := &Score{Offered: make([]float64, bucketCount), Earned: make([]float64, bucketCount), Possible: make([]float64, bucketCount), MeanRungs: make([]float64, bucketCount),
		Playing: make([]float64, bucketCount), Tries: make([]float64, bucketCount), MeanWaits: make([]float64, bucketCount)}
	bucketOf := func(t Time) int { return min(max(int((t-p.startedAt)/bucketWidth), 0), bucketCount-1) }

	type upstream struct {
		requestID, box, front string
		rung                  int
		first                 bool
	}
	upstreams := map[int]*upstream{}
	rungSpans := map[string][]rungSpan{}
	flowByRequest := map[string]*playerFlow{}
	flowByConn := map[int]*playerFlow{}
	answeredCount := make([]float64, bucketCount)
	probeCount := 0
	for _, e := range entries {
		if !e.Player {
			up := upstreams[e.ConnID]
			switch {
			case e.Kind == RequestSent && e.FromFront && e.Method == "OPTIONS":
				probeCount++
			case e.Kind == RequestSent && e.FromFront && e.Method == "SETUP" && up == nil:
				requestID, _, moved := strings.Cut(e.RequestID, "/m")
				if moved {
					score.Moves++
				}
				upstreams[e.ConnID] = &upstream{requestID: requestID, box: e.Host, front: e.Front, rung: e.Rung}
				score.Tries[bucketOf(e.At)]++
			case up != nil && e.Kind == RequestSent && e.FromFront && e.Rung >= 0 && e.Rung != up.rung:
				if up.rung = e.Rung; up.first {
					rungSpans[up.requestID] = append(rungSpans[up.requestID], rungSpan{e.At, up.rung, up.box})
					score.Changes++
				}
			case up != nil && e.Kind == FirstFrame && !up.first:
				up.first = true
				rungSpans[up.requestID] = append(rungSpans[up.requestID], rungSpan{e.At, up.rung, up.box})
			}
			continue
		}
		flow := flowByConn[e.ConnID]
		switch {
		case e.Kind == RequestSent && !e.FromFront && e.Method == "SETUP" && e.RequestID != "" && flow == nil:
			flow = &playerFlow{requestedAt: e.At, front: e.Front, plan: e.Plan, title: e.Title, closedAt: farFuture}
			flowByConn[e.ConnID], flowByRequest[e.RequestID] = flow, flow
		case flow != nil && e.Kind == ResponseSent && e.FromFront && !flow.answered && flow.firstPacketAt == 0 && e.RequestID != "":
			flow.answered = true
			score.MeanWaits[bucketOf(e.At)] += seconds(e.At - flow.requestedAt)
			answeredCount[bucketOf(e.At)]++
		case flow != nil && e.Kind == FirstFrame:
			flow.firstPacketAt = e.At
		case flow != nil && (e.Kind == ConnClosed || e.Kind == RequestSent && e.Method == "TEARDOWN"):
			flow.closedAt = min(flow.closedAt, e.At)
		}
	}
	for _, received := range recording.Flows {
		if flow := flowByConn[received.ConnID]; flow != nil {
			flow.bytes, flow.bytesFrom = received.Bytes, received.From
		}
	}
	for i := range score.MeanWaits {
		if answeredCount[i] > 0 {
			score.MeanWaits[i] /= answeredCount[i]
		}
	}
	earnedBy, offeredBy := make([]float64, len(day.Plans)), make([]float64, len(day.Plans))
	crossZoneEarned, startRevenue := 0.0, 0.0
	tenants := map[string]*[2]float64{}
	for _, profile := range p.profiles {
		if profile.LeaveAfter > 0 { // leaves before it can be served
			continue
		}
		plan := 0
		for day.Plans[plan].Name != profile.Plan {
			plan++
		}
		sitePlan := &day.Site.Plans[plan]
		topRung := min(profile.TopRung, sitePlan.Top)
		bucketRevenue := sitePlan.Revenue * float64(bucketWidth) / 1e6
		watched := Time(0)
		requestedAt := p.requestedAt[profile]
		for b := bucketOf(requestedAt); b <= bucketOf(requestedAt+profile.WatchTime-1); b++ {
			bucketShare := float64(min(requestedAt+profile.WatchTime, p.startedAt+Time(b+1)*bucketWidth)-max(requestedAt, p.startedAt+Time(b)*bucketWidth)) / float64(bucketWidth)
			value := bucketRevenue * day.Site.Ladder.RevenueShare[topRung] * max(bucketShare, 0)
			score.Offered[b] += value
			offeredBy[plan] += value
			if len(day.Tenants) > 0 {
				if tenants[profile.Tenant] == nil {
					tenants[profile.Tenant] = &[2]float64{}
				}
				tenants[profile.Tenant][0] += value
			}
		}
		for _, id := range p.requestIDs(profile) {
			flow := flowByRequest[id]
			if flow == nil || flow.firstPacketAt == 0 {
				continue
			}
			isLate := flow.firstPacketAt-flow.requestedAt > sitePlan.StartupTarget
			if !isLate {
				startRevenue += sitePlan.Revenue
			}
			spans := rungSpans[id]
			spanIndex := -1
			for b := bucketOf(flow.firstPacketAt); b <= bucketOf(min(flow.closedAt, p.startedAt+Time(bucketCount-1)*bucketWidth)); b++ {
				from, to := max(flow.firstPacketAt, p.startedAt+Time(b)*bucketWidth), min(flow.closedAt, p.startedAt+Time(b+1)*bucketWidth)
				for spanIndex+1 < len(spans) && spans[spanIndex+1].from <= (from+to)/2 {
					spanIndex++
				}
				if to <= from || spanIndex < 0 || watched >= profile.WatchTime {
					continue
				}
				span := spans[spanIndex]
				bucketShare := float64(to-from) / float64(bucketWidth)
				watched += to - from
				if isLate {
					score.Late += bucketRevenue * day.Site.Ladder.RevenueShare[topRung] * bucketShare
					continue
				}
				dueBytes := day.BoxConfig.LadderKB[span.rung] * sitePlan.RateFactor * 1000 * seconds(bucketWidth) * bucketShare
				deliveredShare := min(flow.delivered(b, p.startedAt)/dueBytes, 1)
				value := bucketRevenue * day.Site.Ladder.RevenueShare[min(span.rung, topRung)] * bucketShare * deliveredShare
				score.Earned[b] += value
				atRung := bucketRevenue * day.Site.Ladder.RevenueShare[min(span.rung, topRung)] * bucketShare
				score.LowRung += bucketRevenue*day.Site.Ladder.RevenueShare[topRung]*bucketShare - atRung
				score.Short += atRung - value
				earnedBy[plan] += value
				if tenants[profile.Tenant] != nil {
					tenants[profile.Tenant][1] += value
				}
				score.MeanRungs[b] += float64(span.rung) * bucketShare
				score.Playing[b] += bucketShare
				if p.zoneByHost[flow.front] != p.zoneByHost[span.box] {
					crossZoneEarned += value
					score.Crossed++
				}
			}
		}
	}
	p.estimatePossible(score)
	offered, earned := 0.0, 0.0
	for i := range score.Offered {
		offered, earned = offered+score.Offered[i], earned+score.Earned[i]
		if score.Playing[i] > 0 {
			score.MeanRungs[i] /= score.Playing[i]
		}
	}
	if offered == 0 {
		return score
	}
	score.Whole, score.Worst, score.WorstPlan, score.WorstTenant = earned/offered, 1, 1, 1
	score.Late, score.LowRung, score.Short = score.Late/offered, score.LowRung/offered, score.Short/offered
	score.Unserved = 1 - score.Whole - score.Late - score.LowRung - score.Short
	windowBuckets := int(worstWindow / bucketWidth)
	lastBucket := bucketOf(p.startedAt + day.Length)
	for i := 0; i+windowBuckets <= lastBucket; i++ {
		offeredNow, earnedNow := 0.0, 0.0
		for j := i; j < i+windowBuckets; j++ {
			offeredNow, earnedNow = offeredNow+score.Offered[j], earnedNow+score.Earned[j]
		}
		if offeredNow > 0 {
			score.Worst = min(score.Worst, earnedNow/offeredNow)
		}
	}
	for i := range earnedBy {
		if offeredBy[i] > 0 {
			score.ByPlan = append(score.ByPlan, earnedBy[i]/offeredBy[i])
			if offeredBy[i] > offered/minShareDivisor {
				score.WorstPlan = min(score.WorstPlan, earnedBy[i]/offeredBy[i])
			}
		}
	}
	for _, totals := range tenants {
		if totals[0] > offered/minShareDivisor {
			score.WorstTenant = min(score.WorstTenant, totals[1]/totals[0])
		}
	}
	best := 0.0
	for _, possible := range score.Possible {
		best += possible
	}
	score.Best = min(best/offered, 1)
	prices := &day.Site.Prices
	viewers := float64(max(len(p.profiles), 1))
	score.Prices = prices.CrossZone*crossZoneEarned/offered + prices.Move*float64(score.Moves)/viewers + prices.Probe*float64(probeCount)/viewers/10 +
		seconds(day.Site.Ladder.RungChangeCost)*float64(score.Changes)*startRevenue/viewers/offered
	score.Goal = wholeWeight*score.Whole + worstWeight*score.Worst + planWeight*score.WorstPlan - score.Prices
	return score
}

// delivered returns the bytes received in one of the day's half seconds.
func (f *playerFlow) delivered(bucket int, dayStart Time) (sum float64) {
	from, to := dayStart+Time(bucket)*bucketWidth, dayStart+Time(bucket+1)*bucketWidth
	for i, received := range f.bytes { // the half seconds of the connection are not aligned with those of the day
		bucketStart := f.bytesFrom + Time(i)*bucketWidth
		if overlap := min(bucketStart+bucketWidth, to) - max(bucketStart, from); overlap > 0 {
			sum += float64(received) * float64(overlap) / float64(bucketWidth)
		}
	}
	return sum
}

// estimatePossible estimates the most revenue that could be earned in each half second. It shares the capacity of the
// ready boxes' links and uplinks among the viewers, one rung step at a time, the steps with the most revenue per kB
// first; a further viewer of a live title costs only the join share of its rate. No policy can earn more on these
// links, except by chance in who watches what; the cost of set-ups and the limits of cold boxes are not counted.
func (p *DayRun) estimatePossible(score *Score) {
	day := p.Day
	bucketCount := len(score.Offered)
	type step struct{ costKB, revenue float64 }
	firstViewers := make([][]int, bucketCount) // for each half second, the number of viewers by plan and top rung
	rungCount := len(day.BoxConfig.LadderKB)
	seenTitles := make([]map[string]bool, bucketCount)
	joiners := make([][]int, bucketCount)
	for i := range firstViewers {
		firstViewers[i], joiners[i], seenTitles[i] = make([]int, len(day.Plans)*rungCount), make([]int, len(day.Plans)*rungCount), map[string]bool{}
	}
	for _, profile := range p.profiles {
		if profile.LeaveAfter > 0 { // leaves before it can be served
			continue
		}
		plan := 0
		for day.Plans[plan].Name != profile.Plan {
			plan++
		}
		sitePlan := &day.Site.Plans[plan]
		requestedAt := p.requestedAt[profile]
		key := plan*rungCount + min(profile.TopRung, sitePlan.Top)
		for b := int((requestedAt - p.startedAt) / bucketWidth); b <= int((requestedAt+profile.WatchTime-1-p.startedAt)/bucketWidth) && b < bucketCount; b++ {
			if sitePlan.Live && seenTitles[b][profile.Title] {
				joiners[b][key]++
			} else {
				seenTitles[b][profile.Title] = true
				firstViewers[b][key]++
			}
		}
	}
	for b := range bucketCount {
		capacity := 0.0
		if b < len(p.capacityKB) {
			capacity = p.capacityKB[b]
		} else if len(p.capacityKB) > 0 {
			capacity = p.capacityKB[len(p.capacityKB)-1]
		}
		var steps []step
		for key := range firstViewers[b] {
			for kind, count := range []int{firstViewers[b][key], joiners[b][key]} {
				if count == 0 {
					continue
				}
				sitePlan := &day.Site.Plans[key/rungCount]
				rateShare := sitePlan.RateFactor
				if kind == 1 {
					rateShare *= day.BoxConfig.Join
				}
				lastKB, lastRevenue := 0.0, 0.0
				for rung := sitePlan.Floor; rung <= key%rungCount; rung++ {
					rateKB, revenue := day.BoxConfig.LadderKB[rung]*rateShare, day.Site.Ladder.RevenueShare[rung]*sitePlan.Revenue*seconds(bucketWidth)
					steps = append(steps, step{float64(count) * (rateKB - lastKB), float64(count) * (revenue - lastRevenue)})
					lastKB, lastRevenue = rateKB, revenue
				}
			}
		}
		slices.SortStableFunc(steps, func(x, y step) int {
			if a, b := x.revenue/x.costKB, y.revenue/y.costKB; a != b {
				return int(math.Copysign(1, b-a))
			}
			return 0
		})
		for _, step := range steps {
			share := min(capacity/step.costKB, 1)
			score.Possible[b] += step.revenue * share
			capacity -= step.costKB * share
		}
		score.Possible[b] = min(score.Possible[b], score.Offered[b])
	}
}
