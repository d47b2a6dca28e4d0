package registry

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// model is a model of a registry: a history of transactions that may be compacted or replaced by a new history.
type model struct {
	cluster      uint64
	historyID    HistoryID
	revision     int64
	compacted    int64
	state        map[string]Entry
	history      map[HistoryID]map[int64]map[string]Entry
	log          []Change
	historyCount int
}

func newModel() *model {
	registry := &model{cluster: 7, history: map[HistoryID]map[int64]map[string]Entry{}}
	registry.startHistory(1, false)
	return registry
}

// startHistory replaces the history, possibly under the same cluster id.
func (m *model) startHistory(revision int64, newCluster bool) {
	m.historyCount++
	m.historyID, m.revision, m.compacted = HistoryID(fmt.Sprint("history ", m.historyCount)), revision, revision
	if newCluster {
		m.cluster++
	}
	m.state, m.log = map[string]Entry{}, nil
	m.history[m.historyID] = map[int64]map[string]Entry{revision: {}}
}

// put commits changes in one transaction.
func (m *model) put(changes []Change) {
	m.revision++
	for _, change := range changes {
		change.Mod = m.revision
		if change.Deleted {
			delete(m.state, change.Key)
		} else {
			m.state[change.Key] = Entry{change.Value, change.Mod}
		}
		m.log = append(m.log, change)
	}
	m.history[m.historyID][m.revision] = maps.Clone(m.state)
}

func same(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, func(x, y Entry) bool { return x.Mod == y.Mod && string(x.Value) == string(y.Value) })
}

// reader plays the client between core and model, with faults drawn at random.
type reader struct {
	model            *model
	core             *Core
	now              Time
	request          Request
	open             bool      // the watch is open
	watchHistory     HistoryID // history in which the watch was opened
	sentRevision     int64
	view             map[string]Entry // built from the updates alone
	revision         int64
	history          HistoryID
	violation        string
	lists            int
	revisionShift    int64 // added to the start revision of a watch, to simulate a faulty core
	skipHistoryCheck bool  // the client does not compare history identifiers, to simulate a faulty one
}

func (r *reader) process() {
	r.core.SetTime(r.now)
	r.core.Process(func(request Request) {
		r.request, r.open = request, false
		r.request.StartRevision += r.revisionShift
	}, func(update Update) {
		revision, history := r.core.Revision()
		if !update.Snapshot && r.history == history && update.Revision < r.revision {
			r.violation = "the revision decreased within a history"
		}
		if update.Snapshot {
			r.view = map[string]Entry{}
		}
		for _, change := range update.Changes {
			if old, ok := r.view[change.Key]; ok && !update.Snapshot && old.Mod >= change.Mod {
				r.violation = "a change was delivered twice"
			}
			if change.Deleted {
				delete(r.view, change.Key)
			} else {
				r.view[change.Key] = Entry{change.Value, change.Mod}
			}
		}
		r.revision, r.history = update.Revision, history
		if expected, ok := r.model.history[history][update.Revision]; !ok || !same(expected, r.view) {
			r.violation = fmt.Sprintf("update to a state that the registry never had: revision %d of %s (core at %d)", update.Revision, history, revision)
		}
	})
}

// step answers the pending request, or lets it fail.
func (r *reader) step(t *rapid.T) {
	m := r.model
	header := Header{m.cluster, m.revision}
	switch r.request.Op {
	case List:
		if rapid.IntRange(0, 3).Draw(t, "list") == 0 {
			r.core.HandleFailure(r.request.Attempt, ConnectionLost)
			break
		}
		r.lists++
		r.core.HandleList(r.request.Attempt, header, m.historyID, maps.Clone(m.state))
	case Watch:
		switch {
		case !r.open && r.request.History != m.historyID && !r.skipHistoryCheck:
			r.core.HandleFailure(r.request.Attempt, HistoryChanged)
		case !r.open && r.request.StartRevision <= m.compacted:
			r.core.HandleFailure(r.request.Attempt, Compacted)
		case !r.open:
			r.open, r.watchHistory, r.sentRevision = true, m.historyID, r.request.StartRevision-1
			r.core.HandleWatch(r.request.Attempt, header, nil, false, true)
		case r.watchHistory != m.historyID || rapid.IntRange(0, 9).Draw(t, "cut") == 0:
			r.open = false
			r.core.HandleFailure(r.request.Attempt, Failure(rapid.SampledFrom([]int{int(ConnectionLost), int(WatcherDropped)}).Draw(t, "why")))
		default:
			r.send(t, header)
		}
	}
}

