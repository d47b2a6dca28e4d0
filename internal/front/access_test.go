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
	access := tenants.New(tenants.Terms{Longest: 1e12, Renew: 1e9, Timeout: 1e6, Waiting: 10, Lookups: 1, Entries: 10}, 1)
	try := 0
	config := &front.Service{Name: "f", Zones: []string{"z"}, Kinds: []string{"std"}, Secret: []byte("s"), SessionTimeout: 20 * core.Second,
		Plans: []front.Face{{Name: "live", Abandon: 4 * core.Second}}, Tenants: []string{"named"},
		Queue: &fair.Terms{Waiting: 10, Bytes: 1e6, Tenants: 10, Clients: 10, Secret: []byte("s"), Startup: core.Second, Weights: map[string]float64{"named": 2}},
		Site: session.Site{Fronts: 1, Plans: []session.Plan{{Startup: core.Second, Revenue: 1, RateFactor: 1}}, Tenants: make([]session.Tenant, 3),
			Ladder: session.Ladder{RateKB: []float64{100}, Worth: []float64{1}, Join: 1},
			Fleet:  session.Fleet{Cells: 1, Racks: 1, LinksKB: 1e6, UplinkKB: 1e6, KBPerWeight: 1e6, Places: []float64{100}, NoteDelay: 1e6},
			Terms:  session.Terms{ColdFrom: 1, WarmUp: 1000, FallMultiple: 4, FallSpan: 1e6, MaxTries: 3}},
		Gate: &front.Gate{Core: access, Ask: func(want tenants.Want) { try = want.Try }}}
	now := core.Time(core.Second)
	f := front.New(config, policy.New(&config.Site, 1, now), discardNetwork{}, zap.NewNop(), now)
	turn := func(call func()) {
		now += core.Second
		f.At(now)
		call()
		f.Settle()
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
		access.Entry(try, tenants.Record{ID: "1", Kind: tenants.Tenant, Name: "named", Quota: 5, Weight: 3})
		access.Entry(try, tenants.Record{ID: "2", Kind: tenants.Tenant, Name: "other", Quota: 7, Weight: 4})
		access.Refreshed(try, nil, true, true)
	})
	quotas(5, 7, 0)
	if w := config.Queue.Weights; w["1"] != 3 || w["2"] != 4 || w["named"] != 2 {
		t.Error(w)
	}
	turn(func() { // a renamed tenant keeps its row; a second one gets another
		access.Entry(try, tenants.Record{ID: "2", Kind: tenants.Tenant, Name: "renamed", Quota: 8, Weight: 4})
		access.Entry(try, tenants.Record{ID: "3", Kind: tenants.Tenant, Name: "third", Quota: 9})
	})
	quotas(5, 8, 9)
	turn(func() {
		f.Reload(&front.Next{Bounds: config.Bounds, SessionTimeout: config.SessionTimeout, Abandon: []core.Time{1}, Quotas: []float64{1, 0, 0},
			Queue: &fair.Terms{Waiting: 10, Bytes: 1e6, Tenants: 10, Clients: 10, Secret: []byte("s"), Startup: core.Second}})
	})
	quotas(5, 8, 9)
	if w := config.Queue.Weights; w["1"] != 3 || w["2"] != 4 {
		t.Error("weights after a reload:", w)
	}
	turn(func() {
		access.Gone(try, []string{"2"})
		access.Entry(try, tenants.Record{ID: "4", Kind: tenants.Tenant, Name: "fourth", Quota: 6})
	})
	quotas(5, 0, 9)
	if w := config.Queue.Weights; w["2"] != 0 || f.Named("4") != "fourth" || f.Named("nobody") != "nobody" {
		t.Error(w)
	}
	if f.Gate.Rows.Without() != 1 {
		t.Error("the row of a deleted tenant was reused at once")
	}
	now += config.SessionTimeout
	turn(func() {})
	quotas(5, 6, 9)
}
