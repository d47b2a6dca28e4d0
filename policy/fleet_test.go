package policy

import (
	"math"
	"math/rand/v2"
	"testing"

	"pierlink/session"
)

// door is one of many managers' in a test of what all of them send together.
type door struct {
	m     session.Manager
	wake  Time
	tries []int // playbacks whose try has just begun
	free  []int
	n     int
}

func (d *door) SetRung(int, int)       {}
func (d *door) Try(pb, _ int, _ Time)  { d.tries = append(d.tries, pb) }
func (d *door) Reject(int, Time)       {}
func (d *door) Abort(int)              {}
func (d *door) Move(int)               {}
func (d *door) Probe(int)              {}
func (d *door) Wake(at Time, _ uint64) { d.wake = at }
func (d *door) Watch()                 {}
func (d *door) Forget(pb int)          { d.free = append(d.free, pb) }

// Thirty managers with more to place than it can take, some of which restart and forget, stay together under what a
// server that has just started bears: N and what chance may add to it, in each span, from its start until it is warm.
func TestAllManagersKeepTheColdBudget(t *testing.T) {
	const fronts, tick = 30, 20_000
	for _, places := range []float64{24, 90, 600, 3000} {
		for seed := range uint64(3) {
			site := stageSite()
			site.Fronts, site.StartsTold, site.Fleet.Places = fronts, true, []float64{places}
			site.Fleet.LinksKB, site.Fleet.KBPerWeight, site.Fleet.UplinkKB = 1e9, 1e9, 1e9 // room is not what binds
			r := rand.New(rand.NewPCG(seed, uint64(places)))
			begin := 1000 * session.Second
			list := session.List{Whole: true, Entries: []session.Entry{{Server: 0, State: session.Ready, Weight: 1, Started: begin}}}
			doors := make([]*door, fronts)
			start := func(i int, now Time) {
				own := site
				own.Front = i
				doors[i] = &door{m: New(&own, r.Uint64(), now)}
				doors[i].m.At(now)
				doors[i].m.Listed(list)
				doors[i].m.Settle(doors[i])
			}
			for i := range doors {
				start(i, begin)
			}
			var at []Time
			worst := 0.0
			for now := begin; now < begin+site.Terms.WarmUp; now += tick {
				for i, d := range doors {
					if r.IntN(3000) == 0 {
						start(i, now)
						d = doors[i]
					}
					d.m.At(now)
					if d.wake > 0 && now >= d.wake {
						d.m.Woken(0)
					}
					for range r.IntN(3) {
						pb := d.n
						if k := len(d.free); k > 0 {
							pb, d.free = d.free[k-1], d.free[:k-1]
						} else {
							d.n++
						}
						d.m.Requested(session.Request{Playback: pb, Plan: 1, Abandon: now + 4*session.Second, Top: 3, Base: 0, Span: 1})
					}
					d.m.Settle(d)
					for _, pb := range d.tries {
						at = append(at, now)
						d.m.Playing(pb, 0, 0, 1000)
						d.m.Ended(session.Result{Playback: pb, Server: 0, Outcome: session.OK, Final: true})
					}
					d.tries = d.tries[:0]
					d.m.Settle(d)
				}
				in := 0
				for k := len(at) - 1; k >= 0 && at[k] > now-site.Terms.FallSpan; k-- {
					in++
				}
				warmth := 1 - (1-site.Terms.ColdFrom)*float64(begin+site.Terms.WarmUp-now)/float64(site.Terms.WarmUp)
				n := places / float64(site.Terms.WarmUp) * float64(site.Terms.FallSpan) * site.Terms.FallMultiple * warmth
				worst = max(worst, float64(in)/(n+2*math.Sqrt(n)+2))
			}
			if worst > 1 {
				t.Errorf("%.0f places, seed %d: %.2f of what a cold server bears", places, seed, worst)
			}
			if worst < 0.2 {
				t.Errorf("%.0f places, seed %d: only %.2f of what a cold server bears is used", places, seed, worst)
			}
			t.Logf("%.0f places, seed %d: %d tries, at most %.2f of what it bears", places, seed, len(at), worst)
		}
	}
}
