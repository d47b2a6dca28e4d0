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

// Environment is what a day runs on: the virtual network, or loopback sockets.
type Environment interface {
	Now() Time
	At(at Time, run func())
	Start(name, zone string, build func(core.Net) core.Core)
	Addr(name string) string
	Kill(name string, silent bool)
	Call(name string, run func(core.Core)) // runs it within one of the host's event loop turns
	Pause(name string, duration Time)
	CutZones(a, b string, duration Time)
	MarkPlayers(name string)
}

// Tally holds the totals of a day as players and boxes counted them.
type Tally struct {
	Attempts, Played, Rejected, Failed, Abandoned, Lost, Completed int
	Packets, Gaps                                                  int
	Bytes                                                          int64
	Requests, Responses, Unsolicited                               int
	TroublesByKind                                                 map[string]int // troubles applied, by kind
	StartupTimes                                                   []Time
	Crashes, Setups                                                int
	Redirected                                                     int
	RedirectsReceived                                              int // redirected while playing
	Revenue, OfferedRevenue                                        float64
	RevenueByTenth                                                 []float64   // revenue per tenth of a second since the start of the day
	FrontStats                                                     front.Stats // summed over all front processes
}

// FaultyFront makes a front break a rule on purpose, to show that the rule's checker reports it: it may change
// the module's input, or the network that the front sends on.
type FaultyFront struct {
	ChangeSite func(*session.Site)
	ChangeList func(front.ListUpdate) front.ListUpdate
	WrapNet    func(core.Net) core.Net
	WrapModule func(session.Manager) session.Manager // wraps the module to change its input
	SeedMask   uint64                                // XORed into the seed of the module's random source
}

// DayRun is the state of a running day.
type DayRun struct {
	Day                                         *Day
	Tally                                       Tally
	env                                         Environment
	recording                                   *Recording
	rng                                         *rand.Rand
	startedAt                                   Time
	boxes                                       []*boxState
	racks                                       []*mediabox.Rack
	fronts                                      []*frontState
	surgeFactor                                 float64
	duplicateShare                              float64
	earlyLeaveShare                             float64
	crowdShare                                  float64
	viewerCount                                 int
	slowRack                                    int // rack chosen by the slow-rack trouble
	groupTotals                                 map[quality.Group]quality.Totals
	faulty                                      *FaultyFront
	log                                         *zap.Logger
	cumulativeZipf                              []float64
	TenantViewers                               []*TenantViewer // only for days with tenants
	viewerByProfile                             map[*player.Profile]*TenantViewer
	registry                                    *simRegistry // nil if the day has no registry
	processes                                   *Processes   // only where managers are separate processes
	revenueCounted                              map[*player.Profile]bool
	MeanOrphans                                 float64 // mean number of sessions without a connection over the day
	orphanSum, orphanSamples                    float64
	Results                                     []player.Result // only where managers are separate processes
	profiles                                    []*player.Profile
	requestedAt                                 map[*player.Profile]Time
	zoneByHost                                  map[string]string
	capacityKB, meanFills, maxFills, unanswered []float64 // sampled each half second, on the virtual network only
	packetsSent                                 int       // RTP packets sent by boxes
	Inconsistencies                             int       // failed consistency checks of the emulation
	InconsistencyNotes                          []string
	mu                                          sync.Mutex // guards Tally: on loopback sockets the hosts run concurrently
}

// boxState is a box of the day, with the state that the list reports.
type boxState struct {
	name, zone string
	cell       int
	state      session.ServerState
	started    Time
	inTrouble  bool // a trouble applies to it now
	startCount int  // number of processes started so far
}

// frontState is a session manager of the day.
type frontState struct {
	name, zone string
	index      int
	up         bool
	startCount uint64
	journal    memoryJournal
}

// memoryJournal is an in-memory journal that outlives the manager process that writes it.
type memoryJournal map[string]life.Orphan

func (m memoryJournal) Opened(orphan life.Orphan) { m[orphan.Name] = orphan }
func (m memoryJournal) Ended(name string)         { delete(m, name) }

// StartDay starts a day's fleet in an environment and schedules its load and troubles.
func StartDay(day *Day, env Environment, recording *Recording, faulty *FaultyFront, log *zap.Logger) *DayRun {
	return startDay(day, env, recording, faulty, log, nil)
}

