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
var library embed.FS

// Day is one scripted day: a fleet, its load, and what goes wrong when. The notation is a line for each
// thing, `key=value` words on it, times in seconds, `#` before a comment:
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
	figures bool   // session managers count quality
	doors   *doors // where who may play is known from a directory
	Name    string
	Text    string                     // as written
	Told    func(*front.PlaybackTrace) // of playbacks, where somebody wants to know
	Policy  string                     // a baseline in place of the module; empty for the module
	Seed    uint64

	Managers, Boxes, Zones, Racks int
	Frame                         mediabox.Config // of each box, but for its name, rack and start
	UplinkKB                      float64
	NoticeSpread                  Time // the list reaches managers within so long
	LossNoticeDelay               Time // a death shows in the list after so long
	LoadByProbes                  bool
	Silent                        bool // no answer says when to come again

	Plans   []DayPlan
	Site    session.Site
	Grace   Time
	Timeout Time

	Rate, ZipfExponent float64
	Length             Time
	Titles             int
	MaxRetries         int
	RetryDelay         Time
	SmallScreenShare   float64

	Links    Links
	Troubles []Trouble

	Tenants []DayTenant // if there are any, they are the load
	Queue   *fair.Config

	Processes bool         // it has troubles of processes
	Recover   bool         // managers that come back end what they left at boxes
	Drain     Time         // of processes
	Registry  *DayRegistry // nil where news come by themselves
}

// DayTenant is a tenant, or Count of them, with how its viewers come.
type DayTenant struct {
	Name        string
	Count       int
	Rate        float64 // a second, each
	From, Until Time
	Addresses   int
	ExactShare  float64 // part of the viewers that come again when told
	EarlyShare  float64 // part that come at half of the time; the others don't
	Flood       bool    // sends beyond its share on purpose
	Lone        bool    // sends little: its waiting is what counts
}

// DayPlan is a plan with how its viewers behave.
type DayPlan struct {
	front.PlanProfile
	Share float64
	Watch [2]Time
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	At, For          Time
	Kind             string
	Boxes, Managers  int
	Share, Magnitude float64
}

// kinds of trouble; docs/lab.md describes each.
var troubleKinds = map[string]bool{"die": true, "vanish": true, "errors": true, "lost-answers": true,
	"late-answers": true, "stuck": true, "cut-answers": true, "slow": true, "slow-rack": true, "drain": true, "surge": true,
	"neighbour": true, "reports-late": true, "kill": true, "stand-still": true, "zone-cut": true, "crowd": true,
	"sag": true, "repeat": true, "leave": true, "overspeed": true, "reload": true, "bad-reload": true, "halt": true, "upgrade": true, "registry-cut": true, "registry-stall": true, "registry-compact": true, "registry-anew": true, "registry-lose": true}

// Library reads a day of the project's own.
func Library(name string) (*Day, error) {
	text, err := library.ReadFile("days/" + name + ".day")
	if err != nil {
		return nil, fmt.Errorf("no day %q in the library", name)
	}
	return Parse(name, string(text))
}

// ReadDay reads a day's file.
func ReadDay(path string) (*Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text))
}

// words are a line's key=value pairs; all must be asked for.
type lineWords struct {
	line       string
	values     map[string]string
	positional []string
	err        error
}

func (w *lineWords) text(key, or string) string {
	v, ok := w.values[key]
	if !ok {
		return or
	}
	delete(w.values, key)
	return v
}

