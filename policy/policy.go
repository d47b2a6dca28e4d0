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
	brim       = 0.90                // the design's mark: a stream opens where it leaves the link under this
	admit      = 0.86                // at the lowest rung a playback is still taken up to here
	spare      = 0.50                // how much lower the mark lies for the rungs that earn least for their rate
	shortAt    = 1.03                // from here on streams step down
	relieved   = 0.97                // and go on until the link is asked so much
	upBelow    = 0.04                // stepping up leaves so much more free than opening does
	trust      = 0.50                // weight of a new reading against what was expected of it
	blend      = 0.05                // weight of one reading in what is usual of such links, at the least
	swing      = 0.08                // chance added to the fill, so that fronts do not all pick the same server
	gather     = 0.30                // the same for live titles, but equal at all fronts
	probeSpend = 0.01                // probes may cost this part of the whole result
	coldShare  = 0.75                // of the cold budget, for the unknown shape of the ramp
	changePays = 2.0                 // a step up must earn its cost so many times
	buckets    = 8                   // of a ring's span
	history    = 32                  // buckets of a gauge's own past
	tenantSpan = 10 * session.Second // over which a tenant's rate is held against its share
	least      = 0.50                // the price of room stays over this part of what the densest floor earns
	follow     = 0.03                // and follows the best step left untaken so fast, a tick
	knew       = 0.25                // a short note that tells of so much more than was known counts at once
	unheard    = 0.60                // fill of a link not heard of, to a manager just back, at the least
	shows      = 2                   // note delays until a step, or the end of a shortage, shows in the readings
	served     = 0.98                // share of its rate from which a playback loses nothing
	even       = 0.30                // so far behind the others a plan counts as the worst in full
	rush       = 2                   // times what one front's set-ups differ by chance
	widest     = 2                   // an untold uplink is taken to give so many times the mean at most
	never      = math.MinInt64 / 4   // a moment long before any clock
)

const (
	owed = iota
	reject
	abort
)

// New returns the decision module of one front.
func New(site *session.Site, seed uint64, now Time) session.Manager {
	f := newFront(site, seed, now)
	for i, p := range site.Plans {
		f.best = max(f.best, p.Revenue*f.worth(p.Floor)/f.rate(i, p.Floor))
		f.price, f.slowest = f.best, max(f.slowest, p.Startup)
	}
	f.life, f.watchAt = 2*float64(site.Terms.WarmUp), never
	if site.ListOnRequest {
		f.watchAt = now
	}
	f.wakeAt, f.fearedUntil = now+1, now+site.Terms.WarmUp
	return f
}

// fill is what is asked of the link, in parts of what it gives. What the others ask is the latest reading,
// which fades to what is usual as their playbacks end; of a link not heard of it is the usual.
func (g *gauge) fill(f *front) float64 {
	w := g.fresh(f)
	return max(g.base*w+g.others(f)*(1-w), 0) + g.own/g.kb
}

// others is what other fronts usually ask; of an uplink that no report tells it is what its links are asked.
func (g *gauge) others(f *front) float64 {
	if !f.Fleet.UplinkUntold || g.usual != &f.uplinks {
		return g.usual.fill(f)
	}
	kb := -g.own
	for _, i := range g.behind {
		if s := &f.servers[i]; s.entry.State != session.Gone {
			kb += s.link.fill(f) * s.link.kb
		}
	}
	return max(kb, 0) / g.kb
}

// fit takes an uplink that no report tells of to give what makes its links' asking come to a fill of x.
func (g *gauge) fit(f *front, x float64) {
	g.kb = min(max(g.kb*g.fill(f)/x, f.Fleet.UplinkKB/widest), f.Fleet.UplinkKB*widest)
}

// widen takes such an uplink for wider while none of this front's playbacks behind it is told to be short.
func (f *front) widen(g *gauge, tick Time) {
	if !f.Fleet.UplinkUntold || g.own == 0 || f.now-g.shortAt < shows*f.Fleet.NoteDelay+session.Second {
		return
	}
	x := g.fill(f)
	g.fit(f, min(x, 1)/(1+float64(tick)/f.life))
}

