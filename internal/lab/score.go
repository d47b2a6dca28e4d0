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
	wholeWeight     = 0.7 // of the goal, as the users weigh it
	worstWeight     = 0.2
	planWeight      = 0.1
	minShareDivisor = 40 // offerings that a plan or a tenant needs to be the worst one
)

// Worth is a day as the users count it: for each half second in which a viewer wants to watch, offered is its
// plan's revenue at the highest rung that it can use, earned the same at the rung in force, as far as it was
// delivered, where the playback began within its startup target. All of it is taken from the traffic.
type Worth struct {
	Whole, Worst, WorstPlan, WorstTenant float64 // earned over offered; Worst of any 10 s
	Prices                               float64 // zones crossed, moves, probes, changes of rung, as parts of the whole
	Goal                                 float64
	Best                                 float64   // at most, by what links and uplinks give
	Offered, Earned                      []float64 // of each half second
	Possible                             []float64
	MeanRungs                            []float64 // mean of those that play
	Playing                              []float64
	Tries                                []float64 // set-ups at boxes
	MeanWaits                            []float64 // mean seconds from asking to the answer, of those answered
	ByPlan                               []float64
	Moves, Changes, Crossed              int
	// what was not earned, as parts of what was offered: nobody served it; it began after its target; it was at a
	// lower rung than the viewer could use; it was not delivered whole
	Unserved, Late, LowRung, Short float64
}

type rungSpan struct {
	from Time
	rung int
	box  string
}

// heard is what a player's connection brought.
type playerFlow struct {
	requestedAt, firstPacketAt, closedAt Time
	answered                             bool
	front, plan, title                   string
	bytes                                []int32
	bytesFrom                            Time
}

