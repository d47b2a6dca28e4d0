// Package trace writes sampled traces of playbacks to a file as OpenTelemetry spans, reads them back, and describes
// them in sentences.
package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"pierlink/internal/front"
	"pierlink/session"
)

const queueCapacity = 1 << 12 // traces that wait to be written; further ones are dropped and counted in Lost

var outcomeNames = map[session.Outcome]string{-1: "plays", session.OK: "ended", session.Failed: "failed", session.Full: "full", session.TimedOut: "timed out",
	session.NoConnection: "no connection", session.Reset: "reset", session.Cancelled: "cancelled", session.NotSent: "not sent"}

// Writer writes traces to a file as spans: one for the playback, with child spans for the time before admission,
// for decisions and for each try.
type Writer struct {
	ratio    float64
	queue    chan *front.PlaybackTrace
	done     chan struct{}
	file     *os.File
	provider *sdk.TracerProvider
	Lost     atomic.Int64 // traces dropped because the queue was full
	closing  sync.Once
}

// NewWriter returns a Writer that appends the traces of a share of the playbacks to a file. The request ids select
// the playbacks, so that all session managers keep the same ones.
func NewWriter(path string, ratio float64) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	writer := &Writer{ratio: ratio, queue: make(chan *front.PlaybackTrace, queueCapacity), done: make(chan struct{}), file: file,
		provider: sdk.NewTracerProvider(sdk.WithSyncer(exporter), sdk.WithSampler(sdk.AlwaysSample()))}
	go writer.run()
	return writer, nil
}

// Sampled reports whether the playback of a request id is in the share that is kept.
func Sampled(requestID string, ratio float64) bool {
	return float64(xxhash.Sum64String(requestID)>>11)/(1<<53) < ratio
}

// Record queues a trace for writing, without waiting for the file.
func (w *Writer) Record(playback *front.PlaybackTrace) {
	if !Sampled(playback.RequestID, w.ratio) {
		return
	}
	select {
	case w.queue <- playback:
	default:
		w.Lost.Add(1)
	}
}

// Close writes the queued traces and closes the file. No trace may be queued afterwards.
func (w *Writer) Close() error {
	var err error
	w.closing.Do(func() {
		close(w.queue)
		<-w.done
		err = errors.Join(w.provider.Shutdown(context.Background()), w.file.Close())
	})
	return err
}

func (w *Writer) run() {
	defer close(w.done)
	tracer := w.provider.Tracer("pierlink")
	timestamp := func(t front.Time) time.Time { return time.UnixMicro(t) }
	for playback := range w.queue {
		ctx, root := tracer.Start(context.Background(), "playback", trace.WithTimestamp(timestamp(playback.ReceivedAt)), trace.WithAttributes(
			attribute.String("request", playback.RequestID), attribute.String("front", playback.Front), attribute.String("plan", playback.Plan),
			attribute.String("title", playback.Title), attribute.String("tenant", playback.Tenant), attribute.Int("status", playback.Status),
			attribute.Int("rung", playback.Rung), attribute.Int("top", playback.TopRung), attribute.Int64("startup_us", playback.StartupTarget),
			attribute.Int64("abandon_us", playback.AbandonTime)))
		child := func(name string, from, to front.Time, attributes ...attribute.KeyValue) {
			_, child := tracer.Start(ctx, name, trace.WithTimestamp(timestamp(from)), trace.WithAttributes(attributes...))
			child.End(trace.WithTimestamp(timestamp(to)))
		}
		end := playback.AnsweredAt
		if playback.AdmittedAt > 0 {
			end = playback.AdmittedAt
		}
		child("door", playback.ReceivedAt, end)
		from := playback.AdmittedAt
		for i, attempt := range playback.Attempts {
			child("decision", from, attempt.StartedAt)
			child("try", attempt.StartedAt, attempt.StartedAt+attempt.Duration, attribute.Int("number", i), attribute.String("box", attempt.Box),
				attribute.Int("rung", attempt.Rung),
				attribute.String("outcome", outcomeNames[attempt.Outcome]))
			from = attempt.StartedAt + attempt.Duration
		}
		if playback.AdmittedAt > 0 && playback.AnsweredAt > from {
			child("decision", from, playback.AnsweredAt)
		}
		root.End(trace.WithTimestamp(timestamp(playback.AnsweredAt)))
	}
}

// span is the part of an exported span that is read back.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

// attribute returns the value of an attribute as text, empty if there is none.
func (s *span) attribute(key string) string {
	for _, a := range s.Attributes {
		if a.Key == key {
			switch v := a.Value.Value.(type) {
			case string:
				return v
			case float64:
				return strconv.FormatFloat(v, 'f', -1, 64)
			}
		}
	}
	return ""
}

// ErrNotFound is returned if the file holds no trace of the playback.
var ErrNotFound = errors.New("no trace of this playback; it may not have been sampled, or not answered yet")

