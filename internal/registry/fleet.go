package registry

import (
	"maps"
	"slices"
	"strings"
)

// ManagerSet tracks how many session managers there are and the number of this one among them. Managers use both to
// share the rate at which boxes that have just started may be loaded. While their views differ the sum of the shares
// must not exceed one:
//   - a manager counts from the moment that its key is seen, and for holdLeases lease times after the key has
//     been deleted, as it may have lost its lease and still be running;
//   - a manager that has just started counts itself before the others have seen it, so the shares add up to more
//     than one for that time. The module uses no announced budget of a cold box during its first fall span, which
//     covers that time; afterwards the others have seen the new manager.
//
// Managers are numbered in the order of their names, so all that see the same names agree on the numbers.
type ManagerSet struct {
	OwnName   string              // name of this manager
	LeaseTime Time                // TTL of the leases of the managers
	lastSeen  map[string]Time     // by name; the value present while the key exists
	ready     map[string][]string // addresses of the ready managers by name, in the form that life.Peers accepts
	LeaseLost bool                // the key of this manager was deleted while it runs
}

const (
	holdLeases = 4 // lease times that a manager still counts after its key was deleted
	present    = Time(1) << 62
)

// Apply applies an update of the managers' keys.
func (f *ManagerSet) Apply(update Update, now Time) {
	if f.lastSeen == nil {
		f.lastSeen, f.ready = map[string]Time{}, map[string][]string{}
	}
	markGone := func(name string) {
		delete(f.ready, name)
		if f.lastSeen[name] == present {
			f.lastSeen[name] = now
		}
	}
	if update.Snapshot {
		for name := range f.lastSeen {
			markGone(name)
		}
	}
	for _, change := range update.Changes {
		name, ok := strings.CutPrefix(change.Key, ManagersPrefix)
		switch {
		case !ok:
		case change.Deleted:
			markGone(name)
			f.LeaseLost = f.LeaseLost || name == f.OwnName
		default:
			f.lastSeen[name] = present
			delete(f.ready, name)
			if manager, err := DecodeManager(change.Value); err == nil && manager.State == "ready" && manager.Address != "" {
				f.ready[name] = []string{manager.Address}
				if manager.TLSAddress != "" {
					f.ready[name] = append(f.ready[name], "rtsps://"+manager.TLSAddress)
				}
			}
		}
	}
}

// Count returns the number of managers, and the number of this one, counted from 0.
func (f *ManagerSet) Count(now Time) (managers, number int) {
	names := []string{f.OwnName}
	for name, seen := range f.lastSeen {
		switch {
		case seen != present && now-seen > holdLeases*f.LeaseTime:
			delete(f.lastSeen, name)
		case name != f.OwnName:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return len(names), slices.Index(names, f.OwnName)
}

// Others returns the addresses of the other managers that are ready, sorted by name.
func (f *ManagerSet) Others() (addresses []string) {
	for _, name := range slices.Sorted(maps.Keys(f.ready)) {
		if name != f.OwnName {
			addresses = append(addresses, f.ready[name]...)
		}
	}
	return addresses
}
