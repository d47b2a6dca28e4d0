package lab

import (
	"fmt"
	"slices"

	"go.uber.org/zap"

	"pierlink/internal/front"
	"pierlink/session"
)

// Row is one day as it was played, for experiments.
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
	Fill     float64 `parquet:"fill,zstd"`    // mean of the links
	Fullest  float64 `parquet:"fullest,zstd"` // of the fullest link
	Waiting  float64 `parquet:"waiting,zstd"` // playbacks not answered yet
	Wait     float64 `parquet:"wait_s,zstd"`  // mean, of those answered then
	Rung     float64 `parquet:"rung,zstd"`
	Playing  float64 `parquet:"playing,zstd"`
	Tries    float64 `parquet:"tries,zstd"`
}

// Mark is a trouble with its time.
type Mark struct {
	At, For float64
	Kind    string
}

// Plants are changes for the worse on purpose: an experiment must find them.
var Plants = map[string]*FaultyFront{
	"lower-brim": {WrapModule: func(m session.Manager) session.Manager { return &inflatedLoad{m} }}, // links are taken for full too early
	"deaf-to-drains": {List: func(l front.ListUpdate) front.ListUpdate { // a guard of rule 3 taken out
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

// fuller has a module see links and uplinks fuller than they are: what it holds to be full is less, as with a
// lowered brim.
type inflatedLoad struct{ session.Manager }

const loadInflation = 1.5

func (f *inflatedLoad) inflate(l session.Load) session.Load {
	l.Link, l.Uplink = l.Link*loadInflation, l.Uplink*loadInflation
	return l
}

func (f *inflatedLoad) Ended(r session.Result) {
	r.Load = f.inflate(r.Load)
	f.Manager.Ended(r)
}

func (f *inflatedLoad) Probed(server int, o session.Outcome, l session.Load) {
	f.Manager.Probed(server, o, f.inflate(l))
}

func (f *inflatedLoad) Noted(n session.Note) {
	if n.Kind == session.LinkDemand || n.Kind == session.UplinkDemand {
		n.Value *= loadInflation
	}
	f.Manager.Noted(n)
}

// Run plays a day on the virtual network and counts it.
func Run(d *Day, plant string) (*Row, error) {
	var broken *FaultyFront
	if plant != "" {
		if broken = Plants[plant]; broken == nil {
			return nil, fmt.Errorf("no plant %q: there are %v", plant, sortedKeys(Plants))
		}
	}
	if d.Processes {
		return nil, fmt.Errorf("%s: a day with troubles of processes is not played on the virtual network", d.Name)
	}
	play, tape, w := Virtual(d, broken, zap.NewNop())
	x, t := play.Count(tape), &play.Tally
	r := &Row{Day: d.Name, Seed: int64(d.Seed), Goal: x.Goal, Whole: x.Whole, Worst: x.Worst, WorstPlan: x.WorstPlan, WorstTenant: x.WorstTenant,
		Prices: x.Prices, Best: x.Best, Unserved: x.Unserved, Late: x.Late, LowRung: x.LowRung, Short: x.Short, Asked: int64(t.Asked),
		Played: int64(t.Played), Refused: int64(t.Rejected), Failed: int64(t.Failed), Abandoned: int64(t.Abandoned), Lost: int64(t.Lost),
		Tries: t.Fronts.Tries, Moves: int64(x.Moves), Changes: int64(x.Changes), Fell: int64(t.Fell), Odd: int64(play.Odd),
		Digest: fmt.Sprintf("%016x", w.Digest()), Notes: play.Oddities}
	slices.Sort(t.StartupTimes)
	if n := len(t.StartupTimes); n > 0 {
		r.Startup50, r.Startup99 = seconds(t.StartupTimes[n/2]), seconds(t.StartupTimes[n*99/100])
	}
	for _, v := range Judge(tape, d.Bounds(0)) {
		r.Broken += int64(len(v.Broken))
		for i, b := range v.Broken {
			if i < 2 {
				r.Notes = append(r.Notes, fmt.Sprintf("rule %d: %s", v.Rule, b))
			}
		}
	}
	at := func(all []float64, i int) float64 {
		if i < len(all) {
			return all[i]
		}
		return 0
	}
	for i := range x.Offered {
		r.Points = append(r.Points, Point{At: float64(i) * seconds(bucketWidth), Offered: x.Offered[i], Earned: x.Earned[i], Possible: x.Possible[i],
			Fill: at(play.meanFills, i), Fullest: at(play.maxFills, i), Waiting: at(play.unanswered, i), Wait: x.MeanWaits[i], Rung: x.MeanRungs[i],
			Playing: x.Playing[i], Tries: x.Tries[i]})
	}
	for _, m := range d.Troubles {
		r.Troubles = append(r.Troubles, Mark{seconds(m.At), seconds(m.For), m.Kind})
	}
	return r, nil
}