func (w *lineWords) number(key string, or float64) float64 {
	s := w.text(key, "")
	if s == "" {
		return or
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || v < 0 {
		w.fail("%s=%s: a number of 0 or more was expected", key, s)
	}
	return v
}

// some is how many of all: a number, or a part of them below 1.
func (w *lineWords) countOrShare(key string, of int) int {
	x := w.number(key, 1)
	if x > 0 && x < 1 {
		x = max(math.Round(x*float64(of)), 1)
	}
	return int(x)
}

func (w *lineWords) count(key string, or int) int { return int(w.number(key, float64(or))) }
func (w *lineWords) duration(key string, or float64) Time {
	return Time(w.number(key, or) * 1e6)
}

func (w *lineWords) durationRange(key string, lo, hi float64) [2]Time {
	s := w.text(key, "")
	if s == "" {
		return [2]Time{Time(lo * 1e6), Time(hi * 1e6)}
	}
	a, b, two := strings.Cut(s, "..")
	x, err := strconv.ParseFloat(a, 64)
	y := x
	if two && err == nil {
		y, err = strconv.ParseFloat(b, 64)
	}
	if err != nil || x > y || x < 0 {
		w.fail("%s=%s: a time or a range such as 2..6 was expected", key, s)
	}
	return [2]Time{Time(x * 1e6), Time(y * 1e6)}
}

func (w *lineWords) numbers(s string) (all []float64) {
	for x := range strings.SplitSeq(s, ",") {
		v, err := strconv.ParseFloat(x, 64)
		if err != nil {
			w.fail("%q: numbers with commas between them were expected", s)
			return nil
		}
		all = append(all, v)
	}
	return all
}

func (w *lineWords) fail(format string, a ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("%s: %s", w.line, fmt.Sprintf(format, a...))
	}
}

func splitLine(line string) *lineWords {
	w := &lineWords{line: line, values: map[string]string{}}
	for _, x := range strings.Fields(line)[1:] {
		if k, v, ok := strings.Cut(x, "="); ok {
			w.values[k] = v
		} else {
			w.positional = append(w.positional, x)
		}
	}
	return w
}

// Parse reads a day. Its errors name the line and what was expected.
func Parse(name, text string) (*Day, error) {
	d := &Day{Name: name, Text: text, Seed: 1}
	for line := range strings.SplitSeq(text, "\n") {
		if w := strings.Fields(line); len(w) == 2 && w[0] == "seed" {
			seed, err := strconv.ParseUint(w[1], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %s: a whole number was expected", name, line)
			}
			d.Seed = seed
		}
	}
	return d.With(d.Seed)
}

// parse reads a day whose ranges are drawn.
func parse(name, text string) (*Day, error) {
	d := &Day{Name: name, Seed: 1, Managers: 1, Boxes: 1, Zones: 1, Racks: 1, Recover: true, Drain: 5 * core.Second}
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
			d.Recover, d.Drain = w.count("recover", 1) > 0, w.duration("drain", 5)
		case "registry":
			d.Registry = &DayRegistry{Lease: w.duration("lease", 2), Timeout: w.duration("timeout", 0.5), Way: w.duration("way", 0.002)}
		case "at":
			d.parseTrouble(w)
		default:
			w.fail("unknown %q: seed, fleet, ladder, plan, terms, load, net, tenant, door, registry, life or at was expected", first)
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
			return nil, fmt.Errorf("%s: %s needs a line registry", name, t.Kind)
		}
	}
	if d.Policy != "" && baselines[d.Policy] == nil {
		return nil, fmt.Errorf("%s: no baseline %q: there are %s", name, d.Policy, strings.Join(Baselines(), ", "))
	}
	if len(d.Plans) == 0 || len(d.Frame.LadderKB) == 0 || d.Managers < 1 || d.Boxes < 1 || d.Zones < 1 || d.Racks < 1 {
		return nil, fmt.Errorf("%s: a day needs a ladder, a plan, and at least one manager, box, zone and rack", name)
	}
	d.finish()
	return d, nil
}

func (d *Day) parseFleet(w *lineWords) {
	d.Managers, d.Boxes = w.count("managers", d.Managers), w.count("boxes", d.Boxes)
	d.Zones, d.Racks = w.count("zones", d.Zones), w.count("racks", d.Racks)
	f := &d.Frame
	f.MaxSessions = w.count("places", 30)
	f.LinkKB, d.UplinkKB = w.number("link", 1000), w.number("uplink", 3000)
	f.RejectFromLoad = w.number("fullfrom", 0)
	f.SetupTime = w.durationRange("setup", 0.01, 0.04)
	f.SendInterval, f.PacketBytes = w.duration("tick", 0.1), w.count("packet", 1200)
	f.NoteDelay, f.NoteInterval = w.duration("notedelay", 0.5), w.duration("noteevery", 2)
	d.LoadByProbes = w.text("load", "answers") == "probes"
	f.LoadInAnswers, f.OmitUplinkLoad = !d.LoadByProbes, w.text("uplinks", "told") == "untold"
	d.NoticeSpread, d.LossNoticeDelay = w.duration("spread", 0.3), w.duration("notice", 1.5)
	f.KeepSessionsOnClose = w.text("keeps", "") != ""
}

