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
	loadEstimate struct {
		capacityKB, ownKB, othersFill float64
		typical                       *typicalDemand
		measured                      bool
		readAt                        Time
		shortageAt                    Time  // last found short
		steppedAt                     Time  // this front last stepped streams here
		servers                       []int // the servers of an uplink
		ownHistory                    meter.History
	}

	// usual is what others ask of links, or uplinks, as a rule.
	typicalDemand struct {
		capacityKB, ownKB, meanFill, readings float64
		readAt                                Time
	}

	serverState struct {
		entry          session.Entry
		rack           int
		link           loadEstimate
		streams        []*streamState
		pendingTries   int // setup tries out
		suspensions    int
		suspendedUntil Time
		halfOpen       bool // one try at a time until one succeeds
		lastFailed     bool // on the last playback that it set up
		coldUntil      Time
		coldListed     bool // by the list; otherwise only feared
		recentTries    meter.Count
		probePending   bool
		awaitingProbe  []*playback // for the probe's answer
		probeSentAt    Time
	}

	// stream is one title at one server, plan and rung, as far as this front's playbacks make it up.
	streamState struct {
		title, plan, server, rung int
		members                   []*playback
		rungChangedAt             Time
		openedRemote              bool // by this front, remote, for want of local room
	}

	// service is a plan's revenue asked for and earned of late, as the rungs of this front's playbacks tell it.
	planStats struct {
		requested, earned float64
		weight            float64 // of its revenue, beside that of other plans
	}

	playback struct {
		session.Request
		startupDeadline, requestedAt Time
		stream                       *streamState
		tries                        int
		triedServers                 []int
		mayHaveRunOn                 int // where a keyed or unsafe try may have run, -1 for nowhere
		mayHaveRunSince              Time
		active, playing              bool
		failedBefore                 bool // somewhere
		holdsSeat                    bool
		finished                     bool
		dirty                        bool
		probeAwaited                 bool
		// wanted against present
		wantServer, wantRung, currentRung int
		tryTimeout                        Time
		wantAnswer                        int
		wantMove, moving                  bool
	}

	front struct {
		*session.Site
		now, turnDelay                Time // late: by how much this turn is
		seed                          uint64
		randomDraws                   uint32
		startedAt                     Time
		assumeColdUntil               Time // any server may be cold
		servers                       []serverState
		uplinks                       []loadEstimate
		typicalLinks, typicalUplinks  typicalDemand
		playbacks                     []*playback
		dirty                         []*playback
		seats                         map[[2]int]int
		tenantRequests                []meter.Count
		planStats                     []planStats
		recentRequests, recentRetries meter.Count
		recentSetupKB                 meter.Count // kB of set-ups since news of links could last show them
		unreportedFill                float64     // fill that the others are taken to have added meanwhile
		meanSetupTime                 float64     // setup time
		meanPlaybackTime              float64     // of a playback
		capacityPrice                 float64     // of room: what the best step left untaken earns for a kB
		longestStartup                Time        // longest startup target
		maxFloorDensity               float64     // revenue for a kB at the densest floor
		wakeAt, wakeRequestedAt       Time
		watchAt                       Time    // when to subscribe
		playbackCount, probeCount     float64 // playbacks taken, probes sent
		liveViewers                   int     // of live streams
		liveStreams                   int     // live streams
		wantProbes                    []int
	}
)

func newFront(site *session.Site, seed uint64, now Time) *front {
	f := &front{Site: site, seed: seed, startedAt: now, now: now, uplinks: make([]loadEstimate, site.Fleet.Racks),
		seats: map[[2]int]int{}, tenantRequests: make([]meter.Count, len(site.Tenants)),
		planStats: slices.Repeat([]planStats{{weight: 1}}, len(site.Plans))}
	f.typicalLinks.readAt, f.typicalUplinks.readAt = now, now
	f.typicalLinks.capacityKB, f.typicalUplinks.capacityKB = site.Fleet.LinksKB, site.Fleet.UplinkKB*float64(site.Fleet.Racks)
	for i := range f.uplinks {
		f.uplinks[i] = f.newLoadEstimate(site.Fleet.UplinkKB, &f.typicalUplinks)
	}
	for i := range f.tenantRequests {
		f.tenantRequests[i] = meter.NewCount(tenantRateSpan, bucketsPerSpan)
	}
	f.recentSetupKB = meter.NewCount(f.maxReadingAge(), bucketsPerSpan)
	f.recentRequests = meter.NewCount(site.Terms.TrySpan, bucketsPerSpan)
	f.recentRetries = meter.NewCount(site.Terms.TrySpan, bucketsPerSpan)
	return f
}

func (f *front) newLoadEstimate(kb float64, typical *typicalDemand) loadEstimate {
	ownHistory := meter.NewHistory(f.Fleet.NoteDelay/bucketsPerSpan, historyBuckets)
	return loadEstimate{capacityKB: kb, typical: typical, shortageAt: never, steppedAt: never, ownHistory: ownHistory}
}

func (f *front) rungRevenue(rung int) float64 { return f.Ladder.Worth[rung] }
func (f *front) rateKB(plan, rung int) float64 {
	return f.Ladder.RateKB[rung] * f.Plans[plan].RateFactor
}

// chance is the next number in [0,1).
func (f *front) random() float64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], f.seed)
	binary.BigEndian.PutUint32(b[8:], f.randomDraws)
	f.randomDraws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// meet is a number in [0,1) of a title and a cell, the same at every front.
func titleCellHash(show uint64, cell int) float64 {
	b := binary.BigEndian.AppendUint64(nil, show)
	return float64(crc32.ChecksumIEEE(binary.BigEndian.AppendUint16(b, uint16(cell)))) / (1 << 32)
}