// Read finds the traces of a request id in a file of spans: one for each playback requested under that id.
func Read(r io.Reader, requestID string) (playbacks []*front.PlaybackTrace, err error) {
	spans := map[string][]*span{}
	roots := []*span{}
	rows := bufio.NewReader(r)
	for decoder := json.NewDecoder(rows); ; {
		record := &span{}
		if err := decoder.Decode(record); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("expected a file of JSON spans: %w", err)
		}
		if record.Name == "playback" && record.attribute("request") == requestID {
			roots = append(roots, record)
			continue
		}
		spans[record.SpanContext.TraceID] = append(spans[record.SpanContext.TraceID], record)
	}
	for _, root := range roots {
		number := func(key string) int { x, _ := strconv.Atoi(root.attribute(key)); return x }
		playback := &front.PlaybackTrace{Front: root.attribute("front"), RequestID: requestID, Plan: root.attribute("plan"),
			Title: root.attribute("title"), Tenant: root.attribute("tenant"),
			ReceivedAt: root.StartTime.UnixMicro(), AnsweredAt: root.EndTime.UnixMicro(),
			Status: number("status"), Rung: number("rung"), TopRung: number("top"),
			StartupTarget: front.Time(number("startup_us")), AbandonTime: front.Time(number("abandon_us"))}
		for _, child := range spans[root.SpanContext.TraceID] {
			switch child.Name {
			case "decision":
				if playback.AdmittedAt == 0 {
					playback.AdmittedAt = child.StartTime.UnixMicro()
				}
			case "try":
				attempt := front.Attempt{Box: child.attribute("box"), StartedAt: child.StartTime.UnixMicro(),
					Duration: child.EndTime.Sub(child.StartTime).Microseconds()}
				attempt.Rung, _ = strconv.Atoi(child.attribute("rung"))
				for o, word := range outcomeNames {
					if word == child.attribute("outcome") {
						attempt.Outcome = o
					}
				}
				playback.Attempts = append(playback.Attempts, attempt)
			}
		}
		playbacks = append(playbacks, playback)
	}
	if len(playbacks) == 0 {
		return nil, ErrNotFound
	}
	return playbacks, nil
}

func formatDuration(duration front.Time) string {
	if duration >= 1_000_000 {
		return fmt.Sprintf("%.2f s", float64(duration)/1e6)
	}
	return fmt.Sprintf("%.1f ms", float64(duration)/1e3)
}

// Describe describes a trace in sentences.
func Describe(playback *front.PlaybackTrace) string {
	var text strings.Builder
	writeLine := func(format string, a ...any) { fmt.Fprintf(&text, format+"\n", a...) }
	tenant := ""
	if playback.Tenant != "" {
		tenant = " of tenant " + playback.Tenant
	}
	writeLine("%s%s was requested from %s for %s/%s, up to rung %d, with a startup target of %s and an abandon time of %s.",
		playback.RequestID, tenant, playback.Front, playback.Plan, playback.Title, playback.TopRung,
		formatDuration(playback.StartupTarget), formatDuration(playback.AbandonTime))
	if playback.AdmittedAt == 0 {
		writeLine("It was not admitted: after %s it was answered with status %d.", formatDuration(playback.AnsweredAt-playback.ReceivedAt), playback.Status)
		return text.String()
	}
	if wait := playback.AdmittedAt - playback.ReceivedAt; wait > 0 {
		writeLine("It waited for admission for %s.", formatDuration(wait))
	}
	from := playback.AdmittedAt
	for i, attempt := range playback.Attempts {
		if wait := attempt.StartedAt - from; wait > 0 {
			writeLine("The decision on a server took %s.", formatDuration(wait))
		}
		outcome := outcomeNames[attempt.Outcome]
		if attempt.Outcome < 0 {
			outcome = "played"
		}
		writeLine("Try %d on %s at rung %d: %s after %s.", i, attempt.Box, attempt.Rung, outcome, formatDuration(attempt.Duration))
		from = attempt.StartedAt + attempt.Duration
	}
	if len(playback.Attempts) == 0 {
		writeLine("No try was made.")
	}
	total := playback.AnsweredAt - playback.ReceivedAt
	switch {
	case playback.Status == 200 && total <= playback.StartupTarget:
		writeLine("It played after %s, within its startup target.", formatDuration(total))
	case playback.Status == 200:
		writeLine("It played after %s, %s past its startup target. Most of the time was spent on %s.",
			formatDuration(total), formatDuration(total-playback.StartupTarget), longestPhase(playback))
	case playback.Status == 453 || playback.Status == 503 || playback.Status == 302:
		writeLine("It was refused (%d) after %s.", playback.Status, formatDuration(total))
	default:
		writeLine("It failed (%d) after %s. Most of the time was spent on %s.", playback.Status, formatDuration(total), longestPhase(playback))
	}
	return text.String()
}

// longestPhase names the phase that took most of a playback's time.
func longestPhase(playback *front.PlaybackTrace) string {
	admission, tries, failed := playback.AdmittedAt-playback.ReceivedAt, front.Time(0), front.Time(0)
	for _, attempt := range playback.Attempts {
		tries += attempt.Duration
		if attempt.Outcome >= 0 {
			failed += attempt.Duration
		}
	}
	decisions := playback.AnsweredAt - playback.AdmittedAt - tries
	switch max(admission, decisions, tries-failed, failed) {
	case admission:
		return "admission"
	case decisions:
		return "decisions"
	case failed:
		return "failed tries"
	}
	return "the successful try"
}
