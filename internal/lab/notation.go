package lab

import (
	"embed"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"pierlink/internal/core"
	"pierlink/internal/fair"
	"pierlink/internal/front"
	"pierlink/internal/standin/mediabox"
	"pierlink/session"
)

//go:embed days/*.day
var libraryFS embed.FS

// Day is one scripted day: a fleet, its load, and the troubles that occur during it. The notation has a line for each
// item with `key=value` words, times in seconds, and `#` before a comment:
//
//	fleet managers=3 boxes=12 zones=2 racks=3 places=30 link=900 uplink=2400 ...
//	ladder 6,12,24,48 worth=0.4,0.7,0.9,1 join=0.25 change=0.5
//	plan live-lesson share=0.4 startup=1.5 abandon=4 revenue=2 live=1 ...
//	terms coldfrom=0.3 warmup=6 fallmultiple=4 fallspan=1 grace=0.25 ...
//	load rate=60 length=30 titles=40 zipf=0.8 returns=2 break=0.7
//	net latency=0.001 jitter=0.0005 across=0.002 split=0.1 cut=0
//	tenant agency count=20 rate=2 from=0 until=30 addresses=5 exact=1 early=0
//	door waiting=500 order=fair longest=0
//	at 5 die boxes=2 for=6
type Day struct {
	countQuality bool       // session managers collect quality measures
	access       *accessDay // nil if no directory and TLS are used
	Name         string
	Text         string                     // the day's text with its ranges, as read
	OnAnswered   func(*front.PlaybackTrace) // called for each answered playback, if not nil
	Policy       string                     // name of a baseline used in place of the module; empty for the module
	Seed         uint64

	Managers, Boxes, Zones, Racks int
	BoxConfig                     mediabox.Config // for each box, except its name, rack and start time
	UplinkKB                      float64
	NoticeSpread                  Time // longest delay until a list update reaches a manager
	LossNoticeDelay               Time // time until the list reports a box that ended
	LoadByProbes                  bool
	OmitRetryAfter                bool // no response has Retry-After

	Plans          []DayPlan
	Site           session.Site
	DrainGrace     Time
	SessionTimeout Time

	ArrivalRate, ZipfExponent float64
	Length                    Time
	Titles                    int
	MaxRetries                int
	RetryDelay                Time
	SmallScreenShare          float64

	Links    Links
	Troubles []Trouble

	Tenants []DayTenant // if there are any, they make up the load
	Queue   *fair.Config

	Processes      bool         // some troubles need managers as separate processes
	RecoverOrphans bool         // restarted managers end the sessions that they left at boxes
	DrainTimeout   Time         // of processes that are stopped or upgraded
	Registry       *DayRegistry // nil if list updates reach managers without a registry
}

// DayTenant is a tenant, or Count tenants alike, with the arrivals and behaviour of its viewers.
type DayTenant struct {
	Name        string
	Count       int
	Rate        float64 // viewers per second, for each tenant
	From, Until Time
	Addresses   int
	ExactShare  float64 // share of the viewers that retry at the time given
	EarlyShare  float64 // share that retry at half of that time; the others do not retry
	Floods      bool    // sends more than its share on purpose
	Light       bool    // sends little, so that its waiting time is measured
}

// DayPlan is a plan with its share of the viewers and the range of their watch times.
type DayPlan struct {
	front.PlanProfile
	Share float64
	Watch [2]Time
}

// Trouble is one scripted fault or change of load.
type Trouble struct {
	At, Duration     Time
	Kind             string
	Boxes, Managers  int
	Share, Magnitude float64
}

// troubleKinds are the known kinds of trouble; docs/lab.md describes each.
var troubleKinds = map[string]bool{"die": true, "vanish": true, "errors": true, "lost-answers": true,
	"late-answers": true, "stuck": true, "cut-answers": true, "slow": true, "slow-rack": true, "drain": true, "surge": true,
	"neighbour": true, "reports-late": true, "kill": true, "stand-still": true, "zone-cut": true, "crowd": true,
	"sag": true, "repeat": true, "leave": true, "overspeed": true, "reload": true, "bad-reload": true, "halt": true, "upgrade": true, "registry-cut": true, "registry-stall": true, "registry-compact": true, "registry-anew": true, "registry-lose": true}

