package registry

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// model is a registry: a history of transactions that may be compacted, or begin anew.
type model struct {
	cluster   uint64
	historyID Mark
	revision  int64
	compacted int64
	state     map[string]Entry
	history   map[Mark]map[int64]map[string]Entry
	log       []Change
	histories int
}

func newModel() *model {
	m := &model{cluster: 7, history: map[Mark]map[int64]map[string]Entry{}}
	m.startHistory(1, false)
	return m
}

// begin starts another history, perhaps with the same cluster id.
func (m *model) startHistory(revision int64, other bool) {
	m.histories++
	m.historyID, m.revision, m.compacted = Mark(fmt.Sprint("history ", m.histories)), revision, revision
	if other {
		m.cluster++
	}
	m.state, m.log = map[string]Entry{}, nil
	m.history[m.historyID] = map[int64]map[string]Entry{revision: {}}
}

// put makes one transaction of some changes.
func (m *model) put(changes []Change) {
	m.revision++
	for _, c := range changes {
		c.Mod = m.revision
		if c.Deleted {
			delete(m.state, c.Key)
		} else {
			m.state[c.Key] = Entry{c.Value, c.Mod}
		}
		m.log = append(m.log, c)
	}
	m.history[m.historyID][m.revision] = maps.Clone(m.state)
}

func same(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, func(x, y Entry) bool { return x.Mod == y.Mod && string(x.Value) == string(y.Value) })
}

// reader plays the edge against the model, as badly as the draws have it.
type reader struct {
	model            *model
	core             *Core
	now              Time
	request          Want
	open             bool // the watch is under way
	watchHistory     Mark // the history that it was opened in
	sentRevision     int64
	view             map[string]Entry // made of the news alone
	revision         int64
	history          Mark
	violation        string
	lists            int
	revisionShift    int64 // a core broken on purpose resumes so far off
	skipHistoryCheck bool  // the edge does not look at marks
}

func (r *reader) process() {
	r.core.At(r.now)
	r.core.Settle(func(w Want) {
		r.request, r.open = w, false
		r.request.From += r.revisionShift
	}, func(n News) {
		rev, mark := r.core.Revision()
		if !n.Whole && r.history == mark && n.Revision < r.revision {
			r.violation = "revisions went back"
		}
		if n.Whole {
			r.view = map[string]Entry{}
		}
		for _, x := range n.Changes {
			if old, ok := r.view[x.Key]; ok && !n.Whole && old.Mod >= x.Mod {
				r.violation = "a change applied twice"
			}
			if x.Deleted {
				delete(r.view, x.Key)
			} else {
				r.view[x.Key] = Entry{x.Value, x.Mod}
			}
		}
		r.revision, r.history = n.Revision, mark
		if want, ok := r.model.history[mark][n.Revision]; !ok || !same(want, r.view) {
			r.violation = fmt.Sprintf("a state that the registry never had at %d of %s (core at %d)", n.Revision, mark, rev)
		}
	})
}

// step answers what is wanted, or fails it.
func (r *reader) step(t *rapid.T) {
	m := r.model
	h := Head{m.cluster, m.revision}
	switch r.request.Act {
	case List:
		if rapid.IntRange(0, 3).Draw(t, "list") == 0 {
			r.core.Ended(r.request.Try, Lost)
			break
		}
		r.lists++
		r.core.Listed(r.request.Try, h, m.historyID, maps.Clone(m.state))
	case Watch:
		switch {
		case !r.open && r.request.Mark != m.historyID && !r.skipHistoryCheck:
			r.core.Ended(r.request.Try, Foreign)
		case !r.open && r.request.From <= m.compacted:
			r.core.Ended(r.request.Try, Compacted)
		case !r.open:
			r.open, r.watchHistory, r.sentRevision = true, m.historyID, r.request.From-1
			r.core.Watched(r.request.Try, h, nil, false, true)
		case r.watchHistory != m.historyID || rapid.IntRange(0, 9).Draw(t, "cut") == 0:
			r.open = false
			r.core.Ended(r.request.Try, Failure(rapid.SampledFrom([]int{int(Lost), int(WatcherDropped)}).Draw(t, "why")))
		default:
			r.send(t, h)
		}
	}
}

// send brings changes: whole revisions, perhaps in pieces, cut in the middle, or told twice.
func (r *reader) send(t *rapid.T, h Head) {
	var all []Change
	for _, x := range r.model.log {
		if x.Mod > r.sentRevision {
			all = append(all, x)
		}
	}
	if len(all) == 0 {
		r.core.Watched(r.request.Try, h, nil, false, false) // progress
		return
	}
	upTo := all[rapid.IntRange(0, len(all)-1).Draw(t, "upto")].Mod
	var now []Change
	for _, x := range all {
		if x.Mod <= upTo {
			now = append(now, x)
		}
	}
	head := Head{h.Cluster, upTo}
	if n := rapid.IntRange(0, len(now)-1).Draw(t, "piece"); n > 0 {
		r.core.Watched(r.request.Try, head, now[:n], true, false)
		if rapid.IntRange(0, 3).Draw(t, "cut within") == 0 {
			r.open = false
			r.core.Ended(r.request.Try, Lost)
			return
		}
		now = now[n:]
	}
	r.core.Watched(r.request.Try, head, now, false, false)
	r.sentRevision = upTo
	if rapid.IntRange(0, 4).Draw(t, "twice") == 0 {
		r.core.Watched(r.request.Try, head, now, false, false)
		r.core.Watched(r.request.Try-1, head, now, false, false) // of a connection that has gone
	}
}

