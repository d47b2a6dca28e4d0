// Package policy decides for one session manager where each playback goes, at which rung it plays, when it
// is rejected, moved or stepped. A door (cmd/adapter today) calls it: At, the event methods, then Settle.
// session/session.go defines that interface. docs/design.md says which rule comes from which source.
package policy

import (
	"math"
	"slices"

	"pierlink/session"
)

// Tuned values; each is a share or a multiple of something that the site tells.
const (
	maxOpenFill        = 0.90                // the design's mark: a stream opens where it leaves the link under this
	maxFloorFill       = 0.86                // at the lowest rung a playback is still taken up to here
	markReduction      = 0.50                // how much lower the mark lies for the rungs that earn least for their rate
	shortageFill       = 1.03                // from here on streams step down
	reliefFill         = 0.97                // and go on until the link is asked so much
	stepUpMargin       = 0.04                // stepping up leaves so much more free than opening does
	newReadingWeight   = 0.50                // weight of a new reading against what was expected of it
	minMeanWeight      = 0.05                // weight of one reading in what is usual of such links, at the least
	fillJitter         = 0.08                // chance added to the fill, so that fronts do not all pick the same server
	titleJitter        = 0.30                // the same for live titles, but equal at all fronts
	probeBudget        = 0.01                // probes may cost this part of the whole result
	coldBudgetShare    = 0.75                // of the cold budget, for the unknown shape of the ramp
	stepUpPayback      = 2.0                 // a step up must earn its cost so many times
	bucketsPerSpan     = 8                   // of a ring's span
	historyBuckets     = 32                  // buckets of a gauge's own past
	tenantRateSpan     = 10 * session.Second // over which a tenant's rate is held against its share
	minPriceShare      = 0.50                // the price of room stays over this part of what the densest floor earns
	priceSmoothing     = 0.03                // and follows the best step left untaken so fast, a tick
	surpriseFill       = 0.25                // a short note that tells of so much more than was known counts at once
	assumedFill        = 0.60                // fill of a link not heard of, to a manager just back, at the least
	feedbackNoteDelays = 2                   // note delays until a step, or the end of a shortage, shows in the readings
	fullDelivery       = 0.98                // share of its rate from which a playback loses nothing
	maxPlanGap         = 0.30                // so far behind the others a plan counts as the worst in full
	surgeDeviations    = 2                   // times what one front's set-ups differ by chance
	maxUplinkFactor    = 2                   // an untold uplink is taken to give so many times the mean at most
	never              = math.MinInt64 / 4   // a moment long before any clock
)

const (
	answerNone = iota
	answerReject
	answerAbort
)

// New returns the decision module of one front.
func New(site *session.Site, seed uint64, now Time) session.Manager {
	f := newFront(site, seed, now)
	for i, plan := range site.Plans {
		f.maxFloorDensity = max(f.maxFloorDensity, plan.Revenue*f.rungRevenue(plan.Floor)/f.rateKB(i, plan.Floor))
		f.capacityPrice, f.longestStartup = f.maxFloorDensity, max(f.longestStartup, plan.Startup)
	}
	f.meanPlaybackTime, f.watchAt = 2*float64(site.Terms.WarmUp), never
	if site.ListOnRequest {
		f.watchAt = now
	}
	f.wakeAt, f.assumeColdUntil = now+1, now+site.Terms.WarmUp
	return f
}

// fill is what is asked of the link, in parts of what it gives. What the others ask is the latest reading,
// which fades to what is usual as their playbacks end; of a link not heard of it is the usual.
func (e *loadEstimate) fill(f *front) float64 {
	weight := e.freshness(f)
	return max(e.othersFill*weight+e.typicalOthers(f)*(1-weight), 0) + e.ownKB/e.capacityKB
}

// others is what other fronts usually ask; of an uplink that no report tells it is what its links are asked.
func (e *loadEstimate) typicalOthers(f *front) float64 {
	if !f.Fleet.UplinkUntold || e.typical != &f.typicalUplinks {
		return e.typical.fill(f)
	}
	kb := -e.ownKB
	for _, i := range e.servers {
		if server := &f.servers[i]; server.entry.State != session.Gone {
			kb += server.link.fill(f) * server.link.capacityKB
		}
	}
	return max(kb, 0) / e.capacityKB
}

// fit takes an uplink that no report tells of to give what makes its links' asking come to a fill of x.
func (e *loadEstimate) fitCapacity(f *front, fill float64) {
	e.capacityKB = min(max(e.capacityKB*e.fill(f)/fill, f.Fleet.UplinkKB/maxUplinkFactor), f.Fleet.UplinkKB*maxUplinkFactor)
}

