package policy

import (
	"encoding/binary"
	"hash/crc32"
	"slices"

	"pierlink/internal/meter"
	"pierlink/session"
)

// What this front knows and holds. Nothing in this file decides.
type (
	// Time is session.Time.
	Time = session.Time

	// gauge tells how full a link or an uplink is: the latest reading, corrected by what this front changed
	// since the moment that the reading is of.
	gauge struct {
		kb, own, base float64
		usual         *usual
		known         bool
		readAt        Time
		shortAt       Time  // last found short
		steppedAt     Time  // this front last stepped streams here
		behind        []int // the servers of an uplink
		past          meter.Past
	}

	// usual is what others ask of links, or uplinks, as a rule.
	usual struct {
		kb, own, mean, heard float64
		readAt               Time
	}

	server struct {
		entry     session.Entry
		rack      int
		link      gauge
		streams   []*stream
		out       int // setup tries out
		strikes   int
		shunUntil Time
		trial     bool // one try at a time until one succeeds
		erred     bool // on the last playback that it set up
		coldUntil Time
		coldTold  bool // by the list; otherwise only feared
		cold      meter.Count
		probeOut  bool
		waiting   []*playback // for the probe's answer
		probedAt  Time
	}

	// stream is one title at one server, plan and rung, as far as this front's playbacks make it up.
	stream struct {
		title, plan, server, rung int
		members                   []*playback
		changedAt                 Time
		opened                    bool // by this front, remote, for want of local room
	}

	// service is a plan's revenue asked for and earned of late, as the rungs of this front's playbacks tell it.
	service struct {
		asked, earned float64
		weight        float64 // of its revenue, beside that of other plans
	}

	playback struct {
		session.Request
		aim, since Time
		stream     *stream
		tries      int
		tried      []int
		ranAt      int // where a keyed or unsafe try may have run, -1 for nowhere
		ranSince   Time
		out, plays bool
		erred      bool // somewhere
		seated     bool
		gone       bool
		dirty      bool
		looked     bool
		// wanted against present
		wantServer, wantRung, setRung int
		limit                         Time
		wantEnd                       int
		wantMove, moving              bool
	}

	front struct {
		*session.Site
		now, late       Time // late: by how much this turn is
		seed            uint64
		draws           uint32
		started         Time
		fearedUntil     Time // any server may be cold
		servers         []server
		racks           []gauge
		links, uplinks  usual
		pbs             []*playback
		dirty           []*playback
		seats           map[[2]int]int
		tenants         []meter.Count
		plans           []service
		taken, extra    meter.Count
		added           meter.Count // kB of set-ups since news of links could last show them
		unseen          float64     // fill that the others are taken to have added meanwhile
		typical         float64     // setup time
		life            float64     // of a playback
		price           float64     // of room: what the best step left untaken earns for a kB
		slowest         Time        // longest startup target
		best            float64     // revenue for a kB at the densest floor
		wakeAt, wokenAt Time
		watchAt         Time    // when to subscribe
		takes, probes   float64 // playbacks taken, probes sent
		viewers         int     // of live streams
		running         int     // live streams
		wantProbes      []int
	}
)

func newFront(site *session.Site, seed uint64, now Time) *front {
	f := &front{Site: site, seed: seed, started: now, now: now, racks: make([]gauge, site.Fleet.Racks),
		seats: map[[2]int]int{}, tenants: make([]meter.Count, len(site.Tenants)),
		plans: slices.Repeat([]service{{weight: 1}}, len(site.Plans))}
	f.links.readAt, f.uplinks.readAt = now, now
	f.links.kb, f.uplinks.kb = site.Fleet.LinksKB, site.Fleet.UplinkKB*float64(site.Fleet.Racks)
	for i := range f.racks {
		f.racks[i] = f.gauge(site.Fleet.UplinkKB, &f.uplinks)
	}
	for i := range f.tenants {
		f.tenants[i] = meter.NewCount(tenantSpan, buckets)
	}
	f.added = meter.NewCount(f.newsSpan(), buckets)
	f.taken = meter.NewCount(site.Terms.TrySpan, buckets)
	f.extra = meter.NewCount(site.Terms.TrySpan, buckets)
	return f
}

func (f *front) gauge(kb float64, u *usual) gauge {
	past := meter.NewPast(f.Fleet.NoteDelay/buckets, history)
	return gauge{kb: kb, usual: u, shortAt: never, steppedAt: never, past: past}
}

func (f *front) worth(rung int) float64      { return f.Ladder.Worth[rung] }
func (f *front) rate(plan, rung int) float64 { return f.Ladder.RateKB[rung] * f.Plans[plan].RateFactor }

// chance is the next number in [0,1).
func (f *front) chance() float64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], f.seed)
	binary.BigEndian.PutUint32(b[8:], f.draws)
	f.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// meet is a number in [0,1) of a title and a cell, the same at every front.
func meet(show uint64, cell int) float64 {
	b := binary.BigEndian.AppendUint64(nil, show)
	return float64(crc32.ChecksumIEEE(binary.BigEndian.AppendUint16(b, uint16(cell)))) / (1 << 32)
}

