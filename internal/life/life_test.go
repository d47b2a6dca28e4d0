package life

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var actionNames = [...]string{"listen", "tell", "hush", "refuse", "send", "end", "exit"}

// play lets a life go by; what happens at each moment is told, and what it wants is noted with its time.
func simulate(l *Life, until Time, x func(now Time) Load, at map[Time]func()) (acts []string) {
	next := Time(0)
	for now := Time(0); now <= until; now += 100_000 {
		l.At(now)
		if f := at[now]; f != nil {
			f()
			next = now
		}
		for now >= next {
			load := x(now)
			load.Sent = min(l.applied.redirected, load.Playing)
			hushed := false
			next = l.Settle(load, func(a Act) {
				s := actionNames[a.Kind]
				if a.Kind == Hush {
					hushed = true
				}
				if a.Kind == TellNews {
					st, _ := l.State()
					s = st.String()
				}
				if a.Kind == SendOn {
					s = fmt.Sprint(s, " ", a.N)
				}
				acts = append(acts, fmt.Sprintf("%.1f %s", float64(now)/1e6, s))
			})
			if hushed { // which makes a turn of its own
				l.Hushed()
				next = now
			}
		}
	}
	return acts
}

func ready(l *Life) { l.Has(Settings); l.Has(List); l.Has(Module) }

func TestLifecycleScenarios(t *testing.T) {
	const s = 1_000_000
	terms := Terms{Drain: 4 * s, Finish: 4 * s}
	none := func(Time) Load { return Load{} }
	for name, c := range map[string]struct {
		load func(Time) Load
		at   func(*Life) map[Time]func()
		want []string
	}{
		"not ready before the list": {none, func(l *Life) map[Time]func() {
			return map[Time]func(){0: func() { l.Has(Settings); l.Has(Module) }, 2 * s: func() { l.Has(List) }}
		}, []string{"0.0 starting", "2.0 listen", "2.0 ready"}},
		"stopped while it starts": {none, func(l *Life) map[Time]func() {
			return map[Time]func(){0: func() { l.Has(Settings) }, s: l.Stop}
		}, []string{"0.0 starting", "1.0 stopped", "1.0 exit"}},
		"stopped with nothing open": {none, func(l *Life) map[Time]func() {
			return map[Time]func(){0: func() { ready(l) }, s: l.Stop}
		}, []string{"0.0 listen", "0.0 ready", "1.0 hush", "1.0 refuse", "1.0 draining", "1.0 end", "1.0 stopped", "1.0 exit"}},
		"playing sessions are sent on evenly in half of the drain time": {func(now Time) Load {
			if now > 4*s {
				return Load{}
			}
			return Load{Playing: 4}
		}, func(l *Life) map[Time]func() {
			return map[Time]func(){0: func() { ready(l) }, s: l.Stop}
		}, []string{"0.0 listen", "0.0 ready", "1.0 hush", "1.0 refuse", "1.0 send 1", "1.0 draining", "1.6 send 1", "2.1 send 1", "2.6 send 1",
			"5.0 end", "5.0 stopped", "5.0 exit"}},
		"a second stop hurries, a third ends it": {func(Time) Load { return Load{Playing: 1, Dialogues: 1} },
			func(l *Life) map[Time]func() {
				return map[Time]func(){0: func() { ready(l) }, s: l.Stop, 2 * s: l.Stop, 3 * s / 2: func() {}, 5 * s / 2: l.Stop}
			}, []string{"0.0 listen", "0.0 ready", "1.0 hush", "1.0 refuse", "1.0 send 1", "1.0 draining", "2.0 end", "2.0 stopping", "2.5 stopped", "2.5 exit"}},
		"a teardown that is not answered ends in time": {func(Time) Load { return Load{Waiting: 1, Dialogues: 1} },
			func(l *Life) map[Time]func() {
				return map[Time]func(){0: func() { ready(l) }, s: l.Stop}
			}, []string{"0.0 listen", "0.0 ready", "1.0 hush", "1.0 refuse", "1.0 draining", "5.0 end", "5.0 stopping", "6.0 stopped", "6.0 exit"}},
		"taken over, playing sessions stay for half of the drain time": {func(Time) Load { return Load{Playing: 1} },
			func(l *Life) map[Time]func() {
				return map[Time]func(){0: func() { ready(l) }, s: l.TakenOver}
			}, []string{"0.0 listen", "0.0 ready", "1.0 hush", "1.0 refuse", "1.0 draining", "3.0 send 1", "5.0 end", "5.0 stopped", "5.0 exit"}},
	} {
		l := New(terms, 0)
		if got := simulate(l, 9*s, c.load, c.at(l)); !slices.Equal(got, c.want) {
			t.Errorf("%s:\n got %q\nwant %q", name, got, c.want)
		}
	}
}

