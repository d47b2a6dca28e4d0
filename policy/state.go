package policy

import (
	"encoding/binary"
	"hash/crc32"
	"slices"

	"pierlink/internal/meter"
	"pierlink/session"
)

// The state of a front. This file makes no decisions.
type (
	// Time is session.Time.
	Time = session.Time

	// loadEstimate estimates the fill of a link or an uplink: the latest reading, corrected by this front's own
	// changes since the moment of that reading.
	loadEstimate struct {
		capacityKB, ownKB, othersFill float64 // ownKB: demand of this front; othersFill: that of the others, as last read
		typical                       *typicalDemand
		measured                      bool // a reading has been taken
		readAt                        Time
		shortageAt                    Time          // when a shortage was last found
		steppedAt                     Time          // when this front last stepped streams here
		servers                       []int         // the servers behind an uplink
		ownHistory                    meter.History // of ownKB
	}

	// typicalDemand is the demand that the other fronts usually place on links, or on uplinks.
	typicalDemand struct {
		capacityKB, ownKB, meanFill, readings float64 // capacityKB, ownKB: sums; readings: number taken so far
		readAt                                Time
	}

	serverState struct {
		entry          session.Entry
		rack           int
		link           loadEstimate
		streams        []*streamState
		pendingTries   int // setup tries sent and not finished
		suspensions    int // how often suspended in succession; halved by each success
		suspendedUntil Time
		halfOpen       bool // after a suspension: one try at a time until one succeeds
		lastFailed     bool // the last playback that it set up ended with an error
		coldUntil      Time
		coldListed     bool // its restart is in the server list, not only assumed
		recentTries    meter.Count
		probePending   bool
		awaitingProbe  []*playback // playbacks held back until the probe's answer
		probeSentAt    Time
	}

	// streamState is one title at one server, plan and rung, with this front's playbacks of it.
	streamState struct {
		title, plan, server, rung int
		members                   []*playback
		rungChangedAt             Time
		openedRemote              bool // by this front, in another zone, as the own zone had no capacity
	}

	// planStats holds a plan's recent revenue at the rungs that viewers could use and at the rungs that they got, over
	// this front's playbacks.
	planStats struct {
		requested, earned float64
		weight            float64 // factor on the plan's revenue in decisions
	}

	playback struct {
		session.Request
		startupDeadline, requestedAt Time
		stream                       *streamState
		tries                        int
		triedServers                 []int
		mayHaveRunOn                 int // server on which an earlier try may have run, -1 for none
		mayHaveRunSince              Time
		active, playing              bool // active: a try is pending or the playback runs
		failedBefore                 bool // with an error, on any server
		holdsSeat                    bool
		finished                     bool // answered or given up by its client
		dirty                        bool // in front.dirty
		probeAwaited                 bool // was held back for a probe once
		// wanted and present state, which Settle brings into line
		wantServer, wantRung, currentRung int
		tryTimeout                        Time
		wantAnswer                        int
		wantMove, moving                  bool
	}

	front struct {
		*session.Site
		now, turnDelay                Time // turnDelay: how late this turn started
		seed                          uint64
		randomDraws                   uint32
		startedAt                     Time
		assumeColdUntil               Time // any server may be cold until then; set to never by a takeover
		servers                       []serverState
		uplinks                       []loadEstimate // one per rack
		typicalLinks, typicalUplinks  typicalDemand
		playbacks                     []*playback
		dirty                         []*playback    // with changes for Settle
		seats                         map[[2]int]int // taken seats by plan and title
		tenantRequests                []meter.Count
		planStats                     []planStats
		recentRequests, recentRetries meter.Count
		recentSetupKB                 meter.Count // rate of the setups that readings may not show yet
		unreportedFill                float64     // assumed fill that other fronts added meanwhile
		meanSetupTime                 float64
		meanPlaybackTime              float64
		capacityPrice                 float64 // revenue per kB of the best step not taken
		longestStartup                Time    // of all plans' startup targets
		maxFloorDensity               float64 // highest revenue per kB of a plan at its lowest rung
		wakeAt, wakeRequestedAt       Time
		watchAt                       Time    // when to subscribe to the server list
		playbackCount, probeCount     float64 // playbacks taken on and probes sent since the start
		liveViewers                   int     // viewers of live streams
		liveStreams                   int
		wantProbes                    []int
	}
)

func newFront(site *session.Site, seed uint64, now Time) *front {
	f := &front{Site: site, seed: seed, startedAt: now, now: now, uplinks: make([]loadEstimate, site.Fleet.Racks),
		seats: map[[2]int]int{}, tenantRequests: make([]meter.Count, len(site.Tenants)),
		planStats: slices.Repeat([]planStats{{weight: 1}}, len(site.Plans))}
	f.typicalLinks.readAt, f.typicalUplinks.readAt = now, now
	f.typicalLinks.capacityKB, f.typicalUplinks.capacityKB =
		site.Fleet.TotalLinkKB, site.Fleet.UplinkKB*float64(site.Fleet.Racks)
	for i := range f.uplinks {
		f.uplinks[i] = f.newLoadEstimate(site.Fleet.UplinkKB, &f.typicalUplinks)
	}
	for i := range f.tenantRequests {
		f.tenantRequests[i] = meter.NewCount(tenantRateSpan, bucketsPerSpan)
	}
	f.recentSetupKB = meter.NewCount(f.maxReadingAge(), bucketsPerSpan)
	f.recentRequests = meter.NewCount(site.Terms.RetrySpan, bucketsPerSpan)
	f.recentRetries = meter.NewCount(site.Terms.RetrySpan, bucketsPerSpan)
	return f
}

