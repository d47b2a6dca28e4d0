package lab

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/edge"
	"pierlink/internal/standin/directory"
	"pierlink/internal/tenants"
	"pierlink/internal/tenants/client"
)

// asker is one session manager's view of the directory, owned by a goroutine as a front's is, with a stream of
// questions.
type directoryView struct {
	core      *tenants.Core
	client    *client.Client
	calls     chan func(*tenants.Core)
	stop      chan struct{}
	done      chan struct{}
	onAnswer  func(tenants.Query, tenants.Answer)
	pending   map[int]tenants.Query
	lastID    int
	warmTimes []time.Duration // of questions that a warm view answers
}

func newDirectoryView(p client.Config, judged func(tenants.Query, tenants.Answer)) (*directoryView, error) {
	a := &directoryView{core: tenants.New(p.Core, edge.Now()), calls: make(chan func(*tenants.Core), 1024), stop: make(chan struct{}), done: make(chan struct{}),
		onAnswer: judged, pending: map[int]tenants.Query{}}
	var err error
	a.client, err = client.New(p, a.post, zap.NewNop())
	if err != nil {
		return nil, err
	}
	go a.run()
	return a, nil
}

func (a *directoryView) post(f func(*tenants.Core)) {
	select {
	case a.calls <- f:
	case <-a.done:
	}
}

func (a *directoryView) call(f func(*tenants.Core)) {
	ran := make(chan struct{})
	a.post(func(c *tenants.Core) { f(c); close(ran) })
	select {
	case <-ran:
	case <-a.done:
	}
}

func (a *directoryView) run() {
	defer close(a.done)
	timer := time.NewTimer(0)
	for {
		select {
		case <-a.stop:
			return
		case f := <-a.calls:
			a.core.SetTime(edge.Now())
			f(a.core)
		case <-timer.C:
			a.core.SetTime(edge.Now())
		}
		next := a.core.Process(a.client.Do, func(x tenants.Answer) {
			if q, ok := a.pending[x.ID]; ok {
				delete(a.pending, x.ID)
				a.onAnswer(q, x)
			}
		}, func(tenants.Record) {})
		timer.Reset(time.Duration(max(next-edge.Now(), 0)) * time.Microsecond)
	}
}

// ask puts a question, within the owner's turn.
func (a *directoryView) ask(account, plan string, abandon Time) {
	a.post(func(c *tenants.Core) {
		a.lastID++
		q := tenants.Query{ID: a.lastID, Account: account, Plan: plan, Deadline: edge.Now() + abandon}
		began := time.Now()
		x := c.Ask(q)
		if x.Verdict == tenants.Pending {
			a.pending[q.ID] = q
			return
		}
		a.warmTimes = append(a.warmTimes, time.Since(began))
		a.onAnswer(q, x)
	})
}

func (a *directoryView) close() {
	close(a.stop)
	<-a.done
	a.client.Close()
}

func tenantDN(i int) string { return fmt.Sprintf("cn=tenant-%d,ou=org-%d,dc=pier", i, i%3) }

func memberDN(t, m int) string { return fmt.Sprintf("uid=m%d-%d,%s", t, m, tenantDN(t)) }

func tenantAttrs(i int, weight int) map[string][]string {
	return map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {fmt.Sprint("tenant-", i)}, "pierlinkPlan": {"live", "recorded"},
		"pierlinkWeight": {fmt.Sprint(weight)}}
}

func memberAttrs(t, m int) map[string][]string {
	return map[string][]string{"objectClass": {"pierlinkMember"}, "uid": {fmt.Sprintf("m%d-%d", t, m)}, "pierlinkTenant": {fmt.Sprint("tenant-", t)}}
}

