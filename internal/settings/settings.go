// Package settings reads and validates the settings file and the server list of an operator, both in TOML. It
// reports all errors of a file at once, each with the path of its key and what is expected there.
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

// Duration is a duration in microseconds, written as in 1.5s or 800ms.
type Duration core.Time

func (s Duration) String() string { return (time.Duration(s) * time.Microsecond).String() }

// UnmarshalText parses a duration; negative ones are errors.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return fmt.Errorf("%q: a duration such as 1.5s or 800ms is expected", b)
	}
	*s = Duration(d.Microseconds())
	return nil
}

// Config holds the contents of a settings file. docs/operate.md explains each key.
type Config struct {
	Listen  string `toml:"listen" validate:"required,address"`
	Name    string `toml:"name" validate:"required,max=64,printascii"`
	Front   int    `toml:"front" validate:"gte=0,ltfield=Fronts"`
	Fronts  int    `toml:"fronts" validate:"gte=1"`
	Zone    string `toml:"zone" validate:"required"`
	Servers string `toml:"servers"`

	Zones          []string `toml:"zones" validate:"min=1,unique,dive,required"`
	SessionTimeout Duration `toml:"session_timeout" validate:"gte=1000000"`

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

// Bounds holds the resource limits of one session manager.
type Bounds struct {
	Connections int `toml:"connections" validate:"gte=1"`
	Playbacks   int `toml:"playbacks" validate:"gte=1"`
	Pipelined   int `toml:"pipelined" validate:"gte=2"`
	PlayerBytes int `toml:"player_bytes" validate:"gte=16384"`
}

// Door configures the admission queue and the limits on connections and requests. Without it every request goes to
// the module at once.
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

// Life configures draining, handover and restart of a session manager. Without it a stop ends all playbacks at once,
// and no state is kept.
type Life struct {
	Drain   Duration `toml:"drain"`
	Control string   `toml:"control"`
	Kept    string   `toml:"kept"`
	Address string   `toml:"address" validate:"omitempty,address"`
	Others  []string `toml:"others" validate:"dive,other"`
}

// Quality configures the measurement of service by rack and title.
type Quality struct {
	Width   Duration `toml:"width" validate:"gte=1000000"`
	Buckets int      `toml:"buckets" validate:"gte=16,lte=10000"`
	Late    Duration `toml:"late" validate:"gte=0"`
	Titles  int      `toml:"titles" validate:"gte=1"`
}

// TLS configures a second listener with TLS. Without it players connect without encryption only.
type TLS struct {
	Listen     string `toml:"listen" validate:"required,address"`
	Cert       string `toml:"cert" validate:"required"`
	Key        string `toml:"key" validate:"required"`
	Address    string `toml:"address" validate:"omitempty,address"`
	AllowBasic bool   `toml:"basic"` // Basic authentication is accepted too
}

// Directory configures the directory of tenants and their members. Without it accounts are accepted without
// authentication.
type Directory struct {
	Endpoints    []string `toml:"endpoints" validate:"min=1,dive,address"`
	Base         string   `toml:"base" validate:"required"`
	Bind         string   `toml:"bind"`
	PasswordFile string   `toml:"password_file"` // a file, to keep the password out of the settings
	CA           string   `toml:"ca"`            // certificate authority; TLS is not used if empty
	Page         int      `toml:"page" validate:"gte=1,lte=10000"`
	Longest      Duration `toml:"longest" validate:"gt=0"`
	Renew        Duration `toml:"renew" validate:"gt=0,ltefield=Longest"`
	Timeout      Duration `toml:"timeout" validate:"gte=10000,ltefield=Renew"`
	Negative     Duration `toml:"negative" validate:"gte=0"`
	Waiting      int      `toml:"waiting" validate:"gte=1"`
	Lookups      int      `toml:"lookups" validate:"gte=1,lte=64"`
	Entries      int      `toml:"entries" validate:"gte=1"`
	Quotas       int      `toml:"quotas" validate:"gte=0,lte=65536"` // maximum number of tenants with a quota that are not in the settings
	Stale        string   `toml:"stale" validate:"oneof=refuse admit"`
	Realm        string   `toml:"realm" validate:"omitempty,printascii,excludesall=\""`
	Kept         string   `toml:"kept"`
	Key          string   `toml:"key_file" validate:"required_with=Kept"`
}

// Trace configures the file for traces of playbacks and the share of playbacks traced.
type Trace struct {
	File         string  `toml:"file" validate:"required"`
	SampledShare float64 `toml:"part" validate:"gt=0,lte=1"`
}

// Registry configures the registry that supplies the server list in place of a file.
type Registry struct {
	Endpoints []string `toml:"endpoints" validate:"min=1,dive,address"`
	Kept      string   `toml:"kept"`
	Lease     Duration `toml:"lease" validate:"omitempty,gte=1000000"`
	Timeout   Duration `toml:"timeout" validate:"gte=100000"`
	Grace     Duration `toml:"grace" validate:"gt=0"`
	CA        string   `toml:"ca"`
	Cert      string   `toml:"cert" validate:"required_with=Key"`
	Key       string   `toml:"key" validate:"required_with=Cert"`
}

// Ladder configures the rungs, lowest first.
type Ladder struct {
	RatesKB []float64 `toml:"rates_kb" validate:"min=1,dive,gt=0"`
	Worth   []float64 `toml:"worth" validate:"min=1,dive,gt=0"`
	Join    float64   `toml:"join" validate:"gt=0,lte=1"`
	Change  Duration  `toml:"change"`
}

// Plan configures a plan, a class of playbacks.
type Plan struct {
	Name       string   `toml:"name" validate:"required,excludesall=/?# "`
	Repeat     string   `toml:"repeat" validate:"oneof=harmless keyed unsafe"`
	Scope      string   `toml:"scope" validate:"omitempty,oneof=everywhere zone cell"`
	Window     Duration `toml:"window"`
	Startup    Duration `toml:"startup" validate:"gt=0"`
	Abandon    Duration `toml:"abandon" validate:"gtfield=Startup"`
	Revenue    float64  `toml:"revenue" validate:"gt=0"`
	Live       bool     `toml:"live"`
	RateFactor float64  `toml:"rate_factor" validate:"gt=0"`
	Floor      int      `toml:"floor" validate:"gte=0"`
	Top        int      `toml:"top" validate:"gtefield=Floor"`
	Seats      int      `toml:"seats" validate:"gte=0"`
	Tracks     []Track  `toml:"track" validate:"min=1,max=8,dive"`
}

// Track describes one media stream of a plan's titles.
type Track struct {
	Media    string `toml:"media" validate:"oneof=video audio text application"`
	Encoding string `toml:"encoding" validate:"required"`
	Payload  uint8  `toml:"payload" validate:"lte=127"`
}

// Tenant is a customer with its quota and its weight in admission.
type Tenant struct {
	Name   string  `toml:"name" validate:"required"`
	Quota  float64 `toml:"quota" validate:"gte=0"`
	Weight float64 `toml:"weight" validate:"gte=0"`
}

// Fleet describes the servers and racks, and how their load is reported.
type Fleet struct {
	Cells       int      `toml:"cells" validate:"gte=1"`
	Racks       int      `toml:"racks" validate:"gte=1"`
	LinksKB     float64  `toml:"links_kb" validate:"gt=0"`
	UplinkKB    float64  `toml:"uplink_kb" validate:"gt=0"`
	KBPerWeight float64  `toml:"kb_per_weight" validate:"gte=0"`
	FullFrom    float64  `toml:"full_from" validate:"gte=0"`
	NoteDelay   Duration `toml:"note_delay" validate:"gt=0"`
	NoteEvery   Duration `toml:"note_every" validate:"gte=0"`
	Load        string   `toml:"load" validate:"oneof=answers probes none"`
	Uplinks     string   `toml:"uplinks" validate:"omitempty,oneof=told untold"` // as "told" if empty
	Kinds       []Kind   `toml:"kind" validate:"min=1,unique=Name,dive"`
}

// Kind is a model of server.
type Kind struct {
	Name   string  `toml:"name" validate:"required"`
	Places float64 `toml:"places" validate:"gt=0"`
}

// Terms holds the parameters of the six rules.
type Terms struct {
	ColdFrom     float64  `toml:"cold_from" validate:"gt=0,lte=1"`
	WarmUp       Duration `toml:"warm_up" validate:"gt=0"`
	FallMultiple float64  `toml:"fall_multiple" validate:"gte=1"`
	FallSpan     Duration `toml:"fall_span" validate:"gt=0"`
	MaxTries     int      `toml:"max_tries" validate:"gte=1"`
	Rationed     bool     `toml:"rationed"`
	FreeTries    float64  `toml:"free_tries" validate:"gte=0"`
	TryShare     float64  `toml:"try_share" validate:"gte=0"`
	TrySpan      Duration `toml:"try_span" validate:"required_if=Rationed true"`
	Probes       bool     `toml:"probes"`
	MaxComeAgain Duration `toml:"max_come_again"`
	Advice       *bool    `toml:"advice"` // whether rejections may carry a retry time; true if absent
}

// Prices holds the prices of the result's parts, each as a share of the whole.
type Prices struct {
	CrossZone float64 `toml:"cross_zone" validate:"gte=0,lte=1"`
	Move      float64 `toml:"move" validate:"gte=0,lte=1"`
	Probe     float64 `toml:"probe" validate:"gte=0,lte=1"`
	OverShare float64 `toml:"over_share" validate:"gte=0,lte=1"`
	WorstPlan float64 `toml:"worst_plan" validate:"gte=0,lt=1"`
}

// ValidationErrors lists all errors of a file, one line each, with the path of the key.
type ValidationErrors []string

func (m ValidationErrors) Error() string { return strings.Join(m, "\n") }

// validate checks the rules of struct tags and names fields by their TOML keys.
var validate = func() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	address := func(s string) bool { // port 0 lets the system choose
		host, port, err := net.SplitHostPort(s)
		_, portErr := strconv.ParseUint(port, 10, 16)
		return err == nil && portErr == nil && host != ""
	}
	_ = rules.RegisterValidation("address", func(f validator.FieldLevel) bool { return address(f.Field().String()) })
	_ = rules.RegisterValidation("other", func(f validator.FieldLevel) bool {
		return address(strings.TrimPrefix(f.Field().String(), life.SecureScheme))
	})
	return rules
}()

