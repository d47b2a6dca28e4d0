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

const port = ":1" // of addresses in the registry; on the virtual network names are addresses

// newsroom is the registry of a day on the virtual network: the stand-in's store, and who hears of it when.
type newsroom struct {
	*DayRegistry
	p       *Play
	store   *standin.Store
	ears    []*ear
	down    bool
	stalled Time // nothing is heard before
	epochs  int
}

// ear is a manager's core together with its view of the registry. It is the core.Core of its host.
type ear struct {
	*front.Front
	room    *newsroom
	name    string
	core    *registry.Core
	boxes   registry.BoxTracker
	fleet   registry.ManagerSet
	want    registry.Request
	open    bool // the watch is open
	sent    int64
	arrives Time
	states  map[string]session.ServerState // as told
	gone    bool
}

func newRoom(p *Play, d *DayRegistry) *newsroom {
	r := &newsroom{DayRegistry: d, p: p, store: standin.NewStore(7, "day-0", registry.HistoryKey)}
	p.at(d.Timeout, r.progress)
	return r
}

// listen makes a manager's ear.
func (r *newsroom) listen(f *front.Front, name string) *ear {
	for _, old := range r.ears {
		if old.name == name {
			old.gone = true
		}
	}
	r.ears = slices.DeleteFunc(r.ears, func(e *ear) bool { return e.gone })
	now := r.p.stage.Now()
	e := &ear{Front: f, room: r, name: name, fleet: registry.ManagerSet{OwnName: name, LeaseTime: r.Lease}, states: map[string]session.ServerState{}}
	seed := r.p.Day.Seed<<16 + uint64(len(r.ears)) + uint64(now)
	e.core = registry.New(registry.Config{Seed: seed, GracePeriod: r.p.Day.Grace, Timeout: r.Timeout, MaxBufferedChanges: 1 << 16}, now)
	r.ears = append(r.ears, e)
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
	next := e.core.Process(e.do, e.take)
	return min(next, e.Front.EndTurn())
}

func (e *ear) take(n registry.Update) {
	now := e.room.p.stage.Now()
	e.fleet.Apply(n, now)
	e.count()
	named, _ := e.boxes.Apply(n)
	if !n.Snapshot && len(named) == 0 {
		return
	}
	l := front.ListUpdate{Complete: n.Snapshot}
	for _, b := range named {
		x := edge.ServerOf(b)
		x.Address = strings.TrimSuffix(x.Address, port)
		l.Servers = append(l.Servers, x)
	}
	if b := e.room.p.broken; b != nil && b.List != nil {
		l = b.List(l)
	}
	e.Front.UpdateList(l)
}

// count has the front know how many managers there are.
func (e *ear) count() { e.Front.SetFronts(e.fleet.Count(e.room.p.stage.Now())) }

// told notes what reached the manager, whatever it makes of it.
func (e *ear) told(key string, value []byte, deleted bool) {
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
		e.room.p.tape.Told(e.room.p.stage.Now(), e.name, name, state, started)
	}
}

// in has something happen in a turn of the manager, in the order of the calls, no earlier than the registry
// lets anything through.
func (e *ear) in(after Time, call func()) {
	s := e.room.p.stage
	e.arrives = max(e.arrives, s.Now()+after, e.room.stalled)
	s.At(e.arrives, func() {
		if !e.gone {
			s.Call(e.name, func(c core.Core) {
				if c == core.Core(e) {
					call()
				}
			})
		}
	})
}

