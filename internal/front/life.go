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
type Daemon interface {
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
func (f *Front) Live(l *life.Life, d Daemon) { f.life, f.daemon = l, d }

// Life is the process's, nil where the front has none.
func (f *Front) Life() *life.Life { return f.life }

// Others are those that viewers are sent to when this one drains.
func (f *Front) Others() *life.Others { return &f.others }

// Heir is what this process leaves to the one whose place it took.
func (f *Front) Heir() *life.Heir { return &f.heir }

// Behind is how late this process is with its work.
func (f *Front) Behind() *life.Behind { return &f.behind }

// Orphans are what dead processes left behind at boxes.
func (f *Front) Orphans() *life.Orphans { return &f.orphans }

// Carried is what is open now.
func (f *Front) Carried() life.Load {
	x := life.Load{Waiting: len(f.waiting) + len(f.checking), Dialogues: int(f.Figures.Dialogues)}
	for _, p := range f.half {
		if !p.gone && !p.whole {
			x.Fresh++
		}
	}
	for _, pb := range f.pbs {
		switch {
		case pb == nil || pb.over:
		case !pb.answered:
			x.Waiting++
		default:
			x.Playing++
			if pb.sentOn {
				x.Sent++
			}
		}
	}
	return x
}

// live has the life emit what it wants.
func (f *Front) live() Time {
	if f.life == nil {
		return core.Never
	}
	f.life.At(f.now)
	x := life.Load{}
	if s, _ := f.life.State(); s > life.Ready {
		x = f.Carried()
	} else {
		x.Playing = int(f.Figures.Playbacks)
	}
	return f.life.Settle(x, func(a life.Act) {
		switch a.Kind {
		case life.Listen:
			f.daemon.Listen()
		case life.TellNews:
			s, _ := f.life.State()
			f.daemon.News(s)
		case life.Hush:
			f.daemon.Hush()
		case life.Refuse:
			f.refuse()
		case life.SendOn:
			f.sendOn(a.N)
		case life.End:
			f.Stop()
		case life.Exit:
			f.daemon.Exit()
		}
	})
}

// refuse takes nothing new from now on: what waits in line is sent elsewhere at once, and so is every new
// request. What has been put before the module goes on.
func (f *Front) refuse() {
	f.draining = true
	line := make([]int, 0, len(f.waiting))
	for n := range f.waiting {
		line = append(line, n)
	}
	slices.Sort(line)
	for _, n := range line {
		pb := f.waiting[n]
		f.leave(pb)
		f.Figures.Refused++
		f.answer(pb, f.elsewhere(pb.player, pb.ask.base))
	}
}

// elsewhere is the answer to a request that is to go to another session manager (RFC 2326 section 11.3.3), or
// to come again where none is known.
func (f *Front) elsewhere(p *peer, base string) *rtsp.Message {
	if to := f.place(p, base); to != "" {
		return rtsp.Answer(rtsp.StatusMoved, 0).With("Location", to)
	}
	return refusal(f.comeAgain())
}

// comeAgain is the advice that the door itself gives.
func (f *Front) comeAgain() Time {
	if f.Silent {
		return 0
	}
	return max(f.Site.Terms.MaxComeAgain, core.Second)
}

// place is a URL at another session manager; empty if none is ready.
func (f *Front) place(p *peer, base string) string {
	to := f.others.Next(p.conn.Secure)
	if to == "" {
		return ""
	}
	scheme, rest, _ := strings.Cut(base, "://")
	if p.conn.Secure {
		scheme = "rtsps"
	}
	_, path, _ := strings.Cut(rest, "/")
	return scheme + "://" + to + "/" + path
}

// sendOn tells some of the sessions that play to go elsewhere (RFC 2326 section 10.10). They play on here
// until they do.
func (f *Front) sendOn(n int) {
	for _, pb := range f.pbs {
		if n == 0 {
			return
		}
		if pb == nil || pb.over || !pb.answered || pb.sentOn {
			continue
		}
		pb.sentOn = true
		n--
		to := f.place(pb.player, pb.ask.base)
		if to == "" {
			continue
		}
		f.Figures.SentOn++
		p := pb.player
		p.asks++
		f.send(p, rtsp.Request(rtsp.Redirect, pb.ask.base, p.asks).With("Session", pb.session).With("Location", to))
	}
}

// seated tells whether a title's seats are all taken, with those of the process whose place this one took.
func (f *Front) seated(a *ask) bool {
	plan := &f.Site.Plans[a.plan]
	n := f.heir.Held(life.Seat{Plan: f.Plans[a.plan].Name, Title: a.title})
	if plan.Seats == 0 || n == 0 {
		return false
	}
	for _, pb := range f.pbs {
		if pb != nil && !pb.over && pb.ask.plan == a.plan && pb.ask.title == a.title {
			n++
		}
	}
	return n >= plan.Seats
}

// Seats are those that this front's playbacks hold.
func (f *Front) Seats() map[life.Seat]int {
	all := map[life.Seat]int{}
	for _, pb := range f.pbs {
		if pb != nil && !pb.over && f.Site.Plans[pb.ask.plan].Seats > 0 {
			all[life.Seat{Plan: f.Plans[pb.ask.plan].Name, Title: pb.ask.title}]++
		}
	}
	return all
}

// Succeed has the front take over from another process that drains: what both owe together as one session
// manager is kept.
func (f *Front) Succeed() {
	f.heir.TrySpan = f.Site.Terms.TrySpan
	f.heir.Take(f.now)
	told := f.Site.Terms.FreeTries
	var set func()
	set = func() {
		free, until := f.heir.FreeTries(told, f.now)
		if f.Site.Terms.FreeTries = free; until > 0 {
			f.timers.Set(nil, until, set)
		}
	}
	set()
}

// Adopt takes what a dead process left behind at boxes: it is torn down there. settled is called once none is
// left.
func (f *Front) Adopt(all []life.Orphan, settled func()) {
	f.orphans.Timeout = f.SessionTimeout
	f.orphans.AtOnce = max(f.Bounds.Playbacks/orphanPart, 1)
	f.orphans.Take(all, f.now)
	f.settled = settled
	f.adopt()
}

func (f *Front) adopt() {
	next := f.orphans.Settle(f.now, f.free1)
	if next >= 0 {
		f.orphanTimer = f.timers.Set(f.orphanTimer, max(next, f.now+1), f.adopt)
	}
	if f.orphans.Left() == 0 && f.settled != nil {
		f.settled()
		f.settled = nil
	}
}

// free1 ends one of them: TEARDOWN by its name, on a connection of its own.
func (f *Front) free1(x life.Orphan, done func(Time, bool)) {
	d := &dialogue{server: -1, state: freeing, uri: x.URI, orphan: x.Name}
	d.done = func(answered bool) {
		done(f.now, answered)
		f.again = append(f.again, f.adopt)
	}
	f.dialAt(d, x.Address, x.Address)
	d.timer = f.timers.Set(nil, f.now+probeLimit(&f.Site), func() {
		f.hangUp(d)
		d.done(false)
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
func (f *Front) Reload(n *Next) {
	f.Bounds, f.SessionTimeout = n.Bounds, n.SessionTimeout
	for i := range f.Plans {
		f.Plans[i].Abandon = n.Abandon[i]
	}
	for i := range f.Site.Tenants {
		f.Site.Tenants[i].QuotaPerS = n.Quotas[i]
	}
	f.Tell(n.Queue, n.Limits)
	if n.Queue != nil {
		f.Queue = n.Queue
	}
	if f.Gate != nil { // what the directory says goes before the settings
		f.Gate.Rows.Again()
		f.Gate.Core.TellAll()
	}
	if f.life != nil {
		f.life.Reload(n.Life)
	}
}

// startup is the shortest startup target of the plans.
func startup(plans []session.Plan) (least Time) {
	for i, p := range plans {
		if i == 0 || p.Startup < least {
			least = p.Startup
		}
	}
	return least
}