func simulate(t *rapid.T, shift int64, unsafe bool) string {
	m := newModel()
	r := &reader{model: m, core: New(Bounds{Seed: 3, Grace: 250_000, Timeout: 1_000_000, Held: 1000}, 1), now: 1, revisionShift: shift, skipHistoryCheck: unsafe,
		view: map[string]Entry{}}
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		r.now += Time(rapid.IntRange(0, 400_000).Draw(t, "dt"))
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0:
			m.compacted = max(m.compacted, m.revision-int64(rapid.IntRange(0, 3).Draw(t, "keep")))
		case 1:
			if rapid.IntRange(0, 3).Draw(t, "anew") == 0 {
				m.startHistory(max(1, m.revision+int64(rapid.IntRange(-20, 20).Draw(t, "revision"))), rapid.Bool().Draw(t, "cluster"))
			}
		case 2, 3, 4:
			var txn []Change
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
				dup := false
				for _, x := range txn {
					dup = dup || x.Key == key
				}
				if !dup {
					txn = append(txn, Change{Key: key, Value: []byte(fmt.Sprint(m.historyID, m.revision)), Deleted: rapid.IntRange(0, 3).Draw(t, "gone") == 0})
				}
			}
			m.put(txn)
		default:
			r.process()
			r.step(t)
		}
		r.process()
		if r.violation != "" {
			return r.violation
		}
	}
	for range 60 { // quiet
		r.now += 400_000
		r.process()
		r.answerAll()
		r.process()
	}
	if r.violation != "" {
		return r.violation
	}
	if !same(r.view, m.state) || !same(r.core.View(), m.state) {
		return fmt.Sprintf("after quiet the view is %v, the registry %v", r.view, m.state)
	}
	return ""
}

// quiet answers all that is wanted, well.
func (r *reader) answerAll() {
	m := r.model
	h := Head{m.cluster, m.revision}
	switch {
	case r.request.Act == List:
		r.core.Listed(r.request.Try, h, m.historyID, maps.Clone(m.state))
	case r.request.Act != Watch:
	case !r.open && r.request.Mark != m.historyID && !r.skipHistoryCheck:
		r.core.Ended(r.request.Try, Foreign)
	case !r.open && r.request.From <= m.compacted:
		r.core.Ended(r.request.Try, Compacted)
	case !r.open:
		r.open, r.watchHistory, r.sentRevision = true, m.historyID, r.request.From-1
		r.core.Watched(r.request.Try, h, nil, false, true)
	case r.watchHistory != m.historyID:
		r.open = false
		r.core.Ended(r.request.Try, Lost)
	default:
		var all []Change
		for _, x := range m.log {
			if x.Mod > r.sentRevision {
				all = append(all, x)
			}
		}
		r.core.Watched(r.request.Try, h, all, false, false)
		r.sentRevision = m.revision
	}
}

// Whatever the registry does, each state told is one that it had, no change comes twice, revisions do not go
// back within a history, and after quiet the view is the registry's.
func TestViewMatchesRegistry(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if bad := simulate(rt, 0, false); bad != "" {
			rt.Fatal(bad)
		}
	})
}

// The same check reports a core that resumes one revision late, and one whose edge mixes histories.
func TestChecksDetectBrokenCores(t *testing.T) {
	for name, c := range map[string]struct {
		shift  int64
		unsafe bool
	}{"one late": {1, false}, "histories mixed": {0, true}} {
		caught := false
		for seed := range 400 {
			bad := rapid.Custom(func(rt *rapid.T) string { return simulate(rt, c.shift, c.unsafe) }).Example(seed)
			if caught = caught || bad != ""; caught {
				break
			}
		}
		if !caught {
			t.Error(name, "was not caught")
		}
	}
}

// A list that lost most of its boxes is confirmed first, yet binds within the grace.
func TestMassRemovalConfirmed(t *testing.T) {
	keys := map[string]Entry{}
	for i := range 10 {
		keys[fmt.Sprint("k", i)] = Entry{Mod: 5}
	}
	for name, c := range map[string]struct {
		second map[string]Entry // nil: never comes
		whole  int              // news told
		left   int
	}{"confirmed": {map[string]Entry{}, 2, 0}, "refuted": {keys, 2, 10}, "unanswered": {nil, 2, 0}} {
		k := New(Bounds{Grace: 200_000, Timeout: 1_000_000}, 1)
		var want Want
		whole := 0
		settle := func() Time {
			return k.Settle(func(w Want) { want = w }, func(n News) { whole++ })
		}
		settle()
		k.Listed(want.Try, Head{1, 5}, "m", maps.Clone(keys))
		settle()
		k.Ended(want.Try, Compacted)
		settle()
		k.Listed(want.Try, Head{1, 9}, "m", map[string]Entry{})
		if settle(); want.Act != List || len(k.View()) != 10 {
			t.Fatalf("%s: not asked again (%v)", name, want)
		}
		if c.second != nil {
			k.Listed(want.Try, Head{1, 10}, "m", maps.Clone(c.second))
		} else {
			k.At(1 + k.Grace/confirmDivisor)
		}
		settle()
		if whole != c.whole || len(k.View()) != c.left {
			t.Errorf("%s: told %d times, %d left", name, whole, len(k.View()))
		}
	}
}

