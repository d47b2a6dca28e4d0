package life

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var actionNames = [...]string{"listen", "notify", "stop accepting", "reject", "redirect", "end", "exit"}

// simulate advances the lifecycle in steps of 100 ms, runs the given events at their times, and returns the steps that
// the lifecycle emits with their times.
func simulate(l *Lifecycle, until Time, loadAt func(now Time) Load, events map[Time]func()) (acts []string) {
	next := Time(0)
	for now := Time(0); now <= until; now += 100_000 {
		l.Advance(now)
		if f := events[now]; f != nil {
			f()
			next = now
		}
		for now >= next {
			load := loadAt(now)
			load.Redirected = min(l.applied.redirected, load.Playing)
			stoppedAccepting := false
			next = l.Reconcile(load, func(a Action) {
				s := actionNames[a.Kind]
				if a.Kind == StopAccepting {
					stoppedAccepting = true
				}
				if a.Kind == NotifySupervisor {
					state, _ := l.State()
					s = state.String()
				}
				if a.Kind == RedirectPlaying {
					s = fmt.Sprint(s, " ", a.Count)
				}
				acts = append(acts, fmt.Sprintf("%.1f %s", float64(now)/1e6, s))
			})
			if stoppedAccepting { // the process reports it in a turn of its own
				l.AcceptStopped()
				next = now
			}
		}
	}
	return acts
}

func ready(l *Lifecycle) {
	l.Satisfy(SettingsLoaded)
	l.Satisfy(ServerListLoaded)
	l.Satisfy(PolicyLoaded)
}

func TestLifecycleScenarios(t *testing.T) {
	const second = 1_000_000
	terms := Timeouts{Drain: 4 * second, MaxAbandonTime: 4 * second}
	noLoad := func(Time) Load { return Load{} }
	for name, test := range map[string]struct {
		load func(Time) Load
		at   func(*Lifecycle) map[Time]func()
		want []string
	}{
		"not ready before the server list is there": {noLoad, func(l *Lifecycle) map[Time]func() {
			return map[Time]func(){0: func() { l.Satisfy(SettingsLoaded); l.Satisfy(PolicyLoaded) }, 2 * second: func() { l.Satisfy(ServerListLoaded) }}
		}, []string{"0.0 starting", "2.0 listen", "2.0 ready"}},
		"stopped during startup": {noLoad, func(l *Lifecycle) map[Time]func() {
			return map[Time]func(){0: func() { l.Satisfy(SettingsLoaded) }, second: l.Stop}
		}, []string{"0.0 starting", "1.0 stopped", "1.0 exit"}},
		"stopped with nothing open": {noLoad, func(l *Lifecycle) map[Time]func() {
			return map[Time]func(){0: func() { ready(l) }, second: l.Stop}
		}, []string{"0.0 listen", "0.0 ready", "1.0 stop accepting", "1.0 reject", "1.0 draining", "1.0 end", "1.0 stopped", "1.0 exit"}},
		"playing sessions are redirected evenly over half of the drain time": {func(now Time) Load {
			if now > 4*second {
				return Load{}
			}
			return Load{Playing: 4}
		}, func(l *Lifecycle) map[Time]func() {
			return map[Time]func(){0: func() { ready(l) }, second: l.Stop}
		}, []string{"0.0 listen", "0.0 ready", "1.0 stop accepting", "1.0 reject", "1.0 redirect 1", "1.0 draining", "1.6 redirect 1", "2.1 redirect 1", "2.6 redirect 1",
			"5.0 end", "5.0 stopped", "5.0 exit"}},
		"a second stop cuts the drain short, a third ends the process": {func(Time) Load { return Load{Playing: 1, ServerConnections: 1} },
			func(l *Lifecycle) map[Time]func() {
				return map[Time]func(){0: func() { ready(l) }, second: l.Stop, 2 * second: l.Stop, 3 * second / 2: func() {}, 5 * second / 2: l.Stop}
			}, []string{"0.0 listen", "0.0 ready", "1.0 stop accepting", "1.0 reject", "1.0 redirect 1", "1.0 draining", "2.0 end", "2.0 stopping", "2.5 stopped", "2.5 exit"}},
		"an unanswered teardown times out": {func(Time) Load { return Load{Unanswered: 1, ServerConnections: 1} },
			func(l *Lifecycle) map[Time]func() {
				return map[Time]func(){0: func() { ready(l) }, second: l.Stop}
			}, []string{"0.0 listen", "0.0 ready", "1.0 stop accepting", "1.0 reject", "1.0 draining", "5.0 end", "5.0 stopping", "6.0 stopped", "6.0 exit"}},
		"after a takeover playing sessions stay for half of the drain time": {func(Time) Load { return Load{Playing: 1} },
			func(l *Lifecycle) map[Time]func() {
				return map[Time]func(){0: func() { ready(l) }, second: l.TakenOver}
			}, []string{"0.0 listen", "0.0 ready", "1.0 stop accepting", "1.0 reject", "1.0 draining", "3.0 redirect 1", "5.0 end", "5.0 stopped", "5.0 exit"}},
	} {
		l := New(terms, 0)
		if got := simulate(l, 9*second, test.load, test.at(l)); !slices.Equal(got, test.want) {
			t.Errorf("%s:\n got %q\nwant %q", name, got, test.want)
		}
	}
}

