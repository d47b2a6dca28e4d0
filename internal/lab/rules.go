package lab

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"pierlink/internal/standin/mediabox"
	"pierlink/session"
)

// Bounds are what the six rules are judged by: the figures that the day states.
type Bounds struct {
	Site           session.Site
	Plans          []string // names, in the site's order
	AbandonTimes   []Time
	Grace          Time
	MaxSessions    int
	OrderTolerance Time // two entries of different connections may be this much out of order
	MaxTravel      Time // a request may be so long on its way from a player to its manager
}

// Verdict is what a checker found. One that had nothing to judge has not been kept.
type Verdict struct {
	Rule   int
	Name   string
	Judged int
	Broken []string
}

// Kept tells whether there were cases and none broke the rule.
func (v *Verdict) Kept() bool { return v.Judged > 0 && len(v.Broken) == 0 }

func (v *Verdict) addViolation(format string, a ...any) {
	v.Broken = append(v.Broken, fmt.Sprintf(format, a...))
}

// attempt is one setup try as it showed at a box.
type attempt struct {
	request, front, box, plan, title string
	tryIndex                         int  // among the tries of its playback
	connectedAt, from, endedAt       Time // its connection came; its first SETUP; its end
	rejected                         bool // 453 to its first SETUP: nothing ran
	ended                            bool
	rung                             int
}

// asked is one playback as it showed at a player.
type asked struct {
	request, front, plan string
	at                   Time
	status               int
	answeredAt           Time
}

