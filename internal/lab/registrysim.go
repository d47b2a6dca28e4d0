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

// DayRegistry configures a registry for a day, from which its managers learn about boxes and about each other.
type DayRegistry struct {
	Lease, Timeout Time
	Latency        Time // one-way latency between a manager and the registry
}

const registryPort = ":1" // suffix of addresses in the registry; on the virtual network a host's name is its address

// simRegistry simulates the registry of a day on the virtual network. It uses the stand-in's store, and schedules what the
// managers receive from it.
type simRegistry struct {
	*DayRegistry
	play         *DayRun
	store        *standin.Store
	clients      []*registryClient
	down         bool
	stalledUntil Time // no delivery before this time
	histories    int  // histories begun after the first one
}

// registryClient is a manager's core together with its registry client. It is the core.Core of its host.
type registryClient struct {
	*front.Front
	sim          *simRegistry
	name         string
	core         *registry.Core
	tracker      registry.BoxTracker
	managers     registry.ManagerSet
	request      registry.Request               // the current one
	watching     bool                           // the watch is open
	sentRevision int64                          // last revision sent over the watch
	lastArrival  Time                           // of scheduled deliveries, to keep their order
	states       map[string]session.ServerState // of boxes, as delivered to the manager
	detached     bool                           // replaced by a later start of the manager
}

func newSimRegistry(play *DayRun, config *DayRegistry) *simRegistry {
	sim := &simRegistry{DayRegistry: config, play: play, store: standin.NewStore(7, "day-0", registry.HistoryKey)}
	play.schedule(config.Timeout, sim.sendProgress)
	return sim
}

// Creates the registry client of a manager that starts, and detaches an earlier one of the same name.
func (r *simRegistry) attach(manager *front.Front, name string) *registryClient {
	for _, previous := range r.clients {
		if previous.name == name {
			previous.detached = true
		}
	}
	r.clients = slices.DeleteFunc(r.clients, func(client *registryClient) bool { return client.detached })
	now := r.play.env.Now()
	client := &registryClient{Front: manager, sim: r, name: name, managers: registry.ManagerSet{OwnName: name, LeaseTime: r.Lease}, states: map[string]session.ServerState{}}
	seed := r.play.Day.Seed<<16 + uint64(len(r.clients)) + uint64(now)
	client.core = registry.New(registry.Config{Seed: seed, GracePeriod: r.play.Day.DrainGrace, Timeout: r.Timeout, MaxBufferedChanges: 1 << 16}, now)
	r.clients = append(r.clients, client)
	manager.SetFronts(1, 0) // it knows of no other manager yet
	return client
}

// BeginTurn begins a turn.
func (e *registryClient) BeginTurn(now Time) {
	e.Front.BeginTurn(now)
	e.core.SetTime(now)
}

// EndTurn ends a turn.
func (e *registryClient) EndTurn() Time {
	next := e.core.Process(e.handleRequest, e.applyUpdate)
	return min(next, e.Front.EndTurn())
}

// applyUpdate passes an update of the registry view on to the front.
func (e *registryClient) applyUpdate(update registry.Update) {
	now := e.sim.play.env.Now()
	e.managers.Apply(update, now)
	e.updateFrontCount()
	changedBoxes, _ := e.tracker.Apply(update)
	if !update.Snapshot && len(changedBoxes) == 0 {
		return
	}
	listUpdate := front.ListUpdate{Complete: update.Snapshot}
	for _, box := range changedBoxes {
		server := edge.ServerOf(box)
		server.Address = strings.TrimSuffix(server.Address, registryPort)
		listUpdate.Servers = append(listUpdate.Servers, server)
	}
	if broken := e.sim.play.faulty; broken != nil && broken.ChangeList != nil {
		listUpdate = broken.ChangeList(listUpdate)
	}
	e.Front.UpdateList(listUpdate)
}

// updateFrontCount sets the number of live managers at the front.
func (e *registryClient) updateFrontCount() {
	e.Front.SetFronts(e.managers.Count(e.sim.play.env.Now()))
}