// fresh is how much the last reading still tells.
func (g *gauge) fresh(f *front) float64 {
	if !g.known {
		return 0
	}
	return f.life / (f.life + float64(f.now-g.readAt))
}

// fill is the mean of what others ask; unheard, as this front asks, within limits: it may have few playbacks.
func (u *usual) fill(f *front) float64 {
	if u.heard > 0 {
		return u.mean
	}
	x := u.own * float64(f.Fronts-1) / u.kb
	if f.fearedUntil != never || x > unheard {
		return unheard
	}
	return x
}

// read takes a reading of the fill as it was at a moment past.
func (g *gauge) read(f *front, x float64, asOf Time) {
	w, u := (1-trust)*g.fresh(f), g.usual
	x -= g.past.At(f.now, asOf) / g.kb
	dt := float64(f.now - u.readAt)
	u.mean = u.fill(f) + (x-u.fill(f))*max(blend, dt/(dt+f.life/4), 1/(2+u.heard))
	u.heard++
	u.readAt = f.now
	g.base, g.known, g.readAt = (1-w)*x+w*g.base, true, f.now
}

// newsSpan is how old news of a link may be before the next comes.
func (f *front) newsSpan() Time {
	return f.Fleet.NoteDelay + max(f.Fleet.NoteEvery, shows*f.Fleet.NoteDelay)
}

// At begins a turn. One that comes late finds news that is older than it looks.
func (f *front) At(now Time) {
	f.now, f.late = now, max(now-f.wakeAt, 0)
	// A rush meets all fronts at once, whatever its cause, before a reading shows it: what this front set up of
	// late beyond what ended, less a few by chance, the others are taken to have set up too.
	kb := f.Ladder.RateKB[len(f.Ladder.RateKB)/2]
	usual := f.links.own / kb * float64(f.newsSpan()) / f.life
	beyond := f.added.Least(now)/kb - usual - rush*math.Sqrt(usual+1)
	f.unseen = max(beyond, 0) * kb * float64(f.Fronts-1) / f.Fleet.LinksKB
}

// Listed follows the list of servers.
func (f *front) Listed(l session.List) {
	if l.Failed {
		if f.ListOnRequest {
			f.watchAt = f.now + f.Terms.AskWithin/4
		}
		return
	}
	if l.Whole && f.StartsTold { // which servers are cold is known from here on
		f.fearedUntil = min(f.fearedUntil, f.now)
	}
	for i := 0; l.Whole && i < len(f.servers); i++ {
		f.servers[i].entry.State = session.Gone
	}
	for _, e := range l.Entries {
		s := f.server(e.Server)
		was := s.entry
		f.enter(s, e)
		if e.Started > 0 && e.Started != was.Started && e.Started+f.Terms.WarmUp > f.now {
			// a restart: what was known of the process is void, and all managers hear of it at once
			s.coldUntil, s.coldTold = e.Started+f.Terms.WarmUp, true
			s.shunUntil, s.strikes, s.trial = 0, 0, false
			s.link.base, s.link.known, s.link.readAt = 0, true, f.now // it comes back empty
			if f.now-f.started < f.Terms.FallSpan {
				s.cold.Add(f.now, f.coldBudget(s)) // just back: what it sent before is forgotten
			}
		}
	}
	places := 0.0
	for i := range f.servers {
		places += f.Fleet.Places[f.servers[i].entry.Kind]
	}
	for i := range f.servers {
		s := &f.servers[i]
		s.link.kb = f.Fleet.LinksKB * f.Fleet.Places[s.entry.Kind] / places
		if told := s.entry.Weight * f.Fleet.KBPerWeight; f.Fleet.WeightsTold && told > 0 {
			s.link.kb = told
		}
	}
}

