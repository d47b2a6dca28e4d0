package lab

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"pierlink/internal/standin/mediabox"
	"pierlink/session"
)

// Bounds are the figures of a day that the six rules are checked against.
type Bounds struct {
	Site           session.Site
	Plans          []string // names, in the site's order
	AbandonTimes   []Time
	DrainGrace     Time
	MaxSessions    int
	OrderTolerance Time // entries of different connections may be out of order by this much
	MaxTravel      Time // longest time that a request takes from a player to its manager
}

// Verdict is the result of one rule's checker. A rule without cases counts as not kept.
type Verdict struct {
	Rule       int
	Name       string
	Cases      int
	Violations []string
}

// Passed reports whether there were cases and none of them broke the rule.
func (v *Verdict) Passed() bool { return v.Cases > 0 && len(v.Violations) == 0 }

func (v *Verdict) addViolation(format string, a ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, a...))
}

// serverTry is one setup try as seen on a connection to a box.
type serverTry struct {
	requestID, front, box, plan, title string
	tryIndex                           int  // index among the tries of its playback
	connectedAt, startedAt, endedAt    Time // time that its connection opened; of its first SETUP; of its end
	rejected                           bool // 453 to its first SETUP, so nothing ran
	ended                              bool
	rung                               int
}

// playerRequest is one playback as seen on a player's connection.
type playerRequest struct {
	requestID, front, plan string
	sentAt                 Time
	status                 int
	answeredAt             Time
}

