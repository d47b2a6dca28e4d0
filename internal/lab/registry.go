package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/registry"
	"pierlink/internal/registry/client"
	standin "pierlink/internal/standin/registry"
)

// follower is one manager's view of the registry, made of its news alone, and what the checker holds
// against it.
type registryFollower struct {
	mu            sync.Mutex
	store         *standin.Store
	client        *client.Client
	view          map[string]registry.Entry
	checksum      uint64
	revision      int64
	history       registry.HistoryID
	updates       int
	unknownStates int             // states that the registry never had
	duplicates    int             // changes applied twice
	regressions   int             // revisions that went back within a history
	delays        []time.Duration // from a change to the view, of news that came by a watch
	firstBad      string
}

func (f *registryFollower) apply(n registry.Update, mark registry.HistoryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates++
	if mark == f.history && n.Revision < f.revision {
		f.regressions++
	}
	if n.Snapshot {
		f.view, f.checksum = map[string]registry.Entry{}, 0
	}
	for _, x := range n.Changes {
		if old, ok := f.view[x.Key]; ok {
			if old.Mod >= x.Mod {
				f.duplicates++
			}
			f.checksum -= standin.Checksum(x.Key, old.Value, old.Mod)
			delete(f.view, x.Key)
		}
		if !x.Deleted {
			f.view[x.Key] = registry.Entry{Value: x.Value, Mod: x.Mod}
			f.checksum += standin.Checksum(x.Key, x.Value, x.Mod)
		}
	}
	f.revision, f.history = n.Revision, mark
	if !f.store.HadState(string(mark), n.Revision, f.checksum) {
		f.unknownStates++
		if f.firstBad == "" {
			f.firstBad = fmt.Sprintf("revision %d of %s (whole %t, %d changes)", n.Revision, mark, n.Snapshot, len(n.Changes))
		}
	}
	if born := f.store.CommittedAt(string(mark), n.Revision); !n.Snapshot && !born.IsZero() {
		f.delays = append(f.delays, time.Since(born))
	}
}

