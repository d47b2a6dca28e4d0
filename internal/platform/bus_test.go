package platform_test

import (
	"testing"

	"pierlink/internal/core"
	"pierlink/internal/platform"
	"pierlink/policy"
)

// refusingNet is a network without any listener. It counts the dials to the bus in intervals of 100 ms.
type refusingNet struct {
	now   *core.Time
	dials map[core.Time]int
	conns []*core.Conn
}

func (a *refusingNet) Dial(conn *core.Conn, _ string) {
	a.dials[*a.now/(core.Second/10)]++
	a.conns = append(a.conns, conn)
}
func (a *refusingNet) Send(*core.Conn, []byte) {}
func (a *refusingNet) Pending(*core.Conn) int  { return 0 }
func (a *refusingNet) Close(*core.Conn)        {}

// After a bus outage that all managers saw at the same time, their reconnects are spread over time.
func TestBusReconnectsAreSpread(t *testing.T) {
	const managers, outage = 300, 8 * core.Second
	now := 1000 * core.Second
	begin := now
	dials := map[core.Time]int{}
	for i := range managers {
		text := defaultConfiguration()
		config, err := platform.ParseConfig([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		config.Seed = uint64(i) * 0x9e3779b97f4a7c15 // spread like random seeds
		now = begin
		network := &refusingNet{now: &now, dials: dials}
		manager := platform.New(network, config, now, policy.New)
		for next := now; next < begin+outage+core.Second; {
			now = next
			manager.BeginTurn(now)
			for _, conn := range network.conns { // the bus is down and its machine refuses connections
				manager.Dialed(conn, core.ErrRefused)
			}
			network.conns = nil
			next = max(manager.EndTurn(), now+core.Millisecond)
		}
	}
	total, peak := 0, 0
	for at := (begin + outage) / (core.Second / 10); at < (begin+outage+core.Second)/(core.Second/10); at++ {
		total += dials[at]
		peak = max(peak, dials[at])
	}
	if total < managers*9/10 {
		t.Errorf("%d of %d managers dialled in the second after %d s", total, managers, outage/core.Second)
	}
	if peak > total/4 {
		t.Errorf("%d of %d dials fell within 100 ms", peak, total)
	}
}
