package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/front"
	"pierlink/internal/life"
	"pierlink/internal/quality"
	"pierlink/internal/standin/mediabox"
	"pierlink/internal/standin/player"
	"pierlink/policy"
	"pierlink/session"
)

// Stage is where a day is played: the virtual network, or loopback sockets.
type Environment interface {
	Now() Time
	At(at Time, call func())
	Start(name, zone string, build func(core.Net) core.Core)
	Addr(name string) string
	Kill(name string, silent bool)
	Call(name string, call func(core.Core)) // within a turn of the host
	Stand(name string, span Time)
	CutZones(a, b string, span Time)
	Player(name string)
}

// Tally is how a day went, as players and boxes counted it.
type Tally struct {
	Asked, Played, Rejected, Failed, Abandoned, Lost, Completed int
	Packets, Gaps                                               int
	Bytes                                                       int64
	Requests, Responses, Unasked                                int
	ByKind                                                      map[string]int // troubles played
	StartupTimes                                                []Time
	Fell, Setups                                                int
	Redirected                                                  int
	SentOn                                                      int // told while they played to go elsewhere
	Revenue, Offered                                            float64
	RevenueByTenth                                              []float64   // revenue by tenth of a second since the day began
	Fronts                                                      front.Stats // added up over all that ran
}

// Broken makes a front that breaks a rule on purpose, to show that its checker catches it: it may change
// what the module is told, or the network that the front sends by.
type FaultyFront struct {
	ChangeSite func(*session.Site)
	List       func(front.ListUpdate) front.ListUpdate
	WrapNet    func(core.Net) core.Net
	WrapModule func(session.Manager) session.Manager // changes what the module hears
	SeedMask   uint64                                // other draws of the module's chance
}

// Play is a day under way.
type Play struct {
	Day                                         *Day
	Tally                                       Tally
	stage                                       Environment
	tape                                        *Tape
	rng                                         *rand.Rand
	began                                       Time
	boxes                                       []*boxState
	racks                                       []*mediabox.Rack
	fronts                                      []*frontState
	surgeFactor                                 float64
	duplicateShare                              float64
	earlyLeaveShare                             float64
	crowdShare                                  float64
	viewerCount                                 int
	slowRack                                    int // of the trouble of that name
	service                                     map[quality.Group]quality.Totals
	broken                                      *FaultyFront
	log                                         *zap.Logger
	cumulativeZipf                              []float64
	Log                                         []*TenantViewer // of days with tenants
	viewerByProfile                             map[*player.Profile]*TenantViewer
	registry                                    *newsroom  // where the day has a registry
	processes                                   *Processes // where managers are processes of their own
	revenueCounted                              map[*player.Profile]bool
	Orphans                                     float64 // places that they take, mean over the day
	orphanSum, orphanSamples                    float64
	Seen                                        []player.Result // where managers are processes of their own
	profiles                                    []*player.Profile
	requestedAt                                 map[*player.Profile]Time
	zoneByHost                                  map[string]string
	capacityKB, meanFills, maxFills, unanswered []float64 // each half second, on the virtual network
	packetsSent                                 int       // packets, by boxes
	Odd                                         int       // things that do not add up
	Oddities                                    []string
	mu                                          sync.Mutex // of the tally: on sockets the hosts run side by side
}

type boxState struct {
	name, zone string
	cell       int
	state      session.ServerState
	started    Time
	inTrouble  bool // some trouble has it
	starts     int
}

type frontState struct {
	name, zone string
	index      int
	up         bool
	starts     uint64
	journal    memoryJournal
}

// memory is a journal that outlives the manager that writes it.
type memoryJournal map[string]life.Orphan

func (m memoryJournal) Opened(o life.Orphan) { m[o.Name] = o }
func (m memoryJournal) Ended(name string)    { delete(m, name) }

// Begin puts a day's fleet on a stage and its script before it.
func Begin(d *Day, s Environment, tape *Tape, broken *FaultyFront, log *zap.Logger) *Play {
	return begin(d, s, tape, broken, log, nil)
}