// CheckRules checks recorded traffic against the six rules and returns a verdict for each.
func CheckRules(t *Recording, b *Bounds) []Verdict {
	entries := slices.Clone(t.Entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	tries := findTries(entries)
	players := findPlayerRequests(entries)
	return []Verdict{checkAnswers(entries, b), checkSingleSetup(tries, players, b), checkDrains(entries, tries, b), checkColdStart(entries, tries, b),
		checkPlanTerms(entries, tries, b), checkRetryBudget(entries, tries, players, b)}
}

// findTries returns the tries: one for each connection to a box on which SETUP was sent.
func findTries(entries []Entry) []*serverTry {
	tryByConn, tryCount, closedConns, openedAt := map[int]*serverTry{}, map[string]int{}, map[int]bool{}, map[int]Time{}
	var tries []*serverTry
	firstCSeq := map[int]int{}
	for _, e := range entries {
		if e.Kind == ProcessKilled { // the tries that ran there have ended
			for _, try := range tries {
				if try.box == e.Host && !try.ended {
					try.endedAt, try.ended = e.At, true
				}
			}
		}
		if e.Player || e.ConnID == 0 {
			continue
		}
		if e.Kind == ConnOpened {
			openedAt[e.ConnID] = e.At
		}
		try := tryByConn[e.ConnID]
		if e.Kind == ConnClosed {
			closedConns[e.ConnID] = true
		}
		switch {
		case e.Kind == RequestSent && e.FromFront && e.Method == "SETUP" && try == nil:
			try = &serverTry{requestID: e.RequestID, front: e.Front, box: e.Host, plan: e.Plan, title: e.Title, startedAt: e.At, connectedAt: e.At,
				endedAt: farFuture, tryIndex: tryCount[e.RequestID], rung: e.Rung}
			if at, ok := openedAt[e.ConnID]; ok {
				try.connectedAt = at
			}
			tryCount[e.RequestID]++
			tryByConn[e.ConnID], firstCSeq[e.ConnID] = try, e.CSeq
			tries = append(tries, try)
			if closedConns[e.ConnID] { // the SETUP was in flight to a box that had ended
				try.endedAt, try.ended = e.At, true
			}
		case try == nil || try.ended:
		case e.Kind == RequestSent && e.FromFront && e.Method == "TEARDOWN", e.Kind == ConnClosed:
			try.endedAt, try.ended = e.At, true
		case e.Kind == ResponseSent && !e.FromFront && e.Status >= 300 && e.CSeq <= firstCSeq[e.ConnID]+8:
			try.endedAt, try.ended = e.At, true
			try.rejected = e.Status == 453 && e.CSeq == firstCSeq[e.ConnID]
		}
	}
	return tries
}

const farFuture = Time(1) << 60

func findPlayerRequests(entries []Entry) []*playerRequest {
	byID := map[string]*playerRequest{}
	var requests []*playerRequest
	for _, e := range entries {
		if !e.Player || e.RequestID == "" {
			continue
		}
		request := byID[e.RequestID]
		if e.Kind == RequestSent && e.Method == "SETUP" && request == nil {
			request = &playerRequest{requestID: e.RequestID, front: e.Front, plan: e.Plan, sentAt: e.At}
			byID[e.RequestID] = request
			requests = append(requests, request)
		}
		if e.Kind == ResponseSent && request != nil && (request.status == 0 || request.status == 401) { // after 401 the player repeats its request with credentials
			request.status, request.answeredAt = e.Status, e.At
		}
	}
	return requests
}

func (b *Bounds) plan(name string) (int, *session.Plan) {
	i := slices.Index(b.Plans, name)
	if i < 0 {
		return -1, &session.Plan{}
	}
	return i, &b.Site.Plans[i]
}

// checkAnswers checks rule 1: each request gets exactly one answer, a SETUP before the abandon time, unless the
// player left first, the manager was killed or the network broke the connection.
func checkAnswers(entries []Entry, b *Bounds) Verdict {
	v := Verdict{Rule: 1, Name: "every playback taken gets one answer in time"}
	type pendingRequest struct {
		Entry
		n int
	}
	type playerConn struct {
		open  []*pendingRequest
		known map[int]*pendingRequest
	}
	conns := map[int]*playerConn{}
	outageTimes := outages(entries)
	pauseTimes := pauses(entries)
	// A manager that was paused during the last quarter of the abandon time could not answer; one that resumed
	// before it could.
	unavailable := func(request *pendingRequest, until Time) bool {
		i, _ := b.plan(request.Plan)
		return slices.ContainsFunc(outageTimes[request.Front], func(interval [2]Time) bool {
			return interval[0] <= until+b.OrderTolerance && interval[1] >= request.At-b.OrderTolerance
		}) ||
			i >= 0 && slices.ContainsFunc(pauseTimes[request.Front], func(interval [2]Time) bool {
				return interval[0] <= request.At+b.AbandonTimes[i]+b.OrderTolerance && interval[1] >= request.At+b.AbandonTimes[i]*3/4-b.OrderTolerance
			})
	}
	isLate := func(request *pendingRequest, at Time) bool {
		i, _ := b.plan(request.Plan)
		return request.Method == "SETUP" && i >= 0 && at > request.At+b.AbandonTimes[i]
	}
	for _, e := range entries {
		if !e.Player {
			continue
		}
		conn := conns[e.ConnID]
		if conn == nil {
			conn = &playerConn{known: map[int]*pendingRequest{}}
			conns[e.ConnID] = conn
		}
		switch {
		case e.Kind == RequestSent && !e.FromFront:
			if conn.known[e.CSeq] == nil {
				request := &pendingRequest{Entry: e}
				conn.known[e.CSeq] = request
				conn.open = append(conn.open, request)
			}
		case e.Kind == ResponseSent && e.FromFront:
			request := conn.known[e.CSeq]
			if request == nil {
				v.addViolation("%s: answer %d to nothing that was asked (CSeq %d)", e.RequestID, e.Status, e.CSeq)
				continue
			}
			if request.n++; request.n > 1 {
				v.addViolation("%s: %s answered %d times", request.RequestID, request.Method, request.n)
			}
			if isLate(request, e.At) && !unavailable(request, e.At) {
				v.addViolation("%s: answered %.3f s after it was asked", request.RequestID, seconds(e.At-request.At))
			}
			if request.Method == "SETUP" && request.n == 1 {
				v.Cases++
			}
		case e.Kind == ConnClosed:
			for _, request := range conn.open {
				if request.n > 0 || request.Method != "SETUP" {
					continue
				}
				if !e.NetworkBroken && !(e.ClosedLocally && !isLate(request, e.At+1)) && !unavailable(request, e.At) {
					v.Cases++
					v.addViolation("%s: never answered (%.3f s)", request.RequestID, seconds(e.At-request.At))
				}
			}
			delete(conns, e.ConnID)
		}
	}
	for _, conn := range conns {
		for _, request := range conn.open {
			if request.n == 0 && request.Method == "SETUP" {
				v.addViolation("%s: not answered by the end of the tape", request.RequestID)
			}
		}
	}
	return v
}

// outages returns, for each process, the intervals in which it did not run.
func outages(entries []Entry) map[string][][2]Time {
	intervals := map[string][][2]Time{}
	for _, e := range entries {
		own := intervals[e.Host]
		switch {
		case e.Kind == ProcessKilled:
			intervals[e.Host] = append(own, [2]Time{e.At, farFuture})
		case e.Kind == ProcessStarted && len(own) > 0:
			own[len(own)-1][1] = e.At
		}
	}
	return intervals
}

func seconds(t Time) float64 { return float64(t) / 1e6 }

// checkSingleSetup checks rule 2: one try at a time, and for plans paid at set-up no further try and no rejection
// unless no earlier try can have run.
func checkSingleSetup(tries []*serverTry, players []*playerRequest, b *Bounds) Verdict {
	v := Verdict{Rule: 2, Name: "no set-up happens twice"}
	triesByRequest := map[string][]*serverTry{}
	for _, try := range tries {
		triesByRequest[try.requestID] = append(triesByRequest[try.requestID], try)
	}
	requestByID := map[string]*playerRequest{}
	for _, request := range players {
		requestByID[request.requestID] = request
	}
	for _, try := range tries { // in the order of the recording
		requestTries := triesByRequest[try.requestID]
		if try.tryIndex > 0 {
			v.Cases++
			if previous := requestTries[try.tryIndex-1]; previous.endedAt > try.startedAt+b.OrderTolerance {
				v.addViolation("%s: try %d at %s while one at %s is out for %.3f s more", try.requestID, try.tryIndex, try.box, previous.box, seconds(min(previous.endedAt, try.startedAt+1e12)-try.startedAt))
			}
		}
		_, plan := b.plan(try.plan)
		if plan.Repeat != session.Unsafe || try.tryIndex != len(requestTries)-1 {
			continue
		}
		v.Cases++
		mayHaveRun := 0
		playerSide := requestByID[try.requestID]
		for _, t := range requestTries {
			if !t.rejected && (playerSide == nil || playerSide.status != 200 || t.startedAt <= playerSide.answeredAt) {
				mayHaveRun++
			}
		}
		if mayHaveRun > 1 {
			v.addViolation("%s: sent again though a try may have run", try.requestID)
		}
		if playerSide != nil && mayHaveRun > 0 && (playerSide.status == 453 || playerSide.status == 503) {
			v.addViolation("%s: refused though a try may have run", try.requestID)
		}
	}
	return v
}

// checkDrains checks rule 3: no new try at a box later than the grace period after the manager was notified that it
// drains or is gone.
func checkDrains(entries []Entry, tries []*serverTry, b *Bounds) Verdict {
	v := Verdict{Rule: 3, Name: "drains are kept"}
	type notification struct {
		at    Time
		state session.ServerState
	}
	notifications := map[[2]string][]notification{}
	for _, e := range entries {
		if e.Kind == StateNotified {
			key := [2]string{e.Front, e.Host}
			notifications[key] = append(notifications[key], notification{e.At, e.State})
			if e.State != session.Ready {
				v.Cases++
			}
		}
	}
	for _, try := range tries {
		var drainingSince Time = -1 // time of the notification; -1 if the box is not known to drain
		for _, notice := range notifications[[2]string{try.front, try.box}] {
			switch {
			case notice.at > try.startedAt:
			case notice.state == session.Ready:
				drainingSince = -1
			case drainingSince < 0:
				drainingSince = notice.at
			}
		}
		if drainingSince >= 0 && try.startedAt > drainingSince+b.DrainGrace+b.OrderTolerance {
			v.addViolation("%s: try at %s %.3f s after %s was told", try.requestID, try.box, seconds(try.startedAt-drainingSince), try.front)
		}
	}
	return v
}

// checkColdStart checks rule 4: the set-ups that all managers together send to a box that has just started stay
// within ColdMultiple times its growing capacity, in every window of ColdSpan.
func checkColdStart(entries []Entry, tries []*serverTry, b *Bounds) Verdict {
	v := Verdict{Rule: 4, Name: "a cold box is not pushed over"}
	terms := &b.Site.Terms
	setupTimes := map[string][]Time{}
	for _, try := range tries {
		setupTimes[try.box] = append(setupTimes[try.box], try.startedAt)
	}
	for _, e := range entries {
		if e.Kind != ProcessStarted || e.Started == 0 {
			continue
		}
		var window []Time
		for _, at := range setupTimes[e.Host] {
			if at < e.Started || at >= e.Started+terms.WarmUp {
				continue
			}
			v.Cases++
			window = append(window, at)
			for window[0] <= at-terms.ColdSpan {
				window = window[1:]
			}
			warmth := terms.ColdShare + (1-terms.ColdShare)*float64(at-e.Started)/float64(terms.WarmUp)
			if allowed := max(mediabox.MaxColdSetups(b.MaxSessions, terms.WarmUp, terms.ColdSpan, terms.ColdMultiple, warmth), 1); float64(len(window)) > allowed {
				v.addViolation("%s: %d set-ups within %.1f s, %.1f s after its start; %.1f may be", e.Host, len(window),
					seconds(terms.ColdSpan), seconds(at-e.Started), allowed)
			}
		}
	}
	return v
}

// checkPlanTerms checks rule 5: no rung below a plan's floor, and at no manager more playbacks of one title and plan
// than there are seats.
func checkPlanTerms(entries []Entry, tries []*serverTry, b *Bounds) Verdict {
	v := Verdict{Rule: 5, Name: "floors and seats are kept"}
	planByConn := map[int]string{}
	for _, e := range entries {
		if e.Player || e.Kind != RequestSent || !e.FromFront || e.Rung < 0 {
			continue
		}
		if e.Plan == "" {
			e.Plan = planByConn[e.ConnID]
		}
		planByConn[e.ConnID] = e.Plan
		if _, plan := b.plan(e.Plan); plan.Floor > 0 {
			v.Cases++
			if e.Rung < plan.Floor {
				v.addViolation("%s at %s: rung %d under the floor %d of %s", e.RequestID, e.Host, e.Rung, plan.Floor, e.Plan)
			}
		}
	}
	type change struct {
		at  Time
		by  int
		try *serverTry
	}
	seatChanges := map[[3]string][]change{}
	for _, try := range tries {
		if _, plan := b.plan(try.plan); plan.Seats > 0 {
			key := [3]string{try.front, try.plan, try.title}
			seatChanges[key] = append(seatChanges[key], change{try.startedAt, 1, try}, change{max(try.endedAt-b.OrderTolerance, try.startedAt), -1, try})
		}
	}
	for key, changes := range seatChanges {
		slices.SortStableFunc(changes, func(x, y change) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.by, y.by)) })
		_, plan := b.plan(key[1])
		seatsUsed := 0
		for _, change := range changes {
			seatsUsed += change.by
			if change.by > 0 {
				v.Cases++
				if seatsUsed > plan.Seats {
					v.addViolation("%s: %d playbacks of %s at %s, %d seats", change.try.requestID, seatsUsed, key[2], key[0], plan.Seats)
				}
			}
		}
	}
	slices.Sort(v.Violations)
	return v
}