// widen takes such an uplink for wider while none of this front's playbacks behind it is told to be short.
func (f *front) widenUplink(uplink *loadEstimate, tick Time) {
	if !f.Fleet.UplinkUntold || uplink.ownKB == 0 || f.now-uplink.shortageAt < feedbackNoteDelays*f.Fleet.NoteDelay+session.Second {
		return
	}
	fill := uplink.fill(f)
	uplink.fitCapacity(f, min(fill, 1)/(1+float64(tick)/f.meanPlaybackTime))
}

// fresh is how much the last reading still tells.
func (e *loadEstimate) freshness(f *front) float64 {
	if !e.measured {
		return 0
	}
	return f.meanPlaybackTime / (f.meanPlaybackTime + float64(f.now-e.readAt))
}

// fill is the mean of what others ask; unheard, as this front asks, within limits: it may have few playbacks.
func (d *typicalDemand) fill(f *front) float64 {
	if d.readings > 0 {
		return d.meanFill
	}
	estimate := d.ownKB * float64(f.Fronts-1) / d.capacityKB
	if f.assumeColdUntil != never || estimate > assumedFill {
		return assumedFill
	}
	return estimate
}

// read takes a reading of the fill as it was at a moment past.
func (e *loadEstimate) addReading(f *front, fill float64, asOf Time) {
	oldWeight, typical := (1-newReadingWeight)*e.freshness(f), e.typical
	fill -= e.ownHistory.At(f.now, asOf) / e.capacityKB
	dt := float64(f.now - typical.readAt)
	typical.meanFill = typical.fill(f) + (fill-typical.fill(f))*max(minMeanWeight, dt/(dt+f.meanPlaybackTime/4), 1/(2+typical.readings))
	typical.readings++
	typical.readAt = f.now
	e.othersFill, e.measured, e.readAt = (1-oldWeight)*fill+oldWeight*e.othersFill, true, f.now
}

// newsSpan is how old news of a link may be before the next comes.
func (f *front) maxReadingAge() Time {
	return f.Fleet.NoteDelay + max(f.Fleet.NoteEvery, feedbackNoteDelays*f.Fleet.NoteDelay)
}

// At begins a turn. One that comes late finds news that is older than it looks.
func (f *front) At(now Time) {
	f.now, f.turnDelay = now, max(now-f.wakeAt, 0)
	// A rush meets all fronts at once, whatever its cause, before a reading shows it: what this front set up of
	// late beyond what ended, less a few by chance, the others are taken to have set up too.
	rungKB := f.Ladder.RateKB[len(f.Ladder.RateKB)/2]
	expected := f.typicalLinks.ownKB / rungKB * float64(f.maxReadingAge()) / f.meanPlaybackTime
	excess := f.recentSetupKB.LowerBound(now)/rungKB - expected - surgeDeviations*math.Sqrt(expected+1)
	f.unreportedFill = max(excess, 0) * rungKB * float64(f.Fronts-1) / f.Fleet.LinksKB
}

// Listed follows the list of servers.
func (f *front) Listed(list session.List) {
	if list.Failed {
		if f.ListOnRequest {
			f.watchAt = f.now + f.Terms.AskWithin/4
		}
		return
	}
	if list.Whole && f.StartsTold { // which servers are cold is known from here on
		f.assumeColdUntil = min(f.assumeColdUntil, f.now)
	}
	for i := 0; list.Whole && i < len(f.servers); i++ {
		f.servers[i].entry.State = session.Gone
	}
	for _, entry := range list.Entries {
		server := f.server(entry.Server)
		previous := server.entry
		f.setEntry(server, entry)
		if entry.Started > 0 && entry.Started != previous.Started && entry.Started+f.Terms.WarmUp > f.now {
			// a restart: what was known of the process is void, and all managers hear of it at once
			server.coldUntil, server.coldListed = entry.Started+f.Terms.WarmUp, true
			server.suspendedUntil, server.suspensions, server.halfOpen = 0, 0, false
			server.link.othersFill, server.link.measured, server.link.readAt = 0, true, f.now // it comes back empty
			if f.now-f.startedAt < f.Terms.FallSpan {
				server.recentTries.Add(f.now, f.coldBudget(server)) // just back: what it sent before is forgotten
			}
		}
	}
	totalPlaces := 0.0
	for i := range f.servers {
		totalPlaces += f.Fleet.Places[f.servers[i].entry.Kind]
	}
	for i := range f.servers {
		server := &f.servers[i]
		server.link.capacityKB = f.Fleet.LinksKB * f.Fleet.Places[server.entry.Kind] / totalPlaces
		if listedKB := server.entry.Weight * f.Fleet.KBPerWeight; f.Fleet.WeightsTold && listedKB > 0 {
			server.link.capacityKB = listedKB
		}
	}
}