// Whatever happens in whatever order: a process listens only once all stands, refuses before it ends, ends
// everything before it exits, tells each session to go at most once, and has gone when its times are over.
func TestLifecycleInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Terms{Drain: rapid.Int64Range(0, 5_000_000).Draw(rt, "drain"), Finish: rapid.Int64Range(1, 5_000_000).Draw(rt, "finish")}
		l := New(terms, 0)
		x := Load{Playing: rapid.IntRange(0, 50).Draw(rt, "playing"), Waiting: rapid.IntRange(0, 5).Draw(rt, "waiting"), Dialogues: 3}
		seen := map[ActionKind]int{}
		now, stopped := Time(0), Time(-1)
		for range 60 {
			now += rapid.Int64Range(1, 700_000).Draw(rt, "pass")
			l.At(now)
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				l.Has(Settings)
			case 1:
				l.Has(List)
			case 2:
				l.Has(Module)
			case 3:
				if l.Stop(); stopped < 0 {
					stopped = now
				}
			case 4:
				l.TakenOver()
			case 5:
				x.Waiting = max(x.Waiting-1, 0)
			case 6:
				x.Playing = max(x.Playing-1, x.Sent)
			case 7:
				if x.Sent > 0 {
					x.Sent--
					x.Playing--
				}
			}
			l.Settle(x, func(a Act) {
				if a.Kind != TellNews && a.Kind != SendOn && seen[a.Kind] > 0 {
					rt.Fatal("twice:", actionNames[a.Kind])
				}
				seen[a.Kind]++
				switch a.Kind {
				case Listen:
					if l.satisfied != [prerequisiteCount]bool{true, true, true} || seen[Hush] > 0 {
						rt.Fatal("listens too early or too late")
					}
				case SendOn:
					if n := min(a.N, x.Playing-x.Sent); seen[Refuse] == 0 || seen[End] > 0 {
						rt.Fatal("sends on out of time")
					} else {
						x.Sent += n
					}
				case End:
					if seen[Refuse] == 0 {
						rt.Fatal("ends what it has not refused")
					}
				case Exit:
					if seen[Listen] > 0 && seen[End] == 0 {
						rt.Fatal("exits with sessions open")
					}
				}
			})
		}
		if stopped >= 0 && now > stopped+terms.Drain+terms.Finish+2_000_000 {
			l.At(now + 1)
			l.Settle(x, func(Act) {})
			l.Settle(x, func(Act) {})
			if st, _ := l.State(); st != Stopped {
				rt.Fatal("still ", st)
			}
		}
	})
}

func TestPeersRoundRobin(t *testing.T) {
	starts := map[string]int{}
	for seed := range uint64(200) {
		o := Others{Seed: seed * 7919}
		if o.Next(false) != "" {
			t.Fatal("sent nowhere")
		}
		o.Set([]string{"c", "a", "b", "d"})
		got := map[string]int{}
		for range 40 {
			got[o.Next(false)]++
		}
		starts[o.Next(false)]++
		for _, n := range got {
			if n != 10 {
				t.Fatal(got)
			}
		}
	}
	for _, n := range starts {
		if n < 25 || n > 75 {
			t.Error("places are not spread:", starts)
		}
	}
}

func TestLagMonitor(t *testing.T) {
	b := Behind{Startup: 800_000}
	for _, c := range []struct {
		at, late Time
		shed     bool
	}{{1_000_000, 150_000, false}, {1_010_000, 250_000, true}, {1_300_000, 0, true}, {1_420_000, 0, false}, {9_000_000, 0, false}} {
		b.Turn(c.at, c.late)
		if got := b.Shed(c.at); got != c.shed {
			t.Errorf("at %d: %t", c.at, got)
		}
	}
}

// Orphans are torn down the latest first, so many at once; a box that does not answer is tried again, until
// what ran there has timed out.
func TestOrphans(t *testing.T) {
	o := Orphans{Timeout: 6_400_000, AtOnce: 2}
	o.Take([]Orphan{{Name: "a"}, {Name: "b"}, {Name: "c"}}, 0)
	var out []string
	var done []func(Time, bool)
	free := func(x Orphan, d func(Time, bool)) { out, done = append(out, x.Name), append(done, d) }
	o.Settle(0, free)
	if !slices.Equal(out, []string{"c", "b"}) {
		t.Fatal(out)
	}
	done[0](10, true)
	done[0](10, false) // its connection's end comes after the answer
	done[1](10, false)
	if next := o.Settle(10, free); !slices.Equal(out, []string{"c", "b", "a"}) || next != 100_010 {
		t.Fatal(out, next)
	}
	done[2](20, true)
	for now := Time(100_010); o.Left() > 0; now = o.Settle(now, free) {
		if o.Settle(now, free); len(done) > 3 {
			done[len(done)-1](now, false)
		}
	}
	if o.TornDown != 2 || o.Expired != 1 || len(out) > 12 {
		t.Errorf("%+v %v", o, out)
	}
}

func TestSuccessor(t *testing.T) {
	h := Heir{TrySpan: 10}
	if free, _ := h.FreeTries(6, 5); free != 6 {
		t.Error(free)
	}
	h.Take(5)
	if free, until := h.FreeTries(6, 14); free != 0 || until != 15 {
		t.Error(free, until)
	}
	if free, _ := h.FreeTries(6, 15); free != 6 {
		t.Error(free)
	}
	h.Hold(map[Seat]int{{"p", "t"}: 2})
	if h.Held(Seat{"p", "t"}) != 2 || h.Held(Seat{"p", "u"}) != 0 {
		t.Error("seats")
	}
}

// Whoever came under TLS is sent to doors under TLS only, in turn, and nobody where there is none.
func TestSecurePeers(t *testing.T) {
	var o Others
	o.Set([]string{"a:1", "rtsps://a:2", "b:1", "rtsps://c:2"})
	got := map[string]int{}
	for range 4 {
		got["clear "+o.Next(false)]++
		got["secure "+o.Next(true)]++
	}
	if len(got) != 4 || got["clear a:1"] != 2 || got["clear b:1"] != 2 || got["secure a:2"] != 2 || got["secure c:2"] != 2 || o.Count() != 2 {
		t.Error(got, o.Count())
	}
	o.Set([]string{"a:1"})
	if o.Next(true) != "" || o.Next(false) != "a:1" {
		t.Error("sent in the clear")
	}
}