func (d *Day) parseLadder(w *lineWords) {
	if len(w.positional) != 1 {
		w.fail("the rates with commas between them were expected")
		return
	}
	d.Frame.LadderKB = w.numbers(w.positional[0])
	d.Site.Ladder.RevenueShare = w.numbers(w.text("worth", ""))
	if len(d.Site.Ladder.RevenueShare) != len(d.Frame.LadderKB) {
		w.fail("worth= needs a number for each rate")
	}
	d.Frame.Join, d.Site.Ladder.RungChangeCost = w.number("join", 1), w.duration("change", 0.5)
}

func (d *Day) parsePlan(w *lineWords) {
	if len(w.positional) != 1 {
		w.fail("the plan's name was expected")
		return
	}
	p := DayPlan{Share: w.number("share", 1), Watch: w.durationRange("watch", 3, 8)}
	p.Name, p.Abandon = w.positional[0], w.duration("abandon", 4)
	for i, m := range strings.Split(w.text("tracks", "video,audio"), ",") {
		t := front.Track{Media: m, Encoding: "H264/90000", Payload: uint8(96 + i)}
		if m == "audio" {
			t.Encoding = "opus/48000"
		}
		p.Tracks = append(p.Tracks, t)
	}
	s := session.Plan{StartupTarget: w.duration("startup", 1), Revenue: w.number("revenue", 1), Live: w.count("live", 0) > 0,
		RateFactor: w.number("rate", 1), Floor: w.count("floor", 0), Top: w.count("top", 99),
		Seats: w.count("seats", 0), KeyWindow: w.duration("window", 5)}
	switch r := w.text("repeat", "harmless"); r {
	case "harmless":
	case "keyed":
		s.Repeat = session.Keyed
	case "unsafe":
		s.Repeat = session.Unsafe
	default:
		w.fail("repeat=%s: harmless, keyed or unsafe was expected", r)
	}
	d.Plans = append(d.Plans, p)
	d.Site.Plans = append(d.Site.Plans, s)
}

func (d *Day) parseTerms(w *lineWords) {
	t, f := &d.Site.Terms, &d.Frame
	t.ColdShare, t.WarmUp = w.number("coldfrom", 0.3), w.duration("warmup", 6)
	t.ColdMultiple, t.ColdSpan = w.number("fallmultiple", 4), w.duration("fallspan", 1)
	t.ListDeadline, t.MaxTries = w.duration("askwithin", 10), w.count("tries", 4)
	t.MaxRetryAfter = w.duration("comeagain", 2)
	t.RetriesLimited = w.values["tryshare"] != "" || w.values["freetries"] != ""
	t.FreeRetries, t.RetryShare, t.RetrySpan = w.number("freetries", 0), w.number("tryshare", 0), w.duration("tryspan", 10)
	t.Probes = w.count("probes", 1) > 0
	if d.Silent = w.count("advice", 1) == 0; d.Silent {
		t.MaxRetryAfter = 0
	}
	d.Grace, d.Timeout = w.duration("grace", 0.25), w.duration("timeout", 20)
	d.Site.Prices = session.Prices{CrossZone: w.number("crosszone", 0.02), Move: w.number("move", 0.05),
		Probe: w.number("probe", 0.01), OverQuota: 0.1,
		WorstPlan: w.number("worstplan", 0)}
	f.ColdCapacity, f.WarmUp, f.CrashMultiple, f.CrashWindow = t.ColdShare, t.WarmUp, t.ColdMultiple, t.ColdSpan
	f.SessionTimeout = d.Timeout
}