// Judge holds a tape against the six rules.
func Judge(t *Tape, b *Bounds) []Verdict {
	entries := slices.Clone(t.Entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	tries := attempts(entries)
	players := askings(entries)
	return []Verdict{checkAnswers(entries, b), checkSingleSetup(tries, players, b), checkDrains(entries, tries, b), checkColdStart(entries, tries, b),
		checkPlanTerms(entries, tries, b), checkRetryBudget(entries, tries, players, b)}
}

// attempts finds the tries: one for each connection to a box on which SETUP was sent.
func attempts(entries []Entry) []*attempt {
	byConn, count, down, ups := map[int]*attempt{}, map[string]int{}, map[int]bool{}, map[int]Time{}
	var all []*attempt
	firstSetup := map[int]int{}
	for _, e := range entries {
		if e.Kind == ProcessKilled { // what ran there has ended
			for _, a := range all {
				if a.box == e.Host && !a.ended {
					a.endedAt, a.ended = e.At, true
				}
			}
		}
		if e.Player || e.ConnID == 0 {
			continue
		}
		if e.Kind == Up {
			ups[e.ConnID] = e.At
		}
		a := byConn[e.ConnID]
		if e.Kind == ConnClosed {
			down[e.ConnID] = true
		}
		switch {
		case e.Kind == RequestSent && e.FromFront && e.Method == "SETUP" && a == nil:
			a = &attempt{request: e.RequestID, front: e.Front, box: e.Host, plan: e.Plan, title: e.Title, from: e.At, connectedAt: e.At,
				endedAt: never, tryIndex: count[e.RequestID], rung: e.Rung}
			if at, ok := ups[e.ConnID]; ok {
				a.connectedAt = at
			}
			count[e.RequestID]++
			byConn[e.ConnID], firstSetup[e.ConnID] = a, e.CSeq
			all = append(all, a)
			if down[e.ConnID] { // it was on its way to a box that had gone
				a.endedAt, a.ended = e.At, true
			}
		case a == nil || a.ended:
		case e.Kind == RequestSent && e.FromFront && e.Method == "TEARDOWN", e.Kind == ConnClosed:
			a.endedAt, a.ended = e.At, true
		case e.Kind == ResponseSent && !e.FromFront && e.Status >= 300 && e.CSeq <= firstSetup[e.ConnID]+8:
			a.endedAt, a.ended = e.At, true
			a.rejected = e.Status == 453 && e.CSeq == firstSetup[e.ConnID]
		}
	}
	return all
}

const never = Time(1) << 60

func askings(entries []Entry) []*asked {
	byID := map[string]*asked{}
	var all []*asked
	for _, e := range entries {
		if !e.Player || e.RequestID == "" {
			continue
		}
		a := byID[e.RequestID]
		if e.Kind == RequestSent && e.Method == "SETUP" && a == nil {
			a = &asked{request: e.RequestID, front: e.Front, plan: e.Plan, at: e.At}
			byID[e.RequestID] = a
			all = append(all, a)
		}
		if e.Kind == ResponseSent && a != nil && (a.status == 0 || a.status == 401) { // who is asked for proof asks once more
			a.status, a.answeredAt = e.Status, e.At
		}
	}
	return all
}

func (b *Bounds) plan(name string) (int, *session.Plan) {
	i := slices.Index(b.Plans, name)
	if i < 0 {
		return -1, &session.Plan{}
	}
	return i, &b.Site.Plans[i]
}

// answers judges rule 1: each request has exactly one answer, a SETUP's before the abandon time, unless the
// player went away first or the manager was killed or the network broke the connection.
func checkAnswers(entries []Entry, b *Bounds) Verdict {
	v := Verdict{Rule: 1, Name: "every playback taken gets one answer in time"}
	type req struct {
		Entry
		n int
	}
	type line struct {
		open  []*req
		known map[int]*req
	}
	lines := map[int]*line{}
	outs := outages(entries)
	stood := pauses(entries)
	// A manager that stood still over the last quarter of the abandon time had nothing that could answer; one that
	// went on before had.
	out := func(r *req, to Time) bool {
		i, _ := b.plan(r.Plan)
		return slices.ContainsFunc(outs[r.Front], func(o [2]Time) bool { return o[0] <= to+b.OrderTolerance && o[1] >= r.At-b.OrderTolerance }) ||
			i >= 0 && slices.ContainsFunc(stood[r.Front], func(o [2]Time) bool {
				return o[0] <= r.At+b.AbandonTimes[i]+b.OrderTolerance && o[1] >= r.At+b.AbandonTimes[i]*3/4-b.OrderTolerance
			})
	}
	late := func(r *req, at Time) bool {
		i, _ := b.plan(r.Plan)
		return r.Method == "SETUP" && i >= 0 && at > r.At+b.AbandonTimes[i]
	}
	for _, e := range entries {
		if !e.Player {
			continue
		}
		l := lines[e.ConnID]
		if l == nil {
			l = &line{known: map[int]*req{}}
			lines[e.ConnID] = l
		}
		switch {
		case e.Kind == RequestSent && !e.FromFront:
			if l.known[e.CSeq] == nil {
				r := &req{Entry: e}
				l.known[e.CSeq] = r
				l.open = append(l.open, r)
			}
		case e.Kind == ResponseSent && e.FromFront:
			r := l.known[e.CSeq]
			if r == nil {
				v.addViolation("%s: answer %d to nothing that was asked (CSeq %d)", e.RequestID, e.Status, e.CSeq)
				continue
			}
			if r.n++; r.n > 1 {
				v.addViolation("%s: %s answered %d times", r.RequestID, r.Method, r.n)
			}
			if late(r, e.At) && !out(r, e.At) {
				v.addViolation("%s: answered %.3f s after it was asked", r.RequestID, seconds(e.At-r.At))
			}
			if r.Method == "SETUP" && r.n == 1 {
				v.Judged++
			}
		case e.Kind == ConnClosed:
			for _, r := range l.open {
				if r.n > 0 || r.Method != "SETUP" {
					continue
				}
				if !e.NetworkBroken && !(e.ClosedLocally && !late(r, e.At+1)) && !out(r, e.At) {
					v.Judged++
					v.addViolation("%s: never answered (%.3f s)", r.RequestID, seconds(e.At-r.At))
				}
			}
			delete(lines, e.ConnID)
		}
	}
	for _, l := range lines {
		for _, r := range l.open {
			if r.n == 0 && r.Method == "SETUP" {
				v.addViolation("%s: not answered by the end of the tape", r.RequestID)
			}
		}
	}
	return v
}

// outages are the spans in which each process did not run.
func outages(entries []Entry) map[string][][2]Time {
	all := map[string][][2]Time{}
	for _, e := range entries {
		o := all[e.Host]
		switch {
		case e.Kind == ProcessKilled:
			all[e.Host] = append(o, [2]Time{e.At, never})
		case e.Kind == ProcessStarted && len(o) > 0:
			o[len(o)-1][1] = e.At
		}
	}
	return all
}

func seconds(t Time) float64 { return float64(t) / 1e6 }

// once judges rule 2: one try at a time, and for plans paid at set-up no further try and no refusal unless
// no try can have run.
func checkSingleSetup(tries []*attempt, players []*asked, b *Bounds) Verdict {
	v := Verdict{Rule: 2, Name: "no set-up happens twice"}
	by := map[string][]*attempt{}
	for _, a := range tries {
		by[a.request] = append(by[a.request], a)
	}
	answer := map[string]*asked{}
	for _, p := range players {
		answer[p.request] = p
	}
	for _, a := range tries { // in the order of the tape
		all := by[a.request]
		if a.tryIndex > 0 {
			v.Judged++
			if last := all[a.tryIndex-1]; last.endedAt > a.from+b.OrderTolerance {
				v.addViolation("%s: try %d at %s while one at %s is out for %.3f s more", a.request, a.tryIndex, a.box, last.box, seconds(min(last.endedAt, a.from+1e12)-a.from))
			}
		}
		_, p := b.plan(a.plan)
		if p.Repeat != session.Unsafe || a.tryIndex != len(all)-1 {
			continue
		}
		v.Judged++
		ran := 0
		got := answer[a.request]
		for _, x := range all {
			if !x.rejected && (got == nil || got.status != 200 || x.from <= got.answeredAt) {
				ran++
			}
		}
		if ran > 1 {
			v.addViolation("%s: sent again though a try may have run", a.request)
		}
		if got != nil && ran > 0 && (got.status == 453 || got.status == 503) {
			v.addViolation("%s: refused though a try may have run", a.request)
		}
	}
	return v
}

// drains judges rule 3: nothing new to a box later than the grace after the manager was told that it
// drains or is gone.
func checkDrains(entries []Entry, tries []*attempt, b *Bounds) Verdict {
	v := Verdict{Rule: 3, Name: "drains are kept"}
	type told struct {
		at    Time
		state session.ServerState
	}
	news := map[[2]string][]told{}
	for _, e := range entries {
		if e.Kind == StateNotified {
			k := [2]string{e.Front, e.Host}
			news[k] = append(news[k], told{e.At, e.State})
			if e.State != session.Ready {
				v.Judged++
			}
		}
	}
	for _, a := range tries {
		var off Time = -1 // since when the manager knows
		for _, n := range news[[2]string{a.front, a.box}] {
			switch {
			case n.at > a.from:
			case n.state == session.Ready:
				off = -1
			case off < 0:
				off = n.at
			}
		}
		if off >= 0 && a.from > off+b.Grace+b.OrderTolerance {
			v.addViolation("%s: try at %s %.3f s after %s was told", a.request, a.box, seconds(a.from-off), a.front)
		}
	}
	return v
}

// cold judges rule 4: the set-ups that all managers together send to a box that has just started stay
// within the multiple of its rising pace, in every window of the stated length.
func checkColdStart(entries []Entry, tries []*attempt, b *Bounds) Verdict {
	v := Verdict{Rule: 4, Name: "a cold box is not pushed over"}
	t := &b.Site.Terms
	sent := map[string][]Time{}
	for _, a := range tries {
		sent[a.box] = append(sent[a.box], a.from)
	}
	for _, e := range entries {
		if e.Kind != ProcessStarted || e.Started == 0 {
			continue
		}
		var window []Time
		for _, at := range sent[e.Host] {
			if at < e.Started || at >= e.Started+t.WarmUp {
				continue
			}
			v.Judged++
			window = append(window, at)
			for window[0] <= at-t.ColdSpan {
				window = window[1:]
			}
			warmth := t.ColdShare + (1-t.ColdShare)*float64(at-e.Started)/float64(t.WarmUp)
			if may := max(mediabox.MaxColdSetups(b.MaxSessions, t.WarmUp, t.ColdSpan, t.ColdMultiple, warmth), 1); float64(len(window)) > may {
				v.addViolation("%s: %d set-ups within %.1f s, %.1f s after its start; %.1f may be", e.Host, len(window),
					seconds(t.ColdSpan), seconds(at-e.Started), may)
			}
		}
	}
	return v
}

// terms judges rule 5: no rung under a plan's floor, and at no manager more playbacks of one title and plan
// than there are seats.
func checkPlanTerms(entries []Entry, tries []*attempt, b *Bounds) Verdict {
	v := Verdict{Rule: 5, Name: "floors and seats are kept"}
	plans := map[int]string{}
	for _, e := range entries {
		if e.Player || e.Kind != RequestSent || !e.FromFront || e.Rung < 0 {
			continue
		}
		if e.Plan == "" {
			e.Plan = plans[e.ConnID]
		}
		plans[e.ConnID] = e.Plan
		if _, p := b.plan(e.Plan); p.Floor > 0 {
			v.Judged++
			if e.Rung < p.Floor {
				v.addViolation("%s at %s: rung %d under the floor %d of %s", e.RequestID, e.Host, e.Rung, p.Floor, e.Plan)
			}
		}
	}
	type change struct {
		at Time
		by int
		a  *attempt
	}
	held := map[[3]string][]change{}
	for _, a := range tries {
		if _, p := b.plan(a.plan); p.Seats > 0 {
			k := [3]string{a.front, a.plan, a.title}
			held[k] = append(held[k], change{a.from, 1, a}, change{max(a.endedAt-b.OrderTolerance, a.from), -1, a})
		}
	}
	for k, all := range held {
		slices.SortStableFunc(all, func(x, y change) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.by, y.by)) })
		_, p := b.plan(k[1])
		n := 0
		for _, c := range all {
			n += c.by
			if c.by > 0 {
				v.Judged++
				if n > p.Seats {
					v.addViolation("%s: %d playbacks of %s at %s, %d seats", c.a.request, n, k[2], k[0], p.Seats)
				}
			}
		}
	}
	slices.Sort(v.Broken)
	return v
}

