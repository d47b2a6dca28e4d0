// Package policy is the decision module of one front. It chooses the server and the rung of each playback and
// decides when a playback is rejected, moved to another server or stepped to another rung. Its host, such as
// cmd/adapter, drives it through the interface in session/session.go: in each turn it first sets the time, then
// reports the events and then calls Settle. docs/design.md names the source of each rule.
package policy

import (
	"math"
	"slices"

	"pierlink/session"
)

// Tuned constants. Each is a share or a multiple of a value from the site's configuration.
const (
	maxOpenFill        = 0.90                // the design's mark: a stream opens only if the fill stays below this
	maxFloorFill       = 0.86                // a playback is still accepted at its plan's lowest rung up to this fill
	markReduction      = 0.50                // how much lower the mark is for the rungs with the least revenue per rate
	shortageFill       = 1.03                // streams step down above this fill
	reliefFill         = 0.97                // and continue to until the fill is down to this
	stepUpMargin       = 0.04                // a step up leaves this much more free than opening a stream does
	newReadingWeight   = 0.50                // weight of a new reading against a previous one that is still fresh
	minMeanWeight      = 0.05                // minimum weight of one reading in the mean fill of all links
	fillJitter         = 0.08                // random addition to the fill, so that the fronts choose different servers
	titleJitter        = 0.30                // the same for live titles, but equal at all fronts
	probeBudget        = 0.01                // share of the total result that probes may cost
	coldBudgetShare    = 0.75                // share of the cold budget in use, as the ramp's shape is unknown
	stepUpPayback      = 2.0                 // multiple of its cost that a step up must earn
	bucketsPerSpan     = 8                   // of a counter over its span, of a load estimate's history per note delay
	historyBuckets     = 32                  // of a load estimate's own history
	tenantRateSpan     = 10 * session.Second // over which a tenant's request rate is compared with its quota
	minPriceShare      = 0.50                // lower limit of the capacity price, as a share of maxFloorDensity
	priceSmoothing     = 0.03                // weight per tick at which the capacity price follows the best step not taken
	surpriseFill       = 0.25                // a delivery note that implies a fill higher by this much counts at once
	assumedFill        = 0.60                // fill of links without a reading after a restart; its upper limit otherwise
	feedbackNoteDelays = 2                   // note delays until a step, or the end of a shortage, shows in the readings
	fullDelivery       = 0.98                // share of its rate from which a playback counts as served in full
	maxPlanGap         = 0.30                // a plan this far behind the others gets the full weight of the worst plan
	surgeDeviations    = 2                   // standard deviations of one front's setup count that are treated as chance
	maxUplinkFactor    = 2                   // limits the estimate of an unreported uplink, as a factor of the mean
	never              = math.MinInt64 / 4   // earlier than any clock value
)

// The answers that a playback may be due.
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
		f.capacityPrice, f.longestStartup = f.maxFloorDensity, max(f.longestStartup, plan.StartupTarget)
	}
	f.meanPlaybackTime, f.watchAt = 2*float64(site.Terms.WarmUp), never
	if site.ListOnRequest {
		f.watchAt = now
	}
	f.wakeAt, f.assumeColdUntil = now+1, now+site.Terms.WarmUp
	return f
}

// fill returns the demand on the link as a share of its capacity. The other fronts' demand is the latest reading,
// which gives way to their typical demand as playbacks end; without a reading it is the typical demand.
func (e *loadEstimate) fill(f *front) float64 {
	weight := e.freshness(f)
	return max(e.othersFill*weight+e.typicalOthers(f)*(1-weight), 0) + e.ownKB/e.capacityKB
}