// coldBudget is this front's share of what a cold server takes within the span of the rule. Under one
// set-up the fronts take turns, counted from its start, and use half a turn: no span sees more than are due.
func (f *front) coldBudget(s *server) float64 {
	t := &f.Terms
	warmth := 1 - (1-t.ColdFrom)*float64(max(s.coldUntil, f.fearedUntil)-f.now)/float64(t.WarmUp)
	all := coldShare * f.Fleet.Places[s.entry.Kind] / float64(t.WarmUp) * float64(t.FallSpan) * t.FallMultiple
	b := all * min(max(warmth, t.ColdFrom), 1) / float64(f.Fronts)
	if b >= 1 || !s.coldTold {
		return max(b, 1)
	}
	turn := float64(f.now-s.entry.Started) / float64(t.FallSpan) * (max(math.Floor(all*t.ColdFrom), 1) - 0.5)
	if k := int(turn); turn-float64(k) < 0.5 && (k+s.entry.Cell)%f.Fronts == f.Front {
		return 1
	}
	return b
}

// usable tells whether a set-up may go to the server now.
func (f *front) usable(i int) bool {
	s := &f.servers[i]
	if s.entry.State != session.Ready || f.now < s.shunUntil || s.trial && s.out > 0 {
		return false
	}
	// A manager that has just come back cannot know which servers are cold, unless it was handed playbacks.
	return f.now >= max(s.coldUntil, f.fearedUntil) || s.cold.Most(f.now)+1 <= f.coldBudget(s)
}

// fullness is the tighter of link and uplink once kb more are asked.
func (f *front) fullness(s *server, kb float64) float64 {
	k, link := &f.racks[s.rack], s.link.kb
	if f.now < s.coldUntil {
		link *= f.Terms.ColdFrom
	}
	part := min(float64(f.now-s.link.readAt)/float64(f.newsSpan()), 1)
	return max(s.link.fill(f)+kb/link, k.fill(f)+kb/k.kb) + f.unseen*part
}

// mark is how full a link may get by a step that earns so much for the rate it adds: it leaves room for steps
// that earn more and for viewers still to come.
func (f *front) mark(density float64) float64 {
	return brim * (1 - spare*(1-min(1, density/f.price)))
}

// revenue is a plan's, less what the tenant's traffic beyond its share is not worth.
func (f *front) revenue(pb *playback) float64 {
	r := f.Plans[pb.Plan].Revenue * f.plans[pb.Plan].weight
	if pb.Tenant < len(f.tenants) {
		t := &f.tenants[pb.Tenant]
		since := float64(max(min(tenantSpan, f.now-f.started), session.Second)) / float64(session.Second)
		rate := t.Least(f.now) / since * float64(f.Fronts)
		if q := f.Site.Tenants[pb.Tenant].QuotaPerS; rate > q && q > 0 {
			r *= q/rate + (1-q/rate)*f.Prices.OverShare
		}
	}
	return r
}

// openRung is the best rung for opening at a server, -1 if none fits.
func (f *front) openRung(pb *playback, s *server) int {
	p := &f.Plans[pb.Plan]
	viewers := max(float64(f.viewers+1)/float64(f.running+1), 2) // it is opened for one more at least
	for r := pb.Top; r > p.Floor; r-- {
		kb := f.rate(pb.Plan, r)
		step := kb - f.rate(pb.Plan, r-1)
		if p.Live { // others are still to join it, as many as this front has seen come together
			step *= (1 + f.Ladder.Join*(viewers-1)) / viewers
		}
		if f.fullness(s, kb) <= f.mark((f.worth(r)-f.worth(r-1))*f.revenue(pb)/step) {
			return r
		}
	}
	if f.fullness(s, f.rate(pb.Plan, p.Floor)) <= admit {
		return p.Floor
	}
	return -1
}

// can tells whether the next try of a playback may go to a server.
func (f *front) can(pb *playback, i int) bool {
	return !slices.Contains(pb.tried, i) && f.holds(pb, &f.servers[i]) && f.may(pb, i) && f.usable(i)
}

