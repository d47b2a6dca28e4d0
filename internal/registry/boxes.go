package registry

import (
	"fmt"
	"slices"
	"strings"
)

// BoxTracker derives changes of boxes from changes of keys. It remembers the last valid value of each box: a value that
// cannot be decoded, or has an unknown version, leaves the box unchanged.
type BoxTracker struct {
	lastValid map[string]Box
	reported  map[string]int64 // revision of the invalid value last reported, by box
	Malformed int64            // invalid values seen
}

// NamedBox is a box with its name, or the name of a box that was removed.
type NamedBox struct {
	Name string
	Box
	Removed bool
}

// Apply returns the boxes that an update concerns (all boxes if it is a complete view) and an error for each
// invalid value, reported once per revision.
func (b *BoxTracker) Apply(update Update) (boxes []NamedBox, problems []error) {
	if b.lastValid == nil {
		b.lastValid, b.reported = map[string]Box{}, map[string]int64{}
	}
	previous := b.lastValid
	if update.Snapshot {
		b.lastValid = map[string]Box{}
	}
	for _, change := range update.Changes {
		name, ok := strings.CutPrefix(change.Key, BoxesPrefix)
		if !ok {
			continue
		}
		if change.Deleted {
			delete(b.lastValid, name)
			delete(b.reported, name)
			boxes = append(boxes, NamedBox{Name: name, Removed: true})
			continue
		}
		box, err := DecodeBox(change.Value)
		if err != nil {
			if b.reported[name] != change.Mod {
				b.reported[name] = change.Mod
				b.Malformed++
				problems = append(problems, fmt.Errorf("box %s at revision %d: %w; keeping its previous value", name, change.Mod, err))
			}
			if box, ok = previous[name]; !ok {
				continue
			}
		}
		b.lastValid[name] = box
		boxes = append(boxes, NamedBox{Name: name, Box: box})
	}
	if update.Snapshot {
		for name := range b.reported {
			if !slices.ContainsFunc(update.Changes, func(change Change) bool { return change.Key == BoxesPrefix+name }) {
				delete(b.reported, name)
			}
		}
	}
	return boxes, problems
}