func proveTenants(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "tenants", Seed: seed, Judged: map[string]int{}}
	if err := p.measureAccessCost(); err != nil {
		return nil, err
	}
	managers, all, members, span := 4, 60, 40, 14*time.Second
	switch size {
	case Small:
		managers, all, members, span = 2, 20, 20, 6*time.Second
	case Full:
		managers, all, members, span = 8, 400, 60, 40*time.Second
	}
	rng := rand.New(rand.NewPCG(seed, 0x7e4))
	store := directory.NewStore()
	for t := range all {
		store.Put(tenantDN(t), tenantAttrs(t, 1))
		for m := range members {
			store.Put(memberDN(t, m), memberAttrs(t, m))
		}
	}
	server, err := directory.Serve("127.0.0.1:0", store)
	if err != nil {
		return nil, err
	}
	defer func() { server.Stop() }()
	hanging, err := directory.Serve("127.0.0.1:0", store) // a second one, that hangs now and then
	if err != nil {
		return nil, err
	}
	defer hanging.Stop()
	longest := Time(4_000_000)
	terms := tenants.Config{Seed: seed, MaxAge: longest, SyncInterval: 1_000_000, Timeout: 400_000, NegativeTTL: 500_000, MaxWaiting: 20_000, MaxLookups: 4, MaxEntries: 1 << 20}

	var mu sync.Mutex
	gone := map[string]time.Time{} // members deleted, and when
	back := map[string]time.Time{}
	verdicts := map[tenants.Verdict]int{}
	var ages []Time
	late, lost, over := 0, 0, 0
	firstBad := ""
	spoiled := func(format string, a ...any) {
		if firstBad == "" {
			firstBad = fmt.Sprintf(format, a...)
		}
	}
	warm := atomic.Bool{}
	judged := func(q tenants.Query, x tenants.Answer) {
		mu.Lock()
		defer mu.Unlock()
		verdicts[x.Verdict]++
		if x.Verdict == tenants.Allowed {
			ages = append(ages, x.Age)
			if x.Age > longest {
				over++
			}
			if at, ok := gone[q.Account]; ok && time.Since(at).Microseconds() > longest {
				late++
				spoiled("%s was allowed %s after it was deleted (age told %.3f s)", q.Account, time.Since(at), seconds(x.Age))
			}
		}
		if at, was := back[q.Account]; warm.Load() && x.Verdict == tenants.Unknown && q.Account[0] == 'm' {
			if _, off := gone[q.Account]; !off && (!was || time.Since(at) > 2*time.Second) {
				lost++
				spoiled("%s was unknown though it is there", q.Account)
			}
		}
		if edge.Now() > q.Deadline {
			spoiled("%s was answered too late", q.Account)
			late++
		}
	}
	var askers []*directoryView
	for i := range managers {
		x := terms
		x.Seed = seed + uint64(i)
		ends := []string{server.Addr()}
		if i%2 == 1 {
			ends = append(ends, hanging.Addr())
		}
		x.Endpoints = len(ends)
		a, err := newDirectoryView(client.Config{Endpoints: ends, Base: "dc=pier", PageSize: 500, PagedOnly: i%4 == 1, Core: x}, judged)
		if err != nil {
			return nil, err
		}
		askers = append(askers, a)
	}
	defer func() {
		for _, a := range askers {
			a.close()
		}
	}()
	ready := func(want int) bool {
		for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			ok := true
			for _, a := range askers {
				a.call(func(c *tenants.Core) { ok = ok && c.Size() == want && c.Age() < longest })
			}
			if ok {
				return true
			}
		}
		return false
	}
	entries, _ := store.All()
	began := time.Now()
	if !ready(len(entries)) {
		return nil, fmt.Errorf("the views were not whole within 10 s")
	}
	p.Note("%d entries in %d views after %s", len(entries), managers, time.Since(began).Round(time.Millisecond))
	warm.Store(true)
	searches := server.Searches.Load() + hanging.Searches.Load()
	questions := 0
	kinds := map[string]int{}
	var bag []string
	end := time.Now().Add(span)
	nextTrouble := time.Now().Add(300 * time.Millisecond)
	extra := map[int]bool{}
	renamed := 0
	for time.Now().Before(end) {
		for range 40 {
			t, m := rng.IntN(all), rng.IntN(members)
			account := fmt.Sprintf("m%d-%d", t, m)
			if rng.IntN(60) == 0 {
				account = fmt.Sprint("nobody-", rng.IntN(50))
			}
			askers[rng.IntN(managers)].ask(account, []string{"live", "recorded"}[rng.IntN(2)], 2_500_000)
			questions++
		}
		switch t, m := rng.IntN(all), rng.IntN(members); rng.IntN(8) {
		case 0: // a member goes, or comes back
			key := fmt.Sprintf("m%d-%d", t, m)
			mu.Lock()
			if _, off := gone[key]; off {
				delete(gone, key)
				back[key] = time.Now()
				store.Put(memberDN(t, m), memberAttrs(t, m))
			} else {
				store.Delete(memberDN(t, m))
				gone[key] = time.Now()
			}
			mu.Unlock()
		case 1:
			store.Put(tenantDN(t), tenantAttrs(t, 1+rng.IntN(9)))
		case 2: // a tenant moves to another organisation and back: its entry stays the same
			if renamed++; !extra[t] {
				store.Rename(tenantDN(t), fmt.Sprintf("cn=tenant-%d,ou=elsewhere,dc=pier", t))
			} else {
				store.Rename(fmt.Sprintf("cn=tenant-%d,ou=elsewhere,dc=pier", t), tenantDN(t))
			}
			extra[t] = !extra[t]
		case 3: // an entry that cannot be read stays as it was
			if !extra[t] {
				bad := tenantAttrs(t, 1)
				bad["cn"] = []string{fmt.Sprint("tenant-", t), "another"}
				store.Put(tenantDN(t), bad)
				store.Put(tenantDN(t), tenantAttrs(t, 2))
			}
		}
		if time.Now().After(nextTrouble) {
			nextTrouble = time.Now().Add(time.Duration(200+rng.IntN(500)) * time.Millisecond)
			if len(bag) == 0 {
				bag = []string{"cut", "truncate", "busy", "stall", "silent", "forget", "slow", "hang", "well", "well"}
				rng.Shuffle(len(bag), func(i, j int) { bag[i], bag[j] = bag[j], bag[i] })
			}
			kind := bag[0]
			bag = bag[1:]
			kinds[kind]++
			server.SetFaults(directory.Faults{})
			hanging.SetFaults(directory.Faults{})
			switch kind {
			case "cut":
				server.CloseConnections()
			case "truncate":
				server.SetFaults(directory.Faults{TruncateAfter: 1 + rng.IntN(len(entries))})
				server.CloseConnections()
			case "busy":
				server.SetFaults(directory.Faults{Busy: true})
			case "stall":
				server.SetFaults(directory.Faults{Stall: true})
			case "silent":
				server.SetFaults(directory.Faults{SilentSync: true})
			case "forget":
				store.ForgetDeletions()
				server.CloseConnections()
			case "slow":
				server.SetFaults(directory.Faults{ResponseDelay: 350 * time.Millisecond})
			case "hang":
				hanging.SetFaults(directory.Faults{Stall: true})
			}
		}
		time.Sleep(4 * time.Millisecond)
	}
	server.SetFaults(directory.Faults{})
	hanging.SetFaults(directory.Faults{})
	asked := server.Searches.Load() + hanging.Searches.Load() - searches
	differ, what := managers, ""
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until) && differ > 0; time.Sleep(20 * time.Millisecond) {
		now, _ := store.All()
		differ = 0
		for _, a := range askers {
			a.call(func(c *tenants.Core) {
				if x := viewDifference(c, now); x != "" {
					differ++
					what = x
				}
			})
		}
	}
	mu.Lock()
	slices.Sort(ages)
	n := len(ages)
	p.Note("verdicts: %v; troubles: %v; %d renames", verdicts, kinds, renamed)
	if firstBad != "" {
		p.Note("%s", firstBad)
	}
	if n > 0 {
		p.Note("staleness of decisions: median %.3f s, 99%% %.3f s, most %.3f s", seconds(ages[n/2]), seconds(ages[n*99/100]), seconds(ages[n-1]))
	}
	p.AtLeast(float64(n), 100, "playbacks allowed")
	p.AtMost(float64(over), 0, "decisions on entries older than the bound that were not treated as stale")
	p.AtMost(float64(late), 0, "admissions by an entry deleted longer ago than the bound, or answers past their time")
	p.AtMost(float64(lost), 0, "members of the directory that were unknown: lost by half an answer")
	mu.Unlock()
	if differ > 0 {
		p.Note("a view differs: %s", what)
	}
	p.AtMost(float64(differ), 0, "views that differ from the directory after quiet")
	p.AtMost(1000*float64(asked)/float64(max(questions, 1)), 200, "searches of the directory for 1,000 playbacks, troubles included")
	p.Judged["questions"], p.Judged["entries"], p.Judged["managers"] = questions, len(entries), managers

	// ten thousand viewers of one unknown account, who come in one moment
	before := server.Searches.Load() + hanging.Searches.Load()
	looks := func() (n int64) {
		askers[0].call(func(c *tenants.Core) { n = c.Counts.Looks })
		return n
	}
	had := looks()
	for range 10_000 {
		askers[0].ask("nobody-at-all", "live", 2_500_000)
	}
	time.Sleep(500 * time.Millisecond)
	p.AtMost(float64(looks()-had), 1, "look-ups for ten thousand viewers of one unknown account")
	p.Note("searches in that while, synchronisations included: %d", server.Searches.Load()+hanging.Searches.Load()-before)

	// what a warm view costs
	var took []time.Duration
	for _, a := range askers {
		a.call(func(*tenants.Core) { took = append(took, a.warmTimes...) })
	}
	slices.Sort(took)
	if len(took) > 0 {
		p.AtMost(float64(took[len(took)*99/100].Nanoseconds())/1000, 50, "microseconds that a question of a warm view takes, 99th percentile")
	}

	// the directory is down for good: playing on goes by the fallback that the terms state
	server.Stop()
	hanging.SetFaults(directory.Faults{Stall: true})
	refusedKnown := 0
	down := tenants.New(tenants.Config{Seed: 1, MaxAge: 1, SyncInterval: 1_000_000, Timeout: 400_000, MaxWaiting: 10, MaxLookups: 1, AdmitStale: true}, edge.Now())
	var kept []tenants.Record
	var mark tenants.Checkpoint
	var asOf Time
	askers[0].call(func(c *tenants.Core) { kept, mark, asOf = c.Records() })
	down.Restore(kept, mark, asOf)
	down.SetTime(edge.Now() + 10_000_000)
	for i, r := range kept {
		if r.Kind == tenants.Member {
			if x := down.Ask(tenants.Query{ID: i, Account: r.Name, Plan: "live", Deadline: edge.Now() + 20_000_000}); x.Verdict != tenants.Allowed {
				refusedKnown++
			}
		}
	}
	p.AtMost(float64(refusedKnown), 0, "playbacks of known members lost with the directory down, where the terms admit")
	server, err = directory.Serve("127.0.0.1:0", store) // for the deferred stop
	if err != nil {
		return nil, err
	}
	if err := p.proveAccessDay(seed, size, log); err != nil {
		return nil, err
	}
	return p, p.measureEntryMemory(size)
}

