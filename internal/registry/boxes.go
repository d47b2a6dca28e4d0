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
func (b *Boxes) Take(n News) (boxes []Named, bad []error) {
	if b.lastValid == nil {
		b.lastValid, b.reported = map[string]Box{}, map[string]int64{}
	}
	before := b.lastValid
	if n.Whole {
		b.lastValid = map[string]Box{}
	}
	for _, c := range n.Changes {
		name, ok := strings.CutPrefix(c.Key, BoxesPrefix)
		if !ok {
			continue
		}
		if c.Deleted {
			delete(b.lastValid, name)
			delete(b.reported, name)
			boxes = append(boxes, Named{Name: name, Gone: true})
			continue
		}
		x, err := ReadBox(c.Value)
		if err != nil {
			if b.reported[name] != c.Mod {
				b.reported[name] = c.Mod
				b.Malformed++
				bad = append(bad, fmt.Errorf("box %s at revision %d: %w; it stays as it was", name, c.Mod, err))
			}
			if x, ok = before[name]; !ok {
				continue
			}
		}
		b.lastValid[name] = x
		boxes = append(boxes, Named{Name: name, Box: x})
	}
	if n.Whole {
		for name := range b.reported {
			if !slices.ContainsFunc(n.Changes, func(c Change) bool { return c.Key == BoxesPrefix+name }) {
				delete(b.reported, name)
			}
		}
	}
	return boxes, bad
}