func (e *loadEstimate) add(f *front, kb float64) {
	e.ownKB += kb
	e.typical.ownKB += kb
	e.ownHistory.Set(f.now, e.ownKB)
}

func (f *front) server(i int) *serverState {
	for len(f.servers) <= i {
		f.servers = append(f.servers, serverState{recentTries: meter.NewCount(f.Terms.FallSpan, bucketsPerSpan),
			link: f.newLoadEstimate(f.Fleet.LinksKB/float64(f.Fleet.Cells), &f.typicalLinks)})
	}
	return &f.servers[i]
}

func (f *front) holdsTitle(pb *playback, server *serverState) bool {
	cells := f.Fleet.Cells
	return pb.Span <= 0 || pb.Span >= cells || ((server.entry.Cell-pb.Base)%cells+cells)%cells < pb.Span
}

func (f *front) markDirty(pb *playback) {
	if !pb.dirty {
		pb.dirty = true
		f.dirty = append(f.dirty, pb)
	}
}

func (f *front) streamKB(stream *streamState, members int) float64 {
	if members == 0 {
		return 0
	}
	return f.rateKB(stream.plan, stream.rung) * (1 + f.Ladder.Join*float64(members-1))
}

func (f *front) attach(pb *playback, srv, rung int) {
	server := f.server(srv)
	var stream *streamState
	live := 0
	if f.Plans[pb.Plan].Live {
		live = 1
		for _, other := range server.streams {
			if other.title == pb.Title && other.plan == pb.Plan && other.rung == rung {
				stream = other
			}
		}
	}
	if stream == nil {
		stream = &streamState{title: pb.Title, plan: pb.Plan, server: srv, rung: rung, rungChangedAt: f.now}
		server.streams = append(server.streams, stream)
		f.liveStreams += live
	}
	f.liveViewers += live
	f.resizeStream(stream, len(stream.members)+1)
	stream.members = append(stream.members, pb)
	pb.stream = stream
}

// weigh books what a stream asks once it has n members.
func (f *front) resizeStream(stream *streamState, members int) {
	kb := f.streamKB(stream, members) - f.streamKB(stream, len(stream.members))
	server := f.server(stream.server)
	server.link.add(f, kb)
	f.uplinks[server.rack].add(f, kb)
}

func (f *front) detach(pb *playback) {
	stream := pb.stream
	if stream == nil {
		return
	}
	pb.stream = nil
	f.resizeStream(stream, len(stream.members)-1)
	stream.members = slices.DeleteFunc(stream.members, func(member *playback) bool { return member == pb })
	live := 0
	if f.Plans[stream.plan].Live {
		live = 1
	}
	f.liveViewers -= live
	if len(stream.members) == 0 {
		f.liveStreams -= live
		server := f.server(stream.server)
		server.streams = slices.DeleteFunc(server.streams, func(other *streamState) bool { return other == stream })
	}
}

func (f *front) finish(pb *playback) {
	pb.finished = true
	f.markDirty(pb)
}

func (f *front) addPlayback(request session.Request) *playback {
	floor := f.Plans[request.Plan].Floor
	pb := &playback{Request: request, wantServer: -1, mayHaveRunOn: -1, requestedAt: f.now, currentRung: floor, wantRung: floor}
	pb.Top = min(pb.Top, f.Plans[request.Plan].Top)
	pb.startupDeadline = f.now + f.Plans[request.Plan].Startup
	for len(f.playbacks) <= request.Playback {
		f.playbacks = append(f.playbacks, nil)
	}
	f.playbacks[request.Playback] = pb
	f.playbackCount++
	return pb
}

// step takes a stream's members to another rung, as far as they can use it.
func (f *front) setStreamRung(stream *streamState, rung int) {
	for _, pb := range slices.Clone(stream.members) {
		if rung > pb.Top {
			continue
		}
		f.detach(pb)
		f.attach(pb, stream.server, rung)
		pb.stream.rungChangedAt, pb.stream.openedRemote = f.now, stream.openedRemote
		pb.wantRung = rung
		f.markDirty(pb)
	}
}

// hold books a setup try, with its seat.
func (f *front) reserve(pb *playback, srv int) {
	server := f.server(srv)
	server.pendingTries++
	pb.holdsSeat = true
	f.seats[[2]int{pb.Plan, pb.Title}]++
}

// release takes a playback off its stream and its seat.
func (f *front) release(pb *playback) {
	pb.active = false
	f.detach(pb)
	if pb.holdsSeat {
		pb.holdsSeat = false
		f.seats[[2]int{pb.Plan, pb.Title}]--
	}
}

// enter books a server's list entry, and what it carries at its rack.
func (f *front) setEntry(server *serverState, entry session.Entry) {
	server.entry = entry
	rack := entry.Cell % f.Fleet.Racks
	if rack != server.rack {
		f.uplinks[server.rack].add(f, -server.link.ownKB)
		f.uplinks[rack].add(f, server.link.ownKB)
		previous := &f.uplinks[server.rack]
		previous.servers = slices.DeleteFunc(previous.servers, func(i int) bool { return i == entry.Server })
		server.rack = rack
	}
	if uplink := &f.uplinks[rack]; !slices.Contains(uplink.servers, entry.Server) {
		uplink.servers = append(uplink.servers, entry.Server)
	}
}

// playsAt books the rung of a playback taken over.
func (f *front) setKnownRung(pb *playback, rung int) {
	if rung < 0 || rung >= len(f.Ladder.RateKB) {
		return
	}
	if stream := pb.stream; stream != nil && stream.rung != rung {
		f.detach(pb)
		f.attach(pb, stream.server, rung)
		pb.stream.rungChangedAt = never
	}
	pb.currentRung, pb.wantRung = rung, rung
}
