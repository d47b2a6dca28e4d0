package platform_test

import (
	"maps"
	"slices"
	"testing"

	"pierlink/internal/core"
	"pierlink/internal/platform"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// tenantRecorder is a module that records the tenant of each set-up.
type tenantRecorder struct {
	session.Manager
	tenants []int
}

func (a *tenantRecorder) BeginTurn(core.Time)    {}
func (a *tenantRecorder) Listed(session.List)    {}
func (a *tenantRecorder) Settle(session.Actions) {}
func (a *tenantRecorder) Requested(request session.Request) {
	a.tenants = append(a.tenants, request.Tenant)
}
func (a *tenantRecorder) Opened(request session.Request, _ int) {
	a.tenants = append(a.tenants, request.Tenant)
}

// The module receives the tenant of each set-up, also of a playback that plays already.
func TestModuleGetsTenantOfEachSetup(t *testing.T) {
	settings := maps.Clone(defaultSettings)
	settings["TENANTS"] = `[{"name":"north","quotaPerS":5},{"name":"south","quotaPerS":6}]`
	config, err := platform.ParseConfig([]byte(fillIn(settings)))
	if err != nil {
		t.Fatal(err)
	}
	now := 1000 * core.Second
	module := &tenantRecorder{}
	manager := platform.New(&refusingNet{now: &now, dials: map[core.Time]int{}}, config, now, func(*session.Site, uint64, core.Time) session.Manager { return module })
	conn := &core.Conn{}
	manager.BeginTurn(now)
	manager.Accepted(conn, "10.0.0.1:1")
	for i, setup := range []struct{ tenant, at string }{{"south", ""}, {"north", ""}, {"south", ";at:s-00000001"}} {
		request := rtsp.NewRequest(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655", 1).With("Session", id(string(rune('a'+i)))).With("Call-Kind", "live")
		request.With("Answer-Within", "500").With("Charged-Party", setup.tenant).With("Routing-Data", "home:0;copies:2;top:1;viewer:00000000b4d65521"+setup.at)
		request.Body = []byte("sdp")
		manager.Received(conn, request.Append(nil))
	}
	if want := []int{1, 0, 1}; !slices.Equal(module.tenants, want) {
		t.Errorf("got tenants %v, want %v", module.tenants, want)
	}
}