// pauses returns the intervals in which each manager was paused, by start time. A kill ends a pause.
func pauses(entries []Entry) map[string][][2]Time {
	intervals := map[string][][2]Time{}
	for _, e := range entries {
		switch e.Kind {
		case ProcessPaused:
			intervals[e.Host] = append(intervals[e.Host], [2]Time{e.At, e.Until})
		case ProcessKilled:
			for i := range intervals[e.Host] {
				interval := &intervals[e.Host][i]
				interval[1] = min(interval[1], max(e.At, interval[0]))
			}
		}
	}
	return intervals
}

// receivedAt returns when a manager handled what reached it at a time: at once, or when it resumed after a pause.
func receivedAt(pauseTimes [][2]Time, at Time) Time {
	for _, pause := range pauseTimes {
		if pause[0] <= at && at < pause[1] {
			at = pause[1]
		}
	}
	return at
}

// checkRetryBudget checks rule 6: in any window of RetrySpan a manager's further tries stay within FreeRetries plus
// RetryShare of the playbacks that it accepted. A manager that was killed starts counting anew, as it cannot know of
// its earlier tries. A try counts from the opening of its connection, which is when it was decided: a manager that is
// then paused sends its SETUP later.
func checkRetryBudget(entries []Entry, tries []*serverTry, players []*playerRequest, b *Bounds) Verdict {
	v := Verdict{Rule: 6, Name: "further tries stay within their budget"}
	terms := &b.Site.Terms
	if !terms.RetriesLimited {
		return v
	}
	outageTimes := outages(entries)
	acceptedAt, pauseTimes := map[string][]Time{}, pauses(entries)
	for _, request := range players {
		acceptedAt[request.front] = append(acceptedAt[request.front], receivedAt(pauseTimes[request.front], request.sentAt))
	}
	retryTimes := map[string][]Time{}
	for _, try := range tries { // a moved playback counts as accepted again
		if try.tryIndex == 0 && strings.Contains(try.requestID, "/m") {
			acceptedAt[try.front] = append(acceptedAt[try.front], try.connectedAt)
		}
	}
	tries = slices.Clone(tries)
	slices.SortStableFunc(tries, func(x, y *serverTry) int { return cmp.Compare(x.connectedAt, y.connectedAt) })
	for _, try := range tries {
		if try.tryIndex == 0 {
			continue
		}
		v.Cases++
		window := append(retryTimes[try.front], try.connectedAt)
		since := try.connectedAt - terms.RetrySpan
		for _, outage := range outageTimes[try.front] {
			if outage[0] <= try.connectedAt {
				since = max(since, outage[0])
			}
		}
		for window[0] <= since {
			window = window[1:]
		}
		retryTimes[try.front] = window
		accepted := 0
		for _, at := range acceptedAt[try.front] {
			if at > since-b.OrderTolerance-b.MaxTravel && at <= try.connectedAt {
				accepted++
			}
		}
		if allowed := terms.FreeRetries + terms.RetryShare*float64(accepted); float64(len(window)) > allowed {
			v.addViolation("%s: %d further tries within %.1f s, %.1f may be", try.front, len(window), seconds(terms.RetrySpan), allowed)
		}
	}
	return v
}