func begin(d *Day, s Environment, tape *Tape, broken *FaultyFront, log *zap.Logger, out *Processes) *Play {
	p := &Play{Day: d, stage: s, tape: tape, rng: rand.New(rand.NewPCG(d.Seed, 0xda1)), began: s.Now(), surgeFactor: 1,
		broken: broken, log: log, requestedAt: map[*player.Profile]Time{}, zoneByHost: map[string]string{}, Tally: Tally{ByKind: map[string]int{}}}
	if p.processes = out; out != nil {
		out.play = p
	}
	total := 0.0
	for i := range d.Titles {
		total += math.Pow(float64(i+1), -d.ZipfExponent)
		p.cumulativeZipf = append(p.cumulativeZipf, total)
	}
	for range d.Racks {
		p.racks = append(p.racks, &mediabox.Rack{UplinkKB: d.UplinkKB})
	}
	if d.Registry != nil {
		p.registry = newRoom(p, d.Registry)
	}
	for i := range d.Boxes {
		b := &boxState{name: "box-" + strconv.Itoa(i), zone: p.zoneName(i), cell: i, state: session.Ready}
		p.boxes = append(p.boxes, b)
		p.zoneByHost[b.name] = b.zone
		p.startBox(b, 0)
		if p.registry != nil {
			p.registry.box(b)
		}
		if p.processes != nil {
			p.processes.box(b)
		}
	}
	for i := range d.Managers {
		f := &frontState{name: "front-" + strconv.Itoa(i), zone: p.zoneName(i), index: i}
		p.fronts = append(p.fronts, f)
		p.zoneByHost[f.name] = f.zone
		p.startFront(f)
	}
	s.Player("players")
	s.Start("players", "", func(n core.Net) core.Core {
		c := player.New(n, s.Now())
		c.Report = p.recordResult
		return c
	})
	if len(d.Tenants) == 0 {
		p.at(0, p.startViewer)
	}
	for i := range d.Tenants {
		for n := range d.Tenants[i].Count {
			x := &d.Tenants[i]
			name := x.Name
			if x.Count > 1 {
				name += "-" + strconv.Itoa(n)
			}
			p.at(x.From+Time(p.rng.ExpFloat64()/x.Rate*1e6), func() { p.startTenantViewer(x, name) })
		}
	}
	p.at(core.Second, p.sampleOrphans)
	for _, t := range d.Troubles {
		p.at(t.At, func() { p.applyTrouble(t) })
	}
	return p
}

// lookAtOrphans counts, ten times a second, the places that sessions without a connection take.
func (p *Play) sampleOrphans() {
	if p.Day.Frame.KeepSessionsOnClose && p.processes == nil {
		p.orphanSamples++
		for _, b := range p.boxes {
			p.stage.Call(b.name, func(c core.Core) {
				if x, ok := c.(*mediabox.Box); ok {
					p.mu.Lock()
					p.orphanSum += float64(x.OrphanedSessions())
					p.mu.Unlock()
				}
			})
		}
		if now := p.stage.Now() - p.began; now < p.Day.Length {
			p.at(now+core.Second/10, p.sampleOrphans)
		}
	}
}

// Length is how long the day takes until all has been answered and ended.
func (p *Play) Length() Time {
	watch, abandon := Time(0), Time(0)
	for _, x := range p.Day.Plans {
		watch, abandon = max(watch, x.Watch[1]), max(abandon, x.Abandon)
	}
	return p.Day.Length + Time(p.Day.MaxRetries+1)*(watch+2*abandon+p.Day.RetryDelay)
}

func (p *Play) zoneName(i int) string { return "zone-" + strconv.Itoa(i%p.Day.Zones) }

func (p *Play) at(after Time, call func()) { p.stage.At(p.began+after, call) }

