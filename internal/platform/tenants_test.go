package platform_test

import (
	"slices"
	"strings"
	"testing"

	"pierlink/internal/core"
	"pierlink/internal/platform"
	"pierlink/internal/rtsp"
	"pierlink/session"
)

// asked keeps what a module is told of set-ups.
type asked struct {
	session.Manager
	tenants []int
}

func (a *asked) At(core.Time)                    {}
func (a *asked) Listed(session.List)             {}
func (a *asked) Settle(session.Actions)          {}
func (a *asked) Requested(r session.Request)     { a.tenants = append(a.tenants, r.Tenant) }
func (a *asked) Opened(r session.Request, _ int) { a.tenants = append(a.tenants, r.Tenant) }

// The module is told of each set-up, also of one handed over, whose it is.
func TestTenantsByName(t *testing.T) {
	text := strings.NewReplacer("MEMORY", "64", "SOCKETS", "256", "PROBES", "false", "EFFECT", "read_like", "IDLE", "15",
		"TENANTS", `[{"name":"north","quotaPerS":5},{"name":"south","quotaPerS":6}]`).Replace(configuration)
	g, err := platform.Read([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	now := 1000 * core.Second
	module := &asked{}
	m := platform.New(&asking{now: &now, asked: map[core.Time]int{}}, g, now, func(*session.Site, uint64, core.Time) session.Manager { return module })
	c := &core.Conn{}
	m.At(now)
	m.Accepted(c, "10.0.0.1:1")
	for i, s := range []struct{ tenant, at string }{{"south", ""}, {"north", ""}, {"south", ";at:s-00000001"}} {
		r := rtsp.Request(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655", 1).With("Session", id(string(rune('a'+i)))).With("Call-Kind", "live")
		r.With("Answer-Within", "500").With("Charged-Party", s.tenant).With("Routing-Data", "home:0;copies:2;top:1;viewer:00000000b4d65521"+s.at)
		r.Body = []byte("sdp")
		m.Received(c, r.Append(nil))
	}
	if want := []int{1, 0, 1}; !slices.Equal(module.tenants, want) {
		t.Errorf("told %v, not %v", module.tenants, want)
	}
}