// coldBudget is this front's share of what a cold server takes within the span of the rule. Under one
// set-up the fronts take turns, counted from its start, and use half a turn: no span sees more than are due.
func (f *front) coldBudget(server *serverState) float64 {
	terms := &f.Terms
	capacityShare := 1 - (1-terms.ColdFrom)*float64(max(server.coldUntil, f.assumeColdUntil)-f.now)/float64(terms.WarmUp)
	fleetBudget := coldBudgetShare * f.Fleet.Places[server.entry.Kind] / float64(terms.WarmUp) * float64(terms.FallSpan) * terms.FallMultiple
	budget := fleetBudget * min(max(capacityShare, terms.ColdFrom), 1) / float64(f.Fronts)
	if budget >= 1 || !server.coldListed {
		return max(budget, 1)
	}
	turn := float64(f.now-server.entry.Started) / float64(terms.FallSpan) * (max(math.Floor(fleetBudget*terms.ColdFrom), 1) - 0.5)
	if turnNumber := int(turn); turn-float64(turnNumber) < 0.5 && (turnNumber+server.entry.Cell)%f.Fronts == f.Front {
		return 1
	}
	return budget
}

// usable tells whether a set-up may go to the server now.
func (f *front) acceptsTry(srv int) bool {
	server := &f.servers[srv]
	if server.entry.State != session.Ready || f.now < server.suspendedUntil || server.halfOpen && server.pendingTries > 0 {
		return false
	}
	// A manager that has just come back cannot know which servers are cold, unless it was handed playbacks.
	return f.now >= max(server.coldUntil, f.assumeColdUntil) || server.recentTries.Most(f.now)+1 <= f.coldBudget(server)
}

// fullness is the tighter of link and uplink once kb more are asked.
func (f *front) fillWith(server *serverState, kb float64) float64 {
	uplink, link := &f.uplinks[server.rack], server.link.capacityKB
	if f.now < server.coldUntil {
		link *= f.Terms.ColdFrom
	}
	unreportedShare := min(float64(f.now-server.link.readAt)/float64(f.maxReadingAge()), 1)
	return max(server.link.fill(f)+kb/link, uplink.fill(f)+kb/uplink.capacityKB) + f.unreportedFill*unreportedShare
}

// mark is how full a link may get by a step that earns so much for the rate it adds: it leaves room for steps
// that earn more and for viewers still to come.
func (f *front) fillMark(density float64) float64 {
	return maxOpenFill * (1 - markReduction*(1-min(1, density/f.capacityPrice)))
}

// revenue is a plan's, less what the tenant's traffic beyond its share is not worth.
func (f *front) revenue(pb *playback) float64 {
	revenue := f.Plans[pb.Plan].Revenue * f.planStats[pb.Plan].weight
	if pb.Tenant < len(f.tenantRequests) {
		requests := &f.tenantRequests[pb.Tenant]
		seconds := float64(max(min(tenantRateSpan, f.now-f.startedAt), session.Second)) / float64(session.Second)
		requestRate := requests.LowerBound(f.now) / seconds * float64(f.Fronts)
		if quota := f.Site.Tenants[pb.Tenant].QuotaPerS; requestRate > quota && quota > 0 {
			revenue *= quota/requestRate + (1-quota/requestRate)*f.Prices.OverShare
		}
	}
	return revenue
}

// openRung is the best rung for opening at a server, -1 if none fits.
func (f *front) openRung(pb *playback, server *serverState) int {
	plan := &f.Plans[pb.Plan]
	viewers := max(float64(f.liveViewers+1)/float64(f.liveStreams+1), 2) // it is opened for one more at least
	for rung := pb.Top; rung > plan.Floor; rung-- {
		kb := f.rateKB(pb.Plan, rung)
		addedKB := kb - f.rateKB(pb.Plan, rung-1)
		if plan.Live { // others are still to join it, as many as this front has seen come together
			addedKB *= (1 + f.Ladder.Join*(viewers-1)) / viewers
		}
		if f.fillWith(server, kb) <= f.fillMark((f.rungRevenue(rung)-f.rungRevenue(rung-1))*f.revenue(pb)/addedKB) {
			return rung
		}
	}
	if f.fillWith(server, f.rateKB(pb.Plan, plan.Floor)) <= maxFloorFill {
		return plan.Floor
	}
	return -1
}

// can tells whether the next try of a playback may go to a server.
func (f *front) mayTry(pb *playback, srv int) bool {
	return !slices.Contains(pb.triedServers, srv) && f.holdsTitle(pb, &f.servers[srv]) && f.mayRepeatOn(pb, srv) && f.acceptsTry(srv)
}