func (f *front) newLoadEstimate(kb float64, typical *typicalDemand) loadEstimate {
	ownHistory := meter.NewHistory(f.Fleet.NoteDelay/bucketsPerSpan, historyBuckets)
	return loadEstimate{capacityKB: kb, typical: typical, shortageAt: never, steppedAt: never, ownHistory: ownHistory}
}

func (f *front) rungRevenue(rung int) float64 { return f.Ladder.RevenueShare[rung] }

func (f *front) rateKB(plan, rung int) float64 {
	return f.Ladder.RateKB[rung] * f.Plans[plan].RateFactor
}

// random returns the next pseudo-random number in [0,1).
func (f *front) random() float64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], f.seed)
	binary.BigEndian.PutUint32(b[8:], f.randomDraws)
	f.randomDraws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// titleCellHash maps a title and a cell to a number in [0,1), the same at every front.
func titleCellHash(show uint64, cell int) float64 {
	b := binary.BigEndian.AppendUint64(nil, show)
	return float64(crc32.ChecksumIEEE(binary.BigEndian.AppendUint16(b, uint16(cell)))) / (1 << 32)
}

// add changes this front's own demand by kb.
func (e *loadEstimate) add(f *front, kb float64) {
	e.ownKB += kb
	e.typical.ownKB += kb
	e.ownHistory.Set(f.now, e.ownKB)
}

// server returns the state of a server and creates it if the number is new.
func (f *front) server(i int) *serverState {
	for len(f.servers) <= i {
		f.servers = append(f.servers, serverState{recentTries: meter.NewCount(f.Terms.ColdSpan, bucketsPerSpan),
			link: f.newLoadEstimate(f.Fleet.TotalLinkKB/float64(f.Fleet.Cells), &f.typicalLinks)})
	}
	return &f.servers[i]
}

// holdsTitle reports whether the playback's title is stored in the server's cell.
func (f *front) holdsTitle(pb *playback, server *serverState) bool {
	cells := f.Fleet.Cells
	return pb.CellCount <= 0 || pb.CellCount >= cells || ((server.entry.Cell-pb.FirstCell)%cells+cells)%cells < pb.CellCount
}

// markDirty marks a playback for the next Settle.
func (f *front) markDirty(pb *playback) {
	if !pb.dirty {
		pb.dirty = true
		f.dirty = append(f.dirty, pb)
	}
}

// streamKB returns the demand of a stream with the given number of members.
func (f *front) streamKB(stream *streamState, members int) float64 {
	if members == 0 {
		return 0
	}
	return f.rateKB(stream.plan, stream.rung) * (1 + f.Ladder.Join*float64(members-1))
}

// attach adds a playback to a stream at the server and rung: a running one if the plan is live, or else a new one.
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

// resizeStream updates the demand on link and uplink for a stream that will have the given number of members.
func (f *front) resizeStream(stream *streamState, members int) {
	kb := f.streamKB(stream, members) - f.streamKB(stream, len(stream.members))
	server := f.server(stream.server)
	server.link.add(f, kb)
	f.uplinks[server.rack].add(f, kb)
}

// detach takes a playback off its stream, and removes the stream with its last member.
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

// finish marks a playback as finished, so that Settle releases its number.
func (f *front) finish(pb *playback) {
	pb.finished = true
	f.markDirty(pb)
}

// addPlayback creates the state of a playback, with its plan's lowest rung.
func (f *front) addPlayback(request session.Request) *playback {
	floor := f.Plans[request.Plan].Floor
	pb := &playback{Request: request, wantServer: -1, mayHaveRunOn: -1, requestedAt: f.now, currentRung: floor, wantRung: floor}
	pb.Top = min(pb.Top, f.Plans[request.Plan].Top)
	pb.startupDeadline = f.now + f.Plans[request.Plan].StartupTarget
	for len(f.playbacks) <= request.Playback {
		f.playbacks = append(f.playbacks, nil)
	}
	f.playbacks[request.Playback] = pb
	f.playbackCount++
	return pb
}

// setStreamRung takes the members of a stream to another rung, upwards only those that can use it. It returns how many
// it took there.
func (f *front) setStreamRung(stream *streamState, rung int) (moved int) {
	up := rung > stream.rung
	for _, pb := range slices.Clone(stream.members) {
		if up && rung > pb.Top {
			continue
		}
		moved++
		f.detach(pb)
		f.attach(pb, stream.server, rung)
		pb.stream.rungChangedAt, pb.stream.openedRemote = f.now, stream.openedRemote
		pb.wantRung = rung
		f.markDirty(pb)
	}
	return moved
}

// reserve counts a setup try at the server and takes a seat for it.
func (f *front) reserve(pb *playback, srv int) {
	server := f.server(srv)
	server.pendingTries++
	pb.holdsSeat = true
	f.seats[[2]int{pb.Plan, pb.Title}]++
}

// release takes a playback off its stream and gives its seat back.
func (f *front) release(pb *playback) {
	pb.active = false
	f.detach(pb)
	if pb.holdsSeat {
		pb.holdsSeat = false
		f.seats[[2]int{pb.Plan, pb.Title}]--
	}
}

// setEntry sets a server's list entry, and moves its demand to the uplink of its rack if the rack has changed.
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

// setKnownRung sets the rung at which a taken-over playback already runs.
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