// stands are the times over which each manager stood still, by when they began. A kill ends it.
func pauses(entries []Entry) map[string][][2]Time {
	all := map[string][][2]Time{}
	for _, e := range entries {
		switch e.Kind {
		case ProcessPaused:
			all[e.Host] = append(all[e.Host], [2]Time{e.At, e.Until})
		case ProcessKilled:
			for i := range all[e.Host] {
				s := &all[e.Host][i]
				s[1] = min(s[1], max(e.At, s[0]))
			}
		}
	}
	return all
}

// takenAt is when a manager took what reached it at a time: at once, or as it went on after it had stood still.
func receivedAt(stood [][2]Time, at Time) Time {
	for _, s := range stood {
		if s[0] <= at && at < s[1] {
			at = s[1]
		}
	}
	return at
}

// budget judges rule 6: in any window a manager's further tries stay within the stated few and the stated
// share of the playbacks that it took. One that was killed and came back begins anew: it cannot know. A try counts
// from its connection's coming on, which is when it was decided: one that stands still then asks later.
func checkRetryBudget(entries []Entry, tries []*attempt, players []*asked, b *Bounds) Verdict {
	v := Verdict{Rule: 6, Name: "further tries stay within their budget"}
	t := &b.Site.Terms
	if !t.RetriesLimited {
		return v
	}
	outs := outages(entries)
	taken, stood := map[string][]Time{}, pauses(entries)
	for _, p := range players {
		taken[p.front] = append(taken[p.front], receivedAt(stood[p.front], p.at))
	}
	further := map[string][]Time{}
	for _, a := range tries { // a moved playback is taken anew
		if a.tryIndex == 0 && strings.Contains(a.request, "/m") {
			taken[a.front] = append(taken[a.front], a.connectedAt)
		}
	}
	tries = slices.Clone(tries)
	slices.SortStableFunc(tries, func(a, b *attempt) int { return cmp.Compare(a.connectedAt, b.connectedAt) })
	for _, a := range tries {
		if a.tryIndex == 0 {
			continue
		}
		v.Judged++
		w := append(further[a.front], a.connectedAt)
		since := a.connectedAt - t.RetrySpan
		for _, o := range outs[a.front] {
			if o[0] <= a.connectedAt {
				since = max(since, o[0])
			}
		}
		for w[0] <= since {
			w = w[1:]
		}
		further[a.front] = w
		n := 0
		for _, at := range taken[a.front] {
			if at > since-b.OrderTolerance-b.MaxTravel && at <= a.connectedAt {
				n++
			}
		}
		if may := t.FreeRetries + t.RetryShare*float64(n); float64(len(w)) > may {
			v.addViolation("%s: %d further tries within %.1f s, %.1f may be", a.front, len(w), seconds(t.RetrySpan), may)
		}
	}
	return v
}
