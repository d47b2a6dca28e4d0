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

// registryFollower is one manager's view of the registry, built from its client's updates alone, together with the
// checker's findings on these updates.
type registryFollower struct {
	mu            sync.Mutex
	store         *standin.Store
	client        *client.Client
	view          map[string]registry.Entry
	checksum      uint64
	revision      int64
	history       registry.HistoryID
	updates       int             // received
	unknownStates int             // states that the registry never had
	duplicates    int             // changes applied twice
	regressions   int             // revisions lower than an earlier one of the same history
	delays        []time.Duration // from the commit of a change to its arrival by a watch
	firstUnknown  string          // describes the first unknown state
}

// apply applies an update to the view and checks the result against the states that the registry had.
func (f *registryFollower) apply(update registry.Update, history registry.HistoryID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates++
	if history == f.history && update.Revision < f.revision {
		f.regressions++
	}
	if update.Snapshot {
		f.view, f.checksum = map[string]registry.Entry{}, 0
	}
	for _, change := range update.Changes {
		if previous, ok := f.view[change.Key]; ok {
			if previous.Mod >= change.Mod {
				f.duplicates++
			}
			f.checksum -= standin.Checksum(change.Key, previous.Value, previous.Mod)
			delete(f.view, change.Key)
		}
		if !change.Deleted {
			f.view[change.Key] = registry.Entry{Value: change.Value, Mod: change.Mod}
			f.checksum += standin.Checksum(change.Key, change.Value, change.Mod)
		}
	}
	f.revision, f.history = update.Revision, history
	if !f.store.HadState(string(history), update.Revision, f.checksum) {
		f.unknownStates++
		if f.firstUnknown == "" {
			f.firstUnknown = fmt.Sprintf("revision %d of %s (whole %t, %d changes)", update.Revision, history, update.Snapshot, len(update.Changes))
		}
	}
	if committedAt := f.store.CommittedAt(string(history), update.Revision); !update.Snapshot && !committedAt.IsZero() {
		f.delays = append(f.delays, time.Since(committedAt))
	}
}

