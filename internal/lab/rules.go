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
	Site    session.Site
	Plans   []string // names, in the site's order
	Abandon []Time
	Grace   Time
	Places  int
	Slack   Time // two entries of different connections may be this much out of order
	Travel  Time // a request may be so long on its way from a player to its manager
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

func (v *Verdict) fail(format string, a ...any) {
	v.Broken = append(v.Broken, fmt.Sprintf(format, a...))
}

// attempt is one setup try as it showed at a box.
type attempt struct {
	request, front, box, plan, title string
	number                           int  // among the tries of its playback
	opened, from, until              Time // its connection came; its first SETUP; its end
	refused                          bool // 453 to its first SETUP: nothing ran
	done                             bool
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
	return []Verdict{answers(entries, b), once(tries, players, b), drains(entries, tries, b), cold(entries, tries, b),
		terms(entries, tries, b), budget(entries, tries, players, b)}
}

// attempts finds the tries: one for each connection to a box on which SETUP was sent.
func attempts(entries []Entry) []*attempt {
	byConn, count, down, ups := map[int]*attempt{}, map[string]int{}, map[int]bool{}, map[int]Time{}
	var all []*attempt
	firstSetup := map[int]int{}
	for _, e := range entries {
		if e.Kind == Killed { // what ran there has ended
			for _, a := range all {
				if a.box == e.Place && !a.done {
					a.until, a.done = e.At, true
				}
			}
		}
		if e.Player || e.Conn == 0 {
			continue
		}
		if e.Kind == Up {
			ups[e.Conn] = e.At
		}
		a := byConn[e.Conn]
		if e.Kind == Down {
			down[e.Conn] = true
		}
		switch {
		case e.Kind == Asks && e.FromFront && e.Method == "SETUP" && a == nil:
			a = &attempt{request: e.Request, front: e.Front, box: e.Place, plan: e.Plan, title: e.Title, from: e.At, opened: e.At,
				until: never, number: count[e.Request], rung: e.Rung}
			if at, ok := ups[e.Conn]; ok {
				a.opened = at
			}
			count[e.Request]++
			byConn[e.Conn], firstSetup[e.Conn] = a, e.CSeq
			all = append(all, a)
			if down[e.Conn] { // it was on its way to a box that had gone
				a.until, a.done = e.At, true
			}
		case a == nil || a.done:
		case e.Kind == Asks && e.FromFront && e.Method == "TEARDOWN", e.Kind == Down:
			a.until, a.done = e.At, true
		case e.Kind == Answers && !e.FromFront && e.Status >= 300 && e.CSeq <= firstSetup[e.Conn]+8:
			a.until, a.done = e.At, true
			a.refused = e.Status == 453 && e.CSeq == firstSetup[e.Conn]
		}
	}
	return all
}

const never = Time(1) << 60

