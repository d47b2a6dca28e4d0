package front

import (
	"slices"
	"strings"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/life"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// Process controls the process around a front on behalf of its lifecycle.
type Process interface {
	Listen()                 // start accepting connections
	StopAccepting()          // stop accepting connections, after those that have already arrived
	StateChanged(life.State) // report the new state to the supervisor
	Exit()
}

// Journal records the dialogues that may have a session at a box, so that a later process can tear the session
// down if this one dies. Opened is called before anything is sent to the box.
type Journal interface {
	Opened(life.Orphan)
	Ended(name string)
}

// AttachLifecycle attaches the process lifecycle, which is settled in the front's turns.
func (f *Front) AttachLifecycle(lifecycle *life.Lifecycle, process Process) {
	f.lifecycle, f.process = lifecycle, process
}

// Lifecycle returns the process lifecycle, nil where none is attached.
func (f *Front) Lifecycle() *life.Lifecycle { return f.lifecycle }

// OtherManagers returns the session managers that viewers are redirected to when this one drains.
func (f *Front) OtherManagers() *life.Peers { return &f.otherManagers }

// Handover returns the seats and free tries that the draining process before this one still uses.
func (f *Front) Handover() *life.Successor { return &f.handover }

// Lag returns the measurement of how late this process is with its work.
func (f *Front) Lag() *life.LagMonitor { return &f.lag }

// Orphans returns the sessions that dead processes left at boxes.
func (f *Front) Orphans() *life.Orphans { return &f.orphans }

// OpenWork returns the numbers of open connections, requests, playbacks and dialogues.
func (f *Front) OpenWork() life.Load {
	work := life.Load{Unanswered: len(f.waiting) + len(f.authorizing), ServerConnections: int(f.Figures.Dialogues)}
	for _, peer := range f.halfOpen {
		if !peer.closed && !peer.requestReceived {
			work.NewConnections++
		}
	}
	for _, pb := range f.playbacks {
		switch {
		case pb == nil || pb.finished:
		case !pb.answered:
			work.Unanswered++
		default:
			work.Playing++
			if pb.redirected {
				work.Redirected++
			}
		}
	}
	return work
}

// settleLifecycle carries out what the lifecycle decides and returns when it is due next.
func (f *Front) settleLifecycle() Time {
	if f.lifecycle == nil {
		return core.Never
	}
	f.lifecycle.Advance(f.now)
	work := life.Load{}
	if state, _ := f.lifecycle.State(); state > life.Ready {
		work = f.OpenWork()
	} else {
		work.Playing = int(f.Figures.Playbacks)
	}
	return f.lifecycle.Reconcile(work, func(act life.Action) {
		switch act.Kind {
		case life.Listen:
			f.process.Listen()
		case life.NotifySupervisor:
			state, _ := f.lifecycle.State()
			f.process.StateChanged(state)
		case life.StopAccepting:
			f.process.StopAccepting()
		case life.RejectQueued:
			f.startDraining()
		case life.RedirectPlaying:
			f.redirectSessions(act.Count)
		case life.EndPlaybacks:
			f.Stop()
		case life.Exit:
			f.process.Exit()
		}
	})
}

// startDraining refuses new requests from now on: those in the admission queue are redirected at once, and so
// is every later one. Playbacks that the module has already been asked about continue.
func (f *Front) startDraining() {
	f.draining = true
	queueIDs := make([]int, 0, len(f.waiting))
	for id := range f.waiting {
		queueIDs = append(queueIDs, id)
	}
	slices.Sort(queueIDs)
	for _, id := range queueIDs {
		pb := f.waiting[id]
		f.withdraw(pb)
		f.Figures.Refused++
		f.reject(pb, f.redirectOrRefuse(pb.player, pb.target.baseURL))
	}
}

// redirectOrRefuse returns a redirect to another session manager (RFC 2326 section 11.3.3), or a refusal with
// retry advice where none is known.
func (f *Front) redirectOrRefuse(peer *peerConn, baseURL string) *rtsp.Message {
	if location := f.redirectURL(peer, baseURL); location != "" {
		return rtsp.NewResponse(rtsp.StatusMoved, 0).With("Location", location)
	}
	return retryLaterResponse(f.retryAdvice())
}

// retryAdvice returns the Retry-After advice of refusals that the front makes itself, 0 for none.
func (f *Front) retryAdvice() Time {
	if f.OmitRetryAfter {
		return 0
	}
	return max(f.Site.Terms.MaxRetryAfter, core.Second)
}

// redirectURL returns the URL of a title at another session manager; empty if none is ready.
func (f *Front) redirectURL(peer *peerConn, baseURL string) string {
	address := f.otherManagers.Next(peer.conn.Secure)
	if address == "" {
		return ""
	}
	scheme, rest, _ := strings.Cut(baseURL, "://")
	if peer.conn.Secure {
		scheme = "rtsps"
	}
	_, path, _ := strings.Cut(rest, "/")
	return scheme + "://" + address + "/" + path
}

// redirectSessions sends REDIRECT to count of the playing sessions (RFC 2326 section 10.10). They keep playing
// here until the players leave.
func (f *Front) redirectSessions(count int) {
	for _, pb := range f.playbacks {
		if count == 0 {
			return
		}
		if pb == nil || pb.finished || !pb.answered || pb.redirected {
			continue
		}
		pb.redirected = true
		count--
		location := f.redirectURL(pb.player, pb.target.baseURL)
		if location == "" {
			continue
		}
		f.Figures.SentOn++
		peer := pb.player
		peer.lastCSeq++
		f.send(peer, rtsp.NewRequest(rtsp.Redirect, pb.target.baseURL, peer.lastCSeq).With("Session", pb.sessionID).With("Location", location))
	}
}

// seatsExhausted reports whether all seats of a title are taken, together with those that the draining process
// before this one holds.
func (f *Front) seatsExhausted(target *playbackTarget) bool {
	plan := &f.Site.Plans[target.plan]
	taken := f.handover.HeldSeats(life.Seat{Plan: f.Plans[target.plan].Name, Title: target.title})
	if plan.Seats == 0 || taken == 0 {
		return false
	}
	for _, pb := range f.playbacks {
		if pb != nil && !pb.finished && pb.target.plan == target.plan && pb.target.title == target.title {
			taken++
		}
	}
	return taken >= plan.Seats
}

// SeatsInUse returns the number of seats that this front's playbacks hold, by plan and title.
func (f *Front) SeatsInUse() map[life.Seat]int {
	seats := map[life.Seat]int{}
	for _, pb := range f.playbacks {
		if pb != nil && !pb.finished && f.Site.Plans[pb.target.plan].Seats > 0 {
			seats[life.Seat{Plan: f.Plans[pb.target.plan].Name, Title: pb.target.title}]++
		}
	}
	return seats
}

// TakeOver makes the front take over from another process, which drains. Seats and free tries are limited for
// both processes together, as for one session manager.
func (f *Front) TakeOver() {
	f.handover.TrySpan = f.Site.Terms.RetrySpan
	f.handover.TookOver(f.now)
	configured := f.Site.Terms.FreeRetries
	var update func()
	update = func() {
		free, until := f.handover.FreeTries(configured, f.now)
		if f.Site.Terms.FreeRetries = free; until > 0 {
			f.timers.Set(nil, until, update)
		}
	}
	update()
}

// AdoptOrphans tears down the sessions that a dead process left at boxes. ended is called once none is left.
func (f *Front) AdoptOrphans(orphans []life.Orphan, ended func()) {
	f.orphans.SessionTimeout = f.SessionTimeout
	f.orphans.MaxConcurrent = max(f.Bounds.Playbacks/orphanPlaybackDivisor, 1)
	f.orphans.Add(orphans, f.now)
	f.orphansEnded = ended
	f.tearDownOrphans()
}

func (f *Front) tearDownOrphans() {
	next := f.orphans.Dispatch(f.now, f.tearDownOrphan)
	if next >= 0 {
		f.orphanTimer = f.timers.Set(f.orphanTimer, max(next, f.now+1), f.tearDownOrphans)
	}
	if f.orphans.Remaining() == 0 && f.orphansEnded != nil {
		f.orphansEnded()
		f.orphansEnded = nil
	}
}

// tearDownOrphan ends one orphan: it sends TEARDOWN with its journal name, on a connection of its own.
func (f *Front) tearDownOrphan(orphan life.Orphan, done func(Time, bool)) {
	dialogue := &serverDialogue{server: -1, state: stateOrphan, uri: orphan.URI, orphanName: orphan.Name}
	dialogue.done = func(answered bool) {
		done(f.now, answered)
		f.deferred = append(f.deferred, f.tearDownOrphans)
	}
	f.dialAddress(dialogue, orphan.Address, orphan.Address)
	dialogue.timer = f.timers.Set(nil, f.now+probeLimit(&f.Site), func() {
		f.closeDialogue(dialogue)
		dialogue.done(false)
	})
}

// ReloadConfig holds the settings that a reload changes, from the next turn on. Playbacks in set-up keep the settings
// with which they were taken.
type ReloadConfig struct {
	Bounds         Bounds
	SessionTimeout Time
	Abandon        []Time    // of the plans, in the order of Site.Plans
	Quotas         []float64 // of the tenants, in the order of Site.Tenants
	Queue          *fair.Config
	Limits         fair.Limits
	Life           life.Timeouts
}

// Reload applies new settings between two turns.
func (f *Front) Reload(config *ReloadConfig) {
	f.Bounds, f.SessionTimeout = config.Bounds, config.SessionTimeout
	for i := range f.Plans {
		f.Plans[i].Abandon = config.Abandon[i]
	}
	for i := range f.Site.Tenants {
		f.Site.Tenants[i].QuotaPerS = config.Quotas[i]
	}
	f.UpdateLimits(config.Queue, config.Limits)
	if config.Queue != nil {
		f.Queue = config.Queue
	}
	if f.Access != nil { // shares from the directory take precedence over the settings
		f.Access.Rows.Invalidate()
		f.Access.Core.QueueAllTenants()
	}
	if f.lifecycle != nil {
		f.lifecycle.Reload(config.Life)
	}
}

// shortestStartupTarget is the shortest shortestStartupTarget target of the plans.
func shortestStartupTarget(plans []session.Plan) (shortest Time) {
	for i, plan := range plans {
		if i == 0 || plan.StartupTarget < shortest {
			shortest = plan.StartupTarget
		}
	}
	return shortest
}
