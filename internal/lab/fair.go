package lab

import (
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/standin/player"
)

// flood is a way of overloading the admission queue.
type flood struct {
	name             string // as printed by proofs
	dayLines         string // added to the day "fair"
	capacityShrinks  bool
	firstAttemptOnly bool // viewers of tenants within their share must be admitted at the first attempt
}

// floods returns the overload cases. burst is the number of distinct clients that arrive within one second.
func floods(burst int) []flood {
	return []flood{
		{name: "one tenant at a hundred times its share, then from many addresses", firstAttemptOnly: true,
			dayLines: "tenant flood rate=100 from=5 until=50 flood=1\ntenant flood rate=100 from=60 until=70 addresses=10000 flood=1"},
		{name: "returns early, never, and when told", firstAttemptOnly: true,
			dayLines: "tenant flood rate=100 from=5 until=45 addresses=10000 flood=1 exact=0.5 early=0.25"},
		{name: "a burst of distinct clients of one tenant", firstAttemptOnly: true,
			dayLines: fmt.Sprintf("tenant flood rate=%d from=5 until=6 addresses=1000000 flood=1", burst)},
		{name: "a burst of as many tenants, one client each",
			dayLines: fmt.Sprintf("tenant t count=%d rate=1 from=5 until=6 flood=1", burst/4)},
		{name: "capacity halves while many wait", firstAttemptOnly: true, capacityShrinks: true,
			dayLines: "tenant flood rate=100 from=5 until=60 addresses=10000 flood=1\nat 20 sag boxes=8 size=2 for=8"},
		{name: "the manager stands still for two seconds",
			dayLines: "tenant flood rate=100 from=5 until=30 addresses=10000 flood=1\nat 10 stand-still for=2"},
	}
}

// fairnessResult is the checker's result, computed from the viewers' log.
type fairnessResult struct {
	worstShare               float64 // lowest admitted part of a tenant's playbacks, of tenants within their share
	jainIndex                float64 // Jain's fairness index over tenants that do not flood
	withinShare              int     // tenants within their share
	admittedReturns, returns int     // returns at the stated retry time, and those of them that were admitted
	statedRatio              float64 // median ratio of stated to needed retry time
	statedTimes              int     // retry times in that median
	loneWait                 Time    // 99th percentile of the lone tenant's waits for an answer
	played                   int     // playbacks
	floodShare               float64 // of the flooding tenants, in all admitted playbacks
	rejectedWithoutTime      int     // rejections without a retry time
}

// measureFairness computes max-min fair shares from the viewers' log and compares the admitted playbacks with them.
func measureFairness(play *DayRun, firstAttemptOnly bool) (result fairnessResult) {
	attempts, admitted, loneTimes := map[string]float64{}, map[string]float64{}, []Time{}
	flooding := map[string]bool{}
	totalAdmitted := 0.0
	var floodFrom Time // the lone tenant's waits count from here to the end: a flood's viewers return for a long time
	for _, viewer := range play.TenantViewers {
		if viewer.Config.Floods && floodFrom == 0 {
			floodFrom = viewer.StartedAt
		}
	}
	for _, viewer := range play.TenantViewers {
		attempts[viewer.Tenant]++
		flooding[viewer.Tenant] = flooding[viewer.Tenant] || viewer.Config.Floods
		for i, attempt := range viewer.Results {
			if attempt.StartupTime > 0 {
				result.played++
				totalAdmitted++
				if i == 0 || !firstAttemptOnly || viewer.Config.Floods {
					admitted[viewer.Tenant]++
				}
			}
			if viewer.Config.Light && i == 0 && attempt.AnsweredAt > 0 && viewer.StartedAt >= floodFrom {
				loneTimes = append(loneTimes, attempt.AnsweredAt-attempt.StartedAt)
			}
			if attempt.State == player.Rejected && attempt.RetryToken == "" {
				result.rejectedWithoutTime++
			}
			if attempt.BroughtToken && !play.promiseVoided(viewer.Results[i-1].AnsweredAt, attempt.StartedAt) {
				result.returns++
				if attempt.StartupTime > 0 {
					result.admittedReturns++
				}
			}
		}
	}
	fairShare := maxMinShare(attempts, totalAdmitted)
	result.worstShare = 1
	var sum, squares, n float64
	for tenant, demand := range attempts {
		if flooding[tenant] {
			result.floodShare += admitted[tenant] / totalAdmitted
			continue
		}
		if demand <= fairShare {
			result.withinShare++
			result.worstShare = min(result.worstShare, admitted[tenant]/demand)
		}
		satisfaction := admitted[tenant] / min(demand, fairShare)
		sum, squares, n = sum+satisfaction, squares+satisfaction*satisfaction, n+1
	}
	result.jainIndex = sum * sum / (n * max(squares, 1e-9))
	result.statedRatio, result.statedTimes = statedOverNeeded(play, attempts, fairShare)
	slices.Sort(loneTimes)
	if len(loneTimes) > 0 {
		result.loneWait = loneTimes[min(len(loneTimes)*99/100, len(loneTimes)-1)]
	}
	return result
}

