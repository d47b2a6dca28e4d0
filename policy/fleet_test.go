package policy

import (
	"math"
	"math/rand/v2"
	"testing"

	"pierlink/session"
)

// testHost is the host of one manager in a test of the setups of all managers together.
type testHost struct {
	manager       session.Manager
	wakeAt        Time
	newTries      []int // playbacks whose try has just been started
	freePlaybacks []int
	playbackCount int
}

func (host *testHost) SetRung(int, int)       {}
func (host *testHost) Try(pb, _ int, _ Time)  { host.newTries = append(host.newTries, pb) }
func (host *testHost) Reject(int, Time)       {}
func (host *testHost) Abort(int)              {}
func (host *testHost) Move(int)               {}
func (host *testHost) Probe(int)              {}
func (host *testHost) Wake(at Time, _ uint64) { host.wakeAt = at }
func (host *testHost) Watch()                 {}
func (host *testHost) Forget(pb int)          { host.freePlaybacks = append(host.freePlaybacks, pb) }

// Guards against overloading a server that has just started. Thirty managers, some of which restart and lose their
// state, have more requests than the server can take. In each span of the rule, from the server's start until it is
// warm, their setups together must stay within the cold budget plus a margin for chance.
func TestAllFrontsStayWithinColdBudget(t *testing.T) {
	const fronts, tick = 30, 20_000
	for _, places := range []float64{24, 90, 600, 3000} {
		for seed := range uint64(3) {
			site := scenarioSite()
			site.Fronts, site.StartsListed, site.Fleet.MaxStreams = fronts, true, []float64{places}
			site.Fleet.TotalLinkKB, site.Fleet.KBPerWeight, site.Fleet.UplinkKB = 1e9, 1e9, 1e9 // capacity is not the limit
			random := rand.New(rand.NewPCG(seed, uint64(places)))
			begin := 1000 * session.Second
			list := session.List{Complete: true,
				Entries: []session.Entry{{Server: 0, State: session.Ready, Weight: 1, Started: begin}}}
			hosts := make([]*testHost, fronts)
			startFront := func(i int, now Time) {
				ownSite := site
				ownSite.Front = i
				hosts[i] = &testHost{manager: New(&ownSite, random.Uint64(), now)}
				hosts[i].manager.BeginTurn(now)
				hosts[i].manager.Listed(list)
				hosts[i].manager.Settle(hosts[i])
			}
			for i := range hosts {
				startFront(i, begin)
			}
			var tryTimes []Time
			maxUse := 0.0
			for now := begin; now < begin+site.Terms.WarmUp; now += tick {
				for i, host := range hosts {
					if random.IntN(3000) == 0 {
						startFront(i, now)
						host = hosts[i]
					}
					host.manager.BeginTurn(now)
					if host.wakeAt > 0 && now >= host.wakeAt {
						host.manager.Woken(0)
					}
					for range random.IntN(3) {
						pb := host.playbackCount
						if k := len(host.freePlaybacks); k > 0 {
							pb, host.freePlaybacks = host.freePlaybacks[k-1], host.freePlaybacks[:k-1]
						} else {
							host.playbackCount++
						}
						host.manager.Requested(session.Request{Playback: pb, Plan: 1,
							AbandonAt: now + 4*session.Second, Top: 3, FirstCell: 0, CellCount: 1})
					}
					host.manager.Settle(host)
					for _, pb := range host.newTries {
						tryTimes = append(tryTimes, now)
						host.manager.Playing(pb, 0, 0, 1000)
						host.manager.Ended(session.Result{Playback: pb, Server: 0, Outcome: session.OK, Final: true})
					}
					host.newTries = host.newTries[:0]
					host.manager.Settle(host)
				}
				recent := 0
				for k := len(tryTimes) - 1; k >= 0 && tryTimes[k] > now-site.Terms.ColdSpan; k-- {
					recent++
				}
				capacityShare := 1 - (1-site.Terms.ColdShare)*
					float64(begin+site.Terms.WarmUp-now)/float64(site.Terms.WarmUp)
				budget := places / float64(site.Terms.WarmUp) * float64(site.Terms.ColdSpan) *
					site.Terms.ColdMultiple * capacityShare
				maxUse = max(maxUse, float64(recent)/(budget+2*math.Sqrt(budget)+2))
			}
			if maxUse > 1 {
				t.Errorf("%.0f places, seed %d: setups reach %.2f of a cold server's limit, at most 1 is expected",
					places, seed, maxUse)
			}
			if maxUse < 0.2 {
				t.Errorf("%.0f places, seed %d: setups use only %.2f of a cold server's limit, at least 0.2 is expected",
					places, seed, maxUse)
			}
			t.Logf("%.0f places, seed %d: %d tries, at most %.2f of the limit", places, seed, len(tryTimes), maxUse)
		}
	}
}
