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

// Daemon carries out what a life wants of the process around a front.
type Process interface {
	Listen()         // accept connections
	Hush()           // accept no more, after what has come already
	News(life.State) // tell the supervisor
	Exit()
}

// Journal notes what may run at boxes, so that a later process can end it should this one die. Opened is
// called before anything leaves for the box.
type Journal interface {
	Opened(life.Orphan)
	Ended(name string)
}

// Live has a front live a process's life: it is told what the life wants in its turns.
func (f *Front) Live(lifecycle *life.Life, process Process) {
	f.lifecycle, f.process = lifecycle, process
}

// Life is the process's, nil where the front has none.
func (f *Front) Life() *life.Life { return f.lifecycle }

// Others are those that viewers are sent to when this one drains.
func (f *Front) Others() *life.Others { return &f.otherManagers }

// Heir is what this process leaves to the one whose place it took.
func (f *Front) Heir() *life.Heir { return &f.handover }

// Behind is how late this process is with its work.
func (f *Front) Behind() *life.Behind { return &f.lag }

// Orphans are what dead processes left behind at boxes.
func (f *Front) Orphans() *life.Orphans { return &f.orphans }

// Carried is what is open now.
func (f *Front) Carried() life.Load {
	work := life.Load{Waiting: len(f.waiting) + len(f.authorizing), Dialogues: int(f.Figures.Dialogues)}
	for _, peer := range f.halfOpen {
		if !peer.closed && !peer.requestReceived {
			work.Fresh++
		}
	}
	for _, pb := range f.playbacks {
		switch {
		case pb == nil || pb.finished:
		case !pb.answered:
			work.Waiting++
		default:
			work.Playing++
			if pb.redirected {
				work.Sent++
			}
		}
	}
	return work
}

// live has the life emit what it wants.
func (f *Front) settleLifecycle() Time {
	if f.lifecycle == nil {
		return core.Never
	}
	f.lifecycle.At(f.now)
	work := life.Load{}
	if s, _ := f.lifecycle.State(); s > life.Ready {
		work = f.Carried()
	} else {
		work.Playing = int(f.Figures.Playbacks)
	}
	return f.lifecycle.Settle(work, func(act life.Act) {
		switch act.Kind {
		case life.Listen:
			f.process.Listen()
		case life.TellNews:
			s, _ := f.lifecycle.State()
			f.process.News(s)
		case life.Hush:
			f.process.Hush()
		case life.Refuse:
			f.startDraining()
		case life.SendOn:
			f.redirectSessions(act.N)
		case life.End:
			f.Stop()
		case life.Exit:
			f.process.Exit()
		}
	})
}

// refuse takes nothing new from now on: what waits in line is sent elsewhere at once, and so is every new
// request. What has been put before the module goes on.
func (f *Front) startDraining() {
	f.draining = true
	queueIDs := make([]int, 0, len(f.waiting))
	for n := range f.waiting {
		queueIDs = append(queueIDs, n)
	}
	slices.Sort(queueIDs)
	for _, n := range queueIDs {
		pb := f.waiting[n]
		f.withdraw(pb)
		f.Figures.Refused++
		f.reject(pb, f.redirectOrRefuse(pb.player, pb.target.baseURL))
	}
}

// elsewhere is the answer to a request that is to go to another session manager (RFC 2326 section 11.3.3), or
// to come again where none is known.
func (f *Front) redirectOrRefuse(peer *peerConn, base string) *rtsp.Message {
	if location := f.redirectURL(peer, base); location != "" {
		return rtsp.Answer(rtsp.StatusMoved, 0).With("Location", location)
	}
	return retryLaterResponse(f.retryAdvice())
}

// comeAgain is the advice that the door itself gives.
func (f *Front) retryAdvice() Time {
	if f.Silent {
		return 0
	}
	return max(f.Site.Terms.MaxComeAgain, core.Second)
}

// place is a URL at another session manager; empty if none is ready.
func (f *Front) redirectURL(peer *peerConn, base string) string {
	address := f.otherManagers.Next(peer.conn.Secure)
	if address == "" {
		return ""
	}
	scheme, rest, _ := strings.Cut(base, "://")
	if peer.conn.Secure {
		scheme = "rtsps"
	}
	_, path, _ := strings.Cut(rest, "/")
	return scheme + "://" + address + "/" + path
}

