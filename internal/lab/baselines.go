package lab

import (
	"math/rand/v2"
	"slices"

	"pierlink/session"
)

// baselines are simple policies in the module's place, to measure against. They keep no rule on purpose but
// those that follow from trying each playback once at a server that the list has as ready.
var baselines = map[string]func(*session.Site, uint64) session.Manager{
	"random":  func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickRandom, 0) },
	"fewest":  func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickFewest, 0) },
	"local":   func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickLocal, 0) },
	"highest": func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickFewest, 99) },
}

// Baselines are the names of the simple policies.
func Baselines() []string { return sortedKeys(baselines) }

type picker func(*baseline, *session.Request) int

// baseline tries each playback once, at a server that its pick chooses, and gives up on it where that fails.
type baseline struct {
	*session.Site
	rng          *rand.Rand
	pick         picker
	rung         int
	now          session.Time
	servers      []session.Entry
	ownPlaybacks []int // playbacks of this front at each server
	playbacks    map[int]*baselinePlayback
	pending      []int
	ended        []int
	moving       []int
}

type baselinePlayback struct {
	session.Request
	server   int
	tried    bool
	playing  bool
	failures int
}

func newBaseline(s *session.Site, seed uint64, p picker, rung int) *baseline {
	return &baseline{Site: s, rng: rand.New(rand.NewPCG(seed, 0xba5e)), pick: p, rung: rung, playbacks: map[int]*baselinePlayback{}}
}

// holders are the servers that hold a title and are ready.
func (b *baseline) holders(r *session.Request) (all []int) {
	for i := range b.servers {
		if e := &b.servers[i]; e.State == session.Ready && (r.CellCount == 0 || (e.Cell-r.FirstCell+b.Fleet.Cells)%b.Fleet.Cells < r.CellCount) {
			all = append(all, i)
		}
	}
	return all
}

func pickRandom(b *baseline, r *session.Request) int {
	all := b.holders(r)
	if len(all) == 0 {
		return -1
	}
	return all[b.rng.IntN(len(all))]
}

func pickFewest(b *baseline, r *session.Request) int {
	all := b.holders(r)
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) == 0 {
		return -1
	}
	return slices.MinFunc(all, func(x, y int) int { return b.ownPlaybacks[x] - b.ownPlaybacks[y] })
}

func pickLocal(b *baseline, r *session.Request) int {
	all := b.holders(r)
	b.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if len(all) == 0 {
		return -1
	}
	far := func(x int) int {
		if b.servers[x].Zone == b.Zone {
			return 0
		}
		return 1 << 20
	}
	return slices.MinFunc(all, func(x, y int) int { return b.ownPlaybacks[x] + far(x) - b.ownPlaybacks[y] - far(y) })
}

func (b *baseline) BeginTurn(now session.Time) { b.now = now }
func (b *baseline) Listed(l session.List) {
	if l.Complete {
		for i := range b.servers {
			b.servers[i].State = session.Gone
		}
	}
	for _, e := range l.Entries {
		for len(b.servers) <= e.Server {
			b.servers, b.ownPlaybacks = append(b.servers, session.Entry{}), append(b.ownPlaybacks, 0)
		}
		b.servers[e.Server] = e
	}
}
func (b *baseline) Opened(session.Request, int) {}
func (b *baseline) Requested(r session.Request) {
	b.playbacks[r.Playback] = &baselinePlayback{Request: r, server: -1}
	b.pending = append(b.pending, r.Playback)
}
func (b *baseline) Playing(pb, _, _ int, _ session.Time) { b.playbacks[pb].playing = true }
func (b *baseline) Ended(r session.Result) {
	p := b.playbacks[r.Playback]
	if p == nil {
		return
	}
	b.release(p)
	if r.Final {
		b.ended = append(b.ended, r.Playback)
		return
	}
	p.failures++
	p.tried = p.tried && r.Outcome != session.Full && r.Outcome != session.NoConnection && r.Outcome != session.NotSent
	b.pending = append(b.pending, r.Playback)
}
func (b *baseline) release(p *baselinePlayback) {
	if p.server >= 0 {
		b.ownPlaybacks[p.server]--
		p.server = -1
	}
}
func (b *baseline) Left(pb int) {
	if p := b.playbacks[pb]; p != nil {
		b.release(p)
		b.ended = append(b.ended, pb)
	}
}
func (b *baseline) Woken(uint64)                              {}
func (b *baseline) Probed(int, session.Outcome, session.Load) {}
func (b *baseline) Noted(session.Note)                        {}

func (b *baseline) Settle(a session.Actions) {
	for len(b.pending)+len(b.ended) > 0 {
		todo, ended := b.pending, b.ended
		b.pending, b.ended = nil, nil
		for _, pb := range ended {
			if b.playbacks[pb] != nil {
				delete(b.playbacks, pb)
				a.Forget(pb)
			}
		}
		for _, pb := range todo {
			p := b.playbacks[pb]
			if p == nil {
				continue
			}
			plan := &b.Plans[p.Plan]
			s := -1
			if p.failures == 0 && b.now < p.AbandonAt {
				s = b.pick(b, &p.Request)
			}
			switch {
			case s >= 0:
				p.server, p.tried = s, true
				b.ownPlaybacks[s]++
				a.SetRung(pb, max(min(b.rung, plan.Top, p.Top), plan.Floor))
				a.Try(pb, s, 0)
				continue
			case p.tried && plan.Repeat == session.Unsafe:
				a.Abort(pb)
			default:
				a.Reject(pb, b.Terms.MaxRetryAfter)
			}
			delete(b.playbacks, pb)
			a.Forget(pb)
		}
	}
}
