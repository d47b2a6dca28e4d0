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

// directoryView is one session manager's view of the directory. As in a session manager, one goroutine owns it. Here
// it answers a stream of queries.
type directoryView struct {
	core      *tenants.Core
	client    *client.Client
	calls     chan func(*tenants.Core)
	stop      chan struct{}
	done      chan struct{}
	onAnswer  func(tenants.Query, tenants.Answer)
	pending   map[int]tenants.Query
	lastID    int
	warmTimes []time.Duration // of queries that were answered from the view at once
}

// newDirectoryView starts a view. onAnswer is called by its goroutine with each query and its answer.
func newDirectoryView(config client.Config, onAnswer func(tenants.Query, tenants.Answer)) (*directoryView, error) {
	view := &directoryView{core: tenants.New(config.Core, edge.Now()), calls: make(chan func(*tenants.Core), 1024), stop: make(chan struct{}), done: make(chan struct{}),
		onAnswer: onAnswer, pending: map[int]tenants.Query{}}
	var err error
	view.client, err = client.New(config, view.post, zap.NewNop())
	if err != nil {
		return nil, err
	}
	go view.run()
	return view, nil
}

func (v *directoryView) post(call func(*tenants.Core)) {
	select {
	case v.calls <- call:
	case <-v.done:
	}
}

func (v *directoryView) call(call func(*tenants.Core)) {
	ran := make(chan struct{})
	v.post(func(c *tenants.Core) { call(c); close(ran) })
	select {
	case <-ran:
	case <-v.done:
	}
}

func (v *directoryView) run() {
	defer close(v.done)
	timer := time.NewTimer(0)
	for {
		select {
		case <-v.stop:
			return
		case call := <-v.calls:
			v.core.SetTime(edge.Now())
			call(v.core)
		case <-timer.C:
			v.core.SetTime(edge.Now())
		}
		next := v.core.Process(v.client.Do, func(answer tenants.Answer) {
			if query, ok := v.pending[answer.ID]; ok {
				delete(v.pending, answer.ID)
				v.onAnswer(query, answer)
			}
		}, func(tenants.Record) {})
		timer.Reset(time.Duration(max(next-edge.Now(), 0)) * time.Microsecond)
	}
}

// ask makes a query on the view's goroutine.
func (v *directoryView) ask(account, plan string, timeout Time) {
	v.post(func(core *tenants.Core) {
		v.lastID++
		query := tenants.Query{ID: v.lastID, Account: account, Plan: plan, Deadline: edge.Now() + timeout}
		began := time.Now()
		answer := core.Ask(query)
		if answer.Verdict == tenants.Pending {
			v.pending[query.ID] = query
			return
		}
		v.warmTimes = append(v.warmTimes, time.Since(began))
		v.onAnswer(query, answer)
	})
}

func (v *directoryView) close() {
	close(v.stop)
	<-v.done
	v.client.Close()
}

func tenantDN(tenant int) string {
	return fmt.Sprintf("cn=tenant-%d,ou=org-%d,dc=pier", tenant, tenant%3)
}

func memberDN(tenant, member int) string {
	return fmt.Sprintf("uid=m%d-%d,%s", tenant, member, tenantDN(tenant))
}

func tenantAttrs(tenant int, weight int) map[string][]string {
	return map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {fmt.Sprint("tenant-", tenant)}, "pierlinkPlan": {"live", "recorded"},
		"pierlinkWeight": {fmt.Sprint(weight)}}
}

func memberAttrs(tenant, member int) map[string][]string {
	return map[string][]string{"objectClass": {"pierlinkMember"}, "uid": {fmt.Sprintf("m%d-%d", tenant, member)}, "pierlinkTenant": {fmt.Sprint("tenant-", tenant)}}
}