func startDay(day *Day, env Environment, recording *Recording, faulty *FaultyFront, log *zap.Logger, processes *Processes) *DayRun {
	p := &DayRun{Day: day, env: env, recording: recording, rng: rand.New(rand.NewPCG(day.Seed, 0xda1)), startedAt: env.Now(), surgeFactor: 1,
		faulty: faulty, log: log, requestedAt: map[*player.Profile]Time{}, zoneByHost: map[string]string{}, Tally: Tally{TroublesByKind: map[string]int{}}}
	if p.processes = processes; processes != nil {
		processes.play = p
	}
	totalWeight := 0.0
	for i := range day.Titles {
		totalWeight += math.Pow(float64(i+1), -day.ZipfExponent)
		p.cumulativeZipf = append(p.cumulativeZipf, totalWeight)
	}
	for range day.Racks {
		p.racks = append(p.racks, &mediabox.Rack{UplinkKB: day.UplinkKB})
	}
	if day.Registry != nil {
		p.registry = newSimRegistry(p, day.Registry)
	}
	for i := range day.Boxes {
		b := &boxState{name: "box-" + strconv.Itoa(i), zone: p.zoneName(i), cell: i, state: session.Ready}
		p.boxes = append(p.boxes, b)
		p.zoneByHost[b.name] = b.zone
		p.startBox(b, 0)
		if p.registry != nil {
			p.registry.putBox(b)
		}
		if p.processes != nil {
			p.processes.putBox(b)
		}
	}
	for i := range day.Managers {
		f := &frontState{name: "front-" + strconv.Itoa(i), zone: p.zoneName(i), index: i}
		p.fronts = append(p.fronts, f)
		p.zoneByHost[f.name] = f.zone
		p.startFront(f)
	}
	env.MarkPlayers("players")
	env.Start("players", "", func(n core.Net) core.Core {
		group := player.New(n, env.Now())
		group.Report = p.recordResult
		return group
	})
	if len(day.Tenants) == 0 {
		p.schedule(0, p.startViewer)
	}
	for i := range day.Tenants {
		for n := range day.Tenants[i].Count {
			tenant := &day.Tenants[i]
			name := tenant.Name
			if tenant.Count > 1 {
				name += "-" + strconv.Itoa(n)
			}
			p.schedule(tenant.From+Time(p.rng.ExpFloat64()/tenant.Rate*1e6), func() { p.startTenantViewer(tenant, name) })
		}
	}
	p.schedule(core.Second, p.sampleOrphans)
	for _, trouble := range day.Troubles {
		p.schedule(trouble.At, func() { p.applyTrouble(trouble) })
	}
	return p
}

// sampleOrphans counts, ten times a second, the box sessions that have no connection.
func (p *DayRun) sampleOrphans() {
	if p.Day.BoxConfig.KeepSessionsOnClose && p.processes == nil {
		p.orphanSamples++
		for _, b := range p.boxes {
			p.env.Call(b.name, func(c core.Core) {
				if box, ok := c.(*mediabox.Box); ok {
					p.mu.Lock()
					p.orphanSum += float64(box.OrphanedSessions())
					p.mu.Unlock()
				}
			})
		}
		if now := p.env.Now() - p.startedAt; now < p.Day.Length {
			p.schedule(now+core.Second/10, p.sampleOrphans)
		}
	}
}

// Duration returns the time until every request of the day has been answered and every playback has ended, unless viewers
// are told to retry later than after their usual delay.
func (p *DayRun) Duration() Time {
	longestWatch := Time(0)
	for _, plan := range p.Day.Plans {
		longestWatch = max(longestWatch, plan.Watch[1])
	}
	return p.Day.Length + Time(p.Day.MaxRetries+1)*(longestWatch+2*p.longestAbandon()+p.Day.RetryDelay)
}

// longestAbandon returns the longest abandon time of all plans.
func (p *DayRun) longestAbandon() (longest Time) {
	for _, plan := range p.Day.Plans {
		longest = max(longest, plan.Abandon)
	}
	return longest
}

// endRetries makes viewers that still wait to retry give up, so that the requests that are open can all be judged after
// longestAbandon.
func (p *DayRun) endRetries() {
	p.env.Call("players", func(c core.Core) { c.(*player.Group).NoMoreRetries() })
}

func (p *DayRun) zoneName(i int) string { return "zone-" + strconv.Itoa(i%p.Day.Zones) }