// promiseVoided reports whether a promised retry time could not be kept: it was made before or while the capacity
// shrank and was due after that, or it was due while the manager was stalled.
func (p *DayRun) promiseVoided(madeAt, dueAt Time) bool {
	for _, trouble := range p.Day.Troubles {
		troubleAt := p.startedAt + trouble.At
		if trouble.Kind == "sag" && madeAt < troubleAt+3*core.Second && dueAt > troubleAt || trouble.Kind == "stand-still" && dueAt > troubleAt-core.Second && dueAt < troubleAt+trouble.Duration {
			return true
		}
	}
	return false
}

// maxMinShare returns the max-min fair share for a capacity: a tenant with a lower demand gets all of it, every
// other one gets the share (Bertsekas and Gallager, Data Networks, section 6.5.2).
func maxMinShare(demands map[string]float64, capacity float64) float64 {
	var sorted []float64
	for _, demand := range demands {
		sorted = append(sorted, demand)
	}
	slices.Sort(sorted)
	remaining := capacity
	for i, demand := range sorted {
		if equalShare := remaining / float64(len(sorted)-i); demand > equalShare {
			return equalShare
		}
		remaining -= demand
	}
	return sorted[len(sorted)-1]
}

// statedOverNeeded compares retry times with the needed ones, over the flooding tenants' viewers that were rejected
// with a retry time at their first attempt. The needed time is that until a queue of the tenant alone, served at its
// fair rate, would have reached the viewer. It returns the median ratio and the number of viewers.
func statedOverNeeded(play *DayRun, demands map[string]float64, fairShare float64) (median float64, n int) {
	type arrival struct {
		at, retryAfter Time // retryAfter is the stated retry time, or 0 if the first attempt got none
	}
	arrivals := map[string][]arrival{}
	activeTimes := map[string][2]Time{}
	for _, viewer := range play.TenantViewers {
		bounds := activeTimes[viewer.Tenant]
		if bounds[0] == 0 {
			bounds[0] = viewer.StartedAt
		}
		bounds[1] = viewer.StartedAt
		activeTimes[viewer.Tenant] = bounds
		arrived := arrival{at: viewer.StartedAt}
		if len(viewer.Results) > 0 && viewer.Results[0].State == player.Rejected && viewer.Results[0].RetryToken != "" {
			arrived.retryAfter = viewer.Results[0].RetryAfter
		}
		arrivals[viewer.Tenant] = append(arrivals[viewer.Tenant], arrived)
	}
	var ratios []float64
	steadyRate, flooding := 0.0, map[string]bool{} // playbacks per second of the tenants that do not flood
	for _, viewer := range play.TenantViewers {
		flooding[viewer.Tenant] = flooding[viewer.Tenant] || viewer.Config.Floods
	}
	for tenant, demand := range demands {
		if bounds := activeTimes[tenant]; demand <= fairShare && !flooding[tenant] && bounds[1] > bounds[0] {
			steadyRate += demand / seconds(play.Day.Length)
		}
	}
	for name, tenantArrivals := range arrivals {
		if !flooding[name] || len(tenantArrivals) < 50 {
			continue
		}
		slices.SortFunc(tenantArrivals, func(a, b arrival) int { return int(a.at - b.at) })
		rate := max(play.peakStartRate()-steadyRate, 0.1)
		queueLength, last := 0.0, tenantArrivals[0].at
		for _, arrived := range tenantArrivals {
			queueLength = max(queueLength-rate*seconds(arrived.at-last), 0) + 1
			if last = arrived.at; arrived.retryAfter > 0 {
				ratios = append(ratios, seconds(arrived.retryAfter)/max(queueLength/rate, 1)) // retry times are whole seconds
			}
		}
	}
	slices.Sort(ratios)
	if len(ratios) == 0 {
		return 0, 0
	}
	return ratios[len(ratios)/2], len(ratios)
}

