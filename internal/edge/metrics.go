package edge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pierlink/internal/fair"
	"pierlink/internal/front"
	"pierlink/internal/quality"
	"pierlink/internal/registry"
	"pierlink/internal/registry/client"
	"pierlink/internal/tenants"
)

// Metrics serves a session manager's figures on a port of their own.
type Metrics struct {
	server *http.Server
	addr   string
}

// collector asks the front in a turn of its own for each scrape.
type collector struct {
	loop           *Loop
	front          *front.Front
	registryClient *client.Client // nil where the list comes from a file
	tenantLabels   int
	descs          map[string]*prometheus.Desc
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("pierlink_"+name, help, labels, nil)
}

// NewMetrics serves at http://ADDR/metrics. So many tenants get a label of their own, those with most
// requests; the others are one. reg is the registry's client, nil where there is none.
func NewMetrics(addr string, loop *Loop, f *front.Front, reg *client.Client, labels int) (*Metrics, error) {
	c := &collector{loop: loop, front: f, registryClient: reg, tenantLabels: labels, descs: map[string]*prometheus.Desc{
		"playbacks":   newDesc("playbacks_total", "Playbacks taken, by how they ended.", "outcome"),
		"door":        newDesc("door_requests_total", "Requests at the door, by tenant and what became of them.", "tenant", "what"),
		"refused":     newDesc("door_refused_total", "Requests refused, by cause.", "cause"),
		"turned":      newDesc("door_turned_away_total", "Connections and requests turned away before they were read, by reason.", "reason"),
		"waiting":     newDesc("door_waiting", "Requests that wait."),
		"waitbytes":   newDesc("door_waiting_bytes", "Bytes that waiting requests hold."),
		"pace":        newDesc("door_pace", "Requests admitted a second; absent while all are."),
		"tenants":     newDesc("door_tenants", "Tenants remembered."),
		"connections": newDesc("connections", "Players' connections."),
		"dialogues":   newDesc("dialogues", "Connections to boxes."),
		"now":         newDesc("playbacks", "Playbacks now."),
		"tries":       newDesc("tries_total", "Setup tries."),
		"age":         newDesc("registry_age_seconds", "Since the view of the registry was last known to be its state."),
		"revision":    newDesc("registry_revision", "The revision that the view stands for."),
		"keys":        newDesc("registry_keys", "Keys of the view."),
		"registry":    newDesc("registry_events_total", "What the registry's client met.", "what"),
		"dirage":      newDesc("directory_age_seconds", "Since the view of the directory was last known to be its state."),
		"entries":     newDesc("directory_entries", "Entries of the view."),
		"directory":   newDesc("directory_events_total", "What the directory's view met.", "what"),
		"guesses":     newDesc("directory_guesses_held_total", "Attempts not looked at, for too many failures before."),
		"noquota":     newDesc("directory_tenants_without_row", "Tenants with a quota that directory.quotas has no place for."),
		"service":     newDesc("quality_service", "Part of the revenue due that started within its target.", "kind", "name"),
		"stalls":      newDesc("quality_stalls", "Part of the time watched that stood still, weighed by revenue.", "kind", "name"),
		"rung":        newDesc("quality_rung", "Mean worth of the rungs in force, weighed by revenue.", "kind", "name"),
		"reports":     newDesc("quality_reports_total", "Players' reports, by what became of them.", "what"),
		"unshaken":    newDesc("handshakes_broken_total", "Connections under TLS that ended before their handshake."),
		"packets":     newDesc("packets_total", "RTP and RTCP packets to players, by what became of them.", "what"),
	}}
	all := prometheus.NewRegistry()
	if err := all.Register(c); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(all, promhttp.HandlerOpts{}))
	m := &Metrics{server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, addr: ln.Addr().String()}
	go func() { _ = m.server.Serve(ln) }()
	return m, nil
}

// Addr is where it listens.
func (m *Metrics) Addr() string { return m.addr }

// Close ends it.
func (m *Metrics) Close() {
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	_ = m.server.Shutdown(ctx)
}

// Describe tells the figures there are.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descs {
		out <- d
	}
}

type tenantFigures struct {
	name string
	fair.TenantFigures
}