func (p *DayRun) schedule(offset Time, run func()) { p.env.At(p.startedAt+offset, run) }

func (p *DayRun) startBox(b *boxState, startedAt Time) {
	config := p.Day.BoxConfig
	config.Name, config.Rack, config.StartedAt = b.name, p.racks[b.cell%p.Day.Racks], startedAt
	b.startCount++
	config.Seed = p.Day.Seed<<20 + uint64(b.cell)<<8 + uint64(b.startCount)
	p.recording.RecordStart(p.env.Now(), b.name, startedAt)
	p.env.Start(b.name, b.zone, func(n core.Net) core.Core { return mediabox.New(config, n, p.env.Now()) })
}

// FrontConfig returns the configuration of the day's front with the given index.
func (d *Day) FrontConfig(index int) *front.Config {
	config := &front.Config{Name: "front-" + strconv.Itoa(index), Site: d.Site, SessionTimeout: d.SessionTimeout, OmitRetryAfter: d.OmitRetryAfter,
		Kinds: []string{"std"}, Secret: []byte{byte(d.Seed), byte(index)},
		Bounds: front.Bounds{Connections: 20000, Playbacks: 8000, Pipelined: 16, PlayerBytes: 256 << 10}}
	for i := range d.Zones {
		config.Zones = append(config.Zones, "zone-"+strconv.Itoa(i))
	}
	for _, plan := range d.Plans {
		config.Plans = append(config.Plans, plan.PlanProfile)
	}
	if d.Queue != nil {
		queue := *d.Queue
		queue.TokenSecret, queue.WithholdRetryTime = config.Secret, d.OmitRetryAfter
		for _, sitePlan := range d.Site.Plans {
			queue.StartupTarget = max(queue.StartupTarget, sitePlan.StartupTarget)
		}
		config.Queue = &queue
		config.Bounds.Connections = 200000
	}
	config.OnAnswered = d.OnAnswered
	if d.countQuality {
		measures := quality.Config{RungWorth: config.Site.Ladder.RevenueShare, Racks: d.Racks, MaxTitles: 1000, MaxPlaybacks: 20000, BucketWidth: core.Second, BucketCount: 1000}
		for _, plan := range config.Site.Plans {
			measures.Plans = append(measures.Plans, quality.Plan{Startup: plan.StartupTarget, Revenue: plan.Revenue})
		}
		config.Quality = quality.New(measures, 0)
	}
	config.Site.Front, config.Site.Zone = index, index%d.Zones
	return config
}

func (p *DayRun) startFront(f *frontState) {
	if p.processes != nil {
		f.startCount++
		p.processes.start(f)
		return
	}
	config := p.Day.FrontConfig(f.index)
	config.Secret = append(config.Secret, byte(f.startCount)) // session and playback names differ from those of an earlier process
	var orphans []life.Orphan
	if p.Day.RecoverOrphans {
		for _, name := range sortedKeys(f.journal) {
			orphans = append(orphans, f.journal[name])
		}
		f.journal = memoryJournal{}
		config.Journal = f.journal
	}
	if p.Day.access != nil {
		if err := p.Day.access.attachView(config, p.Day.Seed<<8+uint64(f.index)); err != nil {
			p.log.Error("front started without its directory and TLS configuration", zap.Error(err))
		}
	}
	changedSite := config.Site
	if p.faulty != nil && p.faulty.ChangeSite != nil {
		p.faulty.ChangeSite(&changedSite)
	}
	f.startCount++
	p.recording.RecordStart(p.env.Now(), f.name, 0)
	seed := p.Day.Seed*1000 + uint64(f.index) + f.startCount<<32
	if p.faulty != nil {
		seed ^= p.faulty.SeedMask
	}
	p.env.Start(f.name, f.zone, func(n core.Net) core.Core {
		if p.faulty != nil && p.faulty.WrapNet != nil {
			n = p.faulty.WrapNet(n)
		}
		now := p.env.Now()
		site := &changedSite
		if p.faulty == nil || p.faulty.ChangeSite == nil {
			site = &config.Site
		}
		var module session.Manager = policy.New(site, seed, now)
		if newPolicy := baselines[p.Day.Policy]; newPolicy != nil {
			module = newPolicy(site, seed)
		}
		if p.faulty != nil && p.faulty.WrapModule != nil {
			module = p.faulty.WrapModule(module)
		}
		manager := front.New(config, module, n, p.log, now)
		return p.wrapFront(manager, f)
	})
	f.up = true
	if p.Day.access != nil {
		if err := p.Day.access.listenTLS(f.name); err != nil {
			p.log.Error("front started without its TLS listener", zap.Error(err))
		}
	}
	if len(orphans) > 0 {
		p.env.Call(f.name, func(c core.Core) { frontOf(c).AdoptOrphans(orphans, nil) })
	}
	if p.registry != nil {
		p.registry.putManager(f)
		return
	}
	var allBoxes []*boxState
	allBoxes = append(allBoxes, p.boxes...)
	p.sendList(f, allBoxes, true)
}

