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

var check = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	address := func(s string) bool { // port 0 has the system choose
		host, port, err := net.SplitHostPort(s)
		_, bad := strconv.ParseUint(port, 10, 16)
		return err == nil && bad == nil && host != ""
	}
	_ = v.RegisterValidation("address", func(f validator.FieldLevel) bool { return address(f.Field().String()) })
	_ = v.RegisterValidation("other", func(f validator.FieldLevel) bool {
		return address(strings.TrimPrefix(f.Field().String(), life.SecureMark))
	})
	return v
}()

// decode reads TOML strictly: keys that mean nothing are mistakes too.
func decode(text []byte, into any) (bad Mistakes) {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(into)
	var strict *toml.StrictMissingError
	var broken *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			bad = append(bad, fmt.Sprintf("%s: unknown key (line %d)", strings.Join(e.Key(), "."), line))
		}
	case errors.As(err, &broken):
		line, column := broken.Position()
		key := strings.Join(broken.Key(), ".")
		if key == "" {
			key = "file"
		}
		return append(bad, fmt.Sprintf("%s: line %d, column %d: %s", key, line, column,
			strings.TrimPrefix(broken.Error(), "toml: ")))
	default:
		return append(bad, err.Error())
	}
	var fields validator.ValidationErrors
	if err := check.Struct(into); errors.As(err, &fields) {
		for _, f := range fields {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			bad = append(bad, path+": "+expected(f))
		}
	}
	return bad
}