// proveTenants keeps several views of a directory in sync while the directory changes and its servers fail in various
// ways. It judges each answer by the true state of the account, counts the searches that the views make, and measures
// the cost of queries and entries.
func proveTenants(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "tenants", Seed: seed, Judged: map[string]int{}}
	if err := p.measureAccessCost(); err != nil {
		return nil, err
	}
	viewCount, tenantCount, membersPerTenant, duration := 4, 60, 40, 14*time.Second
	switch size {
	case Small:
		viewCount, tenantCount, membersPerTenant, duration = 2, 20, 20, 6*time.Second
	case Full:
		viewCount, tenantCount, membersPerTenant, duration = 8, 400, 60, 40*time.Second
	}
	rng := rand.New(rand.NewPCG(seed, 0x7e4))
	store := directory.NewStore()
	for tenant := range tenantCount {
		store.Put(tenantDN(tenant), tenantAttrs(tenant, 1))
		for member := range membersPerTenant {
			store.Put(memberDN(tenant, member), memberAttrs(tenant, member))
		}
	}
	server, err := directory.Serve("127.0.0.1:0", store)
	if err != nil {
		return nil, err
	}
	defer func() { server.Stop() }()
	secondServer, err := directory.Serve("127.0.0.1:0", store) // a second one, which hangs at times
	if err != nil {
		return nil, err
	}
	defer secondServer.Stop()
	maxAge := Time(4_000_000)
	config := tenants.Config{Seed: seed, MaxAge: maxAge, SyncInterval: 1_000_000, Timeout: 400_000, NegativeTTL: 500_000, MaxWaiting: 20_000, MaxLookups: 4, MaxEntries: 1 << 20}

	var mu sync.Mutex
	deletedAt := map[string]time.Time{} // of members that are deleted now
	restoredAt := map[string]time.Time{}
	verdictCounts := map[tenants.Verdict]int{}
	var ages []Time
	lateCount, lostCount, overAge := 0, 0, 0
	firstViolation := ""
	noteViolation := func(format string, args ...any) {
		if firstViolation == "" {
			firstViolation = fmt.Sprintf(format, args...)
		}
	}
	warmedUp := atomic.Bool{}
	onAnswer := func(query tenants.Query, answer tenants.Answer) {
		mu.Lock()
		defer mu.Unlock()
		verdictCounts[answer.Verdict]++
		if answer.Verdict == tenants.Allowed {
			ages = append(ages, answer.Age)
			if answer.Age > maxAge {
				overAge++
			}
			if at, ok := deletedAt[query.Account]; ok && time.Since(at).Microseconds() > maxAge {
				lateCount++
				noteViolation("%s was allowed %s after it was deleted (age told %.3f s)", query.Account, time.Since(at), seconds(answer.Age))
			}
		}
		if at, restored := restoredAt[query.Account]; warmedUp.Load() && answer.Verdict == tenants.Unknown && query.Account[0] == 'm' {
			if _, deleted := deletedAt[query.Account]; !deleted && (!restored || time.Since(at) > 2*time.Second) {
				lostCount++
				noteViolation("%s was unknown though it is there", query.Account)
			}
		}
		if edge.Now() > query.Deadline {
			noteViolation("%s was answered too late", query.Account)
			lateCount++
		}
	}
	var views []*directoryView
	for i := range viewCount {
		viewConfig := config
		viewConfig.Seed = seed + uint64(i)
		endpoints := []string{server.Addr()}
		if i%2 == 1 {
			endpoints = append(endpoints, secondServer.Addr())
		}
		viewConfig.Endpoints = len(endpoints)
		view, err := newDirectoryView(client.Config{Endpoints: endpoints, Base: "dc=pier", PageSize: 500, PagedOnly: i%4 == 1, Core: viewConfig}, onAnswer)
		if err != nil {
			return nil, err
		}
		views = append(views, view)
	}
	defer func() {
		for _, view := range views {
			view.close()
		}
	}()
	ready := func(want int) bool {
		for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			ok := true
			for _, view := range views {
				view.call(func(c *tenants.Core) { ok = ok && c.Size() == want && c.Age() < maxAge })
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
		return nil, fmt.Errorf("expected all views to be complete and fresh within 10 s")
	}
	p.Note("%d entries in %d views after %s", len(entries), viewCount, time.Since(began).Round(time.Millisecond))
	warmedUp.Store(true)
	searches := server.Searches.Load() + secondServer.Searches.Load()
	questions := 0
	faultCounts := map[string]int{}
	var pendingFaults []string
	end := time.Now().Add(duration)
	nextFault := time.Now().Add(300 * time.Millisecond)
	moved := map[int]bool{}
	renamed := 0
	for time.Now().Before(end) {
		for range 40 {
			tenant, member := rng.IntN(tenantCount), rng.IntN(membersPerTenant)
			account := fmt.Sprintf("m%d-%d", tenant, member)
			if rng.IntN(60) == 0 {
				account = fmt.Sprint("nobody-", rng.IntN(50))
			}
			views[rng.IntN(viewCount)].ask(account, []string{"live", "recorded"}[rng.IntN(2)], 2_500_000)
			questions++
		}
		switch tenant, member := rng.IntN(tenantCount), rng.IntN(membersPerTenant); rng.IntN(8) {
		case 0: // delete a member, or restore a deleted one
			key := fmt.Sprintf("m%d-%d", tenant, member)
			mu.Lock()
			if _, deleted := deletedAt[key]; deleted {
				delete(deletedAt, key)
				restoredAt[key] = time.Now()
				store.Put(memberDN(tenant, member), memberAttrs(tenant, member))
			} else {
				store.Delete(memberDN(tenant, member))
				deletedAt[key] = time.Now()
			}
			mu.Unlock()
		case 1:
			store.Put(tenantDN(tenant), tenantAttrs(tenant, 1+rng.IntN(9)))
		case 2: // move a tenant to another organization or back, which changes only its DN
			if renamed++; !moved[tenant] {
				store.Rename(tenantDN(tenant), fmt.Sprintf("cn=tenant-%d,ou=elsewhere,dc=pier", tenant))
			} else {
				store.Rename(fmt.Sprintf("cn=tenant-%d,ou=elsewhere,dc=pier", tenant), tenantDN(tenant))
			}
			moved[tenant] = !moved[tenant]
		case 3: // an entry that cannot be parsed must not replace the previous version
			if !moved[tenant] {
				bad := tenantAttrs(tenant, 1)
				bad["cn"] = []string{fmt.Sprint("tenant-", tenant), "another"}
				store.Put(tenantDN(tenant), bad)
				store.Put(tenantDN(tenant), tenantAttrs(tenant, 2))
			}
		}
		if time.Now().After(nextFault) {
			nextFault = time.Now().Add(time.Duration(200+rng.IntN(500)) * time.Millisecond)
			if len(pendingFaults) == 0 {
				pendingFaults = []string{"cut", "truncate", "busy", "stall", "silent", "forget", "slow", "hang", "well", "well"}
				rng.Shuffle(len(pendingFaults), func(i, j int) { pendingFaults[i], pendingFaults[j] = pendingFaults[j], pendingFaults[i] })
			}
			kind := pendingFaults[0]
			pendingFaults = pendingFaults[1:]
			faultCounts[kind]++
			server.SetFaults(directory.Faults{})
			secondServer.SetFaults(directory.Faults{})
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
				secondServer.SetFaults(directory.Faults{Stall: true})
			}
		}
		time.Sleep(4 * time.Millisecond)
	}
	server.SetFaults(directory.Faults{})
	secondServer.SetFaults(directory.Faults{})
	searchCount := server.Searches.Load() + secondServer.Searches.Load() - searches
	differing, difference := viewCount, ""
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until) && differing > 0; time.Sleep(20 * time.Millisecond) {
		now, _ := store.All()
		differing = 0
		for _, view := range views {
			view.call(func(c *tenants.Core) {
				if text := viewDifference(c, now); text != "" {
					differing++
					difference = text
				}
			})
		}
	}
	mu.Lock()
	slices.Sort(ages)
	n := len(ages)
	p.Note("verdicts: %v; troubles: %v; %d renames", verdictCounts, faultCounts, renamed)
	if firstViolation != "" {
		p.Note("%s", firstViolation)
	}
	if n > 0 {
		p.Note("staleness of decisions: median %.3f s, 99%% %.3f s, most %.3f s", seconds(ages[n/2]), seconds(ages[n*99/100]), seconds(ages[n-1]))
	}
	p.AtLeast(float64(n), 100, "playbacks allowed")
	p.AtMost(float64(overAge), 0, "decisions on entries older than the bound that were not treated as stale")
	p.AtMost(float64(lateCount), 0, "admissions by an entry deleted longer ago than the bound, or answers past their time")
	p.AtMost(float64(lostCount), 0, "members of the directory that were unknown: lost by half an answer")
	mu.Unlock()
	if differing > 0 {
		p.Note("a view differs: %s", difference)
	}
	p.AtMost(float64(differing), 0, "views that differ from the directory after quiet")
	p.AtMost(1000*float64(searchCount)/float64(max(questions, 1)), 200, "searches of the directory for 1,000 playbacks, troubles included")
	p.Judged["questions"], p.Judged["entries"], p.Judged["managers"] = questions, len(entries), viewCount

	// ten thousand viewers with one unknown account arrive at once
	searchesBefore := server.Searches.Load() + secondServer.Searches.Load()
	lookups := func() (n int64) {
		views[0].call(func(c *tenants.Core) { n = c.Counts.Looks })
		return n
	}
	lookupsBefore := lookups()
	for range 10_000 {
		views[0].ask("nobody-at-all", "live", 2_500_000)
	}
	time.Sleep(500 * time.Millisecond)
	p.AtMost(float64(lookups()-lookupsBefore), 1, "look-ups for ten thousand viewers of one unknown account")
	p.Note("searches in that while, synchronisations included: %d", server.Searches.Load()+secondServer.Searches.Load()-searchesBefore)

	// the time that a query takes if the view can answer it
	var warmTimes []time.Duration
	for _, view := range views {
		view.call(func(*tenants.Core) { warmTimes = append(warmTimes, view.warmTimes...) })
	}
	slices.Sort(warmTimes)
	if len(warmTimes) > 0 {
		p.AtMost(float64(warmTimes[len(warmTimes)*99/100].Nanoseconds())/1000, 50, "microseconds that a question of a warm view takes, 99th percentile")
	}

	// the directory stays down: stale entries are used, as AdmitStale allows
	server.Stop()
	secondServer.SetFaults(directory.Faults{Stall: true})
	refusedKnown := 0
	restoredCore := tenants.New(tenants.Config{Seed: 1, MaxAge: 1, SyncInterval: 1_000_000, Timeout: 400_000, MaxWaiting: 10, MaxLookups: 1, AdmitStale: true}, edge.Now())
	var records []tenants.Record
	var checkpoint tenants.Checkpoint
	var asOf Time
	views[0].call(func(c *tenants.Core) { records, checkpoint, asOf = c.Records() })
	restoredCore.Restore(records, checkpoint, asOf)
	restoredCore.SetTime(edge.Now() + 10_000_000)
	for i, record := range records {
		if record.Kind == tenants.Member {
			if answer := restoredCore.Ask(tenants.Query{ID: i, Account: record.Name, Plan: "live", Deadline: edge.Now() + 20_000_000}); answer.Verdict != tenants.Allowed {
				refusedKnown++
			}
		}
	}
	p.AtMost(float64(refusedKnown), 0, "playbacks of known members lost with the directory down, where the terms admit")
	server, err = directory.Serve("127.0.0.1:0", store) // so that the deferred Stop has a running server
	if err != nil {
		return nil, err
	}
	if err := p.proveAccessDay(seed, size, log); err != nil {
		return nil, err
	}
	return p, p.measureEntryMemory(size)
}

