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

// doors has a day's session managers on sockets know from a directory who may play: each has a door in the clear and
// one under TLS, and a view of its own. It keeps what was true of each account and when, and judges by it what
// viewers got.
type doors struct {
	tenantConfig tenants.Config
	store        *directory.Store
	servers      [2]*directory.Server
	authority    *authority.Authority
	tlsConfig    *tls.Config
	rng          *rand.Rand
	env          *LoopbackEnvironment
	tenants      int
	members      int

	mu          sync.Mutex
	views       map[string]*accessView
	tlsAddrs    map[string]string // doors under TLS, by those in the clear
	history     map[string][]credential
	kinds       map[*player.Profile]string
	statuses    map[string]map[int]int // statuses by kind; 0 for what played
	answerTimes map[string][]Time      // to the answer, by kind
	misjudged   [2]int                 // admitted, refused
	violations  []string
	faultCounts map[string]int
	changes     int
	counts      tenants.Counts // of managers that have ended
}

// truth is what an account was from a moment on.
type credential struct {
	since    Time
	password string // empty: it is not there
}

// keptGate is one manager's view and its client.
type accessView struct {
	core   *tenants.Core
	client *client.Client
	loop   edge.DeferredLoop
}

func (g *accessView) post(f func(*tenants.Core)) {
	g.loop.Post(func() { f(g.core) })
}

func newAccessDay(seed uint64, all, members int) (*doors, error) {
	x := &doors{rng: rand.New(rand.NewPCG(seed, 0xd00f)), store: directory.NewStore(), tenants: all, members: members, views: map[string]*accessView{},
		tlsAddrs: map[string]string{}, history: map[string][]credential{}, kinds: map[*player.Profile]string{}, statuses: map[string]map[int]int{},
		answerTimes: map[string][]Time{}, faultCounts: map[string]int{},
		tenantConfig: tenants.Config{Seed: seed, MaxAge: 3_000_000, SyncInterval: 500_000, Timeout: 300_000, NegativeTTL: 500_000, MaxWaiting: 5000, MaxLookups: 4,
			MaxEntries: 1 << 16, Endpoints: 2}}
	for t := range all {
		x.store.Put(tenantDN(t), tenantAttrs(t, 1+t%3))
		for m := range members {
			x.putMember(fmt.Sprintf("m%d-%d", t, m), memberDN(t, m), memberAttrs(t, m), 1)
		}
	}
	var err error
	for i := range x.servers {
		if x.servers[i], err = directory.Serve("127.0.0.1:0", x.store); err != nil {
			return nil, err
		}
	}
	x.servers[1].SetFaults(directory.Faults{NoSync: true}) // one endpoint that is polled
	if x.authority, err = authority.New(); err != nil {
		return nil, err
	}
	pair, err := x.authority.IssueKeyPair()
	x.tlsConfig = &tls.Config{Certificates: []tls.Certificate{pair}}
	return x, err
}

// member puts a member, with the password of a generation; 0 takes it out.
func (x *doors) putMember(account, dn string, attrs map[string][]string, generation int) {
	password := ""
	if generation > 0 {
		password = fmt.Sprintf("%s/%d", account, generation)
		attrs["pierlinkPlan"] = []string{"live-lesson", "recorded-lesson", "rent-record", "master-class"}
		attrs["pierlinkDigest"] = []string{player.HA1(realm, account, password, sha256.New)}
		x.store.Put(dn, attrs)
	} else {
		x.store.Delete(dn)
	}
	x.history[account] = append(x.history[account], credential{edge.Now(), password})
}

// equip gives a manager that starts its gate; one that it had before has died with it.
func (x *doors) equip(s *front.Config, seed uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closeView(s.Name)
	g := &accessView{}
	t := x.tenantConfig
	t.Seed = seed
	g.core = tenants.New(t, edge.Now())
	var err error
	g.client, err = client.New(client.Config{Endpoints: []string{x.servers[0].Addr(), x.servers[1].Addr()}, Base: "dc=pier", PageSize: 100, Core: t},
		g.post, zap.NewNop())
	if err != nil {
		return err
	}
	x.views[s.Name] = g
	s.Access = &front.AccessControl{Core: g.core, Lookup: g.client.Do, Realm: realm, Basic: true, FailedLogins: tenants.FailureLimiter{HalfLife: t.MaxAge, Seed: uint32(seed)}}
	return nil
}

