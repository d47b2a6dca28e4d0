package policy

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pierlink/session"
)

// turnTimeout is far above the duration of any turn of these tests.
const turnTimeout = 5 * time.Second

// fataler is the part of testing.T and rapid.T that endTurn uses.
type fataler interface{ Fatalf(format string, a ...any) }

// endTurn runs a part of a turn and fails the test if it does not end.
func endTurn(t fataler, call func()) {
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		call()
	}()
	select {
	case problem := <-ended:
		if problem != nil {
			t.Fatalf("the turn panics: %v", problem)
		}
	case <-time.After(turnTimeout):
		t.Fatalf("the turn has not ended after %v", turnTimeout)
	}
}

// runTakenOver lets a taken-over playback with the given highest rung run at a rung on a server with room for a step up,
// until its module has had several occasions to step.
func runTakenOver(t *testing.T, floor, top, rung int) {
	site := scenarioSite()
	site.Plans[1].Floor = floor
	host := &testHost{}
	manager := New(&site, 1, 0)
	endTurn(t, func() {
		manager.BeginTurn(0)
		manager.Listed(session.List{Complete: true, Entries: []session.Entry{{Server: 0, State: session.Ready, Weight: 1}}})
		manager.Opened(session.Request{Plan: 1, Top: top, AbandonAt: 4 * session.Second}, 0)
		manager.Noted(session.Note{Kind: session.CurrentRung, Value: float64(rung)})
		manager.Settle(host)
	})
	for now := session.Second; now < 20*session.Second; now += session.Second {
		endTurn(t, func() {
			manager.BeginTurn(now)
			manager.Noted(session.Note{Kind: session.LinkDemand, Value: 0.1})
			manager.Woken(0)
			manager.Settle(host)
		})
	}
}

// Guards against the hang of a session manager whose taken-over playback names a highest rung below its plan's lowest:
// the same stream was chosen for a step up without end.
func TestTurnEndsWithTopBelowLowestRung(t *testing.T) { runTakenOver(t, 1, 0, 1) }

// Guards against the same hang, and against a rung beyond the ladder, when a server reports a playback at a rung above the
// viewer's highest.
func TestTurnEndsWithRungAboveTop(t *testing.T) {
	runTakenOver(t, 0, 1, 2)
	runTakenOver(t, 0, 1, 3)
}

// A shortage steps a stream down also if its rung is far above the highest that its viewer can use.
func TestShortageStepsDownFromAboveTop(t *testing.T) {
	site := scenarioSite()
	f := newFront(&site, 1, 0)
	f.server(0)
	pb := f.addPlayback(session.Request{Plan: 1, Top: 0})
	f.attach(pb, 0, 3)
	if moved := f.setStreamRung(pb.stream, 2); moved != 1 || pb.wantRung != 2 {
		t.Errorf("stepped %d playbacks down, and the rung is %d", moved, pb.wantRung)
	}
}

// checkState compares what the front has summed up with the playbacks and streams behind it.
func (f *front) checkState(t fataler) {
	linkKB := 0.0
	for i := range f.servers {
		ownKB := 0.0
		for _, stream := range f.servers[i].streams {
			ownKB += f.streamKB(stream, len(stream.members))
			for _, pb := range stream.members {
				if pb.stream != stream || stream.server != i {
					t.Fatalf("server %d: playback %d is not in the stream that lists it", i, pb.Playback)
				}
			}
			if len(stream.members) == 0 {
				t.Fatalf("server %d: stream without a member", i)
			}
		}
		if math.Abs(ownKB-f.servers[i].link.ownKB) > 1e-3 || f.servers[i].pendingTries < 0 {
			t.Fatalf("server %d: demand %g, of its streams %g; %d pending tries", i, f.servers[i].link.ownKB, ownKB, f.servers[i].pendingTries)
		}
		linkKB += ownKB
		if fill := f.servers[i].link.fill(f); math.IsNaN(fill) || math.IsInf(fill, 0) {
			t.Fatalf("server %d: fill %g", i, fill)
		}
	}
	if math.Abs(linkKB-f.typicalLinks.ownKB) > 1e-3 {
		t.Fatalf("demand %g, of all streams %g", f.typicalLinks.ownKB, linkKB)
	}
	taken := 0
	for _, pb := range f.playbacks {
		if pb != nil && pb.holdsSeat {
			taken++
		}
	}
	for _, seats := range f.seats {
		taken -= seats
	}
	if taken != 0 {
		t.Fatalf("playbacks hold %d seats more than are counted", taken)
	}
}

// eventDriver drives a module with any events that a host may report, and keeps what a host has to know for that.
type eventDriver struct {
	manager    session.Manager
	now        Time
	servers    int
	playing    map[int]bool // playbacks that the module knows: whether they play
	try        map[int]int  // number of the latest try
	tryServer  map[int]int
	pending    map[int]bool // a try is out
	freeNumber []int
	nextNumber int
}

func (d *eventDriver) SetRung(int, int) {}
func (d *eventDriver) Try(pb, server int, _ Time) {
	if _, repeated := d.try[pb]; repeated {
		d.try[pb]++
	} else {
		d.try[pb] = 0
	}
	d.tryServer[pb], d.pending[pb] = server, true
}
func (d *eventDriver) Reject(int, Time)  {}
func (d *eventDriver) Abort(int)         {}
func (d *eventDriver) Move(int)          {}
func (d *eventDriver) Probe(int)         {}
func (d *eventDriver) Wake(Time, uint64) {}
func (d *eventDriver) Watch()            {}
func (d *eventDriver) Forget(pb int) {
	for _, table := range []map[int]int{d.try, d.tryServer} {
		delete(table, pb)
	}
	delete(d.playing, pb)
	delete(d.pending, pb)
	d.freeNumber = append(d.freeNumber, pb)
}