// Invariants under any sequence of events: a process listens only once all prerequisites are met, rejects new
// requests before it ends playbacks, ends all playbacks before it exits, redirects each session at most once, and has
// stopped once its time limits are over.
func TestLifecycleInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := Timeouts{Drain: rapid.Int64Range(0, 5_000_000).Draw(rt, "drain"), MaxAbandonTime: rapid.Int64Range(1, 5_000_000).Draw(rt, "finish")}
		l := New(terms, 0)
		load := Load{Playing: rapid.IntRange(0, 50).Draw(rt, "playing"), Unanswered: rapid.IntRange(0, 5).Draw(rt, "waiting"), ServerConnections: 3}
		seen := map[ActionKind]int{}
		now, stopped := Time(0), Time(-1)
		for range 60 {
			now += rapid.Int64Range(1, 700_000).Draw(rt, "elapsed")
			l.Advance(now)
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				l.Satisfy(SettingsLoaded)
			case 1:
				l.Satisfy(ServerListLoaded)
			case 2:
				l.Satisfy(PolicyLoaded)
			case 3:
				if l.Stop(); stopped < 0 {
					stopped = now
				}
			case 4:
				l.TakenOver()
			case 5:
				load.Unanswered = max(load.Unanswered-1, 0)
			case 6:
				load.Playing = max(load.Playing-1, load.Redirected)
			case 7:
				if load.Redirected > 0 {
					load.Redirected--
					load.Playing--
				}
			}
			l.Reconcile(load, func(a Action) {
				if a.Kind != NotifySupervisor && a.Kind != RedirectPlaying && seen[a.Kind] > 0 {
					rt.Fatal("step emitted twice:", actionNames[a.Kind])
				}
				seen[a.Kind]++
				switch a.Kind {
				case Listen:
					if l.satisfied != [prerequisiteCount]bool{true, true, true} || seen[StopAccepting] > 0 {
						rt.Fatal("listens before all prerequisites are met, or after accepting has stopped")
					}
				case RedirectPlaying:
					if n := min(a.Count, load.Playing-load.Redirected); seen[RejectQueued] == 0 || seen[EndPlaybacks] > 0 {
						rt.Fatal("redirects before new requests are rejected, or after playbacks have ended")
					} else {
						load.Redirected += n
					}
				case EndPlaybacks:
					if seen[RejectQueued] == 0 {
						rt.Fatal("ends playbacks before new requests are rejected")
					}
				case Exit:
					if seen[Listen] > 0 && seen[EndPlaybacks] == 0 {
						rt.Fatal("exits before playbacks have ended")
					}
				}
			})
		}
		if stopped >= 0 && now > stopped+terms.Drain+terms.MaxAbandonTime+2_000_000 {
			l.Advance(now + 1)
			l.Reconcile(load, func(Action) {})
			l.Reconcile(load, func(Action) {})
			if state, _ := l.State(); state != Stopped {
				rt.Fatal("not stopped after its time limits, but ", state)
			}
		}
	})
}

