package front_test

import (
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/front"
	"pierlink/internal/tenants"
	"pierlink/policy"
	"pierlink/session"
)

// discardNetwork is a network that discards all output.
type discardNetwork struct{}

func (discardNetwork) Dial(*core.Conn, string) {}
func (discardNetwork) Send(*core.Conn, []byte) {}
func (discardNetwork) Pending(*core.Conn) int  { return 0 }
func (discardNetwork) Close(*core.Conn)        {}

// A tenant's changed share must reach the module and the admission queue in the same turn, whether the settings name
// the tenant or not, and must survive a reload. A tenant without a row in the module's table has no quota.
func TestDirectorySharesReachModuleAndQueue(t *testing.T) {
	access := tenants.New(tenants.Config{MaxAge: 1e12, SyncInterval: 1e9, Timeout: 1e6, MaxWaiting: 10, MaxLookups: 1, MaxEntries: 10}, 1)
	try := 0
	config := &front.Config{Name: "f", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"), SessionTimeout: 20 * core.Second,
		Plans: []front.PlanProfile{{Name: "live", Abandon: 4 * core.Second}}, Tenants: []string{"named"},
		Queue: &fair.Config{MaxWaiting: 10, MaxBytes: 1e6, MaxTenants: 10, MaxIdleClients: 10, TokenSecret: []byte("s"), StartupTarget: core.Second, Weights: map[string]float64{"named": 2}},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{StartupTarget: core.Second, Revenue: 1, RateFactor: 1}}, Tenants: make([]session.Tenant, 3),
			Ladder: session.Ladder{RateKB: []float64{100}, RevenueShare: []float64{1}, Join: 1},
			Fleet:  session.Fleet{Cells: 1, Racks: 1, TotalLinkKB: 1e6, UplinkKB: 1e6, KBPerWeight: 1e6, MaxStreams: []float64{100}, NoteDelay: 1e6},
			Terms:  session.Terms{ColdShare: 1, WarmUp: 1000, ColdMultiple: 4, ColdSpan: 1e6, MaxTries: 3}},
		Access: &front.AccessControl{Core: access, Lookup: func(want tenants.Request) { try = want.Attempt }}}
	now := core.Time(core.Second)
	f := front.New(config, policy.New(&config.Site, 1, now), discardNetwork{}, zap.NewNop(), now)
	turn := func(call func()) {
		now += core.Second
		f.BeginTurn(now)
		call()
		f.EndTurn()
	}
	quotas := func(want ...float64) {
		t.Helper()
		for i, q := range want {
			if got := config.Site.Tenants[i].QuotaPerS; got != q {
				t.Errorf("quota of row %d is %g, want %g", i, got, q)
			}
		}
	}
	turn(func() {})
	turn(func() {
		access.HandleEntry(try, tenants.Record{ID: "1", Kind: tenants.Tenant, Name: "named", Quota: 5, Weight: 3})
		access.HandleEntry(try, tenants.Record{ID: "2", Kind: tenants.Tenant, Name: "other", Quota: 7, Weight: 4})
		access.HandleRefreshed(try, nil, true, true)
	})
	quotas(5, 7, 0)
	if w := config.Queue.Weights; w["1"] != 3 || w["2"] != 4 || w["named"] != 2 {
		t.Error(w)
	}
	turn(func() { // a renamed tenant keeps its row; a second one gets another
		access.HandleEntry(try, tenants.Record{ID: "2", Kind: tenants.Tenant, Name: "renamed", Quota: 8, Weight: 4})
		access.HandleEntry(try, tenants.Record{ID: "3", Kind: tenants.Tenant, Name: "third", Quota: 9})
	})
	quotas(5, 8, 9)
	turn(func() {
		f.Reload(&front.ReloadConfig{Bounds: config.Bounds, SessionTimeout: config.SessionTimeout, Abandon: []core.Time{1}, Quotas: []float64{1, 0, 0},
			Queue: &fair.Config{MaxWaiting: 10, MaxBytes: 1e6, MaxTenants: 10, MaxIdleClients: 10, TokenSecret: []byte("s"), StartupTarget: core.Second}})
	})
	quotas(5, 8, 9)
	if w := config.Queue.Weights; w["1"] != 3 || w["2"] != 4 {
		t.Error("weights after a reload:", w)
	}
	turn(func() {
		access.HandleDeleted(try, []string{"2"})
		access.HandleEntry(try, tenants.Record{ID: "4", Kind: tenants.Tenant, Name: "fourth", Quota: 6})
	})
	quotas(5, 0, 9)
	if w := config.Queue.Weights; w["2"] != 0 || f.TenantName("4") != "fourth" || f.TenantName("nobody") != "nobody" {
		t.Error(w)
	}
	if f.Access.Rows.Unassigned() != 1 {
		t.Error("the row of a deleted tenant was reused at once")
	}
	now += config.SessionTimeout
	turn(func() {})
	quotas(5, 6, 9)
}