func (p *Play) startBox(b *boxState, started Time) {
	f := p.Day.Frame
	f.Name, f.Rack, f.StartedAt = b.name, p.racks[b.cell%p.Day.Racks], started
	b.starts++
	f.Seed = p.Day.Seed<<20 + uint64(b.cell)<<8 + uint64(b.starts)
	p.tape.Began(p.stage.Now(), b.name, started)
	p.stage.Start(b.name, b.zone, func(n core.Net) core.Core { return mediabox.New(f, n, p.stage.Now()) })
}

// Service is what the day's front of a number is told.
func (d *Day) Service(number int) *front.Config {
	s := &front.Config{Name: "front-" + strconv.Itoa(number), Site: d.Site, SessionTimeout: d.Timeout, OmitRetryAfter: d.Silent,
		Kinds: []string{"std"}, Secret: []byte{byte(d.Seed), byte(number)},
		Bounds: front.Bounds{Connections: 20000, Playbacks: 8000, Pipelined: 16, PlayerBytes: 256 << 10}}
	for i := range d.Zones {
		s.Zones = append(s.Zones, "zone-"+strconv.Itoa(i))
	}
	for _, x := range d.Plans {
		s.Plans = append(s.Plans, x.PlanProfile)
	}
	if d.Queue != nil {
		t := *d.Queue
		t.TokenSecret, t.WithholdRetryTime = s.Secret, d.Silent
		for _, p := range d.Site.Plans {
			t.StartupTarget = max(t.StartupTarget, p.StartupTarget)
		}
		s.Queue = &t
		s.Bounds.Connections = 200000
	}
	s.OnAnswered = d.Told
	if d.figures {
		t := quality.Config{RungWorth: s.Site.Ladder.RevenueShare, Racks: d.Racks, MaxTitles: 1000, MaxPlaybacks: 20000, BucketWidth: core.Second, BucketCount: 1000}
		for _, x := range s.Site.Plans {
			t.Plans = append(t.Plans, quality.Plan{Startup: x.StartupTarget, Revenue: x.Revenue})
		}
		s.Quality = quality.New(t, 0)
	}
	s.Site.Front, s.Site.Zone = number, number%d.Zones
	return s
}

func (p *Play) startFront(f *frontState) {
	if p.processes != nil {
		f.starts++
		p.processes.start(f)
		return
	}
	s := p.Day.Service(f.index)
	s.Secret = append(s.Secret, byte(f.starts)) // what it names is not what an earlier process named
	var left []life.Orphan
	if p.Day.Recover {
		for _, name := range sortedKeys(f.journal) {
			left = append(left, f.journal[name])
		}
		f.journal = memoryJournal{}
		s.Journal = f.journal
	}
	if p.Day.doors != nil {
		if err := p.Day.doors.equip(s, p.Day.Seed<<8+uint64(f.index)); err != nil {
			p.log.Error("no gate", zap.Error(err))
		}
	}
	told := s.Site
	if p.broken != nil && p.broken.ChangeSite != nil {
		p.broken.ChangeSite(&told)
	}
	f.starts++
	p.tape.Began(p.stage.Now(), f.name, 0)
	seed := p.Day.Seed*1000 + uint64(f.index) + f.starts<<32
	if p.broken != nil {
		seed ^= p.broken.SeedMask
	}
	p.stage.Start(f.name, f.zone, func(n core.Net) core.Core {
		if p.broken != nil && p.broken.WrapNet != nil {
			n = p.broken.WrapNet(n)
		}
		now := p.stage.Now()
		site := &told
		if p.broken == nil || p.broken.ChangeSite == nil {
			site = &s.Site
		}
		var module session.Manager = policy.New(site, seed, now)
		if make := baselines[p.Day.Policy]; make != nil {
			module = make(site, seed)
		}
		if p.broken != nil && p.broken.WrapModule != nil {
			module = p.broken.WrapModule(module)
		}
		x := front.New(s, module, n, p.log, now)
		return p.wrapFront(x, f)
	})
	f.up = true
	if p.Day.doors != nil {
		if err := p.Day.doors.opened(f.name); err != nil {
			p.log.Error("no door under TLS", zap.Error(err))
		}
	}
	if len(left) > 0 {
		p.stage.Call(f.name, func(c core.Core) { frontOf(c).AdoptOrphans(left, nil) })
	}
	if p.registry != nil {
		p.registry.manager(f)
		return
	}
	var whole []*boxState
	whole = append(whole, p.boxes...)
	p.sendList(f, whole, true)
}

