package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"
)

// site holds the figures of a small deployment, drawn from the ranges of its site file.
type site struct {
	zones, kinds, plans []string
	shares              []float64 // of the plans
	within              []time.Duration
	top                 []int
	life                [][2]float64 // of the plans' sessions, shortest and longest in seconds
	tenant              string
	ladder              []float64
	rateFactor          []float64
	kindLinkKB          []float64
	loadName            string
	copies              int
	localities          []int   // of the session managers; nil: one zone after the other
	toldEvery           float64 // 0: load is told in answers to tests alone
	settings            map[string]any
}

func (s *site) linkKB(e entry) float64 { return s.kindLinkKB[e.kind] }

type object = map[string]any

// world is a small deployment: video servers, an event bus and session managers.
type world struct {
	rec          *record
	root, temp   string
	run          string
	site         *site
	trouble      bool
	managerCount int
	buses        []*bus
	servers      [][]*videoServer // by session manager, then by cell
	managers     []*manager
	fronts       []*front
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newWorld prepares the video servers and the buses of the session managers.
func newWorld(root, dir string, s *site, serverCount, managerCount int) *world {
	return newWorldWith(root, dir, s, serverCount, managerCount, func(*world) map[int]string { return nil })
}

// newWorldWith is like newWorld; the video servers of the first session manager that apart names, with their addresses by
// cell, run elsewhere.
func newWorldWith(root, dir string, s *site, serverCount, managerCount int, apart func(*world) map[int]string) *world {
	w := &world{rec: openRecord(dir), root: root, run: runLine(root), site: s, trouble: os.Getenv("TROUBLE") != "0", managerCount: managerCount}
	temp, err := os.MkdirTemp("", "pierlink-review-")
	if err != nil {
		cannotRun("%v", err)
	}
	w.temp = temp
	atExit = append(atExit, func() { _ = os.RemoveAll(temp) })
	w.rec.log("trouble: %v", w.trouble)
	elsewhere := apart(w)
	for i := range managerCount {
		w.buses = append(w.buses, newBus(w))
		var list []entry
		var servers []*videoServer
		for cell := range serverCount {
			server := w.newServer(entry{id: uint32(0x00c41f00 + cell), zone: cell % len(s.zones), kind: cell % len(s.kinds), cell: cell, weight: s.weight(cell % len(s.kinds))}, i)
			if addr := elsewhere[cell]; addr != "" && i == 0 {
				server.entry.addr = addr
			}
			servers = append(servers, server)
			list = append(list, server.entry)
		}
		w.servers = append(w.servers, servers)
		w.buses[i].tell(busEvent{whole: true, entries: list})
	}
	return w
}

// startManagers starts all session managers and waits until each has passed a test.
func (w *world) startManagers() {
	for i := range w.managerCount {
		w.managers = append(w.managers, w.startManager(i))
	}
	for _, m := range w.managers {
		f := w.newFront(m)
		w.fronts = append(w.fronts, f)
		end := time.Now().Add(30 * time.Second)
		for passed := false; !passed; {
			if time.Now().After(end) || !m.running() {
				cannotRun("%s was not ready within 30 s", m.name)
			}
			time.Sleep(50 * time.Millisecond)
			c := f.connect()
			if c == nil {
				continue
			}
			c.test()
			time.Sleep(100 * time.Millisecond)
			f.mu.Lock()
			passed = c.tests > 0
			f.mu.Unlock()
		}
	}
}

// use returns an open connection, or connects.
func (f *front) use(most int) *viewerConn {
	f.mu.Lock()
	var open []*viewerConn
	for _, c := range f.conns {
		if c.open {
			open = append(open, c)
		}
	}
	f.mu.Unlock()
	if len(open) < most {
		if c := f.connect(); c != nil {
			return c
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[rand.IntN(len(open))]
}

// askAny sends a usual viewer's set-up: a plan by its share, one of the titles, any of a few connections.
func (f *front) askAny(conns int) *request {
	plan, draw := 0, rand.Float64()
	for plan+1 < len(f.w.site.plans) && draw > f.w.site.shares[plan] {
		draw -= f.w.site.shares[plan]
		plan++
	}
	return f.askPlan(plan, conns)
}

func (f *front) askPlan(plan, conns int) *request {
	c := f.use(conns)
	if c == nil {
		return nil
	}
	s := f.w.site
	cells := len(f.w.servers[0])
	number := rand.IntN(4 * cells)
	title := fmt.Sprintf("7f3a9c21%08x", number)
	return c.ask(plan, title, number%cells, s.copies, s.top[plan], s.within[plan])
}

// traffic sends usual set-ups at a rate, at random moments, until stop is closed.
func (f *front) traffic(perSecond float64, conns int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			f.askAny(conns)
		}
	}
}

// slack is what the pages add to a viewer's time: the sockets' 50 ms, and half a second in which an answer only earns
// nothing.
const slack = 550 * time.Millisecond

// unanswered returns the requests that did not get their one answer in time; those that are not due yet do not count.
func (f *front) unanswered() (lost []*request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.order {
		due := r.sentAt.Add(r.within + slack)
		if r.givenUp || time.Now().Before(due) {
			continue
		}
		if len(r.answers) != 1 || r.answers[0].at.After(due) {
			lost = append(lost, r)
		}
	}
	return lost
}

func (f *front) summary() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[int]int{}
	for _, r := range f.order {
		status := 0
		if len(r.answers) > 0 {
			status = r.answers[0].status
		}
		counts[status]++
	}
	var parts []string
	for _, status := range []int{200, 453, 500, 503, 400, 0} {
		if counts[status] > 0 {
			parts = append(parts, fmt.Sprintf("%d: %d", status, counts[status]))
		}
	}
	return strings.Join(parts, ", ")
}