// recordDelivery records on the tape which state of a box was delivered to the manager, independent of how the manager
// handles it.
func (e *registryClient) recordDelivery(key string, value []byte, deleted bool) {
	name, ok := strings.CutPrefix(key, registry.BoxesPrefix)
	if !ok {
		return
	}
	state, started := session.Ready, Time(0)
	if box, err := registry.DecodeBox(value); deleted || err != nil {
		state = session.Gone
	} else if server := edge.ServerOf(registry.NamedBox{Name: name, Box: box}); true {
		state, started = server.State, server.Started
	}
	if previous, known := e.states[name]; !known || previous != state {
		e.states[name] = state
		e.sim.play.recording.RecordState(e.sim.play.env.Now(), e.name, name, state, started)
	}
}

// schedule runs a function in a turn of the manager after a delay. Functions run in the order of the calls, and not
// before a stall of the registry has ended.
func (e *registryClient) schedule(delay Time, call func()) {
	env := e.sim.play.env
	e.lastArrival = max(e.lastArrival, env.Now()+delay, e.sim.stalledUntil)
	env.At(e.lastArrival, func() {
		if !e.detached {
			env.Call(e.name, func(hostCore core.Core) {
				if hostCore == core.Core(e) {
					call()
				}
			})
		}
	})
}

// handleRequest carries out a list or watch request of the manager's registry view.
func (e *registryClient) handleRequest(request registry.Request) {
	sim := e.sim
	env := sim.play.env
	e.request, e.watching = request, false
	env.At(max(env.Now()+sim.Latency, sim.stalledUntil), func() {
		if e.detached || e.request.Attempt != request.Attempt {
			return
		}
		fail := func(reason registry.Failure) {
			e.schedule(sim.Latency, func() { e.core.HandleFailure(request.Attempt, reason) })
		}
		if sim.down {
			fail(registry.ConnectionLost)
			return
		}
		storeHeader, stored := sim.store.Keys()
		header := registry.Header{Cluster: storeHeader.ClusterId, Revision: storeHeader.Revision}
		history := registry.HistoryID("")
		entries := map[string]registry.Entry{}
		for _, kv := range stored {
			entries[string(kv.Key)] = registry.Entry{Value: kv.Value, Mod: kv.ModRevision}
			if string(kv.Key) == registry.HistoryKey {
				history = registry.HistoryID(kv.Value)
			}
		}
		if request.Op == registry.List {
			e.schedule(sim.Latency, func() {
				if e.request.Attempt == request.Attempt {
					for _, kv := range stored {
						e.recordDelivery(string(kv.Key), kv.Value, false)
					}
					for _, name := range sortedKeys(e.states) {
						if _, ok := entries[registry.BoxesPrefix+name]; !ok {
							e.recordDelivery(registry.BoxesPrefix+name, nil, true)
						}
					}
				}
				e.core.HandleList(request.Attempt, header, history, entries)
			})
			return
		}
		_, missedEvents, retained := sim.store.EventsSince(request.StartRevision)
		switch {
		case history != request.History:
			fail(registry.HistoryChanged)
		case !retained:
			fail(registry.Compacted)
		default:
			e.watching, e.sentRevision = true, header.Revision
			e.schedule(sim.Latency, func() { e.core.HandleWatch(request.Attempt, header, nil, false, true) })
			if len(missedEvents) > 0 {
				e.sendEvents(header, missedEvents)
			}
		}
	})
}

// sendEvents delivers events over the watch.
func (e *registryClient) sendEvents(header registry.Header, events []*mvccpb.Event) {
	attempt := e.request.Attempt
	var changes []registry.Change
	for _, event := range events {
		changes = append(changes, registry.Change{Key: string(event.Kv.Key), Value: event.Kv.Value, Mod: event.Kv.ModRevision, Deleted: event.Type == mvccpb.Event_DELETE})
	}
	e.schedule(e.sim.Latency, func() {
		if e.request.Attempt == attempt {
			for _, change := range changes {
				e.recordDelivery(change.Key, change.Value, change.Deleted)
			}
		}
		e.core.HandleWatch(attempt, header, changes, false, false)
	})
}

