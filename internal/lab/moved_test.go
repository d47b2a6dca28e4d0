package lab

import (
	"os"
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/rtsp"
)

// A day of the new shape keeps all six rules on the wire; no answer to a player says when to come again, and no
// box is sent OPTIONS.
func TestMovedDay(t *testing.T) {
	text, err := os.ReadFile("testdata/moved.day")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse("moved", string(text))
	if err != nil {
		t.Fatal(err)
	}
	play, tape, _ := Virtual(d, nil, zap.NewNop())
	for _, v := range Judge(tape, d.Bounds(0)) {
		if !v.Kept() {
			t.Errorf("rule %d: %d cases, broken: %v", v.Rule, v.Judged, v.Broken)
		}
	}
	refused := 0
	for _, e := range tape.Entries {
		if e.Retry {
			t.Errorf("%+v says when to come again", e)
		}
		if e.FromFront && !e.Player && e.Method == rtsp.Options {
			t.Errorf("%+v probes", e)
		}
		if e.Player && e.FromFront && e.Status == rtsp.StatusNotEnoughBandwidth {
			refused++
		}
	}
	if refused == 0 || play.Tally.Played == 0 {
		t.Errorf("%d refused, %d played: nothing to see", refused, play.Tally.Played)
	}
}