func teranga() *site {
	return &site{zones: []string{"bloc-a", "bloc-b"}, kinds: []string{"box-2c", "box-4c"}, plans: []string{"live-lesson", "recorded-lesson"}, shares: []float64{0.35, 0.65},
		within: []time.Duration{4 * time.Second, 4 * time.Second}, top: []int{3, 2}, life: [][2]float64{{20, 46}, {20, 46}}, ladder: []float64{235, 493, 1035, 2176}, rateFactor: []float64{1.4, 0.7},
		kindLinkKB: []float64{5900, 11800}, loadName: "x0", copies: 3, toldEvery: 3.5,
		settings: object{
			"classes": []object{{"effect": "read_like", "giveUp": 4.0, "keyScope": "all", "lateValue": 0.0, "name": "live-lesson", "promise": 1.5, "stream": true, "window": 5.0, "worth": 2.0},
				{"effect": "read_like", "giveUp": 4.0, "keyScope": "all", "lateValue": 0.0, "name": "recorded-lesson", "promise": 0.8, "stream": true, "window": 5.0, "worth": 1.0}},
			"clients": object{"marksRetry": false}, "countedBy": "request", "customers": []object{},
			"domain": object{"cabinets": 2, "changeCostsS": 0.7022500828149961, "classTop": []int{3, 2}, "isLive": []bool{true, false}, "join": 0.3, "kbPerWeight": 2828.0, "kindSlots": []int{20, 39},
				"ladderKb": []float64{235, 493, 1035, 2176}, "levelWorth": []float64{0.23, 0.52, 0.77, 1.0}, "linksKb": 106200.0, "lowestRung": []int{0, 0}, "positions": 12,
				"rateFactor": []float64{1.4, 0.7}, "refusesFrom": 0.0, "seats": []int{0, 0}, "seenAfter": 0.712078, "stall": 6.0, "toldEvery": 3.5, "uplinkKb": 33968.0},
			"domainType": "streams", "goal": object{"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2}, "kinds": []string{"box-2c", "box-4c"},
			"limits": object{"cancel": true, "connIdle": 15.0, "connectTimeout": 0.25, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "maxAttempts": 3, "maxRetryAfter": 0.5, "mostHeld": 1000000,
				"peers": false, "probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 32},
			"loadReport": object{"names": []string{"inflight", "x0", "x1"}, "source": "piggyback"}, "localities": []string{"bloc-a", "bloc-b"}, "overShareWorth": 0.1,
			"prices":  object{"connection": 0.0, "crossZone": 0.066, "handshake": 0.0, "lateFail": 0.029, "moves": 0.1, "origin": 0.0, "peer": 0.0, "probe": 0.026, "registryMode": 0.0, "waste": 0.0},
			"quantum": 0.01, "registryMode": "pushed",
			"rules": object{"askWithin": 10.0, "coldFrom": 0.4, "drainGrace": 0.25, "fallMultiple": 2.5, "graceToAnswer": 0.04, "overloadFor": 3.0, "warmUp": 12.0},
			"tier":  0, "tiers": []string{"media-fleet"}, "weightKind": "rough"}}
}

func brno() *site {
	return &site{zones: []string{"brno-dc1"}, kinds: []string{"box-2c", "box-3c"}, plans: []string{"live", "recorded"}, shares: []float64{0.65, 0.35},
		within: []time.Duration{5 * time.Second, 5 * time.Second}, top: []int{4, 4}, life: [][2]float64{{25, 48}, {36, 69}}, tenant: "hc-vltavin", ladder: []float64{192, 350, 640, 1100, 1920}, rateFactor: []float64{1, 1.2},
		kindLinkKB: []float64{7040, 10560}, loadName: "x0", copies: 12, toldEvery: 4,
		settings: object{
			"classes": []object{{"effect": "read_like", "giveUp": 5.0, "keyScope": "all", "lateValue": 0.0, "name": "live", "promise": 1.0, "stream": true, "window": 5.0, "worth": 1.0},
				{"effect": "read_like", "giveUp": 5.0, "keyScope": "all", "lateValue": 0.0, "name": "recorded", "promise": 1.5, "stream": true, "window": 5.0, "worth": 2.0}},
			"clients": object{"marksRetry": false}, "countedBy": "request",
			"customers": []object{{"name": "hc-vltavin", "quotaPerS": 2.0, "portion": 0.46}, {"name": "fk-podhradi", "quotaPerS": 1.5, "portion": 0.34}, {"name": "sk-lipnice", "quotaPerS": 0.9, "portion": 0.2}},
			"domain": object{"cabinets": 2, "changeCostsS": 0.7, "classTop": []int{2, 4}, "isLive": []bool{true, false}, "join": 0.3, "kbPerWeight": 0.0, "kindSlots": []int{28, 43},
				"ladderKb": []float64{192, 350, 640, 1100, 1920}, "levelWorth": []float64{0.22, 0.42, 0.66, 0.84, 1.0}, "linksKb": 105600.0, "lowestRung": []int{0, 1}, "positions": 12,
				"rateFactor": []float64{1, 1.2}, "refusesFrom": 1.0, "seats": []int{0, 0}, "seenAfter": 0.7, "stall": 8.0, "toldEvery": 4.0, "uplinkKb": 38000.0},
			"domainType": "streams", "goal": object{"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3}, "kinds": []string{"box-2c", "box-3c"},
			"limits": object{"cancel": true, "connIdle": 30.0, "connectTimeout": 0.25, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "maxAttempts": 5, "maxRetryAfter": 2.0, "mostHeld": 1000000,
				"peers": true, "probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 100},
			"loadReport": object{"names": []string{"inflight", "x0", "x1"}, "source": "piggyback"}, "localities": []string{"brno-dc1"}, "overShareWorth": 0.2,
			"prices":  object{"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.044, "moves": 0.05, "origin": 0.0, "peer": 0.01, "probe": 0.01, "registryMode": 0.0, "waste": 0.0},
			"quantum": 0.01, "registryMode": "pushed",
			"rules": object{"askWithin": 10.0, "coldFrom": 0.4, "drainGrace": 2.0, "fallMultiple": 4.0, "graceToAnswer": 0.04, "overloadFor": 1.0, "warmUp": 12.0},
			"tier":  0, "tiers": []string{"stream-fleet"}, "weightKind": "silent"}}
}

func lima() *site {
	return &site{zones: []string{"hall-norte", "hall-sur", "hall-patio"}, kinds: []string{"dos-nucleos", "cuatro-nucleos"}, plans: []string{"grabada", "en-vivo"}, shares: []float64{0.65, 0.35},
		within: []time.Duration{3 * time.Second, 3 * time.Second}, top: []int{3, 3}, life: [][2]float64{{22, 65}, {29, 84}}, tenant: "libreros-centro", ladder: []float64{220, 380, 680, 2100}, rateFactor: []float64{1, 1},
		kindLinkKB: []float64{7070, 14140}, loadName: "util", copies: 3, localities: []int{0, 0, 1}, toldEvery: 3.5,
		settings: object{
			"classes": []object{{"effect": "read_like", "giveUp": 3.0, "keyScope": "all", "lateValue": 0.0, "name": "grabada", "promise": 1.0, "stream": true, "window": 5.0, "worth": 1.0},
				{"effect": "non_idempotent", "giveUp": 3.0, "keyScope": "all", "lateValue": 0.0, "name": "en-vivo", "promise": 1.5, "stream": true, "window": 5.0, "worth": 2.0}},
			"clients": object{"marksRetry": true}, "countedBy": "request",
			"customers": []object{{"name": "libreros-centro", "quotaPerS": 10.0, "portion": 0.65}, {"name": "libreros-sur", "quotaPerS": 5.0, "portion": 0.35}},
			"domain": object{"cabinets": 2, "changeCostsS": 0.6, "classTop": []int{3, 3}, "isLive": []bool{false, true}, "join": 0.15, "kbPerWeight": 3535.0, "kindSlots": []int{26, 52},
				"ladderKb": []float64{220, 380, 680, 2100}, "levelWorth": []float64{0.22, 0.5, 0.75, 1.0}, "linksKb": 106050.0, "lowestRung": []int{0, 0}, "positions": 10,
				"rateFactor": []float64{1, 1}, "refusesFrom": 0.0, "seats": []int{0, 12}, "seenAfter": 0.9, "stall": 7.0, "toldEvery": 3.5, "uplinkKb": 37000.0},
			"domainType": "streams", "goal": object{"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3}, "kinds": []string{"dos-nucleos", "cuatro-nucleos"},
			"limits": object{"cancel": true, "connIdle": 15.0, "connectTimeout": 0.25, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "maxAttempts": 5, "maxRetryAfter": 1.0, "mostHeld": 1000000,
				"peers": false, "probes": false, "retryAfter": false, "secondCopies": false, "streamsPerConn": 32},
			"loadReport": object{"names": []string{"util", "x1"}, "source": "piggyback"}, "localities": []string{"hall-norte", "hall-sur", "hall-patio"}, "overShareWorth": 0.1,
			"prices":  object{"connection": 0.0, "crossZone": 0.061, "handshake": 0.0, "lateFail": 0.08, "moves": 0.08, "origin": 0.0, "peer": 0.0, "probe": 0.0, "registryMode": 0.0, "waste": 0.0},
			"quantum": 0.01, "registryMode": "pushed",
			"rules": object{"askWithin": 10.0, "coldFrom": 0.4, "drainGrace": 0.5, "fallMultiple": 2.0, "graceToAnswer": 0.04, "overloadFor": 2.0, "warmUp": 12.0, "minExtra": 5.0, "repeatRatio": 0.2, "ratioSpan": 10.0},
			"tier":  0, "tiers": []string{"medios"}, "weightKind": "nominal"}}
}

// weight returns the weight that the list tells of a kind of video server.
func (s *site) weight(kind int) float64 {
	perWeight := s.settings["domain"].(object)["kbPerWeight"].(float64)
	if perWeight == 0 {
		return 1
	}
	return s.kindLinkKB[kind] / perWeight
}

// loadReport writes a load report with the fields that the settings name.
func (s *site) loadReport(inflight int, demand float64) string {
	if s.loadName == "only x0" {
		return fmt.Sprintf("x0:%.3f", demand)
	}
	if s.loadName == "util" {
		return fmt.Sprintf("util:%.3f;x1:%.3f", min(demand, 1), demand/2)
	}
	return fmt.Sprintf("inflight:%d;x0:%.3f;x1:%.3f", inflight, demand, demand/2)
}

func riga() *site {
	return &site{zones: []string{"riga-dc1"}, kinds: []string{"c2-std"}, plans: []string{"recorded", "live"}, shares: []float64{0.65, 0.35},
		within: []time.Duration{5 * time.Second, 5 * time.Second}, top: []int{2, 4}, life: [][2]float64{{40, 87}, {31, 67}}, tenant: "rigas-birojs", ladder: []float64{255, 427, 716, 1200, 2012}, rateFactor: []float64{1, 1},
		kindLinkKB: []float64{7455}, loadName: "only x0", copies: 3,
		settings: object{
			"classes": []object{{"effect": "read_like", "giveUp": 5.0, "keyScope": "all", "lateValue": 0.0, "name": "recorded", "promise": 0.8, "stream": true, "window": 5.0, "worth": 1.0},
				{"effect": "non_idempotent", "giveUp": 5.0, "keyScope": "all", "lateValue": 0.0, "name": "live", "promise": 0.8, "stream": true, "window": 5.0, "worth": 2.0}},
			"clients": object{"marksRetry": false}, "countedBy": "request",
			"customers": []object{{"name": "rigas-birojs", "portion": 0.61, "quotaPerS": 16.0}, {"name": "kurzemes-tulki", "portion": 0.26, "quotaPerS": 7.0}, {"name": "latgales-valodas", "portion": 0.13, "quotaPerS": 4.0}},
			"domain": object{"cabinets": 2, "changeCostsS": 0.9769485247395635, "classTop": []int{2, 4}, "isLive": []bool{false, true}, "join": 0.15, "kbPerWeight": 3584.0, "kindSlots": []int{31},
				"ladderKb": []float64{255, 427, 716, 1200, 2012}, "levelWorth": []float64{0.26, 0.47, 0.65, 0.83, 1.0}, "linksKb": 74550.0, "lowestRung": []int{0, 0}, "positions": 10,
				"rateFactor": []float64{1, 1}, "refusesFrom": 1.2, "seats": []int{0, 5}, "seenAfter": 0.709845, "stall": 9.0, "toldEvery": 0.0, "uplinkKb": 27000.0},
			"domainType": "streams", "goal": object{"whole": 0.45, "worstClass": 0.35, "worstTenant": 0.1, "worstWindow": 0.1}, "kinds": []string{"c2-std"},
			"limits": object{"cancel": true, "connIdle": 15.0, "connectTimeout": 0.25, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "maxAttempts": 3, "maxRetryAfter": 2.0, "mostHeld": 1000000,
				"peers": true, "probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 32},
			"loadReport": object{"names": []string{"x0"}, "source": "pull"}, "localities": []string{"riga-dc1"}, "overShareWorth": 0.2,
			"prices":  object{"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.045, "moves": 0.066, "origin": 0.0, "peer": 0.01, "probe": 0.01, "registryMode": 0.0, "waste": 0.0},
			"quantum": 0.01, "registryMode": "pushed",
			"rules": object{"askWithin": 10.0, "coldFrom": 0.4, "drainGrace": 0.25, "fallMultiple": 2.0, "graceToAnswer": 0.04, "minExtra": 3.0, "overloadFor": 2.0, "ratioSpan": 5.0, "repeatRatio": 0.3, "warmUp": 12.0},
			"tier":  0, "tiers": []string{"media-nodes"}, "weightKind": "nominal"}}
}