// wrapFront adds a registry client to a front if the day has a registry.
func (p *DayRun) wrapFront(manager *front.Front, f *frontState) core.Core {
	if p.registry != nil {
		return p.registry.attach(manager, f.name)
	}
	return manager
}

// sendList sends a front the current list entries of some boxes.
func (p *DayRun) sendList(f *frontState, boxes []*boxState, complete bool) {
	update := front.ListUpdate{Complete: complete}
	for _, b := range boxes {
		update.Servers = append(update.Servers, front.Server{Name: b.name, Address: p.env.Addr(b.name), Zone: b.zone, Kind: "std",
			Cell: b.cell, Weight: 1, State: b.state, Started: b.started})
	}
	p.env.Call(f.name, func(c core.Core) {
		for _, s := range update.Servers {
			p.recording.RecordState(p.env.Now(), f.name, s.Name, s.State, s.Started)
		}
		if p.faulty != nil && p.faulty.ChangeList != nil {
			update = p.faulty.ChangeList(update)
		}
		c.(*front.Front).UpdateList(update)
	})
}

// announceState sends all fronts a box's list entry, each after a random delay within the day's NoticeSpread.
func (p *DayRun) announceState(b *boxState, state session.ServerState, delay Time) {
	if p.processes != nil {
		startCount := b.startCount
		p.env.At(p.env.Now()+delay, func() {
			if b.state == state && b.startCount == startCount {
				p.processes.putBox(b)
			}
		})
		return
	}
	if p.registry != nil {
		startCount := b.startCount
		p.env.At(p.env.Now()+delay, func() {
			if b.state == state && b.startCount == startCount {
				p.registry.putBox(b)
			}
		})
		return
	}
	for _, f := range p.fronts {
		frontDelay := delay + Time(p.rng.Float64()*float64(p.Day.NoticeSpread))
		startCount := b.startCount
		p.env.At(p.env.Now()+frontDelay, func() {
			if b.state == state && b.startCount == startCount && f.up {
				p.sendList(f, []*boxState{b}, false)
			}
		})
	}
}

// startViewer starts the next viewer and schedules the one after it.
func (p *DayRun) startViewer() {
	day := p.Day
	now := p.env.Now() - p.startedAt
	if now >= day.Length {
		return
	}
	profile := p.drawProfile()
	p.viewerCount++
	p.mu.Lock()
	p.Tally.OfferedRevenue += p.planRevenue(profile)
	p.mu.Unlock()
	p.env.Call("players", func(c core.Core) { c.(*player.Group).Start(profile) })
	gap := p.rng.ExpFloat64() / (day.ArrivalRate * p.surgeFactor)
	p.schedule(now+Time(gap*1e6), p.startViewer)
}

// startTenantViewer starts a tenant's next viewer and schedules the one after it.
func (p *DayRun) startTenantViewer(tenant *DayTenant, name string) {
	now := p.env.Now() - p.startedAt
	if now >= min(tenant.Until, p.Day.Length) {
		return
	}
	profile := p.drawProfile()
	p.viewerCount++
	profile.Tenant, profile.SourceAddr = name, name+"/"+strconv.Itoa(p.rng.IntN(tenant.Addresses))
	draw := p.rng.Float64()
	profile.HonorsRetryAfter, profile.RetriesEarly = draw < tenant.ExactShare+tenant.EarlyShare, draw >= tenant.ExactShare && draw < tenant.ExactShare+tenant.EarlyShare
	if !profile.HonorsRetryAfter {
		profile.MaxRetries = 0
	}
	p.TenantViewers = append(p.TenantViewers, &TenantViewer{Tenant: name, Config: tenant, Profile: profile, StartedAt: p.env.Now()})
	if p.viewerByProfile == nil {
		p.viewerByProfile = map[*player.Profile]*TenantViewer{}
	}
	p.viewerByProfile[profile] = p.TenantViewers[len(p.TenantViewers)-1]
	p.env.Call("players", func(c core.Core) { c.(*player.Group).Start(profile) })
	p.schedule(now+Time(p.rng.ExpFloat64()/tenant.Rate*1e6), func() { p.startTenantViewer(tenant, name) })
}

