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

// scenario runs one scenario file against a decision module. The file starts with its configuration, in lines
// `set key value` and `server key=value ...`. A line `T event ...` advances the time to T seconds, firing the timers
// due until then, and reports an event; in `T late event ...` the timers have not fired yet. Checks refer to the
// actions since the last event: `> action` expects at least one that begins with these words, `! action` none, and
// `= N action` exactly N. `|` separates several entries of one line.
// In every scenario, no playback may have two pending tries, two answers, or a try at a server that is not ready.
type scenario struct {
	t                    *testing.T
	line                 string
	site                 session.Site
	manager              session.Manager
	now                  Time
	entries              []session.Entry // the server list
	actions              []string
	timers               []Time
	tryServer, tryNumber map[int]int // server and number of the latest try
	pending, answered    map[int]bool
}

func (s *scenario) fail(format string, a ...any) {
	s.t.Errorf("%s: %s (actions since the event: %s)", s.line, fmt.Sprintf(format, a...), strings.Join(s.actions, "; "))
}

func (s *scenario) record(format string, a ...any) {
	s.actions = append(s.actions, fmt.Sprintf(format, a...))
}

func (s *scenario) recordAnswer(pb int) {
	if s.answered[pb] || s.pending[pb] {
		s.fail("second answer, or answer while a try is pending, for playback %d", pb)
	}
	s.answered[pb] = true
}

func (s *scenario) SetRung(pb, rung int) { s.record("rung %d %d", pb, rung) }
func (s *scenario) Try(pb, server int, limit Time) {
	if s.pending[pb] || s.answered[pb] {
		s.fail("try for playback %d, which has a pending try or is answered", pb)
	}
	if s.entries[server].State != session.Ready {
		s.fail("try at server %d, whose state is not ready", server)
	}
	if n, ok := s.tryNumber[pb]; ok {
		s.tryNumber[pb] = n + 1
	} else {
		s.tryNumber[pb] = 0
	}
	s.pending[pb], s.tryServer[pb] = true, server
	s.record("try %d %d limit %.2f", pb, server, float64(limit)/1e6)
}
func (s *scenario) Reject(pb int, retryAfter Time) {
	s.recordAnswer(pb)
	s.record("reject %d %.2f", pb, float64(retryAfter)/1e6)
}
func (s *scenario) Abort(pb int)           { s.recordAnswer(pb); s.record("abort %d", pb) }
func (s *scenario) Move(pb int)            { s.record("move %d", pb) }
func (s *scenario) Probe(server int)       { s.record("probe %d", server) }
func (s *scenario) Wake(at Time, _ uint64) { s.timers = append(s.timers, at) }
func (s *scenario) Watch()                 { s.record("watch") }
func (s *scenario) Forget(pb int)          { s.record("forget %d", pb) }

func scenarioSite() session.Site {
	plan := session.Plan{KeyWindow: 5e6, StartupTarget: 1e6, Revenue: 1, RateFactor: 1, Top: 3}
	live := plan
	live.Live = true
	return session.Site{Fronts: 2, Plans: []session.Plan{live, plan},
		Ladder: session.Ladder{RateKB: []float64{100, 200, 400, 800}, RevenueShare: []float64{.25, .5, .75, 1},
			Join: .2, RungChangeCost: 5e5},
		Fleet: session.Fleet{Cells: 4, Racks: 2, TotalLinkKB: 8000, UplinkKB: 8000, KBPerWeight: 2000, WeightsListed: true,
			MaxStreams: []float64{24}, NoteDelay: 1e6, NoteInterval: 3e6, LoadInAnswers: true, LoadInProbes: true},
		Terms: session.Terms{ColdShare: .5, WarmUp: 12e6, ColdMultiple: 2, ColdSpan: 2e6, ListDeadline: 10e6, MaxTries: 3,
			MaxRetryAfter: 2e6},
		Prices: session.Prices{Move: .05, Probe: .01}}
}

