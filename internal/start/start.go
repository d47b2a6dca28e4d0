// Package start decodes the settings object that a session manager gets at its start, from the simulator's first
// message or from the platform's configuration. It also decodes load reports, whose values that object names.
package start

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"pierlink/session"
)

// Settings is the decoded object: Site is for the decision module, the rest for its host.
type Settings struct {
	Site           *session.Site
	Plans          []string // the names of the plans in the order of their numbers; so are the lists below
	Tenants        []string
	Zones          []string
	Kinds          []string
	LoadNames      []string       // the names of a load report's values
	AbandonAfter   []session.Time // by plan: how long a viewer waits for a setup
	ConnectTimeout session.Time   // timeout for opening a connection
	IdleTimeout    session.Time   // timeout after which an idle connection is closed
	NoteInterval   session.Time   // interval of the notes on a link's load, 0 for none
	StreamsPerConn int            // limit on concurrent setups on one connection to a server
}

// Read decodes the settings object.
func Read(text []byte) (*Settings, error) {
	var input object
	if err := json.Unmarshal(text, &input); err != nil {
		return nil, fmt.Errorf("start information: %w", err)
	}
	site, err := input.site()
	if err != nil {
		return nil, err
	}
	settings := &Settings{Site: site, Zones: input.Localities, Kinds: input.Kinds, LoadNames: input.LoadReport.Names,
		ConnectTimeout: micros(input.Limits.ConnectTimeout), IdleTimeout: micros(input.Limits.ConnIdle),
		NoteInterval: micros(input.Domain.ToldEvery), StreamsPerConn: input.Limits.StreamsPerConn}
	for _, class := range input.Classes {
		settings.Plans = append(settings.Plans, class.Name)
		settings.AbandonAfter = append(settings.AbandonAfter, micros(class.GiveUp))
	}
	for _, customer := range input.Customers {
		settings.Tenants = append(settings.Tenants, customer.Name)
	}
	return settings, nil
}

func micros(seconds float64) session.Time { return session.Time(math.Round(seconds * 1e6)) }

// object is the part of the settings object that Read uses. Its field names are those of the JSON object.
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

// lookUp returns the value of a word in the settings object, or an error that names the key.
func lookUp[T any](kind, word string, words map[string]T) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, fmt.Errorf("start information: unknown %s %q", kind, word)
	}
	return value, nil
}

