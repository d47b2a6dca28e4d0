// Package settings reads an operator's settings file and server list: TOML, with every mistake told by the
// path of its key and what was expected there, all at once.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/front"
	"pierlink/internal/life"
	"pierlink/internal/quality"
	"pierlink/session"
)

// Span is a time as people write it: 1.5s, 800ms.
type Span core.Time

func (s Span) String() string { return (time.Duration(s) * time.Microsecond).String() }

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return fmt.Errorf("%q: a time such as 1.5s or 800ms was expected", b)
	}
	*s = Span(d.Microseconds())
	return nil
}

// Site is a settings file. docs/operate.md explains each key.
type Site struct {
	Listen  string `toml:"listen" validate:"required,address"`
	Name    string `toml:"name" validate:"required,max=64,printascii"`
	Front   int    `toml:"front" validate:"gte=0,ltfield=Fronts"`
	Fronts  int    `toml:"fronts" validate:"gte=1"`
	Zone    string `toml:"zone" validate:"required"`
	Servers string `toml:"servers"`

	Zones          []string `toml:"zones" validate:"min=1,unique,dive,required"`
	SessionTimeout Span     `toml:"session_timeout" validate:"gte=1000000"`

	Metrics   string     `toml:"metrics" validate:"omitempty,address"`
	Bounds    Bounds     `toml:"bounds"`
	Door      *Door      `toml:"door"`
	Registry  *Registry  `toml:"registry"`
	Life      Life       `toml:"life"`
	TLS       *TLS       `toml:"tls"`
	Quality   *Quality   `toml:"quality"`
	Trace     *Trace     `toml:"trace"`
	Directory *Directory `toml:"directory"`
	Ladder    Ladder     `toml:"ladder"`
	Plans     []Plan     `toml:"plan" validate:"min=1,unique=Name,dive"`
	Tenants   []Tenant   `toml:"tenant" validate:"unique=Name,dive"`
	Fleet     Fleet      `toml:"fleet"`
	Terms     Terms      `toml:"terms"`
	Prices    Prices     `toml:"prices"`
}

// Bounds are what one session manager may hold.
type Bounds struct {
	Connections int `toml:"connections" validate:"gte=1"`
	Playbacks   int `toml:"playbacks" validate:"gte=1"`
	Pipelined   int `toml:"pipelined" validate:"gte=2"`
	PlayerBytes int `toml:"player_bytes" validate:"gte=16384"`
}

// Door is the queue before the module and the limits of the door itself. Without it the module is asked at once.
type Door struct {
	Waiting       int     `toml:"waiting" validate:"gte=1"`
	Bytes         int     `toml:"bytes" validate:"gte=1024"`
	Tenants       int     `toml:"tenants" validate:"gte=1"`
	Clients       int     `toml:"clients" validate:"gte=0"`
	Secret        string  `toml:"secret" validate:"omitempty,min=16"`
	PerAddress    float64 `toml:"per_address" validate:"gte=0"`
	PerConnection float64 `toml:"per_connection" validate:"gte=0"`
	HalfOpen      int     `toml:"half_open" validate:"gte=0"`
	Labels        int     `toml:"labels" validate:"gte=0"`
}

// Life is how a session manager ends, hands over and comes back. Without it a stop ends all at once, and nothing
// is kept.
type Life struct {
	Drain   Span     `toml:"drain"`
	Control string   `toml:"control"`
	Kept    string   `toml:"kept"`
	Address string   `toml:"address" validate:"omitempty,address"`
	Others  []string `toml:"others" validate:"dive,other"`
}

// Quality has service counted by rack and title.
type Quality struct {
	Width   Span `toml:"width" validate:"gte=1000000"`
	Buckets int  `toml:"buckets" validate:"gte=16,lte=10000"`
	Late    Span `toml:"late" validate:"gte=0"`
	Titles  int  `toml:"titles" validate:"gte=1"`
}

// TLS is a second door, under TLS. Without it players are heard in the clear only.
type TLS struct {
	Listen  string `toml:"listen" validate:"required,address"`
	Cert    string `toml:"cert" validate:"required"`
	Key     string `toml:"key" validate:"required"`
	Address string `toml:"address" validate:"omitempty,address"`
	Basic   bool   `toml:"basic"` // passwords are taken too
}