func (g *gauge) add(f *front, kb float64) {
	g.own += kb
	g.usual.own += kb
	g.past.Set(f.now, g.own)
}

func (f *front) server(i int) *server {
	for len(f.servers) <= i {
		f.servers = append(f.servers, server{cold: meter.NewCount(f.Terms.FallSpan, buckets),
			link: f.gauge(f.Fleet.LinksKB/float64(f.Fleet.Cells), &f.links)})
	}
	return &f.servers[i]
}

func (f *front) holds(pb *playback, s *server) bool {
	n := f.Fleet.Cells
	return pb.Span <= 0 || pb.Span >= n || ((s.entry.Cell-pb.Base)%n+n)%n < pb.Span
}

func (f *front) touch(pb *playback) {
	if !pb.dirty {
		pb.dirty = true
		f.dirty = append(f.dirty, pb)
	}
}

func (f *front) streamKB(st *stream, n int) float64 {
	if n == 0 {
		return 0
	}
	return f.rate(st.plan, st.rung) * (1 + f.Ladder.Join*float64(n-1))
}

func (f *front) attach(pb *playback, srv, rung int) {
	s := f.server(srv)
	var st *stream
	live := 0
	if f.Plans[pb.Plan].Live {
		live = 1
		for _, x := range s.streams {
			if x.title == pb.Title && x.plan == pb.Plan && x.rung == rung {
				st = x
			}
		}
	}
	if st == nil {
		st = &stream{title: pb.Title, plan: pb.Plan, server: srv, rung: rung, changedAt: f.now}
		s.streams = append(s.streams, st)
		f.running += live
	}
	f.viewers += live
	f.weigh(st, len(st.members)+1)
	st.members = append(st.members, pb)
	pb.stream = st
}

// weigh books what a stream asks once it has n members.
func (f *front) weigh(st *stream, n int) {
	kb := f.streamKB(st, n) - f.streamKB(st, len(st.members))
	s := f.server(st.server)
	s.link.add(f, kb)
	f.racks[s.rack].add(f, kb)
}

func (f *front) detach(pb *playback) {
	st := pb.stream
	if st == nil {
		return
	}
	pb.stream = nil
	f.weigh(st, len(st.members)-1)
	st.members = slices.DeleteFunc(st.members, func(m *playback) bool { return m == pb })
	live := 0
	if f.Plans[st.plan].Live {
		live = 1
	}
	f.viewers -= live
	if len(st.members) == 0 {
		f.running -= live
		s := f.server(st.server)
		s.streams = slices.DeleteFunc(s.streams, func(x *stream) bool { return x == st })
	}
}

func (f *front) forget(pb *playback) {
	pb.gone = true
	f.touch(pb)
}

func (f *front) take(r session.Request) *playback {
	floor := f.Plans[r.Plan].Floor
	pb := &playback{Request: r, wantServer: -1, ranAt: -1, since: f.now, setRung: floor, wantRung: floor}
	pb.Top = min(pb.Top, f.Plans[r.Plan].Top)
	pb.aim = f.now + f.Plans[r.Plan].Startup
	for len(f.pbs) <= r.Playback {
		f.pbs = append(f.pbs, nil)
	}
	f.pbs[r.Playback] = pb
	f.takes++
	return pb
}

// step takes a stream's members to another rung, as far as they can use it.
func (f *front) step(st *stream, rung int) {
	for _, pb := range slices.Clone(st.members) {
		if rung > pb.Top {
			continue
		}
		f.detach(pb)
		f.attach(pb, st.server, rung)
		pb.stream.changedAt, pb.stream.opened = f.now, st.opened
		pb.wantRung = rung
		f.touch(pb)
	}
}

// hold books a setup try, with its seat.
func (f *front) hold(pb *playback, srv int) {
	s := f.server(srv)
	s.out++
	pb.seated = true
	f.seats[[2]int{pb.Plan, pb.Title}]++
}

// release takes a playback off its stream and its seat.
func (f *front) release(pb *playback) {
	pb.out = false
	f.detach(pb)
	if pb.seated {
		pb.seated = false
		f.seats[[2]int{pb.Plan, pb.Title}]--
	}
}

// enter books a server's list entry, and what it carries at its rack.
func (f *front) enter(s *server, e session.Entry) {
	s.entry = e
	rack := e.Cell % f.Fleet.Racks
	if rack != s.rack {
		f.racks[s.rack].add(f, -s.link.own)
		f.racks[rack].add(f, s.link.own)
		from := &f.racks[s.rack]
		from.behind = slices.DeleteFunc(from.behind, func(i int) bool { return i == e.Server })
		s.rack = rack
	}
	if k := &f.racks[rack]; !slices.Contains(k.behind, e.Server) {
		k.behind = append(k.behind, e.Server)
	}
}

// playsAt books the rung of a playback taken over.
func (f *front) playsAt(pb *playback, rung int) {
	if rung < 0 || rung >= len(f.Ladder.RateKB) {
		return
	}
	if st := pb.stream; st != nil && st.rung != rung {
		f.detach(pb)
		f.attach(pb, st.server, rung)
		pb.stream.changedAt = never
	}
	pb.setRung, pb.wantRung = rung, rung
}
