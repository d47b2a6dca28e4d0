package edge_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/fair"
	"pierlink/internal/front"
	"pierlink/policy"
	"pierlink/session"
)

// Guards against an unbounded number of label values: only the tenants with most requests have a label of their own. The
// others, and those whose names are not valid labels, are summed up as one.
func TestMetricsAreBounded(t *testing.T) {
	site := session.Site{Fronts: 1, Plans: []session.Plan{{StartupTarget: core.Second, Revenue: 1, RateFactor: 1}},
		Ladder: session.Ladder{RateKB: []float64{1}, RevenueShare: []float64{1}, Join: 1},
		Fleet:  session.Fleet{Cells: 1, Racks: 1, TotalLinkKB: 1, UplinkKB: 1, MaxStreams: []float64{1}, NoteDelay: 1e6}, Terms: session.Terms{WarmUp: 1e6, ColdSpan: 1e6, RetrySpan: 1e6}}
	service := &front.Config{Name: "f", Site: site, Secret: []byte("s"), SessionTimeout: core.Second,
		Queue: &fair.Config{MaxWaiting: 1000, MaxBytes: 1 << 20, MaxTenants: 500, MaxIdleClients: 100, StartupTarget: core.Second, TokenSecret: []byte("s")}}
	var frontCore *front.Front
	loop, err := edge.New("", func(n core.Net) core.Core {
		frontCore = front.New(service, policy.New(&service.Site, 1, edge.Now()), n, zap.NewNop(), edge.Now())
		return frontCore
	})
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Stop(false)
	loop.Do(func() {
		queue, _ := frontCore.Admission()
		for i := range 300 {
			queue.Offer(fair.Request{ID: i + 1, Tenant: "t" + strconv.Itoa(i%100), StartupDeadline: edge.Now() + core.Second, AbandonDeadline: edge.Now() + core.Second})
		}
		for i := range 50 {
			queue.Offer(fair.Request{ID: i + 1000, Tenant: "odd\x00\xff", StartupDeadline: edge.Now() + core.Second, AbandonDeadline: edge.Now() + core.Second})
			queue.Offer(fair.Request{ID: i + 2000, Tenant: "large", StartupDeadline: edge.Now() + core.Second, AbandonDeadline: edge.Now() + core.Second})
		}
	})
	metrics, err := edge.NewMetrics("127.0.0.1:0", loop, frontCore, nil, 3)
	if err != nil {
		t.Fatal(err)
	}
	defer metrics.Close()
	response, err := http.Get("http://" + metrics.Addr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	text := string(body)
	if n := strings.Count(text, `what="asked"`); n != 4 || !strings.Contains(text, `tenant="large",what="asked"} 50`) ||
		!strings.Contains(text, `tenant="other",what="asked"} 344`) {
		t.Error(n, text)
	}
}