func (o *object) site() (*session.Site, error) {
	domain, classes := &o.Domain, len(o.Classes)
	if classes == 0 || len(domain.LadderKb) == 0 || len(domain.LevelWorth) != len(domain.LadderKb) ||
		domain.Positions < 1 || domain.Cabinets < 1 || o.Balancers < 1 {
		return nil, fmt.Errorf("start information: classes, ladder, its level worths, positions, cabinets or balancers missing")
	}
	if len(domain.ClassTop) != classes || len(domain.LowestRung) != classes || len(domain.IsLive) != classes ||
		len(domain.RateFactor) != classes || (len(domain.Seats) != classes && len(domain.Seats) != 0) {
		return nil, fmt.Errorf("start information: the domain's tables do not have one entry for each of %d classes", classes)
	}
	for i := range classes {
		if lowest, top := domain.LowestRung[i], min(domain.ClassTop[i], len(domain.LadderKb)-1); lowest < 0 || lowest > top {
			return nil, fmt.Errorf("start information: lowestRung and classTop of class %d: expected rungs of the ladder, the lowest first, got %d and %d",
				i, lowest, domain.ClassTop[i])
		}
	}
	if len(domain.KindSlots) < len(o.Kinds) {
		return nil, fmt.Errorf("start information: kindSlots: expected one entry for each of %d kinds, got %d", len(o.Kinds), len(domain.KindSlots))
	}
	onRequest, err := lookUp("registryMode", o.RegistryMode, map[string]bool{"pushed": false, "on_request": true})
	if err != nil {
		return nil, err
	}
	site := &session.Site{
		Fronts: o.Balancers, Front: o.SlotNo, Zone: o.Locality, ListOnRequest: onRequest,
		Ladder: session.Ladder{RateKB: domain.LadderKb, RevenueShare: domain.LevelWorth, Join: domain.Join,
			RungChangeCost: micros(domain.ChangeCostsS)},
		Fleet: session.Fleet{Cells: domain.Positions, Racks: domain.Cabinets,
			TotalLinkKB: domain.LinksKb, UplinkKB: domain.UplinkKb, KBPerWeight: domain.KBPerWeight,
			WeightsListed: o.WeightKind != "silent", MaxStreams: domain.KindSlots, RefusalFill: domain.RefusesFrom, NoteDelay: micros(domain.SeenAfter), NoteInterval: micros(domain.ToldEvery),
			LoadInAnswers: o.LoadReport.Source == "piggyback", LoadInProbes: o.LoadReport.Source != "silent",
			UplinkUnreported: o.LoadReport.Source == "silent" || !slices.Contains(o.LoadReport.Names, "x1")},
		Terms: session.Terms{ColdShare: o.Rules.ColdFrom, WarmUp: micros(o.Rules.WarmUp),
			ColdMultiple: o.Rules.FallMultiple, ColdSpan: micros(o.Rules.OverloadFor),
			ListDeadline: micros(o.Rules.AskWithin), MaxTries: o.Limits.MaxAttempts,
			Probes: o.Limits.Probes},
		Prices: session.Prices{CrossZone: o.Prices.CrossZone, Move: o.Prices.Moves, Probe: o.Prices.Probe,
			WorstPlan: o.Goal.WorstClass, OverQuota: o.OverShareWorth},
	}
	if o.Limits.RetryAfter {
		site.Terms.MaxRetryAfter = micros(o.Limits.MaxRetryAfter)
	}
	if rules := o.Rules; rules.RatioSpan != nil {
		site.Terms.RetriesLimited, site.Terms.RetrySpan = true, micros(*rules.RatioSpan)
		if rules.MinExtra != nil {
			site.Terms.FreeRetries = *rules.MinExtra
		}
		if rules.RepeatRatio != nil {
			site.Terms.RetryShare = *rules.RepeatRatio
		}
	}
	for i, class := range o.Classes {
		plan := session.Plan{KeyWindow: micros(class.Window), StartupTarget: micros(class.Promise), Revenue: class.Worth,
			Live: domain.IsLive[i], RateFactor: domain.RateFactor[i], Floor: domain.LowestRung[i],
			Top: min(domain.ClassTop[i], len(domain.LadderKb)-1)}
		if len(domain.Seats) > 0 {
			plan.Seats = domain.Seats[i]
		}
		if plan.Repeat, err = lookUp("effect", class.Effect, map[string]session.Repeat{"read_like": session.Harmless,
			"idempotency_key": session.Keyed, "non_idempotent": session.Unsafe}); err != nil {
			return nil, err
		}
		scopes := map[string]session.Scope{"": session.Everywhere, "all": session.Everywhere,
			"zone": session.SameZone, "cell": session.SameCell}
		if plan.Scope, err = lookUp("keyScope", class.KeyScope, scopes); err != nil {
			return nil, err
		}
		site.Plans = append(site.Plans, plan)
	}
	for _, customer := range o.Customers {
		site.Tenants = append(site.Tenants, session.Tenant{QuotaPerS: customer.QuotaPerS})
	}
	return site, nil
}

// Load decodes a load report from its values and their names. Names other than x0, x1 and util are ignored; util, which
// never exceeds 1, is used only where the report has no x0.
func Load(names []string, values []float64) (load session.Load) {
	for i, value := range values[:min(len(values), len(names))] {
		switch names[i] {
		case "x0":
			load.Link, load.HasLink, load.Capped = value, true, false
		case "util":
			if !slices.Contains(names, "x0") {
				load.Link, load.HasLink, load.Capped = value, true, true
			}
		case "x1":
			load.Uplink, load.HasUplink = value, true
		}
	}
	return load
}