// peakStartRate returns the number of playbacks per second that started in the busiest five seconds, which is the
// fleet's capacity while demand exceeds it.
func (p *DayRun) peakStartRate() float64 {
	var busiest float64
	started := map[Time]float64{}
	for _, viewer := range p.TenantViewers {
		for _, attempt := range viewer.Results {
			if attempt.StartupTime > 0 {
				started[attempt.AnsweredAt/(5*core.Second)]++
			}
		}
	}
	for _, n := range started {
		busiest = max(busiest, n/5)
	}
	return busiest
}

// playFairDay plays the day "fair" with the added lines of a flood and the given queueing order.
func playFairDay(seed uint64, order string, lines string, log *zap.Logger) (*DayRun, *Recording, error) {
	dayText, err := libraryFS.ReadFile("days/fair.day")
	if err != nil {
		return nil, nil, err
	}
	day, err := Parse("fair", strings.Replace(string(dayText), "door waiting=1000", "door waiting=1000 persec=4 order="+order, 1)+lines+"\n")
	if err != nil {
		return nil, nil, err
	}
	day.Seed = seed
	recording := &Recording{}
	network := NewVirtualNet(day.Links, day.Seed, recording)
	play := StartDay(day, network, recording, nil, log)
	network.Run(play.startedAt + play.Duration())
	open := 1
	for range 400 { // until the last viewer with a retry time has returned
		network.Call("players", func(c core.Core) { open = c.(*player.Group).Open() })
		network.Run(network.now + 5*core.Second)
		if open == 0 {
			break
		}
	}
	play.Finish()
	network.Run(network.now + core.Second)
	return play, recording, nil
}

// peakQueueMemory returns the peak heap use, in bytes, of an admission queue and its tables during a flood of so
// many clients.
func peakQueueMemory(clients int, manyTenants bool) float64 {
	heapBytes := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	before := heapBytes()
	queue := fair.New(fair.Config{MaxWaiting: 4096, MaxBytes: 4096 * 400, MaxTenants: 8192, MaxIdleClients: 4096, StartupTarget: core.Second, TokenSecret: []byte("x")}, 0)
	queue.Rejected()
	peak := 0.0
	now := Time(1)
	for i := range clients {
		if now += core.Second / Time(clients); i%64 == 0 {
			queue.Advance(now)
			queue.Dispatch(func(fair.Decision) {})
			queue.Started(20_000)
		}
		tenant := "flood"
		if manyTenants {
			tenant = "t" + strconv.Itoa(i)
		}
		queue.Offer(fair.Request{ID: i + 1, Tenant: tenant, Client: "c" + strconv.Itoa(i), Bytes: 300, StartupDeadline: now + 1000*core.Second, AbandonDeadline: now + 2000*core.Second})
		if i%(clients/8) == clients/8-1 {
			peak = max(peak, heapBytes()-before)
		}
	}
	runtime.KeepAlive(queue)
	return peak
}

