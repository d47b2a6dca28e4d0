package lab

import (
	"os"
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/rtsp"
)

// Days of the new shapes keep all six rules on the wire. Where advice is off no answer to a player says when to come
// again, and where probes are off no box is sent OPTIONS; where they are on, both happen.
func TestMovedDays(t *testing.T) {
	for name, open := range map[string]bool{"moved": false, "moved-probes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile("testdata/" + name + ".day")
			if err != nil {
				t.Fatal(err)
			}
			d, err := Parse(name, string(text))
			if err != nil {
				t.Fatal(err)
			}
			play, tape, _ := Virtual(d, nil, zap.NewNop())
			for _, v := range Judge(tape, d.Bounds(0)) {
				if !v.Kept() {
					t.Errorf("rule %d: %d cases, broken: %v", v.Rule, v.Judged, v.Broken)
				}
			}
			retries, probes, refused := 0, 0, 0
			for _, e := range tape.Entries {
				switch {
				case e.HasRetryAfter:
					retries++
				case e.FromFront && !e.Player && e.Method == rtsp.Options:
					probes++
				case e.Player && e.FromFront && e.Status == rtsp.StatusNotEnoughBandwidth:
					refused++
				}
			}
			if (retries > 0) != open || (probes > 0) != open || (refused > 0) == open || play.Tally.Played == 0 || play.Odd > 0 {
				t.Errorf("%d answers with a time to come again, %d probes, %d refusals without, %d played, %v", retries, probes, refused,
					play.Tally.Played, play.Oddities)
			}
		})
	}
}
