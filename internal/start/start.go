// Package start reads the settings object that a session manager is given at its start, by the simulator's first
// message or by the platform's configuration, and load reports by the names that it tells.
package start

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"pierlink/session"
)

// Told is what the object tells: the module's part as Site, the rest for the program round it.
type Told struct {
	Site     *session.Site
	Plans    []string // the names, as positions in the lists below
	Tenants  []string
	Zones    []string
	Kinds    []string
	Load     []string       // the values of a load report
	Patience []session.Time // a plan's viewers wait so long for a set-up
	Connect  session.Time   // a connection that is not up by then is given up
	Idle     session.Time   // one that carries nothing is closed then
	Tell     session.Time   // between two notes of how full a link is, 0 for none
	Shared   int            // set-ups at once on one connection to a server
}

// Read decodes the object.
func Read(text []byte) (*Told, error) {
	var w object
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("start information: %w", err)
	}
	s, err := w.site()
	if err != nil {
		return nil, err
	}
	t := &Told{Site: s, Zones: w.Localities, Kinds: w.Kinds, Load: w.LoadReport.Names, Connect: micros(w.Limits.ConnectTimeout),
		Idle: micros(w.Limits.ConnIdle), Tell: micros(w.Domain.ToldEvery), Shared: w.Limits.StreamsPerConn}
	for _, c := range w.Classes {
		t.Plans = append(t.Plans, c.Name)
		t.Patience = append(t.Patience, micros(c.GiveUp))
	}
	for _, c := range w.Customers {
		t.Tenants = append(t.Tenants, c.Name)
	}
	return t, nil
}

func micros(seconds float64) session.Time { return session.Time(math.Round(seconds * 1e6)) }

// object is the settings object as far as it is read.
type object struct {
	Balancers int
	SlotNo    int
	Locality  int
	Classes   []struct {
		Name, Effect, KeyScope         string
		GiveUp, Promise, Window, Worth float64
		Stream                         bool
	}
	Localities, Kinds []string
	Customers         []struct {
		Name      string
		QuotaPerS float64
	}
	Goal   struct{ WorstClass float64 }
	Domain struct {
		Cabinets, Positions               int
		ChangeCostsS, Join                float64
		ClassTop, LowestRung, Seats       []int
		IsLive                            []bool
		KBPerWeight                       float64 `json:"kbPerWeight"`
		KindSlots, LadderKb, LevelWorth   []float64
		RateFactor                        []float64
		LinksKb, UplinkKb                 float64
		RefusesFrom, SeenAfter, ToldEvery float64
	}
	Limits struct {
		MaxAttempts    int
		MaxRetryAfter  float64
		Probes         bool
		RetryAfter     bool
		ConnIdle       float64
		ConnectTimeout float64
		StreamsPerConn int
	}
	LoadReport struct {
		Names  []string
		Source string
	}
	OverShareWorth float64
	Prices         struct{ CrossZone, Moves, Probe float64 }
	RegistryMode   string
	Rules          struct {
		AskWithin, ColdFrom, FallMultiple, OverloadFor, WarmUp float64
		MinExtra, RepeatRatio, RatioSpan                       *float64
	}
	WeightKind string
}

func named[T any](kind, word string, words map[string]T) (T, error) {
	v, ok := words[word]
	if !ok {
		return v, fmt.Errorf("start information: unknown %s %q", kind, word)
	}
	return v, nil
}