// place finds a server and a rung: a running stream to join, else the roomiest holder, local ones first.
func (f *front) place(pb *playback) (srv, rung int, remote bool) {
	var run *stream
	var room float64
	for i := range f.servers {
		s := &f.servers[i]
		if !f.Plans[pb.Plan].Live || !f.can(pb, i) {
			continue
		}
		for _, st := range s.streams {
			if st.title != pb.Title || st.plan != pb.Plan || st.rung > pb.Top || s.entry.Zone != f.Zone && !st.opened {
				continue
			}
			kb := f.rate(pb.Plan, st.rung) * f.Ladder.Join
			full := f.fullness(s, kb)
			if full <= relieved && // it asks a part of what one more stream would
				(run == nil || run.opened && !st.opened || run.opened == st.opened &&
					(st.rung > run.rung || st.rung == run.rung && full < room)) {
				run, room = st, full
			}
		}
	}
	if run != nil && !run.opened {
		return run.server, run.rung, false
	}
	if run != nil && float64(len(run.members)) < f.goHome() {
		return run.server, run.rung, true
	}
	if srv, rung = f.open(pb, true); rung >= 0 {
		if run != nil && f.Prices.CrossZone > f.Prices.Move {
			for _, m := range run.members { // they come back as requests and join the local stream
				m.wantMove = m.plays && f.Plans[m.Plan].Repeat != session.Unsafe // it would be paid again
				f.touch(m)
			}
		}
		return srv, rung, false
	}
	if run != nil {
		return run.server, run.rung, true
	}
	if far, r := f.open(pb, false); r >= 0 || srv < 0 {
		return far, r, true
	}
	return srv, rung, false
}

// goHome is the paper's mark 2(1-c)/c. Its c is the price of crossing zones against that and what the room
// of one more stream would earn at the lowest rung.
func (f *front) goHome() float64 {
	c := f.Prices.CrossZone / (f.Prices.CrossZone + f.worth(0)) // 0 without a price: never
	return 2 * (1 - c) / c
}

// open finds the roomiest holder of the zone, or of the others, and a new stream's rung, -1 if none fits.
func (f *front) open(pb *playback, local bool) (srv, rung int) {
	srv = -1
	var room float64
	for i := range f.servers {
		s := &f.servers[i]
		if (s.entry.Zone == f.Zone) != local || !f.can(pb, i) {
			continue
		}
		full := f.fullness(s, f.rate(pb.Plan, f.Plans[pb.Plan].Floor))
		if f.Plans[pb.Plan].Live { // all fronts lean to the same holders, where their viewers share
			full += gather * meet(pb.Show, s.entry.Cell)
		} else {
			full += swing * f.chance()
		}
		if srv < 0 || full < room {
			srv, room = i, full
		}
	}
	if srv < 0 {
		return -1, -1
	}
	return srv, f.openRung(pb, &f.servers[srv])
}

// may keeps keyed plans within their scope once a try may have run.
func (f *front) may(pb *playback, i int) bool {
	p := &f.Plans[pb.Plan]
	if p.Repeat == session.Harmless || pb.ranAt < 0 {
		return true
	}
	a, b := &f.servers[pb.ranAt].entry, &f.servers[i].entry
	return p.Repeat == session.Keyed && f.now-pb.ranSince < p.Window &&
		(p.Scope == session.Everywhere || p.Scope == session.SameZone && a.Zone == b.Zone ||
			p.Scope == session.SameCell && a.Cell == b.Cell)
}

func (f *front) Requested(r session.Request) {
	pb := f.take(r)
	f.taken.Add(f.now, 1)
	if pb.Tenant < len(f.tenants) {
		f.tenants[pb.Tenant].Add(f.now, 1)
	}
	f.decide(pb)
}

// decide sends a playback that has no try out, or answers it.
func (f *front) decide(pb *playback) {
	f.touch(pb)
	p := &f.Plans[pb.Plan]
	key := [2]int{pb.Plan, pb.Title}
	left := pb.Abandon - f.now
	seated := p.Seats == 0 || f.seats[key] < p.Seats
	again := pb.tries == 0 || pb.tries < f.Terms.MaxTries && f.rationLeft()
	if pb.Top >= p.Floor && seated && again && float64(left) > 2*f.typical && left > 0 {
		srv, rung, remote := f.place(pb)
		if srv >= 0 && f.look(pb, srv) { // before a rejection too
			return
		}
		if rung >= 0 {
			pb.wantServer, pb.wantRung = srv, rung
			f.attach(pb, srv, rung)
			if remote && len(pb.stream.members) == 1 {
				pb.stream.opened = true
			}
			pb.limit = f.limit(pb)
			pb.tries++
			if pb.tries > 1 {
				f.extra.Add(f.now, 1)
			}
			f.added.Add(f.now, f.rate(pb.Plan, rung))
			f.hold(pb, srv)
			f.servers[srv].cold.Add(f.now, 1)
			return
		}
	}
	pb.wantEnd = reject
	unsure := p.Repeat == session.Unsafe || p.Repeat == session.Keyed && p.Scope != session.Everywhere
	if pb.ranAt >= 0 && unsure {
		pb.wantEnd = abort
	}
}

