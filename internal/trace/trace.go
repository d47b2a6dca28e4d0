// Package trace keeps stories of playbacks: as OpenTelemetry spans in a file, sampled, and in words.
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

const queueCapacity = 1 << 12 // stories that wait for the file; beyond, they are lost and counted

var outcomeNames = map[session.Outcome]string{-1: "plays", session.OK: "ended", session.Failed: "failed", session.Full: "full", session.TimedOut: "timed out",
	session.NoConnection: "no connection", session.Reset: "reset", session.Cancelled: "cancelled", session.NotSent: "not sent"}

// File writes stories to a file as spans: one for the playback, and under it door, decision and each try.
type Writer struct {
	ratio    float64
	queue    chan *front.Story
	done     chan struct{}
	file     *os.File
	provider *sdk.TracerProvider
	Lost     atomic.Int64
	closing  sync.Once
}

// NewFile appends to a file the stories of a part of the playbacks. Which ones follows from their names, so that
// all session managers keep the same ones.
func NewFile(path string, ratio float64) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	writer := &Writer{ratio: ratio, queue: make(chan *front.Story, queueCapacity), done: make(chan struct{}), file: file,
		provider: sdk.NewTracerProvider(sdk.WithSyncer(exporter), sdk.WithSampler(sdk.AlwaysSample()))}
	go writer.run()
	return writer, nil
}

// Sampled tells whether a playback of a name is of the part that is kept.
func Sampled(requestID string, ratio float64) bool {
	return float64(xxhash.Sum64String(requestID)>>11)/(1<<53) < ratio
}

// Tell takes a story, without waiting for the file.
func (w *Writer) Tell(playback *front.Story) {
	if !Sampled(playback.Name, w.ratio) {
		return
	}
	select {
	case w.queue <- playback:
	default:
		w.Lost.Add(1)
	}
}

// Close writes what waits. Nothing is told afterwards.
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
	timestamp := func(attempt front.Time) time.Time { return time.UnixMicro(attempt) }
	for playback := range w.queue {
		ctx, root := tracer.Start(context.Background(), "playback", trace.WithTimestamp(timestamp(playback.ReceivedAt)), trace.WithAttributes(
			attribute.String("request", playback.Name), attribute.String("front", playback.Front), attribute.String("plan", playback.Plan),
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
			child("try", attempt.StartedAt, attempt.StartedAt+attempt.Duration, attribute.Int("number", i), attribute.String("box", attempt.Box), attribute.Int("rung", attempt.Rung),
				attribute.String("outcome", outcomeNames[attempt.Outcome]))
			from = attempt.StartedAt + attempt.Duration
		}
		if playback.AdmittedAt > 0 && playback.AnsweredAt > from {
			child("decision", from, playback.AnsweredAt)
		}
		root.End(trace.WithTimestamp(timestamp(playback.AnsweredAt)))
	}
}

// span is what is read back of one.
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

// ErrNone says that no such playback is kept.
var ErrNone = errors.New("no such playback is kept; perhaps it was not sampled, or is not answered yet")

// Read finds a playback's stories in a file of spans: one for each asking of that name.
func Read(r io.Reader, requestID string) (playbacks []*front.Story, err error) {
	spans := map[string][]*span{}
	roots := []*span{}
	rows := bufio.NewReader(r)
	for decoder := json.NewDecoder(rows); ; {
		record := &span{}
		if err := decoder.Decode(record); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("not a file of spans: %w", err)
		}
		if record.Name == "playback" && record.attribute("request") == requestID {
			roots = append(roots, record)
			continue
		}
		spans[record.SpanContext.TraceID] = append(spans[record.SpanContext.TraceID], record)
	}
	for _, root := range roots {
		number := func(key string) int { x, _ := strconv.Atoi(root.attribute(key)); return x }
		playback := &front.Story{Front: root.attribute("front"), Name: requestID, Plan: root.attribute("plan"), Title: root.attribute("title"), Tenant: root.attribute("tenant"),
			ReceivedAt: root.StartTime.UnixMicro(), AnsweredAt: root.EndTime.UnixMicro(), Status: number("status"), Rung: number("rung"), TopRung: number("top"),
			StartupTarget: front.Time(number("startup_us")), AbandonTime: front.Time(number("abandon_us"))}
		for _, child := range spans[root.SpanContext.TraceID] {
			switch child.Name {
			case "decision":
				if playback.AdmittedAt == 0 {
					playback.AdmittedAt = child.StartTime.UnixMicro()
				}
			case "try":
				attempt := front.Attempt{Box: child.attribute("box"), StartedAt: child.StartTime.UnixMicro(), Duration: child.EndTime.Sub(child.StartTime).Microseconds()}
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
		return nil, ErrNone
	}
	return playbacks, nil
}

func formatDuration(duration front.Time) string {
	if duration >= 1_000_000 {
		return fmt.Sprintf("%.2f s", float64(duration)/1e6)
	}
	return fmt.Sprintf("%.1f ms", float64(duration)/1e3)
}

// Words tells a story.
func Words(playback *front.Story) string {
	var text strings.Builder
	writeLine := func(format string, a ...any) { fmt.Fprintf(&text, format+"\n", a...) }
	tenant := ""
	if playback.Tenant != "" {
		tenant = " of " + playback.Tenant
	}
	writeLine("%s%s asked %s for %s/%s, up to rung %d; it had to play within %s, and be answered within %s.", playback.Name, tenant, playback.Front, playback.Plan, playback.Title, playback.TopRung,
		formatDuration(playback.StartupTarget), formatDuration(playback.AbandonTime))
	if playback.AdmittedAt == 0 {
		writeLine("It was not put before the decisions: after %s at the door it was answered %d.", formatDuration(playback.AnsweredAt-playback.ReceivedAt), playback.Status)
		return text.String()
	}
	if wait := playback.AdmittedAt - playback.ReceivedAt; wait > 0 {
		writeLine("It waited at the door for %s.", formatDuration(wait))
	}
	from := playback.AdmittedAt
	for i, attempt := range playback.Attempts {
		if wait := attempt.StartedAt - from; wait > 0 {
			writeLine("The decision where to try took %s.", formatDuration(wait))
		}
		outcome := outcomeNames[attempt.Outcome]
		if attempt.Outcome < 0 {
			outcome = "played"
		}
		writeLine("Try %d, at %s and rung %d: %s after %s.", i, attempt.Box, attempt.Rung, outcome, formatDuration(attempt.Duration))
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
		writeLine("It played after %s, %s past its startup target. Most of the time went to %s.", formatDuration(total), formatDuration(total-playback.StartupTarget), longestPhase(playback))
	case playback.Status == 453 || playback.Status == 503 || playback.Status == 302:
		writeLine("It was refused (%d) after %s.", playback.Status, formatDuration(total))
	default:
		writeLine("It failed (%d) after %s. Most of the time went to %s.", playback.Status, formatDuration(total), longestPhase(playback))
	}
	return text.String()
}

// most names what took most of a playback's time.
func longestPhase(playback *front.Story) string {
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
		return "the door"
	case decisions:
		return "decisions"
	case failed:
		return "tries that came to nothing"
	}
	return "the box that played it"
}
