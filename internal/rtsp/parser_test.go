package rtsp

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

// recorder records the messages and frames that a parser finds, one per line.
type recorder struct{ lines []string }

func (r *recorder) Message(message *Message) {
	r.lines = append(r.lines, fmt.Sprintf("message %s %s %d %d %v %q", message.Method, message.URI, message.Status, message.CSeq, message.Header, message.Body))
}
func (r *recorder) Frame(channel byte, payload []byte) {
	r.lines = append(r.lines, fmt.Sprintf("frame %d %x", channel, payload))
}
func (r *recorder) Malformed(malformed *MalformedError) {
	r.lines = append(r.lines, fmt.Sprintf("bad %d %d %t", malformed.Status, malformed.CSeq, malformed.Request))
}

// feed parses the chunks in order and returns what the parser found.
func feed(chunks ...[]byte) string {
	parser, rec := &Parser{Bounds: DefaultBounds}, &recorder{}
	for _, c := range chunks {
		if err := parser.Feed(c, rec); err != nil {
			rec.lines = append(rec.lines, fmt.Sprintf("end %d", err.(*MalformedError).Status))
			break
		}
	}
	return strings.Join(rec.lines, "\n")
}

// mixedMessages returns requests, a response and frames, with several kinds of line ends.
func mixedMessages() []byte {
	var b []byte
	b = NewRequest(Setup, "rtsp://a/live/t/track0?top=2", 7).With("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1").Append(b)
	b = AppendFrame(b, 3, []byte("\r\n\r\n$$"))
	b = append(b, "\r\n"...)
	message := NewResponse(200, 7).With("Session", "abc;timeout=30")
	message.Body = []byte("delivered: 0.9\r\n")
	b = message.Append(b)
	b = AppendFrame(b, 0, nil)
	return append(b, "OPTIONS * RTSP/1.0\nCSeq: 8\nX: a\n  b\n\n"...)
}

// The parser must find the same messages however the input is split.
func TestParserAcceptsAnySplit(t *testing.T) {
	encoded := mixedMessages()
	want := feed(encoded)
	if n := strings.Count(want, "\n"); n != 4 || strings.Contains(want, "bad") {
		t.Fatal(want)
	}
	for i := range encoded {
		if got := feed(encoded[:i], encoded[i:]); got != want {
			t.Fatalf("split at %d: %s", i, got)
		}
	}
	single := make([][]byte, len(encoded))
	for i := range encoded {
		single[i] = encoded[i : i+1]
	}
	if got := feed(single...); got != want {
		t.Fatal("fed byte by byte:", got)
	}
}

// Malformed messages must get the right status. After most of them the parser continues with the next message; after
// those listed with end it cannot, as the end of the message is unknown or too far.
func TestMalformedMessages(t *testing.T) {
	ok := "\r\nOPTIONS * RTSP/1.0\r\nCSeq: 9\r\n\r\n"
	long := strings.Repeat("x", DefaultBounds.LineBytes+1)
	for in, want := range map[string]string{
		"SETUP rtsp://a RTSP/2.0\r\nCSeq: 1\r\n\r\n":                                                       "bad 505 1 true",
		"SETUP rtsp://a\r\nCSeq: 1\r\n\r\n":                                                                "bad 400 1 true",
		"SETUP rtsp://a HTTP/1.1\r\nCSeq: 1\r\n\r\n":                                                       "bad 400 1 true",
		"SETUP rtsp://a RTSP/1.0\r\n\r\n":                                                                  "bad 400 -1 true",
		"SETUP rtsp://a RTSP/1.0\r\nCSeq: x\r\n\r\n":                                                       "bad 400 -1 true",
		"SETUP rtsp://a RTSP/1.0\r\nCSeq: 1\r\n: v\r\n\r\n":                                                "bad 400 1 true",
		"SETUP rtsp://a RTSP/1.0\r\nCSeq: 1\r\n" + long + "\r\n\r\n":                                       "bad 400 1 true",
		"SETUP rtsp://" + long + " RTSP/1.0\r\nCSeq: 1\r\n\r\n" + ok:                                       "end 414",
		"SETUP rtsp://a RTSP/1.0\r\nCSeq: 1\r\n" + strings.Repeat("A: b\r\n", 60) + "\r\n":                 "bad 400 1 true",
		"RTSP/1.0 2x0 OK\r\nCSeq: 1\r\n\r\n":                                                               "bad 400 1 false",
		"SETUP rtsp://a RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("y", 40000): "bad 413 1 true",
		"SETUP rtsp://a RTSP/1.0\r\nCSeq: 1\r\nContent-Length: z\r\n\r\n":                                  "end 400",
		"SETUP rtsp://a RTSP/1.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                        "end 400",
		"SETUP rtsp://a RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 99999999\r\n\r\n":                           "end 413",
		long: "end 414",
		"A b RTSP/1.0\r\n" + strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 9): "end 400",
	} {
		if !strings.HasPrefix(want, "end") {
			want += "\nmessage OPTIONS * 0 9 [] \"\""
		}
		if got := feed([]byte(in + ok)); got != want {
			t.Errorf("%.60q: %s", in, got)
		}
	}
}

