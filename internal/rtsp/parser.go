package rtsp

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of what one connection may make a parser hold.
type Bounds struct {
	Line, Head    int  // bytes of one line, of all lines of a message
	Fields, Body  int  // header lines, bytes of a body
	FrameInBuffer int  // bytes of a part of a frame kept between two reads, before its buffer is given back
	NoFrames      bool // interleaved data is malformed
}

// Usual bounds; messages of this protocol are a fraction of them.
var Usual = Bounds{Line: 2048, Head: 8192, Fields: 48, Body: 32768, FrameInBuffer: 4096}

// Sink takes what a parser finds, in order. What it is given is the parser's: a frame's payload and a
// message's body are good until the call returns.
type Sink interface {
	Message(m *Message)
	Frame(channel byte, payload []byte)
	// Bad is a message that is malformed while its end is known: the dialogue can go on. Its CSeq is -1
	// if that could not be read; request tells whether an answer is due.
	Bad(e *Malformed)
}

// Malformed says what is wrong with a message, and the status that answers it.
type Malformed struct {
	Status, CSeq int
	Request      bool
	What         string
}

func (e *Malformed) Error() string {
	return fmt.Sprintf("malformed message (%d): %s", e.Status, e.What)
}

// Parser reads one direction of a connection. Its zero value with Bounds set is ready.
type Parser struct {
	Bounds  Bounds
	rest    []byte // the beginning of what is not whole yet
	scanned int    // of rest, known to hold no end of a head
	skip    int    // bytes of a body that is passed over
	stopped bool
}

// Held is how many bytes of a message or frame that is not whole are kept.
func (p *Parser) Held() int { return len(p.rest) }

// Waiting tells whether a message or frame has begun and is not whole.
func (p *Parser) Waiting() bool { return len(p.rest) > 0 || p.skip > 0 }

// Stop makes the parser pass over all that is still to come; a sink may call it.
func (p *Parser) Stop() { p.stopped = true }

// Feed reads on. An error ends the connection: where messages begin is not known any more; it is a
// *Malformed whose status may still be sent.
func (p *Parser) Feed(b []byte, s Sink) error {
	if p.stopped {
		return nil
	}
	if len(p.rest) > 0 && p.rest[0] == '$' { // the rest of a frame, without what comes behind it
		n := min(max(4-len(p.rest), 0), len(b))
		p.rest, b = append(p.rest, b[:n]...), b[n:]
		if len(p.rest) < 4 {
			return nil
		}
		size := 4 + int(p.rest[2])<<8 + int(p.rest[3])
		n = min(size-len(p.rest), len(b))
		p.rest, b = append(p.rest, b[:n]...), b[n:]
		if len(p.rest) < size {
			return nil
		}
		s.Frame(p.rest[1], p.rest[4:size])
		if p.rest = p.rest[:0]; cap(p.rest) > p.Bounds.FrameInBuffer {
			p.rest = nil
		}
		if p.stopped || len(b) == 0 {
			return nil
		}
	}
	kept := len(p.rest) > 0
	if kept {
		p.rest = append(p.rest, b...)
		b = p.rest
	}
	done, err := p.all(b, s)
	if err != nil || p.stopped {
		p.rest, p.stopped = nil, true
		return err
	}
	left := b[done:]
	switch {
	case len(left) == 0:
		if cap(p.rest) > p.Bounds.FrameInBuffer {
			p.rest = nil
		}
		p.rest = p.rest[:0]
	case kept:
		p.rest = p.rest[:copy(p.rest, left)]
	default:
		p.rest = append(p.rest[:0], left...)
	}
	return nil
}

// all reads what is whole and returns how many bytes that was.
func (p *Parser) all(b []byte, s Sink) (done int, err error) {
	for !p.stopped {
		if n := min(p.skip, len(b)-done); n > 0 {
			p.skip -= n
			done += n
		}
		if p.skip > 0 || done == len(b) {
			return done, nil
		}
		switch b[done] {
		case '$':
			if p.Bounds.NoFrames {
				return done, &Malformed{StatusBadRequest, -1, true, "interleaved data"}
			}
			at := b[done:]
			if len(at) < 4 {
				return done, nil
			}
			size := 4 + int(at[2])<<8 + int(at[3])
			if len(at) < size {
				return done, nil
			}
			s.Frame(at[1], at[4:size])
			done += size
		case '\r', '\n': // blank lines between messages (RFC 2326 section 4)
			done++
		default:
			n, err := p.message(b[done:], s)
			if n == 0 || err != nil {
				return done, err
			}
			done += n
		}
	}
	return done, nil
}

