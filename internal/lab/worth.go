package lab

import (
	"math"
	"slices"
	"strings"

	"pierlink/internal/core"
)

const (
	bucket      = core.Second / 2
	worstSpan   = 10 * core.Second
	wholePart   = 0.7 // of the goal, as the users weigh it
	worstPart   = 0.2
	planPart    = 0.1
	fewestParts = 40 // offerings that a plan or a tenant needs to be the worst one
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
	Rungs                                []float64 // mean of those that play
	Playing                              []float64
	Tries                                []float64 // set-ups at boxes
	Waits                                []float64 // mean seconds from asking to the answer, of those answered
	Plan                                 []float64
	Moves, Changes, Crossed              int
	// what was not earned, as parts of what was offered: nobody served it; it began after its target; it was at a
	// lower rung than the viewer could use; it was not delivered whole
	Unserved, Late, LowRung, Short float64
}

type span2 struct {
	from Time
	rung int
	box  string
}

// heard is what a player's connection brought.
type heard struct {
	asked, first, down Time
	began              bool
	front, plan, title string
	bytes              []int32
	base               Time
}

// Count makes the worth of a day from its tape. ticks are what links and uplinks gave, each half second.
func (p *Play) Count(t *Tape) *Worth {
	d := p.Day
	entries := slices.Clone(t.Entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return int(min(max(a.At-b.At, -1), 1)) })
	n := int(p.Length()/bucket) + 1
	w := &Worth{Offered: make([]float64, n), Earned: make([]float64, n), Possible: make([]float64, n), Rungs: make([]float64, n),
		Playing: make([]float64, n), Tries: make([]float64, n), Waits: make([]float64, n)}
	at := func(x Time) int { return min(max(int((x-p.began)/bucket), 0), n-1) }

	type upstream struct {
		req, box, front string
		rung            int
		first           bool
	}
	ups := map[int]*upstream{}
	rungs := map[string][]span2{}
	heards := map[string]*heard{}
	conns := map[int]*heard{}
	answered := make([]float64, n)
	probes := 0
	for _, e := range entries {
		if !e.Player {
			u := ups[e.Conn]
			switch {
			case e.Kind == Asks && e.FromFront && e.Method == "OPTIONS":
				probes++
			case e.Kind == Asks && e.FromFront && e.Method == "SETUP" && u == nil:
				req, _, moved := strings.Cut(e.Request, "/m")
				if moved {
					w.Moves++
				}
				ups[e.Conn] = &upstream{req: req, box: e.Place, front: e.Front, rung: e.Rung}
				w.Tries[at(e.At)]++
			case u != nil && e.Kind == Asks && e.FromFront && e.Rung >= 0 && e.Rung != u.rung:
				if u.rung = e.Rung; u.first {
					rungs[u.req] = append(rungs[u.req], span2{e.At, u.rung, u.box})
					w.Changes++
				}
			case u != nil && e.Kind == First && !u.first:
				u.first = true
				rungs[u.req] = append(rungs[u.req], span2{e.At, u.rung, u.box})
			}
			continue
		}
		h := conns[e.Conn]
		switch {
		case e.Kind == Asks && !e.FromFront && e.Method == "SETUP" && e.Request != "" && h == nil:
			h = &heard{asked: e.At, front: e.Front, plan: e.Plan, title: e.Title, down: never}
			conns[e.Conn], heards[e.Request] = h, h
		case h != nil && e.Kind == Answers && e.FromFront && !h.began && h.first == 0 && e.Request != "":
			h.began = true
			w.Waits[at(e.At)] += seconds(e.At - h.asked)
			answered[at(e.At)]++
		case h != nil && e.Kind == First:
			h.first = e.At
		case h != nil && (e.Kind == Down || e.Kind == Asks && e.Method == "TEARDOWN"):
			h.down = min(h.down, e.At)
		}
	}
	for _, f := range t.Flows {
		if h := conns[f.Conn]; h != nil {
			h.bytes, h.base = f.Bytes, f.From
		}
	}
	for i := range w.Waits {
		if answered[i] > 0 {
			w.Waits[i] /= answered[i]
		}
	}
	plans, offeredBy := make([]float64, len(d.Plans)), make([]float64, len(d.Plans))
	crossed, revenue := 0.0, 0.0
	tenants := map[string]*[2]float64{}
	for _, x := range p.wants {
		if x.LeaveAfter > 0 { // it goes away before it can be served
			continue
		}
		plan := 0
		for d.Plans[plan].Name != x.Plan {
			plan++
		}
		s := &d.Site.Plans[plan]
		top := min(x.TopRung, s.Top)
		per := s.Revenue * float64(bucket) / 1e6
		watched := Time(0)
		began := p.askedAt[x]
		for b := at(began); b <= at(began+x.WatchTime-1); b++ {
			part := float64(min(began+x.WatchTime, p.began+Time(b+1)*bucket)-max(began, p.began+Time(b)*bucket)) / float64(bucket)
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
		for _, id := range p.ids(x) {
			h := heards[id]
			if h == nil || h.first == 0 {
				continue
			}
			late := h.first-h.asked > s.StartupTarget
			if !late {
				revenue += s.Revenue
			}
			all := rungs[id]
			k := -1
			for b := at(h.first); b <= at(min(h.down, p.began+Time(n-1)*bucket)); b++ {
				from, to := max(h.first, p.began+Time(b)*bucket), min(h.down, p.began+Time(b+1)*bucket)
				for k+1 < len(all) && all[k+1].from <= (from+to)/2 {
					k++
				}
				if to <= from || k < 0 || watched >= x.WatchTime {
					continue
				}
				r := all[k]
				part := float64(to-from) / float64(bucket)
				watched += to - from
				if late {
					w.Late += per * d.Site.Ladder.RevenueShare[top] * part
					continue
				}
				due := d.Frame.LadderKB[r.rung] * s.RateFactor * 1000 * seconds(bucket) * part
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
				w.Rungs[b] += float64(r.rung) * part
				w.Playing[b] += part
				if p.zoneOf[h.front] != p.zoneOf[r.box] {
					crossed += v
					w.Crossed++
				}
			}
		}
	}
	p.possible(w)
	offered, earned := 0.0, 0.0
	for i := range w.Offered {
		offered, earned = offered+w.Offered[i], earned+w.Earned[i]
		if w.Playing[i] > 0 {
			w.Rungs[i] /= w.Playing[i]
		}
	}
	if offered == 0 {
		return w
	}
	w.Whole, w.Worst, w.WorstPlan, w.WorstTenant = earned/offered, 1, 1, 1
	w.Late, w.LowRung, w.Short = w.Late/offered, w.LowRung/offered, w.Short/offered
	w.Unserved = 1 - w.Whole - w.Late - w.LowRung - w.Short
	m := int(worstSpan / bucket)
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
			w.Plan = append(w.Plan, plans[i]/offeredBy[i])
			if offeredBy[i] > offered/fewestParts {
				w.WorstPlan = min(w.WorstPlan, plans[i]/offeredBy[i])
			}
		}
	}
	for _, x := range tenants {
		if x[0] > offered/fewestParts {
			w.WorstTenant = min(w.WorstTenant, x[1]/x[0])
		}
	}
	best := 0.0
	for _, x := range w.Possible {
		best += x
	}
	w.Best = min(best/offered, 1)
	pr := &d.Site.Prices
	asks := float64(max(len(p.wants), 1))
	w.Prices = pr.CrossZone*crossed/offered + pr.Move*float64(w.Moves)/asks + pr.Probe*float64(probes)/asks/10 +
		seconds(d.Site.Ladder.RungChangeCost)*float64(w.Changes)*revenue/asks/offered
	w.Goal = wholePart*w.Whole + worstPart*w.Worst + planPart*w.WorstPlan - w.Prices
	return w
}