// Directory is where tenants and their members are known. Without it every account is taken at its word.
type Directory struct {
	Endpoints []string `toml:"endpoints" validate:"min=1,dive,address"`
	Base      string   `toml:"base" validate:"required"`
	Bind      string   `toml:"bind"`
	Password  string   `toml:"password_file"` // a file, so that it stands in no settings
	CA        string   `toml:"ca"`            // TLS with this authority; without TLS if empty
	Page      int      `toml:"page" validate:"gte=1,lte=10000"`
	Longest   Span     `toml:"longest" validate:"gt=0"`
	Renew     Span     `toml:"renew" validate:"gt=0,ltefield=Longest"`
	Timeout   Span     `toml:"timeout" validate:"gte=10000,ltefield=Renew"`
	Negative  Span     `toml:"negative" validate:"gte=0"`
	Waiting   int      `toml:"waiting" validate:"gte=1"`
	Lookups   int      `toml:"lookups" validate:"gte=1,lte=64"`
	Entries   int      `toml:"entries" validate:"gte=1"`
	Quotas    int      `toml:"quotas" validate:"gte=0,lte=65536"` // tenants with a quota that the settings do not name
	Stale     string   `toml:"stale" validate:"oneof=refuse admit"`
	Realm     string   `toml:"realm" validate:"omitempty,printascii,excludesall=\""`
	Kept      string   `toml:"kept"`
	Key       string   `toml:"key_file" validate:"required_with=Kept"`
}

// Trace is where the stories of playbacks are kept, and of what part of them.
type Trace struct {
	File string  `toml:"file" validate:"required"`
	Part float64 `toml:"part" validate:"gt=0,lte=1"`
}

// Registry is where the server list comes from in place of a file.
type Registry struct {
	Endpoints []string `toml:"endpoints" validate:"min=1,dive,address"`
	Kept      string   `toml:"kept"`
	Lease     Span     `toml:"lease" validate:"omitempty,gte=1000000"`
	Timeout   Span     `toml:"timeout" validate:"gte=100000"`
	Grace     Span     `toml:"grace" validate:"gt=0"`
	CA        string   `toml:"ca"`
	Cert      string   `toml:"cert" validate:"required_with=Key"`
	Key       string   `toml:"key" validate:"required_with=Cert"`
}

// Ladder is the rungs from below.
type Ladder struct {
	RatesKB []float64 `toml:"rates_kb" validate:"min=1,dive,gt=0"`
	Worth   []float64 `toml:"worth" validate:"min=1,dive,gt=0"`
	Join    float64   `toml:"join" validate:"gt=0,lte=1"`
	Change  Span      `toml:"change"`
}

// Plan is a kind of playback.
type Plan struct {
	Name       string  `toml:"name" validate:"required,excludesall=/?# "`
	Repeat     string  `toml:"repeat" validate:"oneof=harmless keyed unsafe"`
	Scope      string  `toml:"scope" validate:"omitempty,oneof=everywhere zone cell"`
	Window     Span    `toml:"window"`
	Startup    Span    `toml:"startup" validate:"gt=0"`
	Abandon    Span    `toml:"abandon" validate:"gtfield=Startup"`
	Revenue    float64 `toml:"revenue" validate:"gt=0"`
	Live       bool    `toml:"live"`
	RateFactor float64 `toml:"rate_factor" validate:"gt=0"`
	Floor      int     `toml:"floor" validate:"gte=0"`
	Top        int     `toml:"top" validate:"gtefield=Floor"`
	Seats      int     `toml:"seats" validate:"gte=0"`
	Tracks     []Track `toml:"track" validate:"min=1,max=8,dive"`
}

// Track is one media stream of a plan's titles.
type Track struct {
	Media    string `toml:"media" validate:"oneof=video audio text application"`
	Encoding string `toml:"encoding" validate:"required"`
	Payload  uint8  `toml:"payload" validate:"lte=127"`
}

// Tenant is a customer with its share of the service.
type Tenant struct {
	Name   string  `toml:"name" validate:"required"`
	Quota  float64 `toml:"quota" validate:"gte=0"`
	Weight float64 `toml:"weight" validate:"gte=0"`
}