// set changes a value of the site's configuration.
func (s *scenario) set(key, value string) {
	number, _ := strconv.ParseFloat(value, 64)
	plan := &s.site.Plans[1]
	for name, apply := range map[string]func(){
		"fronts": func() { s.site.Fronts = int(number) }, "crossing": func() { s.site.Prices.CrossZone = number },
		"moving": func() { s.site.Prices.Move = number }, "floor": func() { plan.Floor = int(number) },
		"seats": func() { plan.Seats = int(number) }, "places": func() { s.site.Fleet.MaxStreams[0] = number },
		"unsafe": func() { plan.Repeat = session.Unsafe }, "onrequest": func() { s.site.ListOnRequest = true },
		"keyed":    func() { plan.Repeat, plan.Scope = session.Keyed, session.Scope(number) },
		"uplink":   func() { s.site.Fleet.UplinkKB = number },
		"paidlive": func() { s.site.Plans[0].Repeat = session.Unsafe },
		"warmup":   func() { s.site.Terms.WarmUp = Time(number * 1e6) },
		"nonotes":  func() { s.site.Fleet.LoadInAnswers, s.site.Fleet.NoteInterval = false, 0 },
		"untold":   func() { s.site.Fleet.UplinkUnreported = true },
		"silent":   func() { s.site.Terms.MaxRetryAfter = 0 },
		"worst":    func() { s.site.Prices.WorstPlan = number },
		"inprobe":  func() { s.site.Terms.Probes, s.site.Fleet.LoadInAnswers, s.site.Fleet.NoteInterval = true, false, 0 },
		"looks":    func() { s.site.Terms.Probes = true },
		"ration": func() {
			s.site.Terms.RetriesLimited, s.site.Terms.RetrySpan, s.site.Terms.FreeRetries = true, 10e6, number
		},
		"quota": func() { s.site.Tenants = []session.Tenant{{QuotaPerS: number}, {QuotaPerS: 100}} },
	} {
		if name == key {
			apply()
			return
		}
	}
	s.t.Fatalf("%s: unknown configuration key", s.line)
}

var outcomes = map[string]session.Outcome{"ok": session.OK, "error": session.Failed, "full": session.Full,
	"timeout": session.TimedOut, "noconnection": session.NoConnection, "reset": session.Reset,
	"cancelled": session.Cancelled}

// event reports the event that the words after the time describe.
func (s *scenario) event(words []string) {
	named := map[string]float64{}
	var numbers []int
	for _, word := range words[1:] {
		if k, v, ok := strings.Cut(word, "="); ok {
			named[k], _ = strconv.ParseFloat(v, 64)
		} else if n, err := strconv.Atoi(word); err == nil {
			numbers = append(numbers, n)
		}
	}
	get := func(k string, fallback float64) float64 {
		if v, ok := named[k]; ok {
			return v
		}
		return fallback
	}
	var load session.Load
	load.Link, load.HasLink = named["link"]
	load.Uplink, load.HasUplink = named["uplink"]
	request := func(pb int) session.Request {
		return session.Request{Playback: pb, Plan: int(get("plan", 0)), Title: int(get("title", float64(pb))),
			TitleID: uint64(get("title", float64(pb))), Top: int(get("top", 3)), Tenant: int(named["tenant"]),
			AbandonAt: s.now + Time(get("abandon", 4)*1e6), FirstCell: int(named["base"]), CellCount: int(named["span"])}
	}
	switch words[0] {
	case "all":
		s.manager.Listed(session.List{Entries: s.entries, Complete: true})
	case "listfails":
		s.manager.Listed(session.List{Failed: true})
	case "drains", "gone", "restarts":
		entry := &s.entries[numbers[0]]
		entry.State = map[string]session.ServerState{"drains": session.Draining, "gone": session.Gone,
			"restarts": session.Ready}[words[0]]
		if words[0] == "restarts" {
			entry.Started = s.now
		}
		s.manager.Listed(session.List{Entries: []session.Entry{*entry}})
	case "request": // request FIRST [LAST]
		for pb := numbers[0]; pb <= numbers[len(numbers)-1]; pb++ {
			s.manager.Requested(request(pb))
		}
	case "open": // open PB SERVER RUNG
		s.tryServer[numbers[0]], s.tryNumber[numbers[0]], s.pending[numbers[0]] = numbers[1], 0, false
		s.manager.Opened(request(numbers[0]), numbers[1])
		s.manager.Noted(session.Note{Playback: numbers[0], Server: numbers[1], Kind: session.CurrentRung,
			Value: float64(numbers[2])})
	case "plays":
		for pb := numbers[0]; pb <= numbers[len(numbers)-1]; pb++ {
			s.pending[pb], s.answered[pb] = false, true
			s.manager.Playing(pb, s.tryNumber[pb], s.tryServer[pb], 50_000)
		}
	case "ends": // ends PB OUTCOME
		pb := numbers[0]
		final := s.answered[pb]
		s.pending[pb] = false
		s.manager.Ended(session.Result{Playback: pb, Try: s.tryNumber[pb], Server: s.tryServer[pb],
			Outcome: outcomes[words[2]], Took: 50_000, Final: final, Load: load})
		if len(words) > 3 { // `then left` at the same moment
			s.answered[pb] = true
			s.manager.Left(pb)
		}
	case "left":
		s.answered[numbers[0]] = true
		s.manager.Left(numbers[0])
	case "note": // note PB delivered|link|uplink=X
		for k, kind := range map[string]session.NoteKind{"delivered": session.DeliveredShare,
			"link": session.LinkDemand, "uplink": session.UplinkDemand} {
			if v, ok := named[k]; ok {
				s.manager.Noted(session.Note{Playback: numbers[0], Server: s.tryServer[numbers[0]], Kind: kind, Value: v})
			}
		}
	case "probed": // probed SERVER OUTCOME
		s.manager.Probed(numbers[0], outcomes[words[2]], load)
	case "loads": // loads SERVER...: probes until the reading has settled
		for _, srv := range numbers {
			for range 8 {
				s.manager.Probed(srv, session.OK, load)
			}
		}
	case "wait":
	default:
		s.t.Fatalf("%s: unknown event", s.line)
	}
}