// decode parses and validates TOML strictly: unknown keys are errors too.
func decode(text []byte, target any) (problems ValidationErrors) {
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
		for _, failure := range fields {
			_, path, _ := strings.Cut(failure.Namespace(), ".")
			problems = append(problems, path+": "+expected(failure))
		}
	}
	return problems
}

// expected describes what a failed rule expects.
func expected(failure validator.FieldError) string {
	param := strings.ToLower(failure.Param())
	if failure.Type() == reflect.TypeFor[Duration]() && failure.Tag() != "gtfield" && param != "" {
		var micros int64
		if _, err := fmt.Sscan(param, &micros); err == nil {
			param = (time.Duration(micros) * time.Microsecond).String()
		}
	}
	isSlice := failure.Kind() == reflect.Slice
	switch failure.Tag() {
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
		return "one of " + strings.Join(strings.Fields(failure.Param()), ", ") + " is expected"
	case "unique":
		return "unique entries are expected"
	case "address":
		return "an address such as 127.0.0.1:8554 is expected"
	case "other":
		return "an address such as 127.0.0.1:8554, or rtsps://127.0.0.1:8322, is expected"
	case "excludesall":
		return "a value without blanks and without / ? # is expected"
	}
	return failure.Tag() + " " + failure.Param() + " is expected"
}

