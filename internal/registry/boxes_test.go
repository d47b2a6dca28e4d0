package registry

import "testing"

// A malformed value leaves its box as it was and is told once for a revision; one that goes, goes.
func TestBoxTracker(t *testing.T) {
	good := Box{Address: "127.0.0.1:1", Zone: "z", Kind: "std", State: "ready"}.Value()
	var b Boxes
	named, bad := b.Take(News{Whole: true, Changes: []Change{{Key: BoxesPrefix + "a", Value: good, Mod: 1}, {Key: MarkKey, Mod: 1},
		{Key: BoxesPrefix + "b", Value: []byte("x"), Mod: 2}}})
	if len(named) != 1 || named[0].Name != "a" || len(bad) != 1 {
		t.Fatal(named, bad)
	}
	named, bad = b.Take(News{Changes: []Change{{Key: BoxesPrefix + "a", Value: []byte(`{"version":9}`), Mod: 3}}})
	if len(named) != 1 || named[0].Address != "127.0.0.1:1" || len(bad) != 1 {
		t.Fatal(named, bad)
	}
	named, bad = b.Take(News{Whole: true, Changes: []Change{{Key: BoxesPrefix + "a", Value: []byte(`{"version":9}`), Mod: 3}}})
	if len(named) != 1 || named[0].Address != "127.0.0.1:1" || len(bad) != 0 || b.Malformed != 2 {
		t.Fatal(named, bad, b.Malformed)
	}
	if named, _ = b.Take(News{Changes: []Change{{Key: BoxesPrefix + "a", Mod: 4, Deleted: true}}}); len(named) != 1 || !named[0].Gone {
		t.Fatal(named)
	}
}