// A sender that never completes a message must not make the parser buffer more than its bounds.
func TestParserMemoryBounded(t *testing.T) {
	for _, unit := range []string{"x", "A: b\r\n", "$\x00\xff\xff", "\r\n", "RTSP/1.0 200 OK\r\n"} {
		parser, rec := &Parser{Bounds: DefaultBounds}, &recorder{}
		for i := range 100_000 {
			if parser.Feed([]byte(unit), rec) != nil {
				break
			}
			if parser.BufferedBytes() > 1<<16+4+len(unit) {
				t.Fatalf("%q: %d bytes held after %d", unit, parser.BufferedBytes(), i)
			}
		}
	}
}

// A line break in a header value must not add a header field.
func TestHeaderInjectionPrevented(t *testing.T) {
	b := NewResponse(200, 1).With("X", "a\r\nSession: stolen").Append(nil)
	if got := feed(b); strings.Contains(got, "{Session") {
		t.Error(got)
	}
}

func TestTransports(t *testing.T) {
	got := ParseTransports("RTP/AVP;unicast;client_port=5-6, RTP/AVP/TCP;unicast;interleaved=4-5;ssrc=1,RTP/AVP/TCP;interleaved=9-300")
	if len(got) != 2 || got[0].IsTCP() || !got[1].IsTCP() || got[1].RTP != 4 || got[1].RTCP != 5 {
		t.Error(got)
	}
	if id, n := ParseSession("q12; timeout=5"); id != "q12" || n != 5 {
		t.Error(id, n)
	}
}

// fuzzSplits checks that the way in which the input is split does not change what the parser finds.
func fuzzSplits(f *testing.F, seeds ...[]byte) {
	for _, s := range seeds {
		f.Add(s, uint64(1))
	}
	f.Fuzz(func(t *testing.T, b []byte, seed uint64) {
		want := feed(b)
		random := rand.New(rand.NewPCG(seed, 2))
		var parts [][]byte
		for rest := b; len(rest) > 0; {
			n := 1 + random.IntN(len(rest))
			parts = append(parts, bytes.Clone(rest[:n]))
			rest = rest[n:]
		}
		if got := feed(parts...); got != want {
			t.Fatalf("split with seed %d: %q, unsplit %q", seed, got, want)
		}
	})
}

func FuzzRequests(f *testing.F) {
	fuzzSplits(f, NewRequest(Play, "rtsp://a/b", 3).With("Range", "npt=0-").Append(nil), []byte("A B RTSP/1.0\nCSeq:1\n\n"))
}
func FuzzAnswers(f *testing.F) {
	fuzzSplits(f, NewResponse(453, 2).With("Retry-After", "2").Append(nil))
}
func FuzzMixed(f *testing.F) { fuzzSplits(f, mixedMessages()) }

// Guards against a client that writes slowly and costs much: the head of a message whose body comes byte by byte is parsed
// when it is complete and when the body is, not with each byte.
func TestSlowBodyIsParsedOnce(t *testing.T) {
	head := "SETUP rtsp://media/x RTSP/1.0\r\nCSeq: 1\r\n" + strings.Repeat("a: b\r\n", 40)
	body := strings.Repeat("x", 16<<10)
	text := []byte(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	messages := 0
	allocations := testing.AllocsPerRun(1, func() {
		parser := &Parser{Bounds: DefaultBounds}
		handler := countingHandler{&messages}
		for i := range text {
			if err := parser.Feed(text[i:i+1], handler); err != nil {
				t.Fatal(err)
			}
		}
	})
	if limit := 100.0; messages != 2 || allocations > limit {
		t.Errorf("%d messages, %.0f allocations for each run; want 2, and %.0f at most", messages, allocations, limit)
	}
}

// countingHandler counts messages.
type countingHandler struct{ messages *int }

func (h countingHandler) Message(*Message)          { *h.messages++ }
func (h countingHandler) Frame(byte, []byte)        {}
func (h countingHandler) Malformed(*MalformedError) {}
