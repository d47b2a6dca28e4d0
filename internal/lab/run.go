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
type Stage interface {
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
	Asked, Played, Refused, Failed, Abandoned, Lost, Done int
	Packets, Gaps                                         int
	Bytes                                                 int64
	Requests, Answers, Unasked                            int
	ByKind                                                map[string]int // troubles played
	Startup                                               []Time
	Fell, Setups                                          int
	Moved                                                 int
	SentOn                                                int // told while they played to go elsewhere
	Revenue, Offered                                      float64
	ByLate                                                []float64   // revenue by tenth of a second since the day began
	Fronts                                                front.Stats // added up over all that ran
}

// Broken makes a front that breaks a rule on purpose, to show that its checker catches it: it may change
// what the module is told, or the network that the front sends by.
type Broken struct {
	Site   func(*session.Site)
	List   func(front.ListUpdate) front.ListUpdate
	Net    func(core.Net) core.Net
	Module func(session.Manager) session.Manager // changes what the module hears
	Seed   uint64                                // other draws of the module's chance
}

// Play is a day under way.
type Play struct {
	Day                            *Day
	Tally                          Tally
	stage                          Stage
	tape                           *Tape
	rng                            *rand.Rand
	began                          Time
	boxes                          []*boxState
	racks                          []*mediabox.Rack
	fronts                         []*frontState
	surge                          float64
	repeat                         float64
	leave                          float64
	crowd                          float64
	asked                          int
	slowRack                       int // of the trouble of that name
	service                        map[quality.Group]quality.Totals
	broken                         *Broken
	log                            *zap.Logger
	zipf                           []float64
	Log                            []*Logged // of days with tenants
	byWant                         map[*player.Profile]*Logged
	room                           *newsroom  // where the day has a registry
	out                            *Processes // where managers are processes of their own
	paid                           map[*player.Profile]bool
	Orphans                        float64 // places that they take, mean over the day
	orphaned, looks                float64
	Seen                           []player.Result // where managers are processes of their own
	wants                          []*player.Profile
	askedAt                        map[*player.Profile]Time
	zoneOf                         map[string]string
	gives, fills, fullest, waiting []float64 // each half second, on the virtual network
	sent                           int       // packets, by boxes
	Odd                            int       // things that do not add up
	Oddities                       []string
	mu                             sync.Mutex // of the tally: on sockets the hosts run side by side
}

type boxState struct {
	name, zone string
	cell       int
	state      session.ServerState
	started    Time
	busy       bool // some trouble has it
	starts     int
}

type frontState struct {
	name, zone string
	number     int
	up         bool
	starts     uint64
	journal    memory
}

// memory is a journal that outlives the manager that writes it.
type memory map[string]life.Orphan

func (m memory) Opened(o life.Orphan) { m[o.Name] = o }
func (m memory) Ended(name string)    { delete(m, name) }

// Begin puts a day's fleet on a stage and its script before it.
func Begin(d *Day, s Stage, tape *Tape, broken *Broken, log *zap.Logger) *Play {
	return begin(d, s, tape, broken, log, nil)
}