func (d *eventDriver) newNumber() int {
	if n := len(d.freeNumber); n > 0 {
		number := d.freeNumber[n-1]
		d.freeNumber = d.freeNumber[:n-1]
		return number
	}
	d.nextNumber++
	return d.nextNumber - 1
}

// drawEvent draws one event and returns its report to the module.
func (d *eventDriver) drawEvent(t *rapid.T) func() {
	server := rapid.IntRange(0, d.servers-1).Draw(t, "server")
	load := session.Load{Link: rapid.Float64Range(0, 1e6).Draw(t, "link"), HasLink: rapid.Bool().Draw(t, "hasLink"),
		Uplink: rapid.Float64Range(0, 10).Draw(t, "uplink"), HasUplink: rapid.Bool().Draw(t, "hasUplink")}
	outcome := session.Outcome(rapid.IntRange(int(session.OK), int(session.NotSent)).Draw(t, "outcome"))
	known := make([]int, 0, len(d.playing))
	for pb := range d.nextNumber {
		if _, ok := d.playing[pb]; ok {
			known = append(known, pb)
		}
	}
	pb := -1
	if len(known) > 0 {
		pb = rapid.SampledFrom(known).Draw(t, "playback")
	}
	switch kind := rapid.IntRange(0, 7).Draw(t, "event"); {
	case kind <= 1:
		request := session.Request{Playback: d.newNumber(), Plan: rapid.IntRange(0, 1).Draw(t, "plan"),
			Title: rapid.IntRange(0, 2).Draw(t, "title"), Top: rapid.IntRange(0, 3).Draw(t, "top"),
			AbandonAt: d.now + rapid.Int64Range(-session.Second, 4*session.Second).Draw(t, "abandon"),
			FirstCell: rapid.IntRange(0, 3).Draw(t, "cell"), CellCount: rapid.IntRange(0, 4).Draw(t, "cells")}
		request.TitleID = uint64(request.Title)
		d.playing[request.Playback] = kind == 1
		if kind == 0 {
			return func() { d.manager.Requested(request) }
		}
		d.try[request.Playback], d.tryServer[request.Playback] = 0, server
		return func() { d.manager.Opened(request, server) }
	case kind == 2:
		state := session.ServerState(rapid.IntRange(int(session.Gone), int(session.Draining)).Draw(t, "state"))
		list := session.List{Complete: rapid.Bool().Draw(t, "complete"), Entries: []session.Entry{{Server: server, Cell: server,
			State: state, Weight: 1, Started: rapid.Int64Range(0, d.now).Draw(t, "started")}}}
		return func() { d.manager.Listed(list) }
	case kind == 3:
		return func() { d.manager.Probed(server, outcome, load) }
	case pb < 0:
	case kind == 4:
		note := session.Note{Playback: pb, Server: server, Kind: session.CurrentRung, Value: float64(rapid.IntRange(0, 5).Draw(t, "rung"))}
		return func() { d.manager.Noted(note) }
	case kind == 5:
		notes := []session.NoteKind{session.DeliveredShare, session.LinkDemand, session.UplinkDemand}
		note := session.Note{Playback: pb, Server: server, Kind: rapid.SampledFrom(notes).Draw(t, "note"), Value: load.Link}
		return func() { d.manager.Noted(note) }
	case kind == 6 && d.pending[pb] && rapid.Bool().Draw(t, "succeeds"):
		d.pending[pb], d.playing[pb] = false, true
		return func() { d.manager.Playing(pb, d.try[pb], d.tryServer[pb], 1000) }
	case kind == 6 && (d.pending[pb] || d.playing[pb]):
		d.pending[pb] = false
		result := session.Result{Playback: pb, Try: d.try[pb], Server: d.tryServer[pb], Outcome: outcome, Took: 1000,
			Final: d.playing[pb], Load: load}
		return func() { d.manager.Ended(result) }
	case kind == 7 && !d.playing[pb]:
		return func() { d.manager.Left(pb) }
	}
	return func() {}
}

// Whatever events a host reports within the ranges of their types, each turn ends, without a panic and with a consistent
// state.
func TestEveryTurnEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := scenarioSite()
		site.Plans[1].Floor = rapid.IntRange(0, 2).Draw(t, "floor")
		site.Plans[1].Seats = rapid.IntRange(0, 2).Draw(t, "seats")
		site.Fleet.LoadInAnswers = rapid.Bool().Draw(t, "loadInAnswers")
		site.Fleet.UplinkUnreported = rapid.Bool().Draw(t, "uplinkUnreported")
		d := &eventDriver{manager: New(&site, 1, session.Second), now: session.Second, servers: 4, playing: map[int]bool{}, try: map[int]int{},
			tryServer: map[int]int{}, pending: map[int]bool{}}
		f := d.manager.(*front)
		for i := range d.servers {
			f.server(i)
		}
		for range rapid.IntRange(1, 60).Draw(t, "turns") {
			d.now += rapid.Int64Range(0, 2*session.Second).Draw(t, "pause")
			endTurn(t, func() { d.manager.BeginTurn(d.now) })
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				endTurn(t, d.drawEvent(t))
			}
			endTurn(t, func() {
				d.manager.Woken(0)
				d.manager.Settle(d)
			})
			f.checkState(t)
		}
	})
}