// place finds a server and a rung: a running stream to join, else the roomiest holder, local ones first.
func (f *front) place(pb *playback) (srv, rung int, remote bool) {
	var joinable *streamState
	var lowestFill float64
	for i := range f.servers {
		server := &f.servers[i]
		if !f.Plans[pb.Plan].Live || !f.mayTry(pb, i) {
			continue
		}
		for _, stream := range server.streams {
			if stream.title != pb.Title || stream.plan != pb.Plan || stream.rung > pb.Top || server.entry.Zone != f.Zone && !stream.openedRemote {
				continue
			}
			kb := f.rateKB(pb.Plan, stream.rung) * f.Ladder.Join
			fill := f.fillWith(server, kb)
			if fill <= reliefFill && // it asks a part of what one more stream would
				(joinable == nil || joinable.openedRemote && !stream.openedRemote || joinable.openedRemote == stream.openedRemote &&
					(stream.rung > joinable.rung || stream.rung == joinable.rung && fill < lowestFill)) {
				joinable, lowestFill = stream, fill
			}
		}
	}
	if joinable != nil && !joinable.openedRemote {
		return joinable.server, joinable.rung, false
	}
	if joinable != nil && float64(len(joinable.members)) < f.maxRemoteViewers() {
		return joinable.server, joinable.rung, true
	}
	if srv, rung = f.findServer(pb, true); rung >= 0 {
		if joinable != nil && f.Prices.CrossZone > f.Prices.Move {
			for _, member := range joinable.members { // they come back as requests and join the local stream
				member.wantMove = member.playing && f.Plans[member.Plan].Repeat != session.Unsafe // it would be paid again
				f.markDirty(member)
			}
		}
		return srv, rung, false
	}
	if joinable != nil {
		return joinable.server, joinable.rung, true
	}
	if remoteSrv, remoteRung := f.findServer(pb, false); remoteRung >= 0 || srv < 0 {
		return remoteSrv, remoteRung, true
	}
	return srv, rung, false
}

// goHome is the paper's mark 2(1-c)/c. Its c is the price of crossing zones against that and what the room
// of one more stream would earn at the lowest rung.
func (f *front) maxRemoteViewers() float64 {
	c := f.Prices.CrossZone / (f.Prices.CrossZone + f.rungRevenue(0)) // 0 without a price: never
	return 2 * (1 - c) / c
}

// open finds the roomiest holder of the zone, or of the others, and a new stream's rung, -1 if none fits.
func (f *front) findServer(pb *playback, local bool) (srv, rung int) {
	srv = -1
	var lowestFill float64
	for i := range f.servers {
		server := &f.servers[i]
		if (server.entry.Zone == f.Zone) != local || !f.mayTry(pb, i) {
			continue
		}
		fill := f.fillWith(server, f.rateKB(pb.Plan, f.Plans[pb.Plan].Floor))
		if f.Plans[pb.Plan].Live { // all fronts lean to the same holders, where their viewers share
			fill += titleJitter * titleCellHash(pb.Show, server.entry.Cell)
		} else {
			fill += fillJitter * f.random()
		}
		if srv < 0 || fill < lowestFill {
			srv, lowestFill = i, fill
		}
	}
	if srv < 0 {
		return -1, -1
	}
	return srv, f.openRung(pb, &f.servers[srv])
}

// may keeps keyed plans within their scope once a try may have run.
func (f *front) mayRepeatOn(pb *playback, srv int) bool {
	plan := &f.Plans[pb.Plan]
	if plan.Repeat == session.Harmless || pb.mayHaveRunOn < 0 {
		return true
	}
	ranEntry, entry := &f.servers[pb.mayHaveRunOn].entry, &f.servers[srv].entry
	return plan.Repeat == session.Keyed && f.now-pb.mayHaveRunSince < plan.Window &&
		(plan.Scope == session.Everywhere || plan.Scope == session.SameZone && ranEntry.Zone == entry.Zone ||
			plan.Scope == session.SameCell && ranEntry.Cell == entry.Cell)
}

func (f *front) Requested(request session.Request) {
	pb := f.addPlayback(request)
	f.recentRequests.Add(f.now, 1)
	if pb.Tenant < len(f.tenantRequests) {
		f.tenantRequests[pb.Tenant].Add(f.now, 1)
	}
	f.decide(pb)
}