// expected says in words what a rule of a key wants.
func expected(f validator.FieldError) string {
	p := strings.ToLower(f.Param())
	if f.Type() == reflect.TypeFor[Span]() && f.Tag() != "gtfield" && p != "" {
		var us int64
		if _, err := fmt.Sscan(p, &us); err == nil {
			p = (time.Duration(us) * time.Microsecond).String()
		}
	}
	many := f.Kind() == reflect.Slice
	switch f.Tag() {
	case "required", "required_if", "required_with":
		return "a value is expected"
	case "gte":
		return "at least " + p + " is expected"
	case "gt":
		return "more than " + p + " is expected"
	case "lt":
		return "less than " + p + " is expected"
	case "lte":
		return "at most " + p + " is expected"
	case "min":
		if many {
			return "at least " + p + " entry is expected"
		}
		return "at least " + p + " is expected"
	case "max":
		return "at most " + p + " is expected"
	case "gtfield":
		return "more than " + p + " is expected"
	case "gtefield":
		return "at least " + p + " is expected"
	case "ltefield":
		return "at most " + p + " is expected"
	case "ltfield":
		return "less than " + p + " is expected"
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
	s := &Site{}
	bad := decode(text, s)
	if len(bad) == 0 {
		bad = s.across()
	}
	if len(bad) > 0 {
		return nil, bad
	}
	return s, nil
}

// across checks what one key means for another.
func (s *Site) across() (bad Mistakes) {
	if (s.Servers == "") == (s.Registry == nil) {
		bad = append(bad, "servers: either a file here or the section registry is expected")
	}
	if len(s.Ladder.Worth) != len(s.Ladder.RatesKB) {
		bad = append(bad, fmt.Sprintf("ladder.worth: %d numbers are expected, one for each of ladder.rates_kb", len(s.Ladder.RatesKB)))
	}
	if !slices.IsSorted(s.Ladder.RatesKB) {
		bad = append(bad, "ladder.rates_kb: rates from below are expected")
	}
	if !slices.Contains(s.Zones, s.Zone) {
		bad = append(bad, "zone: one of "+strings.Join(s.Zones, ", ")+" is expected")
	}
	if s.TLS != nil && s.TLS.Basic && (s.Directory == nil || s.Directory.Realm == "") {
		bad = append(bad, "tls.basic: directory.realm is expected with it, as passwords are checked against the directory")
	}
	for i, p := range s.Plans {
		if p.Top >= len(s.Ladder.RatesKB) {
			bad = append(bad, fmt.Sprintf("plan[%d].top: at most %d is expected, the ladder's highest rung", i, len(s.Ladder.RatesKB)-1))
		}
		if p.Repeat == "keyed" && p.Window == 0 {
			bad = append(bad, fmt.Sprintf("plan[%d].window: a time is expected, as repeat is keyed", i))
		}
	}
	return append(bad, s.mixed()...)
}

// silent tells whether no rejection may say when to come again.
func (s *Site) silent() bool { return s.Terms.Advice != nil && !*s.Terms.Advice }

// mixed finds keys of one shape of deployment beside those of another, where one of them could not hold.
func (s *Site) mixed() (bad Mistakes) {
	t, f := &s.Terms, &s.Fleet
	none := func(clash bool, key string, found any, why string) {
		if clash {
			bad = append(bad, fmt.Sprintf("%s: %v found, but none is expected, as %s", key, found, why))
		}
	}
	none(s.silent() && t.MaxComeAgain > 0, "terms.max_come_again", t.MaxComeAgain, "terms.advice is false")
	none(s.silent() && s.Door != nil && s.Door.Secret != "", "door.secret", "one", "terms.advice is false and nothing is promised")
	if !t.Probes && f.Load == "probes" {
		bad = append(bad, "fleet.load: probes found, but answers or none is expected, as terms.probes is false")
	}
	none(!t.Probes && s.Prices.Probe > 0, "prices.probe", s.Prices.Probe, "terms.probes is false")
	none(f.Load != "answers" && f.NoteEvery > 0, "fleet.note_every", f.NoteEvery, "fleet.load is "+f.Load)
	none(!t.Rationed && t.FreeTries > 0, "terms.free_tries", t.FreeTries, "terms.rationed is false")
	none(!t.Rationed && t.TryShare > 0, "terms.try_share", t.TryShare, "terms.rationed is false")
	none(!t.Rationed && t.TrySpan > 0, "terms.try_span", t.TrySpan, "terms.rationed is false")
	for i, p := range s.Plans {
		if p.Repeat == "unsafe" { // a key's figures would promise a repeat
			none(p.Window > 0, fmt.Sprintf("plan[%d].window", i), p.Window, "repeat is "+p.Repeat)
			none(p.Scope != "", fmt.Sprintf("plan[%d].scope", i), p.Scope, "repeat is "+p.Repeat)
		}
	}
	return bad
}

// Queue is what the door's queue is told, nil without one, and the door's limits.
func (s *Site) Queue(secret []byte) (*fair.Terms, fair.Limits) {
	d := s.Door
	if d == nil {
		return nil, fair.Limits{}
	}
	t := &fair.Terms{Waiting: d.Waiting, Bytes: d.Bytes, Tenants: d.Tenants, Clients: d.Clients, Secret: secret,
		Longest: core.Time(s.Terms.MaxComeAgain), Silent: s.silent(), Weights: map[string]float64{}}
	if d.Secret != "" {
		t.Secret = []byte(d.Secret)
	}
	for _, p := range s.Plans {
		t.Startup = max(t.Startup, core.Time(p.Startup))
	}
	for _, x := range s.Tenants {
		if x.Weight > 0 {
			t.Weights[x.Name] = x.Weight
		}
	}
	return t, fair.Limits{PerAddress: d.PerAddress, PerConnection: d.PerConnection, HalfOpen: d.HalfOpen}
}

// Longest is the longest abandon time of the plans.
func (s *Site) Longest() (most core.Time) {
	for _, p := range s.Plans {
		most = max(most, core.Time(p.Abandon))
	}
	return most
}

// Lifetimes are what a process's life is told.
func (s *Site) Lifetimes() life.Terms {
	return life.Terms{Drain: core.Time(s.Life.Drain), Finish: s.Longest()}
}

// Next is what a reload changes.
func (s *Site) Next(secret []byte) *front.Next {
	v := s.Service(secret)
	n := &front.Next{Bounds: v.Bounds, SessionTimeout: v.SessionTimeout, Queue: v.Queue, Limits: v.Limits, Life: s.Lifetimes()}
	for _, p := range v.Plans {
		n.Abandon = append(n.Abandon, p.Abandon)
	}
	for _, t := range v.Site.Tenants {
		n.Quotas = append(n.Quotas, t.QuotaPerS)
	}
	return n
}

// Fixed names what a reload would have to change and cannot while the session manager runs.
func (s *Site) Fixed(next *Site) (keys []string) {
	a, b := *s, *next
	if (a.Door == nil) != (b.Door == nil) {
		keys = append(keys, "door")
	}
	a.Door, b.Door = nil, nil
	a.Bounds, a.SessionTimeout = b.Bounds, b.SessionTimeout
	a.Life.Drain, a.Life.Others = b.Life.Drain, b.Life.Others
	if len(a.Plans) == len(b.Plans) {
		a.Plans = slices.Clone(a.Plans)
		for i := range a.Plans {
			a.Plans[i].Abandon = b.Plans[i].Abandon
		}
	}
	strip := func(all []Tenant) []Tenant {
		all = slices.Clone(all)
		for i := range all {
			all[i].Weight, all[i].Quota = 0, 0
		}
		return all
	}
	a.Tenants, b.Tenants = strip(a.Tenants), strip(b.Tenants)
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			name, _, _ := strings.Cut(x.Type().Field(i).Tag.Get("toml"), ",")
			keys = append(keys, name)
		}
	}
	return keys
}

