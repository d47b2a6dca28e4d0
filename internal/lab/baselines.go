package lab

import (
	"math/rand/v2"
	"slices"

	"pierlink/session"
)

// baselines are simple policies used in place of the module for comparison. They keep only those rules
// that follow from trying each playback once, at a server that is listed as ready.
var baselines = map[string]func(*session.Site, uint64) session.Manager{
	"random":  func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickRandom, 0) },
	"fewest":  func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickFewest, 0) },
	"local":   func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickLocal, 0) },
	"highest": func(s *session.Site, seed uint64) session.Manager { return newBaseline(s, seed, pickFewest, 99) },
}

// Baselines returns the names of the baseline policies.
func Baselines() []string { return sortedKeys(baselines) }

// picker chooses a server for a request, or -1 for none.
type picker func(*baseline, *session.Request) int

// baseline tries each playback once, at a server that its picker chooses, and rejects or aborts it if that fails.
type baseline struct {
	*session.Site
	rng          *rand.Rand
	pick         picker
	rung         int
	now          session.Time
	servers      []session.Entry
	ownPlaybacks []int // number of this front's playbacks at each server
	playbacks    map[int]*baselinePlayback
	pending      []int
	ended        []int
	moving       []int
}

// baselinePlayback is a playback that a baseline decides on.
type baselinePlayback struct {
	session.Request
	server   int
	tried    bool
	playing  bool
	failures int
}

func newBaseline(site *session.Site, seed uint64, pick picker, rung int) *baseline {
	return &baseline{Site: site, rng: rand.New(rand.NewPCG(seed, 0xba5e)), pick: pick, rung: rung, playbacks: map[int]*baselinePlayback{}}
}

// holders returns the ready servers that hold a title.
func (b *baseline) holders(request *session.Request) (servers []int) {
	for i := range b.servers {
		if entry := &b.servers[i]; entry.State == session.Ready && (request.CellCount == 0 || (entry.Cell-request.FirstCell+b.Fleet.Cells)%b.Fleet.Cells < request.CellCount) {
			servers = append(servers, i)
		}
	}
	return servers
}

func pickRandom(b *baseline, request *session.Request) int {
	holders := b.holders(request)
	if len(holders) == 0 {
		return -1
	}
	return holders[b.rng.IntN(len(holders))]
}

func pickFewest(b *baseline, request *session.Request) int {
	holders := b.holders(request)
	b.rng.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	if len(holders) == 0 {
		return -1
	}
	return slices.MinFunc(holders, func(x, y int) int { return b.ownPlaybacks[x] - b.ownPlaybacks[y] })
}

func pickLocal(b *baseline, request *session.Request) int {
	holders := b.holders(request)
	b.rng.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	if len(holders) == 0 {
		return -1
	}
	zonePenalty := func(x int) int {
		if b.servers[x].Zone == b.Zone {
			return 0
		}
		return 1 << 20
	}
	return slices.MinFunc(holders, func(x, y int) int { return b.ownPlaybacks[x] + zonePenalty(x) - b.ownPlaybacks[y] - zonePenalty(y) })
}

func (b *baseline) BeginTurn(now session.Time) { b.now = now }
func (b *baseline) Listed(list session.List) {
	if list.Complete {
		for i := range b.servers {
			b.servers[i].State = session.Gone
		}
	}
	for _, entry := range list.Entries {
		for len(b.servers) <= entry.Server {
			b.servers, b.ownPlaybacks = append(b.servers, session.Entry{}), append(b.ownPlaybacks, 0)
		}
		b.servers[entry.Server] = entry
	}
}
func (b *baseline) Opened(session.Request, int) {}
func (b *baseline) Requested(request session.Request) {
	b.playbacks[request.Playback] = &baselinePlayback{Request: request, server: -1}
	b.pending = append(b.pending, request.Playback)
}
func (b *baseline) Playing(playback, _, _ int, _ session.Time) { b.playbacks[playback].playing = true }
func (b *baseline) Ended(result session.Result) {
	playback := b.playbacks[result.Playback]
	if playback == nil {
		return
	}
	b.release(playback)
	if result.Final {
		b.ended = append(b.ended, result.Playback)
		return
	}
	playback.failures++
	playback.tried = playback.tried && result.Outcome != session.Full && result.Outcome != session.NoConnection && result.Outcome != session.NotSent
	b.pending = append(b.pending, result.Playback)
}
func (b *baseline) release(playback *baselinePlayback) {
	if playback.server >= 0 {
		b.ownPlaybacks[playback.server]--
		playback.server = -1
	}
}
func (b *baseline) Left(id int) {
	if playback := b.playbacks[id]; playback != nil {
		b.release(playback)
		b.ended = append(b.ended, id)
	}
}
func (b *baseline) Woken(uint64)                              {}
func (b *baseline) Probed(int, session.Outcome, session.Load) {}
func (b *baseline) Noted(session.Note)                        {}

func (b *baseline) Settle(actions session.Actions) {
	for len(b.pending)+len(b.ended) > 0 {
		pending, ended := b.pending, b.ended
		b.pending, b.ended = nil, nil
		for _, id := range ended {
			if b.playbacks[id] != nil {
				delete(b.playbacks, id)
				actions.Forget(id)
			}
		}
		for _, id := range pending {
			playback := b.playbacks[id]
			if playback == nil {
				continue
			}
			plan := &b.Plans[playback.Plan]
			server := -1
			if playback.failures == 0 && b.now < playback.AbandonAt {
				server = b.pick(b, &playback.Request)
			}
			switch {
			case server >= 0:
				playback.server, playback.tried = server, true
				b.ownPlaybacks[server]++
				actions.SetRung(id, max(min(b.rung, plan.Top, playback.Top), plan.Floor))
				actions.Try(id, server, 0)
				continue
			case playback.tried && plan.Repeat == session.Unsafe:
				actions.Abort(id)
			default:
				actions.Reject(id, b.Terms.MaxRetryAfter)
			}
			delete(b.playbacks, id)
			actions.Forget(id)
		}
	}
}