// decide sends a playback that has no try out, or answers it.
func (f *front) decide(pb *playback) {
	f.markDirty(pb)
	plan := &f.Plans[pb.Plan]
	seatKey := [2]int{pb.Plan, pb.Title}
	timeLeft := pb.Abandon - f.now
	seatFree := plan.Seats == 0 || f.seats[seatKey] < plan.Seats
	triesLeft := pb.tries == 0 || pb.tries < f.Terms.MaxTries && f.retryBudgetLeft()
	if pb.Top >= plan.Floor && seatFree && triesLeft && float64(timeLeft) > 2*f.meanSetupTime && timeLeft > 0 {
		srv, rung, remote := f.place(pb)
		if srv >= 0 && f.delayForProbe(pb, srv) { // before a rejection too
			return
		}
		if rung >= 0 {
			pb.wantServer, pb.wantRung = srv, rung
			f.attach(pb, srv, rung)
			if remote && len(pb.stream.members) == 1 {
				pb.stream.openedRemote = true
			}
			pb.tryTimeout = f.tryTimeout(pb)
			pb.tries++
			if pb.tries > 1 {
				f.recentRetries.Add(f.now, 1)
			}
			f.recentSetupKB.Add(f.now, f.rateKB(pb.Plan, rung))
			f.reserve(pb, srv)
			f.servers[srv].recentTries.Add(f.now, 1)
			return
		}
	}
	pb.wantAnswer = answerReject
	repeatUnsafe := plan.Repeat == session.Unsafe || plan.Repeat == session.Keyed && plan.Scope != session.Everywhere
	if pb.mayHaveRunOn >= 0 && repeatUnsafe {
		pb.wantAnswer = answerAbort
	}
}

// look holds a playback back for a probe of the server chosen, as its rung depends on load not heard of.
func (f *front) delayForProbe(pb *playback, srv int) bool {
	server := &f.servers[srv]
	if f.loadIsRecent(server) || pb.probeAwaited || !f.mayProbe() || f.now+f.longestStartup > pb.Abandon {
		return false
	}
	pb.probeAwaited = true
	server.awaitingProbe = append(server.awaitingProbe, pb)
	f.requestProbe(srv)
	return true
}

// heard tells whether the server's load was told lately enough to decide by.
func (f *front) loadIsRecent(server *serverState) bool {
	return f.now-server.link.readAt < f.Fleet.NoteDelay || f.Fleet.LoadInAnswers && 2*server.link.freshness(f) > 1
}

func (f *front) resumeWaiting(server *serverState) {
	waiting := server.awaitingProbe
	server.awaitingProbe = nil
	for _, pb := range waiting {
		if !pb.finished {
			f.decide(pb)
		}
	}
}

// probing tells whether probes tell load, and another one is within the playbacks' part for them.
func (f *front) mayProbe() bool {
	return f.Terms.Probes && f.Fleet.LoadInProbes &&
		f.probeCount < math.Floor(f.playbackCount*probeBudget/max(f.Prices.Probe, probeBudget/2))
}

func (f *front) requestProbe(srv int) {
	if server := &f.servers[srv]; !server.probePending {
		server.probePending, server.probeSentAt = true, f.now
		f.probeCount++
		f.wantProbes = append(f.wantProbes, srv)
	}
}

func (f *front) retryBudgetLeft() bool {
	terms := &f.Terms
	return !terms.Rationed || f.recentRetries.Most(f.now)+1 <= terms.FreeTries+terms.TryShare*f.recentRequests.LowerBound(f.now)
}

// limit leaves time for another try within the startup target, while there is one to be had.
func (f *front) tryTimeout(pb *playback) Time {
	if plan := &f.Plans[pb.Plan]; plan.Repeat == session.Unsafe { // the only one; its viewer hears when it is lost
		return plan.Startup
	}
	timeout := pb.Abandon - f.now
	if untilDeadline := pb.startupDeadline - f.now; float64(untilDeadline) > 4*f.meanSetupTime && untilDeadline > 0 {
		timeout = untilDeadline
	}
	if pb.tries+1 < f.Terms.MaxTries {
		timeout /= 2
	}
	return timeout
}

// Opened takes over a playback that plays already.
func (f *front) Opened(request session.Request, srv int) {
	pb := f.addPlayback(request)
	pb.tries, pb.active, pb.playing = 1, true, true
	f.attach(pb, srv, pb.currentRung)
	pb.wantRung, pb.stream.rungChangedAt, f.assumeColdUntil = pb.currentRung, never, never
	f.reserve(pb, srv)
	f.tryFinished(srv, true)
}

func (f *front) Playing(id, try, srv int, took Time) {
	pb := f.playbacks[id]
	if pb == nil || !pb.active || try != pb.tries-1 || pb.playing {
		return
	}
	pb.playing = true
	f.tryFinished(srv, true)
	f.meanSetupTime += (float64(took) - f.meanSetupTime) / 16
}

// answered notes that a setup try at a server has come to an end, well or not.
func (f *front) tryFinished(srv int, succeeded bool) {
	server := f.server(srv)
	server.pendingTries = max(server.pendingTries-1, 0)
	if !succeeded {
		return
	}
	if server.halfOpen && f.now >= server.coldUntil { // it may have restarted unseen; its list entry may be on the way
		server.coldUntil, server.coldListed = f.now+f.Terms.WarmUp, false
	}
	server.halfOpen, server.lastFailed = false, false
	server.suspensions /= 2
}