// advance fires the timers that are due by a moment, and begins a turn at that moment.
func (s *scenario) advance(until Time) {
	for {
		next := -1
		for i, at := range s.timers {
			if at <= until && (next < 0 || at < s.timers[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		s.now = max(s.now, s.timers[next])
		s.timers = append(s.timers[:next], s.timers[next+1:]...)
		s.manager.BeginTurn(s.now)
		s.manager.Woken(0)
		s.manager.Settle(s)
	}
	s.now = until
	s.manager.BeginTurn(until)
}

// runLine runs one entry of the scenario file.
func (s *scenario) runLine(line string) {
	words := strings.Fields(line)
	matches := 0
	want := strings.Join(words[1:], " ")
	if words[0] == "=" {
		want = strings.Join(words[2:], " ")
	}
	for _, action := range s.actions {
		if strings.HasPrefix(action+" ", want+" ") {
			matches++
		}
	}
	switch words[0] {
	case "set":
		s.set(words[1], words[2])
	case "server":
		entry := session.Entry{Server: len(s.entries), Cell: len(s.entries), State: session.Ready, Weight: 1}
		for _, word := range words[1:] {
			key, value, _ := strings.Cut(word, "=")
			number, _ := strconv.ParseFloat(value, 64)
			switch key {
			case "zone":
				entry.Zone = int(number)
			case "weight":
				entry.Weight = number
			case "started":
				entry.Started = Time(number * 1e6)
			}
		}
		s.entries = append(s.entries, entry)
	case ">":
		if matches == 0 {
			s.fail("expected action is missing")
		}
	case "!":
		if matches > 0 {
			s.fail("unexpected action")
		}
	case "=":
		if strconv.Itoa(matches) != words[1] {
			s.fail("found %d such actions", matches)
		}
	default:
		seconds, err := strconv.ParseFloat(words[0], 64)
		if err != nil {
			s.t.Fatalf("%s: expected a time, `>`, `!`, `=`, `set` or `server` at the start of the line", line)
		}
		moment := Time(seconds * 1e6)
		if s.manager == nil {
			s.now, s.manager = moment, New(&s.site, 7, moment)
		}
		s.actions = nil
		if words[1] == "late" { // the turn is late: timers that are due have not fired yet
			s.now, words = moment, words[1:]
			s.manager.BeginTurn(moment)
		} else {
			s.advance(moment)
		}
		s.event(words[1:])
		s.manager.Settle(s)
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenario files found", err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			s := &scenario{t: t, site: scenarioSite(), tryServer: map[int]int{}, tryNumber: map[int]int{},
				pending: map[int]bool{}, answered: map[int]bool{}}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				for part := range strings.SplitSeq(line, "|") {
					if part = strings.TrimSpace(part); part != "" {
						s.line = fmt.Sprintf("%s:%d: %s", filepath.Base(name), i+1, part)
						s.runLine(part)
					}
				}
			}
		})
	}
}