// Fleet is what is told of boxes and racks.
type Fleet struct {
	Cells       int     `toml:"cells" validate:"gte=1"`
	Racks       int     `toml:"racks" validate:"gte=1"`
	LinksKB     float64 `toml:"links_kb" validate:"gt=0"`
	UplinkKB    float64 `toml:"uplink_kb" validate:"gt=0"`
	KBPerWeight float64 `toml:"kb_per_weight" validate:"gte=0"`
	FullFrom    float64 `toml:"full_from" validate:"gte=0"`
	NoteDelay   Span    `toml:"note_delay" validate:"gt=0"`
	NoteEvery   Span    `toml:"note_every" validate:"gte=0"`
	Load        string  `toml:"load" validate:"oneof=answers probes none"`
	Uplinks     string  `toml:"uplinks" validate:"omitempty,oneof=told untold"` // told if empty
	Kinds       []Kind  `toml:"kind" validate:"min=1,unique=Name,dive"`
}

// Kind is a kind of box.
type Kind struct {
	Name   string  `toml:"name" validate:"required"`
	Places float64 `toml:"places" validate:"gt=0"`
}

// Terms are the figures of the six rules.
type Terms struct {
	ColdFrom     float64 `toml:"cold_from" validate:"gt=0,lte=1"`
	WarmUp       Span    `toml:"warm_up" validate:"gt=0"`
	FallMultiple float64 `toml:"fall_multiple" validate:"gte=1"`
	FallSpan     Span    `toml:"fall_span" validate:"gt=0"`
	MaxTries     int     `toml:"max_tries" validate:"gte=1"`
	Rationed     bool    `toml:"rationed"`
	FreeTries    float64 `toml:"free_tries" validate:"gte=0"`
	TryShare     float64 `toml:"try_share" validate:"gte=0"`
	TrySpan      Span    `toml:"try_span" validate:"required_if=Rationed true"`
	Probes       bool    `toml:"probes"`
	MaxComeAgain Span    `toml:"max_come_again"`
	Advice       *bool   `toml:"advice"` // whether rejections may say when to come again; left out, they may
}

// Prices are parts of the whole result.
type Prices struct {
	CrossZone float64 `toml:"cross_zone" validate:"gte=0,lte=1"`
	Move      float64 `toml:"move" validate:"gte=0,lte=1"`
	Probe     float64 `toml:"probe" validate:"gte=0,lte=1"`
	OverShare float64 `toml:"over_share" validate:"gte=0,lte=1"`
	WorstPlan float64 `toml:"worst_plan" validate:"gte=0,lt=1"`
}

// Mistakes are all that is wrong with a file: one line each, with the key's path.
type Mistakes []string

func (m Mistakes) Error() string { return strings.Join(m, "\n") }

var validate = func() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	address := func(s string) bool { // port 0 has the system choose
		host, port, err := net.SplitHostPort(s)
		_, portErr := strconv.ParseUint(port, 10, 16)
		return err == nil && portErr == nil && host != ""
	}
	_ = validate.RegisterValidation("address", func(f validator.FieldLevel) bool { return address(f.Field().String()) })
	_ = validate.RegisterValidation("other", func(f validator.FieldLevel) bool {
		return address(strings.TrimPrefix(f.Field().String(), life.SecureMark))
	})
	return validate
}()

// decode reads TOML strictly: keys that mean nothing are mistakes too.
func decode(text []byte, target any) (problems Mistakes) {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(target)
	var strict *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for i := range strict.Errors {
			unknown := &strict.Errors[i]
			line, _ := unknown.Position()
			problems = append(problems, fmt.Sprintf("%s: unknown key (line %d)", strings.Join(unknown.Key(), "."), line))
		}
	case errors.As(err, &syntax):
		line, column := syntax.Position()
		key := strings.Join(syntax.Key(), ".")
		if key == "" {
			key = "file"
		}
		return append(problems, fmt.Sprintf("%s: line %d, column %d: %s", key, line, column,
			strings.TrimPrefix(syntax.Error(), "toml: ")))
	default:
		return append(problems, err.Error())
	}
	var fields validator.ValidationErrors
	if err := validate.Struct(target); errors.As(err, &fields) {
		for _, f := range fields {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			problems = append(problems, path+": "+expected(f))
		}
	}
	return problems
}