// A watch at a member that has fallen behind another is left for the next one; a list of an earlier state of
// the same history is asked for once more before it counts.
func TestStaleMembers(t *testing.T) {
	k := New(Bounds{Grace: 200_000, Timeout: 1_000_000}, 1)
	var want Want
	settle := func() { k.Settle(func(w Want) { want = w }, func(News) {}) }
	settle()
	k.Listed(want.Try, Head{1, 5}, "m", map[string]Entry{"a": {Mod: 5}})
	settle()
	k.HandleMemberRevision(Head{1, 9}, "m")
	k.At(1 + k.Timeout)
	k.Watched(want.Try, Head{1, 5}, nil, false, false) // it answers, and has nothing new
	if settle(); want.NextMember {
		t.Fatal("left within the time-outs allowed")
	}
	k.At(2 + 3*k.Timeout)
	if settle(); !want.NextMember || want.Act != Watch || want.From != 6 {
		t.Fatalf("not left: %+v", want)
	}
	want.NextMember = false
	k.HandleMemberRevision(Head{1, 7}, "m")
	k.Watched(want.Try, Head{1, 7}, []Change{{Key: "b", Mod: 7}}, false, false)
	k.At(2 + 9*k.Timeout/2)
	if settle(); want.NextMember {
		t.Fatal("left though it had come as far")
	}
	k.Ended(want.Try, Compacted)
	k.At(2 + 10*k.Timeout)
	settle()
	k.Listed(want.Try, Head{1, 6}, "m", map[string]Entry{"a": {Mod: 5}})
	k.At(2 + 11*k.Timeout)
	if settle(); want.Act != List || !want.NextMember {
		t.Fatalf("an older list was taken: %+v", want)
	}
	k.Listed(want.Try, Head{1, 8}, "m", map[string]Entry{"a": {Mod: 8}})
	settle()
	if rev, _ := k.Revision(); rev != 8 || k.Counts.Refuted != 1 {
		t.Error(rev, k.Counts)
	}
	k.Ended(want.Try, Compacted) // a registry restored from a copy is older for good
	for at := Time(12); at < 40; at++ {
		k.At(2 + at*k.Timeout)
		settle()
		rev, _ := k.Revision()
		if k.Listed(want.Try, Head{1, 4}, "m", map[string]Entry{"a": {Mod: 4}}); rev == 4 {
			if at < 12+olderListTimeouts {
				t.Error("followed back after", at-12)
			}
			return
		}
	}
	t.Error("never followed back")
}

func TestValues(t *testing.T) {
	good := Box{Address: "127.0.0.1:1", Zone: "z", Kind: "std", Weight: 1, State: "ready"}
	if b, err := ReadBox(good.Value()); err != nil || b.Address != good.Address {
		t.Error(b, err)
	}
	for _, v := range []string{"", "{}", "[]", `{"version":2}`, `{"version":1,"state":"off","address":"a:1"}`,
		`{"version":1,"state":"ready","address":"a"}`, `{"version":1,"state":"ready","address":"a:1","cell":-1}`} {
		if _, err := ReadBox([]byte(v)); err == nil {
			t.Errorf("%q was taken", v)
		}
	}
}

// BenchmarkChange is one change of a view of so many boxes, and what a box of the view holds.
func BenchmarkWatchChange(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := New(Bounds{Grace: 1, Timeout: 1_000_000, Held: 1 << 20}, 1)
			var want Want
			settle := func() { c.Settle(func(w Want) { want = w }, func(News) {}) }
			settle()
			keys := map[string]Entry{}
			for i := range n {
				keys[fmt.Sprint(BoxesPrefix, "box-", i)] = Entry{Box{Address: "127.0.0.1:1", Zone: "z", Kind: "std", State: "ready"}.Value(), 1}
			}
			c.Listed(want.Try, Head{1, 1}, "m", keys)
			settle()
			runtime.GC()
			runtime.ReadMemStats(&after)
			value := Box{Address: "127.0.0.1:2", Zone: "z", Kind: "std", State: "draining"}.Value()
			rev := int64(1)
			for b.Loop() {
				rev++
				c.Watched(want.Try, Head{1, rev}, []Change{{Key: fmt.Sprint(BoxesPrefix, "box-", rev%int64(n)), Value: value, Mod: rev}}, false, false)
				settle()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/box")
		})
	}
}
