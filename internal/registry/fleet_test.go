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
	managers := &Fleet{Own: "b", Lease: 1000}
	if n, i := managers.Count(0); n != 1 || i != 0 {
		t.Error(n, i)
	}
	managers.Take(News{Whole: true, Changes: []Change{putManager("a"), putManager("b"), putManager("c"), {Key: BoxesPrefix + "x"}}}, 1)
	if n, i := managers.Count(1); n != 3 || i != 1 {
		t.Error(n, i)
	}
	managers.Take(News{Changes: []Change{deleteManager("a"), putManager("d")}}, 10)
	if n, i := managers.Count(11); n != 4 || i != 1 {
		t.Error(n, i)
	}
	managers.Take(News{Whole: true}, 20) // the registry lost all
	if n, _ := managers.Count(21); n != 4 {
		t.Error(n)
	}
	if n, i := managers.Count(20 + holdLeases*1000 + 1); n != 1 || i != 0 {
		t.Error(n, i)
	}
}

// Whatever the order in which managers hear of one another: those that live and have heard of all that live
// for longer than the delay take parts that add up to no more than one, and no two have the same number.
func TestManagerSharesSum(t *testing.T) {
	const delay, lease = 50, 100
	checked := 0
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
		var inTransit []told
		keys, latest := map[string]bool{}, map[*manager]Time{}
		for now := Time(1); now < 20000; now += Time(rapid.IntRange(1, 500).Draw(rt, "dt")) {
			name := string(rune('a' + rapid.IntRange(0, 6).Draw(rt, "name")))
			var change Change
			switch {
			case rapid.IntRange(0, 2).Draw(rt, "quiet") > 0:
			case live[name] == nil:
				live[name] = &manager{&Fleet{Own: name, Lease: lease}, now}
				var managers []Change
				for _, k := range slices.Sorted(maps.Keys(keys)) {
					managers = append(managers, putManager(k))
				}
				live[name].f.Take(News{Whole: true, Changes: managers}, now)
				keys[name] = true
				change = putManager(name)
			case rapid.Bool().Draw(rt, "lease only"): // lost while it lives; it comes back well within the hold
				keys[name] = !keys[name]
				if change = putManager(name); !keys[name] {
					delete(keys, name)
					change = deleteManager(name)
				}
			default:
				delete(live, name)
				delete(keys, name)
				change = deleteManager(name)
			}
			for _, n := range slices.Sorted(maps.Keys(live)) { // in order, so that a failure can be played again
				if change.Key == "" {
					break
				}
				receiver := live[n]
				latest[receiver] = max(latest[receiver], now+Time(rapid.IntRange(0, delay).Draw(rt, "delay"))) // each hears in order
				inTransit = append(inTransit, told{latest[receiver], receiver, News{Changes: []Change{change}}})
			}
			var undelivered []told
			for _, msg := range inTransit {
				if msg.at > now {
					undelivered = append(undelivered, msg)
				} else {
					msg.to.f.Take(msg.news, now)
				}
			}
			inTransit = undelivered
			settled, sum := true, 0.0
			numbers := map[int]bool{}
			names := slices.Sorted(maps.Keys(live))
			for _, n := range names {
				instance := live[n]
				settled = settled && keys[n] && now-instance.since > 2*delay
			}
			if !settled || len(inTransit) > 0 {
				continue
			}
			for _, n := range names {
				managers, number := live[n].f.Count(now)
				sum += 1 / float64(managers)
				if numbers[number] && sum > 1.000001 {
					rt.Fatalf("%s has the number %d of another", n, number)
				}
				numbers[number] = true
			}
			checked++
			if sum > 1.000001 {
				rt.Fatalf("parts add up to %.3f of %d managers", sum, len(live))
			}
		}
	})
	if checked < 100 {
		t.Error("only", checked, "moments were judged")
	}
}