// expected says in words what a rule of a key wants.
func expected(f validator.FieldError) string {
	param := strings.ToLower(f.Param())
	if f.Type() == reflect.TypeFor[Span]() && f.Tag() != "gtfield" && param != "" {
		var micros int64
		if _, err := fmt.Sscan(param, &micros); err == nil {
			param = (time.Duration(micros) * time.Microsecond).String()
		}
	}
	isSlice := f.Kind() == reflect.Slice
	switch f.Tag() {
	case "required", "required_if", "required_with":
		return "a value is expected"
	case "gte":
		return "at least " + param + " is expected"
	case "gt":
		return "more than " + param + " is expected"
	case "lt":
		return "less than " + param + " is expected"
	case "lte":
		return "at most " + param + " is expected"
	case "min":
		if isSlice {
			return "at least " + param + " entry is expected"
		}
		return "at least " + param + " is expected"
	case "max":
		return "at most " + param + " is expected"
	case "gtfield":
		return "more than " + param + " is expected"
	case "gtefield":
		return "at least " + param + " is expected"
	case "ltefield":
		return "at most " + param + " is expected"
	case "ltfield":
		return "less than " + param + " is expected"
	case "oneof":
		return "one of " + strings.Join(strings.Fields(f.Param()), ", ") + " is expected"
	case "unique":
		return "no two alike are expected"
	case "address":
		return "an address such as 127.0.0.1:8554 is expected"
	case "other":
		return "an address such as 127.0.0.1:8554, or rtsps://127.0.0.1:8322, is expected"
	case "excludesall":
		return "no blank and none of / ? # is expected"
	}
	return f.Tag() + " " + f.Param() + " is expected"
}

