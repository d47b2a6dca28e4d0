package policy

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"pierlink/session"
)

// stage plays one scenario file. A line `T event ...` lets time pass to T seconds (timers due on the way
// fire) and tells the module an event; `> action` wants an action of that start since then, `! action`
// wants none, `= N action` exactly N; `T late event` comes in a late turn;
// `|` parts what stands on one line. `set key value` and
// `server key=value ...` come first.
// Whatever the scenario, no playback may have two tries out, two answers, or a try at a server not ready.
type stage struct {
	t        *testing.T
	line     string
	site     session.Site
	m        session.Manager
	now      Time
	entries  []session.Entry
	actions  []string
	wakes    []Time
	at, try  map[int]int // server and number of the latest try
	out, end map[int]bool
}

func (s *stage) fail(format string, a ...any) {
	s.t.Errorf("%s: %s (since the event: %s)", s.line, fmt.Sprintf(format, a...), strings.Join(s.actions, "; "))
}

func (s *stage) act(format string, a ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, a...))
}

func (s *stage) answer(pb int) {
	if s.end[pb] || s.out[pb] {
		s.fail("second answer, or answer with a try out, for %d", pb)
	}
	s.end[pb] = true
}

func (s *stage) SetRung(pb, rung int) { s.act("rung %d %d", pb, rung) }
func (s *stage) Try(pb, server int, limit Time) {
	if s.out[pb] || s.end[pb] {
		s.fail("try for %d, which has one out or is answered", pb)
	}
	if s.entries[server].State != session.Ready {
		s.fail("try at server %d, which is not ready", server)
	}
	if n, ok := s.try[pb]; ok {
		s.try[pb] = n + 1
	} else {
		s.try[pb] = 0
	}
	s.out[pb], s.at[pb] = true, server
	s.act("try %d %d limit %.2f", pb, server, float64(limit)/1e6)
}
func (s *stage) Reject(pb int, comeAgain Time) {
	s.answer(pb)
	s.act("reject %d %.2f", pb, float64(comeAgain)/1e6)
}
func (s *stage) Abort(pb int)           { s.answer(pb); s.act("abort %d", pb) }
func (s *stage) Move(pb int)            { s.act("move %d", pb) }
func (s *stage) Probe(server int)       { s.act("probe %d", server) }
func (s *stage) Wake(at Time, _ uint64) { s.wakes = append(s.wakes, at) }
func (s *stage) Watch()                 { s.act("watch") }
func (s *stage) Forget(pb int)          { s.act("forget %d", pb) }

func stageSite() session.Site {
	plan := session.Plan{Window: 5e6, Startup: 1e6, Revenue: 1, RateFactor: 1, Top: 3}
	live := plan
	live.Live = true
	return session.Site{Fronts: 2, Plans: []session.Plan{live, plan},
		Ladder: session.Ladder{RateKB: []float64{100, 200, 400, 800}, Worth: []float64{.25, .5, .75, 1},
			Join: .2, Change: 5e5},
		Fleet: session.Fleet{Cells: 4, Racks: 2, LinksKB: 8000, UplinkKB: 8000, KBPerWeight: 2000, WeightsTold: true,
			Places: []float64{24}, NoteDelay: 1e6, NoteEvery: 3e6, LoadInAnswers: true, LoadInProbes: true},
		Terms: session.Terms{ColdFrom: .5, WarmUp: 12e6, FallMultiple: 2, FallSpan: 2e6, AskWithin: 10e6, MaxTries: 3,
			MaxComeAgain: 2e6},
		Prices: session.Prices{Move: .05, Probe: .01}}
}