func (w *object) site() (*session.Site, error) {
	d, n := &w.Domain, len(w.Classes)
	if n == 0 || len(d.LadderKb) == 0 || len(d.LevelWorth) != len(d.LadderKb) || d.Positions < 1 ||
		d.Cabinets < 1 || w.Balancers < 1 {
		return nil, fmt.Errorf("start information: classes, ladder, positions, cabinets or balancers missing")
	}
	if len(d.ClassTop) != n || len(d.LowestRung) != n || len(d.IsLive) != n || len(d.RateFactor) != n ||
		(len(d.Seats) != n && len(d.Seats) != 0) {
		return nil, fmt.Errorf("start information: domain tables do not fit %d classes", n)
	}
	onRequest, err := named("registryMode", w.RegistryMode, map[string]bool{"pushed": false, "on_request": true})
	if err != nil {
		return nil, err
	}
	s := &session.Site{
		Fronts: w.Balancers, Front: w.SlotNo, Zone: w.Locality, ListOnRequest: onRequest,
		Ladder: session.Ladder{RateKB: d.LadderKb, Worth: d.LevelWorth, Join: d.Join,
			Change: micros(d.ChangeCostsS)},
		Fleet: session.Fleet{Cells: d.Positions, Racks: d.Cabinets, LinksKB: d.LinksKb, UplinkKB: d.UplinkKb,
			KBPerWeight: d.KBPerWeight, WeightsTold: w.WeightKind != "silent", Places: d.KindSlots,
			FullFrom: d.RefusesFrom, NoteDelay: micros(d.SeenAfter), NoteEvery: micros(d.ToldEvery),
			LoadInAnswers: w.LoadReport.Source == "piggyback", LoadInProbes: w.LoadReport.Source != "silent",
			UplinkUntold: w.LoadReport.Source == "silent" || !slices.Contains(w.LoadReport.Names, "x1")},
		Terms: session.Terms{ColdFrom: w.Rules.ColdFrom, WarmUp: micros(w.Rules.WarmUp),
			FallMultiple: w.Rules.FallMultiple, FallSpan: micros(w.Rules.OverloadFor),
			AskWithin: micros(w.Rules.AskWithin), MaxTries: w.Limits.MaxAttempts,
			Probes: w.Limits.Probes},
		Prices: session.Prices{CrossZone: w.Prices.CrossZone, Move: w.Prices.Moves, Probe: w.Prices.Probe,
			WorstPlan: w.Goal.WorstClass, OverShare: w.OverShareWorth},
	}
	if w.Limits.RetryAfter {
		s.Terms.MaxComeAgain = micros(w.Limits.MaxRetryAfter)
	}
	if r := w.Rules; r.RatioSpan != nil {
		s.Terms.Rationed, s.Terms.TrySpan = true, micros(*r.RatioSpan)
		if r.MinExtra != nil {
			s.Terms.FreeTries = *r.MinExtra
		}
		if r.RepeatRatio != nil {
			s.Terms.TryShare = *r.RepeatRatio
		}
	}
	for i, c := range w.Classes {
		p := session.Plan{Window: micros(c.Window), Startup: micros(c.Promise), Revenue: c.Worth,
			Live: d.IsLive[i], RateFactor: d.RateFactor[i], Floor: d.LowestRung[i],
			Top: min(d.ClassTop[i], len(d.LadderKb)-1)}
		if len(d.Seats) > 0 {
			p.Seats = d.Seats[i]
		}
		if p.Repeat, err = named("effect", c.Effect, map[string]session.Repeat{"read_like": session.Harmless,
			"idempotency_key": session.Keyed, "non_idempotent": session.Unsafe}); err != nil {
			return nil, err
		}
		scopes := map[string]session.Scope{"": session.Everywhere, "all": session.Everywhere,
			"zone": session.SameZone, "cell": session.SameCell}
		if p.Scope, err = named("keyScope", c.KeyScope, scopes); err != nil {
			return nil, err
		}
		s.Plans = append(s.Plans, p)
	}
	for _, c := range w.Customers {
		s.Tenants = append(s.Tenants, session.Tenant{QuotaPerS: c.QuotaPerS})
	}
	return s, nil
}

// Load reads a report's values by their names.
func Load(names []string, values []float64) (l session.Load) {
	for i, v := range values[:min(len(values), len(names))] {
		switch names[i] {
		case "x0":
			l.Link, l.HasLink, l.Capped = v, true, false
		case "util":
			if !slices.Contains(names, "x0") {
				l.Link, l.HasLink, l.Capped = v, true, true
			}
		case "x1":
			l.Uplink, l.HasUplink = v, true
		}
	}
	return l
}