// Read reads and checks a settings file. The error is Mistakes where the file could be read.
func Read(path string) (*Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	site := &Site{}
	problems := decode(text, site)
	if len(problems) == 0 {
		problems = site.checkCombinations()
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return site, nil
}

// across checks what one key means for another.
func (s *Site) checkCombinations() (problems Mistakes) {
	if (s.Servers == "") == (s.Registry == nil) {
		problems = append(problems, "servers: either a file here or the section registry is expected")
	}
	if len(s.Ladder.Worth) != len(s.Ladder.RatesKB) {
		problems = append(problems, fmt.Sprintf("ladder.worth: %d numbers are expected, one for each of ladder.rates_kb", len(s.Ladder.RatesKB)))
	}
	if !slices.IsSorted(s.Ladder.RatesKB) {
		problems = append(problems, "ladder.rates_kb: rates from below are expected")
	}
	if !slices.Contains(s.Zones, s.Zone) {
		problems = append(problems, "zone: one of "+strings.Join(s.Zones, ", ")+" is expected")
	}
	if s.TLS != nil && s.TLS.Basic && (s.Directory == nil || s.Directory.Realm == "") {
		problems = append(problems, "tls.basic: directory.realm is expected with it, as passwords are checked against the directory")
	}
	for i, plan := range s.Plans {
		if plan.Top >= len(s.Ladder.RatesKB) {
			problems = append(problems, fmt.Sprintf("plan[%d].top: at most %d is expected, the ladder's highest rung", i, len(s.Ladder.RatesKB)-1))
		}
		if plan.Repeat == "keyed" && plan.Window == 0 {
			problems = append(problems, fmt.Sprintf("plan[%d].window: a time is expected, as repeat is keyed", i))
		}
	}
	return append(problems, s.checkConflicts()...)
}

// silent tells whether no rejection may say when to come again.
func (s *Site) withholdRetryTime() bool { return s.Terms.Advice != nil && !*s.Terms.Advice }

// mixed finds keys of one shape of deployment beside those of another, where one of them could not hold.
func (s *Site) checkConflicts() (problems Mistakes) {
	terms, fleet := &s.Terms, &s.Fleet
	rejectKey := func(conflict bool, key string, found any, reason string) {
		if conflict {
			problems = append(problems, fmt.Sprintf("%s: %v found, but none is expected, as %s", key, found, reason))
		}
	}
	rejectKey(s.withholdRetryTime() && terms.MaxComeAgain > 0, "terms.max_come_again", terms.MaxComeAgain, "terms.advice is false")
	rejectKey(s.withholdRetryTime() && s.Door != nil && s.Door.Secret != "", "door.secret", "one", "terms.advice is false and nothing is promised")
	if !terms.Probes && fleet.Load == "probes" {
		problems = append(problems, "fleet.load: probes found, but answers or none is expected, as terms.probes is false")
	}
	rejectKey(!terms.Probes && s.Prices.Probe > 0, "prices.probe", s.Prices.Probe, "terms.probes is false")
	rejectKey(fleet.Load != "answers" && fleet.NoteEvery > 0, "fleet.note_every", fleet.NoteEvery, "fleet.load is "+fleet.Load)
	rejectKey(!terms.Rationed && terms.FreeTries > 0, "terms.free_tries", terms.FreeTries, "terms.rationed is false")
	rejectKey(!terms.Rationed && terms.TryShare > 0, "terms.try_share", terms.TryShare, "terms.rationed is false")
	rejectKey(!terms.Rationed && terms.TrySpan > 0, "terms.try_span", terms.TrySpan, "terms.rationed is false")
	for i, plan := range s.Plans {
		if plan.Repeat == "unsafe" { // a key's figures would promise a repeat
			rejectKey(plan.Window > 0, fmt.Sprintf("plan[%d].window", i), plan.Window, "repeat is "+plan.Repeat)
			rejectKey(plan.Scope != "", fmt.Sprintf("plan[%d].scope", i), plan.Scope, "repeat is "+plan.Repeat)
		}
	}
	return problems
}

// Queue is what the door's queue is told, nil without one, and the door's limits.
func (s *Site) Queue(secret []byte) (*fair.Terms, fair.Limits) {
	door := s.Door
	if door == nil {
		return nil, fair.Limits{}
	}
	terms := &fair.Terms{Waiting: door.Waiting, Bytes: door.Bytes, Tenants: door.Tenants, Clients: door.Clients, Secret: secret,
		Longest: core.Time(s.Terms.MaxComeAgain), Silent: s.withholdRetryTime(), Weights: map[string]float64{}}
	if door.Secret != "" {
		terms.Secret = []byte(door.Secret)
	}
	for _, plan := range s.Plans {
		terms.Startup = max(terms.Startup, core.Time(plan.Startup))
	}
	for _, tenant := range s.Tenants {
		if tenant.Weight > 0 {
			terms.Weights[tenant.Name] = tenant.Weight
		}
	}
	return terms, fair.Limits{PerAddress: door.PerAddress, PerConnection: door.PerConnection, HalfOpen: door.HalfOpen}
}

// Longest is the longest abandon time of the plans.
func (s *Site) Longest() (longest core.Time) {
	for _, plan := range s.Plans {
		longest = max(longest, core.Time(plan.Abandon))
	}
	return longest
}

// Lifetimes are what a process's life is told.
func (s *Site) Lifetimes() life.Terms {
	return life.Terms{Drain: core.Time(s.Life.Drain), Finish: s.Longest()}
}

// Next is what a reload changes.
func (s *Site) Next(secret []byte) *front.Next {
	service := s.Service(secret)
	next := &front.Next{Bounds: service.Bounds, SessionTimeout: service.SessionTimeout, Queue: service.Queue, Limits: service.Limits, Life: s.Lifetimes()}
	for _, plan := range service.Plans {
		next.Abandon = append(next.Abandon, plan.Abandon)
	}
	for _, tenant := range service.Site.Tenants {
		next.Quotas = append(next.Quotas, tenant.QuotaPerS)
	}
	return next
}

// Fixed names what a reload would have to change and cannot while the session manager runs.
func (s *Site) Fixed(next *Site) (keys []string) {
	current, updated := *s, *next
	if (current.Door == nil) != (updated.Door == nil) {
		keys = append(keys, "door")
	}
	current.Door, updated.Door = nil, nil
	current.Bounds, current.SessionTimeout = updated.Bounds, updated.SessionTimeout
	current.Life.Drain, current.Life.Others = updated.Life.Drain, updated.Life.Others
	if len(current.Plans) == len(updated.Plans) {
		current.Plans = slices.Clone(current.Plans)
		for i := range current.Plans {
			current.Plans[i].Abandon = updated.Plans[i].Abandon
		}
	}
	withoutShares := func(tenants []Tenant) []Tenant {
		tenants = slices.Clone(tenants)
		for i := range tenants {
			tenants[i].Weight, tenants[i].Quota = 0, 0
		}
		return tenants
	}
	current.Tenants, updated.Tenants = withoutShares(current.Tenants), withoutShares(updated.Tenants)
	currentValue, updatedValue := reflect.ValueOf(current), reflect.ValueOf(updated)
	for i := range currentValue.NumField() {
		if !reflect.DeepEqual(currentValue.Field(i).Interface(), updatedValue.Field(i).Interface()) {
			name, _, _ := strings.Cut(currentValue.Type().Field(i).Tag.Get("toml"), ",")
			keys = append(keys, name)
		}
	}
	return keys
}

// Service is what a front is told. The secret of its session ids is the caller's.
func (s *Site) Service(secret []byte) *front.Service {
	service := &front.Service{Name: s.Name, Zones: s.Zones, Silent: s.withholdRetryTime(), SessionTimeout: core.Time(s.SessionTimeout), Secret: secret,
		Bounds: front.Bounds{Connections: s.Bounds.Connections, Playbacks: s.Bounds.Playbacks,
			Pipelined: s.Bounds.Pipelined, PlayerBytes: s.Bounds.PlayerBytes}}
	service.Queue, service.Limits = s.Queue(secret)
	terms, fleet := &s.Terms, &s.Fleet
	service.Site = session.Site{Fronts: s.Fronts, Front: s.Front, Zone: slices.Index(s.Zones, s.Zone),
		Ladder: session.Ladder{RateKB: s.Ladder.RatesKB, Worth: s.Ladder.Worth, Join: s.Ladder.Join,
			Change: core.Time(s.Ladder.Change)},
		Fleet: session.Fleet{Cells: fleet.Cells, Racks: fleet.Racks, LinksKB: fleet.LinksKB, UplinkKB: fleet.UplinkKB,
			KBPerWeight: fleet.KBPerWeight, WeightsTold: fleet.KBPerWeight > 0, FullFrom: fleet.FullFrom,
			NoteDelay: core.Time(fleet.NoteDelay), NoteEvery: core.Time(fleet.NoteEvery), LoadInAnswers: fleet.Load == "answers",
			LoadInProbes: fleet.Load != "none", UplinkUntold: fleet.Uplinks == "untold"},
		Terms: session.Terms{ColdFrom: terms.ColdFrom, WarmUp: core.Time(terms.WarmUp), FallMultiple: terms.FallMultiple,
			FallSpan: core.Time(terms.FallSpan), MaxTries: terms.MaxTries, Rationed: terms.Rationed, FreeTries: terms.FreeTries,
			TryShare: terms.TryShare, TrySpan: core.Time(terms.TrySpan), Probes: terms.Probes,
			MaxComeAgain: core.Time(terms.MaxComeAgain)},
		Prices: session.Prices{CrossZone: s.Prices.CrossZone, Move: s.Prices.Move, Probe: s.Prices.Probe,
			OverShare: s.Prices.OverShare, WorstPlan: s.Prices.WorstPlan}}
	for _, kind := range fleet.Kinds {
		service.Kinds = append(service.Kinds, kind.Name)
		service.Site.Fleet.Places = append(service.Site.Fleet.Places, kind.Places)
	}
	repeats := map[string]session.Repeat{"harmless": session.Harmless, "keyed": session.Keyed, "unsafe": session.Unsafe}
	scopes := map[string]session.Scope{"zone": session.SameZone, "cell": session.SameCell}
	for _, plan := range s.Plans {
		service.Site.Plans = append(service.Site.Plans, session.Plan{Repeat: repeats[plan.Repeat], Scope: scopes[plan.Scope],
			Window: core.Time(plan.Window), Startup: core.Time(plan.Startup), Revenue: plan.Revenue, Live: plan.Live,
			RateFactor: plan.RateFactor, Floor: plan.Floor, Top: plan.Top, Seats: plan.Seats})
		face := front.Face{Name: plan.Name, Abandon: core.Time(plan.Abandon)}
		for _, terms := range plan.Tracks {
			face.Tracks = append(face.Tracks, front.Track{Media: terms.Media, Encoding: terms.Encoding, Payload: terms.Payload})
		}
		service.Plans = append(service.Plans, face)
	}
	if qualityKeys := s.Quality; qualityKeys != nil {
		terms := quality.Terms{Worth: s.Ladder.Worth, Racks: fleet.Racks, Titles: qualityKeys.Titles, Playbacks: 2 * s.Bounds.Playbacks, Width: core.Time(qualityKeys.Width),
			Buckets: qualityKeys.Buckets, Late: core.Time(qualityKeys.Late)}
		for _, plan := range s.Plans {
			terms.Plans = append(terms.Plans, quality.Plan{Startup: core.Time(plan.Startup), Revenue: plan.Revenue})
		}
		service.Quality = quality.New(terms, time.Now().UnixMicro())
	}
	for _, terms := range s.Tenants {
		service.Tenants = append(service.Tenants, terms.Name)
		service.Site.Tenants = append(service.Site.Tenants, session.Tenant{QuotaPerS: terms.Quota})
	}
	if s.Directory != nil {
		service.Site.Tenants = append(service.Site.Tenants, make([]session.Tenant, s.Directory.Quotas)...)
	}
	return service
}
