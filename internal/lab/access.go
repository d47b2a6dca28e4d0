package lab

import (
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/front"
	"pierlink/internal/standin/authority"
	"pierlink/internal/standin/directory"
	"pierlink/internal/standin/player"
	"pierlink/internal/tenants"
	"pierlink/internal/tenants/client"
)

const realm = "pier"

// accessDay adds access control to a day that is played on loopback sockets. Its session managers learn from an LDAP
// directory who may play. Each of them has a plain listener, a TLS listener and a directory view of its own. The type
// keeps the history of each account's credentials and judges the viewers' results by it.
type accessDay struct {
	tenantConfig tenants.Config
	store        *directory.Store
	servers      [2]*directory.Server
	authority    *authority.Authority
	tlsConfig    *tls.Config
	rng          *rand.Rand
	env          *LoopbackEnvironment
	tenants      int
	members      int // per tenant

	mu          sync.Mutex
	views       map[string]*accessView     // by session manager
	tlsAddrs    map[string]string          // addresses of the TLS listeners, by those of the plain ones
	history     map[string][]credential    // by account, oldest first
	kinds       map[*player.Profile]string // of viewers, such as "right" or "wrong"
	statuses    map[string]map[int]int     // result counts by kind and status; status 0 is a playback that played
	answerTimes map[string][]Time          // from the request to a 401 answer, by kind
	misjudged   [2]int                     // wrongly admitted, wrongly refused
	violations  []string                   // descriptions of the misjudged playbacks
	faultCounts map[string]int
	changes     int
	counts      tenants.Counts // of managers that have ended
}

// credential is an account's password from a time on.
type credential struct {
	since    Time
	password string // empty if the account does not exist
}

// accessView is one session manager's directory view and its client.
type accessView struct {
	core   *tenants.Core
	client *client.Client
	loop   edge.DeferredLoop
}

func (v *accessView) post(call func(*tenants.Core)) {
	v.loop.Post(func() { call(v.core) })
}

func newAccessDay(seed uint64, tenantCount, membersPerTenant int) (*accessDay, error) {
	day := &accessDay{rng: rand.New(rand.NewPCG(seed, 0xd00f)), store: directory.NewStore(), tenants: tenantCount, members: membersPerTenant, views: map[string]*accessView{},
		tlsAddrs: map[string]string{}, history: map[string][]credential{}, kinds: map[*player.Profile]string{}, statuses: map[string]map[int]int{},
		answerTimes: map[string][]Time{}, faultCounts: map[string]int{},
		tenantConfig: tenants.Config{Seed: seed, MaxAge: 3_000_000, SyncInterval: 500_000, Timeout: 300_000, NegativeTTL: 500_000, MaxWaiting: 5000, MaxLookups: 4,
			MaxEntries: 1 << 16, Endpoints: 2}}
	for tenant := range tenantCount {
		day.store.Put(tenantDN(tenant), tenantAttrs(tenant, 1+tenant%3))
		for member := range membersPerTenant {
			day.putMember(fmt.Sprintf("m%d-%d", tenant, member), memberDN(tenant, member), memberAttrs(tenant, member), 1)
		}
	}
	var err error
	for i := range day.servers {
		if day.servers[i], err = directory.Serve("127.0.0.1:0", day.store); err != nil {
			return nil, err
		}
	}
	day.servers[1].SetFaults(directory.Faults{NoSync: true}) // has to be polled
	if day.authority, err = authority.New(); err != nil {
		return nil, err
	}
	keyPair, err := day.authority.IssueKeyPair()
	day.tlsConfig = &tls.Config{Certificates: []tls.Certificate{keyPair}}
	return day, err
}