// commit applies a transaction and delivers its events to all open watches. A nil value deletes the key.
func (r *simRegistry) commit(keys map[string][]byte) {
	if r.down { // the registering process retries until it succeeds
		r.play.env.At(r.play.env.Now()+r.Timeout, func() { r.commit(keys) })
		return
	}
	r.store.Put(keys)
	for _, client := range r.clients {
		if client.watching && !client.detached {
			storeHeader, events, _ := r.store.EventsSince(client.sentRevision + 1)
			client.sentRevision = storeHeader.Revision
			client.sendEvents(registry.Header{Cluster: storeHeader.ClusterId, Revision: storeHeader.Revision}, events)
		}
	}
}

// sendProgress sends a progress notification over all open watches, and has the managers count live managers again.
func (r *simRegistry) sendProgress() {
	for _, client := range r.clients {
		if client.detached {
			continue
		}
		client.schedule(r.Latency, client.updateFrontCount)
		if client.watching && !r.down {
			storeHeader, _ := r.store.Keys()
			client.sendEvents(registry.Header{Cluster: storeHeader.ClusterId, Revision: storeHeader.Revision}, nil)
		}
	}
	r.play.env.At(r.play.env.Now()+r.Timeout, r.sendProgress)
}

// Stores the current state of a box in the registry, or deletes its key if the box has gone.
func (r *simRegistry) putBox(box *boxState) {
	key := registry.BoxesPrefix + box.name
	if box.state == session.Gone {
		r.commit(map[string][]byte{key: nil})
		return
	}
	r.commit(map[string][]byte{key: r.boxValue(box)})
}

func (r *simRegistry) boxValue(box *boxState) []byte {
	record := registry.Box{Address: box.name + registryPort, Zone: box.zone, Cell: box.cell, Kind: "std", Weight: 1, State: "ready"}
	if box.state == session.Draining {
		record.State = "draining"
	}
	if box.started != 0 {
		record.Started = fromMicros(box.started)
	}
	return record.Encode()
}

// Stores the key of a running manager, or deletes that of a stopped one once its lease has expired.
func (r *simRegistry) putManager(manager *frontState) {
	starts := manager.startCount
	if key := registry.ManagersPrefix + manager.name; manager.up {
		r.commit(map[string][]byte{key: []byte(manager.name)})
	} else {
		r.play.env.At(r.play.env.Now()+r.Lease, func() {
			if !manager.up && manager.startCount == starts {
				r.commit(map[string][]byte{key: nil})
			}
		})
	}
}

// Breaks all watches and makes the registry unreachable for a time.
func (r *simRegistry) disconnect(length Time) {
	r.down = true
	for _, client := range r.clients {
		if client.watching && !client.detached {
			client.watching = false
			attempt := client.request.Attempt
			client.schedule(r.Latency, func() { client.core.HandleFailure(attempt, registry.ConnectionLost) })
		}
	}
	r.play.env.At(r.play.env.Now()+length, func() { r.down = false })
}

// Begins a new history of the registry. It is empty except for what is registered again.
func (r *simRegistry) startNewHistory() {
	r.disconnect(r.Timeout / 2)
	r.histories++
	storeHeader, _ := r.store.Keys()
	historyID := "day-" + string(rune('0'+r.histories%10)) + r.play.Day.Name
	r.store.Reset(7, historyID, registry.HistoryKey, max(1, storeHeader.Revision+int64(r.play.rng.IntN(60))-30))
	r.reregisterAll()
}

// Expires all leases at once, as after a long stall of the registry.
func (r *simRegistry) expireLeases() {
	_, stored := r.store.Keys()
	keys := map[string][]byte{}
	for _, kv := range stored {
		if string(kv.Key) != registry.HistoryKey {
			keys[string(kv.Key)] = nil
		}
	}
	r.commit(keys)
	r.reregisterAll()
}

// reregisterAll makes all live boxes and managers register again, each after a random delay.
func (r *simRegistry) reregisterAll() {
	for _, box := range r.play.boxes {
		r.play.env.At(r.play.env.Now()+Time(r.play.rng.Float64()*float64(r.Timeout)), func() {
			if box.state != session.Gone {
				r.putBox(box)
			}
		})
	}
	for _, manager := range r.play.fronts {
		r.play.env.At(r.play.env.Now()+Time(r.play.rng.Float64()*float64(r.Timeout)), func() {
			if manager.up {
				r.putManager(manager)
			}
		})
	}
}

func fromMicros(micros Time) time.Time { return time.UnixMicro(micros).UTC() }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
