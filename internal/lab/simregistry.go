package lab

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.etcd.io/etcd/api/v3/mvccpb"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/front"
	"pierlink/internal/registry"
	standin "pierlink/internal/standin/registry"
	"pierlink/session"
)

// DayRegistry has a day's managers hear of boxes, and of each other, from a registry.
type DayRegistry struct {
	Lease, Timeout Time
	Way            Time // one way between a manager and the registry
}

const registryPort = ":1" // of addresses in the registry; on the virtual network names are addresses

// newsroom is the registry of a day on the virtual network: the stand-in's store, and who hears of it when.
type newsroom struct {
	*DayRegistry
	play      *Play
	store     *standin.Store
	clients   []*ear
	down      bool
	stalled   Time // nothing is heard before
	histories int
}

// ear is a manager's core together with its view of the registry. It is the core.Core of its host.
type ear struct {
	*front.Front
	sim          *newsroom
	name         string
	core         *registry.Core
	tracker      registry.BoxTracker
	managers     registry.ManagerSet
	request      registry.Request
	watching     bool // the watch is open
	sentRevision int64
	lastArrival  Time
	states       map[string]session.ServerState // as told
	detached     bool
}

func newRoom(p *Play, d *DayRegistry) *newsroom {
	r := &newsroom{DayRegistry: d, play: p, store: standin.NewStore(7, "day-0", registry.HistoryKey)}
	p.at(d.Timeout, r.sendProgress)
	return r
}

// listen makes a manager's ear.
func (r *newsroom) listen(f *front.Front, name string) *ear {
	for _, old := range r.clients {
		if old.name == name {
			old.detached = true
		}
	}
	r.clients = slices.DeleteFunc(r.clients, func(e *ear) bool { return e.detached })
	now := r.play.stage.Now()
	e := &ear{Front: f, sim: r, name: name, managers: registry.ManagerSet{OwnName: name, LeaseTime: r.Lease}, states: map[string]session.ServerState{}}
	seed := r.play.Day.Seed<<16 + uint64(len(r.clients)) + uint64(now)
	e.core = registry.New(registry.Config{Seed: seed, GracePeriod: r.play.Day.Grace, Timeout: r.Timeout, MaxBufferedChanges: 1 << 16}, now)
	r.clients = append(r.clients, e)
	f.SetFronts(1, 0) // it knows of none but itself
	return e
}

// BeginTurn begins a turn.
func (e *ear) BeginTurn(now Time) {
	e.Front.BeginTurn(now)
	e.core.SetTime(now)
}

// EndTurn ends a turn.
func (e *ear) EndTurn() Time {
	next := e.core.Process(e.handleRequest, e.applyUpdate)
	return min(next, e.Front.EndTurn())
}

func (e *ear) applyUpdate(n registry.Update) {
	now := e.sim.play.stage.Now()
	e.managers.Apply(n, now)
	e.updateFrontCount()
	named, _ := e.tracker.Apply(n)
	if !n.Snapshot && len(named) == 0 {
		return
	}
	l := front.ListUpdate{Complete: n.Snapshot}
	for _, b := range named {
		x := edge.ServerOf(b)
		x.Address = strings.TrimSuffix(x.Address, registryPort)
		l.Servers = append(l.Servers, x)
	}
	if b := e.sim.play.broken; b != nil && b.List != nil {
		l = b.List(l)
	}
	e.Front.UpdateList(l)
}

// count has the front know how many managers there are.
func (e *ear) updateFrontCount() { e.Front.SetFronts(e.managers.Count(e.sim.play.stage.Now())) }

