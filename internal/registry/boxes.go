package registry

import (
	"fmt"
	"slices"
	"strings"
)

// Boxes turns news of keys into news of boxes. It keeps what each box last was: a value that cannot be read,
// or is of an unknown version, leaves the box as it was.
type Boxes struct {
	lastValid map[string]Box
	reported  map[string]int64 // the revision of the bad value last told of
	Malformed int64
}

// Named is a box with its name.
type Named struct {
	Name string
	Box
	Gone bool
}

// Take returns the boxes that news is of (all, if whole), and what was wrong with values, each told once for
// a revision.
func (tracker *Boxes) Take(update News) (boxes []Named, problems []error) {
	if tracker.lastValid == nil {
		tracker.lastValid, tracker.reported = map[string]Box{}, map[string]int64{}
	}
	previous := tracker.lastValid
	if update.Whole {
		tracker.lastValid = map[string]Box{}
	}
	for _, change := range update.Changes {
		name, ok := strings.CutPrefix(change.Key, BoxesPrefix)
		if !ok {
			continue
		}
		if change.Deleted {
			delete(tracker.lastValid, name)
			delete(tracker.reported, name)
			boxes = append(boxes, Named{Name: name, Gone: true})
			continue
		}
		box, err := ReadBox(change.Value)
		if err != nil {
			if tracker.reported[name] != change.Mod {
				tracker.reported[name] = change.Mod
				tracker.Malformed++
				problems = append(problems, fmt.Errorf("box %s at revision %d: %w; it stays as it was", name, change.Mod, err))
			}
			if box, ok = previous[name]; !ok {
				continue
			}
		}
		tracker.lastValid[name] = box
		boxes = append(boxes, Named{Name: name, Box: box})
	}
	if update.Whole {
		for name := range tracker.reported {
			if !slices.ContainsFunc(update.Changes, func(change Change) bool { return change.Key == BoxesPrefix+name }) {
				delete(tracker.reported, name)
			}
		}
	}
	return boxes, problems
}
