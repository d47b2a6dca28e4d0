package registry

import (
	"maps"
	"slices"
	"strings"
)

// Fleet tells how many session managers there are and which number one of them has: the figures by which all
// together stay under the pace of cold boxes. While views differ the sum of their parts must not grow:
//   - a manager counts from the moment that it is seen, and for heldFor times a lease's time after its key has
//     gone, as it may have lost the lease and not its life;
//   - one that has just come counts itself before the others have seen it, so that for that while the parts
//     add up to more than one. The module takes no told budget of a cold box in its first fall span, which
//     covers that; after it the others have heard.
//
// Numbers are the names' order, the same for all that see the same names.
type Fleet struct {
	Own      string
	Lease    Time
	lastSeen map[string]Time     // last, by name; never for those that are there
	ready    map[string][]string // addresses of those that are ready, as life.Others takes them
	Lost     bool                // this one's own key has gone, though it lives
}

const (
	holdLeases = 4
	present    = Time(1) << 62
)

// Take follows the managers' keys.
func (f *Fleet) Take(update News, now Time) {
	if f.lastSeen == nil {
		f.lastSeen, f.ready = map[string]Time{}, map[string][]string{}
	}
	markGone := func(name string) {
		delete(f.ready, name)
		if f.lastSeen[name] == present {
			f.lastSeen[name] = now
		}
	}
	if update.Whole {
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
			f.Lost = f.Lost || name == f.Own
		default:
			f.lastSeen[name] = present
			delete(f.ready, name)
			if manager, err := DecodeManager(change.Value); err == nil && manager.State == "ready" && manager.Address != "" {
				f.ready[name] = []string{manager.Address}
				if manager.Secure != "" {
					f.ready[name] = append(f.ready[name], "rtsps://"+manager.Secure)
				}
			}
		}
	}
}

// Count is how many managers there are, and this one's number, from 0.
func (f *Fleet) Count(now Time) (managers, number int) {
	names := []string{f.Own}
	for name, seen := range f.lastSeen {
		switch {
		case seen != present && now-seen > holdLeases*f.Lease:
			delete(f.lastSeen, name)
		case name != f.Own:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return len(names), slices.Index(names, f.Own)
}

// Others are the addresses of the other managers that are ready, in the order of their names.
func (f *Fleet) Others() (addresses []string) {
	for _, name := range slices.Sorted(maps.Keys(f.ready)) {
		if name != f.Own {
			addresses = append(addresses, f.ready[name]...)
		}
	}
	return addresses
}
