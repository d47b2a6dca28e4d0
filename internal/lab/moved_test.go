package lab

import (
	"os"
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/rtsp"
)

// Days with unsafe plans, seats and a retry budget keep all six rules on the wire. With advice off, no response to a player has
// Retry-After, and with probes off no box gets OPTIONS; with them on, both occur.
func TestMovedDays(t *testing.T) {
	for name, expectOpen := range map[string]bool{"moved": false, "moved-probes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile("testdata/" + name + ".day")
			if err != nil {
				t.Fatal(err)
			}
			day, err := Parse(name, string(text))
			if err != nil {
				t.Fatal(err)
			}
			run, recording, _ := RunVirtual(day, nil, zap.NewNop())
			for _, verdict := range CheckRules(recording, day.Bounds(0)) {
				if !verdict.Passed() {
					t.Errorf("rule %d: %d cases, violations: %v", verdict.Rule, verdict.Cases, verdict.Violations)
				}
			}
			retries, probes, rejected := 0, 0, 0
			for _, entry := range recording.Entries {
				switch {
				case entry.HasRetryAfter:
					retries++
				case entry.FromFront && !entry.Player && entry.Method == rtsp.Options:
					probes++
				case entry.Player && entry.FromFront && entry.Status == rtsp.StatusNotEnoughBandwidth:
					rejected++
				}
			}
			if (retries > 0) != expectOpen || (probes > 0) != expectOpen || (rejected > 0) == expectOpen || run.Tally.Played == 0 || run.Inconsistencies > 0 {
				t.Errorf("%d responses with Retry-After, %d probes, %d rejections without, %d played, %v", retries, probes, rejected,
					run.Tally.Played, run.InconsistencyNotes)
			}
		})
	}
}