// Count makes the worth of a day from its tape. ticks are what links and uplinks gave, each half second.
func (p *Play) Count(t *Tape) *Worth {
	d := p.Day
	entries := slices.Clone(t.Entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return int(min(max(a.At-b.At, -1), 1)) })
	n := int(p.Length()/bucketWidth) + 1
	w := &Worth{Offered: make([]float64, n), Earned: make([]float64, n), Possible: make([]float64, n), MeanRungs: make([]float64, n),
		Playing: make([]float64, n), Tries: make([]float64, n), MeanWaits: make([]float64, n)}
	at := func(x Time) int { return min(max(int((x-p.began)/bucketWidth), 0), n-1) }

	type upstream struct {
		req, box, front string
		rung            int
		first           bool
	}
	ups := map[int]*upstream{}
	rungs := map[string][]rungSpan{}
	heards := map[string]*playerFlow{}
	conns := map[int]*playerFlow{}
	answered := make([]float64, n)
	probes := 0
	for _, e := range entries {
		if !e.Player {
			u := ups[e.ConnID]
			switch {
			case e.Kind == RequestSent && e.FromFront && e.Method == "OPTIONS":
				probes++
			case e.Kind == RequestSent && e.FromFront && e.Method == "SETUP" && u == nil:
				req, _, moved := strings.Cut(e.RequestID, "/m")
				if moved {
					w.Moves++
				}
				ups[e.ConnID] = &upstream{req: req, box: e.Host, front: e.Front, rung: e.Rung}
				w.Tries[at(e.At)]++
			case u != nil && e.Kind == RequestSent && e.FromFront && e.Rung >= 0 && e.Rung != u.rung:
				if u.rung = e.Rung; u.first {
					rungs[u.req] = append(rungs[u.req], rungSpan{e.At, u.rung, u.box})
					w.Changes++
				}
			case u != nil && e.Kind == FirstFrame && !u.first:
				u.first = true
				rungs[u.req] = append(rungs[u.req], rungSpan{e.At, u.rung, u.box})
			}
			continue
		}
		h := conns[e.ConnID]
		switch {
		case e.Kind == RequestSent && !e.FromFront && e.Method == "SETUP" && e.RequestID != "" && h == nil:
			h = &playerFlow{requestedAt: e.At, front: e.Front, plan: e.Plan, title: e.Title, closedAt: never}
			conns[e.ConnID], heards[e.RequestID] = h, h
		case h != nil && e.Kind == ResponseSent && e.FromFront && !h.answered && h.firstPacketAt == 0 && e.RequestID != "":
			h.answered = true
			w.MeanWaits[at(e.At)] += seconds(e.At - h.requestedAt)
			answered[at(e.At)]++
		case h != nil && e.Kind == FirstFrame:
			h.firstPacketAt = e.At
		case h != nil && (e.Kind == ConnClosed || e.Kind == RequestSent && e.Method == "TEARDOWN"):
			h.closedAt = min(h.closedAt, e.At)
		}
	}
	for _, f := range t.Flows {
		if h := conns[f.ConnID]; h != nil {
			h.bytes, h.bytesFrom = f.Bytes, f.From
		}
	}
	for i := range w.MeanWaits {
		if answered[i] > 0 {
			w.MeanWaits[i] /= answered[i]
		}
	}
	plans, offeredBy := make([]float64, len(d.Plans)), make([]float64, len(d.Plans))
	crossed, revenue := 0.0, 0.0
	tenants := map[string]*[2]float64{}
	for _, x := range p.profiles {
		if x.LeaveAfter > 0 { // it goes away before it can be served
			continue
		}
		plan := 0
		for d.Plans[plan].Name != x.Plan {
			plan++
		}
		s := &d.Site.Plans[plan]
		top := min(x.TopRung, s.Top)
		per := s.Revenue * float64(bucketWidth) / 1e6
		watched := Time(0)
		began := p.requestedAt[x]
		for b := at(began); b <= at(began+x.WatchTime-1); b++ {
			part := float64(min(began+x.WatchTime, p.began+Time(b+1)*bucketWidth)-max(began, p.began+Time(b)*bucketWidth)) / float64(bucketWidth)
			v := per * d.Site.Ladder.RevenueShare[top] * max(part, 0)
			w.Offered[b] += v
			offeredBy[plan] += v
			if len(d.Tenants) > 0 {
				if tenants[x.Tenant] == nil {
					tenants[x.Tenant] = &[2]float64{}
				}
				tenants[x.Tenant][0] += v
			}
		}
		for _, id := range p.requestIDs(x) {
			h := heards[id]
			if h == nil || h.firstPacketAt == 0 {
				continue
			}
			late := h.firstPacketAt-h.requestedAt > s.StartupTarget
			if !late {
				revenue += s.Revenue
			}
			all := rungs[id]
			k := -1
			for b := at(h.firstPacketAt); b <= at(min(h.closedAt, p.began+Time(n-1)*bucketWidth)); b++ {
				from, to := max(h.firstPacketAt, p.began+Time(b)*bucketWidth), min(h.closedAt, p.began+Time(b+1)*bucketWidth)
				for k+1 < len(all) && all[k+1].from <= (from+to)/2 {
					k++
				}
				if to <= from || k < 0 || watched >= x.WatchTime {
					continue
				}
				r := all[k]
				part := float64(to-from) / float64(bucketWidth)
				watched += to - from
				if late {
					w.Late += per * d.Site.Ladder.RevenueShare[top] * part
					continue
				}
				due := d.Frame.LadderKB[r.rung] * s.RateFactor * 1000 * seconds(bucketWidth) * part
				share := min(h.delivered(b, p.began)/due, 1)
				v := per * d.Site.Ladder.RevenueShare[min(r.rung, top)] * part * share
				w.Earned[b] += v
				at := per * d.Site.Ladder.RevenueShare[min(r.rung, top)] * part
				w.LowRung += per*d.Site.Ladder.RevenueShare[top]*part - at
				w.Short += at - v
				plans[plan] += v
				if tenants[x.Tenant] != nil {
					tenants[x.Tenant][1] += v
				}
				w.MeanRungs[b] += float64(r.rung) * part
				w.Playing[b] += part
				if p.zoneByHost[h.front] != p.zoneByHost[r.box] {
					crossed += v
					w.Crossed++
				}
			}
		}
	}
	p.estimatePossible(w)
	offered, earned := 0.0, 0.0
	for i := range w.Offered {
		offered, earned = offered+w.Offered[i], earned+w.Earned[i]
		if w.Playing[i] > 0 {
			w.MeanRungs[i] /= w.Playing[i]
		}
	}
	if offered == 0 {
		return w
	}
	w.Whole, w.Worst, w.WorstPlan, w.WorstTenant = earned/offered, 1, 1, 1
	w.Late, w.LowRung, w.Short = w.Late/offered, w.LowRung/offered, w.Short/offered
	w.Unserved = 1 - w.Whole - w.Late - w.LowRung - w.Short
	m := int(worstWindow / bucketWidth)
	last := at(p.began + d.Length)
	for i := 0; i+m <= last; i++ {
		o, e := 0.0, 0.0
		for j := i; j < i+m; j++ {
			o, e = o+w.Offered[j], e+w.Earned[j]
		}
		if o > 0 {
			w.Worst = min(w.Worst, e/o)
		}
	}
	for i := range plans {
		if offeredBy[i] > 0 {
			w.ByPlan = append(w.ByPlan, plans[i]/offeredBy[i])
			if offeredBy[i] > offered/minShareDivisor {
				w.WorstPlan = min(w.WorstPlan, plans[i]/offeredBy[i])
			}
		}
	}
	for _, x := range tenants {
		if x[0] > offered/minShareDivisor {
			w.WorstTenant = min(w.WorstTenant, x[1]/x[0])
		}
	}
	best := 0.0
	for _, x := range w.Possible {
		best += x
	}
	w.Best = min(best/offered, 1)
	pr := &d.Site.Prices
	asks := float64(max(len(p.profiles), 1))
	w.Prices = pr.CrossZone*crossed/offered + pr.Move*float64(w.Moves)/asks + pr.Probe*float64(probes)/asks/10 +
		seconds(d.Site.Ladder.RungChangeCost)*float64(w.Changes)*revenue/asks/offered
	w.Goal = wholeWeight*w.Whole + worstWeight*w.Worst + planWeight*w.WorstPlan - w.Prices
	return w
}

