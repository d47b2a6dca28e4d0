package trace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pierlink/internal/front"
	"pierlink/session"
)

// A trace is read back from the file as it was written, among others, and its description names the phase that took
// most of the time.
func TestWriterRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	writer, err := NewWriter(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	playback := &front.PlaybackTrace{Front: "f", RequestID: "pb7", Plan: "p", Title: "t", Tenant: "x", Rung: 2, TopRung: 3,
		ReceivedAt: 1_000_000, AdmittedAt: 1_300_000,
		AnsweredAt: 4_000_000, Status: 200, StartupTarget: 1_000_000, AbandonTime: 4_000_000, Attempts: []front.Attempt{
			{Box: "box-1", Rung: 2, StartedAt: 1_310_000, Duration: 2_000_000, Outcome: session.TimedOut},
			{Box: "box-2", Rung: 1, StartedAt: 3_400_000, Duration: 600_000, Outcome: -1}}}
	for _, name := range []string{"pb6", "pb8"} {
		other := *playback
		other.RequestID = name
		writer.Record(&other)
	}
	writer.Record(playback)
	writer.Record(&front.PlaybackTrace{RequestID: "pb9", Front: "f", ReceivedAt: 1, AnsweredAt: 500_001, Status: 503})
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	read := func(name string) (*front.PlaybackTrace, error) {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		all, err := Read(f, name)
		if err != nil {
			return nil, err
		}
		return all[0], nil
	}
	got, err := read("pb7")
	if err != nil || len(got.Attempts) != 2 || got.Attempts[0] != playback.Attempts[0] || got.Attempts[1] != playback.Attempts[1] ||
		got.AdmittedAt != playback.AdmittedAt ||
		got.AnsweredAt != playback.AnsweredAt || got.Tenant != "x" {
		t.Fatalf("%+v %v", got, err)
	}
	if _, err := read("pb1"); err == nil {
		t.Error("read a trace that was never written")
	}
	if text := Describe(got); !strings.Contains(text, "2.00 s past its startup target. Most of the time was spent on failed tries") {
		t.Error(text)
	}
	if got, err := read("pb9"); err != nil || !strings.Contains(Describe(got), "It was not admitted") {
		t.Error(got, err)
	}
	kept := 0
	for i := range 4000 {
		if Sampled(strings.Repeat("x", i%50)+string(rune(i)), 0.25) {
			kept++
		}
	}
	if kept < 800 || kept > 1200 {
		t.Error("sampled", kept, "of 4000 at a ratio of 0.25")
	}
}
