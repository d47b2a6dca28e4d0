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

// Metrics is the HTTP endpoint for the Prometheus metrics of a session manager.
type Metrics struct {
	server *http.Server
	addr   string
}

// collector reads the figures of the front within one turn for each scrape.
type collector struct {
	loop           *Loop
	front          *front.Front
	registryClient *client.Client // nil where the server list comes from a file
	tenantLabels   int
	descs          map[string]*prometheus.Desc
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("pierlink_"+name, help, labels, nil)
}

// NewMetrics starts to serve metrics at http://ADDR/metrics. At most tenantLabels tenants, those with most requests, get a
// label of their own; the others are summed up under one. registryClient is nil where there is no registry.
func NewMetrics(addr string, loop *Loop, frontCore *front.Front, registryClient *client.Client, tenantLabels int) (*Metrics, error) {
	c := &collector{loop: loop, front: frontCore, registryClient: registryClient, tenantLabels: tenantLabels, descs: map[string]*prometheus.Desc{
		"playbacks":          newDesc("playbacks_total", "Playbacks taken, by how they ended.", "outcome"),
		"door_requests":      newDesc("door_requests_total", "Requests at the door, by tenant and what became of them.", "tenant", "what"),
		"refused":            newDesc("door_refused_total", "Requests refused, by cause.", "cause"),
		"turned_away":        newDesc("door_turned_away_total", "Connections and requests turned away before they were read, by reason.", "reason"),
		"waiting":            newDesc("door_waiting", "Requests that wait."),
		"waiting_bytes":      newDesc("door_waiting_bytes", "Bytes that waiting requests hold."),
		"pace":               newDesc("door_pace", "Requests admitted a second; absent while all are."),
		"tenants":            newDesc("door_tenants", "Tenants remembered."),
		"connections":        newDesc("connections", "Players' connections."),
		"dialogues":          newDesc("dialogues", "Connections to boxes."),
		"playbacks_now":      newDesc("playbacks", "Playbacks now."),
		"tries":              newDesc("tries_total", "Setup tries."),
		"registry_age":       newDesc("registry_age_seconds", "Since the view of the registry was last known to be its state."),
		"revision":           newDesc("registry_revision", "The revision that the view stands for."),
		"keys":               newDesc("registry_keys", "Keys of the view."),
		"registry":           newDesc("registry_events_total", "What the registry's client met.", "what"),
		"directory_age":      newDesc("directory_age_seconds", "Since the view of the directory was last known to be its state."),
		"entries":            newDesc("directory_entries", "Entries of the view."),
		"directory":          newDesc("directory_events_total", "What the directory's view met.", "what"),
		"guesses":            newDesc("directory_guesses_held_total", "Attempts not looked at, for too many failures before."),
		"quotas_without_row": newDesc("directory_tenants_without_row", "Tenants with a quota that directory.quotas has no place for."),
		"service":            newDesc("quality_service", "Part of the revenue due that started within its target.", "kind", "name"),
		"stalls":             newDesc("quality_stalls", "Part of the time watched that stood still, weighed by revenue.", "kind", "name"),
		"rung":               newDesc("quality_rung", "Mean worth of the rungs in force, weighed by revenue.", "kind", "name"),
		"reports":            newDesc("quality_reports_total", "Players' reports, by what became of them.", "what"),
		"handshakes_broken":  newDesc("handshakes_broken_total", "Connections under TLS that ended before their handshake."),
		"packets":            newDesc("packets_total", "RTP and RTCP packets to players, by what became of them.", "what"),
	}}
	promRegistry := prometheus.NewRegistry()
	if err := promRegistry.Register(c); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(promRegistry, promhttp.HandlerOpts{}))
	m := &Metrics{server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, addr: ln.Addr().String()}
	go func() { _ = m.server.Serve(ln) }()
	return m, nil
}

// Addr returns the address at which the metrics are served.
func (m *Metrics) Addr() string { return m.addr }

// Close stops the endpoint; scrapes in progress have a second to finish.
func (m *Metrics) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = m.server.Shutdown(ctx)
}

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.descs {
		out <- d
	}
}

type tenantFigures struct {
	name string
	fair.TenantStats
}