// differs tells where a view is not what the directory has; empty if it is.
func viewDifference(c *tenants.Core, all []*directory.Entry) string {
	records, _, asOf := c.Records()
	if len(records) != len(all) {
		return fmt.Sprintf("%d entries of %d, as of %.1f s ago, %+v", len(records), len(all), seconds(edge.Now()-asOf), c.Counts)
	}
	by := map[string]*directory.Entry{}
	for _, e := range all {
		by[directory.FormatUUID(e.UUID)] = e
	}
	for _, r := range records {
		e := by[r.ID]
		if e == nil {
			return r.Name + " is not there"
		}
		name := "cn"
		if r.Kind == tenants.Member {
			name = "uid"
		} else if fmt.Sprint(r.Weight) != e.Attrs["pierlinkweight"][0] {
			return fmt.Sprintf("%s has weight %g, not %v, as of %.1f s ago, %+v", r.Name, r.Weight, e.Attrs["pierlinkweight"], seconds(edge.Now()-asOf), c.Counts)
		}
		if e.Attrs[name][0] != r.Name {
			return r.Name + " is not " + e.Attrs[name][0]
		}
	}
	return ""
}

// million fills a core with many entries, as a synchronisation does, and measures what each costs.
func (p *Proof) measureEntryMemory(size Size) error {
	n := 100_000
	switch size {
	case Small:
		n = 20_000
	case Full:
		n = 1_000_000
	}
	var m0, m1 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m0)
	c := tenants.New(tenants.Config{MaxAge: 1 << 50, SyncInterval: 1 << 50, Timeout: 1 << 40, MaxWaiting: 10, MaxLookups: 1, MaxEntries: 2 * n}, 1)
	try := 0
	c.Process(func(w tenants.Request) { try = w.Attempt }, func(tenants.Answer) {}, func(tenants.Record) {})
	began := time.Now()
	for i := range n {
		r := tenants.Record{ID: fmt.Sprintf("00000000-0000-0000-0000-%012d", i), DN: fmt.Sprintf("uid=m%d,cn=tenant-%d,dc=pier", i, i%1000), Kind: tenants.Member,
			Name: fmt.Sprint("m", i), Tenant: fmt.Sprint("tenant-", i%1000)}
		if i < 1000 {
			r.Kind, r.Name, r.Plans = tenants.Tenant, fmt.Sprint("tenant-", i), []string{"live"}
		}
		c.HandleEntry(try, r)
	}
	c.HandleRefreshed(try, []byte("c"), true, true)
	took := time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&m1)
	if c.Size() != n {
		return fmt.Errorf("%d entries of %d are held", c.Size(), n)
	}
	p.Note("%d entries: %.0f bytes each, taken in within %s", n, float64(m1.HeapAlloc-m0.HeapAlloc)/float64(n), took.Round(time.Millisecond))
	p.Judged["entries held at once"] = n
	runtime.KeepAlive(c)
	return nil
}