// message reads one message if its head and body are whole; 0 if more bytes are needed.
func (p *Parser) message(b []byte, s Sink) (int, error) {
	if first := bytes.IndexByte(b, '\n'); first > p.Bounds.Line || first < 0 && len(b) > p.Bounds.Line {
		return 0, &Malformed{StatusURITooLong, -1, !isAnswer(b), "first line too long"}
	}
	end, next := headEnd(b, p.scanned)
	if end > p.Bounds.Head || end < 0 && len(b) > p.Bounds.Head+3 {
		return 0, &Malformed{StatusBadRequest, -1, !isAnswer(b), "head too long"}
	}
	if end < 0 {
		p.scanned = max(len(b)-3, 0)
		return 0, nil
	}
	m, size, bad := p.head(b[:end])
	if size < 0 { // where the next message begins cannot be known
		return 0, bad
	}
	if size > p.Bounds.Body {
		bad = &Malformed{StatusTooLarge, bad.cseq(m), !isAnswer(b), "body too long"}
		if size > 16*p.Bounds.Body {
			return 0, bad
		}
		p.skip = size
	} else if len(b)-next < size {
		p.scanned = max(end-4, 0)
		return 0, nil
	} else if bad == nil {
		m.Body = b[next : next+size]
		next += size
	} else {
		next += size
	}
	p.scanned = 0
	if bad != nil {
		s.Bad(bad)
	} else {
		s.Message(m)
	}
	return next, nil
}

func (e *Malformed) cseq(m *Message) int {
	if e != nil {
		return e.CSeq
	}
	return m.CSeq
}

func isAnswer(b []byte) bool { return bytes.HasPrefix(b, []byte("RTSP/")) }

// headEnd finds the blank line that ends a head: where the head's lines end and where what follows begins.
func headEnd(b []byte, from int) (end, next int) {
	for i := max(from, 0); i < len(b); i++ {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1, 0
		}
		i += j
		switch {
		case i+1 < len(b) && b[i+1] == '\n':
			return i + 1, i + 2
		case i+2 < len(b) && b[i+1] == '\r' && b[i+2] == '\n':
			return i + 1, i + 3
		}
	}
	return -1, 0
}

// head reads the lines of a message. The size of the body is -1 if it cannot be known.
func (p *Parser) head(b []byte) (m *Message, size int, bad *Malformed) {
	m = &Message{CSeq: -1}
	request := !isAnswer(b)
	fail := func(status int, what string) {
		if bad == nil {
			bad = &Malformed{Status: status, Request: request, What: what}
		}
	}
	text := string(b)
	first, rest, _ := strings.Cut(text, "\n")
	if e := m.first(strings.TrimSuffix(first, "\r"), request); e != "" {
		status := StatusBadRequest
		if e == badVersion {
			status = StatusVersion
		}
		fail(status, e)
	}
	lengths := 0
	for len(rest) > 0 {
		var l string
		l, rest, _ = strings.Cut(rest, "\n")
		l = strings.TrimSuffix(l, "\r")
		if len(l) > p.Bounds.Line {
			fail(StatusBadRequest, "header line too long")
			continue
		}
		if l != "" && (l[0] == ' ' || l[0] == '\t') { // a folded line
			if n := len(m.Header); n > 0 {
				m.Header[n-1].Value += " " + strings.TrimSpace(l)
			} else {
				fail(StatusBadRequest, "folded line before the first header")
			}
			continue
		}
		name, value, ok := strings.Cut(l, ":")
		if !ok || !token(name) {
			fail(StatusBadRequest, "header line without a name")
			continue
		}
		value = strings.TrimSpace(value)
		switch {
		case strings.EqualFold(name, "CSeq"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				fail(StatusBadRequest, "CSeq is not a number")
			} else {
				m.CSeq = int(n)
			}
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if lengths++; err != nil || lengths > 1 && int(n) != size {
				return m, -1, &Malformed{StatusBadRequest, m.CSeq, request, "Content-Length is not one number"}
			}
			size = int(n)
		case len(m.Header) == p.Bounds.Fields:
			fail(StatusBadRequest, "too many header lines")
		default:
			m.Header = append(m.Header, Field{name, value})
		}
	}
	if request && m.CSeq < 0 {
		fail(StatusBadRequest, "no CSeq")
	}
	if bad != nil {
		bad.CSeq = m.CSeq
	}
	return m, size, bad
}

const badVersion = "version is not " + Version

// first reads a request line or a status line (RFC 2326 sections 6.1, 7.1); empty if it is well formed.
func (m *Message) first(l string, request bool) string {
	if !request {
		version, rest, _ := strings.Cut(l, " ")
		code, reason, _ := strings.Cut(rest, " ")
		n, err := strconv.ParseUint(code, 10, 16)
		if err != nil || len(code) != 3 || n < 100 || n > 599 {
			return "status line without a status"
		}
		m.Status, m.Reason = int(n), reason
		if version != Version {
			return badVersion
		}
		return ""
	}
	w := strings.Fields(l)
	if len(w) != 3 || !token(w[0]) {
		return "request line is not METHOD URI VERSION"
	}
	m.Method, m.URI = w[0], w[1]
	if w[2] != Version {
		if strings.HasPrefix(w[2], "RTSP/") {
			return badVersion
		}
		return "request line is not METHOD URI VERSION"
	}
	return ""
}

// token tells whether s is a token (RFC 2326 section 15.1).
func token(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 127 || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
