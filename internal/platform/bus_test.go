package platform_test

import (
	"strings"
	"testing"

	"pierlink/internal/core"
	"pierlink/internal/platform"
	"pierlink/policy"
)

// asking is a network on which nothing comes up; it counts what is asked of the bus, by spans of a tenth of a second.
type asking struct {
	now   *core.Time
	asked map[core.Time]int
	conns []*core.Conn
}

func (a *asking) Dial(c *core.Conn, _ string) {
	a.asked[*a.now/(core.Second/10)]++
	a.conns = append(a.conns, c)
}
func (a *asking) Send(*core.Conn, []byte) {}
func (a *asking) Pending(*core.Conn) int  { return 0 }
func (a *asking) Close(*core.Conn)        {}

// After an outage that all managers saw at once they do not come back at once.
func TestTheBusIsNotAskedByAllAtOnce(t *testing.T) {
	const managers, outage = 300, 8 * core.Second
	now := 1000 * core.Second
	begin := now
	all := map[core.Time]int{}
	for i := range managers {
		text := strings.NewReplacer("MEMORY", "64", "SOCKETS", "256", "PROBES", "false", "EFFECT", "read_like", "IDLE", "15", "TENANTS", "[]").Replace(configuration)
		g, err := platform.Read([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		g.Seed = uint64(i) * 0x9e3779b97f4a7c15 // as scattered as the ones that are drawn
		now = begin
		net := &asking{now: &now, asked: all}
		m := platform.New(net, g, now, policy.New)
		for next := now; next < begin+outage+core.Second; {
			now = next
			m.At(now)
			for _, c := range net.conns { // the bus is down: its machine refuses
				m.Dialed(c, core.ErrRefused)
			}
			net.conns = nil
			next = max(m.Settle(), now+core.Millisecond)
		}
	}
	asked, most := 0, 0
	for at := (begin + outage) / (core.Second / 10); at < (begin+outage+core.Second)/(core.Second/10); at++ {
		asked += all[at]
		most = max(most, all[at])
	}
	if asked < managers*9/10 {
		t.Errorf("%d of %d ask in the second after %d s", asked, managers, outage/core.Second)
	}
	if most > asked/4 {
		t.Errorf("%d of %d ask within a tenth of a second", most, asked)
	}
}