// Library returns a day that is embedded in the program.
func Library(name string) (*Day, error) {
	text, err := libraryFS.ReadFile("days/" + name + ".day")
	if err != nil {
		return nil, fmt.Errorf("the library has no day %q", name)
	}
	return Parse(name, string(text))
}

// ReadDay reads a day from a file.
func ReadDay(path string) (*Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text))
}

// lineWords are a line's key=value pairs; the getters remove them, so what remains is unknown.
type lineWords struct {
	line       string
	values     map[string]string
	positional []string
	err        error
}

func (w *lineWords) text(key, fallback string) string {
	value, ok := w.values[key]
	if !ok {
		return fallback
	}
	delete(w.values, key)
	return value
}

func (w *lineWords) number(key string, fallback float64) float64 {
	text := w.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < 0 {
		w.fail("%s=%s: expected a number of 0 or more", key, text)
	}
	return value
}

// countOrShare returns a count out of a total: a whole number, or a share of the total if below 1.
func (w *lineWords) countOrShare(key string, total int) int {
	share := w.number(key, 1)
	if share > 0 && share < 1 {
		share = max(math.Round(share*float64(total)), 1)
	}
	return int(share)
}

func (w *lineWords) count(key string, or int) int { return int(w.number(key, float64(or))) }
func (w *lineWords) duration(key string, fallback float64) Time {
	return Time(w.number(key, fallback) * 1e6)
}

func (w *lineWords) durationRange(key string, low, high float64) [2]Time {
	text := w.text(key, "")
	if text == "" {
		return [2]Time{Time(low * 1e6), Time(high * 1e6)}
	}
	lowText, highText, isRange := strings.Cut(text, "..")
	x, err := strconv.ParseFloat(lowText, 64)
	y := x
	if isRange && err == nil {
		y, err = strconv.ParseFloat(highText, 64)
	}
	if err != nil || x > y || x < 0 {
		w.fail("%s=%s: expected a time or a range such as 2..6", key, text)
	}
	return [2]Time{Time(x * 1e6), Time(y * 1e6)}
}

func (w *lineWords) numbers(text string) (values []float64) {
	for x := range strings.SplitSeq(text, ",") {
		value, err := strconv.ParseFloat(x, 64)
		if err != nil {
			w.fail("%q: expected numbers separated by commas", text)
			return nil
		}
		values = append(values, value)
	}
	return values
}

func (w *lineWords) fail(format string, a ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("%s: %s", w.line, fmt.Sprintf(format, a...))
	}
}

func splitLine(line string) *lineWords {
	w := &lineWords{line: line, values: map[string]string{}}
	for _, word := range strings.Fields(line)[1:] {
		if key, value, ok := strings.Cut(word, "="); ok {
			w.values[key] = value
		} else {
			w.positional = append(w.positional, word)
		}
	}
	return w
}

// Parse reads a day and draws its ranges from its seed. Errors name the line and what was expected.
func Parse(name, text string) (*Day, error) {
	d := &Day{Name: name, Text: text, Seed: 1}
	for line := range strings.SplitSeq(text, "\n") {
		if w := strings.Fields(line); len(w) == 2 && w[0] == "seed" {
			seed, err := strconv.ParseUint(w[1], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %s: expected a whole number", name, line)
			}
			d.Seed = seed
		}
	}
	return d.WithSeed(d.Seed)
}

