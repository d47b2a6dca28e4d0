package client

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/go-ldap/ldap/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pierlink/internal/standin/directory"
	"pierlink/internal/tenants"
)

func entry(attrs map[string][]string) *ldap.Entry { return ldap.NewEntry("uid=a,dc=pier", attrs) }

func TestRead(t *testing.T) {
	valid := map[string][]string{"entryUUID": {"U-1"}, "objectClass": {"top", "PierlinkMember"}, "uid": {" Ann "}, "pierlinkTenant": {"school"},
		"PIERLINKPLAN": {"live", "live", "recorded"}}
	record, err := Read(entry(valid))
	if err != nil || record.ID != "u-1" || record.Name != "Ann" || len(record.Plans) != 2 || record.Kind != tenants.Member {
		t.Errorf("%+v %v", record, err)
	}
	for name, value := range map[string][]string{"uid": {"a", "b"}, "entryUUID": {}, "pierlinkTenant": {strings.Repeat("x", 65)}, "objectClass": {"person"},
		"pierlinkPlan": {"\xff"}, "pierlinkDigest": {"a", "b"}} {
		invalid := map[string][]string{}
		for k, v := range valid {
			invalid[k] = v
		}
		if invalid[name] = value; name == "pierlinkPlan" {
			delete(invalid, "PIERLINKPLAN")
		}
		if record, err := Read(entry(invalid)); err == nil {
			t.Errorf("accepted %s %q: %+v", name, value, record)
		}
	}
	for _, n := range []string{"-1", "1e99", "NaN", "many"} {
		if _, err := Read(entry(map[string][]string{"entryUUID": {"u"}, "objectClass": {"pierlinkTenant"}, "cn": {"x"}, "pierlinkWeight": {n}})); err == nil {
			t.Errorf("accepted the weight %s", n)
		}
	}
}

// FuzzRead checks that every accepted record is within its limits, whatever the directory sends.
func FuzzRead(f *testing.F) {
	f.Add("u", "pierlinkMember", "ann", "school", "live", "1", "d")
	f.Add("u", "pierlinkTenant", "a\x00b", "", "\xff\xfe", "1e400", "")
	f.Fuzz(func(t *testing.T, id, class, name, tenant, plan, number, digest string) {
		record, err := Read(entry(map[string][]string{"entryUUID": {id}, "objectClass": {class}, "uid": {name}, "cn": {name}, "pierlinkTenant": {tenant},
			"pierlinkPlan": {plan, plan}, "pierlinkWeight": {number}, "pierlinkSeats": {number}, "pierlinkQuota": {number}, "pierlinkDigest": {digest}}))
		if err != nil {
			return
		}
		if record.ID == "" && id != "" && strings.TrimSpace(id) != "" || record.Name == "" || len(record.Name) > maxNameBytes || !utf8.ValidString(record.Name) || len(record.Plans) > 1 ||
			!(record.Weight >= 0 && record.Weight <= maxNumber) || record.Seats < 0 {
			t.Errorf("%+v", record)
		}
	})
}

// owner runs a core and its client as a front does.
type owner struct {
	mu     sync.Mutex
	core   *tenants.Core
	client *Client
	calls  chan func(*tenants.Core)
	stop   chan struct{}
	done   chan struct{}
	out    []tenants.Answer
}

func newOwner(t *testing.T, config Config) *owner {
	t.Helper()
	return newOwnerLogged(t, config, zap.NewNop())
}

func newOwnerLogged(t *testing.T, config Config, log *zap.Logger) *owner {
	t.Helper()
	config.Core.Endpoints = len(config.Endpoints)
	o := &owner{core: tenants.New(config.Core, time.Now().UnixMicro()), calls: make(chan func(*tenants.Core), 64), stop: make(chan struct{}), done: make(chan struct{})}
	var err error
	o.client, err = New(config, func(f func(*tenants.Core)) {
		select {
		case o.calls <- f:
		case <-o.done:
		}
	}, log)
	if err != nil {
		t.Fatal(err)
	}
	go o.run()
	return o
}

func (o *owner) close() {
	close(o.stop)
	<-o.done
	o.client.Close()
}