// do carries out what the manager's view wants.
func (e *ear) do(w registry.Request) {
	r := e.room
	s := r.p.stage
	e.want, e.open = w, false
	s.At(max(s.Now()+r.Way, r.stalled), func() {
		if e.gone || e.want.Attempt != w.Attempt {
			return
		}
		end := func(why registry.Failure) { e.in(r.Way, func() { e.core.HandleFailure(w.Attempt, why) }) }
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
			e.in(r.Way, func() {
				if e.want.Attempt == w.Attempt {
					for _, kv := range all {
						e.told(string(kv.Key), kv.Value, false)
					}
					for _, name := range sortedKeys(e.states) {
						if _, ok := keys[registry.BoxesPrefix+name]; !ok {
							e.told(registry.BoxesPrefix+name, nil, true)
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
			e.open, e.sent = true, head.Revision
			e.in(r.Way, func() { e.core.HandleWatch(w.Attempt, head, nil, false, true) })
			if len(old) > 0 {
				e.send(head, old)
			}
		}
	})
}

func (e *ear) send(head registry.Header, events []*mvccpb.Event) {
	try := e.want.Attempt
	var changes []registry.Change
	for _, x := range events {
		changes = append(changes, registry.Change{Key: string(x.Kv.Key), Value: x.Kv.Value, Mod: x.Kv.ModRevision, Deleted: x.Type == mvccpb.Event_DELETE})
	}
	e.in(e.room.Way, func() {
		if e.want.Attempt == try {
			for _, c := range changes {
				e.told(c.Key, c.Value, c.Deleted)
			}
		}
		e.core.HandleWatch(try, head, changes, false, false)
	})
}

// put makes one transaction, and brings it to all who watch; nil values delete.
func (r *newsroom) put(keys map[string][]byte) {
	if r.down { // whoever registers tries again until it is there
		r.p.stage.At(r.p.stage.Now()+r.Timeout, func() { r.put(keys) })
		return
	}
	r.store.Put(keys)
	for _, e := range r.ears {
		if e.open && !e.gone {
			h, events, _ := r.store.EventsSince(e.sent + 1)
			e.sent = h.Revision
			e.send(registry.Header{Cluster: h.ClusterId, Revision: h.Revision}, events)
		}
	}
}

// progress tells all who watch how far the registry has come, and has managers look at who is still there.
func (r *newsroom) progress() {
	for _, e := range r.ears {
		if e.gone {
			continue
		}
		e.in(r.Way, e.count)
		if e.open && !r.down {
			h, _ := r.store.Keys()
			e.send(registry.Header{Cluster: h.ClusterId, Revision: h.Revision}, nil)
		}
	}
	r.p.stage.At(r.p.stage.Now()+r.Timeout, r.progress)
}

// box brings a box's line into the registry as it stands.
func (r *newsroom) box(b *boxState) {
	key := registry.BoxesPrefix + b.name
	if b.state == session.Gone {
		r.put(map[string][]byte{key: nil})
		return
	}
	r.put(map[string][]byte{key: r.value(b)})
}

func (r *newsroom) value(b *boxState) []byte {
	v := registry.Box{Address: b.name + port, Zone: b.zone, Cell: b.cell, Kind: "std", Weight: 1, State: "ready"}
	if b.state == session.Draining {
		v.State = "draining"
	}
	if b.started != 0 {
		v.Started = micro(b.started)
	}
	return v.Encode()
}

// manager has one register, or its key go when its lease has run out.
func (r *newsroom) manager(f *frontState) {
	starts := f.starts
	if key := registry.ManagersPrefix + f.name; f.up {
		r.put(map[string][]byte{key: []byte(f.name)})
	} else {
		r.p.stage.At(r.p.stage.Now()+r.Lease, func() {
			if !f.up && f.starts == starts {
				r.put(map[string][]byte{key: nil})
			}
		})
	}
}

// cut breaks all watches; nothing is answered for a while.
func (r *newsroom) cut(span Time) {
	r.down = true
	for _, e := range r.ears {
		if e.open && !e.gone {
			e.open = false
			try := e.want.Attempt
			e.in(r.Way, func() { e.core.HandleFailure(try, registry.ConnectionLost) })
		}
	}
	r.p.stage.At(r.p.stage.Now()+span, func() { r.down = false })
}

// anew begins another history, empty but for what registers again.
func (r *newsroom) anew() {
	r.cut(r.Timeout / 2)
	r.epochs++
	h, _ := r.store.Keys()
	mark := "day-" + string(rune('0'+r.epochs%10)) + r.p.Day.Name
	r.store.Reset(7, mark, registry.HistoryKey, max(1, h.Revision+int64(r.p.rng.IntN(60))-30))
	r.again()
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
	r.put(keys)
	r.again()
}

// again has all that live register once more, each after its own while.
func (r *newsroom) again() {
	for _, b := range r.p.boxes {
		r.p.stage.At(r.p.stage.Now()+Time(r.p.rng.Float64()*float64(r.Timeout)), func() {
			if b.state != session.Gone {
				r.box(b)
			}
		})
	}
	for _, f := range r.p.fronts {
		r.p.stage.At(r.p.stage.Now()+Time(r.p.rng.Float64()*float64(r.Timeout)), func() {
			if f.up {
				r.manager(f)
			}
		})
	}
}

func micro(t Time) time.Time { return time.UnixMicro(t).UTC() }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