// TenantViewer is one viewer of a tenant with the results of its attempts in order.
type TenantViewer struct {
	Tenant    string
	Config    *DayTenant
	Profile   *player.Profile
	StartedAt Time
	Results   []player.Result
}

func (p *DayRun) drawProfile() *player.Profile {
	day := p.Day
	planDraw, plan := p.rng.Float64(), 0
	totalShare := 0.0
	for _, dayPlan := range day.Plans {
		totalShare += dayPlan.Share
	}
	for planDraw *= totalShare; plan < len(day.Plans)-1 && planDraw >= day.Plans[plan].Share; plan++ {
		planDraw -= day.Plans[plan].Share
	}
	dayPlan := &day.Plans[plan]
	titleDraw := p.rng.Float64() * p.cumulativeZipf[len(p.cumulativeZipf)-1]
	title := 0
	for title < len(p.cumulativeZipf)-1 && p.cumulativeZipf[title] < titleDraw {
		title++
	}
	if p.crowdShare > 0 && p.rng.Float64() < p.crowdShare {
		title = 0
	}
	profile := &player.Profile{ID: "pb" + strconv.Itoa(p.viewerCount), Plan: dayPlan.Name, Title: dayPlan.Name + "-" + strconv.Itoa(title),
		TopRung: len(day.BoxConfig.LadderKB) - 1, Tracks: len(dayPlan.Tracks), AbandonTime: dayPlan.Abandon, MaxRetries: day.MaxRetries, RetryDelay: day.RetryDelay,
		WatchTime: dayPlan.Watch[0] + Time(p.rng.Float64()*float64(dayPlan.Watch[1]-dayPlan.Watch[0])), HonorsRetryAfter: p.rng.Float64() < 0.7,
		DescribeFirst: p.rng.Float64() < 0.3, DuplicateSetups: p.rng.Float64() < p.duplicateShare}
	if p.rng.Float64() < day.SmallScreenShare {
		profile.TopRung = max(profile.TopRung-2, day.Site.Plans[plan].Floor)
	}
	if p.rng.Float64() < p.earlyLeaveShare {
		profile.LeaveAfter = 1 + Time(p.rng.Float64()*float64(core.Second)/10)
	}
	zone := p.rng.IntN(day.Zones)
	first := p.rng.IntN(len(p.fronts))
	for i := range p.fronts {
		if f := p.fronts[(first+i)%len(p.fronts)]; f.index%day.Zones == zone || day.Managers < day.Zones {
			profile.Fronts = append(profile.Fronts, p.env.Addr(f.name))
		}
	}
	if day.access != nil {
		day.access.assignIdentity(profile)
	}
	p.profiles = append(p.profiles, profile)
	p.requestedAt[profile] = p.env.Now()
	return profile
}

func (p *DayRun) planRevenue(profile *player.Profile) float64 {
	for i := range p.Day.Plans {
		if p.Day.Plans[i].Name == profile.Plan {
			return p.Day.Site.Plans[i].Revenue
		}
	}
	return 0
}