func (o *owner) run() {
	defer close(o.done)
	for {
		wait := time.NewTimer(5 * time.Millisecond)
		select {
		case <-o.stop:
			return
		case f := <-o.calls:
			o.core.SetTime(time.Now().UnixMicro())
			f(o.core)
		case <-wait.C:
			o.core.SetTime(time.Now().UnixMicro())
		}
		o.core.Process(o.client.Do, func(a tenants.Answer) { o.out = append(o.out, a) }, func(tenants.Record) {})
	}
}

func (o *owner) do(f func(*tenants.Core)) {
	done := make(chan struct{})
	o.calls <- func(c *tenants.Core) { f(c); close(done) }
	<-done
}

func (o *owner) until(t *testing.T, what string, ok func(*tenants.Core) bool) {
	t.Helper()
	for range 1000 {
		met := false
		o.do(func(c *tenants.Core) { met = ok(c) })
		if met {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(what)
}

// Checks that a view follows a directory with and without content synchronisation, that an account name with filter
// characters is escaped in lookups, and that a truncated answer removes nothing.
func TestFollowsDirectory(t *testing.T) {
	store := directory.NewStore()
	put := func(cn string) {
		store.Put("cn="+cn+",dc=pier", map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {cn}, "pierlinkPlan": {"p"}})
	}
	for _, n := range []string{"a", "b", "c", "d", "e"} {
		put(n)
	}
	oddName := "x*)(uid=*"
	store.Put("uid=odd,dc=pier", map[string][]string{"objectClass": {"pierlinkMember"}, "uid": {oddName}, "pierlinkTenant": {"a"}})
	server, err := directory.Serve("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.SetPassword("pass")
	for _, paged := range []bool{false, true} {
		server.SetFaults(directory.Faults{NoSync: paged})
		terms := tenants.Config{MaxAge: 3e6, SyncInterval: 300_000, Timeout: 200_000, NegativeTTL: 1e6, MaxWaiting: 10, MaxLookups: 2}
		o := newOwner(t, Config{Endpoints: []string{server.Addr()}, Base: "dc=pier", BindDN: "cn=me", Password: "pass", PageSize: 2, Core: terms})
		has := func(n int) func(*tenants.Core) bool {
			return func(c *tenants.Core) bool { complete, entries, _ := c.Status(); return complete && entries == n }
		}
		o.until(t, "timed out waiting for the first view", has(6))
		server.SetFaults(directory.Faults{NoSync: paged, TruncateAfter: 1})
		server.CloseConnections()
		time.Sleep(700 * time.Millisecond)
		o.until(t, "a truncated answer was treated as complete", has(6))
		server.SetFaults(directory.Faults{NoSync: paged})
		store.Delete("cn=e,dc=pier")
		o.until(t, "timed out waiting for a deletion", has(5))
		put("e")
		o.until(t, "timed out waiting for an addition", has(6))
		var answer tenants.Answer
		o.do(func(c *tenants.Core) {
			answer = c.Ask(tenants.Query{ID: 1, Account: oddName, Plan: "p", Deadline: time.Now().UnixMicro() + 2e6})
		})
		if answer.Verdict != tenants.Allowed {
			t.Error(answer)
		}
		o.do(func(c *tenants.Core) {
			answer = c.Ask(tenants.Query{ID: 2, Account: "*", Plan: "p", Deadline: time.Now().UnixMicro() + 2e6})
		})
		o.until(t, "no answer to a lookup", func(*tenants.Core) bool { return len(o.out) > 0 })
		if o.out[0].Verdict != tenants.Unknown {
			t.Errorf("answer for an account named *: %v", o.out[0])
		}
		o.close()
	}
}

// Checks that polling detects changes made over LDAP: a modified, an added, a renamed and a deleted entry, and one that
// a lagging replica received with an old stamp; all of it without another full search.
func TestPolledChanges(t *testing.T) {
	store := directory.NewStore()
	store.ClockSkew = -3 * time.Hour
	for i := range 50 {
		n := fmt.Sprint("t", i)
		store.Put("cn="+n+",dc=pier", map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {n}, "pierlinkWeight": {"1"}})
	}
	server, err := directory.Serve("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.SetFaults(directory.Faults{NoSync: true})
	terms := tenants.Config{MaxAge: 2e6, SyncInterval: 100_000, Timeout: 500_000, NegativeTTL: 1e6, MaxWaiting: 10, MaxLookups: 2}
	o := newOwner(t, Config{Endpoints: []string{server.Addr()}, Base: "dc=pier", PageSize: 20, Core: terms})
	defer o.close()
	weights := func(want map[string]float64, n int) func(*tenants.Core) bool {
		return func(counts *tenants.Core) bool {
			all, _, _ := counts.Records()
			got := 0
			for _, r := range all {
				if w, ok := want[r.Name]; ok && w == r.Weight {
					got++
				}
			}
			return got == len(want) && len(all) == n
		}
	}
	o.until(t, "timed out waiting for the first view", weights(map[string]float64{"t1": 1}, 50))
	conn, err := ldap.DialURL("ldap://" + server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	modify := ldap.NewModifyRequest("cn=t1,dc=pier", nil)
	modify.Replace("pierlinkWeight", []string{"7"})
	must(conn.Modify(modify))
	addition := ldap.NewAddRequest("cn=new,dc=pier", nil)
	addition.Attribute("objectClass", []string{"pierlinkTenant"})
	addition.Attribute("cn", []string{"new"})
	addition.Attribute("pierlinkWeight", []string{"3"})
	must(conn.Add(addition))
	o.until(t, "timed out waiting for a change and an addition", weights(map[string]float64{"t1": 7, "new": 3}, 51))
	must(conn.ModifyDN(ldap.NewModifyDNRequest("cn=t2,dc=pier", "cn=moved", true, "ou=else,dc=pier")))
	modify = ldap.NewModifyRequest("cn=moved,ou=else,dc=pier", nil)
	modify.Replace("cn", []string{"moved"})
	must(conn.Modify(modify))
	must(conn.Del(ldap.NewDelRequest("cn=t3,dc=pier", nil)))
	o.until(t, "timed out waiting for a move and a deletion", weights(map[string]float64{"moved": 1}, 50))
	if err := conn.Del(ldap.NewDelRequest("cn=t3,dc=pier", nil)); !ldap.IsErrorWithCode(err, ldap.LDAPResultNoSuchObject) {
		t.Error("second deletion of an entry:", err)
	}
	store.ClockSkew = -5 * time.Hour
	store.Put("cn=late,dc=pier", map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {"late"}, "pierlinkWeight": {"9"}})
	o.until(t, "timed out waiting for an entry that arrived late with an old stamp", weights(map[string]float64{"late": 9}, 51))
	store.Put("cn=t5,dc=pier", map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {"t5", "two"}, "pierlinkWeight": {"8"}})
	var counts, laterCounts tenants.Counts
	for range 200 {
		if o.do(func(core *tenants.Core) { counts = core.Counts }); counts.Reread > 0 && o.client.Unreadable.Load() > 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	o.until(t, "an entry that cannot be decoded lost its previous state", weights(map[string]float64{"t5": 1}, 51))
	time.Sleep(1500 * time.Millisecond) // several lists
	if o.do(func(core *tenants.Core) { laterCounts = core.Counts }); laterCounts.Lists < counts.Lists+1 || laterCounts.Reread > counts.Reread+2 {
		t.Errorf("an entry that cannot be decoded is read repeatedly: %+v, then %+v", counts, laterCounts)
	}
	if laterCounts.Full != 2 || laterCounts.Polls < 10 { // content synchronisation is tried once
		t.Errorf("%d full searches, %d polls", laterCounts.Full, laterCounts.Polls)
	}
}

// Checks that referrals are followed to configured endpoints only, and that a referral for a part of the directory makes
// the answer incomplete, so that nothing is removed.
func TestReferrals(t *testing.T) {
	for _, paged := range []bool{false, true} {
		t.Run(fmt.Sprint("paged ", paged), func(t *testing.T) { t.Parallel(); testReferrals(t, paged) })
	}
}

func testReferrals(t *testing.T, paged bool) {
	t.Helper()
	store := directory.NewStore()
	store.Put("cn=a,dc=pier", map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {"a"}, "pierlinkPlan": {"p"}})
	store.Put("uid=ann,dc=pier", map[string][]string{"objectClass": {"pierlinkMember"}, "uid": {"ann"}, "pierlinkTenant": {"a"}})
	var servers [3]*directory.Server
	for i := range servers {
		s, err := directory.Serve("127.0.0.1:0", store)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Stop()
		servers[i] = s
	}
	unknown := servers[2]
	servers[0].SetFaults(directory.Faults{Referral: "ldap://" + servers[1].Addr() + "/dc=pier"})
	terms := tenants.Config{MaxAge: 400_000, SyncInterval: 100_000, Timeout: 500_000, NegativeTTL: 1e6, MaxWaiting: 10, MaxLookups: 2}
	o := newOwner(t, Config{Endpoints: []string{servers[0].Addr(), servers[1].Addr()}, Base: "dc=pier", PageSize: 2, PagedOnly: paged, Core: terms})
	defer o.close()
	complete := func(c *tenants.Core) bool { w, n, _ := c.Status(); return w && n == 2 }
	o.until(t, "timed out waiting for a view after a referral", complete)
	var sentOn, broken int64
	o.do(func(c *tenants.Core) { sentOn = c.Counts.Referred })
	servers[0].SetFaults(directory.Faults{Referral: "ldap://" + unknown.Addr() + "/dc=pier"})
	servers[1].SetFaults(directory.Faults{Referral: "ldap://" + unknown.Addr() + "/dc=pier"})
	servers[1].CloseConnections()
	o.until(t, "timed out waiting for failures after referrals to an unknown server", func(c *tenants.Core) bool { broken = c.Counts.Broken; return broken > 2 })
	if o.do(func(c *tenants.Core) { broken = c.Counts.Referred }); broken != sentOn {
		t.Error("a referral to an unknown server led to a configured endpoint")
	}
	if n := unknown.Searches.Load(); n != 0 {
		t.Errorf("an unknown server received %d searches", n)
	}
	for _, s := range servers[:2] {
		s.SetFaults(directory.Faults{NoSync: true, ContinuationRef: "ldap://" + unknown.Addr() + "/ou=x,dc=pier"})
	}
	store.Delete("uid=ann,dc=pier")
	asked := func() int64 { return servers[0].Searches.Load() + servers[1].Searches.Load() }
	for before := asked(); asked() < before+4; { // open circuits let single probes through
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if o.do(func(c *tenants.Core) { _, n, _ := c.Status(); broken = int64(n) }); broken != 2 {
		t.Error("a partial answer was treated as complete")
	}
}

// Checks that logs, formatted values and JSON contain neither the bind password nor the digest of an account, also when
// the directory refuses requests.
func TestSecretsNotLogged(t *testing.T) {
	const password, ha1 = "hunter2-of-the-directory", "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	store := directory.NewStore()
	store.Put("cn=a,dc=pier", map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {"a"}})
	store.Put("uid=ann,dc=pier", map[string][]string{"objectClass": {"pierlinkMember"}, "uid": {"ann", "two"}, "pierlinkTenant": {"a"}, "pierlinkDigest": {ha1}})
	server, err := directory.Serve("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.SetPassword("another")
	logged, logs := observer.New(zap.DebugLevel)
	terms := tenants.Config{MaxAge: 3e6, SyncInterval: 100_000, Timeout: 200_000, MaxWaiting: 10, MaxLookups: 1}
	config := Config{Endpoints: []string{server.Addr()}, Base: "dc=pier", BindDN: "cn=me", Password: password, PageSize: 2, Core: terms}
	o := newOwnerLogged(t, config, zap.New(logged))
	o.until(t, "timed out waiting for refused binds", func(c *tenants.Core) bool { return c.Counts.Broken > 1 })
	server.SetPassword(password)
	o.until(t, "timed out waiting for a view", func(c *tenants.Core) bool {
		complete, _, _ := c.Status()
		return complete && o.client.Unreadable.Load() > 0
	})
	o.close()
	output := fmt.Sprintf("%v %+v %#v", config, config, config)
	b, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	output += string(b)
	for _, e := range logs.All() {
		output += fmt.Sprint(e.Message, e.ContextMap())
	}
	if logs.Len() < 2 || strings.Contains(output, password) || strings.Contains(output, ha1) {
		t.Errorf("%d lines: %s", logs.Len(), output)
	}
}
