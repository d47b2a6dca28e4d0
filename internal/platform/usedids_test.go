package platform_test

import (
	"fmt"
	"testing"
)

// The record of ids that were used is bounded: the oldest is forgotten first.
func TestUsedIDsAreBounded(t *testing.T) {
	const limit = 256 // a quarter of 1 MB, in playbacks of 1 KiB
	s := newScenario(t)
	s.run("set memory 1\nset effect idempotency_key\n1 v open | 1 v SETUP a | 1 d1 up | 1 d1 accept a x | 1 d1 end a 16 | 1 v SETUP a | > v 500 a")
	play := func(n int) {
		id := fmt.Sprintf("%016x", n)
		s.manager.BeginTurn(s.now)
		s.manager.Received(s.conns["v"], numberedSetup(n, "").Append(nil))
		s.manager.EndTurn()
		s.manager.BeginTurn(s.now)
		s.manager.Received(s.conns["d1"], []byte(`{"op":"accept","call":"`+id+`","with":{},"desc":"x"}`+"\n"+`{"op":"end","call":"`+id+`","with":{},"why":16}`+"\n"))
		s.next = s.manager.EndTurn()
	}
	for n := range limit - 1 {
		play(n + 1)
	}
	s.run("1 v SETUP a | > v 500 a")
	play(limit)
	if stats := s.manager.Stats(); stats.Served != limit+1 {
		t.Fatalf("%+v", stats)
	}
	s.run("1 v SETUP a | > d1 offer a")
}