// made gives a front its ear, where it is to hear of boxes from a registry.
func (p *Play) wrapFront(x *front.Front, f *frontState) core.Core {
	if p.registry != nil {
		return p.registry.listen(x, f.name)
	}
	return x
}

// tell brings a front the list's lines of some boxes as they stand now.
func (p *Play) sendList(f *frontState, boxes []*boxState, whole bool) {
	l := front.ListUpdate{Complete: whole}
	for _, b := range boxes {
		l.Servers = append(l.Servers, front.Server{Name: b.name, Address: p.stage.Addr(b.name), Zone: b.zone, Kind: "std",
			Cell: b.cell, Weight: 1, State: b.state, Started: b.started})
	}
	p.stage.Call(f.name, func(c core.Core) {
		for _, s := range l.Servers {
			p.tape.Told(p.stage.Now(), f.name, s.Name, s.State, s.Started)
		}
		if p.broken != nil && p.broken.List != nil {
			l = p.broken.List(l)
		}
		c.(*front.Front).UpdateList(l)
	})
}

// news brings all fronts a box's line, each a little later than it changed.
func (p *Play) announceState(b *boxState, state session.ServerState, after Time) {
	if p.processes != nil {
		starts := b.starts
		p.stage.At(p.stage.Now()+after, func() {
			if b.state == state && b.starts == starts {
				p.processes.box(b)
			}
		})
		return
	}
	if p.registry != nil {
		starts := b.starts
		p.stage.At(p.stage.Now()+after, func() {
			if b.state == state && b.starts == starts {
				p.registry.box(b)
			}
		})
		return
	}
	for _, f := range p.fronts {
		late := after + Time(p.rng.Float64()*float64(p.Day.NoticeSpread))
		starts := b.starts
		p.stage.At(p.stage.Now()+late, func() {
			if b.state == state && b.starts == starts && f.up {
				p.sendList(f, []*boxState{b}, false)
			}
		})
	}
}

// arrive has the next viewer come.
func (p *Play) startViewer() {
	d := p.Day
	now := p.stage.Now() - p.began
	if now >= d.Length {
		return
	}
	w := p.drawProfile()
	p.viewerCount++
	p.mu.Lock()
	p.Tally.Offered += p.planRevenue(w)
	p.mu.Unlock()
	p.stage.Call("players", func(c core.Core) { c.(*player.Group).Start(w) })
	gap := p.rng.ExpFloat64() / (d.Rate * p.surgeFactor)
	p.at(now+Time(gap*1e6), p.startViewer)
}

// arriveOf has a tenant's next viewer come.
func (p *Play) startTenantViewer(t *DayTenant, name string) {
	now := p.stage.Now() - p.began
	if now >= min(t.Until, p.Day.Length) {
		return
	}
	w := p.drawProfile()
	p.viewerCount++
	w.Tenant, w.SourceAddr = name, name+"/"+strconv.Itoa(p.rng.IntN(t.Addresses))
	x := p.rng.Float64()
	w.HonorsRetryAfter, w.RetriesEarly = x < t.ExactShare+t.EarlyShare, x >= t.ExactShare && x < t.ExactShare+t.EarlyShare
	if !w.HonorsRetryAfter {
		w.MaxRetries = 0
	}
	p.Log = append(p.Log, &TenantViewer{Tenant: name, Of: t, Profile: w, At: p.stage.Now()})
	if p.viewerByProfile == nil {
		p.viewerByProfile = map[*player.Profile]*TenantViewer{}
	}
	p.viewerByProfile[w] = p.Log[len(p.Log)-1]
	p.stage.Call("players", func(c core.Core) { c.(*player.Group).Start(w) })
	p.at(now+Time(p.rng.ExpFloat64()/t.Rate*1e6), func() { p.startTenantViewer(t, name) })
}