func (d *Day) parseLoad(w *lineWords) {
	d.Rate, d.Length = w.number("rate", 20), w.duration("length", 20)
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
		w.fail("a time and a kind of trouble were expected")
		return
	}
	at, err := strconv.ParseFloat(w.positional[0], 64)
	if err != nil || at < 0 || !troubleKinds[w.positional[1]] {
		w.fail("a time and a known kind of trouble were expected, not %q", strings.Join(w.positional, " "))
		return
	}
	d.Troubles = append(d.Troubles, Trouble{At: Time(at * 1e6), For: w.duration("for", 5), Kind: w.positional[1],
		Boxes: w.countOrShare("boxes", d.Boxes), Managers: w.countOrShare("managers", d.Managers), Share: w.number("part", 1),
		Magnitude: w.number("size", 2)})
}

func (d *Day) parseTenant(w *lineWords) {
	if len(w.positional) != 1 {
		w.fail("the tenant's name was expected")
		return
	}
	d.Tenants = append(d.Tenants, DayTenant{Name: w.positional[0], Count: w.count("count", 1), Rate: w.number("rate", 1), From: w.duration("from", 0),
		Until: w.duration("until", 1e6), Addresses: max(w.count("addresses", 1), 1), ExactShare: w.number("exact", 1), EarlyShare: w.number("early", 0),
		Flood: w.count("flood", 0) > 0, Lone: w.count("lone", 0) > 0})
}

func (d *Day) parseDoor(w *lineWords) {
	orders := map[string]fair.Discipline{"fair": fair.StartTimeFair, "fifo": fair.FIFO, "buckets": fair.TokenBuckets}
	t := &fair.Config{MaxWaiting: w.count("waiting", 500), MaxRetryAfter: w.duration("longest", 0), BucketRate: w.number("persec", 1)}
	t.MaxBytes = w.count("bytes", 1000*t.MaxWaiting)
	t.MaxTenants, t.MaxIdleClients = w.count("tenants", 4*t.MaxWaiting), w.count("clients", t.MaxWaiting)
	name := w.text("order", "fair")
	order, ok := orders[name]
	if !ok {
		w.fail("order=%s: fair, fifo or buckets was expected", name)
	}
	t.Discipline = order
	d.Queue = t
}

// finish fills in what follows from the rest.
func (d *Day) finish() {
	d.Site.Fronts = d.Managers
	d.Site.Ladder.RateKB, d.Site.Ladder.Join = d.Frame.LadderKB, d.Frame.Join
	d.Site.Fleet = session.Fleet{Cells: d.Boxes, Racks: d.Racks, TotalLinkKB: d.Frame.LinkKB * float64(d.Boxes),
		UplinkKB: d.UplinkKB, KBPerWeight: d.Frame.LinkKB, WeightsListed: true, MaxStreams: []float64{float64(d.Frame.MaxSessions)},
		RefusalFill: d.Frame.RejectFromLoad, NoteDelay: d.Frame.NoteDelay, NoteInterval: d.Frame.NoteInterval,
		LoadInAnswers: !d.LoadByProbes, LoadInProbes: true, UplinkUnreported: d.Frame.OmitUplinkLoad}
	if d.LoadByProbes {
		d.Site.Fleet.NoteInterval = 0
	}
	for i := range d.Site.Plans {
		p := &d.Site.Plans[i]
		p.Top = min(p.Top, len(d.Frame.LadderKB)-1)
		f := mediabox.Plan{Name: d.Plans[i].Name, RateFactor: p.RateFactor, Live: p.Live}
		for _, t := range d.Plans[i].Tracks {
			f.Tracks = append(f.Tracks, t.Media)
		}
		d.Frame.Plans = append(d.Frame.Plans, f)
	}
}

// Bounds are the figures that the rules are judged by.
func (d *Day) Bounds(slack Time) *Bounds {
	b := &Bounds{Site: d.Site, Grace: d.Grace, MaxSessions: d.Frame.MaxSessions, OrderTolerance: slack,
		MaxTravel: 4 * (d.Links.Latency + d.Links.Jitter + d.Links.CrossZone)}
	for _, p := range d.Plans {
		b.Plans, b.AbandonTimes = append(b.Plans, p.Name), append(b.AbandonTimes, p.Abandon)
	}
	return b
}