// look holds a playback back for a probe of the server chosen, as its rung depends on load not heard of.
func (f *front) look(pb *playback, srv int) bool {
	s := &f.servers[srv]
	if f.heard(s) || pb.looked || !f.probing() || f.now+f.slowest > pb.Abandon {
		return false
	}
	pb.looked = true
	s.waiting = append(s.waiting, pb)
	f.ask(srv)
	return true
}

// heard tells whether the server's load was told lately enough to decide by.
func (f *front) heard(s *server) bool {
	return f.now-s.link.readAt < f.Fleet.NoteDelay || f.Fleet.LoadInAnswers && 2*s.link.fresh(f) > 1
}

func (f *front) seen(s *server) {
	waiting := s.waiting
	s.waiting = nil
	for _, pb := range waiting {
		if !pb.gone {
			f.decide(pb)
		}
	}
}

// probing tells whether probes tell load, and another one is within the playbacks' part for them.
func (f *front) probing() bool {
	return f.Terms.Probes && f.Fleet.LoadInProbes &&
		f.probes < math.Floor(f.takes*probeSpend/max(f.Prices.Probe, probeSpend/2))
}

func (f *front) ask(i int) {
	if s := &f.servers[i]; !s.probeOut {
		s.probeOut, s.probedAt = true, f.now
		f.probes++
		f.wantProbes = append(f.wantProbes, i)
	}
}

func (f *front) rationLeft() bool {
	t := &f.Terms
	return !t.Rationed || f.extra.Most(f.now)+1 <= t.FreeTries+t.TryShare*f.taken.Least(f.now)
}

// limit leaves time for another try within the startup target, while there is one to be had.
func (f *front) limit(pb *playback) Time {
	if p := &f.Plans[pb.Plan]; p.Repeat == session.Unsafe { // the only one; its viewer hears when it is lost
		return p.Startup
	}
	left := pb.Abandon - f.now
	if aim := pb.aim - f.now; float64(aim) > 4*f.typical && aim > 0 {
		left = aim
	}
	if pb.tries+1 < f.Terms.MaxTries {
		left /= 2
	}
	return left
}

// Opened takes over a playback that plays already.
func (f *front) Opened(r session.Request, srv int) {
	pb := f.take(r)
	pb.tries, pb.out, pb.plays = 1, true, true
	f.attach(pb, srv, pb.setRung)
	pb.wantRung, pb.stream.changedAt, f.fearedUntil = pb.setRung, never, never
	f.hold(pb, srv)
	f.answered(srv, true)
}

func (f *front) Playing(id, try, srv int, took Time) {
	pb := f.pbs[id]
	if pb == nil || !pb.out || try != pb.tries-1 || pb.plays {
		return
	}
	pb.plays = true
	f.answered(srv, true)
	f.typical += (float64(took) - f.typical) / 16
}

// answered notes that a setup try at a server has come to an end, well or not.
func (f *front) answered(srv int, well bool) {
	s := f.server(srv)
	s.out = max(s.out-1, 0)
	if !well {
		return
	}
	if s.trial && f.now >= s.coldUntil { // it may have restarted unseen; its list entry may be on the way
		s.coldUntil, s.coldTold = f.now+f.Terms.WarmUp, false
	}
	s.trial, s.erred = false, false
	s.strikes /= 2
}