// told notes what reached the manager, whatever it makes of it.
func (e *ear) recordDelivery(key string, value []byte, deleted bool) {
	name, ok := strings.CutPrefix(key, registry.BoxesPrefix)
	if !ok {
		return
	}
	state, started := session.Ready, Time(0)
	if b, err := registry.DecodeBox(value); deleted || err != nil {
		state = session.Gone
	} else if s := edge.ServerOf(registry.NamedBox{Name: name, Box: b}); true {
		state, started = s.State, s.Started
	}
	if old, known := e.states[name]; !known || old != state {
		e.states[name] = state
		e.sim.play.tape.Told(e.sim.play.stage.Now(), e.name, name, state, started)
	}
}

// in has something happen in a turn of the manager, in the order of the calls, no earlier than the registry
// lets anything through.
func (e *ear) schedule(after Time, call func()) {
	s := e.sim.play.stage
	e.lastArrival = max(e.lastArrival, s.Now()+after, e.sim.stalled)
	s.At(e.lastArrival, func() {
		if !e.detached {
			s.Call(e.name, func(c core.Core) {
				if c == core.Core(e) {
					call()
				}
			})
		}
	})
}

// do carries out what the manager's view wants.
func (e *ear) handleRequest(w registry.Request) {
	r := e.sim
	s := r.play.stage
	e.request, e.watching = w, false
	s.At(max(s.Now()+r.Way, r.stalled), func() {
		if e.detached || e.request.Attempt != w.Attempt {
			return
		}
		end := func(why registry.Failure) { e.schedule(r.Way, func() { e.core.HandleFailure(w.Attempt, why) }) }
		if r.down {
			end(registry.ConnectionLost)
			return
		}
		h, all := r.store.Keys()
		head := registry.Header{Cluster: h.ClusterId, Revision: h.Revision}
		mark := registry.HistoryID("")
		keys := map[string]registry.Entry{}
		for _, kv := range all {
			keys[string(kv.Key)] = registry.Entry{Value: kv.Value, Mod: kv.ModRevision}
			if string(kv.Key) == registry.HistoryKey {
				mark = registry.HistoryID(kv.Value)
			}
		}
		if w.Op == registry.List {
			e.schedule(r.Way, func() {
				if e.request.Attempt == w.Attempt {
					for _, kv := range all {
						e.recordDelivery(string(kv.Key), kv.Value, false)
					}
					for _, name := range sortedKeys(e.states) {
						if _, ok := keys[registry.BoxesPrefix+name]; !ok {
							e.recordDelivery(registry.BoxesPrefix+name, nil, true)
						}
					}
				}
				e.core.HandleList(w.Attempt, head, mark, keys)
			})
			return
		}
		_, old, there := r.store.EventsSince(w.StartRevision)
		switch {
		case mark != w.History:
			end(registry.HistoryChanged)
		case !there:
			end(registry.Compacted)
		default:
			e.watching, e.sentRevision = true, head.Revision
			e.schedule(r.Way, func() { e.core.HandleWatch(w.Attempt, head, nil, false, true) })
			if len(old) > 0 {
				e.sendEvents(head, old)
			}
		}
	})
}

func (e *ear) sendEvents(head registry.Header, events []*mvccpb.Event) {
	try := e.request.Attempt
	var changes []registry.Change
	for _, x := range events {
		changes = append(changes, registry.Change{Key: string(x.Kv.Key), Value: x.Kv.Value, Mod: x.Kv.ModRevision, Deleted: x.Type == mvccpb.Event_DELETE})
	}
	e.schedule(e.sim.Way, func() {
		if e.request.Attempt == try {
			for _, c := range changes {
				e.recordDelivery(c.Key, c.Value, c.Deleted)
			}
		}
		e.core.HandleWatch(try, head, changes, false, false)
	})
}

// put makes one transaction, and brings it to all who watch; nil values delete.
func (r *newsroom) commit(keys map[string][]byte) {
	if r.down { // whoever registers tries again until it is there
		r.play.stage.At(r.play.stage.Now()+r.Timeout, func() { r.commit(keys) })
		return
	}
	r.store.Put(keys)
	for _, e := range r.clients {
		if e.watching && !e.detached {
			h, events, _ := r.store.EventsSince(e.sentRevision + 1)
			e.sentRevision = h.Revision
			e.sendEvents(registry.Header{Cluster: h.ClusterId, Revision: h.Revision}, events)
		}
	}
}

