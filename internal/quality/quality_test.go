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

// Whatever order reports come in, however often, whatever the player's clock and however it is told: the figures are
// the same.
func TestAnyOrder(t *testing.T) {
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
			rt.Fatalf("%+v", collector.Counts)
		}
		before := collector.Figures()
		for now := collector.now; collector.Open() > 0; now += second {
			collector.At(now)
			collector.Settle(func(a Alarm) { rt.Fatal("one playback raised ", a) })
		}
		for _, g := range []Group{{Kind: Rack, Rack: 1}, {Kind: Title, Title: "t"}} {
			for _, f := range []Figures{before[g], collector.Figures()[g]} {
				want := Figures{Due: 2, OnTime: 2, Watched: 2 * 19.5, Stalled: 2 * 4, Worth: 2 * (11.5 + 0.5*8), Changes: 2}
				for _, report := range [][2]float64{{f.Due, want.Due}, {f.OnTime, want.OnTime}, {f.Watched, want.Watched}, {f.Stalled, want.Stalled},
					{f.Worth, want.Worth}, {f.Changes, want.Changes}} {
					if math.Abs(report[0]-report[1]) > 1e-6 {
						rt.Fatalf("%+v: %+v, not %+v", g, f, want)
					}
				}
			}
		}
	})
}

// A clock that is set between an event and its report is met by placing the event as late as it can have been; what
// comes after the end's grace, or means nothing, is left out; memory is bounded.
func TestStrangeReports(t *testing.T) {
	base := 1000 * second
	collector := New(testConfig(), base)
	collector.Taken("s", 0, "t", base)
	collector.Plays("s", 0, 1, base+second/2)
	collector.At(base + 30*second)
	collector.Report("s", Report{Seq: 1, What: Stall, Clock: base + 3630*second, At: base + 20*second, Span: second}) // an hour ahead in between
	collector.Report("s", Report{Seq: 2, What: Stall, Clock: base - 3570*second, At: base + 20*second, Span: second}) // an hour back
	collector.Report("s", Report{Seq: 3, What: Rung, Rung: 7})
	collector.Report("s", Report{Seq: 0, What: Stall})
	collector.Report("nobody", Report{Seq: 1, What: Stall})
	if x := collector.Counts; x.Clocks != 2 || x.Strange != 2 || x.Late != 1 {
		t.Errorf("%+v", x)
	}
	if f := collector.Figures()[Group{Kind: Rack}]; f.Stalled != 2 || f.Stalled > f.Watched {
		t.Errorf("%+v", f)
	}
	for i := range 300 { // more than there is room for
		id := string(rune('a' + i))
		collector.Taken(id, 0, id, collector.now)
		collector.Ended(id, collector.now)
		collector.Report(id, Report{Seq: 1, What: Stall, Clock: 1, At: 1, Span: 1})
	}
	if collector.Open() > 100 || len(collector.groups) > 2+2+1 || collector.Counts.Early == 0 {
		t.Error(collector.Open(), len(collector.groups), collector.Counts.Early)
	}
	for i := range 200 { // stalls apart from each other
		collector.Report("s", Report{Seq: uint32(10 + i), What: Stall, Clock: base + 30*second, At: base + Time(i)*second/10, Span: second / 100})
	}
	if r := collector.open["s"]; r != nil && len(r.stalls) > maxStalls {
		t.Error(len(r.stalls))
	}
	if (&Figures{Watched: 4, Stalled: 1}).Lost() != 0.25 {
		t.Error("with nothing due what was lost is what stood still")
	}
}