// putMember stores a member with the password of a generation, or deletes it if the generation is 0.
func (day *accessDay) putMember(account, dn string, attrs map[string][]string, generation int) {
	password := ""
	if generation > 0 {
		password = fmt.Sprintf("%s/%d", account, generation)
		attrs["pierlinkPlan"] = []string{"live-lesson", "recorded-lesson", "rent-record", "master-class"}
		attrs["pierlinkDigest"] = []string{player.HA1(realm, account, password, sha256.New)}
		day.store.Put(dn, attrs)
	} else {
		day.store.Delete(dn)
	}
	day.history[account] = append(day.history[account], credential{edge.Now(), password})
}

// Sets up the directory view of a session manager that starts. A view from an earlier run of the same manager is
// closed.
func (day *accessDay) attachView(config *front.Config, seed uint64) error {
	day.mu.Lock()
	defer day.mu.Unlock()
	day.closeView(config.Name)
	view := &accessView{}
	tenantConfig := day.tenantConfig
	tenantConfig.Seed = seed
	view.core = tenants.New(tenantConfig, edge.Now())
	var err error
	view.client, err = client.New(client.Config{Endpoints: []string{day.servers[0].Addr(), day.servers[1].Addr()}, Base: "dc=pier", PageSize: 100, Core: tenantConfig},
		view.post, zap.NewNop())
	if err != nil {
		return err
	}
	day.views[config.Name] = view
	config.Access = &front.AccessControl{Core: view.core, Lookup: view.client.Do, Realm: realm, Basic: true, FailedLogins: tenants.FailureLimiter{HalfLife: tenantConfig.MaxAge, Seed: uint32(seed)}}
	return nil
}

// closeView closes a session manager's view, if it has one, and adds its counts to the totals. The manager's loop must
// have ended, as the counts are read without synchronization.
func (day *accessDay) closeView(name string) {
	if view := day.views[name]; view != nil {
		go view.client.Close()
		counts := &view.core.Counts // safe to read: its loop has ended
		day.counts.Looks, day.counts.Syncs, day.counts.Polls, day.counts.Lists = day.counts.Looks+counts.Looks, day.counts.Syncs+counts.Syncs, day.counts.Polls+counts.Polls, day.counts.Lists+counts.Lists
	}
}

// Opens the TLS listener of a session manager that has started.
func (day *accessDay) listenTLS(name string) error {
	day.mu.Lock()
	defer day.mu.Unlock()
	host := day.env.host(name)
	day.views[name].loop.Bind(host.loop)
	addr := day.tlsAddrs[host.addr]
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	if err := host.loop.Listen(addr, day.tlsConfig); err != nil {
		return err
	}
	day.tlsAddrs[host.addr] = host.loop.SecureAddr()
	day.env.hostNames[day.tlsAddrs[host.addr]] = name
	return nil
}

// Gives a viewer an account and a password. Most viewers use valid ones.
func (day *accessDay) assignIdentity(profile *player.Profile) {
	day.mu.Lock()
	defer day.mu.Unlock()
	tenant, member := day.rng.IntN(day.tenants), day.rng.IntN(day.members)
	account := fmt.Sprintf("m%d-%d", tenant, member)
	kind := "right"
	history := day.history[account]
	profile.Account, profile.Password = account, history[len(history)-1].password
	profile.SourceAddr = fmt.Sprintf("127.1.%d.%d", tenant+1, member+1)
	switch n := day.rng.IntN(100); {
	case profile.Password == "":
		kind, profile.Password = "gone", "x"
	case n < 4:
		kind, profile.Password = "wrong", "no"
	case n < 8: // guesses the passwords of many accounts from one address
		kind, profile.Password, profile.SourceAddr = "guesser", "1234", "127.9.9.9"
	case n < 12:
		kind, profile.Account = "unknown", fmt.Sprint("nobody-", day.rng.IntN(1000))
	case n < 14:
		kind, profile.Account = "nobody", ""
	}
	if day.rng.IntN(3) == 0 {
		profile.Secure = true
		for i, addr := range profile.Fronts {
			profile.Fronts[i] = day.tlsAddrs[addr]
		}
		profile.Basic = day.rng.IntN(2) == 0
	}
	day.kinds[profile] = kind
}