// progress tells all who watch how far the registry has come, and has managers look at who is still there.
func (r *newsroom) sendProgress() {
	for _, e := range r.clients {
		if e.detached {
			continue
		}
		e.schedule(r.Way, e.updateFrontCount)
		if e.watching && !r.down {
			h, _ := r.store.Keys()
			e.sendEvents(registry.Header{Cluster: h.ClusterId, Revision: h.Revision}, nil)
		}
	}
	r.play.stage.At(r.play.stage.Now()+r.Timeout, r.sendProgress)
}

// box brings a box's line into the registry as it stands.
func (r *newsroom) box(b *boxState) {
	key := registry.BoxesPrefix + b.name
	if b.state == session.Gone {
		r.commit(map[string][]byte{key: nil})
		return
	}
	r.commit(map[string][]byte{key: r.boxValue(b)})
}

func (r *newsroom) boxValue(b *boxState) []byte {
	v := registry.Box{Address: b.name + registryPort, Zone: b.zone, Cell: b.cell, Kind: "std", Weight: 1, State: "ready"}
	if b.state == session.Draining {
		v.State = "draining"
	}
	if b.started != 0 {
		v.Started = fromMicros(b.started)
	}
	return v.Encode()
}

// manager has one register, or its key go when its lease has run out.
func (r *newsroom) manager(f *frontState) {
	starts := f.starts
	if key := registry.ManagersPrefix + f.name; f.up {
		r.commit(map[string][]byte{key: []byte(f.name)})
	} else {
		r.play.stage.At(r.play.stage.Now()+r.Lease, func() {
			if !f.up && f.starts == starts {
				r.commit(map[string][]byte{key: nil})
			}
		})
	}
}

// cut breaks all watches; nothing is answered for a while.
func (r *newsroom) cut(span Time) {
	r.down = true
	for _, e := range r.clients {
		if e.watching && !e.detached {
			e.watching = false
			try := e.request.Attempt
			e.schedule(r.Way, func() { e.core.HandleFailure(try, registry.ConnectionLost) })
		}
	}
	r.play.stage.At(r.play.stage.Now()+span, func() { r.down = false })
}

// anew begins another history, empty but for what registers again.
func (r *newsroom) anew() {
	r.cut(r.Timeout / 2)
	r.histories++
	h, _ := r.store.Keys()
	mark := "day-" + string(rune('0'+r.histories%10)) + r.play.Day.Name
	r.store.Reset(7, mark, registry.HistoryKey, max(1, h.Revision+int64(r.play.rng.IntN(60))-30))
	r.reregisterAll()
}

// lose has all leases run out in one moment, as after a long stand-still of the registry.
func (r *newsroom) lose() {
	_, all := r.store.Keys()
	keys := map[string][]byte{}
	for _, kv := range all {
		if string(kv.Key) != registry.HistoryKey {
			keys[string(kv.Key)] = nil
		}
	}
	r.commit(keys)
	r.reregisterAll()
}

// again has all that live register once more, each after its own while.
func (r *newsroom) reregisterAll() {
	for _, b := range r.play.boxes {
		r.play.stage.At(r.play.stage.Now()+Time(r.play.rng.Float64()*float64(r.Timeout)), func() {
			if b.state != session.Gone {
				r.box(b)
			}
		})
	}
	for _, f := range r.play.fronts {
		r.play.stage.At(r.play.stage.Now()+Time(r.play.rng.Float64()*float64(r.Timeout)), func() {
			if f.up {
				r.manager(f)
			}
		})
	}
}

func fromMicros(t Time) time.Time { return time.UnixMicro(t).UTC() }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
