package quality

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const second = Time(1_000_000)

func testConfig() Config {
	return Config{Plans: []Plan{{Startup: second, Revenue: 2}}, RungWorth: []float64{0.5, 1}, Racks: 2, MaxTitles: 2, MaxPlaybacks: 100, BucketWidth: 10 * second, BucketCount: 16, ReportGrace: 20 * second}
}

// The figures do not depend on the order of reports, on duplicates, or on the player's clock.
func TestReportOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := 1000 * second
		offset := Time(rapid.Int64Range(-4000, 4000).Draw(rt, "clock")) * second
		events := []Report{{Seq: 1, Type: StartupReport, OccurredAt: base + second/2, Duration: second / 2}, {Seq: 2, Type: StallReport, OccurredAt: base + 5*second, Duration: 2 * second},
			{Seq: 3, Type: RungReport, OccurredAt: base + 12*second, Rung: 0}, {Seq: 4, Type: StallReport, OccurredAt: base + 6*second, Duration: 3 * second}}
		collector := New(testConfig(), base)
		collector.Begin("s", 0, "t", base)
		collector.Advance(base + second)
		collector.Playing("s", 1, 1, base+second)
		collector.Advance(base + 20*second)
		collector.End("s", base+20*second)
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 0, 1, 2, 3}).Draw(rt, "order") {
			collector.Advance(collector.now + Time(rapid.IntRange(0, 2000).Draw(rt, "pass"))*1000)
			report := events[i]
			report.SentAt, report.OccurredAt = collector.now+offset, report.OccurredAt+offset
			collector.Report("s", report)
		}
		if collector.Counts.Duplicates != 4 || collector.Counts.Clocks != 0 || collector.Counts.Late != 0 {
			rt.Fatalf("unexpected counts: %+v", collector.Counts)
		}
		before := collector.Totals()
		for now := collector.now; collector.OpenCount() > 0; now += second {
			collector.Advance(now)
			collector.Evaluate(func(a Alarm) { rt.Fatal("a single playback raised an alarm: ", a) })
		}
		for _, g := range []Group{{Kind: Rack, Rack: 1}, {Kind: Title, Title: "t"}} {
			for _, f := range []Totals{before[g], collector.Totals()[g]} {
				want := Totals{RevenueDue: 2, RevenueOnTime: 2, Watched: 2 * 19.5, Stalled: 2 * 4, Worth: 2 * (11.5 + 0.5*8), Changes: 2}
				for _, values := range [][2]float64{{f.RevenueDue, want.RevenueDue}, {f.RevenueOnTime, want.RevenueOnTime}, {f.Watched, want.Watched}, {f.Stalled, want.Stalled},
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
	collector.Begin("s", 0, "t", base)
	collector.Playing("s", 0, 1, base+second/2)
	collector.Advance(base + 30*second)
	collector.Report("s", Report{Seq: 1, Type: StallReport, SentAt: base + 3630*second, OccurredAt: base + 20*second, Duration: second}) // the clock was set an hour ahead after the stall
	collector.Report("s", Report{Seq: 2, Type: StallReport, SentAt: base - 3570*second, OccurredAt: base + 20*second, Duration: second}) // the clock was set an hour back
	collector.Report("s", Report{Seq: 3, Type: RungReport, Rung: 7})
	collector.Report("s", Report{Seq: 0, Type: StallReport})
	collector.Report("nobody", Report{Seq: 1, Type: StallReport})
	if counts := collector.Counts; counts.Clocks != 2 || counts.Strange != 2 || counts.Late != 1 {
		t.Errorf("unexpected counts: %+v", counts)
	}
	if f := collector.Totals()[Group{Kind: Rack}]; f.Stalled != 2 || f.Stalled > f.Watched {
		t.Errorf("unexpected figures of the rack: %+v", f)
	}
	for i := range 300 { // more playbacks than the limit
		id := string(rune('a' + i))
		collector.Begin(id, 0, id, collector.now)
		collector.End(id, collector.now)
		collector.Report(id, Report{Seq: 1, Type: StallReport, SentAt: 1, OccurredAt: 1, Duration: 1})
	}
	if collector.OpenCount() > 100 || len(collector.groups) > 2+2+1 || collector.Counts.Early == 0 {
		t.Error(collector.OpenCount(), len(collector.groups), collector.Counts.Early)
	}
	for i := range 200 { // separate stalls
		collector.Report("s", Report{Seq: uint32(10 + i), Type: StallReport, SentAt: base + 30*second, OccurredAt: base + Time(i)*second/10, Duration: second / 100})
	}
	if record := collector.open["s"]; record != nil && len(record.stalls) > maxStalls {
		t.Error(len(record.stalls))
	}
	if (&Totals{Watched: 4, Stalled: 1}).Loss() != 0.25 {
		t.Error("with no revenue due the loss is not the share of time stalled")
	}
}

// Guards against a hang: a report of a duration of decades, or a playback of years, made the loop over its buckets run for
// minutes. What is credited is no longer than the playback.
func TestImpossibleDurations(t *testing.T) {
	const day = 86400 * second
	for _, kind := range []int{StartupReport, StallReport} {
		for _, duration := range []Time{math.MaxInt64, 56 * 365 * day, day, 51 * second, 33 * second} {
			base := 1000 * second
			collector := New(testConfig(), base)
			collector.Begin("s", 0, "t", base)
			collector.Playing("s", 0, 1, base+second/2)
			collector.Advance(base + 30*second)
			collector.Report("s", Report{Seq: 1, Type: kind, SentAt: base, OccurredAt: base, Duration: duration})
			collector.Advance(base + 40*second)
			checkPossible(t, collector, 40)
			collector.End("s", base+40*second)
			collector.Report("s", Report{Seq: 2, Type: kind, SentAt: base, OccurredAt: base, Duration: duration})
			collector.Advance(base + 60*second)
			checkPossible(t, collector, 40)
			collector.Evaluate(func(Alarm) {})
			checkPossible(t, collector, 40)
			if refused := duration > 50*second; refused != (collector.Counts.Clocks == 2) {
				t.Errorf("a report of %d s: %+v", duration/second, collector.Counts)
			}
		}
	}
}

// checkPossible checks that no more is credited to the playback's title and rack than the seconds that it has lasted.
func checkPossible(t *testing.T, collector *Collector, seconds float64) {
	t.Helper()
	for group, sum := range collector.Totals() {
		if limit := 2 * seconds; sum.Watched > limit || sum.Stalled > sum.Watched || sum.Watched < 0 || sum.Worth > limit {
			t.Errorf("%+v: impossible figures %+v", group, sum)
		}
	}
}

// A playback of many years is credited within the buckets kept, and takes no longer than a short one.
func TestLongPlayback(t *testing.T) {
	const years = 1000 * 365 * 86400 * second
	collector := New(testConfig(), second)
	collector.Begin("s", 0, "t", second)
	collector.Playing("s", 0, 1, second)
	collector.Advance(years)
	if sum := collector.Totals()[Group{Kind: Rack}]; sum.Watched < 2*150 || sum.Watched > 2*160 {
		t.Errorf("open: %+v", sum)
	}
	collector.End("s", years)
	collector.Advance(years + 20*second)
	collector.Evaluate(func(Alarm) {})
	if sum := collector.Totals()[Group{Kind: Rack}]; sum.Watched < 2*130 || sum.Watched > 2*140 || collector.OpenCount() > 0 {
		t.Errorf("closed: %+v", sum)
	}
}