// Judges a viewer's result by the history of the account.
func (day *accessDay) judgeResult(profile *player.Profile, result *player.Result) {
	day.mu.Lock()
	defer day.mu.Unlock()
	kind := day.kinds[profile]
	if result.AnsweredAt == 0 && result.StartupTime == 0 || !result.Connected {
		return
	}
	played := result.StartupTime > 0 || result.Status == 0
	if day.statuses[kind] == nil {
		day.statuses[kind] = map[int]int{}
	}
	day.statuses[kind][result.Status]++
	if result.Status == 401 {
		day.answerTimes[kind] = append(day.answerTimes[kind], result.AnsweredAt-result.StartedAt)
	}
	answeredAt := max(result.AnsweredAt, result.StartedAt+result.StartupTime)
	valid, always := false, true // valid: the password was right at some time within the staleness bound; always: it was never wrong in that time
	history := day.history[profile.Account]
	for i, entry := range history {
		end := farFuture
		if i+1 < len(history) {
			end = history[i+1].since
		}
		if end < result.StartedAt-day.tenantConfig.MaxAge || entry.since > answeredAt {
			continue
		}
		if entry.password != "" && entry.password == profile.Password {
			valid = true
		} else {
			always = false
		}
	}
	switch {
	case played && !valid:
		day.misjudged[0]++
		day.violations = append(day.violations, fmt.Sprintf("%s played as %s (%s)", result.ID, profile.Account, kind))
	case (result.Status == 401 || result.Status == 403) && valid && always:
		day.misjudged[1]++
		day.violations = append(day.violations, fmt.Sprintf("%s got %d as %s (%s, TLS %v, password %v)", result.ID, result.Status, profile.Account, kind, profile.Secure, profile.Basic))
	}
}

// changeDirectory changes a random member and sometimes a tenant.
func (day *accessDay) changeDirectory() {
	day.mu.Lock()
	defer day.mu.Unlock()
	day.changes++
	tenant, member := day.rng.IntN(day.tenants), day.rng.IntN(day.members)
	account := fmt.Sprintf("m%d-%d", tenant, member)
	generation := len(day.history[account]) + 1
	if history := day.history[account]; history[len(history)-1].password != "" && day.rng.IntN(2) == 0 {
		generation = 0
	}
	day.putMember(account, memberDN(tenant, member), memberAttrs(tenant, member), generation)
	if day.rng.IntN(4) == 0 {
		day.store.Put(tenantDN(tenant), tenantAttrs(tenant, 1+day.rng.IntN(9)))
	}
}

// injectFault puts the directory servers into the next fault of a shuffled sequence, in which each fault comes up
// before any is repeated.
func (day *accessDay) injectFault(pendingFaults *[]string) {
	if len(*pendingFaults) == 0 {
		*pendingFaults = []string{"cut", "truncate", "busy", "stall", "silent", "forget", "slow", "hang", "refer", "well", "well"}
		day.rng.Shuffle(len(*pendingFaults), func(i, j int) { (*pendingFaults)[i], (*pendingFaults)[j] = (*pendingFaults)[j], (*pendingFaults)[i] })
	}
	kind := (*pendingFaults)[0]
	*pendingFaults = (*pendingFaults)[1:]
	day.faultCounts[kind]++
	first, second := directory.Faults{}, directory.Faults{NoSync: true}
	switch kind {
	case "truncate":
		first.TruncateAfter, second.TruncateAfter = 1+day.rng.IntN(day.tenants*day.members), 1+day.rng.IntN(day.tenants*day.members)
	case "busy":
		first.Busy, second.Busy = true, true
	case "stall":
		first.Stall, second.Stall = true, true
	case "silent":
		first.SilentSync = true
	case "slow": // just below the timeout
		first.ResponseDelay, second.ResponseDelay = 250*time.Millisecond, 250*time.Millisecond
	case "hang":
		first.Stall = true
	case "refer":
		first.Referral = "ldap://" + day.servers[1].Addr()
	case "forget":
		day.store.ForgetDeletions()
	}
	day.servers[0].SetFaults(first)
	day.servers[1].SetFaults(second)
	if kind != "silent" && kind != "slow" && kind != "well" && kind != "stall" {
		day.servers[0].CloseConnections()
	}
}