// strike keeps new work off a server that fails, resets or keeps silent, twice as long each time.
// It guards against whatever makes set-ups end badly there; it harms where single errors are common.
func (f *front) suspend(srv int, outcome session.Outcome) {
	server := f.server(srv)
	fault := outcome != session.TimedOut || f.turnDelay < f.longestStartup/4                 // or this late front was at fault
	if server.halfOpen = server.halfOpen || fault; fault && f.now >= server.suspendedUntil { // else the same trouble, told again
		server.suspendedUntil = f.now + f.longestStartup/2<<min(server.suspensions, 3)
		server.suspensions++
	}
}

// err strikes a server for an error only when it errs on two playbacks running, the second of which erred
// nowhere else: it guards against requests that no server can use. One that errs on all costs a try more.
func (f *front) recordError(pb *playback, srv int) {
	server := f.server(srv)
	if server.lastFailed && !pb.failedBefore {
		f.suspend(srv, session.Failed)
	}
	server.lastFailed, pb.failedBefore = true, true
}

// Ended takes the end of a setup try or of a playback.
func (f *front) Ended(result session.Result) {
	pb := f.playbacks[result.Playback]
	if pb == nil || !pb.active || result.Try != pb.tries-1 {
		return
	}
	f.recordLoad(result.Server, result.Load, f.now-f.Fleet.NoteDelay/2-f.turnDelay)
	f.release(pb)
	switch result.Outcome {
	case session.Failed:
		f.recordError(pb, result.Server)
	case session.TimedOut, session.NoConnection, session.Reset:
		f.suspend(result.Server, result.Outcome)
	case session.Full: // at least as full as it was thought to be, guard told or not
		f.server(result.Server).link.addReading(f, max(f.Fleet.FullFrom, f.server(result.Server).link.fill(f)), f.now)
	}
	if !pb.playing {
		f.tryFinished(result.Server, false)
	} else if result.Outcome == session.OK {
		f.meanPlaybackTime += (float64(f.now-pb.requestedAt) - f.meanPlaybackTime) / 16
	}
	if result.Final || pb.playing || pb.finished {
		f.finish(pb)
		return
	}
	neverRan := result.Outcome == session.Full || result.Outcome == session.NoConnection || result.Outcome == session.NotSent
	if !neverRan && pb.mayHaveRunOn < 0 {
		pb.mayHaveRunOn, pb.mayHaveRunSince = result.Server, f.now-result.Took
	}
	pb.wantServer = -1
	pb.triedServers = append(pb.triedServers, result.Server)
	f.decide(pb)
}

func (f *front) Left(id int) {
	if pb := f.playbacks[id]; pb != nil && !pb.finished {
		pb.wantAnswer, pb.finished = answerNone, true
		if !pb.active { // a try may have been decided on and not sent yet
			if pb.wantServer >= 0 {
				f.tryFinished(pb.wantServer, false)
			}
			f.release(pb)
			f.finish(pb)
		}
	}
}

func (f *front) recordLoad(srv int, load session.Load, asOf Time) {
	server := f.server(srv)
	if load.HasLink {
		if load.Capped && load.Link >= 1 {
			load.Link = max(load.Link, server.link.fill(f))
		}
		server.link.addReading(f, load.Link, asOf)
		f.relieveShortage(&server.link, func(i int) bool { return i == srv })
	}
	if load.HasUplink {
		f.uplinks[server.rack].addReading(f, load.Uplink, asOf)
		f.relieveShortage(&f.uplinks[server.rack], func(i int) bool { return f.servers[i].rack == server.rack })
	}
}

// Probed takes the answer to a probe.
func (f *front) Probed(srv int, outcome session.Outcome, load session.Load) {
	server := f.server(srv)
	server.probePending = false
	if outcome == session.OK {
		f.recordLoad(srv, load, f.now-f.Fleet.NoteDelay/2-f.turnDelay)
	} else if server.entry.State == session.Ready && outcome != session.Full {
		f.suspend(srv, outcome)
	}
	f.resumeWaiting(server)
}

// Noted takes news on a playback.
func (f *front) Noted(note session.Note) {
	pb := f.playbacks[note.Playback]
	if pb == nil {
		return
	}
	asOf := f.now - f.Fleet.NoteDelay - f.turnDelay
	switch note.Kind {
	case session.RungNow:
		f.setKnownRung(pb, int(note.Value))
	case session.LinkAsked:
		f.recordLoad(note.Server, session.Load{Link: note.Value, HasLink: true}, asOf)
	case session.UplinkAsked:
		f.recordLoad(note.Server, session.Load{Uplink: note.Value, HasUplink: true}, asOf)
	case session.Delivered:
		f.recordDelivery(note.Server, note.Value, asOf)
	}
}