// sendOn tells some of the sessions that play to go elsewhere (RFC 2326 section 10.10). They play on here
// until they do.
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
		f.send(peer, rtsp.Request(rtsp.Redirect, pb.target.baseURL, peer.lastCSeq).With("Session", pb.sessionID).With("Location", location))
	}
}

// seated tells whether a title's seats are all taken, with those of the process whose place this one took.
func (f *Front) seatsExhausted(target *playbackTarget) bool {
	plan := &f.Site.Plans[target.plan]
	taken := f.handover.Held(life.Seat{Plan: f.Plans[target.plan].Name, Title: target.title})
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

// Seats are those that this front's playbacks hold.
func (f *Front) Seats() map[life.Seat]int {
	seats := map[life.Seat]int{}
	for _, pb := range f.playbacks {
		if pb != nil && !pb.finished && f.Site.Plans[pb.target.plan].Seats > 0 {
			seats[life.Seat{Plan: f.Plans[pb.target.plan].Name, Title: pb.target.title}]++
		}
	}
	return seats
}

// Succeed has the front take over from another process that drains: what both owe together as one session
// manager is kept.
func (f *Front) Succeed() {
	f.handover.TrySpan = f.Site.Terms.TrySpan
	f.handover.Take(f.now)
	configured := f.Site.Terms.FreeTries
	var update func()
	update = func() {
		free, until := f.handover.FreeTries(configured, f.now)
		if f.Site.Terms.FreeTries = free; until > 0 {
			f.timers.Set(nil, until, update)
		}
	}
	update()
}

// Adopt takes what a dead process left behind at boxes: it is torn down there. settled is called once none is
// left.
func (f *Front) Adopt(orphans []life.Orphan, ended func()) {
	f.orphans.Timeout = f.SessionTimeout
	f.orphans.AtOnce = max(f.Bounds.Playbacks/orphanPlaybackDivisor, 1)
	f.orphans.Take(orphans, f.now)
	f.orphansEnded = ended
	f.tearDownOrphans()
}

func (f *Front) tearDownOrphans() {
	next := f.orphans.Settle(f.now, f.tearDownOrphan)
	if next >= 0 {
		f.orphanTimer = f.timers.Set(f.orphanTimer, max(next, f.now+1), f.tearDownOrphans)
	}
	if f.orphans.Left() == 0 && f.orphansEnded != nil {
		f.orphansEnded()
		f.orphansEnded = nil
	}
}

// free1 ends one of them: TEARDOWN by its name, on a connection of its own.
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

// Next is what a reload changes: figures that hold from the next turn on. What is in set-up goes on under the
// terms that it was taken with.
type Next struct {
	Bounds         Bounds
	SessionTimeout Time
	Abandon        []Time    // of the plans, in the site's order
	Quotas         []float64 // of the tenants, in the site's order
	Queue          *fair.Terms
	Limits         fair.Limits
	Life           life.Terms
}

// Reload takes new figures between two turns.
func (f *Front) Reload(config *Next) {
	f.Bounds, f.SessionTimeout = config.Bounds, config.SessionTimeout
	for i := range f.Plans {
		f.Plans[i].Abandon = config.Abandon[i]
	}
	for i := range f.Site.Tenants {
		f.Site.Tenants[i].QuotaPerS = config.Quotas[i]
	}
	f.Tell(config.Queue, config.Limits)
	if config.Queue != nil {
		f.Queue = config.Queue
	}
	if f.Gate != nil { // what the directory says goes before the settings
		f.Gate.Rows.Again()
		f.Gate.Core.TellAll()
	}
	if f.lifecycle != nil {
		f.lifecycle.Reload(config.Life)
	}
}

// shortestStartupTarget is the shortest shortestStartupTarget target of the plans.
func shortestStartupTarget(plans []session.Plan) (shortest Time) {
	for i, plan := range plans {
		if i == 0 || plan.Startup < shortest {
			shortest = plan.Startup
		}
	}
	return shortest
}