// Collect reads all figures within one turn, so that they are consistent, and sends them.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	var figures front.Stats
	var byTenant []tenantFigures
	var refused [fair.CauseCount]int64
	var turned [fair.ReasonCount]int64
	var waiting, bytes, remembered int
	var directory *directoryFigures
	var service map[quality.Group]quality.Totals
	var reports quality.Counts
	pace, queued := 0.0, false
	c.loop.Do(func() {
		figures = c.front.Figures
		directory = directoryFiguresOf(c.front)
		if monitor := c.front.Quality; monitor != nil {
			service, reports = monitor.Totals(), monitor.Counts
		}
		queue, limiter := c.front.Admission()
		turned = limiter.Refused
		if queue == nil {
			return
		}
		queued = true
		refused, pace, remembered = queue.Refused, queue.AdmissionRate(), queue.TenantCount()
		waiting, bytes = queue.Waiting()
		queue.EachTenant(func(name string, f fair.TenantStats) {
			byTenant = append(byTenant, tenantFigures{c.front.TenantName(name), f})
		})
	})
	count := func(name string, v int64, labels ...string) {
		out <- prometheus.MustNewConstMetric(c.descs[name], prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(name string, v float64) {
		out <- prometheus.MustNewConstMetric(c.descs[name], prometheus.GaugeValue, v)
	}
	for what, v := range map[string]int64{"plays": figures.Plays, "refused": figures.Refused, "failed": figures.Failed, "left": figures.Left} {
		count("playbacks", v, what)
	}
	for what, v := range map[string]int64{"sent": figures.Packets, "lost video": figures.LostVideo, "lost audio": figures.LostAudio} {
		count("packets", v, what)
	}
	count("tries", figures.Tries)
	gauge("connections", float64(figures.Connections))
	gauge("dialogues", float64(figures.Dialogues))
	gauge("playbacks_now", float64(figures.Playbacks))
	for r := range fair.ReasonCount {
		count("turned_away", turned[r], r.String())
	}
	count("handshakes_broken", c.loop.BrokenHandshakes())
	if service != nil {
		for what, v := range map[string]int64{"all": reports.Reports, "duplicate": reports.Duplicates, "late": reports.Late, "strange": reports.Strange,
			"clock set": reports.Clocks} {
			count("reports", v, what)
		}
		c.qualityMetrics(service, out)
	}
	if directory != nil {
		gauge("directory_age", directory.age)
		gauge("entries", float64(directory.entries))
		gauge("quotas_without_row", float64(directory.quotasWithoutRow))
		count("guesses", directory.guessesHeld)
		met := directory.met
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
	for r := range fair.CauseCount {
		count("refused", refused[r], r.String())
	}
	gauge("waiting", float64(waiting))
	gauge("waiting_bytes", float64(bytes))
	gauge("tenants", float64(remembered))
	if pace < 1e12 {
		gauge("pace", pace)
	}
	slices.SortFunc(byTenant, func(a, b tenantFigures) int {
		if a.Requested != b.Requested {
			return int(b.Requested - a.Requested)
		}
		return strings.Compare(a.name, b.name)
	})
	var others fair.TenantStats
	shown := 0
	for _, tenant := range byTenant {
		if tenant.name == "" || shown == c.tenantLabels || !validLabel(tenant.name) {
			others.Requested, others.Admitted = others.Requested+tenant.Requested, others.Admitted+tenant.Admitted
			others.Refused, others.Returned = others.Refused+tenant.Refused, others.Returned+tenant.Returned
			continue
		}
		shown++
		c.tenantMetrics(count, tenant.name, tenant.TenantStats)
	}
	c.tenantMetrics(count, "other", others)
}

// qualityMetrics sends the quality by rack and title. Titles that are not valid as labels are left out; the log has them.
func (c *collector) qualityMetrics(byGroup map[quality.Group]quality.Totals, out chan<- prometheus.Metric) {
	for group, figures := range byGroup {
		kind, name := "rack", strconv.Itoa(group.Rack)
		if group.Kind == quality.Title {
			if kind, name = "title", group.Title; name != quality.OtherTitles && !validLabel(name) {
				continue
			}
		}
		for what, v := range map[string]float64{"service": figures.Service(), "stalls": figures.StallRatio(), "rung": figures.MeanWorth()} {
			out <- prometheus.MustNewConstMetric(c.descs[what], prometheus.GaugeValue, v, kind, name)
		}
	}
}

// directoryFigures are the figures of the directory view.
type directoryFigures struct {
	age                       float64
	entries, quotasWithoutRow int
	guessesHeld               int64
	met                       tenants.Counts
}

func directoryFiguresOf(frontCore *front.Front) *directoryFigures {
	if frontCore.Access == nil {
		return nil
	}
	core := frontCore.Access.Core
	return &directoryFigures{age: float64(core.Age()) / 1e6, entries: core.Size(), quotasWithoutRow: frontCore.Access.Rows.Unassigned(), guessesHeld: frontCore.Access.FailedLogins.Rejected, met: core.Counts}
}

func (c *collector) registryMetrics(count func(string, int64, ...string), gauge func(string, float64)) {
	var age float64
	var revision int64
	var keys int
	var met registry.Counts
	c.registryClient.WithCore(func(core *registry.Core) {
		age, keys, met = float64(core.Age())/1e6, len(core.View()), core.Counts
		revision, _ = core.Revision()
	})
	gauge("registry_age", age)
	gauge("revision", float64(revision))
	gauge("keys", float64(keys))
	for what, v := range map[string]int64{"list": met.Lists, "watch": met.Watches, "compacted": met.Compactions, "another history": met.Histories,
		"lower revision": met.Lower, "guarded": met.Guarded, "refuted": met.Refuted, "failure": met.Failures, "duplicate": met.Duplicates} {
		count("registry", v, what)
	}
}

func (c *collector) tenantMetrics(count func(string, int64, ...string), name string, figures fair.TenantStats) {
	for what, v := range map[string]int64{"asked": figures.Requested, "admitted": figures.Admitted, "refused": figures.Refused, "returned": figures.Returned} {
		count("door_requests", v, name, what)
	}
}

// validLabel reports whether a name may be used as a label value: names of tenants and titles come from outside.
func validLabel(name string) bool {
	for _, r := range name {
		if r < ' ' || r > '~' {
			return false
		}
	}
	return name != "other"
}