// strike keeps new work off a server that fails, resets or keeps silent, twice as long each time.
// It guards against whatever makes set-ups end badly there; it harms where single errors are common.
func (f *front) strike(srv int, o session.Outcome) {
	s := f.server(srv)
	fault := o != session.TimedOut || f.late < f.slowest/4         // or this late front was at fault
	if s.trial = s.trial || fault; fault && f.now >= s.shunUntil { // else the same trouble, told again
		s.shunUntil = f.now + f.slowest/2<<min(s.strikes, 3)
		s.strikes++
	}
}

// err strikes a server for an error only when it errs on two playbacks running, the second of which erred
// nowhere else: it guards against requests that no server can use. One that errs on all costs a try more.
func (f *front) err(pb *playback, srv int) {
	s := f.server(srv)
	if s.erred && !pb.erred {
		f.strike(srv, session.Failed)
	}
	s.erred, pb.erred = true, true
}

// Ended takes the end of a setup try or of a playback.
func (f *front) Ended(r session.Result) {
	pb := f.pbs[r.Playback]
	if pb == nil || !pb.out || r.Try != pb.tries-1 {
		return
	}
	f.loaded(r.Server, r.Load, f.now-f.Fleet.NoteDelay/2-f.late)
	f.release(pb)
	switch r.Outcome {
	case session.Failed:
		f.err(pb, r.Server)
	case session.TimedOut, session.NoConnection, session.Reset:
		f.strike(r.Server, r.Outcome)
	case session.Full: // at least as full as it was thought to be, guard told or not
		f.server(r.Server).link.read(f, max(f.Fleet.FullFrom, f.server(r.Server).link.fill(f)), f.now)
	}
	if !pb.plays {
		f.answered(r.Server, false)
	} else if r.Outcome == session.OK {
		f.life += (float64(f.now-pb.since) - f.life) / 16
	}
	if r.Final || pb.plays || pb.gone {
		f.forget(pb)
		return
	}
	neverRan := r.Outcome == session.Full || r.Outcome == session.NoConnection || r.Outcome == session.NotSent
	if !neverRan && pb.ranAt < 0 {
		pb.ranAt, pb.ranSince = r.Server, f.now-r.Took
	}
	pb.wantServer = -1
	pb.tried = append(pb.tried, r.Server)
	f.decide(pb)
}

func (f *front) Left(id int) {
	if pb := f.pbs[id]; pb != nil && !pb.gone {
		pb.wantEnd, pb.gone = owed, true
		if !pb.out { // a try may have been decided on and not sent yet
			if pb.wantServer >= 0 {
				f.answered(pb.wantServer, false)
			}
			f.release(pb)
			f.forget(pb)
		}
	}
}

func (f *front) loaded(srv int, l session.Load, asOf Time) {
	s := f.server(srv)
	if l.HasLink {
		if l.Capped && l.Link >= 1 {
			l.Link = max(l.Link, s.link.fill(f))
		}
		s.link.read(f, l.Link, asOf)
		f.relieve(&s.link, func(x int) bool { return x == srv })
	}
	if l.HasUplink {
		f.racks[s.rack].read(f, l.Uplink, asOf)
		f.relieve(&f.racks[s.rack], func(x int) bool { return f.servers[x].rack == s.rack })
	}
}

// Probed takes the answer to a probe.
func (f *front) Probed(srv int, o session.Outcome, l session.Load) {
	s := f.server(srv)
	s.probeOut = false
	if o == session.OK {
		f.loaded(srv, l, f.now-f.Fleet.NoteDelay/2-f.late)
	} else if s.entry.State == session.Ready && o != session.Full {
		f.strike(srv, o)
	}
	f.seen(s)
}

// Noted takes news on a playback.
func (f *front) Noted(n session.Note) {
	pb := f.pbs[n.Playback]
	if pb == nil {
		return
	}
	then := f.now - f.Fleet.NoteDelay - f.late
	switch n.Kind {
	case session.RungNow:
		f.playsAt(pb, int(n.Value))
	case session.LinkAsked:
		f.loaded(n.Server, session.Load{Link: n.Value, HasLink: true}, then)
	case session.UplinkAsked:
		f.loaded(n.Server, session.Load{Uplink: n.Value, HasUplink: true}, then)
	case session.Delivered:
		f.delivered(n.Server, n.Value, then)
	}
}