// parse reads a day whose ranges are drawn already.
func parse(name, text string) (*Day, error) {
	d := &Day{Name: name, Seed: 1, Managers: 1, Boxes: 1, Zones: 1, Racks: 1, RecoverOrphans: true, DrainTimeout: 5 * core.Second}
	d.parseFleet(splitLine("fleet"))
	d.parseTerms(splitLine("terms"))
	d.parseLoad(splitLine("load"))
	d.parseNet(splitLine("net"))
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		w := splitLine(line)
		switch first := strings.Fields(line)[0]; first {
		case "seed":
			if len(w.positional) == 1 {
				d.Seed, w.err = strconv.ParseUint(w.positional[0], 10, 64)
			}
		case "fleet":
			d.parseFleet(w)
		case "ladder":
			d.parseLadder(w)
		case "plan":
			d.parsePlan(w)
		case "terms":
			d.parseTerms(w)
		case "load":
			d.parseLoad(w)
		case "net":
			d.parseNet(w)
		case "tenant":
			d.parseTenant(w)
		case "door":
			d.parseDoor(w)
		case "life":
			d.RecoverOrphans, d.DrainTimeout = w.count("recover", 1) > 0, w.duration("drain", 5)
		case "registry":
			d.Registry = &DayRegistry{Lease: w.duration("lease", 2), Timeout: w.duration("timeout", 0.5), Latency: w.duration("way", 0.002)}
		case "at":
			d.parseTrouble(w)
		default:
			w.fail("unknown %q: expected seed, fleet, ladder, plan, terms, load, net, tenant, door, registry, life or at", first)
		}
		for k := range w.values {
			w.fail("unknown word %q", k)
		}
		if w.err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, i+1, w.err)
		}
	}
	for _, t := range d.Troubles {
		d.Processes = d.Processes || slices.Contains([]string{"reload", "bad-reload", "halt", "upgrade"}, t.Kind)
		if d.Registry == nil && strings.HasPrefix(t.Kind, "registry-") {
			return nil, fmt.Errorf("%s: trouble %s needs a registry line", name, t.Kind)
		}
	}
	if d.Policy != "" && baselines[d.Policy] == nil {
		return nil, fmt.Errorf("%s: unknown baseline %q: expected one of %s", name, d.Policy, strings.Join(Baselines(), ", "))
	}
	if len(d.Plans) == 0 || len(d.BoxConfig.LadderKB) == 0 || d.Managers < 1 || d.Boxes < 1 || d.Zones < 1 || d.Racks < 1 {
		return nil, fmt.Errorf("%s: a day needs a ladder, a plan, and at least one manager, box, zone and rack", name)
	}
	d.finish()
	return d, nil
}

func (d *Day) parseFleet(w *lineWords) {
	d.Managers, d.Boxes = w.count("managers", d.Managers), w.count("boxes", d.Boxes)
	d.Zones, d.Racks = w.count("zones", d.Zones), w.count("racks", d.Racks)
	config := &d.BoxConfig
	config.MaxSessions = w.count("places", 30)
	config.LinkKB, d.UplinkKB = w.number("link", 1000), w.number("uplink", 3000)
	config.RejectFromLoad = w.number("fullfrom", 0)
	config.SetupTime = w.durationRange("setup", 0.01, 0.04)
	config.SendInterval, config.PacketBytes = w.duration("tick", 0.1), w.count("packet", 1200)
	config.NoteDelay, config.NoteInterval = w.duration("notedelay", 0.5), w.duration("noteevery", 2)
	d.LoadByProbes = w.text("load", "answers") == "probes"
	config.LoadInAnswers, config.OmitUplinkLoad = !d.LoadByProbes, w.text("uplinks", "told") == "untold"
	d.NoticeSpread, d.LossNoticeDelay = w.duration("spread", 0.3), w.duration("notice", 1.5)
	config.KeepSessionsOnClose = w.text("keeps", "") != ""
}

func (d *Day) parseLadder(w *lineWords) {
	if len(w.positional) != 1 {
		w.fail("expected the rates, separated by commas")
		return
	}
	d.BoxConfig.LadderKB = w.numbers(w.positional[0])
	d.Site.Ladder.RevenueShare = w.numbers(w.text("worth", ""))
	if len(d.Site.Ladder.RevenueShare) != len(d.BoxConfig.LadderKB) {
		w.fail("worth= needs one number for each rate")
	}
	d.BoxConfig.Join, d.Site.Ladder.RungChangeCost = w.number("join", 1), w.duration("change", 0.5)
}