func begin(d *Day, s Stage, tape *Tape, broken *Broken, log *zap.Logger, out *Processes) *Play {
	p := &Play{Day: d, stage: s, tape: tape, rng: rand.New(rand.NewPCG(d.Seed, 0xda1)), began: s.Now(), surge: 1,
		broken: broken, log: log, askedAt: map[*player.Profile]Time{}, zoneOf: map[string]string{}, Tally: Tally{ByKind: map[string]int{}}}
	if p.out = out; out != nil {
		out.play = p
	}
	total := 0.0
	for i := range d.Titles {
		total += math.Pow(float64(i+1), -d.Zipf)
		p.zipf = append(p.zipf, total)
	}
	for range d.Racks {
		p.racks = append(p.racks, &mediabox.Rack{UplinkKB: d.UplinkKB})
	}
	if d.Registry != nil {
		p.room = newRoom(p, d.Registry)
	}
	for i := range d.Boxes {
		b := &boxState{name: "box-" + strconv.Itoa(i), zone: p.zone(i), cell: i, state: session.Ready}
		p.boxes = append(p.boxes, b)
		p.zoneOf[b.name] = b.zone
		p.startBox(b, 0)
		if p.room != nil {
			p.room.box(b)
		}
		if p.out != nil {
			p.out.box(b)
		}
	}
	for i := range d.Managers {
		f := &frontState{name: "front-" + strconv.Itoa(i), zone: p.zone(i), number: i}
		p.fronts = append(p.fronts, f)
		p.zoneOf[f.name] = f.zone
		p.startFront(f)
	}
	s.Player("players")
	s.Start("players", "", func(n core.Net) core.Core {
		c := player.New(n, s.Now())
		c.Report = p.report
		return c
	})
	if len(d.Tenants) == 0 {
		p.at(0, p.arrive)
	}
	for i := range d.Tenants {
		for n := range d.Tenants[i].Count {
			x := &d.Tenants[i]
			name := x.Name
			if x.Count > 1 {
				name += "-" + strconv.Itoa(n)
			}
			p.at(x.From+Time(p.rng.ExpFloat64()/x.Rate*1e6), func() { p.arriveOf(x, name) })
		}
	}
	p.at(core.Second, p.lookAtOrphans)
	for _, t := range d.Troubles {
		p.at(t.At, func() { p.trouble(t) })
	}
	return p
}

// lookAtOrphans counts, ten times a second, the places that sessions without a connection take.
func (p *Play) lookAtOrphans() {
	if p.Day.Frame.KeepSessionsOnClose && p.out == nil {
		p.looks++
		for _, b := range p.boxes {
			p.stage.Call(b.name, func(c core.Core) {
				if x, ok := c.(*mediabox.Box); ok {
					p.mu.Lock()
					p.orphaned += float64(x.OrphanedSessions())
					p.mu.Unlock()
				}
			})
		}
		if now := p.stage.Now() - p.began; now < p.Day.Length {
			p.at(now+core.Second/10, p.lookAtOrphans)
		}
	}
}

// Length is how long the day takes until all has been answered and ended.
func (p *Play) Length() Time {
	watch, abandon := Time(0), Time(0)
	for _, x := range p.Day.Plans {
		watch, abandon = max(watch, x.Watch[1]), max(abandon, x.Abandon)
	}
	return p.Day.Length + Time(p.Day.Returns+1)*(watch+2*abandon+p.Day.Break)
}