// run changes the directory and injects faults until stop is closed.
func (day *accessDay) run(stop chan struct{}) {
	var pendingFaults []string
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	nextFault := time.Now().Add(time.Second)
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			day.changeDirectory()
			if now.After(nextFault) {
				day.mu.Lock()
				day.injectFault(&pendingFaults)
				nextFault = now.Add(time.Duration(200+day.rng.IntN(600)) * time.Millisecond)
				day.mu.Unlock()
			}
		}
	}
}

func (day *accessDay) close() {
	day.mu.Lock()
	defer day.mu.Unlock()
	for name, view := range day.views {
		day.closeView(name)
		view.client.Close()
	}
	for _, server := range day.servers {
		server.Stop()
	}
}

// proveAccessDay plays the day "doors" over sockets and checks who was admitted and who was refused.
func (p *Proof) proveAccessDay(seed uint64, size Size, log *zap.Logger) error {
	day, err := Library("doors")
	if err != nil {
		return err
	}
	day.Seed = seed
	least := 2000.0
	if size == Small {
		day, least = day.withRateFactor(0.4), 600
	}
	access, err := newAccessDay(seed, 20, 40)
	if err != nil {
		return err
	}
	day.access = access
	stop := make(chan struct{})
	var wait sync.WaitGroup
	play, recording, err := Loopback(day, func(env *LoopbackEnvironment, recording *Recording) *DayRun {
		access.env = env
		play := StartDay(day, env, recording, nil, log)
		env.hosts["players"].loop.SetClientTLS(&tls.Config{RootCAs: access.authority.Pool()})
		wait.Go(func() { access.run(stop) })
		return play
	})
	close(stop)
	wait.Wait()
	access.close()
	if err != nil {
		return err
	}
	p.checkRules(CheckRules(recording, day.Bounds(core.Second/20)))
	tally := &play.Tally
	p.Note("through whole session managers: %s", tally.Summary())
	p.Note("%d changes of the directory, troubles %v; statuses by kind of viewer (0: played): %v", access.changes, access.faultCounts, access.statuses)
	for i, violation := range access.violations {
		if i < 3 {
			p.Note("%s", violation)
		}
	}
	p.AtLeast(float64(tally.Attempts), least, "playbacks asked for through whole session managers")
	validStatuses := access.statuses["right"]
	attempts := 0
	for _, n := range validStatuses {
		attempts += n
	}
	p.AtLeast(float64(validStatuses[0])/float64(max(attempts, 1)), 0.6, "part of those with a right password that played")
	p.AtMost(float64(access.misjudged[0]), 0, "played with what had not been right within the bound")
	p.AtMost(float64(access.misjudged[1]), 0, "turned away with what had been right all the while")
	p.AtMost(float64(tally.Unsolicited), 0, "answers that nothing asked for")
	for _, kind := range []string{"wrong", "unknown"} {
		slices.Sort(access.answerTimes[kind])
	}
	if wrong, unknown := access.answerTimes["wrong"], access.answerTimes["unknown"]; len(wrong) > 9 && len(unknown) > 9 {
		p.Note("a wrong password's 401 came after %.1f ms at the median, 90%% %.1f ms; an unknown account's after %.1f and %.1f ms", float64(wrong[len(wrong)/2])/1e3,
			float64(wrong[len(wrong)*9/10])/1e3, float64(unknown[len(unknown)/2])/1e3, float64(unknown[len(unknown)*9/10])/1e3)
	}
	return nil
}