func (d *Day) parsePlan(w *lineWords) {
	if len(w.positional) != 1 {
		w.fail("expected the plan's name")
		return
	}
	dayPlan := DayPlan{Share: w.number("share", 1), Watch: w.durationRange("watch", 3, 8)}
	dayPlan.Name, dayPlan.Abandon = w.positional[0], w.duration("abandon", 4)
	for i, media := range strings.Split(w.text("tracks", "video,audio"), ",") {
		track := front.Track{Media: media, Encoding: "H264/90000", Payload: uint8(96 + i)}
		if media == "audio" {
			track.Encoding = "opus/48000"
		}
		dayPlan.Tracks = append(dayPlan.Tracks, track)
	}
	sitePlan := session.Plan{StartupTarget: w.duration("startup", 1), Revenue: w.number("revenue", 1), Live: w.count("live", 0) > 0,
		RateFactor: w.number("rate", 1), Floor: w.count("floor", 0), Top: w.count("top", 99),
		Seats: w.count("seats", 0), KeyWindow: w.duration("window", 5)}
	switch repeat := w.text("repeat", "harmless"); repeat {
	case "harmless":
	case "keyed":
		sitePlan.Repeat = session.Keyed
	case "unsafe":
		sitePlan.Repeat = session.Unsafe
	default:
		w.fail("repeat=%s: expected harmless, keyed or unsafe", repeat)
	}
	d.Plans = append(d.Plans, dayPlan)
	d.Site.Plans = append(d.Site.Plans, sitePlan)
}

func (d *Day) parseTerms(w *lineWords) {
	terms, config := &d.Site.Terms, &d.BoxConfig
	terms.ColdShare, terms.WarmUp = w.number("coldfrom", 0.3), w.duration("warmup", 6)
	terms.ColdMultiple, terms.ColdSpan = w.number("fallmultiple", 4), w.duration("fallspan", 1)
	terms.ListDeadline, terms.MaxTries = w.duration("askwithin", 10), w.count("tries", 4)
	terms.MaxRetryAfter = w.duration("comeagain", 2)
	terms.RetriesLimited = w.values["tryshare"] != "" || w.values["freetries"] != ""
	terms.FreeRetries, terms.RetryShare, terms.RetrySpan = w.number("freetries", 0), w.number("tryshare", 0), w.duration("tryspan", 10)
	terms.Probes = w.count("probes", 1) > 0
	if d.OmitRetryAfter = w.count("advice", 1) == 0; d.OmitRetryAfter {
		terms.MaxRetryAfter = 0
	}
	d.DrainGrace, d.SessionTimeout = w.duration("grace", 0.25), w.duration("timeout", 20)
	d.Site.Prices = session.Prices{CrossZone: w.number("crosszone", 0.02), Move: w.number("move", 0.05),
		Probe: w.number("probe", 0.01), OverQuota: 0.1,
		WorstPlan: w.number("worstplan", 0)}
	config.ColdCapacity, config.WarmUp, config.CrashMultiple, config.CrashWindow = terms.ColdShare, terms.WarmUp, terms.ColdMultiple, terms.ColdSpan
	config.SessionTimeout = d.SessionTimeout
}

func (d *Day) parseLoad(w *lineWords) {
	d.ArrivalRate, d.Length = w.number("rate", 20), w.duration("length", 20)
	d.Titles, d.ZipfExponent = w.count("titles", 40), w.number("zipf", 0.8)
	d.MaxRetries, d.RetryDelay = w.count("returns", 1), w.duration("break", 0.7)
	d.SmallScreenShare = w.number("small", 0.2)
}

func (d *Day) parseNet(w *lineWords) {
	d.Links = Links{Latency: w.duration("latency", 0.0005), Jitter: w.duration("jitter", 0.0003), CrossZone: w.duration("across", 0.002),
		SplitChance: w.number("split", 0.05), CutChance: w.number("cut", 0), WindowBytes: w.count("window", 128<<10)}
}

func (d *Day) parseTrouble(w *lineWords) {
	if len(w.positional) != 2 {
		w.fail("expected a time and a kind of trouble")
		return
	}
	at, err := strconv.ParseFloat(w.positional[0], 64)
	if err != nil || at < 0 || !troubleKinds[w.positional[1]] {
		w.fail("expected a time and a known kind of trouble, not %q", strings.Join(w.positional, " "))
		return
	}
	d.Troubles = append(d.Troubles, Trouble{At: Time(at * 1e6), Duration: w.duration("for", 5), Kind: w.positional[1],
		Boxes: w.countOrShare("boxes", d.Boxes), Managers: w.countOrShare("managers", d.Managers), Share: w.number("part", 1),
		Magnitude: w.number("size", 2)})
}