// Read reads and validates a settings file. If the file can be read but is invalid, the error
// lists all problems.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config := &Config{}
	problems := decode(text, config)
	if len(problems) == 0 {
		problems = config.checkCombinations()
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return config, nil
}

// checkCombinations checks rules that involve several keys.
func (c *Config) checkCombinations() (problems ValidationErrors) {
	if (c.Servers == "") == (c.Registry == nil) {
		problems = append(problems, "servers: either a file or the section registry is expected")
	}
	if len(c.Ladder.Worth) != len(c.Ladder.RatesKB) {
		problems = append(problems, fmt.Sprintf("ladder.worth: %d numbers are expected, one for each of ladder.rates_kb", len(c.Ladder.RatesKB)))
	}
	if !slices.IsSorted(c.Ladder.RatesKB) {
		problems = append(problems, "ladder.rates_kb: rates in ascending order are expected")
	}
	if !slices.Contains(c.Zones, c.Zone) {
		problems = append(problems, "zone: one of "+strings.Join(c.Zones, ", ")+" is expected")
	}
	if c.TLS != nil && c.TLS.AllowBasic && (c.Directory == nil || c.Directory.Realm == "") {
		problems = append(problems, "tls.basic: directory.realm is expected with it, as passwords are checked against the directory")
	}
	for i, plan := range c.Plans {
		if plan.Top >= len(c.Ladder.RatesKB) {
			problems = append(problems, fmt.Sprintf("plan[%d].top: at most %d is expected, the ladder's highest rung", i, len(c.Ladder.RatesKB)-1))
		}
		if plan.Repeat == "keyed" && plan.Window == 0 {
			problems = append(problems, fmt.Sprintf("plan[%d].window: a duration is expected, as repeat is keyed", i))
		}
	}
	return append(problems, c.checkConflicts()...)
}