// Logged is one viewer of a tenant with all that it saw, in the order of its askings.
type TenantViewer struct {
	Tenant  string
	Of      *DayTenant
	Profile *player.Profile
	At      Time
	Seen    []player.Result
}

func (p *Play) drawProfile() *player.Profile {
	d := p.Day
	x, plan := p.rng.Float64(), 0
	total := 0.0
	for _, q := range d.Plans {
		total += q.Share
	}
	for x *= total; plan < len(d.Plans)-1 && x >= d.Plans[plan].Share; plan++ {
		x -= d.Plans[plan].Share
	}
	q := &d.Plans[plan]
	r := p.rng.Float64() * p.cumulativeZipf[len(p.cumulativeZipf)-1]
	title := 0
	for title < len(p.cumulativeZipf)-1 && p.cumulativeZipf[title] < r {
		title++
	}
	if p.crowdShare > 0 && p.rng.Float64() < p.crowdShare {
		title = 0
	}
	w := &player.Profile{ID: "pb" + strconv.Itoa(p.viewerCount), Plan: q.Name, Title: q.Name + "-" + strconv.Itoa(title),
		TopRung: len(d.Frame.LadderKB) - 1, Tracks: len(q.Tracks), AbandonTime: q.Abandon, MaxRetries: d.MaxRetries, RetryDelay: d.RetryDelay,
		WatchTime: q.Watch[0] + Time(p.rng.Float64()*float64(q.Watch[1]-q.Watch[0])), HonorsRetryAfter: p.rng.Float64() < 0.7,
		DescribeFirst: p.rng.Float64() < 0.3, DuplicateSetups: p.rng.Float64() < p.duplicateShare}
	if p.rng.Float64() < d.SmallScreenShare {
		w.TopRung = max(w.TopRung-2, d.Site.Plans[plan].Floor)
	}
	if p.rng.Float64() < p.earlyLeaveShare {
		w.LeaveAfter = 1 + Time(p.rng.Float64()*float64(core.Second)/10)
	}
	zone := p.rng.IntN(d.Zones)
	first := p.rng.IntN(len(p.fronts))
	for i := range p.fronts {
		if f := p.fronts[(first+i)%len(p.fronts)]; f.index%d.Zones == zone || d.Managers < d.Zones {
			w.Fronts = append(w.Fronts, p.stage.Addr(f.name))
		}
	}
	if d.doors != nil {
		d.doors.viewer(w)
	}
	p.profiles = append(p.profiles, w)
	p.requestedAt[w] = p.stage.Now()
	return w
}

func (p *Play) planRevenue(w *player.Profile) float64 {
	for i := range p.Day.Plans {
		if p.Day.Plans[i].Name == w.Plan {
			return p.Day.Site.Plans[i].Revenue
		}
	}
	return 0
}

// report takes the end of one asking.
func (p *Play) recordResult(w *player.Profile, s *player.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.viewerByProfile[w]; l != nil {
		l.Seen = append(l.Seen, *s)
	}
	if p.Day.doors != nil {
		p.Day.doors.saw(w, s)
	}
	t := &p.Tally
	t.Asked++
	t.Requests += s.Requests
	t.Responses += s.Responses
	t.Unasked += s.Unsolicited
	t.Packets += s.Packets
	t.Gaps += s.Gaps
	if s.RedirectReceived {
		t.SentOn++
	}
	if p.processes != nil {
		p.Seen = append(p.Seen, *s)
	}
	if s.StartupTime > 0 && !s.FromRedirect && !p.revenueCounted[w] {
		if p.revenueCounted == nil {
			p.revenueCounted = map[*player.Profile]bool{}
		}
		p.revenueCounted[w] = true
		t.Revenue += p.planRevenue(w)
		if n := int((s.StartedAt - p.began) / (core.Second / 10)); n >= 0 {
			for len(t.RevenueByTenth) <= n {
				t.RevenueByTenth = append(t.RevenueByTenth, 0)
			}
			t.RevenueByTenth[n] += p.planRevenue(w)
		}
	}
	t.Bytes += s.Bytes
	if s.StartupTime > 0 {
		t.Played++
		t.StartupTimes = append(t.StartupTimes, s.StartupTime)
	}
	switch s.State {
	case player.Rejected:
		t.Rejected++
	case player.Failed:
		t.Failed++
	case player.Abandoned:
		t.Abandoned++
	case player.Lost:
		t.Lost++
	case player.Redirected:
		t.Redirected++
	case player.Done:
		t.Completed++
	}
}