func TestPeersRoundRobin(t *testing.T) {
	firstAddresses := map[string]int{}
	for seed := range uint64(200) {
		peers := Peers{Seed: seed * 7919}
		if peers.Next(false) != "" {
			t.Fatal("an address was returned, though the list is empty")
		}
		peers.Set([]string{"c", "a", "b", "d"})
		counts := map[string]int{}
		for range 40 {
			counts[peers.Next(false)]++
		}
		firstAddresses[peers.Next(false)]++
		for _, n := range counts {
			if n != 10 {
				t.Fatal(counts)
			}
		}
	}
	for _, n := range firstAddresses {
		if n < 25 || n > 75 {
			t.Error("first addresses are not spread evenly over the seeds:", firstAddresses)
		}
	}
}

func TestLagMonitor(t *testing.T) {
	monitor := LagMonitor{StartupTarget: 800_000}
	for _, test := range []struct {
		at, lag Time
		shed    bool
	}{{1_000_000, 150_000, false}, {1_010_000, 250_000, true}, {1_300_000, 0, true}, {1_420_000, 0, false}, {9_000_000, 0, false}} {
		monitor.Record(test.at, test.lag)
		if got := monitor.Shed(test.at); got != test.shed {
			t.Errorf("at %d: shed is %t", test.at, got)
		}
	}
}

// Orphans are torn down the last opened first, with a limit on how many run at once. An unreachable media box is retried
// until its session timeout has passed.
func TestOrphans(t *testing.T) {
	orphans := Orphans{SessionTimeout: 6_400_000, MaxConcurrent: 2}
	orphans.Add([]Orphan{{Name: "a"}, {Name: "b"}, {Name: "c"}}, 0)
	var started []string
	var done []func(Time, bool)
	tearDown := func(x Orphan, d func(Time, bool)) { started, done = append(started, x.Name), append(done, d) }
	orphans.Dispatch(0, tearDown)
	if !slices.Equal(started, []string{"c", "b"}) {
		t.Fatal(started)
	}
	done[0](10, true)
	done[0](10, false) // the end of the connection, reported after the answer, is ignored
	done[1](10, false)
	if next := orphans.Dispatch(10, tearDown); !slices.Equal(started, []string{"c", "b", "a"}) || next != 100_010 {
		t.Fatal(started, next)
	}
	done[2](20, true)
	for now := Time(100_010); orphans.Remaining() > 0; now = orphans.Dispatch(now, tearDown) {
		if orphans.Dispatch(now, tearDown); len(done) > 3 {
			done[len(done)-1](now, false)
		}
	}
	if orphans.TornDown != 2 || orphans.Expired != 1 || len(started) > 12 {
		t.Errorf("%+v %v", orphans, started)
	}
}

func TestSuccessor(t *testing.T) {
	successor := Successor{TrySpan: 10}
	if free, _ := successor.FreeTries(6, 5); free != 6 {
		t.Error(free)
	}
	successor.TookOver(5)
	if free, until := successor.FreeTries(6, 14); free != 0 || until != 15 {
		t.Error(free, until)
	}
	if free, _ := successor.FreeTries(6, 15); free != 6 {
		t.Error(free)
	}
	successor.SetHeldSeats(map[Seat]int{{"p", "t"}: 2})
	if successor.HeldSeats(Seat{"p", "t"}) != 2 || successor.HeldSeats(Seat{"p", "u"}) != 0 {
		t.Error("seats held by the draining process")
	}
}

// Viewers that came over TLS are redirected to TLS listeners only, round robin, and not at all where there is none.
func TestSecurePeers(t *testing.T) {
	var peers Peers
	peers.Set([]string{"a:1", "rtsps://a:2", "b:1", "rtsps://c:2"})
	counts := map[string]int{}
	for range 4 {
		counts["plain "+peers.Next(false)]++
		counts["secure "+peers.Next(true)]++
	}
	if len(counts) != 4 || counts["plain a:1"] != 2 || counts["plain b:1"] != 2 || counts["secure a:2"] != 2 || counts["secure c:2"] != 2 || peers.Count() != 2 {
		t.Error(counts, peers.Count())
	}
	peers.Set([]string{"a:1"})
	if peers.Next(true) != "" || peers.Next(false) != "a:1" {
		t.Error("a viewer that came over TLS was redirected to a listener without TLS")
	}
}