// delivered takes the share of their rates that playbacks at a server get for the fuller of its link and its
// rack's uplink.
func (f *front) recordDelivery(srv int, share float64, asOf Time) {
	server := &f.servers[srv]
	estimate, isBehind := &server.link, func(i int) bool { return i == srv }
	if f.uplinks[server.rack].fill(f) > estimate.fill(f) {
		estimate, isBehind = &f.uplinks[server.rack], func(i int) bool { return f.servers[i].rack == server.rack }
	}
	currentFill, impliedFill := estimate.fill(f), 1/max(share, 0.1)
	if share >= fullDelivery && (currentFill <= 1 || !f.Fleet.LoadInAnswers) {
		return // where no notes follow, an end would be taken for brimful for long
	}
	if estimate != &server.link && f.Fleet.UplinkUntold {
		estimate.fitCapacity(f, impliedFill)
	} else {
		currentIsRecent := f.now-estimate.readAt < f.Fleet.NoteEvery && currentFill > impliedFill-surpriseFill // this one is smoothed
		if currentIsRecent || share < fullDelivery && currentFill >= impliedFill {
			return
		}
		estimate.addReading(f, impliedFill, asOf)
	}
	f.relieveShortage(estimate, isBehind)
}

// relieve answers a shortage: of the streams behind the gauge those go one rung down that lose least for
// the rate they free, until this front's part of what is too much is gone; the other fronts do the same.
func (f *front) relieveShortage(estimate *loadEstimate, isBehind func(srv int) bool) {
	fill := estimate.fill(f)
	if fill > shortageFill {
		estimate.shortageAt = f.now
	}
	if fill <= shortageFill || f.now-estimate.steppedAt < feedbackNoteDelays*f.Fleet.NoteDelay { // a step taken is not in the readings yet
		return
	}
	for excessKB := (fill - reliefFill) / fill * estimate.ownKB; excessKB > 0; {
		var cheapest *streamState
		lowestLoss, cheapestKB := math.Inf(1), 0.0
		for i := range f.servers {
			if !isBehind(i) {
				continue
			}
			for _, stream := range f.servers[i].streams {
				if stream.rung <= f.Plans[stream.plan].Floor || f.now-stream.rungChangedAt < feedbackNoteDelays*f.Fleet.NoteDelay {
					continue
				}
				revenue := f.Plans[stream.plan].Revenue * f.planStats[stream.plan].weight * float64(len(stream.members))
				lostRevenue := (f.rungRevenue(stream.rung) - f.rungRevenue(stream.rung-1)) * revenue
				freedKB := f.streamKB(stream, len(stream.members)) * (1 - f.rateKB(stream.plan, stream.rung-1)/f.rateKB(stream.plan, stream.rung))
				if lostRevenue/freedKB < lowestLoss {
					cheapest, lowestLoss, cheapestKB = stream, lostRevenue/freedKB, freedKB
				}
			}
		}
		if estimate.steppedAt = f.now; cheapest == nil || excessKB < cheapestKB*f.random() {
			return // where a part of the stream would do, some of the fronts step theirs
		}
		f.setStreamRung(cheapest, cheapest.rung-1)
		excessKB -= cheapestKB
	}
}

// stepUp is what a stream's next rung earns and asks more; nothing unless all its viewers can take it.
func (f *front) stepUpValue(stream *streamState) (gain, kb float64) {
	for _, pb := range stream.members {
		if pb.Top == stream.rung || !pb.playing || pb.moving {
			return 0, 1
		}
		gain += f.revenue(pb) * (f.rungRevenue(stream.rung+1) - f.rungRevenue(stream.rung))
	}
	return gain, f.streamKB(stream, len(stream.members)) * (f.rateKB(stream.plan, stream.rung+1)/f.rateKB(stream.plan, stream.rung) - 1)
}

// raise takes streams one rung up where there is room and no shortage was heard of.
func (f *front) stepUpStreams(srv int) {
	server := &f.servers[srv]
	uplink := &f.uplinks[server.rack]
	if server.entry.State != session.Ready || f.now < max(server.suspendedUntil, server.coldUntil) ||
		!server.link.measured && f.Fleet.LoadInAnswers ||
		f.now-max(server.link.shortageAt, uplink.shortageAt, server.link.steppedAt, uplink.steppedAt) < feedbackNoteDelays*f.Fleet.NoteDelay {
		return
	}
	for fronts := 1.0; ; fronts = float64(f.Fronts) { // more steps than one leave the other fronts their room
		var best *streamState
		bestDensity := 0.0
		for _, stream := range server.streams {
			gain, kb := f.stepUpValue(stream)
			if gain/kb <= bestDensity || f.fillWith(server, kb*fronts) > f.fillMark(gain/kb)-stepUpMargin {
				continue
			}
			payback := stepUpPayback * float64(f.Ladder.Change) / (f.rungRevenue(stream.rung+1) - f.rungRevenue(stream.rung))
			if float64(f.now-stream.rungChangedAt) >= payback { // the last one has earned its cost
				best, bestDensity = stream, gain/kb
			}
		}
		if best == nil {
			return
		}
		if !f.Fleet.LoadInAnswers && !f.loadIsRecent(server) && f.mayProbe() { // the answer decides
			f.requestProbe(srv)
			return
		}
		f.setStreamRung(best, best.rung+1)
		server.link.steppedAt, uplink.steppedAt = f.now, f.now
	}
}