// send delivers the changes of whole revisions, possibly in fragments, interrupted, or twice.
func (r *reader) send(t *rapid.T, header Header) {
	var pending []Change
	for _, change := range r.model.log {
		if change.Mod > r.sentRevision {
			pending = append(pending, change)
		}
	}
	if len(pending) == 0 {
		r.core.HandleWatch(r.request.Attempt, header, nil, false, false) // progress notification
		return
	}
	upTo := pending[rapid.IntRange(0, len(pending)-1).Draw(t, "upto")].Mod
	var batch []Change
	for _, change := range pending {
		if change.Mod <= upTo {
			batch = append(batch, change)
		}
	}
	head := Header{header.Cluster, upTo}
	if n := rapid.IntRange(0, len(batch)-1).Draw(t, "fragment"); n > 0 {
		r.core.HandleWatch(r.request.Attempt, head, batch[:n], true, false)
		if rapid.IntRange(0, 3).Draw(t, "cut within") == 0 {
			r.open = false
			r.core.HandleFailure(r.request.Attempt, ConnectionLost)
			return
		}
		batch = batch[n:]
	}
	r.core.HandleWatch(r.request.Attempt, head, batch, false, false)
	r.sentRevision = upTo
	if rapid.IntRange(0, 4).Draw(t, "twice") == 0 {
		r.core.HandleWatch(r.request.Attempt, head, batch, false, false)
		r.core.HandleWatch(r.request.Attempt-1, head, batch, false, false) // from an outdated attempt
	}
}

func simulate(t *rapid.T, revisionShift int64, skipHistoryCheck bool) string {
	registry := newModel()
	r := &reader{model: registry, core: New(Config{Seed: 3, GracePeriod: 250_000, Timeout: 1_000_000, MaxBufferedChanges: 1000}, 1), now: 1, revisionShift: revisionShift, skipHistoryCheck: skipHistoryCheck,
		view: map[string]Entry{}}
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		r.now += Time(rapid.IntRange(0, 400_000).Draw(t, "dt"))
		switch rapid.IntRange(0, 9).Draw(t, "action") {
		case 0:
			registry.compacted = max(registry.compacted, registry.revision-int64(rapid.IntRange(0, 3).Draw(t, "keep")))
		case 1:
			if rapid.IntRange(0, 3).Draw(t, "anew") == 0 {
				registry.startHistory(max(1, registry.revision+int64(rapid.IntRange(-20, 20).Draw(t, "revision"))), rapid.Bool().Draw(t, "cluster"))
			}
		case 2, 3, 4:
			var txn []Change
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
				dup := false
				for _, change := range txn {
					dup = dup || change.Key == key
				}
				if !dup {
					txn = append(txn, Change{Key: key, Value: []byte(fmt.Sprint(registry.historyID, registry.revision)), Deleted: rapid.IntRange(0, 3).Draw(t, "gone") == 0})
				}
			}
			registry.put(txn)
		default:
			r.process()
			r.step(t)
		}
		r.process()
		if r.violation != "" {
			return r.violation
		}
	}
	for range 60 { // no more faults or changes
		r.now += 400_000
		r.process()
		r.answerAll()
		r.process()
	}
	if r.violation != "" {
		return r.violation
	}
	if !same(r.view, registry.state) || !same(r.core.View(), registry.state) {
		return fmt.Sprintf("the view did not converge: it is %v, the registry %v", r.view, registry.state)
	}
	return ""
}