// Service is what a front is told. The secret of its session ids is the caller's.
func (s *Site) Service(secret []byte) *front.Service {
	v := &front.Service{Name: s.Name, Zones: s.Zones, Silent: s.silent(), SessionTimeout: core.Time(s.SessionTimeout), Secret: secret,
		Bounds: front.Bounds{Connections: s.Bounds.Connections, Playbacks: s.Bounds.Playbacks,
			Pipelined: s.Bounds.Pipelined, PlayerBytes: s.Bounds.PlayerBytes}}
	v.Queue, v.Limits = s.Queue(secret)
	t, f := &s.Terms, &s.Fleet
	v.Site = session.Site{Fronts: s.Fronts, Front: s.Front, Zone: slices.Index(s.Zones, s.Zone),
		Ladder: session.Ladder{RateKB: s.Ladder.RatesKB, Worth: s.Ladder.Worth, Join: s.Ladder.Join,
			Change: core.Time(s.Ladder.Change)},
		Fleet: session.Fleet{Cells: f.Cells, Racks: f.Racks, LinksKB: f.LinksKB, UplinkKB: f.UplinkKB,
			KBPerWeight: f.KBPerWeight, WeightsTold: f.KBPerWeight > 0, FullFrom: f.FullFrom,
			NoteDelay: core.Time(f.NoteDelay), NoteEvery: core.Time(f.NoteEvery), LoadInAnswers: f.Load == "answers",
			LoadInProbes: f.Load != "none", UplinkUntold: f.Uplinks == "untold"},
		Terms: session.Terms{ColdFrom: t.ColdFrom, WarmUp: core.Time(t.WarmUp), FallMultiple: t.FallMultiple,
			FallSpan: core.Time(t.FallSpan), MaxTries: t.MaxTries, Rationed: t.Rationed, FreeTries: t.FreeTries,
			TryShare: t.TryShare, TrySpan: core.Time(t.TrySpan), Probes: t.Probes,
			MaxComeAgain: core.Time(t.MaxComeAgain)},
		Prices: session.Prices{CrossZone: s.Prices.CrossZone, Move: s.Prices.Move, Probe: s.Prices.Probe,
			OverShare: s.Prices.OverShare, WorstPlan: s.Prices.WorstPlan}}
	for _, k := range f.Kinds {
		v.Kinds = append(v.Kinds, k.Name)
		v.Site.Fleet.Places = append(v.Site.Fleet.Places, k.Places)
	}
	repeats := map[string]session.Repeat{"harmless": session.Harmless, "keyed": session.Keyed, "unsafe": session.Unsafe}
	scopes := map[string]session.Scope{"zone": session.SameZone, "cell": session.SameCell}
	for _, p := range s.Plans {
		v.Site.Plans = append(v.Site.Plans, session.Plan{Repeat: repeats[p.Repeat], Scope: scopes[p.Scope],
			Window: core.Time(p.Window), Startup: core.Time(p.Startup), Revenue: p.Revenue, Live: p.Live,
			RateFactor: p.RateFactor, Floor: p.Floor, Top: p.Top, Seats: p.Seats})
		face := front.Face{Name: p.Name, Abandon: core.Time(p.Abandon)}
		for _, t := range p.Tracks {
			face.Tracks = append(face.Tracks, front.Track{Media: t.Media, Encoding: t.Encoding, Payload: t.Payload})
		}
		v.Plans = append(v.Plans, face)
	}
	if q := s.Quality; q != nil {
		t := quality.Terms{Worth: s.Ladder.Worth, Racks: f.Racks, Titles: q.Titles, Playbacks: 2 * s.Bounds.Playbacks, Width: core.Time(q.Width),
			Buckets: q.Buckets, Late: core.Time(q.Late)}
		for _, p := range s.Plans {
			t.Plans = append(t.Plans, quality.Plan{Startup: core.Time(p.Startup), Revenue: p.Revenue})
		}
		v.Quality = quality.New(t, time.Now().UnixMicro())
	}
	for _, t := range s.Tenants {
		v.Tenants = append(v.Tenants, t.Name)
		v.Site.Tenants = append(v.Site.Tenants, session.Tenant{QuotaPerS: t.Quota})
	}
	if s.Directory != nil {
		v.Site.Tenants = append(v.Site.Tenants, make([]session.Tenant, s.Directory.Quotas)...)
	}
	return v
}