// withholdRetryTime reports whether rejections must not carry a retry time.
func (c *Config) withholdRetryTime() bool { return c.Terms.Advice != nil && !*c.Terms.Advice }

// checkConflicts reports keys that have no effect or contradict others in this kind of deployment.
func (c *Config) checkConflicts() (problems ValidationErrors) {
	terms, fleet := &c.Terms, &c.Fleet
	rejectKey := func(conflict bool, key string, found any, reason string) {
		if conflict {
			problems = append(problems, fmt.Sprintf("%s: %v found, but none is expected, as %s", key, found, reason))
		}
	}
	rejectKey(c.withholdRetryTime() && terms.MaxComeAgain > 0, "terms.max_come_again", terms.MaxComeAgain, "terms.advice is false")
	rejectKey(c.withholdRetryTime() && c.Door != nil && c.Door.Secret != "", "door.secret", "one", "terms.advice is false and no retry tokens are issued")
	if !terms.Probes && fleet.Load == "probes" {
		problems = append(problems, "fleet.load: probes found, but answers or none is expected, as terms.probes is false")
	}
	rejectKey(!terms.Probes && c.Prices.Probe > 0, "prices.probe", c.Prices.Probe, "terms.probes is false")
	rejectKey(fleet.Load != "answers" && fleet.NoteEvery > 0, "fleet.note_every", fleet.NoteEvery, "fleet.load is "+fleet.Load)
	rejectKey(!terms.Rationed && terms.FreeTries > 0, "terms.free_tries", terms.FreeTries, "terms.rationed is false")
	rejectKey(!terms.Rationed && terms.TryShare > 0, "terms.try_share", terms.TryShare, "terms.rationed is false")
	rejectKey(!terms.Rationed && terms.TrySpan > 0, "terms.try_span", terms.TrySpan, "terms.rationed is false")
	for i, plan := range c.Plans {
		if plan.Repeat == "unsafe" { // a window or scope would imply that requests can be repeated
			rejectKey(plan.Window > 0, fmt.Sprintf("plan[%d].window", i), plan.Window, "repeat is "+plan.Repeat)
			rejectKey(plan.Scope != "", fmt.Sprintf("plan[%d].scope", i), plan.Scope, "repeat is "+plan.Repeat)
		}
	}
	return problems
}