// weighPlans gives the plan served worst the weight that the site counts it with beside the whole.
func (f *front) updatePlanWeights(tick Time) {
	weight := float64(tick) / (float64(tick) + f.meanPlaybackTime) // under 1, however short playbacks are against a tick
	for i := range f.planStats {
		f.planStats[i].requested *= 1 - weight
		f.planStats[i].earned *= 1 - weight
	}
	for i := range f.servers {
		for _, stream := range f.servers[i].streams {
			stats := &f.planStats[stream.plan]
			for _, pb := range stream.members {
				stats.requested += weight * f.Plans[stream.plan].Revenue * f.rungRevenue(pb.Top)
				stats.earned += weight * f.Plans[stream.plan].Revenue * f.rungRevenue(stream.rung)
			}
		}
	}
	totalRequested, totalEarned := 0.0, 0.0
	for _, stats := range f.planStats {
		totalRequested, totalEarned = totalRequested+stats.requested, totalEarned+stats.earned
	}
	for i := range f.planStats {
		stats := &f.planStats[i]
		if stats.weight = 1; stats.requested > 0 && totalRequested > stats.requested {
			gap := (totalEarned-stats.earned)/(totalRequested-stats.requested) - stats.earned/stats.requested
			maxExtraWeight := f.Prices.WorstPlan / (1 - f.Prices.WorstPlan) * totalRequested / stats.requested
			stats.weight += maxExtraWeight * min(max(gap/maxPlanGap, 0), 1)
		}
	}
}

// Woken runs what comes with time.
func (f *front) Woken(uint64) {
	if f.now < f.wakeAt {
		return
	}
	f.wakeAt = f.now + max(f.Fleet.NoteDelay/4, 1)
	bestDensity := minPriceShare * f.maxFloorDensity
	for i := range f.servers {
		for _, stream := range f.servers[i].streams {
			gain, kb := f.stepUpValue(stream)
			bestDensity = max(bestDensity, min(gain/kb, f.maxFloorDensity))
		}
	}
	f.capacityPrice += (bestDensity - f.capacityPrice) * priceSmoothing
	f.updatePlanWeights(f.wakeAt - f.now)
	for i := range f.uplinks {
		f.widenUplink(&f.uplinks[i], f.wakeAt-f.now)
	}
	for i := range f.servers {
		f.stepUpStreams(i)
		if server := &f.servers[i]; len(server.awaitingProbe) > 0 && f.now-server.probeSentAt > f.longestStartup/4 {
			f.resumeWaiting(server) // the look takes too long
		}
	}
}

// Settle emits the difference between what is wanted and what is out.
func (f *front) Settle(actions session.Actions) {
	for i := 0; i < len(f.dirty); i++ {
		pb := f.dirty[i]
		pb.dirty = false
		switch pb.wantAnswer {
		case answerReject:
			actions.Reject(pb.Playback, f.Terms.MaxComeAgain)
		case answerAbort:
			actions.Abort(pb.Playback)
		}
		if pb.finished = pb.finished || pb.wantAnswer != answerNone; pb.finished {
			if !pb.active && f.playbacks[pb.Playback] == pb {
				f.playbacks[pb.Playback] = nil
				actions.Forget(pb.Playback)
			}
			continue
		}
		if pb.wantRung != pb.currentRung {
			pb.currentRung = pb.wantRung
			actions.SetRung(pb.Playback, pb.wantRung)
		}
		if pb.wantServer >= 0 && !pb.active {
			pb.active = true
			actions.Try(pb.Playback, pb.wantServer, pb.tryTimeout)
		}
		if pb.wantMove && !pb.moving {
			pb.moving = true
			actions.Move(pb.Playback)
		}
	}
	f.dirty = f.dirty[:0]
	for _, i := range f.wantProbes {
		actions.Probe(i)
	}
	f.wantProbes = f.wantProbes[:0]
	if f.watchAt != never && f.now >= f.watchAt {
		f.watchAt = never
		actions.Watch()
	}
	if f.wakeAt != f.wakeRequestedAt {
		f.wakeRequestedAt = f.wakeAt
		actions.Wake(f.wakeAt, 0)
	}
}