// answerAll answers the pending request without faults.
func (r *reader) answerAll() {
	m := r.model
	header := Header{m.cluster, m.revision}
	switch {
	case r.request.Op == List:
		r.core.HandleList(r.request.Attempt, header, m.historyID, maps.Clone(m.state))
	case r.request.Op != Watch:
	case !r.open && r.request.History != m.historyID && !r.skipHistoryCheck:
		r.core.HandleFailure(r.request.Attempt, HistoryChanged)
	case !r.open && r.request.StartRevision <= m.compacted:
		r.core.HandleFailure(r.request.Attempt, Compacted)
	case !r.open:
		r.open, r.watchHistory, r.sentRevision = true, m.historyID, r.request.StartRevision-1
		r.core.HandleWatch(r.request.Attempt, header, nil, false, true)
	case r.watchHistory != m.historyID:
		r.open = false
		r.core.HandleFailure(r.request.Attempt, ConnectionLost)
	default:
		var pending []Change
		for _, change := range m.log {
			if change.Mod > r.sentRevision {
				pending = append(pending, change)
			}
		}
		r.core.HandleWatch(r.request.Attempt, header, pending, false, false)
		r.sentRevision = m.revision
	}
}

// Checks, for random registries and faults, that each update leads to a state that the registry had, no change is
// delivered twice, revisions never decrease within a history, and the view converges to the registry.
func TestViewMatchesRegistry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violation := simulate(rt, 0, false); violation != "" {
			rt.Fatal(violation)
		}
	})
}

// Checks that the property test detects a core that resumes one revision late, and a client that mixes histories.
func TestChecksDetectBrokenCores(t *testing.T) {
	for name, fault := range map[string]struct {
		shift  int64
		unsafe bool
	}{"resumes one revision late": {1, false}, "histories mixed": {0, true}} {
		caught := false
		for seed := range 400 {
			violation := rapid.Custom(func(rt *rapid.T) string { return simulate(rt, fault.shift, fault.unsafe) }).Example(seed)
			if caught = caught || violation != ""; caught {
				break
			}
		}
		if !caught {
			t.Error(name, "was not detected")
		}
	}
}

// Checks that a list that lacks most boxes is confirmed by another list first, and takes effect within the grace
// period even if no confirmation arrives.
func TestMassRemovalConfirmed(t *testing.T) {
	keys := map[string]Entry{}
	for i := range 10 {
		keys[fmt.Sprint("k", i)] = Entry{Mod: 5}
	}
	for name, test := range map[string]struct {
		second  map[string]Entry // nil: no response
		updates int              // updates emitted
		left    int
	}{"confirmed": {map[string]Entry{}, 2, 0}, "refuted": {keys, 2, 10}, "unanswered": {nil, 2, 0}} {
		core := New(Config{GracePeriod: 200_000, Timeout: 1_000_000}, 1)
		var request Request
		updates := 0
		process := func() Time {
			return core.Process(func(w Request) { request = w }, func(n Update) { updates++ })
		}
		process()
		core.HandleList(request.Attempt, Header{1, 5}, "m", maps.Clone(keys))
		process()
		core.HandleFailure(request.Attempt, Compacted)
		process()
		core.HandleList(request.Attempt, Header{1, 9}, "m", map[string]Entry{})
		if process(); request.Op != List || len(core.View()) != 10 {
			t.Fatalf("%s: no confirmation requested (%v)", name, request)
		}
		if test.second != nil {
			core.HandleList(request.Attempt, Header{1, 10}, "m", maps.Clone(test.second))
		} else {
			core.SetTime(1 + core.GracePeriod/confirmDivisor)
		}
		process()
		if updates != test.updates || len(core.View()) != test.left {
			t.Errorf("%s: %d updates, %d keys left", name, updates, len(core.View()))
		}
	}
}