func (x *doors) closeView(name string) {
	if g := x.views[name]; g != nil {
		go g.client.Close()
		c := &g.core.Counts // its loop has ended
		x.counts.Looks, x.counts.Syncs, x.counts.Polls, x.counts.Lists = x.counts.Looks+c.Looks, x.counts.Syncs+c.Syncs, x.counts.Polls+c.Polls, x.counts.Lists+c.Lists
	}
}

// opened opens the door under TLS of a manager that has started.
func (x *doors) opened(name string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.env.host(name)
	x.views[name].loop.Bind(h.loop)
	at := x.tlsAddrs[h.addr]
	if at == "" {
		at = "127.0.0.1:0"
	}
	if err := h.loop.Listen(at, x.tlsConfig); err != nil {
		return err
	}
	x.tlsAddrs[h.addr] = h.loop.SecureAddr()
	x.env.hostNames[x.tlsAddrs[h.addr]] = name
	return nil
}

// viewer says who a viewer is. Most are who they say.
func (x *doors) viewer(w *player.Profile) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t, m := x.rng.IntN(x.tenants), x.rng.IntN(x.members)
	account := fmt.Sprintf("m%d-%d", t, m)
	kind := "right"
	all := x.history[account]
	w.Account, w.Password = account, all[len(all)-1].password
	w.SourceAddr = fmt.Sprintf("127.1.%d.%d", t+1, m+1)
	switch n := x.rng.IntN(100); {
	case w.Password == "":
		kind, w.Password = "gone", "x"
	case n < 4:
		kind, w.Password = "wrong", "no"
	case n < 8: // one who guesses at many, there and not there
		kind, w.Password, w.SourceAddr = "guesser", "1234", "127.9.9.9"
	case n < 12:
		kind, w.Account = "unknown", fmt.Sprint("nobody-", x.rng.IntN(1000))
	case n < 14:
		kind, w.Account = "nobody", ""
	}
	if x.rng.IntN(3) == 0 {
		w.Secure = true
		for i, f := range w.Fronts {
			w.Fronts[i] = x.tlsAddrs[f]
		}
		w.Basic = x.rng.IntN(2) == 0
	}
	x.kinds[w] = kind
}

// saw judges what a viewer got.
func (x *doors) saw(w *player.Profile, s *player.Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	kind := x.kinds[w]
	if s.AnsweredAt == 0 && s.StartupTime == 0 || !s.Connected {
		return
	}
	played := s.StartupTime > 0 || s.Status == 0
	if x.statuses[kind] == nil {
		x.statuses[kind] = map[int]int{}
	}
	x.statuses[kind][s.Status]++
	if s.Status == 401 {
		x.answerTimes[kind] = append(x.answerTimes[kind], s.AnsweredAt-s.StartedAt)
	}
	until := max(s.AnsweredAt, s.StartedAt+s.StartupTime)
	good, always := false, true // it was that within the bound before the answer; it was nothing else
	all := x.history[w.Account]
	for i, p := range all {
		end := never
		if i+1 < len(all) {
			end = all[i+1].since
		}
		if end < s.StartedAt-x.tenantConfig.MaxAge || p.since > until {
			continue
		}
		if p.password != "" && p.password == w.Password {
			good = true
		} else {
			always = false
		}
	}
	switch {
	case played && !good:
		x.misjudged[0]++
		x.violations = append(x.violations, fmt.Sprintf("%s played as %s (%s)", s.ID, w.Account, kind))
	case (s.Status == 401 || s.Status == 403) && good && always:
		x.misjudged[1]++
		x.violations = append(x.violations, fmt.Sprintf("%s got %d as %s (%s, TLS %v, password %v)", s.ID, s.Status, w.Account, kind, w.Secure, w.Basic))
	}
}

// change changes something in the directory.
func (x *doors) changeDirectory() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.changes++
	t, m := x.rng.IntN(x.tenants), x.rng.IntN(x.members)
	account := fmt.Sprintf("m%d-%d", t, m)
	generation := len(x.history[account]) + 1
	if all := x.history[account]; all[len(all)-1].password != "" && x.rng.IntN(2) == 0 {
		generation = 0
	}
	x.putMember(account, memberDN(t, m), memberAttrs(t, m), generation)
	if x.rng.IntN(4) == 0 {
		x.store.Put(tenantDN(t), tenantAttrs(t, 1+x.rng.IntN(9)))
	}
}

