package quality

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const second = Time(1_000_000)

func testConfig() Terms {
	return Terms{Plans: []Plan{{Startup: second, Revenue: 2}}, Worth: []float64{0.5, 1}, Racks: 2, Titles: 2, Playbacks: 100, Width: 10 * second, Buckets: 16, Late: 20 * second}
}

// The figures do not depend on the order of reports, on duplicates, or on the player's clock.
func TestReportOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := 1000 * second
		offset := Time(rapid.Int64Range(-4000, 4000).Draw(rt, "clock")) * second
		events := []Report{{Seq: 1, What: Startup, At: base + second/2, Span: second / 2}, {Seq: 2, What: Stall, At: base + 5*second, Span: 2 * second},
			{Seq: 3, What: Rung, At: base + 12*second, Rung: 0}, {Seq: 4, What: Stall, At: base + 6*second, Span: 3 * second}}
		collector := New(testConfig(), base)
		collector.Taken("s", 0, "t", base)
		collector.At(base + second)
		collector.Plays("s", 1, 1, base+second)
		collector.At(base + 20*second)
		collector.Ended("s", base+20*second)
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 0, 1, 2, 3}).Draw(rt, "order") {
			collector.At(collector.now + Time(rapid.IntRange(0, 2000).Draw(rt, "pass"))*1000)
			report := events[i]
			report.Clock, report.At = collector.now+offset, report.At+offset
			collector.Report("s", report)
		}
		if collector.Counts.Duplicates != 4 || collector.Counts.Clocks != 0 || collector.Counts.Late != 0 {
			rt.Fatalf("unexpected counts: %+v", collector.Counts)
		}
		before := collector.Figures()
		for now := collector.now; collector.Open() > 0; now += second {
			collector.At(now)
			collector.Settle(func(a Alarm) { rt.Fatal("a single playback raised an alarm: ", a) })
		}
		for _, g := range []Group{{Kind: Rack, Rack: 1}, {Kind: Title, Title: "t"}} {
			for _, f := range []Figures{before[g], collector.Figures()[g]} {
				want := Figures{Due: 2, OnTime: 2, Watched: 2 * 19.5, Stalled: 2 * 4, Worth: 2 * (11.5 + 0.5*8), Changes: 2}
				for _, values := range [][2]float64{{f.Due, want.Due}, {f.OnTime, want.OnTime}, {f.Watched, want.Watched}, {f.Stalled, want.Stalled},
					{f.Worth, want.Worth}, {f.Changes, want.Changes}} {
					if math.Abs(values[0]-values[1]) > 1e-6 {
						rt.Fatalf("%+v: got %+v, want %+v", g, f, want)
					}
				}
			}
		}
	})
}

// If the player's clock is set between an event and its report, the event counts at the latest time possible. Reports
// after the grace period and invalid reports are dropped. Memory is bounded.
func TestInvalidReports(t *testing.T) {
	base := 1000 * second
	collector := New(testConfig(), base)
	collector.Taken("s", 0, "t", base)
	collector.Plays("s", 0, 1, base+second/2)
	collector.At(base + 30*second)
	collector.Report("s", Report{Seq: 1, What: Stall, Clock: base + 3630*second, At: base + 20*second, Span: second}) // the clock was set an hour ahead after the stall
	collector.Report("s", Report{Seq: 2, What: Stall, Clock: base - 3570*second, At: base + 20*second, Span: second}) // the clock was set an hour back
	collector.Report("s", Report{Seq: 3, What: Rung, Rung: 7})
	collector.Report("s", Report{Seq: 0, What: Stall})
	collector.Report("nobody", Report{Seq: 1, What: Stall})
	if counts := collector.Counts; counts.Clocks != 2 || counts.Strange != 2 || counts.Late != 1 {
		t.Errorf("unexpected counts: %+v", counts)
	}
	if f := collector.Figures()[Group{Kind: Rack}]; f.Stalled != 2 || f.Stalled > f.Watched {
		t.Errorf("unexpected figures of the rack: %+v", f)
	}
	for i := range 300 { // more playbacks than the limit
		id := string(rune('a' + i))
		collector.Taken(id, 0, id, collector.now)
		collector.Ended(id, collector.now)
		collector.Report(id, Report{Seq: 1, What: Stall, Clock: 1, At: 1, Span: 1})
	}
	if collector.Open() > 100 || len(collector.groups) > 2+2+1 || collector.Counts.Early == 0 {
		t.Error(collector.Open(), len(collector.groups), collector.Counts.Early)
	}
	for i := range 200 { // separate stalls
		collector.Report("s", Report{Seq: uint32(10 + i), What: Stall, Clock: base + 30*second, At: base + Time(i)*second/10, Span: second / 100})
	}
	if record := collector.open["s"]; record != nil && len(record.stalls) > maxStalls {
		t.Error(len(record.stalls))
	}
	if (&Figures{Watched: 4, Stalled: 1}).Loss() != 0.25 {
		t.Error("with no revenue due the loss is not the share of time stalled")
	}
}