// some draws so many boxes that no trouble has yet.
func (p *Play) pickBoxes(n int) (all []*boxState) {
	for _, i := range p.rng.Perm(len(p.boxes)) {
		if b := p.boxes[i]; len(all) < n && !b.inTrouble && b.state == session.Ready {
			b.inTrouble = true
			all = append(all, b)
		}
	}
	return all
}

// upset changes what goes wrong at a box, if it is there.
func (p *Play) changeFaults(b *boxState, change func(*mediabox.Faults)) {
	p.stage.Call(b.name, func(c core.Core) {
		if x, ok := c.(*mediabox.Box); ok {
			change(&x.Faults)
		}
	})
}

// trouble plays one of the script's lines.
func (p *Play) applyTrouble(t Trouble) {
	p.Tally.ByKind[t.Kind]++
	later := func(after Time, call func()) { p.stage.At(p.stage.Now()+after, call) }
	fault := func(kind mediabox.Fault, methods ...string) {
		for _, b := range p.pickBoxes(t.Boxes) {
			p.changeFaults(b, func(x *mediabox.Faults) {
				x.Probability, x.ResponseDelay, x.ByMethod = t.Share, Time(t.Magnitude*1e6), map[string]mediabox.Fault{}
				for _, m := range methods {
					x.ByMethod[m] = kind
				}
			})
			later(t.For, func() {
				b.inTrouble = false
				p.changeFaults(b, func(x *mediabox.Faults) { x.ByMethod = nil })
			})
		}
	}
	state := func(set, unset func(x *mediabox.Faults)) {
		for _, b := range p.pickBoxes(t.Boxes) {
			p.changeFaults(b, set)
			later(t.For, func() {
				b.inTrouble = false
				p.changeFaults(b, unset)
			})
		}
	}
	switch t.Kind {
	case "die", "vanish":
		for _, b := range p.pickBoxes(t.Boxes) {
			p.stopBox(b, t.Kind == "vanish")
			later(t.For, func() { p.restartBox(b) })
		}
	case "drain":
		for _, b := range p.pickBoxes(t.Boxes) {
			b.state = session.Draining
			p.announceState(b, b.state, 0)
			later(t.For, func() {
				p.stopBox(b, false)
				later(core.Second, func() { p.restartBox(b) })
			})
		}
	case "errors":
		fault(mediabox.Error, "SETUP")
	case "lost-answers":
		fault(mediabox.LostResponse, "SETUP", "PLAY")
	case "late-answers":
		fault(mediabox.LateResponse, "SETUP", "PLAY")
	case "stuck":
		fault(mediabox.Dropped, "SETUP", "PLAY")
	case "cut-answers":
		fault(mediabox.TruncatedResponse, "SETUP", "PLAY")
	case "slow-rack":
		p.slowRack = p.rng.IntN(p.Day.Racks)
		for _, b := range p.boxes {
			if b.cell%p.Day.Racks == p.slowRack {
				p.changeFaults(b, func(x *mediabox.Faults) { x.SetupTimeFactor = t.Magnitude })
				later(t.For, func() { p.changeFaults(b, func(x *mediabox.Faults) { x.SetupTimeFactor = 0 }) })
			}
		}
	case "slow":
		state(func(x *mediabox.Faults) { x.SetupTimeFactor = t.Magnitude }, func(x *mediabox.Faults) { x.SetupTimeFactor = 0 })
	case "neighbour":
		state(func(x *mediabox.Faults) { x.CompetingShare = t.Share }, func(x *mediabox.Faults) { x.CompetingShare = 0 })
	case "overspeed":
		state(func(x *mediabox.Faults) { x.SendRateFactor = t.Magnitude }, func(x *mediabox.Faults) { x.SendRateFactor = 0 })
	case "reports-late":
		state(func(x *mediabox.Faults) { x.ExtraNoteDelay, x.FreezeLoad = Time(t.Magnitude*1e6), true },
			func(x *mediabox.Faults) { x.ExtraNoteDelay, x.FreezeLoad = 0, false })
	case "sag":
		state(func(x *mediabox.Faults) { x.CompetingShare = 1 - 1/max(t.Magnitude, 1) },
			func(x *mediabox.Faults) { x.CompetingShare = 0 })
	case "surge":
		p.surgeFactor = t.Magnitude
		later(t.For, func() { p.surgeFactor = 1 })
	case "crowd":
		p.crowdShare = t.Share
		later(t.For, func() { p.crowdShare = 0 })
	case "repeat":
		p.duplicateShare = t.Share
		later(t.For, func() { p.duplicateShare = 0 })
	case "leave":
		p.earlyLeaveShare = t.Share
		later(t.For, func() { p.earlyLeaveShare = 0 })
	case "kill":
		for _, i := range p.rng.Perm(len(p.fronts))[:min(t.Managers, len(p.fronts))] {
			f := p.fronts[i]
			if !f.up {
				continue
			}
			f.up = false
			if p.processes != nil {
				p.processes.kill(f)
				later(t.For, func() { p.startFront(f) })
				continue
			}
			p.tape.Killed(p.stage.Now(), f.name)
			p.collectFront(f)
			p.stage.Kill(f.name, false)
			if p.registry != nil {
				p.registry.manager(f)
			}
			later(t.For, func() { p.startFront(f) })
		}
	case "stand-still":
		for range t.Managers {
			f := p.fronts[p.rng.IntN(len(p.fronts))]
			if !f.up {
				continue
			}
			if p.processes != nil {
				p.processes.stand(f, t.For)
				continue
			}
			p.tape.Stood(p.stage.Now(), p.stage.Now()+t.For, f.name)
			p.stage.Stand(f.name, t.For)
		}
	case "reload", "bad-reload", "halt", "upgrade": // of processes
		for _, i := range p.rng.Perm(len(p.fronts))[:min(t.Managers, len(p.fronts))] {
			p.processes.trouble(p.fronts[i], t)
		}
	case "registry-cut":
		p.registry.cut(t.For)
	case "registry-stall":
		p.registry.stalled = p.stage.Now() + t.For
	case "registry-compact":
		h, _ := p.registry.store.Keys()
		p.registry.store.Compact(h.Revision)
	case "registry-anew":
		p.registry.anew()
	case "registry-lose":
		p.registry.lose()
	case "zone-cut":
		p.stage.CutZones("zone-0", p.zoneName(1), t.For)
	}
}