// upset has the directory go wrong for a while.
func (x *doors) injectFault(bag *[]string) {
	if len(*bag) == 0 {
		*bag = []string{"cut", "truncate", "busy", "stall", "silent", "forget", "slow", "hang", "refer", "well", "well"}
		x.rng.Shuffle(len(*bag), func(i, j int) { (*bag)[i], (*bag)[j] = (*bag)[j], (*bag)[i] })
	}
	kind := (*bag)[0]
	*bag = (*bag)[1:]
	x.faultCounts[kind]++
	a, b := directory.Faults{}, directory.Faults{NoSync: true}
	switch kind {
	case "truncate":
		a.TruncateAfter, b.TruncateAfter = 1+x.rng.IntN(x.tenants*x.members), 1+x.rng.IntN(x.tenants*x.members)
	case "busy":
		a.Busy, b.Busy = true, true
	case "stall":
		a.Stall, b.Stall = true, true
	case "silent":
		a.SilentSync = true
	case "slow": // just under the time-out
		a.ResponseDelay, b.ResponseDelay = 250*time.Millisecond, 250*time.Millisecond
	case "hang":
		a.Stall = true
	case "refer":
		a.Referral = "ldap://" + x.servers[1].Addr()
	case "forget":
		x.store.ForgetDeletions()
	}
	x.servers[0].SetFaults(a)
	x.servers[1].SetFaults(b)
	if kind != "silent" && kind != "slow" && kind != "well" && kind != "stall" {
		x.servers[0].CloseConnections()
	}
}

// run changes the directory and upsets it until stop is closed.
func (x *doors) run(stop chan struct{}) {
	var bag []string
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	next := time.Now().Add(time.Second)
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			x.changeDirectory()
			if now.After(next) {
				x.mu.Lock()
				x.injectFault(&bag)
				next = now.Add(time.Duration(200+x.rng.IntN(600)) * time.Millisecond)
				x.mu.Unlock()
			}
		}
	}
}

func (x *doors) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, g := range x.views {
		x.closeView(name)
		g.client.Close()
	}
	for _, s := range x.servers {
		s.Stop()
	}
}

// throughDoors plays the day of doors and judges it.
func (p *Proof) proveAccessDay(seed uint64, size Size, log *zap.Logger) error {
	d, err := Library("doors")
	if err != nil {
		return err
	}
	d.Seed = seed
	least := 2000.0
	if size == Small {
		d, least = d.withRateFactor(0.4), 600
	}
	x, err := newAccessDay(seed, 20, 40)
	if err != nil {
		return err
	}
	d.doors = x
	stop := make(chan struct{})
	var ran sync.WaitGroup
	play, tape, err := Loopback(d, func(l *LoopbackEnvironment, t *Tape) *Play {
		x.env = l
		play := Begin(d, l, t, nil, log)
		l.hosts["players"].loop.SetClientTLS(&tls.Config{RootCAs: x.authority.Pool()})
		ran.Go(func() { x.run(stop) })
		return play
	})
	close(stop)
	ran.Wait()
	x.close()
	if err != nil {
		return err
	}
	p.checkRules(Judge(tape, d.Bounds(core.Second/20)))
	t := &play.Tally
	p.Note("through whole session managers: %s", t.Summary())
	p.Note("%d changes of the directory, troubles %v; statuses by kind of viewer (0: played): %v", x.changes, x.faultCounts, x.statuses)
	for i, s := range x.violations {
		if i < 3 {
			p.Note("%s", s)
		}
	}
	p.AtLeast(float64(t.Asked), least, "playbacks asked for through whole session managers")
	right := x.statuses["right"]
	asked := 0
	for _, n := range right {
		asked += n
	}
	p.AtLeast(float64(right[0])/float64(max(asked, 1)), 0.6, "part of those with a right password that played")
	p.AtMost(float64(x.misjudged[0]), 0, "played with what had not been right within the bound")
	p.AtMost(float64(x.misjudged[1]), 0, "turned away with what had been right all the while")
	p.AtMost(float64(t.Unasked), 0, "answers that nothing asked for")
	for _, kind := range []string{"wrong", "unknown"} {
		slices.Sort(x.answerTimes[kind])
	}
	if a, b := x.answerTimes["wrong"], x.answerTimes["unknown"]; len(a) > 9 && len(b) > 9 {
		p.Note("a wrong password's 401 came after %.1f ms at the median, 90%% %.1f ms; an unknown account's after %.1f and %.1f ms", float64(a[len(a)/2])/1e3,
			float64(a[len(a)*9/10])/1e3, float64(b[len(b)/2])/1e3, float64(b[len(b)*9/10])/1e3)
	}
	return nil
}