// set changes a told figure.
func (s *stage) set(key, value string) {
	x, _ := strconv.ParseFloat(value, 64)
	one := &s.site.Plans[1]
	for k, f := range map[string]func(){
		"fronts": func() { s.site.Fronts = int(x) }, "crossing": func() { s.site.Prices.CrossZone = x },
		"moving": func() { s.site.Prices.Move = x }, "floor": func() { one.Floor = int(x) },
		"seats": func() { one.Seats = int(x) }, "places": func() { s.site.Fleet.Places[0] = x },
		"unsafe": func() { one.Repeat = session.Unsafe }, "onrequest": func() { s.site.ListOnRequest = true },
		"keyed":    func() { one.Repeat, one.Scope = session.Keyed, session.Scope(x) },
		"uplink":   func() { s.site.Fleet.UplinkKB = x },
		"paidlive": func() { s.site.Plans[0].Repeat = session.Unsafe },
		"warmup":   func() { s.site.Terms.WarmUp = Time(x * 1e6) },
		"nonotes":  func() { s.site.Fleet.LoadInAnswers, s.site.Fleet.NoteEvery = false, 0 },
		"untold":   func() { s.site.Fleet.UplinkUntold = true },
		"silent":   func() { s.site.Terms.MaxComeAgain = 0 },
		"worst":    func() { s.site.Prices.WorstPlan = x },
		"inprobe":  func() { s.site.Terms.Probes, s.site.Fleet.LoadInAnswers, s.site.Fleet.NoteEvery = true, false, 0 },
		"looks":    func() { s.site.Terms.Probes = true },
		"ration":   func() { s.site.Terms.Rationed, s.site.Terms.TrySpan, s.site.Terms.FreeTries = true, 10e6, x },
		"quota":    func() { s.site.Tenants = []session.Tenant{{QuotaPerS: x}, {QuotaPerS: 100}} },
	} {
		if k == key {
			f()
			return
		}
	}
	s.t.Fatalf("%s: unknown figure", s.line)
}

var outcomes = map[string]session.Outcome{"ok": session.OK, "error": session.Failed, "full": session.Full,
	"timeout": session.TimedOut, "noconnection": session.NoConnection, "reset": session.Reset,
	"cancelled": session.Cancelled}

// event tells one event of the words after the time.
func (s *stage) event(w []string) {
	arg := map[string]float64{}
	var plain []int
	for _, x := range w[1:] {
		if k, v, ok := strings.Cut(x, "="); ok {
			arg[k], _ = strconv.ParseFloat(v, 64)
		} else if n, err := strconv.Atoi(x); err == nil {
			plain = append(plain, n)
		}
	}
	get := func(k string, or float64) float64 {
		if v, ok := arg[k]; ok {
			return v
		}
		return or
	}
	var load session.Load
	load.Link, load.HasLink = arg["link"]
	load.Uplink, load.HasUplink = arg["uplink"]
	request := func(pb int) session.Request {
		return session.Request{Playback: pb, Plan: int(get("plan", 0)), Title: int(get("title", float64(pb))),
			Show: uint64(get("title", float64(pb))), Top: int(get("top", 3)), Tenant: int(arg["tenant"]),
			Abandon: s.now + Time(get("abandon", 4)*1e6), Base: int(arg["base"]), Span: int(arg["span"])}
	}
	switch w[0] {
	case "all":
		s.m.Listed(session.List{Entries: s.entries, Whole: true})
	case "listfails":
		s.m.Listed(session.List{Failed: true})
	case "drains", "gone", "restarts":
		e := &s.entries[plain[0]]
		e.State = map[string]session.ServerState{"drains": session.Draining, "gone": session.Gone,
			"restarts": session.Ready}[w[0]]
		if w[0] == "restarts" {
			e.Started = s.now
		}
		s.m.Listed(session.List{Entries: []session.Entry{*e}})
	case "request": // request FIRST [LAST]
		for pb := plain[0]; pb <= plain[len(plain)-1]; pb++ {
			s.m.Requested(request(pb))
		}
	case "open": // open PB SERVER RUNG
		s.at[plain[0]], s.try[plain[0]], s.out[plain[0]] = plain[1], 0, false
		s.m.Opened(request(plain[0]), plain[1])
		s.m.Noted(session.Note{Playback: plain[0], Server: plain[1], Kind: session.RungNow, Value: float64(plain[2])})
	case "plays":
		for pb := plain[0]; pb <= plain[len(plain)-1]; pb++ {
			s.out[pb], s.end[pb] = false, true
			s.m.Playing(pb, s.try[pb], s.at[pb], 50_000)
		}
	case "ends": // ends PB OUTCOME
		pb := plain[0]
		final := s.end[pb]
		s.out[pb] = false
		s.m.Ended(session.Result{Playback: pb, Try: s.try[pb], Server: s.at[pb], Outcome: outcomes[w[2]],
			Took: 50_000, Final: final, Load: load})
		if len(w) > 3 { // `then left` at the same moment
			s.end[pb] = true
			s.m.Left(pb)
		}
	case "left":
		s.end[plain[0]] = true
		s.m.Left(plain[0])
	case "note": // note PB delivered|link|uplink=X
		for k, kind := range map[string]session.NoteKind{"delivered": session.Delivered,
			"link": session.LinkAsked, "uplink": session.UplinkAsked} {
			if v, ok := arg[k]; ok {
				s.m.Noted(session.Note{Playback: plain[0], Server: s.at[plain[0]], Kind: kind, Value: v})
			}
		}
	case "probed": // probed SERVER OUTCOME
		s.m.Probed(plain[0], outcomes[w[2]], load)
	case "loads": // loads SERVER...: probes until the reading has settled
		for _, srv := range plain {
			for range 8 {
				s.m.Probed(srv, session.OK, load)
			}
		}
	case "wait":
	default:
		s.t.Fatalf("%s: unknown event", s.line)
	}
}