// lose ends a box's process; the list tells of it a while later.
func (p *Play) stopBox(b *boxState, silent bool) {
	p.tape.Killed(p.stage.Now(), b.name)
	p.collectBox(b)
	p.stage.Call(b.name, func(c core.Core) {
		if x, ok := c.(*mediabox.Box); ok {
			x.ReleaseUplink()
		}
		p.stage.At(p.stage.Now(), func() { p.stage.Kill(b.name, silent) })
	})
	b.state = session.Gone
	p.announceState(b, b.state, p.Day.LossNoticeDelay)
}

// comeBack starts a box anew, cold; the list tells of it soon.
func (p *Play) restartBox(b *boxState) {
	p.stage.Kill(b.name, false)
	b.started, b.state = p.stage.Now(), session.Ready
	p.startBox(b, b.started)
	p.announceState(b, b.state, 0)
	b.inTrouble = false
}

func (p *Play) collectBox(b *boxState) {
	p.stage.Call(b.name, func(c core.Core) {
		if x, ok := c.(*mediabox.Box); ok {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.Tally.Fell += x.Counts.Crashes
			p.Tally.Setups += x.Counts.Setups
			p.packetsSent += x.Counts.Packets
			x.Faults.Unresponsive = true // counted: it sends nothing more in this moment
		}
	})
}