func (d *Day) parseTenant(w *lineWords) {
	if len(w.positional) != 1 {
		w.fail("expected the tenant's name")
		return
	}
	d.Tenants = append(d.Tenants, DayTenant{Name: w.positional[0], Count: w.count("count", 1), Rate: w.number("rate", 1), From: w.duration("from", 0),
		Until: w.duration("until", 1e6), Addresses: max(w.count("addresses", 1), 1), ExactShare: w.number("exact", 1), EarlyShare: w.number("early", 0),
		Floods: w.count("flood", 0) > 0, Light: w.count("lone", 0) > 0})
}

func (d *Day) parseDoor(w *lineWords) {
	orders := map[string]fair.Discipline{"fair": fair.StartTimeFair, "fifo": fair.FIFO, "buckets": fair.TokenBuckets}
	queue := &fair.Config{MaxWaiting: w.count("waiting", 500), MaxRetryAfter: w.duration("longest", 0), BucketRate: w.number("persec", 1)}
	queue.MaxBytes = w.count("bytes", 1000*queue.MaxWaiting)
	queue.MaxTenants, queue.MaxIdleClients = w.count("tenants", 4*queue.MaxWaiting), w.count("clients", queue.MaxWaiting)
	name := w.text("order", "fair")
	order, ok := orders[name]
	if !ok {
		w.fail("order=%s: expected fair, fifo or buckets", name)
	}
	queue.Discipline = order
	d.Queue = queue
}

// finish fills in the fields that follow from others.
func (d *Day) finish() {
	d.Site.Fronts = d.Managers
	d.Site.Ladder.RateKB, d.Site.Ladder.Join = d.BoxConfig.LadderKB, d.BoxConfig.Join
	d.Site.Fleet = session.Fleet{Cells: d.Boxes, Racks: d.Racks, TotalLinkKB: d.BoxConfig.LinkKB * float64(d.Boxes),
		UplinkKB: d.UplinkKB, KBPerWeight: d.BoxConfig.LinkKB, WeightsListed: true, MaxStreams: []float64{float64(d.BoxConfig.MaxSessions)},
		RefusalFill: d.BoxConfig.RejectFromLoad, NoteDelay: d.BoxConfig.NoteDelay, NoteInterval: d.BoxConfig.NoteInterval,
		LoadInAnswers: !d.LoadByProbes, LoadInProbes: true, UplinkUnreported: d.BoxConfig.OmitUplinkLoad}
	if d.LoadByProbes {
		d.Site.Fleet.NoteInterval = 0
	}
	for i := range d.Site.Plans {
		sitePlan := &d.Site.Plans[i]
		sitePlan.Top = min(sitePlan.Top, len(d.BoxConfig.LadderKB)-1)
		boxPlan := mediabox.Plan{Name: d.Plans[i].Name, RateFactor: sitePlan.RateFactor, Live: sitePlan.Live}
		for _, track := range d.Plans[i].Tracks {
			boxPlan.Tracks = append(boxPlan.Tracks, track.Media)
		}
		d.BoxConfig.Plans = append(d.BoxConfig.Plans, boxPlan)
	}
}

// Bounds returns the figures that the rules are checked against.
func (d *Day) Bounds(orderTolerance Time) *Bounds {
	bounds := &Bounds{Site: d.Site, DrainGrace: d.DrainGrace, MaxSessions: d.BoxConfig.MaxSessions, OrderTolerance: orderTolerance,
		MaxTravel: 4 * (d.Links.Latency + d.Links.Jitter + d.Links.CrossZone)}
	for _, plan := range d.Plans {
		bounds.Plans, bounds.AbandonTimes = append(bounds.Plans, plan.Name), append(bounds.AbandonTimes, plan.Abandon)
	}
	return bounds
}