// QueueConfig returns the configuration of the admission queue, nil if there is none, and the limits on connections and
// requests. The given secret signs retry tokens unless the settings contain one.
func (c *Config) QueueConfig(secret []byte) (*fair.Config, fair.Limits) {
	door := c.Door
	if door == nil {
		return nil, fair.Limits{}
	}
	terms := &fair.Config{MaxWaiting: door.Waiting, MaxBytes: door.Bytes, MaxTenants: door.Tenants, MaxIdleClients: door.Clients, TokenSecret: secret,
		MaxRetryAfter: core.Time(c.Terms.MaxComeAgain), WithholdRetryTime: c.withholdRetryTime(), Weights: map[string]float64{}}
	if door.Secret != "" {
		terms.TokenSecret = []byte(door.Secret)
	}
	for _, plan := range c.Plans {
		terms.StartupTarget = max(terms.StartupTarget, core.Time(plan.Startup))
	}
	for _, tenant := range c.Tenants {
		if tenant.Weight > 0 {
			terms.Weights[tenant.Name] = tenant.Weight
		}
	}
	return terms, fair.Limits{ConnectionsPerAddress: door.PerAddress, RequestsPerConnection: door.PerConnection, MaxHalfOpen: door.HalfOpen}
}

// LongestAbandon returns the longest abandon time of the plans.
func (c *Config) LongestAbandon() (longest core.Time) {
	for _, plan := range c.Plans {
		longest = max(longest, core.Time(plan.Abandon))
	}
	return longest
}

// LifeConfig returns the times for draining and ending a process.
func (c *Config) LifeConfig() life.Timeouts {
	return life.Timeouts{Drain: core.Time(c.Life.Drain), MaxAbandonTime: c.LongestAbandon()}
}

// Reload returns the values that a reload replaces in a running front.
func (c *Config) Reload(secret []byte) *front.ReloadConfig {
	service := c.FrontConfig(secret)
	next := &front.ReloadConfig{Bounds: service.Bounds, SessionTimeout: service.SessionTimeout, Queue: service.Queue, Limits: service.Limits, Life: c.LifeConfig()}
	for _, plan := range service.Plans {
		next.Abandon = append(next.Abandon, plan.Abandon)
	}
	for _, tenant := range service.Site.Tenants {
		next.Quotas = append(next.Quotas, tenant.QuotaPerS)
	}
	return next
}