// recordResult adds the result of one attempt of a viewer to the tally.
func (p *DayRun) recordResult(profile *player.Profile, result *player.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if viewer := p.viewerByProfile[profile]; viewer != nil {
		viewer.Results = append(viewer.Results, *result)
	}
	if p.Day.access != nil {
		p.Day.access.judgeResult(profile, result)
	}
	tally := &p.Tally
	tally.Attempts++
	tally.Requests += result.Requests
	tally.Responses += result.Responses
	tally.Unsolicited += result.Unsolicited
	tally.Packets += result.Packets
	tally.Gaps += result.Gaps
	if result.RedirectReceived {
		tally.RedirectsReceived++
	}
	if p.processes != nil {
		p.Results = append(p.Results, *result)
	}
	if result.StartupTime > 0 && !result.FromRedirect && !p.revenueCounted[profile] {
		if p.revenueCounted == nil {
			p.revenueCounted = map[*player.Profile]bool{}
		}
		p.revenueCounted[profile] = true
		tally.Revenue += p.planRevenue(profile)
		if n := int((result.StartedAt - p.startedAt) / (core.Second / 10)); n >= 0 {
			for len(tally.RevenueByTenth) <= n {
				tally.RevenueByTenth = append(tally.RevenueByTenth, 0)
			}
			tally.RevenueByTenth[n] += p.planRevenue(profile)
		}
	}
	tally.Bytes += result.Bytes
	if result.StartupTime > 0 {
		tally.Played++
		tally.StartupTimes = append(tally.StartupTimes, result.StartupTime)
	}
	switch result.State {
	case player.Rejected:
		tally.Rejected++
	case player.Failed:
		tally.Failed++
	case player.Abandoned:
		tally.Abandoned++
	case player.Lost:
		tally.Lost++
	case player.Redirected:
		tally.Redirected++
	case player.Done:
		tally.Completed++
	}
}

// pickBoxes draws up to count ready boxes that no trouble applies to, and marks them.
func (p *DayRun) pickBoxes(count int) (all []*boxState) {
	for _, i := range p.rng.Perm(len(p.boxes)) {
		if b := p.boxes[i]; len(all) < count && !b.inTrouble && b.state == session.Ready {
			b.inTrouble = true
			all = append(all, b)
		}
	}
	return all
}

// changeFaults changes the faults of a box if it is running.
func (p *DayRun) changeFaults(b *boxState, change func(*mediabox.Faults)) {
	p.env.Call(b.name, func(c core.Core) {
		if box, ok := c.(*mediabox.Box); ok {
			change(&box.Faults)
		}
	})
}