func (p *Play) zone(i int) string { return "zone-" + strconv.Itoa(i%p.Day.Zones) }

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
	if d.Door != nil {
		t := *d.Door
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
	if p.out != nil {
		f.starts++
		p.out.start(f)
		return
	}
	s := p.Day.Service(f.number)
	s.Secret = append(s.Secret, byte(f.starts)) // what it names is not what an earlier process named
	var left []life.Orphan
	if p.Day.Recover {
		for _, name := range sortedKeys(f.journal) {
			left = append(left, f.journal[name])
		}
		f.journal = memory{}
		s.Journal = f.journal
	}
	if p.Day.doors != nil {
		if err := p.Day.doors.equip(s, p.Day.Seed<<8+uint64(f.number)); err != nil {
			p.log.Error("no gate", zap.Error(err))
		}
	}
	told := s.Site
	if p.broken != nil && p.broken.Site != nil {
		p.broken.Site(&told)
	}
	f.starts++
	p.tape.Began(p.stage.Now(), f.name, 0)
	seed := p.Day.Seed*1000 + uint64(f.number) + f.starts<<32
	if p.broken != nil {
		seed ^= p.broken.Seed
	}
	p.stage.Start(f.name, f.zone, func(n core.Net) core.Core {
		if p.broken != nil && p.broken.Net != nil {
			n = p.broken.Net(n)
		}
		now := p.stage.Now()
		site := &told
		if p.broken == nil || p.broken.Site == nil {
			site = &s.Site
		}
		var module session.Manager = policy.New(site, seed, now)
		if make := baselines[p.Day.Policy]; make != nil {
			module = make(site, seed)
		}
		if p.broken != nil && p.broken.Module != nil {
			module = p.broken.Module(module)
		}
		x := front.New(s, module, n, p.log, now)
		return p.made(x, f)
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
	if p.room != nil {
		p.room.manager(f)
		return
	}
	var whole []*boxState
	whole = append(whole, p.boxes...)
	p.tell(f, whole, true)
}

// made gives a front its ear, where it is to hear of boxes from a registry.
func (p *Play) made(x *front.Front, f *frontState) core.Core {
	if p.room != nil {
		return p.room.listen(x, f.name)
	}
	return x
}

// tell brings a front the list's lines of some boxes as they stand now.
func (p *Play) tell(f *frontState, boxes []*boxState, whole bool) {
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
func (p *Play) news(b *boxState, state session.ServerState, after Time) {
	if p.out != nil {
		starts := b.starts
		p.stage.At(p.stage.Now()+after, func() {
			if b.state == state && b.starts == starts {
				p.out.box(b)
			}
		})
		return
	}
	if p.room != nil {
		starts := b.starts
		p.stage.At(p.stage.Now()+after, func() {
			if b.state == state && b.starts == starts {
				p.room.box(b)
			}
		})
		return
	}
	for _, f := range p.fronts {
		late := after + Time(p.rng.Float64()*float64(p.Day.NoticeSpread))
		starts := b.starts
		p.stage.At(p.stage.Now()+late, func() {
			if b.state == state && b.starts == starts && f.up {
				p.tell(f, []*boxState{b}, false)
			}
		})
	}
}

// arrive has the next viewer come.
func (p *Play) arrive() {
	d := p.Day
	now := p.stage.Now() - p.began
	if now >= d.Length {
		return
	}
	w := p.want()
	p.asked++
	p.mu.Lock()
	p.Tally.Offered += p.revenue(w)
	p.mu.Unlock()
	p.stage.Call("players", func(c core.Core) { c.(*player.Group).Start(w) })
	gap := p.rng.ExpFloat64() / (d.Rate * p.surge)
	p.at(now+Time(gap*1e6), p.arrive)
}

// arriveOf has a tenant's next viewer come.
func (p *Play) arriveOf(t *DayTenant, name string) {
	now := p.stage.Now() - p.began
	if now >= min(t.Until, p.Day.Length) {
		return
	}
	w := p.want()
	p.asked++
	w.Tenant, w.SourceAddr = name, name+"/"+strconv.Itoa(p.rng.IntN(t.Addresses))
	x := p.rng.Float64()
	w.HonorsRetryAfter, w.RetriesEarly = x < t.Exact+t.Early, x >= t.Exact && x < t.Exact+t.Early
	if !w.HonorsRetryAfter {
		w.MaxRetries = 0
	}
	p.Log = append(p.Log, &Logged{Tenant: name, Of: t, Want: w, At: p.stage.Now()})
	if p.byWant == nil {
		p.byWant = map[*player.Profile]*Logged{}
	}
	p.byWant[w] = p.Log[len(p.Log)-1]
	p.stage.Call("players", func(c core.Core) { c.(*player.Group).Start(w) })
	p.at(now+Time(p.rng.ExpFloat64()/t.Rate*1e6), func() { p.arriveOf(t, name) })
}

// Logged is one viewer of a tenant with all that it saw, in the order of its askings.
type Logged struct {
	Tenant string
	Of     *DayTenant
	Want   *player.Profile
	At     Time
	Seen   []player.Result
}

func (p *Play) want() *player.Profile {
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
	r := p.rng.Float64() * p.zipf[len(p.zipf)-1]
	title := 0
	for title < len(p.zipf)-1 && p.zipf[title] < r {
		title++
	}
	if p.crowd > 0 && p.rng.Float64() < p.crowd {
		title = 0
	}
	w := &player.Profile{ID: "pb" + strconv.Itoa(p.asked), Plan: q.Name, Title: q.Name + "-" + strconv.Itoa(title),
		TopRung: len(d.Frame.LadderKB) - 1, Tracks: len(q.Tracks), AbandonTime: q.Abandon, MaxRetries: d.Returns, RetryDelay: d.Break,
		WatchTime: q.Watch[0] + Time(p.rng.Float64()*float64(q.Watch[1]-q.Watch[0])), HonorsRetryAfter: p.rng.Float64() < 0.7,
		DescribeFirst: p.rng.Float64() < 0.3, DuplicateSetups: p.rng.Float64() < p.repeat}
	if p.rng.Float64() < d.SmallScreens {
		w.TopRung = max(w.TopRung-2, d.Site.Plans[plan].Floor)
	}
	if p.rng.Float64() < p.leave {
		w.LeaveAfter = 1 + Time(p.rng.Float64()*float64(core.Second)/10)
	}
	zone := p.rng.IntN(d.Zones)
	first := p.rng.IntN(len(p.fronts))
	for i := range p.fronts {
		if f := p.fronts[(first+i)%len(p.fronts)]; f.number%d.Zones == zone || d.Managers < d.Zones {
			w.Fronts = append(w.Fronts, p.stage.Addr(f.name))
		}
	}
	if d.doors != nil {
		d.doors.viewer(w)
	}
	p.wants = append(p.wants, w)
	p.askedAt[w] = p.stage.Now()
	return w
}

func (p *Play) revenue(w *player.Profile) float64 {
	for i := range p.Day.Plans {
		if p.Day.Plans[i].Name == w.Plan {
			return p.Day.Site.Plans[i].Revenue
		}
	}
	return 0
}

// report takes the end of one asking.
func (p *Play) report(w *player.Profile, s *player.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.byWant[w]; l != nil {
		l.Seen = append(l.Seen, *s)
	}
	if p.Day.doors != nil {
		p.Day.doors.saw(w, s)
	}
	t := &p.Tally
	t.Asked++
	t.Requests += s.Requests
	t.Answers += s.Responses
	t.Unasked += s.Unsolicited
	t.Packets += s.Packets
	t.Gaps += s.Gaps
	if s.RedirectReceived {
		t.SentOn++
	}
	if p.out != nil {
		p.Seen = append(p.Seen, *s)
	}
	if s.StartupTime > 0 && !s.FromRedirect && !p.paid[w] {
		if p.paid == nil {
			p.paid = map[*player.Profile]bool{}
		}
		p.paid[w] = true
		t.Revenue += p.revenue(w)
		if n := int((s.StartedAt - p.began) / (core.Second / 10)); n >= 0 {
			for len(t.ByLate) <= n {
				t.ByLate = append(t.ByLate, 0)
			}
			t.ByLate[n] += p.revenue(w)
		}
	}
	t.Bytes += s.Bytes
	if s.StartupTime > 0 {
		t.Played++
		t.Startup = append(t.Startup, s.StartupTime)
	}
	switch s.State {
	case player.Rejected:
		t.Refused++
	case player.Failed:
		t.Failed++
	case player.Abandoned:
		t.Abandoned++
	case player.Lost:
		t.Lost++
	case player.Redirected:
		t.Moved++
	case player.Done:
		t.Done++
	}
}

// some draws so many boxes that no trouble has yet.
func (p *Play) some(n int) (all []*boxState) {
	for _, i := range p.rng.Perm(len(p.boxes)) {
		if b := p.boxes[i]; len(all) < n && !b.busy && b.state == session.Ready {
			b.busy = true
			all = append(all, b)
		}
	}
	return all
}

// upset changes what goes wrong at a box, if it is there.
func (p *Play) upset(b *boxState, change func(*mediabox.Faults)) {
	p.stage.Call(b.name, func(c core.Core) {
		if x, ok := c.(*mediabox.Box); ok {
			change(&x.Faults)
		}
	})
}

// trouble plays one of the script's lines.
func (p *Play) trouble(t Trouble) {
	p.Tally.ByKind[t.Kind]++
	later := func(after Time, call func()) { p.stage.At(p.stage.Now()+after, call) }
	fault := func(kind mediabox.Fault, methods ...string) {
		for _, b := range p.some(t.Boxes) {
			p.upset(b, func(x *mediabox.Faults) {
				x.Probability, x.ResponseDelay, x.ByMethod = t.Part, Time(t.Size*1e6), map[string]mediabox.Fault{}
				for _, m := range methods {
					x.ByMethod[m] = kind
				}
			})
			later(t.For, func() {
				b.busy = false
				p.upset(b, func(x *mediabox.Faults) { x.ByMethod = nil })
			})
		}
	}
	state := func(set, unset func(x *mediabox.Faults)) {
		for _, b := range p.some(t.Boxes) {
			p.upset(b, set)
			later(t.For, func() {
				b.busy = false
				p.upset(b, unset)
			})
		}
	}
	switch t.Kind {
	case "die", "vanish":
		for _, b := range p.some(t.Boxes) {
			p.lose(b, t.Kind == "vanish")
			later(t.For, func() { p.comeBack(b) })
		}
	case "drain":
		for _, b := range p.some(t.Boxes) {
			b.state = session.Draining
			p.news(b, b.state, 0)
			later(t.For, func() {
				p.lose(b, false)
				later(core.Second, func() { p.comeBack(b) })
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
				p.upset(b, func(x *mediabox.Faults) { x.SetupTimeFactor = t.Size })
				later(t.For, func() { p.upset(b, func(x *mediabox.Faults) { x.SetupTimeFactor = 0 }) })
			}
		}
	case "slow":
		state(func(x *mediabox.Faults) { x.SetupTimeFactor = t.Size }, func(x *mediabox.Faults) { x.SetupTimeFactor = 0 })
	case "neighbour":
		state(func(x *mediabox.Faults) { x.CompetingShare = t.Part }, func(x *mediabox.Faults) { x.CompetingShare = 0 })
	case "overspeed":
		state(func(x *mediabox.Faults) { x.SendRateFactor = t.Size }, func(x *mediabox.Faults) { x.SendRateFactor = 0 })
	case "reports-late":
		state(func(x *mediabox.Faults) { x.ExtraNoteDelay, x.FreezeLoad = Time(t.Size*1e6), true },
			func(x *mediabox.Faults) { x.ExtraNoteDelay, x.FreezeLoad = 0, false })
	case "sag":
		state(func(x *mediabox.Faults) { x.CompetingShare = 1 - 1/max(t.Size, 1) },
			func(x *mediabox.Faults) { x.CompetingShare = 0 })
	case "surge":
		p.surge = t.Size
		later(t.For, func() { p.surge = 1 })
	case "crowd":
		p.crowd = t.Part
		later(t.For, func() { p.crowd = 0 })
	case "repeat":
		p.repeat = t.Part
		later(t.For, func() { p.repeat = 0 })
	case "leave":
		p.leave = t.Part
		later(t.For, func() { p.leave = 0 })
	case "kill":
		for _, i := range p.rng.Perm(len(p.fronts))[:min(t.Managers, len(p.fronts))] {
			f := p.fronts[i]
			if !f.up {
				continue
			}
			f.up = false
			if p.out != nil {
				p.out.kill(f)
				later(t.For, func() { p.startFront(f) })
				continue
			}
			p.tape.Killed(p.stage.Now(), f.name)
			p.gather(f)
			p.stage.Kill(f.name, false)
			if p.room != nil {
				p.room.manager(f)
			}
			later(t.For, func() { p.startFront(f) })
		}
	case "stand-still":
		for range t.Managers {
			f := p.fronts[p.rng.IntN(len(p.fronts))]
			if !f.up {
				continue
			}
			if p.out != nil {
				p.out.stand(f, t.For)
				continue
			}
			p.tape.Stood(p.stage.Now(), p.stage.Now()+t.For, f.name)
			p.stage.Stand(f.name, t.For)
		}
	case "reload", "bad-reload", "halt", "upgrade": // of processes
		for _, i := range p.rng.Perm(len(p.fronts))[:min(t.Managers, len(p.fronts))] {
			p.out.trouble(p.fronts[i], t)
		}
	case "registry-cut":
		p.room.cut(t.For)
	case "registry-stall":
		p.room.stalled = p.stage.Now() + t.For
	case "registry-compact":
		h, _ := p.room.store.Keys()
		p.room.store.Compact(h.Revision)
	case "registry-anew":
		p.room.anew()
	case "registry-lose":
		p.room.lose()
	case "zone-cut":
		p.stage.CutZones("zone-0", p.zone(1), t.For)
	}
}

// lose ends a box's process; the list tells of it a while later.
func (p *Play) lose(b *boxState, silent bool) {
	p.tape.Killed(p.stage.Now(), b.name)
	p.count(b)
	p.stage.Call(b.name, func(c core.Core) {
		if x, ok := c.(*mediabox.Box); ok {
			x.ReleaseUplink()
		}
		p.stage.At(p.stage.Now(), func() { p.stage.Kill(b.name, silent) })
	})
	b.state = session.Gone
	p.news(b, b.state, p.Day.LostNotice)
}

// comeBack starts a box anew, cold; the list tells of it soon.
func (p *Play) comeBack(b *boxState) {
	p.stage.Kill(b.name, false)
	b.started, b.state = p.stage.Now(), session.Ready
	p.startBox(b, b.started)
	p.news(b, b.state, 0)
	b.busy = false
}

func (p *Play) count(b *boxState) {
	p.stage.Call(b.name, func(c core.Core) {
		if x, ok := c.(*mediabox.Box); ok {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.Tally.Fell += x.Counts.Crashes
			p.Tally.Setups += x.Counts.Setups
			p.sent += x.Counts.Packets
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

func (p *Play) gather(f *frontState) {
	p.stage.Call(f.name, func(c core.Core) {
		if x := frontOf(c); x != nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			add(&p.Tally.Fronts, &x.Figures)
			if x.Quality != nil {
				p.serviceOf(x.Quality)
			}
		}
	})
}

// End gathers the figures of what still runs, and checks that nothing of the day is left behind.
func (p *Play) End() {
	p.Orphans = p.orphaned / max(p.looks, 1)
	for _, b := range p.boxes {
		p.count(b)
	}
	for _, f := range p.fronts {
		p.gather(f)
	}
}

func add(t, x *front.Stats) {
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
func Virtual(d *Day, broken *Broken, log *zap.Logger) (*Play, *Tape, *World) {
	tape := &Tape{}
	w := NewWorld(d.Links, d.Seed, tape)
	p := Begin(d, w, tape, broken, log)
	w.At(w.now+bucket, func() { p.look(w) })
	w.Run(p.began + p.Length())
	p.End()
	w.Run(w.now + core.Second)
	p.settleUp(w)
	return p, tape, w
}

// Summary is a day's tally in a few lines.
func (t *Tally) Summary() string {
	return fmt.Sprintf("asked %d, played %d, refused %d, failed %d, abandoned %d, lost %d; packets %d, gaps %d\n"+
		"fronts: taken %d, plays %d, refused %d, failed %d, left %d, overdue %d, tries %d, lapsed %d, late answers %d, left over: %d playbacks, %d dialogues",
		t.Asked, t.Played, t.Refused, t.Failed, t.Abandoned, t.Lost, t.Packets, t.Gaps, t.Fronts.Taken, t.Fronts.Plays,
		t.Fronts.Refused, t.Fronts.Failed, t.Fronts.Left, t.Fronts.Overdue, t.Fronts.Tries, t.Fronts.Lapsed,
		t.Fronts.LateAnswers, t.Fronts.Playbacks, t.Fronts.Dialogues)
}
