package registry

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func putManager(name string) Change    { return Change{Key: ManagersPrefix + name} }
func deleteManager(name string) Change { return Change{Key: ManagersPrefix + name, Deleted: true} }

// One that loses its lease still counts for a while; one that is new counts at once; each has its own number.
func TestManagerCount(t *testing.T) {
	f := &Fleet{Own: "b", Lease: 1000}
	if n, i := f.Count(0); n != 1 || i != 0 {
		t.Error(n, i)
	}
	f.Take(News{Whole: true, Changes: []Change{putManager("a"), putManager("b"), putManager("c"), {Key: BoxesPrefix + "x"}}}, 1)
	if n, i := f.Count(1); n != 3 || i != 1 {
		t.Error(n, i)
	}
	f.Take(News{Changes: []Change{deleteManager("a"), putManager("d")}}, 10)
	if n, i := f.Count(11); n != 4 || i != 1 {
		t.Error(n, i)
	}
	f.Take(News{Whole: true}, 20) // the registry lost all
	if n, _ := f.Count(21); n != 4 {
		t.Error(n)
	}
	if n, i := f.Count(20 + holdLeases*1000 + 1); n != 1 || i != 0 {
		t.Error(n, i)
	}
}

// Whatever the order in which managers hear of one another: those that live and have heard of all that live
// for longer than the delay take parts that add up to no more than one, and no two have the same number.
func TestManagerSharesSum(t *testing.T) {
	const delay, lease = 50, 100
	judged := 0
	rapid.Check(t, func(rt *rapid.T) {
		type manager struct {
			f     *Fleet
			since Time
		}
		live := map[string]*manager{}
		type told struct {
			at   Time
			to   *manager // what was on its way to one that died does not reach the next of its name
			news News
		}
		var mail []told
		keys, latest := map[string]bool{}, map[*manager]Time{}
		for now := Time(1); now < 20000; now += Time(rapid.IntRange(1, 500).Draw(rt, "dt")) {
			name := string(rune('a' + rapid.IntRange(0, 6).Draw(rt, "name")))
			var c Change
			switch {
			case rapid.IntRange(0, 2).Draw(rt, "quiet") > 0:
			case live[name] == nil:
				live[name] = &manager{&Fleet{Own: name, Lease: lease}, now}
				var all []Change
				for _, k := range slices.Sorted(maps.Keys(keys)) {
					all = append(all, putManager(k))
				}
				live[name].f.Take(News{Whole: true, Changes: all}, now)
				keys[name] = true
				c = putManager(name)
			case rapid.Bool().Draw(rt, "lease only"): // lost while it lives; it comes back well within the hold
				keys[name] = !keys[name]
				if c = putManager(name); !keys[name] {
					delete(keys, name)
					c = deleteManager(name)
				}
			default:
				delete(live, name)
				delete(keys, name)
				c = deleteManager(name)
			}
			for _, n := range slices.Sorted(maps.Keys(live)) { // in order, so that a failure can be played again
				if c.Key == "" {
					break
				}
				to := live[n]
				latest[to] = max(latest[to], now+Time(rapid.IntRange(0, delay).Draw(rt, "delay"))) // each hears in order
				mail = append(mail, told{latest[to], to, News{Changes: []Change{c}}})
			}
			var rest []told
			for _, m := range mail {
				if m.at > now {
					rest = append(rest, m)
				} else {
					m.to.f.Take(m.news, now)
				}
			}
			mail = rest
			settled, sum := true, 0.0
			numbers := map[int]bool{}
			names := slices.Sorted(maps.Keys(live))
			for _, n := range names {
				x := live[n]
				settled = settled && keys[n] && now-x.since > 2*delay
			}
			if !settled || len(mail) > 0 {
				continue
			}
			for _, n := range names {
				all, i := live[n].f.Count(now)
				sum += 1 / float64(all)
				if numbers[i] && sum > 1.000001 {
					rt.Fatalf("%s has the number %d of another", n, i)
				}
				numbers[i] = true
			}
			judged++
			if sum > 1.000001 {
				rt.Fatalf("parts add up to %.3f of %d managers", sum, len(live))
			}
		}
	})
	if judged < 100 {
		t.Error("only", judged, "moments were judged")
	}
}
