package registry

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func putManager(name string) Change    { return Change{Key: ManagersPrefix + name} }
func deleteManager(name string) Change { return Change{Key: ManagersPrefix + name, Deleted: true} }

// Checks that a manager that lost its lease still counts for the hold time, a new one counts at once, and each has a
// number of its own.
func TestManagerCount(t *testing.T) {
	managers := &ManagerSet{OwnName: "b", LeaseTime: 1000}
	if n, i := managers.Count(0); n != 1 || i != 0 {
		t.Error(n, i)
	}
	managers.Apply(Update{Snapshot: true, Changes: []Change{putManager("a"), putManager("b"), putManager("c"), {Key: BoxesPrefix + "x"}}}, 1)
	if n, i := managers.Count(1); n != 3 || i != 1 {
		t.Error(n, i)
	}
	managers.Apply(Update{Changes: []Change{deleteManager("a"), putManager("d")}}, 10)
	if n, i := managers.Count(11); n != 4 || i != 1 {
		t.Error(n, i)
	}
	managers.Apply(Update{Snapshot: true}, 20) // the registry lost all keys
	if n, _ := managers.Count(21); n != 4 {
		t.Error(n)
	}
	if n, i := managers.Count(20 + holdLeases*1000 + 1); n != 1 || i != 0 {
		t.Error(n, i)
	}
}

// Checks, for any order in which managers learn of one another, that the shares of the running managers add up to at
// most one, and no two have the same number, once all have received the keys of all others.
func TestManagerSharesSum(t *testing.T) {
	const delay, lease = 50, 100
	checked := 0
	rapid.Check(t, func(rt *rapid.T) {
		type manager struct {
			set   *ManagerSet
			since Time
		}
		live := map[string]*manager{}
		type message struct {
			at     Time
			to     *manager // a message to a manager that died does not reach its successor of the same name
			update Update
		}
		var inTransit []message
		keys, latest := map[string]bool{}, map[*manager]Time{}
		for now := Time(1); now < 20000; now += Time(rapid.IntRange(1, 500).Draw(rt, "dt")) {
			name := string(rune('a' + rapid.IntRange(0, 6).Draw(rt, "name")))
			var change Change
			switch {
			case rapid.IntRange(0, 2).Draw(rt, "quiet") > 0:
			case live[name] == nil:
				live[name] = &manager{&ManagerSet{OwnName: name, LeaseTime: lease}, now}
				var managers []Change
				for _, k := range slices.Sorted(maps.Keys(keys)) {
					managers = append(managers, putManager(k))
				}
				live[name].set.Apply(Update{Snapshot: true, Changes: managers}, now)
				keys[name] = true
				change = putManager(name)
			case rapid.Bool().Draw(rt, "lease only"): // lease lost by a running manager; it returns well within the hold time
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
			for _, n := range slices.Sorted(maps.Keys(live)) { // sorted, so that a failure can be reproduced
				if change.Key == "" {
					break
				}
				receiver := live[n]
				latest[receiver] = max(latest[receiver], now+Time(rapid.IntRange(0, delay).Draw(rt, "delay"))) // each receives its messages in order
				inTransit = append(inTransit, message{latest[receiver], receiver, Update{Changes: []Change{change}}})
			}
			var undelivered []message
			for _, msg := range inTransit {
				if msg.at > now {
					undelivered = append(undelivered, msg)
				} else {
					msg.to.set.Apply(msg.update, now)
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
				managers, number := live[n].set.Count(now)
				sum += 1 / float64(managers)
				if numbers[number] && sum > 1.000001 {
					rt.Fatalf("%s has the same number %d as another manager", n, number)
				}
				numbers[number] = true
			}
			checked++
			if sum > 1.000001 {
				rt.Fatalf("shares add up to %.3f for %d managers", sum, len(live))
			}
		}
	})
	if checked < 100 {
		t.Error("only", checked, "states were checked")
	}
}