// delivered is the bytes that came in one of the day's half seconds.
func (h *playerFlow) delivered(b int, began Time) (sum float64) {
	from, to := began+Time(b)*bucketWidth, began+Time(b+1)*bucketWidth
	for i, x := range h.bytes { // the connection's own half seconds do not begin with the day's
		f := h.bytesFrom + Time(i)*bucketWidth
		if over := min(f+bucketWidth, to) - max(f, from); over > 0 {
			sum += float64(x) * float64(over) / float64(bucketWidth)
		}
	}
	return sum
}

// possible estimates the most that could be earned in each half second: what living links and uplinks give,
// shared out among those who want to watch, first the lowest rung to each, then step by step where the next
// one brings most for a kB; a further viewer of a live title counts at its join part. Nobody can do better on
// links, but for chance in who watches what; set-ups and cold boxes' pace are not counted.
func (p *Play) estimatePossible(w *Worth) {
	d := p.Day
	n := len(w.Offered)
	type step struct{ kb, worth float64 }
	viewers := make([][]int, n) // by half second, counts of plan and top
	width := len(d.Frame.LadderKB)
	firsts := make([]map[string]bool, n)
	more := make([][]int, n)
	for i := range viewers {
		viewers[i], more[i], firsts[i] = make([]int, len(d.Plans)*width), make([]int, len(d.Plans)*width), map[string]bool{}
	}
	for _, x := range p.profiles {
		if x.LeaveAfter > 0 { // it goes away before it can be served
			continue
		}
		plan := 0
		for d.Plans[plan].Name != x.Plan {
			plan++
		}
		s := &d.Site.Plans[plan]
		began := p.requestedAt[x]
		k := plan*width + min(x.TopRung, s.Top)
		for b := int((began - p.began) / bucketWidth); b <= int((began+x.WatchTime-1-p.began)/bucketWidth) && b < n; b++ {
			if s.Live && firsts[b][x.Title] {
				more[b][k]++
			} else {
				firsts[b][x.Title] = true
				viewers[b][k]++
			}
		}
	}
	for b := range n {
		kb := 0.0
		if b < len(p.capacityKB) {
			kb = p.capacityKB[b]
		} else if len(p.capacityKB) > 0 {
			kb = p.capacityKB[len(p.capacityKB)-1]
		}
		var steps []step
		for k := range viewers[b] {
			for kind, count := range []int{viewers[b][k], more[b][k]} {
				if count == 0 {
					continue
				}
				s := &d.Site.Plans[k/width]
				part := s.RateFactor
				if kind == 1 {
					part *= d.Frame.Join
				}
				lastKB, lastWorth := 0.0, 0.0
				for r := s.Floor; r <= k%width; r++ {
					rate, worth := d.Frame.LadderKB[r]*part, d.Site.Ladder.RevenueShare[r]*s.Revenue*seconds(bucketWidth)
					steps = append(steps, step{float64(count) * (rate - lastKB), float64(count) * (worth - lastWorth)})
					lastKB, lastWorth = rate, worth
				}
			}
		}
		slices.SortStableFunc(steps, func(x, y step) int {
			if a, b := x.worth/x.kb, y.worth/y.kb; a != b {
				return int(math.Copysign(1, b-a))
			}
			return 0
		})
		for _, s := range steps {
			part := min(kb/s.kb, 1)
			w.Possible[b] += s.worth * part
			kb -= s.kb * part
		}
		w.Possible[b] = min(w.Possible[b], w.Offered[b])
	}
}