// frontOf is the session manager of a host's core, nil where it is none.
func frontOf(c core.Core) *front.Front {
	switch x := c.(type) {
	case *front.Front:
		return x
	case *ear:
		return x.Front
	}
	return nil
}

func (p *Play) collectFront(f *frontState) {
	p.stage.Call(f.name, func(c core.Core) {
		if x := frontOf(c); x != nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			addStats(&p.Tally.Fronts, &x.Figures)
			if x.Quality != nil {
				p.serviceOf(x.Quality)
			}
		}
	})
}

// End gathers the figures of what still runs, and checks that nothing of the day is left behind.
func (p *Play) End() {
	p.Orphans = p.orphanSum / max(p.orphanSamples, 1)
	for _, b := range p.boxes {
		p.collectBox(b)
	}
	for _, f := range p.fronts {
		p.collectFront(f)
	}
}

func addStats(t, x *front.Stats) {
	for _, f := range []struct{ to, from *int64 }{{&t.Requests, &x.Requests}, {&t.Malformed, &x.Malformed},
		{&t.Repeated, &x.Repeated}, {&t.Taken, &x.Taken}, {&t.Plays, &x.Plays}, {&t.Refused, &x.Refused},
		{&t.Failed, &x.Failed}, {&t.Left, &x.Left}, {&t.Overdue, &x.Overdue}, {&t.Tries, &x.Tries},
		{&t.Lapsed, &x.Lapsed}, {&t.LateAnswers, &x.LateAnswers}, {&t.Probes, &x.Probes}, {&t.Packets, &x.Packets},
		{&t.LostVideo, &x.LostVideo}, {&t.LostAudio, &x.LostAudio}, {&t.Playbacks, &x.Playbacks},
		{&t.Connections, &x.Connections}, {&t.Dialogues, &x.Dialogues}, {&t.Overflowed, &x.Overflowed}} {
		*f.to += *f.from
	}
}

// Virtual plays a day on the virtual network.
func Virtual(d *Day, broken *FaultyFront, log *zap.Logger) (*Play, *Tape, *World) {
	tape := &Tape{}
	w := NewWorld(d.Links, d.Seed, tape)
	p := Begin(d, w, tape, broken, log)
	w.At(w.now+bucketWidth, func() { p.sample(w) })
	w.Run(p.began + p.Length())
	p.End()
	w.Run(w.now + core.Second)
	p.checkTotals(w)
	return p, tape, w
}

// Summary is a day's tally in a few lines.
func (t *Tally) Summary() string {
	return fmt.Sprintf("asked %d, played %d, refused %d, failed %d, abandoned %d, lost %d; packets %d, gaps %d\n"+
		"fronts: taken %d, plays %d, refused %d, failed %d, left %d, overdue %d, tries %d, lapsed %d, late answers %d, left over: %d playbacks, %d dialogues",
		t.Asked, t.Played, t.Rejected, t.Failed, t.Abandoned, t.Lost, t.Packets, t.Gaps, t.Fronts.Taken, t.Fronts.Plays,
		t.Fronts.Refused, t.Fronts.Failed, t.Fronts.Left, t.Fronts.Overdue, t.Fronts.Tries, t.Fronts.Lapsed,
		t.Fronts.LateAnswers, t.Fronts.Playbacks, t.Fronts.Dialogues)
}
