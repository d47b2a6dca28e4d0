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

type pick func(*baseline, *session.Request) int

// baseline tries each playback once, at a server that its pick chooses, and gives up on it where that fails.
type baseline struct {
	*session.Site
	rng     *rand.Rand
	pick    pick
	rung    int
	now     session.Time
	servers []session.Entry
	own     []int // playbacks of this front at each server
	pbs     map[int]*basePB
	todo    []int
	ended   []int
	moving  []int
}

type basePB struct {
	session.Request
	server int
	tried  bool
	ok     bool
	fails  int
}

func newBaseline(s *session.Site, seed uint64, p pick, rung int) *baseline {
	return &baseline{Site: s, rng: rand.New(rand.NewPCG(seed, 0xba5e)), pick: p, rung: rung, pbs: map[int]*basePB{}}
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
	return slices.MinFunc(all, func(x, y int) int { return b.own[x] - b.own[y] })
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
	return slices.MinFunc(all, func(x, y int) int { return b.own[x] + far(x) - b.own[y] - far(y) })
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
			b.servers, b.own = append(b.servers, session.Entry{}), append(b.own, 0)
		}
		b.servers[e.Server] = e
	}
}
func (b *baseline) Opened(session.Request, int) {}
func (b *baseline) Requested(r session.Request) {
	b.pbs[r.Playback] = &basePB{Request: r, server: -1}
	b.todo = append(b.todo, r.Playback)
}
func (b *baseline) Playing(pb, _, _ int, _ session.Time) { b.pbs[pb].ok = true }
func (b *baseline) Ended(r session.Result) {
	p := b.pbs[r.Playback]
	if p == nil {
		return
	}
	b.leave(p)
	if r.Final {
		b.ended = append(b.ended, r.Playback)
		return
	}
	p.fails++
	p.tried = p.tried && r.Outcome != session.Full && r.Outcome != session.NoConnection && r.Outcome != session.NotSent
	b.todo = append(b.todo, r.Playback)
}
func (b *baseline) leave(p *basePB) {
	if p.server >= 0 {
		b.own[p.server]--
		p.server = -1
	}
}
func (b *baseline) Left(pb int) {
	if p := b.pbs[pb]; p != nil {
		b.leave(p)
		b.ended = append(b.ended, pb)
	}
}
func (b *baseline) Woken(uint64)                              {}
func (b *baseline) Probed(int, session.Outcome, session.Load) {}
func (b *baseline) Noted(session.Note)                        {}

func (b *baseline) Settle(a session.Actions) {
	for len(b.todo)+len(b.ended) > 0 {
		todo, ended := b.todo, b.ended
		b.todo, b.ended = nil, nil
		for _, pb := range ended {
			if b.pbs[pb] != nil {
				delete(b.pbs, pb)
				a.Forget(pb)
			}
		}
		for _, pb := range todo {
			p := b.pbs[pb]
			if p == nil {
				continue
			}
			plan := &b.Plans[p.Plan]
			s := -1
			if p.fails == 0 && b.now < p.AbandonAt {
				s = b.pick(b, &p.Request)
			}
			switch {
			case s >= 0:
				p.server, p.tried = s, true
				b.own[s]++
				a.SetRung(pb, max(min(b.rung, plan.Top, p.Top), plan.Floor))
				a.Try(pb, s, 0)
				continue
			case p.tried && plan.Repeat == session.Unsafe:
				a.Abort(pb)
			default:
				a.Reject(pb, b.Terms.MaxRetryAfter)
			}
			delete(b.pbs, pb)
			a.Forget(pb)
		}
	}
}