// applyTrouble applies one trouble of the day's script.
func (p *DayRun) applyTrouble(trouble Trouble) {
	p.Tally.TroublesByKind[trouble.Kind]++
	runLater := func(after Time, call func()) { p.env.At(p.env.Now()+after, call) }
	applyFault := func(kind mediabox.Fault, methods ...string) {
		for _, b := range p.pickBoxes(trouble.Boxes) {
			p.changeFaults(b, func(x *mediabox.Faults) {
				x.Probability, x.ResponseDelay, x.ByMethod = trouble.Share, Time(trouble.Magnitude*1e6), map[string]mediabox.Fault{}
				for _, m := range methods {
					x.ByMethod[m] = kind
				}
			})
			runLater(trouble.Duration, func() {
				b.inTrouble = false
				p.changeFaults(b, func(x *mediabox.Faults) { x.ByMethod = nil })
			})
		}
	}
	applyState := func(set, unset func(x *mediabox.Faults)) {
		for _, b := range p.pickBoxes(trouble.Boxes) {
			p.changeFaults(b, set)
			runLater(trouble.Duration, func() {
				b.inTrouble = false
				p.changeFaults(b, unset)
			})
		}
	}
	switch trouble.Kind {
	case "die", "vanish":
		for _, b := range p.pickBoxes(trouble.Boxes) {
			p.stopBox(b, trouble.Kind == "vanish")
			runLater(trouble.Duration, func() { p.restartBox(b) })
		}
	case "drain":
		for _, b := range p.pickBoxes(trouble.Boxes) {
			b.state = session.Draining
			p.announceState(b, b.state, 0)
			runLater(trouble.Duration, func() {
				p.stopBox(b, false)
				runLater(core.Second, func() { p.restartBox(b) })
			})
		}
	case "errors":
		applyFault(mediabox.Error, "SETUP")
	case "lost-answers":
		applyFault(mediabox.LostResponse, "SETUP", "PLAY")
	case "late-answers":
		applyFault(mediabox.LateResponse, "SETUP", "PLAY")
	case "stuck":
		applyFault(mediabox.Dropped, "SETUP", "PLAY")
	case "cut-answers":
		applyFault(mediabox.TruncatedResponse, "SETUP", "PLAY")
	case "slow-rack":
		p.slowRack = p.rng.IntN(p.Day.Racks)
		for _, b := range p.boxes {
			if b.cell%p.Day.Racks == p.slowRack {
				p.changeFaults(b, func(x *mediabox.Faults) { x.SetupTimeFactor = trouble.Magnitude })
				runLater(trouble.Duration, func() { p.changeFaults(b, func(x *mediabox.Faults) { x.SetupTimeFactor = 0 }) })
			}
		}
	case "slow":
		applyState(func(x *mediabox.Faults) { x.SetupTimeFactor = trouble.Magnitude }, func(x *mediabox.Faults) { x.SetupTimeFactor = 0 })
	case "neighbour":
		applyState(func(x *mediabox.Faults) { x.CompetingShare = trouble.Share }, func(x *mediabox.Faults) { x.CompetingShare = 0 })
	case "overspeed":
		applyState(func(x *mediabox.Faults) { x.SendRateFactor = trouble.Magnitude }, func(x *mediabox.Faults) { x.SendRateFactor = 0 })
	case "reports-late":
		applyState(func(x *mediabox.Faults) { x.ExtraNoteDelay, x.FreezeLoad = Time(trouble.Magnitude*1e6), true },
			func(x *mediabox.Faults) { x.ExtraNoteDelay, x.FreezeLoad = 0, false })
	case "sag":
		applyState(func(x *mediabox.Faults) { x.CompetingShare = 1 - 1/max(trouble.Magnitude, 1) },
			func(x *mediabox.Faults) { x.CompetingShare = 0 })
	case "surge":
		p.surgeFactor = trouble.Magnitude
		runLater(trouble.Duration, func() { p.surgeFactor = 1 })
	case "crowd":
		p.crowdShare = trouble.Share
		runLater(trouble.Duration, func() { p.crowdShare = 0 })
	case "repeat":
		p.duplicateShare = trouble.Share
		runLater(trouble.Duration, func() { p.duplicateShare = 0 })
	case "leave":
		p.earlyLeaveShare = trouble.Share
		runLater(trouble.Duration, func() { p.earlyLeaveShare = 0 })
	case "kill":
		for _, i := range p.rng.Perm(len(p.fronts))[:min(trouble.Managers, len(p.fronts))] {
			f := p.fronts[i]
			if !f.up {
				continue
			}
			f.up = false
			if p.processes != nil {
				p.processes.kill(f)
				runLater(trouble.Duration, func() { p.startFront(f) })
				continue
			}
			p.recording.RecordKill(p.env.Now(), f.name)
			p.collectFront(f)
			p.env.Kill(f.name, false)
			if p.registry != nil {
				p.registry.putManager(f)
			}
			runLater(trouble.Duration, func() { p.startFront(f) })
		}
	case "stand-still":
		for range trouble.Managers {
			f := p.fronts[p.rng.IntN(len(p.fronts))]
			if !f.up {
				continue
			}
			if p.processes != nil {
				p.processes.pause(f, trouble.Duration)
				continue
			}
			p.recording.RecordPause(p.env.Now(), p.env.Now()+trouble.Duration, f.name)
			p.env.Pause(f.name, trouble.Duration)
		}
	case "reload", "bad-reload", "halt", "upgrade": // only with separate processes
		for _, i := range p.rng.Perm(len(p.fronts))[:min(trouble.Managers, len(p.fronts))] {
			p.processes.playTrouble(p.fronts[i], trouble)
		}
	case "registry-cut":
		p.registry.disconnect(trouble.Duration)
	case "registry-stall":
		p.registry.stalledUntil = p.env.Now() + trouble.Duration
	case "registry-compact":
		h, _ := p.registry.store.Keys()
		p.registry.store.Compact(h.Revision)
	case "registry-anew":
		p.registry.startNewHistory()
	case "registry-lose":
		p.registry.expireLeases()
	case "zone-cut":
		p.env.CutZones("zone-0", p.zoneName(1), trouble.Duration)
	}
}

// stopBox ends a box's process; the list reports it after LossNoticeDelay.
func (p *DayRun) stopBox(b *boxState, silent bool) {
	p.recording.RecordKill(p.env.Now(), b.name)
	p.collectBox(b)
	p.env.Call(b.name, func(c core.Core) {
		if box, ok := c.(*mediabox.Box); ok {
			box.ReleaseUplink()
		}
		p.env.At(p.env.Now(), func() { p.env.Kill(b.name, silent) })
	})
	b.state = session.Gone
	p.announceState(b, b.state, p.Day.LossNoticeDelay)
}