// Checks that a watch on a member that lags behind another moves to the next member, and that a list of an earlier
// state of the same history is requested again before it is accepted.
func TestStaleMembers(t *testing.T) {
	core := New(Config{GracePeriod: 200_000, Timeout: 1_000_000}, 1)
	var request Request
	process := func() { core.Process(func(w Request) { request = w }, func(Update) {}) }
	process()
	core.HandleList(request.Attempt, Header{1, 5}, "m", map[string]Entry{"a": {Mod: 5}})
	process()
	core.HandleMemberRevision(Header{1, 9}, "m")
	core.SetTime(1 + core.Timeout)
	core.HandleWatch(request.Attempt, Header{1, 5}, nil, false, false) // the member answers without any change
	if process(); request.NextMember {
		t.Fatal("left the member before the allowed timeouts had passed")
	}
	core.SetTime(2 + 3*core.Timeout)
	if process(); !request.NextMember || request.Op != Watch || request.StartRevision != 6 {
		t.Fatalf("did not leave the lagging member: %+v", request)
	}
	request.NextMember = false
	core.HandleMemberRevision(Header{1, 7}, "m")
	core.HandleWatch(request.Attempt, Header{1, 7}, []Change{{Key: "b", Mod: 7}}, false, false)
	core.SetTime(2 + 9*core.Timeout/2)
	if process(); request.NextMember {
		t.Fatal("left a member that had caught up")
	}
	core.HandleFailure(request.Attempt, Compacted)
	core.SetTime(2 + 10*core.Timeout)
	process()
	core.HandleList(request.Attempt, Header{1, 6}, "m", map[string]Entry{"a": {Mod: 5}})
	core.SetTime(2 + 11*core.Timeout)
	if process(); request.Op != List || !request.NextMember {
		t.Fatalf("accepted an older list: %+v", request)
	}
	core.HandleList(request.Attempt, Header{1, 8}, "m", map[string]Entry{"a": {Mod: 8}})
	process()
	if revision, _ := core.Revision(); revision != 8 || core.Counts.Refuted != 1 {
		t.Error(revision, core.Counts)
	}
	core.HandleFailure(request.Attempt, Compacted) // a registry restored from a backup stays older
	for at := Time(12); at < 40; at++ {
		core.SetTime(2 + at*core.Timeout)
		process()
		revision, _ := core.Revision()
		if core.HandleList(request.Attempt, Header{1, 4}, "m", map[string]Entry{"a": {Mod: 4}}); revision == 4 {
			if at < 12+olderListTimeouts {
				t.Error("accepted the older state too early, after timeouts:", at-12)
			}
			return
		}
	}
	t.Error("never accepted the older state of a restored registry")
}

func TestValues(t *testing.T) {
	valid := Box{Address: "127.0.0.1:1", Zone: "z", Kind: "std", Weight: 1, State: "ready"}
	if box, err := DecodeBox(valid.Encode()); err != nil || box.Address != valid.Address {
		t.Error(box, err)
	}
	for _, v := range []string{"", "{}", "[]", `{"version":2}`, `{"version":1,"state":"off","address":"a:1"}`,
		`{"version":1,"state":"ready","address":"a"}`, `{"version":1,"state":"ready","address":"a:1","cell":-1}`} {
		if _, err := DecodeBox([]byte(v)); err == nil {
			t.Errorf("accepted the invalid value %q", v)
		}
	}
}

// BenchmarkWatchChange measures one change in a view of the given number of boxes, and the memory per box.
func BenchmarkWatchChange(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			core := New(Config{GracePeriod: 1, Timeout: 1_000_000, MaxBufferedChanges: 1 << 20}, 1)
			var request Request
			process := func() { core.Process(func(w Request) { request = w }, func(Update) {}) }
			process()
			keys := map[string]Entry{}
			for i := range n {
				keys[fmt.Sprint(BoxesPrefix, "box-", i)] = Entry{Box{Address: "127.0.0.1:1", Zone: "z", Kind: "std", State: "ready"}.Encode(), 1}
			}
			core.HandleList(request.Attempt, Header{1, 1}, "m", keys)
			process()
			runtime.GC()
			runtime.ReadMemStats(&after)
			value := Box{Address: "127.0.0.1:2", Zone: "z", Kind: "std", State: "draining"}.Encode()
			revision := int64(1)
			for b.Loop() {
				revision++
				core.HandleWatch(request.Attempt, Header{1, revision}, []Change{{Key: fmt.Sprint(BoxesPrefix, "box-", revision%int64(n)), Value: value, Mod: revision}}, false, false)
				process()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/box")
		})
	}
}
