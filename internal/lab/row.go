package lab

import (
	"fmt"
	"slices"

	"go.uber.org/zap"

	"pierlink/internal/front"
	"pierlink/session"
)

// Row is the result of one day, for experiments.
type Row struct {
	Variant string `parquet:"variant,dict,zstd"`
	Day     string `parquet:"day,dict,zstd"`
	Seed    int64  `parquet:"seed,zstd"`

	Goal        float64 `parquet:"goal,zstd"`
	Whole       float64 `parquet:"whole,zstd"`
	Worst       float64 `parquet:"worst,zstd"`
	WorstPlan   float64 `parquet:"worst_plan,zstd"`
	WorstTenant float64 `parquet:"worst_tenant,zstd"`
	Prices      float64 `parquet:"prices,zstd"`
	Best        float64 `parquet:"best,zstd"`
	Unserved    float64 `parquet:"unserved,zstd"`
	Late        float64 `parquet:"late,zstd"`
	LowRung     float64 `parquet:"low_rung,zstd"`
	Short       float64 `parquet:"short,zstd"`

	Asked     int64   `parquet:"asked,zstd"`
	Played    int64   `parquet:"played,zstd"`
	Refused   int64   `parquet:"refused,zstd"`
	Failed    int64   `parquet:"failed,zstd"`
	Abandoned int64   `parquet:"abandoned,zstd"`
	Lost      int64   `parquet:"lost,zstd"`
	Tries     int64   `parquet:"tries,zstd"`
	Moves     int64   `parquet:"moves,zstd"`
	Changes   int64   `parquet:"changes,zstd"`
	Startup50 float64 `parquet:"startup_50_s,zstd"`
	Startup99 float64 `parquet:"startup_99_s,zstd"`
	Broken    int64   `parquet:"rules_broken,zstd"`
	Fell      int64   `parquet:"fell,zstd"`
	Odd       int64   `parquet:"odd,zstd"`
	Digest    string  `parquet:"digest,zstd"`

	Points   []Point  `parquet:"-"`
	Troubles []Mark   `parquet:"-"`
	Notes    []string `parquet:"-"`
}

// Point is one half second of a day.
type Point struct {
	Variant  string  `parquet:"variant,dict,zstd" json:"-"`
	Day      string  `parquet:"day,dict,zstd" json:"-"`
	Seed     int64   `parquet:"seed,zstd" json:"-"`
	At       float64 `parquet:"at_s,zstd"`
	Offered  float64 `parquet:"offered,zstd"`
	Earned   float64 `parquet:"earned,zstd"`
	Possible float64 `parquet:"possible,zstd"`
	Fill     float64 `parquet:"fill,zstd"`    // mean fill of the links
	Fullest  float64 `parquet:"fullest,zstd"` // fill of the fullest link
	Waiting  float64 `parquet:"waiting,zstd"` // requests not answered yet
	Wait     float64 `parquet:"wait_s,zstd"`  // mean time to the answer, of requests answered in this half second
	Rung     float64 `parquet:"rung,zstd"`
	Playing  float64 `parquet:"playing,zstd"`
	Tries    float64 `parquet:"tries,zstd"`
}

// Mark is a trouble with its start time and duration in seconds.
type Mark struct {
	At, For float64
	Kind    string
}

// Plants are deliberate regressions, by name: an experiment must detect them.
var Plants = map[string]*FaultyFront{
	"lower-brim": {WrapModule: func(m session.Manager) session.Manager { return &inflatedLoad{m} }}, // treats links as full too early
	"deaf-to-drains": {ChangeList: func(l front.ListUpdate) front.ListUpdate { // removes the check that keeps rule 3
		l.Servers = slices.Clone(l.Servers)
		for i := range l.Servers {
			if l.Servers[i].State == session.Draining {
				l.Servers[i].State = session.Ready
			}
		}
		return l
	}},
	"other-chance": {SeedMask: 0x5eed},
}