// RestartKeys returns the keys that differ in next and cannot change while the session manager runs.
func (c *Config) RestartKeys(next *Config) (keys []string) {
	current, updated := *c, *next
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

// FrontConfig returns the configuration of a front. The secret is used for its session ids.
func (c *Config) FrontConfig(secret []byte) *front.Config {
	service := &front.Config{Name: c.Name, Zones: c.Zones, OmitRetryAfter: c.withholdRetryTime(), SessionTimeout: core.Time(c.SessionTimeout), Secret: secret,
		Bounds: front.Bounds{Connections: c.Bounds.Connections, Playbacks: c.Bounds.Playbacks,
			Pipelined: c.Bounds.Pipelined, PlayerBytes: c.Bounds.PlayerBytes}}
	service.Queue, service.Limits = c.QueueConfig(secret)
	terms, fleet := &c.Terms, &c.Fleet
	service.Site = session.Site{Fronts: c.Fronts, Front: c.Front, Zone: slices.Index(c.Zones, c.Zone),
		Ladder: session.Ladder{RateKB: c.Ladder.RatesKB, RevenueShare: c.Ladder.Worth, Join: c.Ladder.Join,
			RungChangeCost: core.Time(c.Ladder.Change)},
		Fleet: session.Fleet{Cells: fleet.Cells, Racks: fleet.Racks, TotalLinkKB: fleet.LinksKB, UplinkKB: fleet.UplinkKB,
			KBPerWeight: fleet.KBPerWeight, WeightsListed: fleet.KBPerWeight > 0, RefusalFill: fleet.FullFrom,
			NoteDelay: core.Time(fleet.NoteDelay), NoteInterval: core.Time(fleet.NoteEvery), LoadInAnswers: fleet.Load == "answers",
			LoadInProbes: fleet.Load != "none", UplinkUnreported: fleet.Uplinks == "untold"},
		Terms: session.Terms{ColdShare: terms.ColdFrom, WarmUp: core.Time(terms.WarmUp), ColdMultiple: terms.FallMultiple,
			ColdSpan: core.Time(terms.FallSpan), MaxTries: terms.MaxTries, RetriesLimited: terms.Rationed, FreeRetries: terms.FreeTries,
			RetryShare: terms.TryShare, RetrySpan: core.Time(terms.TrySpan), Probes: terms.Probes,
			MaxRetryAfter: core.Time(terms.MaxComeAgain)},
		Prices: session.Prices{CrossZone: c.Prices.CrossZone, Move: c.Prices.Move, Probe: c.Prices.Probe,
			OverQuota: c.Prices.OverShare, WorstPlan: c.Prices.WorstPlan}}
	for _, kind := range fleet.Kinds {
		service.Kinds = append(service.Kinds, kind.Name)
		service.Site.Fleet.MaxStreams = append(service.Site.Fleet.MaxStreams, kind.Places)
	}
	repeats := map[string]session.Repeat{"harmless": session.Harmless, "keyed": session.Keyed, "unsafe": session.Unsafe}
	scopes := map[string]session.Scope{"zone": session.SameZone, "cell": session.SameCell}
	for _, plan := range c.Plans {
		service.Site.Plans = append(service.Site.Plans, session.Plan{Repeat: repeats[plan.Repeat], Scope: scopes[plan.Scope],
			KeyWindow: core.Time(plan.Window), StartupTarget: core.Time(plan.Startup), Revenue: plan.Revenue, Live: plan.Live,
			RateFactor: plan.RateFactor, Floor: plan.Floor, Top: plan.Top, Seats: plan.Seats})
		face := front.PlanProfile{Name: plan.Name, Abandon: core.Time(plan.Abandon)}
		for _, track := range plan.Tracks {
			face.Tracks = append(face.Tracks, front.Track{Media: track.Media, Encoding: track.Encoding, Payload: track.Payload})
		}
		service.Plans = append(service.Plans, face)
	}
	if qualityKeys := c.Quality; qualityKeys != nil {
		config := quality.Config{RungWorth: c.Ladder.Worth, Racks: fleet.Racks, MaxTitles: qualityKeys.Titles, MaxPlaybacks: 2 * c.Bounds.Playbacks, BucketWidth: core.Time(qualityKeys.Width),
			BucketCount: qualityKeys.Buckets, ReportGrace: core.Time(qualityKeys.Late)}
		for _, plan := range c.Plans {
			config.Plans = append(config.Plans, quality.Plan{Startup: core.Time(plan.Startup), Revenue: plan.Revenue})
		}
		service.Quality = quality.New(config, time.Now().UnixMicro())
	}
	for _, tenant := range c.Tenants {
		service.Tenants = append(service.Tenants, tenant.Name)
		service.Site.Tenants = append(service.Site.Tenants, session.Tenant{QuotaPerS: tenant.Quota})
	}
	if c.Directory != nil {
		service.Site.Tenants = append(service.Site.Tenants, make([]session.Tenant, c.Directory.Quotas)...)
	}
	return service
}