// delivered takes the share of their rates that playbacks at a server get for the fuller of its link and its
// rack's uplink.
func (f *front) delivered(srv int, share float64, then Time) {
	s := &f.servers[srv]
	g, behind := &s.link, func(x int) bool { return x == srv }
	if f.racks[s.rack].fill(f) > g.fill(f) {
		g, behind = &f.racks[s.rack], func(x int) bool { return f.servers[x].rack == s.rack }
	}
	known, asked := g.fill(f), 1/max(share, 0.1)
	if share >= served && (known <= 1 || !f.Fleet.LoadInAnswers) {
		return // where no notes follow, an end would be taken for brimful for long
	}
	if g != &s.link && f.Fleet.UplinkUntold {
		g.fit(f, asked)
	} else {
		nearer := f.now-g.readAt < f.Fleet.NoteEvery && known > asked-knew // this one is smoothed
		if nearer || share < served && known >= asked {
			return
		}
		g.read(f, asked, then)
	}
	f.relieve(g, behind)
}

// relieve answers a shortage: of the streams behind the gauge those go one rung down that lose least for
// the rate they free, until this front's part of what is too much is gone; the other fronts do the same.
func (f *front) relieve(g *gauge, behind func(srv int) bool) {
	x := g.fill(f)
	if x > shortAt {
		g.shortAt = f.now
	}
	if x <= shortAt || f.now-g.steppedAt < shows*f.Fleet.NoteDelay { // a step taken is not in the readings yet
		return
	}
	for need := (x - relieved) / x * g.own; need > 0; {
		var worst *stream
		least, frees := math.Inf(1), 0.0
		for i := range f.servers {
			if !behind(i) {
				continue
			}
			for _, st := range f.servers[i].streams {
				if st.rung <= f.Plans[st.plan].Floor || f.now-st.changedAt < shows*f.Fleet.NoteDelay {
					continue
				}
				revenue := f.Plans[st.plan].Revenue * f.plans[st.plan].weight * float64(len(st.members))
				lost := (f.worth(st.rung) - f.worth(st.rung-1)) * revenue
				freed := f.streamKB(st, len(st.members)) * (1 - f.rate(st.plan, st.rung-1)/f.rate(st.plan, st.rung))
				if lost/freed < least {
					worst, least, frees = st, lost/freed, freed
				}
			}
		}
		if g.steppedAt = f.now; worst == nil || need < frees*f.chance() {
			return // where a part of the stream would do, some of the fronts step theirs
		}
		f.step(worst, worst.rung-1)
		need -= frees
	}
}

// stepUp is what a stream's next rung earns and asks more; nothing unless all its viewers can take it.
func (f *front) stepUp(st *stream) (gain, kb float64) {
	for _, pb := range st.members {
		if pb.Top == st.rung || !pb.plays || pb.moving {
			return 0, 1
		}
		gain += f.revenue(pb) * (f.worth(st.rung+1) - f.worth(st.rung))
	}
	return gain, f.streamKB(st, len(st.members)) * (f.rate(st.plan, st.rung+1)/f.rate(st.plan, st.rung) - 1)
}

// raise takes streams one rung up where there is room and no shortage was heard of.
func (f *front) raise(i int) {
	s := &f.servers[i]
	k := &f.racks[s.rack]
	if s.entry.State != session.Ready || f.now < max(s.shunUntil, s.coldUntil) ||
		!s.link.known && f.Fleet.LoadInAnswers ||
		f.now-max(s.link.shortAt, k.shortAt, s.link.steppedAt, k.steppedAt) < shows*f.Fleet.NoteDelay {
		return
	}
	for others := 1.0; ; others = float64(f.Fronts) { // more steps than one leave the other fronts their room
		var pick *stream
		most := 0.0
		for _, st := range s.streams {
			gain, kb := f.stepUp(st)
			if gain/kb <= most || f.fullness(s, kb*others) > f.mark(gain/kb)-upBelow {
				continue
			}
			pays := changePays * float64(f.Ladder.Change) / (f.worth(st.rung+1) - f.worth(st.rung))
			if float64(f.now-st.changedAt) >= pays { // the last one has earned its cost
				pick, most = st, gain/kb
			}
		}
		if pick == nil {
			return
		}
		if !f.Fleet.LoadInAnswers && !f.heard(s) && f.probing() { // the answer decides
			f.ask(i)
			return
		}
		f.step(pick, pick.rung+1)
		s.link.steppedAt, k.steppedAt = f.now, f.now
	}
}