// inflatedLoad reports links and uplinks to a module as fuller than they are, so that it treats them as full below
// their true limit.
type inflatedLoad struct{ session.Manager }

const loadInflation = 1.5

func (f *inflatedLoad) inflate(load session.Load) session.Load {
	load.Link, load.Uplink = load.Link*loadInflation, load.Uplink*loadInflation
	return load
}

func (f *inflatedLoad) Ended(result session.Result) {
	result.Load = f.inflate(result.Load)
	f.Manager.Ended(result)
}

func (f *inflatedLoad) Probed(server int, outcome session.Outcome, load session.Load) {
	f.Manager.Probed(server, outcome, f.inflate(load))
}

func (f *inflatedLoad) Noted(note session.Note) {
	if note.Kind == session.LinkDemand || note.Kind == session.UplinkDemand {
		note.Value *= loadInflation
	}
	f.Manager.Noted(note)
}

// Run plays a day on the virtual network and returns its result. A plant other than "" names a regression to apply.
func Run(day *Day, plant string) (*Row, error) {
	var faulty *FaultyFront
	if plant != "" {
		if faulty = Plants[plant]; faulty == nil {
			return nil, fmt.Errorf("unknown plant %q: expected one of %v", plant, sortedKeys(Plants))
		}
	}
	if day.Processes {
		return nil, fmt.Errorf("%s: a day with troubles of processes cannot run on the virtual network", day.Name)
	}
	run, recording, network := RunVirtual(day, faulty, zap.NewNop())
	score, tally := run.Score(recording), &run.Tally
	row := &Row{Day: day.Name, Seed: int64(day.Seed), Goal: score.Goal, Whole: score.Whole, Worst: score.Worst, WorstPlan: score.WorstPlan, WorstTenant: score.WorstTenant,
		Prices: score.Prices, Best: score.Best, Unserved: score.Unserved, Late: score.Late, LowRung: score.LowRung, Short: score.Short, Asked: int64(tally.Attempts),
		Played: int64(tally.Played), Refused: int64(tally.Rejected), Failed: int64(tally.Failed), Abandoned: int64(tally.Abandoned), Lost: int64(tally.Lost),
		Tries: tally.FrontStats.Tries, Moves: int64(score.Moves), Changes: int64(score.Changes), Fell: int64(tally.Crashes), Odd: int64(run.Inconsistencies),
		Digest: fmt.Sprintf("%016x", network.Digest()), Notes: run.InconsistencyNotes}
	slices.Sort(tally.StartupTimes)
	if n := len(tally.StartupTimes); n > 0 {
		row.Startup50, row.Startup99 = seconds(tally.StartupTimes[n/2]), seconds(tally.StartupTimes[n*99/100])
	}
	for _, verdict := range CheckRules(recording, day.Bounds(0)) {
		row.Broken += int64(len(verdict.Violations))
		for i, violation := range verdict.Violations {
			if i < 2 {
				row.Notes = append(row.Notes, fmt.Sprintf("rule %d: %s", verdict.Rule, violation))
			}
		}
	}
	sampleAt := func(all []float64, i int) float64 {
		if i < len(all) {
			return all[i]
		}
		return 0
	}
	for i := range score.Offered {
		row.Points = append(row.Points, Point{At: float64(i) * seconds(bucketWidth), Offered: score.Offered[i], Earned: score.Earned[i], Possible: score.Possible[i],
			Fill: sampleAt(run.meanFills, i), Fullest: sampleAt(run.maxFills, i), Waiting: sampleAt(run.unanswered, i), Wait: score.MeanWaits[i], Rung: score.MeanRungs[i],
			Playing: score.Playing[i], Tries: score.Tries[i]})
	}
	for _, trouble := range day.Troubles {
		row.Troubles = append(row.Troubles, Mark{seconds(trouble.At), seconds(trouble.Duration), trouble.Kind})
	}
	return row, nil
}