// typicalOthers returns the fill that the other fronts usually cause. For an uplink that no report covers it is
// derived from the demand on the links behind it.
func (e *loadEstimate) typicalOthers(f *front) float64 {
	if !f.Fleet.UplinkUnreported || e.typical != &f.typicalUplinks {
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

// fitCapacity sets the estimated capacity of an uplink that no report covers so that the demand on the links behind
// it results in the given fill.
func (e *loadEstimate) fitCapacity(f *front, fill float64) {
	e.capacityKB = min(max(e.capacityKB*e.fill(f)/fill, f.Fleet.UplinkKB/maxUplinkFactor), f.Fleet.UplinkKB*maxUplinkFactor)
}

// widenUplink raises the estimated capacity of an unreported uplink while none of this front's playbacks behind it
// is reported short.
func (f *front) widenUplink(uplink *loadEstimate, tick Time) {
	if !f.Fleet.UplinkUnreported || uplink.ownKB == 0 ||
		f.now-uplink.shortageAt < feedbackNoteDelays*f.Fleet.NoteDelay+session.Second {
		return
	}
	fill := uplink.fill(f)
	uplink.fitCapacity(f, min(fill, 1)/(1+float64(tick)/f.meanPlaybackTime))
}

// freshness returns the weight of the last reading, from 1 down to 0 as it ages.
func (e *loadEstimate) freshness(f *front) float64 {
	if !e.measured {
		return 0
	}
	return f.meanPlaybackTime / (f.meanPlaybackTime + float64(f.now-e.readAt))
}

// fill returns the mean fill that the other fronts cause. Without a reading it is extrapolated from this front's own
// demand, with a limit, as this front may have few playbacks.
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

// addReading takes in a reading of the fill as of an earlier moment.
func (e *loadEstimate) addReading(f *front, fill float64, asOf Time) {
	oldWeight, typical := (1-newReadingWeight)*e.freshness(f), e.typical
	fill -= e.ownHistory.At(f.now, asOf) / e.capacityKB
	dt := float64(f.now - typical.readAt)
	typical.meanFill = typical.fill(f) +
		(fill-typical.fill(f))*max(minMeanWeight, dt/(dt+f.meanPlaybackTime/4), 1/(2+typical.readings))
	typical.readings++
	typical.readAt = f.now
	e.othersFill, e.measured, e.readAt = (1-oldWeight)*fill+oldWeight*e.othersFill, true, f.now
}

// maxReadingAge returns how old the last reading of a link may become before the next one arrives.
func (f *front) maxReadingAge() Time {
	return f.Fleet.NoteDelay + max(f.Fleet.NoteInterval, feedbackNoteDelays*f.Fleet.NoteDelay)
}

// BeginTurn begins a turn. Readings that reach a late turn are older than usual by the delay.
func (f *front) BeginTurn(now Time) {
	f.now, f.turnDelay = now, max(now-f.wakeAt, 0)
	// A surge of requests reaches all fronts at once, whatever its cause, and before any reading shows it. This
	// front's recent setups beyond the playbacks that ended, less a margin for chance, are therefore assumed for
	// each of the other fronts too.
	rungKB := f.Ladder.RateKB[len(f.Ladder.RateKB)/2]
	expected := f.typicalLinks.ownKB / rungKB * float64(f.maxReadingAge()) / f.meanPlaybackTime
	excess := f.recentSetupKB.LowerBound(now)/rungKB - expected - surgeDeviations*math.Sqrt(expected+1)
	f.unreportedFill = max(excess, 0) * rungKB * float64(f.Fronts-1) / f.Fleet.TotalLinkKB
}

// Listed applies an update of the server list.
func (f *front) Listed(list session.List) {
	if list.Failed {
		if f.ListOnRequest {
			f.watchAt = f.now + f.Terms.ListDeadline/4
		}
		return
	}
	if list.Complete && f.StartsListed { // the list shows which servers are cold
		f.assumeColdUntil = min(f.assumeColdUntil, f.now)
	}
	for i := 0; list.Complete && i < len(f.servers); i++ {
		f.servers[i].entry.State = session.Gone
	}
	for _, entry := range list.Entries {
		server := f.server(entry.Server)
		previous := server.entry
		f.setEntry(server, entry)
		if entry.Started > 0 && entry.Started != previous.Started && entry.Started+f.Terms.WarmUp > f.now {
			// a restart: the old process's state is void, and all managers learn of it at the same time
			server.coldUntil, server.coldListed = entry.Started+f.Terms.WarmUp, true
			server.suspendedUntil, server.suspensions, server.halfOpen = 0, 0, false
			server.link.othersFill, server.link.measured, server.link.readAt = 0, true, f.now // it restarts without playbacks
			if f.now-f.startedAt < f.Terms.ColdSpan {
				server.recentTries.Add(f.now, f.coldBudget(server)) // this front has restarted too and lost the count of what it sent
			}
		}
	}
	totalPlaces := 0.0
	for i := range f.servers {
		totalPlaces += f.Fleet.MaxStreams[f.servers[i].entry.Kind]
	}
	for i := range f.servers {
		server := &f.servers[i]
		server.link.capacityKB = f.Fleet.TotalLinkKB * f.Fleet.MaxStreams[server.entry.Kind] / totalPlaces
		if listedKB := server.entry.Weight * f.Fleet.KBPerWeight; f.Fleet.WeightsListed && listedKB > 0 {
			server.link.capacityKB = listedKB
		}
	}
}

// coldBudget returns this front's share of the setups that a cold server may get within the rule's span. If the share
// is below one setup, the fronts take turns, counted from the server's start, and each uses only half of its turn, so
// that no span sees more setups than allowed.
func (f *front) coldBudget(server *serverState) float64 {
	terms := &f.Terms
	capacityShare := 1 - (1-terms.ColdShare)*
		float64(max(server.coldUntil, f.assumeColdUntil)-f.now)/float64(terms.WarmUp)
	fleetBudget := coldBudgetShare * f.Fleet.MaxStreams[server.entry.Kind] / float64(terms.WarmUp) *
		float64(terms.ColdSpan) * terms.ColdMultiple
	budget := fleetBudget * min(max(capacityShare, terms.ColdShare), 1) / float64(f.Fronts)
	if budget >= 1 || !server.coldListed {
		return max(budget, 1)
	}
	turn := float64(f.now-server.entry.Started) / float64(terms.ColdSpan) *
		(max(math.Floor(fleetBudget*terms.ColdShare), 1) - 0.5)
	if turnNumber := int(turn); turn-float64(turnNumber) < 0.5 && (turnNumber+server.entry.Cell)%f.Fronts == f.Front {
		return 1
	}
	return budget
}

// acceptsTry reports whether a setup try may go to the server now.
func (f *front) acceptsTry(srv int) bool {
	server := &f.servers[srv]
	if server.entry.State != session.Ready || f.now < server.suspendedUntil || server.halfOpen && server.pendingTries > 0 {
		return false
	}
	// After a restart a manager does not know which servers are cold, unless it took over playbacks.
	return f.now >= max(server.coldUntil, f.assumeColdUntil) || server.recentTries.UpperBound(f.now)+1 <= f.coldBudget(server)
}

// fillWith returns the fill of the link or of the uplink, whichever is higher, with kb of additional demand.
func (f *front) fillWith(server *serverState, kb float64) float64 {
	uplink, link := &f.uplinks[server.rack], server.link.capacityKB
	if f.now < server.coldUntil {
		link *= f.Terms.ColdShare
	}
	unreportedShare := min(float64(f.now-server.link.readAt)/float64(f.maxReadingAge()), 1)
	return max(server.link.fill(f)+kb/link, uplink.fill(f)+kb/uplink.capacityKB) + f.unreportedFill*unreportedShare
}

// fillMark returns the highest fill that a step may cause, by the step's revenue per added kB. It leaves room for
// steps that earn more and for later viewers.
func (f *front) fillMark(density float64) float64 {
	return maxOpenFill * (1 - markReduction*(1-min(1, density/f.capacityPrice)))
}

// revenue returns the plan's weighted revenue, reduced for the tenant's traffic beyond its quota.
func (f *front) revenue(pb *playback) float64 {
	revenue := f.Plans[pb.Plan].Revenue * f.planStats[pb.Plan].weight
	if pb.Tenant < len(f.tenantRequests) {
		requests := &f.tenantRequests[pb.Tenant]
		seconds := float64(max(min(tenantRateSpan, f.now-f.startedAt), session.Second)) / float64(session.Second)
		requestRate := requests.LowerBound(f.now) / seconds * float64(f.Fronts)
		if quota := f.Site.Tenants[pb.Tenant].QuotaPerS; requestRate > quota && quota > 0 {
			revenue *= quota/requestRate + (1-quota/requestRate)*f.Prices.OverQuota
		}
	}
	return revenue
}

// openRung returns the highest rung at which a stream may open on the server, or -1 if none fits.
func (f *front) openRung(pb *playback, server *serverState) int {
	plan := &f.Plans[pb.Plan]
	viewers := max(float64(f.liveViewers+1)/float64(f.liveStreams+1), 2) // at least one more viewer is expected to join
	for rung := pb.Top; rung > plan.Floor; rung-- {
		kb := f.rateKB(pb.Plan, rung)
		addedKB := kb - f.rateKB(pb.Plan, rung-1)
		if plan.Live { // its cost is shared with later viewers, as many as this front's live streams have
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

// mayTry reports whether the playback's next try may go to the server.
func (f *front) mayTry(pb *playback, srv int) bool {
	return !slices.Contains(pb.triedServers, srv) && f.holdsTitle(pb, &f.servers[srv]) &&
		f.mayRepeatOn(pb, srv) && f.acceptsTry(srv)
}

// place chooses a server and a rung: a running stream to join, or else the least filled server that holds the title,
// with servers of the own zone first.
func (f *front) place(pb *playback) (srv, rung int, remote bool) {
	var joinable *streamState
	var lowestFill float64
	for i := range f.servers {
		server := &f.servers[i]
		if !f.Plans[pb.Plan].Live || !f.mayTry(pb, i) {
			continue
		}
		for _, stream := range server.streams {
			if stream.title != pb.Title || stream.plan != pb.Plan || stream.rung > pb.Top ||
				server.entry.Zone != f.Zone && !stream.openedRemote {
				continue
			}
			kb := f.rateKB(pb.Plan, stream.rung) * f.Ladder.Join
			fill := f.fillWith(server, kb)
			if fill <= reliefFill && // joining takes only a part of a new stream's rate
				(joinable == nil || joinable.openedRemote && !stream.openedRemote ||
					joinable.openedRemote == stream.openedRemote &&
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
			for _, member := range joinable.members { // moved viewers request again and join the local stream
				// An unsafe playback is not moved: its repeated setup would be charged again.
				member.wantMove = member.playing && f.Plans[member.Plan].Repeat != session.Unsafe
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

// maxRemoteViewers returns the number of viewers from which a remote stream's title is opened in the own zone: the
// paper's mark 2(1-c)/c. Its c is the price of crossing zones as a share of the sum of that price and the revenue
// share of the lowest rung, which the capacity for one more stream would earn.
func (f *front) maxRemoteViewers() float64 {
	c := f.Prices.CrossZone / (f.Prices.CrossZone + f.rungRevenue(0)) // 0 without a price: the mark is infinite
	return 2 * (1 - c) / c
}

// findServer returns the least filled server that holds the title, in the own zone or outside it, and the rung of a
// new stream there, or -1 if none fits.
func (f *front) findServer(pb *playback, local bool) (srv, rung int) {
	srv = -1
	var lowestFill float64
	for i := range f.servers {
		server := &f.servers[i]
		if (server.entry.Zone == f.Zone) != local || !f.mayTry(pb, i) {
			continue
		}
		fill := f.fillWith(server, f.rateKB(pb.Plan, f.Plans[pb.Plan].Floor))
		if f.Plans[pb.Plan].Live { // all fronts prefer the same servers, where their viewers share streams
			fill += titleJitter * titleCellHash(pb.TitleID, server.entry.Cell)
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

// mayRepeatOn reports whether a try may go to the server in view of the earlier ones: once a try may have run, an
// unsafe playback is not tried again, and a keyed one only within the key's window and scope.
func (f *front) mayRepeatOn(pb *playback, srv int) bool {
	plan := &f.Plans[pb.Plan]
	if plan.Repeat == session.Harmless || pb.mayHaveRunOn < 0 {
		return true
	}
	ranEntry, entry := &f.servers[pb.mayHaveRunOn].entry, &f.servers[srv].entry
	return plan.Repeat == session.Keyed && f.now-pb.mayHaveRunSince < plan.KeyWindow &&
		(plan.Scope == session.Everywhere || plan.Scope == session.SameZone && ranEntry.Zone == entry.Zone ||
			plan.Scope == session.SameCell && ranEntry.Cell == entry.Cell)
}

// Requested takes a new playback and decides on it.
func (f *front) Requested(request session.Request) {
	pb := f.addPlayback(request)
	f.recentRequests.Add(f.now, 1)
	if pb.Tenant < len(f.tenantRequests) {
		f.tenantRequests[pb.Tenant].Add(f.now, 1)
	}
	f.decide(pb)
}

// decide chooses the next try of a playback that has none pending, or answers the playback.
func (f *front) decide(pb *playback) {
	f.markDirty(pb)
	plan := &f.Plans[pb.Plan]
	seatKey := [2]int{pb.Plan, pb.Title}
	timeLeft := pb.AbandonAt - f.now
	seatFree := plan.Seats == 0 || f.seats[seatKey] < plan.Seats
	triesLeft := pb.tries == 0 || pb.tries < f.Terms.MaxTries && f.retryBudgetLeft()
	if pb.Top >= plan.Floor && seatFree && triesLeft && float64(timeLeft) > 2*f.meanSetupTime && timeLeft > 0 {
		srv, rung, remote := f.place(pb)
		if srv >= 0 && f.delayForProbe(pb, srv) { // also before a rejection
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

// delayForProbe holds a playback back for a probe of the chosen server if the server's load, on which the rung depends,
// is not known well enough. It reports whether it did so.
func (f *front) delayForProbe(pb *playback, srv int) bool {
	server := &f.servers[srv]
	if f.loadIsRecent(server) || pb.probeAwaited || !f.mayProbe() || f.now+f.longestStartup > pb.AbandonAt {
		return false
	}
	pb.probeAwaited = true
	server.awaitingProbe = append(server.awaitingProbe, pb)
	f.requestProbe(srv)
	return true
}

// loadIsRecent reports whether the server's load was reported recently enough to decide by.
func (f *front) loadIsRecent(server *serverState) bool {
	return f.now-server.link.readAt < f.Fleet.NoteDelay || f.Fleet.LoadInAnswers && 2*server.link.freshness(f) > 1
}

// resumeWaiting decides on the playbacks that waited for a probe of the server.
func (f *front) resumeWaiting(server *serverState) {
	waiting := server.awaitingProbe
	server.awaitingProbe = nil
	for _, pb := range waiting {
		if !pb.finished {
			f.decide(pb)
		}
	}
}

// mayProbe reports whether probes return the load and the probe budget allows another one.
func (f *front) mayProbe() bool {
	return f.Terms.Probes && f.Fleet.LoadInProbes &&
		f.probeCount < math.Floor(f.playbackCount*probeBudget/max(f.Prices.Probe, probeBudget/2))
}

// requestProbe has a probe sent to the server unless one is pending.
func (f *front) requestProbe(srv int) {
	if server := &f.servers[srv]; !server.probePending {
		server.probePending, server.probeSentAt = true, f.now
		f.probeCount++
		f.wantProbes = append(f.wantProbes, srv)
	}
}

// retryBudgetLeft reports whether the limit on retries allows another one now.
func (f *front) retryBudgetLeft() bool {
	terms := &f.Terms
	return !terms.RetriesLimited ||
		f.recentRetries.UpperBound(f.now)+1 <= terms.FreeRetries+terms.RetryShare*f.recentRequests.LowerBound(f.now)
}

// tryTimeout returns the time limit of the next try. It leaves time for another try within the startup target, or
// before the abandon time once the target is too close, as long as another try is allowed.
func (f *front) tryTimeout(pb *playback) Time {
	if plan := &f.Plans[pb.Plan]; plan.Repeat == session.Unsafe {
		return plan.StartupTarget // its only try; when it times out, the viewer gets an answer
	}
	timeout := pb.AbandonAt - f.now
	if untilDeadline := pb.startupDeadline - f.now; float64(untilDeadline) > 4*f.meanSetupTime && untilDeadline > 0 {
		timeout = untilDeadline
	}
	if pb.tries+1 < f.Terms.MaxTries {
		timeout /= 2
	}
	return timeout
}

// Opened takes over a playback that is already running.
func (f *front) Opened(request session.Request, srv int) {
	pb := f.addPlayback(request)
	pb.tries, pb.active, pb.playing = 1, true, true
	f.attach(pb, srv, pb.currentRung)
	pb.wantRung, pb.stream.rungChangedAt, f.assumeColdUntil = pb.currentRung, never, never
	f.reserve(pb, srv)
	f.tryFinished(srv, true)
}

// Playing handles the success of a setup try.
func (f *front) Playing(id, try, srv int, took Time) {
	pb := f.playbacks[id]
	if pb == nil || !pb.active || try != pb.tries-1 || pb.playing {
		return
	}
	pb.playing = true
	f.tryFinished(srv, true)
	f.meanSetupTime += (float64(took) - f.meanSetupTime) / 16
}

// tryFinished records that a setup try at a server has ended.
func (f *front) tryFinished(srv int, succeeded bool) {
	server := f.server(srv)
	server.pendingTries = max(server.pendingTries-1, 0)
	if !succeeded {
		return
	}
	if server.halfOpen && f.now >= server.coldUntil { // it may have restarted, with its list entry still to come
		server.coldUntil, server.coldListed = f.now+f.Terms.WarmUp, false
	}
	server.halfOpen, server.lastFailed = false, false
	server.suspensions /= 2
}

// suspend keeps new tries off a server after an error, a reset, a refused connection or a timeout, for twice as long
// each time. It guards against any cause that makes setups fail there; it does harm where single errors are common.
func (f *front) suspend(srv int, outcome session.Outcome) {
	server := f.server(srv)
	// A timeout seen in a late turn may be this front's own fault.
	fault := outcome != session.TimedOut || f.turnDelay < f.longestStartup/4
	// While the server is suspended, another failure counts as the same fault.
	if server.halfOpen = server.halfOpen || fault; fault && f.now >= server.suspendedUntil {
		server.suspendedUntil = f.now + f.longestStartup/2<<min(server.suspensions, 3)
		server.suspensions++
	}
}

// recordError suspends a server for an error only if two playbacks in succession fail there and the second one has
// failed on no other server. This guards against requests that fail on every server; the cost is one more try on a
// server that fails all requests.
func (f *front) recordError(pb *playback, srv int) {
	server := f.server(srv)
	if server.lastFailed && !pb.failedBefore {
		f.suspend(srv, session.Failed)
	}
	server.lastFailed, pb.failedBefore = true, true
}

// Ended handles the end of a setup try or of a playback.
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
	case session.Full: // at least as full as estimated, whether or not its refusal threshold is known
		f.server(result.Server).link.addReading(f, max(f.Fleet.RefusalFill, f.server(result.Server).link.fill(f)), f.now)
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
	neverRan := result.Outcome == session.Full || result.Outcome == session.NoConnection ||
		result.Outcome == session.NotSent
	if !neverRan && pb.mayHaveRunOn < 0 {
		pb.mayHaveRunOn, pb.mayHaveRunSince = result.Server, f.now-result.Took
	}
	pb.wantServer = -1
	pb.triedServers = append(pb.triedServers, result.Server)
	f.decide(pb)
}

// Left handles a client that has gone; its playback needs no answer.
func (f *front) Left(id int) {
	if pb := f.playbacks[id]; pb != nil && !pb.finished {
		pb.wantAnswer, pb.finished = answerNone, true
		if !pb.active { // a try may be chosen but not sent yet
			if pb.wantServer >= 0 {
				f.tryFinished(pb.wantServer, false)
			}
			f.release(pb)
			f.finish(pb)
		}
	}
}

// recordLoad takes in a server's load report as of an earlier moment.
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

// Probed handles the answer to a probe.
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

// Noted handles a note on a playback.
func (f *front) Noted(note session.Note) {
	pb := f.playbacks[note.Playback]
	if pb == nil {
		return
	}
	asOf := f.now - f.Fleet.NoteDelay - f.turnDelay
	switch note.Kind {
	case session.CurrentRung:
		f.setKnownRung(pb, int(note.Value))
	case session.LinkDemand:
		f.recordLoad(note.Server, session.Load{Link: note.Value, HasLink: true}, asOf)
	case session.UplinkDemand:
		f.recordLoad(note.Server, session.Load{Uplink: note.Value, HasUplink: true}, asOf)
	case session.DeliveredShare:
		f.recordDelivery(note.Server, note.Value, asOf)
	}
}

// recordDelivery takes the share of their rates that a server's playbacks receive as a reading of the server's link
// or of its rack's uplink, whichever has the higher fill.
func (f *front) recordDelivery(srv int, share float64, asOf Time) {
	server := &f.servers[srv]
	estimate, isBehind := &server.link, func(i int) bool { return i == srv }
	if f.uplinks[server.rack].fill(f) > estimate.fill(f) {
		estimate, isBehind = &f.uplinks[server.rack], func(i int) bool { return f.servers[i].rack == server.rack }
	}
	currentFill, impliedFill := estimate.fill(f), 1/max(share, 0.1)
	if share >= fullDelivery && (currentFill <= 1 || !f.Fleet.LoadInAnswers) {
		return // the end of a shortage would count as a fill of 1 for long where no load reports follow
	}
	if estimate != &server.link && f.Fleet.UplinkUnreported {
		estimate.fitCapacity(f, impliedFill)
	} else {
		// The delivered share is smoothed, so that a recent reading is closer unless the difference is large.
		currentIsCloser := f.now-estimate.readAt < f.Fleet.NoteInterval && currentFill > impliedFill-surpriseFill
		if currentIsCloser || share < fullDelivery && currentFill >= impliedFill {
			return
		}
		estimate.addReading(f, impliedFill, asOf)
	}
	f.relieveShortage(estimate, isBehind)
}

// relieveShortage steps streams down if the link or uplink is short: those that lose the least revenue per freed kB
// go first, until this front's part of the excess is gone. The other fronts do the same.
func (f *front) relieveShortage(estimate *loadEstimate, isBehind func(srv int) bool) {
	fill := estimate.fill(f)
	if fill > shortageFill {
		estimate.shortageAt = f.now
	}
	if fill <= shortageFill || f.now-estimate.steppedAt < feedbackNoteDelays*f.Fleet.NoteDelay {
		return // no shortage, or the last step does not show in the readings yet
	}
	for excessKB := (fill - reliefFill) / fill * estimate.ownKB; excessKB > 0; {
		var cheapest *streamState
		lowestLoss, cheapestKB := math.Inf(1), 0.0
		for i := range f.servers {
			if !isBehind(i) {
				continue
			}
			for _, stream := range f.servers[i].streams {
				if stream.rung <= f.Plans[stream.plan].Floor ||
					f.now-stream.rungChangedAt < feedbackNoteDelays*f.Fleet.NoteDelay {
					continue
				}
				revenue := f.Plans[stream.plan].Revenue * f.planStats[stream.plan].weight * float64(len(stream.members))
				lostRevenue := (f.rungRevenue(stream.rung) - f.rungRevenue(stream.rung-1)) * revenue
				freedKB := f.streamKB(stream, len(stream.members)) *
					(1 - f.rateKB(stream.plan, stream.rung-1)/f.rateKB(stream.plan, stream.rung))
				if lostRevenue/freedKB < lowestLoss {
					cheapest, lowestLoss, cheapestKB = stream, lostRevenue/freedKB, freedKB
				}
			}
		}
		if estimate.steppedAt = f.now; cheapest == nil || excessKB < cheapestKB*f.random() {
			return // the excess is less than one stream: by chance, only some of the fronts step theirs
		}
		if f.setStreamRung(cheapest, cheapest.rung-1) == 0 {
			return
		}
		excessKB -= cheapestKB
	}
}

// stepUpValue returns the revenue and the demand that a stream's next rung adds. The revenue is 0 unless all viewers
// of the stream can use that rung. A taken-over playback may run above the highest rung that its viewer can use.
func (f *front) stepUpValue(stream *streamState) (gain, kb float64) {
	for _, pb := range stream.members {
		if pb.Top <= stream.rung || !pb.playing || pb.moving {
			return 0, 1
		}
		gain += f.revenue(pb) * (f.rungRevenue(stream.rung+1) - f.rungRevenue(stream.rung))
	}
	return gain, f.streamKB(stream, len(stream.members)) *
		(f.rateKB(stream.plan, stream.rung+1)/f.rateKB(stream.plan, stream.rung) - 1)
}

// stepUpStreams steps a server's streams up by one rung each, as far as capacity allows and if no shortage was
// found lately.
func (f *front) stepUpStreams(srv int) {
	server := &f.servers[srv]
	uplink := &f.uplinks[server.rack]
	if server.entry.State != session.Ready || f.now < max(server.suspendedUntil, server.coldUntil) ||
		!server.link.measured && f.Fleet.LoadInAnswers ||
		f.now-max(server.link.shortageAt, uplink.shortageAt, server.link.steppedAt, uplink.steppedAt) <
			feedbackNoteDelays*f.Fleet.NoteDelay {
		return
	}
	for fronts := 1.0; ; fronts = float64(f.Fronts) { // steps after the first leave capacity for the other fronts
		var best *streamState
		bestDensity := 0.0
		for _, stream := range server.streams {
			gain, kb := f.stepUpValue(stream)
			if !(gain/kb > bestDensity) || f.fillWith(server, kb*fronts) > f.fillMark(gain/kb)-stepUpMargin {
				continue
			}
			payback := stepUpPayback * float64(f.Ladder.RungChangeCost) / (f.rungRevenue(stream.rung+1) - f.rungRevenue(stream.rung))
			if float64(f.now-stream.rungChangedAt) >= payback { // the last change has earned its cost
				best, bestDensity = stream, gain/kb
			}
		}
		if best == nil {
			return
		}
		if !f.Fleet.LoadInAnswers && !f.loadIsRecent(server) && f.mayProbe() { // the probe's answer decides
			f.requestProbe(srv)
			return
		}
		if f.setStreamRung(best, best.rung+1) == 0 {
			return // without progress the same stream would be chosen again
		}
		server.link.steppedAt, uplink.steppedAt = f.now, f.now
	}
}

// updatePlanWeights raises the weight of the plans that are served worse than the others, up to the weight with which
// the site counts its worst-served plan next to the total.
func (f *front) updatePlanWeights(tick Time) {
	weight := float64(tick) / (float64(tick) + f.meanPlaybackTime) // below 1, even if playbacks are shorter than a tick
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

// Woken does the periodic work.
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
			f.resumeWaiting(server) // the probe takes too long
		}
	}
}

// Settle emits the actions that lead from the present state to the wanted one.
func (f *front) Settle(actions session.Actions) {
	for i := 0; i < len(f.dirty); i++ {
		pb := f.dirty[i]
		pb.dirty = false
		switch pb.wantAnswer {
		case answerReject:
			actions.Reject(pb.Playback, f.Terms.MaxRetryAfter)
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