// weighPlans gives the plan served worst the weight that the site counts it with beside the whole.
func (f *front) weighPlans(tick Time) {
	step := float64(tick) / (float64(tick) + f.life) // under 1, however short playbacks are against a tick
	for i := range f.plans {
		f.plans[i].asked *= 1 - step
		f.plans[i].earned *= 1 - step
	}
	for i := range f.servers {
		for _, st := range f.servers[i].streams {
			p := &f.plans[st.plan]
			for _, pb := range st.members {
				p.asked += step * f.Plans[st.plan].Revenue * f.worth(pb.Top)
				p.earned += step * f.Plans[st.plan].Revenue * f.worth(st.rung)
			}
		}
	}
	all, earned := 0.0, 0.0
	for _, p := range f.plans {
		all, earned = all+p.asked, earned+p.earned
	}
	for i := range f.plans {
		p := &f.plans[i]
		if p.weight = 1; p.asked > 0 && all > p.asked {
			behind := (earned-p.earned)/(all-p.asked) - p.earned/p.asked
			w := f.Prices.WorstPlan / (1 - f.Prices.WorstPlan) * all / p.asked
			p.weight += w * min(max(behind/even, 0), 1)
		}
	}
}

// Woken runs what comes with time.
func (f *front) Woken(uint64) {
	if f.now < f.wakeAt {
		return
	}
	f.wakeAt = f.now + max(f.Fleet.NoteDelay/4, 1)
	most := least * f.best
	for i := range f.servers {
		for _, st := range f.servers[i].streams {
			gain, kb := f.stepUp(st)
			most = max(most, min(gain/kb, f.best))
		}
	}
	f.price += (most - f.price) * follow
	f.weighPlans(f.wakeAt - f.now)
	for i := range f.racks {
		f.widen(&f.racks[i], f.wakeAt-f.now)
	}
	for i := range f.servers {
		f.raise(i)
		if s := &f.servers[i]; len(s.waiting) > 0 && f.now-s.probedAt > f.slowest/4 {
			f.seen(s) // the look takes too long
		}
	}
}

// Settle emits the difference between what is wanted and what is out.
func (f *front) Settle(a session.Actions) {
	for i := 0; i < len(f.dirty); i++ {
		pb := f.dirty[i]
		pb.dirty = false
		switch pb.wantEnd {
		case reject:
			a.Reject(pb.Playback, f.Terms.MaxComeAgain)
		case abort:
			a.Abort(pb.Playback)
		}
		if pb.gone = pb.gone || pb.wantEnd != owed; pb.gone {
			if !pb.out && f.pbs[pb.Playback] == pb {
				f.pbs[pb.Playback] = nil
				a.Forget(pb.Playback)
			}
			continue
		}
		if pb.wantRung != pb.setRung {
			pb.setRung = pb.wantRung
			a.SetRung(pb.Playback, pb.wantRung)
		}
		if pb.wantServer >= 0 && !pb.out {
			pb.out = true
			a.Try(pb.Playback, pb.wantServer, pb.limit)
		}
		if pb.wantMove && !pb.moving {
			pb.moving = true
			a.Move(pb.Playback)
		}
	}
	f.dirty = f.dirty[:0]
	for _, i := range f.wantProbes {
		a.Probe(i)
	}
	f.wantProbes = f.wantProbes[:0]
	if f.watchAt != never && f.now >= f.watchAt {
		f.watchAt = never
		a.Watch()
	}
	if f.wakeAt != f.wokenAt {
		f.wokenAt = f.wakeAt
		a.Wake(f.wakeAt, 0)
	}
}