// pass lets the timers fire that are due before a moment.
func (s *stage) pass(until Time) {
	for {
		next := -1
		for i, at := range s.wakes {
			if at <= until && (next < 0 || at < s.wakes[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		s.now = max(s.now, s.wakes[next])
		s.wakes = append(s.wakes[:next], s.wakes[next+1:]...)
		s.m.At(s.now)
		s.m.Woken(0)
		s.m.Settle(s)
	}
	s.now = until
	s.m.At(until)
}

func (s *stage) run(line string) {
	w := strings.Fields(line)
	n := 0
	want := strings.Join(w[1:], " ")
	if w[0] == "=" {
		want = strings.Join(w[2:], " ")
	}
	for _, a := range s.actions {
		if strings.HasPrefix(a+" ", want+" ") {
			n++
		}
	}
	switch w[0] {
	case "set":
		s.set(w[1], w[2])
	case "server":
		e := session.Entry{Server: len(s.entries), Cell: len(s.entries), State: session.Ready, Weight: 1}
		for _, x := range w[1:] {
			k, v, _ := strings.Cut(x, "=")
			f, _ := strconv.ParseFloat(v, 64)
			switch k {
			case "zone":
				e.Zone = int(f)
			case "weight":
				e.Weight = f
			case "started":
				e.Started = Time(f * 1e6)
			}
		}
		s.entries = append(s.entries, e)
	case ">":
		if n == 0 {
			s.fail("missing")
		}
	case "!":
		if n > 0 {
			s.fail("unwanted")
		}
	case "=":
		if strconv.Itoa(n) != w[1] {
			s.fail("%d of them", n)
		}
	default:
		at, err := strconv.ParseFloat(w[0], 64)
		if err != nil {
			s.t.Fatalf("%s: not understood", line)
		}
		t := Time(at * 1e6)
		if s.m == nil {
			s.now, s.m = t, New(&s.site, 7, t)
		}
		s.actions = nil
		if w[1] == "late" { // the turn comes late: timers due before have not fired yet
			s.now, w = t, w[1:]
			s.m.At(t)
		} else {
			s.pass(t)
		}
		s.event(w[1:])
		s.m.Settle(s)
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			s := &stage{t: t, site: stageSite(), at: map[int]int{}, try: map[int]int{}, out: map[int]bool{},
				end: map[int]bool{}}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				for part := range strings.SplitSeq(line, "|") {
					if part = strings.TrimSpace(part); part != "" {
						s.line = fmt.Sprintf("%s:%d: %s", filepath.Base(name), i+1, part)
						s.run(part)
					}
				}
			}
		})
	}
}