// delivered is the bytes that came in one of the day's half seconds.
func (h *heard) delivered(b int, began Time) (sum float64) {
	from, to := began+Time(b)*bucket, began+Time(b+1)*bucket
	for i, x := range h.bytes { // the connection's own half seconds do not begin with the day's
		f := h.base + Time(i)*bucket
		if over := min(f+bucket, to) - max(f, from); over > 0 {
			sum += float64(x) * float64(over) / float64(bucket)
		}
	}
	return sum
}

// possible estimates the most that could be earned in each half second: what living links and uplinks give,
// shared out among those who want to watch, first the lowest rung to each, then step by step where the next
// one brings most for a kB; a further viewer of a live title counts at its join part. Nobody can do better on
// links, but for chance in who watches what; set-ups and cold boxes' pace are not counted.
func (p *Play) possible(w *Worth) {
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
	for _, x := range p.wants {
		if x.LeaveAfter > 0 { // it goes away before it can be served
			continue
		}
		plan := 0
		for d.Plans[plan].Name != x.Plan {
			plan++
		}
		s := &d.Site.Plans[plan]
		began := p.askedAt[x]
		k := plan*width + min(x.TopRung, s.Top)
		for b := int((began - p.began) / bucket); b <= int((began+x.WatchTime-1-p.began)/bucket) && b < n; b++ {
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
		if b < len(p.gives) {
			kb = p.gives[b]
		} else if len(p.gives) > 0 {
			kb = p.gives[len(p.gives)-1]
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
					rate, worth := d.Frame.LadderKB[r]*part, d.Site.Ladder.RevenueShare[r]*s.Revenue*seconds(bucket)
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