// proveFair plays a day without overload and the overload cases under fair queueing, and the first case also under
// two other queueing orders for comparison. It checks the admitted shares, the retry times and the memory that the
// queue uses.
func proveFair(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "fair", Seed: seed, Judged: map[string]int{}}
	burst := 4000
	switch size {
	case Small:
		burst = 1500
	case Full:
		burst = 50000
	}
	p.Note("distinct clients in a burst: %d (50,000 with --full)", burst)
	type fairRun struct {
		flood
		order    string
		result   fairnessResult
		verdicts []Verdict
		tally    Tally
		err      error
	}
	var runs []*fairRun
	runs = append(runs, &fairRun{flood: flood{name: "no flood", firstAttemptOnly: true}, order: "fair"})
	for _, crowd := range floods(burst) {
		runs = append(runs, &fairRun{flood: crowd, order: "fair"})
	}
	for _, order := range []string{"fifo", "buckets"} {
		runs = append(runs, &fairRun{flood: floods(burst)[0], order: order})
	}
	var workers sync.WaitGroup
	slots := make(chan struct{}, 4)
	for _, run := range runs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			play, recording, err := playFairDay(seed, run.order, run.dayLines, log)
			if run.err = err; err != nil {
				return
			}
			run.result, run.tally = measureFairness(play, run.firstAttemptOnly), play.Tally
			run.verdicts = CheckRules(recording, play.Day.Bounds(0))
		}()
	}
	workers.Wait()
	calmWait := runs[0].result.loneWait
	for _, run := range runs {
		if run.err != nil {
			return nil, run.err
		}
		result := &run.result
		p.Note("%s, %s: within share %.3f of what they asked (%d tenants), Jain %.3f, lone tenant's 99%% %.0f ms, flood's part %.2f; came back %d, kept %d, told/needed %.2f; plays %d",
			run.order, run.name, result.worstShare, result.withinShare, result.jainIndex, float64(result.loneWait)/1e3, result.floodShare, result.returns, result.admittedReturns, result.statedRatio, result.played)
		if run.order != "fair" {
			continue
		}
		for _, verdict := range run.verdicts {
			p.Judged[fmt.Sprintf("rule %d", verdict.Rule)] += verdict.Cases
			if len(verdict.Violations) > 0 {
				p.AtMost(float64(len(verdict.Violations)), 0, "rule %d: %s", verdict.Rule, run.name)
				p.Note("rule %d broken: %s", verdict.Rule, verdict.Violations[0])
			}
		}
		p.AtMost(float64(run.tally.FrontStats.Playbacks+int64(run.tally.Unsolicited)), 0, "left over or unasked: %s", run.name)
		if run.dayLines == "" {
			continue
		}
		p.Judged["tenants within their share"] += result.withinShare
		p.Judged["returns"] += result.returns
		p.Judged["times told"] += result.statedTimes
		p.AtLeast(result.worstShare, 0.95, "admitted within share: %s", run.name)
		p.AtLeast(result.jainIndex, 0.98, "Jain's index of the rest: %s", run.name)
		if result.returns > 0 {
			p.AtLeast(float64(result.admittedReturns)/float64(result.returns), 0.95, "admitted when they came back as told: %s", run.name)
		}
		if result.statedTimes > 0 && run.firstAttemptOnly && !run.capacityShrinks { // how much capacity will return cannot be known in advance
			p.AtMost(result.statedRatio, 2, "time told over time needed, median: %s", run.name)
		}
		if run.firstAttemptOnly && !run.capacityShrinks { // while capacity is below the demand within the fair shares, everyone waits
			p.AtMost(float64(result.loneWait)/float64(max(calmWait, 1)), 2, "lone tenant's wait over that without: %s", run.name)
		}
	}
	for _, manyTenants := range []bool{false, true} {
		once, ten := peakQueueMemory(40_000, manyTenants), peakQueueMemory(400_000, manyTenants)
		p.AtMost(ten/once, 1.05, "memory at ten times the flood (many tenants: %t)", manyTenants)
		p.Note("memory at its peak: %.0f kB", once/1e3)
	}
	return p, nil
}