// viewDifference describes the first difference between a view and the directory, or returns "" if there is none.
func viewDifference(core *tenants.Core, entries []*directory.Entry) string {
	records, _, asOf := core.Records()
	if len(records) != len(entries) {
		return fmt.Sprintf("%d entries of %d, as of %.1f s ago, %+v", len(records), len(entries), seconds(edge.Now()-asOf), core.Counts)
	}
	byID := map[string]*directory.Entry{}
	for _, entry := range entries {
		byID[directory.FormatUUID(entry.UUID)] = entry
	}
	for _, record := range records {
		entry := byID[record.ID]
		if entry == nil {
			return record.Name + " is not there"
		}
		name := "cn"
		if record.Kind == tenants.Member {
			name = "uid"
		} else if fmt.Sprint(record.Weight) != entry.Attrs["pierlinkweight"][0] {
			return fmt.Sprintf("%s has weight %g, not %v, as of %.1f s ago, %+v", record.Name, record.Weight, entry.Attrs["pierlinkweight"], seconds(edge.Now()-asOf), core.Counts)
		}
		if entry.Attrs[name][0] != record.Name {
			return record.Name + " is not " + entry.Attrs[name][0]
		}
	}
	return ""
}

// measureEntryMemory fills a view with many entries, as a synchronization does, and measures the memory per entry.
func (p *Proof) measureEntryMemory(size Size) error {
	entryCount := 100_000
	switch size {
	case Small:
		entryCount = 20_000
	case Full:
		entryCount = 1_000_000
	}
	var memoryBefore, memoryAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memoryBefore)
	core := tenants.New(tenants.Config{MaxAge: 1 << 50, SyncInterval: 1 << 50, Timeout: 1 << 40, MaxWaiting: 10, MaxLookups: 1, MaxEntries: 2 * entryCount}, 1)
	attempt := 0
	core.Process(func(w tenants.Request) { attempt = w.Attempt }, func(tenants.Answer) {}, func(tenants.Record) {})
	began := time.Now()
	for i := range entryCount {
		record := tenants.Record{ID: fmt.Sprintf("00000000-0000-0000-0000-%012d", i), DN: fmt.Sprintf("uid=m%d,cn=tenant-%d,dc=pier", i, i%1000), Kind: tenants.Member,
			Name: fmt.Sprint("m", i), Tenant: fmt.Sprint("tenant-", i%1000)}
		if i < 1000 {
			record.Kind, record.Name, record.Plans = tenants.Tenant, fmt.Sprint("tenant-", i), []string{"live"}
		}
		core.HandleEntry(attempt, record)
	}
	core.HandleRefreshed(attempt, []byte("c"), true, true)
	elapsed := time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&memoryAfter)
	if core.Size() != entryCount {
		return fmt.Errorf("the view holds %d entries, expected %d", core.Size(), entryCount)
	}
	p.Note("%d entries: %.0f bytes each, taken in within %s", entryCount, float64(memoryAfter.HeapAlloc-memoryBefore.HeapAlloc)/float64(entryCount), elapsed.Round(time.Millisecond))
	p.Judged["entries held at once"] = entryCount
	runtime.KeepAlive(core)
	return nil
}