func askings(entries []Entry) []*asked {
	byID := map[string]*asked{}
	var all []*asked
	for _, e := range entries {
		if !e.Player || e.Request == "" {
			continue
		}
		a := byID[e.Request]
		if e.Kind == Asks && e.Method == "SETUP" && a == nil {
			a = &asked{request: e.Request, front: e.Front, plan: e.Plan, at: e.At}
			byID[e.Request] = a
			all = append(all, a)
		}
		if e.Kind == Answers && a != nil && (a.status == 0 || a.status == 401) { // who is asked for proof asks once more
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
func answers(entries []Entry, b *Bounds) Verdict {
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
	stood := stands(entries)
	// A manager that stood still over the last quarter of the abandon time had nothing that could answer; one that
	// went on before had.
	out := func(r *req, to Time) bool {
		i, _ := b.plan(r.Plan)
		return slices.ContainsFunc(outs[r.Front], func(o [2]Time) bool { return o[0] <= to+b.Slack && o[1] >= r.At-b.Slack }) ||
			i >= 0 && slices.ContainsFunc(stood[r.Front], func(o [2]Time) bool {
				return o[0] <= r.At+b.Abandon[i]+b.Slack && o[1] >= r.At+b.Abandon[i]*3/4-b.Slack
			})
	}
	late := func(r *req, at Time) bool {
		i, _ := b.plan(r.Plan)
		return r.Method == "SETUP" && i >= 0 && at > r.At+b.Abandon[i]
	}
	for _, e := range entries {
		if !e.Player {
			continue
		}
		l := lines[e.Conn]
		if l == nil {
			l = &line{known: map[int]*req{}}
			lines[e.Conn] = l
		}
		switch {
		case e.Kind == Asks && !e.FromFront:
			if l.known[e.CSeq] == nil {
				r := &req{Entry: e}
				l.known[e.CSeq] = r
				l.open = append(l.open, r)
			}
		case e.Kind == Answers && e.FromFront:
			r := l.known[e.CSeq]
			if r == nil {
				v.fail("%s: answer %d to nothing that was asked (CSeq %d)", e.Request, e.Status, e.CSeq)
				continue
			}
			if r.n++; r.n > 1 {
				v.fail("%s: %s answered %d times", r.Request, r.Method, r.n)
			}
			if late(r, e.At) && !out(r, e.At) {
				v.fail("%s: answered %.3f s after it was asked", r.Request, seconds(e.At-r.At))
			}
			if r.Method == "SETUP" && r.n == 1 {
				v.Judged++
			}
		case e.Kind == Down:
			for _, r := range l.open {
				if r.n > 0 || r.Method != "SETUP" {
					continue
				}
				if !e.Broken && !(e.Own && !late(r, e.At+1)) && !out(r, e.At) {
					v.Judged++
					v.fail("%s: never answered (%.3f s)", r.Request, seconds(e.At-r.At))
				}
			}
			delete(lines, e.Conn)
		}
	}
	for _, l := range lines {
		for _, r := range l.open {
			if r.n == 0 && r.Method == "SETUP" {
				v.fail("%s: not answered by the end of the tape", r.Request)
			}
		}
	}
	return v
}

// outages are the spans in which each process did not run.
func outages(entries []Entry) map[string][][2]Time {
	all := map[string][][2]Time{}
	for _, e := range entries {
		o := all[e.Place]
		switch {
		case e.Kind == Killed:
			all[e.Place] = append(o, [2]Time{e.At, never})
		case e.Kind == Began && len(o) > 0:
			o[len(o)-1][1] = e.At
		}
	}
	return all
}

func seconds(t Time) float64 { return float64(t) / 1e6 }

// once judges rule 2: one try at a time, and for plans paid at set-up no further try and no refusal unless
// no try can have run.
func once(tries []*attempt, players []*asked, b *Bounds) Verdict {
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
		if a.number > 0 {
			v.Judged++
			if last := all[a.number-1]; last.until > a.from+b.Slack {
				v.fail("%s: try %d at %s while one at %s is out for %.3f s more", a.request, a.number, a.box, last.box, seconds(min(last.until, a.from+1e12)-a.from))
			}
		}
		_, p := b.plan(a.plan)
		if p.Repeat != session.Unsafe || a.number != len(all)-1 {
			continue
		}
		v.Judged++
		ran := 0
		got := answer[a.request]
		for _, x := range all {
			if !x.refused && (got == nil || got.status != 200 || x.from <= got.answeredAt) {
				ran++
			}
		}
		if ran > 1 {
			v.fail("%s: sent again though a try may have run", a.request)
		}
		if got != nil && ran > 0 && (got.status == 453 || got.status == 503) {
			v.fail("%s: refused though a try may have run", a.request)
		}
	}
	return v
}

// drains judges rule 3: nothing new to a box later than the grace after the manager was told that it
// drains or is gone.
func drains(entries []Entry, tries []*attempt, b *Bounds) Verdict {
	v := Verdict{Rule: 3, Name: "drains are kept"}
	type told struct {
		at    Time
		state session.ServerState
	}
	news := map[[2]string][]told{}
	for _, e := range entries {
		if e.Kind == Told {
			k := [2]string{e.Front, e.Place}
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
		if off >= 0 && a.from > off+b.Grace+b.Slack {
			v.fail("%s: try at %s %.3f s after %s was told", a.request, a.box, seconds(a.from-off), a.front)
		}
	}
	return v
}

// cold judges rule 4: the set-ups that all managers together send to a box that has just started stay
// within the multiple of its rising pace, in every window of the stated length.
func cold(entries []Entry, tries []*attempt, b *Bounds) Verdict {
	v := Verdict{Rule: 4, Name: "a cold box is not pushed over"}
	t := &b.Site.Terms
	sent := map[string][]Time{}
	for _, a := range tries {
		sent[a.box] = append(sent[a.box], a.from)
	}
	for _, e := range entries {
		if e.Kind != Began || e.Started == 0 {
			continue
		}
		var window []Time
		for _, at := range sent[e.Place] {
			if at < e.Started || at >= e.Started+t.WarmUp {
				continue
			}
			v.Judged++
			window = append(window, at)
			for window[0] <= at-t.ColdSpan {
				window = window[1:]
			}
			warmth := t.ColdShare + (1-t.ColdShare)*float64(at-e.Started)/float64(t.WarmUp)
			if may := max(mediabox.MaxColdSetups(b.Places, t.WarmUp, t.ColdSpan, t.ColdMultiple, warmth), 1); float64(len(window)) > may {
				v.fail("%s: %d set-ups within %.1f s, %.1f s after its start; %.1f may be", e.Place, len(window),
					seconds(t.ColdSpan), seconds(at-e.Started), may)
			}
		}
	}
	return v
}

// terms judges rule 5: no rung under a plan's floor, and at no manager more playbacks of one title and plan
// than there are seats.
func terms(entries []Entry, tries []*attempt, b *Bounds) Verdict {
	v := Verdict{Rule: 5, Name: "floors and seats are kept"}
	plans := map[int]string{}
	for _, e := range entries {
		if e.Player || e.Kind != Asks || !e.FromFront || e.Rung < 0 {
			continue
		}
		if e.Plan == "" {
			e.Plan = plans[e.Conn]
		}
		plans[e.Conn] = e.Plan
		if _, p := b.plan(e.Plan); p.Floor > 0 {
			v.Judged++
			if e.Rung < p.Floor {
				v.fail("%s at %s: rung %d under the floor %d of %s", e.Request, e.Place, e.Rung, p.Floor, e.Plan)
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
			held[k] = append(held[k], change{a.from, 1, a}, change{max(a.until-b.Slack, a.from), -1, a})
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
					v.fail("%s: %d playbacks of %s at %s, %d seats", c.a.request, n, k[2], k[0], p.Seats)
				}
			}
		}
	}
	slices.Sort(v.Broken)
	return v
}

// stands are the times over which each manager stood still, by when they began. A kill ends it.
func stands(entries []Entry) map[string][][2]Time {
	all := map[string][][2]Time{}
	for _, e := range entries {
		switch e.Kind {
		case Stood:
			all[e.Place] = append(all[e.Place], [2]Time{e.At, e.Until})
		case Killed:
			for i := range all[e.Place] {
				s := &all[e.Place][i]
				s[1] = min(s[1], max(e.At, s[0]))
			}
		}
	}
	return all
}

// takenAt is when a manager took what reached it at a time: at once, or as it went on after it had stood still.
func takenAt(stood [][2]Time, at Time) Time {
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
func budget(entries []Entry, tries []*attempt, players []*asked, b *Bounds) Verdict {
	v := Verdict{Rule: 6, Name: "further tries stay within their budget"}
	t := &b.Site.Terms
	if !t.RetriesLimited {
		return v
	}
	outs := outages(entries)
	taken, stood := map[string][]Time{}, stands(entries)
	for _, p := range players {
		taken[p.front] = append(taken[p.front], takenAt(stood[p.front], p.at))
	}
	further := map[string][]Time{}
	for _, a := range tries { // a moved playback is taken anew
		if a.number == 0 && strings.Contains(a.request, "/m") {
			taken[a.front] = append(taken[a.front], a.opened)
		}
	}
	tries = slices.Clone(tries)
	slices.SortStableFunc(tries, func(a, b *attempt) int { return cmp.Compare(a.opened, b.opened) })
	for _, a := range tries {
		if a.number == 0 {
			continue
		}
		v.Judged++
		w := append(further[a.front], a.opened)
		since := a.opened - t.RetrySpan
		for _, o := range outs[a.front] {
			if o[0] <= a.opened {
				since = max(since, o[0])
			}
		}
		for w[0] <= since {
			w = w[1:]
		}
		further[a.front] = w
		n := 0
		for _, at := range taken[a.front] {
			if at > since-b.Slack-b.Travel && at <= a.opened {
				n++
			}
		}
		if may := t.FreeRetries + t.RetryShare*float64(n); float64(len(w)) > may {
			v.fail("%s: %d further tries within %.1f s, %.1f may be", a.front, len(w), seconds(t.RetrySpan), may)
		}
	}
	return v
}