func proveRegistry(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "registry", Seed: seed, Judged: map[string]int{}}
	d, err := Library("registry")
	if err != nil {
		return nil, err
	}
	d.Seed = seed
	if size == Small {
		d = d.withRateFactor(0.4)
	}
	play, tape, _ := Virtual(d, nil, log)
	p.Note("the day through the registry: %s", play.Tally.Summary())
	p.checkRules(Judge(tape, d.Bounds(0)))
	p.AtMost(float64(play.Tally.Fell), 0, "boxes pushed over on the day through the registry")
	p.AtLeast(float64(play.Tally.Played)/float64(max(play.Tally.Asked, 1)), 0.4, "part of its askings that played")
	changes, managers, boxes := 40_000, 20, 300
	switch size {
	case Small:
		changes, managers = 8_000, 8
	case Full:
		changes = 200_000
	}
	rng := rand.New(rand.NewPCG(seed, 0x2e9))
	store := standin.NewStore(7, "history-0", registry.HistoryKey)
	server, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		return nil, err
	}
	addr := server.Addr()
	hanging, err := standin.Serve("127.0.0.1:0", store) // a second member that answers now and then
	if err != nil {
		return nil, err
	}
	second := hanging.Addr()
	defer func() { hanging.Stop(); server.Stop() }()
	var all []*registryFollower
	for i := range managers {
		f := &registryFollower{store: store, view: map[string]registry.Entry{}}
		ends := []string{addr}
		if i%4 == 0 {
			ends = append(ends, hanging.Addr())
		}
		f.client, err = client.New(client.Config{Endpoints: ends, Core: registry.Config{Seed: seed + uint64(i), GracePeriod: 250_000,
			Timeout: 400_000, MaxBufferedChanges: 1 << 20}}, zap.NewNop(), f.apply)
		if err != nil {
			return nil, err
		}
		defer f.client.Close()
		all = append(all, f)
	}
	const leased = 20 // boxes that register themselves, and do so again when their leases are lost
	ctx, cancel := context.WithCancel(context.Background())
	var registered sync.WaitGroup
	defer registered.Wait()
	defer cancel()
	for i := range leased {
		registered.Add(1)
		go func() {
			defer registered.Done()
			client.Register(ctx, client.Config{Endpoints: []string{addr}, Core: registry.Config{Timeout: 400_000}},
				registry.BoxesPrefix+fmt.Sprint("leased-", i), func() []byte { return []byte("{}") }, nil, 2, zap.NewNop())
		}()
	}
	kinds := map[string]int{}
	var bag []string
	epochs := 0
	next := 0
	for store.ChangeCount() < int64(changes) {
		txn := map[string][]byte{}
		for range 1 + rng.IntN(8) {
			b := registry.Box{Address: fmt.Sprintf("127.0.0.1:%d", 1000+rng.IntN(9000)), Zone: "z", Kind: "std", Weight: 1, State: "ready"}
			key := registry.BoxesPrefix + fmt.Sprint("box-", rng.IntN(boxes))
			if txn[key] = b.Encode(); rng.IntN(6) == 0 {
				txn[key] = nil
			}
		}
		store.Put(txn)
		store.ExpireLeases(false)
		if next--; next > 0 {
			if rng.IntN(4) == 0 {
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Microsecond)
			}
			continue
		}
		next = 150 + rng.IntN(300)
		if len(bag) == 0 { // each comes up before any comes again
			bag = []string{"compact", "compact", "cut", "cut", "stall", "new history", "restart", "hang", "lose", "freeze", "freeze"}
			rng.Shuffle(len(bag), func(i, j int) { bag[i], bag[j] = bag[j], bag[i] })
		}
		kind := bag[0]
		bag = bag[1:]
		kinds[kind]++
		switch kind {
		case "compact":
			_, rev, _ := store.State()
			store.Compact(rev - int64(rng.IntN(200)))
		case "cut":
			server.CloseConnections()
			if rng.IntN(2) == 0 { // and what they would resume from is gone
				store.Put(map[string][]byte{registry.BoxesPrefix + "box-0": []byte("x")})
				_, rev, _ := store.State()
				store.Compact(rev)
			}
		case "stall":
			server.Hang(true)
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			server.Hang(false)
		case "hang":
			hanging.Hang(rng.IntN(2) == 0)
		case "freeze":
			hanging.Freeze(rng.IntN(2) == 0)
		case "lose":
			store.ExpireLeases(true)
		case "new history", "restart":
			server.Stop()
			if kind == "new history" { // lower, or soon past what was seen, with the same cluster id or another
				epochs++
				_, rev, _ := store.State()
				store.Reset(7+uint64(rng.IntN(2)), fmt.Sprint("history-", epochs), registry.HistoryKey, max(1, rev+int64(rng.IntN(400))-200))
				for range rng.IntN(50) {
					store.Put(map[string][]byte{registry.BoxesPrefix + fmt.Sprint("box-", rng.IntN(boxes)): []byte("y")})
				}
			}
			for range 100 { // the port may be taken for a moment
				if server, err = standin.Serve(addr, store); err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if err != nil {
				return nil, err
			}
		}
	}
	hanging.Hang(false)
	hanging.Freeze(true) // those that watch there may not stay behind
	store.Put(map[string][]byte{registry.BoxesPrefix + "box-0": []byte("last")})
	behind, again := managers, 0
	quiet := time.Now()
	for time.Since(quiet) < 15*time.Second && (behind > 0 || again < leased) {
		time.Sleep(50 * time.Millisecond)
		epoch, rev, sum := store.State()
		behind, again = 0, store.CountPrefix(registry.BoxesPrefix+"leased-")
		for _, f := range all {
			f.mu.Lock()
			if string(f.history) != epoch || f.revision != rev || f.checksum != sum {
				behind++
			}
			f.mu.Unlock()
		}
	}
	took := time.Since(quiet)
	breaks := 10
	if size == Small {
		breaks = 4
	}
	lists := func() (n int64) {
		for _, f := range all {
			f.client.WithCore(func(c *registry.Core) { n += c.Counts.Lists })
		}
		return n
	}
	hanging.Freeze(false)
	before := lists()
	var parts []float64
	for i := range breaks { // while the registry is away it forgets nothing that a watch would go on from
		server.Stop()
		hanging.Stop()
		away := time.Now()
		for until := away.Add(time.Duration(100+rng.IntN(900)) * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			store.Put(map[string][]byte{registry.BoxesPrefix + fmt.Sprint("box-", rng.IntN(boxes)): fmt.Append(nil, "break ", i)})
		}
		length := time.Since(away)
		for _, x := range []struct {
			s    **standin.Server
			addr string
		}{{&server, addr}, {&hanging, second}} {
			for range 100 {
				if *x.s, err = standin.Serve(x.addr, store); err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if err != nil {
				return nil, err
			}
		}
		back := time.Now()
		for left := managers; left > 0 && time.Since(back) < 10*time.Second; time.Sleep(time.Millisecond) {
			_, rev, sum := store.State()
			left = 0
			for _, f := range all {
				f.mu.Lock()
				if f.revision != rev || f.checksum != sum {
					left++
				}
				f.mu.Unlock()
			}
		}
		parts = append(parts, time.Since(back).Seconds()/length.Seconds())
		p.Note("away for %s: every view equal %s after the return", length.Round(time.Millisecond), time.Since(back).Round(time.Millisecond))
	}
	relists := lists() - before
	slices.Sort(parts)
	var never, twice, back, news int
	var delays []time.Duration
	var counts registry.Counts
	for _, f := range all {
		f.mu.Lock()
		never, twice, back, news = never+f.unknownStates, twice+f.duplicates, back+f.regressions, news+f.updates
		delays = append(delays, f.delays...)
		if f.firstBad != "" {
			p.Note("never: %s", f.firstBad)
		}
		f.mu.Unlock()
		f.client.WithCore(func(c *registry.Core) {
			x, y := &counts, &c.Counts
			x.Lists, x.Watches, x.Compactions, x.Histories = x.Lists+y.Lists, x.Watches+y.Watches, x.Compactions+y.Compactions, x.Histories+y.Histories
			x.Lower, x.Duplicates, x.Guarded, x.Refuted, x.Failures = x.Lower+y.Lower, x.Duplicates+y.Duplicates, x.Guarded+y.Guarded, x.Refuted+y.Refuted, x.Failures+y.Failures
			x.Stale, x.Overfull = x.Stale+y.Stale, x.Overfull+y.Overfull
		})
	}
	p.AtMost(float64(relists), 0, "lists after breaks over which watches could go on")
	p.AtMost(parts[len(parts)/2], 4, "time to every view after a break, over the break's length, median")
	slices.Sort(delays)
	p.Judged["news"], p.Judged["changes"], p.Judged["managers"] = news, int(store.ChangeCount()), managers
	for k, n := range kinds {
		p.Judged[k] = n
	}
	p.AtMost(float64(behind), 0, "views that differ from the registry's final state after quiet")
	p.AtLeast(float64(again), leased, "boxes with leases that are registered again after quiet")
	p.AtMost(float64(never), 0, "states that the registry never had")
	p.AtMost(float64(twice), 0, "changes applied twice")
	p.AtMost(float64(back), 0, "revisions that went back within a history")
	p.AtLeast(float64(store.ChangeCount()), float64(changes), "changes made")
	if n := len(delays); n > 0 {
		p.Note("from a change to the view by a watch: median %s, 99%% %s (the breaks and stalls included)", delays[n/2], delays[n*99/100])
	}
	p.Note("all views equal %s after the last change; %d histories; %v", took.Round(time.Millisecond), epochs+1, kinds)
	p.Note("%+v", counts)
	return p, nil
}