// proveRegistry plays a day through the simulated registry. It then follows a stand-in registry over loopback with
// several clients while the registry is compacted, cut off, stalled, restarted and replaced by one with another
// history. All views must agree with the registry in the end, and must not have had a state that it never had.
func proveRegistry(seed uint64, size Size, log *zap.Logger) (*Proof, error) {
	p := &Proof{Name: "registry", Seed: seed, Judged: map[string]int{}}
	day, err := Library("registry")
	if err != nil {
		return nil, err
	}
	day.Seed = seed
	if size == Small {
		day = day.withRateFactor(0.4)
	}
	play, recording, _ := RunVirtual(day, nil, log)
	p.Note("the day through the registry: %s", play.Tally.Summary())
	p.checkRules(CheckRules(recording, day.Bounds(0)))
	p.AtMost(float64(play.Tally.Crashes), 0, "boxes pushed over on the day through the registry")
	p.AtLeast(float64(play.Tally.Played)/float64(max(play.Tally.Attempts, 1)), 0.4, "part of its askings that played")
	changeTarget, managerCount, boxCount := 40_000, 20, 300
	switch size {
	case Small:
		changeTarget, managerCount = 8_000, 8
	case Full:
		changeTarget = 200_000
	}
	rng := rand.New(rand.NewPCG(seed, 0x2e9))
	store := standin.NewStore(7, "history-0", registry.HistoryKey)
	server, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		return nil, err
	}
	addr := server.Addr()
	secondServer, err := standin.Serve("127.0.0.1:0", store) // a second member, which answers only at times
	if err != nil {
		return nil, err
	}
	secondAddr := secondServer.Addr()
	defer func() { secondServer.Stop(); server.Stop() }()
	var followers []*registryFollower
	for i := range managerCount {
		follower := &registryFollower{store: store, view: map[string]registry.Entry{}}
		endpoints := []string{addr}
		if i%4 == 0 {
			endpoints = append(endpoints, secondServer.Addr())
		}
		follower.client, err = client.New(client.Config{Endpoints: endpoints, Core: registry.Config{Seed: seed + uint64(i), GracePeriod: 250_000,
			Timeout: 400_000, MaxBufferedChanges: 1 << 20}}, zap.NewNop(), follower.apply)
		if err != nil {
			return nil, err
		}
		defer follower.client.Close()
		followers = append(followers, follower)
	}
	const leasedCount = 20 // boxes that register themselves, and register again when their leases expire
	ctx, cancel := context.WithCancel(context.Background())
	var registered sync.WaitGroup
	defer registered.Wait()
	defer cancel()
	for i := range leasedCount {
		registered.Add(1)
		go func() {
			defer registered.Done()
			client.Register(ctx, client.Config{Endpoints: []string{addr}, Core: registry.Config{Timeout: 400_000}},
				registry.BoxesPrefix+fmt.Sprint("leased-", i), func() []byte { return []byte("{}") }, nil, 2, zap.NewNop())
		}()
	}
	troubleCounts := map[string]int{}
	var pendingTroubles []string
	historyCount := 0
	untilTrouble := 0
	for store.ChangeCount() < int64(changeTarget) {
		changesByKey := map[string][]byte{}
		for range 1 + rng.IntN(8) {
			box := registry.Box{Address: fmt.Sprintf("127.0.0.1:%d", 1000+rng.IntN(9000)), Zone: "z", Kind: "std", Weight: 1, State: "ready"}
			key := registry.BoxesPrefix + fmt.Sprint("box-", rng.IntN(boxCount))
			if changesByKey[key] = box.Encode(); rng.IntN(6) == 0 {
				changesByKey[key] = nil
			}
		}
		store.Put(changesByKey)
		store.ExpireLeases(false)
		if untilTrouble--; untilTrouble > 0 {
			if rng.IntN(4) == 0 {
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Microsecond)
			}
			continue
		}
		untilTrouble = 150 + rng.IntN(300)
		if len(pendingTroubles) == 0 { // each comes up before any is repeated
			pendingTroubles = []string{"compact", "compact", "cut", "cut", "stall", "new history", "restart", "hang", "lose", "freeze", "freeze"}
			rng.Shuffle(len(pendingTroubles), func(i, j int) { pendingTroubles[i], pendingTroubles[j] = pendingTroubles[j], pendingTroubles[i] })
		}
		kind := pendingTroubles[0]
		pendingTroubles = pendingTroubles[1:]
		troubleCounts[kind]++
		switch kind {
		case "compact":
			_, revision, _ := store.State()
			store.Compact(revision - int64(rng.IntN(200)))
		case "cut":
			server.CloseConnections()
			if rng.IntN(2) == 0 { // and compact away the revision to resume from
				store.Put(map[string][]byte{registry.BoxesPrefix + "box-0": []byte("x")})
				_, revision, _ := store.State()
				store.Compact(revision)
			}
		case "stall":
			server.Hang(true)
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			server.Hang(false)
		case "hang":
			secondServer.Hang(rng.IntN(2) == 0)
		case "freeze":
			secondServer.Freeze(rng.IntN(2) == 0)
		case "lose":
			store.ExpireLeases(true)
		case "new history", "restart":
			server.Stop()
			if kind == "new history" { // at a lower or slightly higher revision, with the same cluster ID or another
				historyCount++
				_, revision, _ := store.State()
				store.Reset(7+uint64(rng.IntN(2)), fmt.Sprint("history-", historyCount), registry.HistoryKey, max(1, revision+int64(rng.IntN(400))-200))
				for range rng.IntN(50) {
					store.Put(map[string][]byte{registry.BoxesPrefix + fmt.Sprint("box-", rng.IntN(boxCount)): []byte("y")})
				}
			}
			for range 100 { // the port may still be in use for a short time
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
	secondServer.Hang(false)
	secondServer.Freeze(true) // clients that watch there must not stay behind
	store.Put(map[string][]byte{registry.BoxesPrefix + "box-0": []byte("last")})
	lagging, reregistered := managerCount, 0
	quietSince := time.Now()
	for time.Since(quietSince) < 15*time.Second && (lagging > 0 || reregistered < leasedCount) {
		time.Sleep(50 * time.Millisecond)
		epoch, revision, checksum := store.State()
		lagging, reregistered = 0, store.CountPrefix(registry.BoxesPrefix+"leased-")
		for _, follower := range followers {
			follower.mu.Lock()
			if string(follower.history) != epoch || follower.revision != revision || follower.checksum != checksum {
				lagging++
			}
			follower.mu.Unlock()
		}
	}
	settleTime := time.Since(quietSince)
	outages := 10
	if size == Small {
		outages = 4
	}
	listCount := func() (count int64) {
		for _, follower := range followers {
			follower.client.WithCore(func(c *registry.Core) { count += c.Counts.Lists })
		}
		return count
	}
	secondServer.Freeze(false)
	listsBefore := listCount()
	var recoveryRatios []float64
	for i := range outages { // nothing is compacted during an outage, so that watches can resume
		server.Stop()
		secondServer.Stop()
		outageBegan := time.Now()
		for until := outageBegan.Add(time.Duration(100+rng.IntN(900)) * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			store.Put(map[string][]byte{registry.BoxesPrefix + fmt.Sprint("box-", rng.IntN(boxCount)): fmt.Append(nil, "break ", i)})
		}
		outageTime := time.Since(outageBegan)
		for _, member := range []struct {
			slot **standin.Server
			addr string
		}{{&server, addr}, {&secondServer, secondAddr}} {
			for range 100 {
				if *member.slot, err = standin.Serve(member.addr, store); err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if err != nil {
				return nil, err
			}
		}
		returnedAt := time.Now()
		for notEqual := managerCount; notEqual > 0 && time.Since(returnedAt) < 10*time.Second; time.Sleep(time.Millisecond) {
			_, revision, checksum := store.State()
			notEqual = 0
			for _, follower := range followers {
				follower.mu.Lock()
				if follower.revision != revision || follower.checksum != checksum {
					notEqual++
				}
				follower.mu.Unlock()
			}
		}
		recoveryRatios = append(recoveryRatios, time.Since(returnedAt).Seconds()/outageTime.Seconds())
		p.Note("away for %s: every view equal %s after the return", outageTime.Round(time.Millisecond), time.Since(returnedAt).Round(time.Millisecond))
	}
	relists := listCount() - listsBefore
	slices.Sort(recoveryRatios)
	var unknownStates, duplicates, regressions, updates int
	var delays []time.Duration
	var counts registry.Counts
	for _, follower := range followers {
		follower.mu.Lock()
		unknownStates, duplicates, regressions, updates = unknownStates+follower.unknownStates, duplicates+follower.duplicates, regressions+follower.regressions, updates+follower.updates
		delays = append(delays, follower.delays...)
		if follower.firstUnknown != "" {
			p.Note("never: %s", follower.firstUnknown)
		}
		follower.mu.Unlock()
		follower.client.WithCore(func(c *registry.Core) {
			total, part := &counts, &c.Counts
			total.Lists, total.Watches, total.Compactions, total.Histories = total.Lists+part.Lists, total.Watches+part.Watches, total.Compactions+part.Compactions, total.Histories+part.Histories
			total.Lower, total.Duplicates, total.Guarded, total.Refuted, total.Failures = total.Lower+part.Lower, total.Duplicates+part.Duplicates, total.Guarded+part.Guarded, total.Refuted+part.Refuted, total.Failures+part.Failures
			total.Stale, total.Overfull = total.Stale+part.Stale, total.Overfull+part.Overfull
		})
	}
	p.AtMost(float64(relists), 0, "lists after breaks over which watches could go on")
	p.AtMost(recoveryRatios[len(recoveryRatios)/2], 4, "time to every view after a break, over the break's length, median")
	slices.Sort(delays)
	p.Judged["news"], p.Judged["changes"], p.Judged["managers"] = updates, int(store.ChangeCount()), managerCount
	for kind, count := range troubleCounts {
		p.Judged[kind] = count
	}
	p.AtMost(float64(lagging), 0, "views that differ from the registry's final state after quiet")
	p.AtLeast(float64(reregistered), leasedCount, "boxes with leases that are registered again after quiet")
	p.AtMost(float64(unknownStates), 0, "states that the registry never had")
	p.AtMost(float64(duplicates), 0, "changes applied twice")
	p.AtMost(float64(regressions), 0, "revisions that went back within a history")
	p.AtLeast(float64(store.ChangeCount()), float64(changeTarget), "changes made")
	if count := len(delays); count > 0 {
		p.Note("from a change to the view by a watch: median %s, 99%% %s (the breaks and stalls included)", delays[count/2], delays[count*99/100])
	}
	p.Note("all views equal %s after the last change; %d histories; %v", settleTime.Round(time.Millisecond), historyCount+1, troubleCounts)
	p.Note("%+v", counts)
	return p, nil
}
