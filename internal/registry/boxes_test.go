package registry

import "testing"

// Checks that a malformed value leaves its box unchanged and is reported once per revision, and that a deleted key
// removes its box.
func TestBoxTracker(t *testing.T) {
	valid := Box{Address: "127.0.0.1:1", Zone: "z", Kind: "std", State: "ready"}.Encode()
	var tracker BoxTracker
	boxes, problems := tracker.Apply(Update{Snapshot: true, Changes: []Change{{Key: BoxesPrefix + "a", Value: valid, Mod: 1}, {Key: HistoryKey, Mod: 1},
		{Key: BoxesPrefix + "b", Value: []byte("x"), Mod: 2}}})
	if len(boxes) != 1 || boxes[0].Name != "a" || len(problems) != 1 {
		t.Fatal(boxes, problems)
	}
	boxes, problems = tracker.Apply(Update{Changes: []Change{{Key: BoxesPrefix + "a", Value: []byte(`{"version":9}`), Mod: 3}}})
	if len(boxes) != 1 || boxes[0].Address != "127.0.0.1:1" || len(problems) != 1 {
		t.Fatal(boxes, problems)
	}
	boxes, problems = tracker.Apply(Update{Snapshot: true, Changes: []Change{{Key: BoxesPrefix + "a", Value: []byte(`{"version":9}`), Mod: 3}}})
	if len(boxes) != 1 || boxes[0].Address != "127.0.0.1:1" || len(problems) != 0 || tracker.Malformed != 2 {
		t.Fatal(boxes, problems, tracker.Malformed)
	}
	if boxes, _ = tracker.Apply(Update{Changes: []Change{{Key: BoxesPrefix + "a", Mod: 4, Deleted: true}}}); len(boxes) != 1 || !boxes[0].Removed {
		t.Fatal(boxes)
	}
}