// Collect takes them all in one turn, so that they belong together.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	var x front.Figures
	var all []tenantFigures
	var refused [fair.Causes]int64
	var turned [fair.Reasons]int64
	var waiting, bytes, remembered int
	var gate *directoryFigures
	var service map[quality.Group]quality.Figures
	var reports quality.Counts
	pace, queued := 0.0, false
	c.loop.Do(func() {
		x = c.front.Figures
		gate = directoryFiguresOf(c.front)
		if k := c.front.Quality; k != nil {
			service, reports = k.Figures(), k.Counts
		}
		q, d := c.front.Door()
		turned = d.Refused
		if q == nil {
			return
		}
		queued = true
		refused, pace, remembered = q.Refused, q.PerSec(), q.Remembered()
		waiting, bytes = q.Waiting()
		q.Each(func(name string, f fair.TenantFigures) { all = append(all, tenantFigures{c.front.Named(name), f}) })
	})
	count := func(name string, v int64, labels ...string) {
		out <- prometheus.MustNewConstMetric(c.descs[name], prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(name string, v float64) {
		out <- prometheus.MustNewConstMetric(c.descs[name], prometheus.GaugeValue, v)
	}
	for what, v := range map[string]int64{"plays": x.Plays, "refused": x.Refused, "failed": x.Failed, "left": x.Left} {
		count("playbacks", v, what)
	}
	for what, v := range map[string]int64{"sent": x.Packets, "lost video": x.LostVideo, "lost audio": x.LostAudio} {
		count("packets", v, what)
	}
	count("tries", x.Tries)
	gauge("connections", float64(x.Connections))
	gauge("dialogues", float64(x.Dialogues))
	gauge("now", float64(x.Playbacks))
	for r := range fair.Reasons {
		count("turned", turned[r], r.String())
	}
	count("unshaken", c.loop.Unshaken())
	if service != nil {
		for what, v := range map[string]int64{"all": reports.Reports, "duplicate": reports.Duplicates, "late": reports.Late, "strange": reports.Strange,
			"clock set": reports.Clocks} {
			count("reports", v, what)
		}
		c.qualityMetrics(service, out)
	}
	if gate != nil {
		gauge("dirage", gate.age)
		gauge("entries", float64(gate.entries))
		gauge("noquota", float64(gate.quotasWithoutRow))
		count("guesses", gate.guessesHeld)
		met := gate.met
		for what, v := range map[string]int64{"synchronisation": met.Syncs, "whole": met.Whole, "broken off": met.Broken, "poll": met.Polls, "list": met.Lists,
			"look-up": met.Looks, "look-up joined": met.Joined, "asked elsewhere": met.Retried, "referral": met.Referred, "circuit opened": met.Opened,
			"refused": met.Refused, "stale": met.Stales, "fallback": met.Fallbacks, "no room": met.Overfull} {
			count("directory", v, what)
		}
	}
	if c.registryClient != nil {
		c.registryMetrics(count, gauge)
	}
	if !queued {
		return
	}
	for r := range fair.Causes {
		count("refused", refused[r], r.String())
	}
	gauge("waiting", float64(waiting))
	gauge("waitbytes", float64(bytes))
	gauge("tenants", float64(remembered))
	if pace < 1e12 {
		gauge("pace", pace)
	}
	slices.SortFunc(all, func(a, b tenantFigures) int {
		if a.Asked != b.Asked {
			return int(b.Asked - a.Asked)
		}
		return strings.Compare(a.name, b.name)
	})
	var rest fair.TenantFigures
	shown := 0
	for _, t := range all {
		if t.name == "" || shown == c.tenantLabels || !validLabel(t.name) {
			rest.Asked, rest.Admitted = rest.Asked+t.Asked, rest.Admitted+t.Admitted
			rest.Refused, rest.Returned = rest.Refused+t.Refused, rest.Returned+t.Returned
			continue
		}
		shown++
		c.tenantMetrics(count, t.name, t.TenantFigures)
	}
	c.tenantMetrics(count, "other", rest)
}

// service tells quality by rack and title; titles that are no labels are left to the log.
func (c *collector) qualityMetrics(all map[quality.Group]quality.Figures, out chan<- prometheus.Metric) {
	for g, f := range all {
		kind, name := "rack", strconv.Itoa(g.Rack)
		if g.Kind == quality.Title {
			if kind, name = "title", g.Title; name != quality.Other && !validLabel(name) {
				continue
			}
		}
		for what, v := range map[string]float64{"service": f.Service(), "stalls": f.Stalls(), "rung": f.Rung()} {
			out <- prometheus.MustNewConstMetric(c.descs[what], prometheus.GaugeValue, v, kind, name)
		}
	}
}

// gateFigures are what a directory's view tells.
type directoryFigures struct {
	age                       float64
	entries, quotasWithoutRow int
	guessesHeld               int64
	met                       tenants.Counts
}

func directoryFiguresOf(f *front.Front) *directoryFigures {
	if f.Gate == nil {
		return nil
	}
	k := f.Gate.Core
	return &directoryFigures{age: float64(k.Age()) / 1e6, entries: k.Size(), quotasWithoutRow: f.Gate.Rows.Without(), guessesHeld: f.Gate.Guesses.Held, met: k.Counts}
}

func (c *collector) registryMetrics(count func(string, int64, ...string), gauge func(string, float64)) {
	var age float64
	var rev int64
	var keys int
	var met registry.Counts
	c.registryClient.Do(func(r *registry.Core) {
		age, keys, met = float64(r.Age())/1e6, len(r.View()), r.Counts
		rev, _ = r.Revision()
	})
	gauge("age", age)
	gauge("revision", float64(rev))
	gauge("keys", float64(keys))
	for what, v := range map[string]int64{"list": met.Lists, "watch": met.Watches, "compacted": met.Compactions, "another history": met.Histories,
		"lower revision": met.Lower, "guarded": met.Guarded, "refuted": met.Refuted, "failure": met.Failures, "duplicate": met.Duplicates} {
		count("registry", v, what)
	}
}

func (c *collector) tenantMetrics(count func(string, int64, ...string), name string, f fair.TenantFigures) {
	for what, v := range map[string]int64{"asked": f.Asked, "admitted": f.Admitted, "refused": f.Refused, "returned": f.Returned} {
		count("door", v, name, what)
	}
}

// printable tells whether a name may be a label: tenants' names come from outside.
func validLabel(name string) bool {
	for _, r := range name {
		if r < ' ' || r > '~' {
			return false
		}
	}
	return name != "other"
}