// restartBox starts a box's process again, cold, and announces it.
func (p *DayRun) restartBox(b *boxState) {
	p.env.Kill(b.name, false)
	b.started, b.state = p.env.Now(), session.Ready
	p.startBox(b, b.started)
	p.announceState(b, b.state, 0)
	b.inTrouble = false
}

func (p *DayRun) collectBox(b *boxState) {
	p.env.Call(b.name, func(c core.Core) {
		if box, ok := c.(*mediabox.Box); ok {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.Tally.Crashes += box.Counts.Crashes
			p.Tally.Setups += box.Counts.Setups
			p.packetsSent += box.Counts.Packets
			box.Faults.Unresponsive = true // its packets are counted already, so it must not send more before it ends
		}
	})
}

// frontOf returns the session manager of a host's core, or nil if the core is something else.
func frontOf(c core.Core) *front.Front {
	switch x := c.(type) {
	case *front.Front:
		return x
	case *registryClient:
		return x.Front
	}
	return nil
}

func (p *DayRun) collectFront(f *frontState) {
	p.env.Call(f.name, func(c core.Core) {
		if manager := frontOf(c); manager != nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			addStats(&p.Tally.FrontStats, &manager.Figures)
			if manager.Quality != nil {
				p.addTotals(manager.Quality)
			}
		}
	})
}

// Finish collects the figures of the boxes and fronts that still run.
func (p *DayRun) Finish() {
	p.MeanOrphans = p.orphanSum / max(p.orphanSamples, 1)
	for _, b := range p.boxes {
		p.collectBox(b)
	}
	for _, f := range p.fronts {
		p.collectFront(f)
	}
}

func addStats(total, stats *front.Stats) {
	for _, f := range []struct{ to, from *int64 }{{&total.Requests, &stats.Requests}, {&total.Malformed, &stats.Malformed},
		{&total.Repeated, &stats.Repeated}, {&total.Taken, &stats.Taken}, {&total.Plays, &stats.Plays}, {&total.Refused, &stats.Refused},
		{&total.Failed, &stats.Failed}, {&total.Left, &stats.Left}, {&total.Overdue, &stats.Overdue}, {&total.Tries, &stats.Tries},
		{&total.Lapsed, &stats.Lapsed}, {&total.LateAnswers, &stats.LateAnswers}, {&total.Probes, &stats.Probes}, {&total.Packets, &stats.Packets},
		{&total.LostVideo, &stats.LostVideo}, {&total.LostAudio, &stats.LostAudio}, {&total.Playbacks, &stats.Playbacks},
		{&total.Connections, &stats.Connections}, {&total.Dialogues, &stats.Dialogues}, {&total.Overflowed, &stats.Overflowed}} {
		*f.to += *f.from
	}
}

// RunVirtual runs a day on the virtual network until all of its playbacks have ended, and checks the totals.
func RunVirtual(day *Day, faulty *FaultyFront, log *zap.Logger) (*DayRun, *Recording, *VirtualNet) {
	recording := &Recording{}
	network := NewVirtualNet(day.Links, day.Seed, recording)
	p := StartDay(day, network, recording, faulty, log)
	network.At(network.now+bucketWidth, func() { p.sample(network) })
	network.Run(p.startedAt + p.Duration())
	p.endRetries()
	network.Run(network.now + p.longestAbandon())
	p.Finish()
	network.Run(network.now + core.Second)
	p.checkTotals(network)
	return p, recording, network
}

// Summary returns the tally as text of a few lines.
func (t *Tally) Summary() string {
	return fmt.Sprintf("asked %d, played %d, refused %d, failed %d, abandoned %d, lost %d; packets %d, gaps %d\n"+
		"fronts: taken %d, plays %d, refused %d, failed %d, left %d, overdue %d, tries %d, lapsed %d, late answers %d, left over: %d playbacks, %d dialogues",
		t.Attempts, t.Played, t.Rejected, t.Failed, t.Abandoned, t.Lost, t.Packets, t.Gaps, t.FrontStats.Taken, t.FrontStats.Plays,
		t.FrontStats.Refused, t.FrontStats.Failed, t.FrontStats.Left, t.FrontStats.Overdue, t.FrontStats.Tries, t.FrontStats.Lapsed,
		t.FrontStats.LateAnswers, t.FrontStats.Playbacks, t.FrontStats.Dialogues)
}
