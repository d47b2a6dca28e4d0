package rtsp

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Bounds limits the memory that the peer of a connection can make a parser use.
type Bounds struct {
	LineBytes, HeadBytes    int  // bytes of one line, and of a message without its body
	HeaderFields, BodyBytes int  // number of header fields, bytes of a body
	RetainedBytes           int  // capacity above which an emptied buffer is released
	NoFrames                bool // treat interleaved frames as malformed
}

// DefaultBounds is a set of bounds that leaves ample room: RTSP messages are usually a fraction of them.
var DefaultBounds = Bounds{LineBytes: 2048, HeadBytes: 8192, HeaderFields: 48, BodyBytes: 32768, RetainedBytes: 4096}

// Handler receives the messages and frames that a parser finds, in order. The parser owns their memory: a frame's
// payload and a message's body are valid until the call returns.
type Handler interface {
	Message(m *Message)
	Frame(channel byte, payload []byte)
	// Malformed receives a malformed message whose end is known, so that the connection can continue.
	Malformed(e *MalformedError)
}

// MalformedError is the error for a malformed message.
type MalformedError struct {
	Status, CSeq int    // status for the response; CSeq is -1 if it could not be read
	Request      bool   // the message is a request, so a response is due
	Problem      string // description, for logs
}

// Error describes the problem together with the status for the response.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed message (%d): %s", e.Status, e.Problem)
}

// Parser parses one direction of a connection. Its zero value with Bounds set is ready for use.
type Parser struct {
	Bounds    Bounds
	pending   []byte // the incomplete message or frame
	scanned   int    // bytes of pending known not to hold the end of a message head
	needed    int    // bytes of the incomplete message with its body, 0 until its head is complete
	skipBytes int    // remaining bytes of a body that is discarded
	stopped   bool
}

// BufferedBytes returns the number of buffered bytes of an incomplete message or frame.
func (p *Parser) BufferedBytes() int { return len(p.pending) }

// Incomplete reports whether a message or frame is incomplete.
func (p *Parser) Incomplete() bool { return len(p.pending) > 0 || p.skipBytes > 0 }

// Stop makes the parser discard all further input; a handler may call it.
func (p *Parser) Stop() { p.stopped = true }

// Feed parses further input. After an error the connection must be closed, as the start of the next message is
// unknown; the status that the error holds may still be sent.
func (p *Parser) Feed(b []byte, handler Handler) error {
	if p.stopped {
		return nil
	}
	if len(p.pending) > 0 && p.pending[0] == '$' { // complete a frame first, without copying the input after it
		n := min(max(4-len(p.pending), 0), len(b))
		p.pending, b = append(p.pending, b[:n]...), b[n:]
		if len(p.pending) < 4 {
			return nil
		}
		size := 4 + int(p.pending[2])<<8 + int(p.pending[3])
		n = min(size-len(p.pending), len(b))
		p.pending, b = append(p.pending, b[:n]...), b[n:]
		if len(p.pending) < size {
			return nil
		}
		handler.Frame(p.pending[1], p.pending[4:size])
		if p.pending = p.pending[:0]; cap(p.pending) > p.Bounds.RetainedBytes {
			p.pending = nil
		}
		if p.stopped || len(b) == 0 {
			return nil
		}
	}
	kept := len(p.pending) > 0
	if kept {
		p.pending = append(p.pending, b...)
		b = p.pending
	}
	done, err := p.parseMessages(b, handler)
	if err != nil || p.stopped {
		p.pending, p.stopped = nil, true
		return err
	}
	left := b[done:]
	switch {
	case len(left) == 0:
		if cap(p.pending) > p.Bounds.RetainedBytes {
			p.pending = nil
		}
		p.pending = p.pending[:0]
	case kept:
		p.pending = p.pending[:copy(p.pending, left)]
	default:
		p.pending = append(p.pending[:0], left...)
	}
	return nil
}

// parseMessages parses the complete messages and frames and returns the number of bytes used.
func (p *Parser) parseMessages(b []byte, handler Handler) (done int, err error) {
	for !p.stopped {
		if n := min(p.skipBytes, len(b)-done); n > 0 {
			p.skipBytes -= n
			done += n
		}
		if p.skipBytes > 0 || done == len(b) {
			return done, nil
		}
		switch b[done] {
		case '$':
			if p.Bounds.NoFrames {
				return done, &MalformedError{StatusBadRequest, -1, true, "interleaved frame not allowed"}
			}
			frame := b[done:]
			if len(frame) < 4 {
				return done, nil
			}
			size := 4 + int(frame[2])<<8 + int(frame[3])
			if len(frame) < size {
				return done, nil
			}
			handler.Frame(frame[1], frame[4:size])
			done += size
		case '\r', '\n': // blank lines between messages (RFC 2326 section 4)
			done++
		default:
			n, err := p.parseMessage(b[done:], handler)
			if n == 0 || err != nil {
				return done, err
			}
			done += n
		}
	}
	return done, nil
}

// parseMessage parses one message and returns its size, or 0 if more input is needed.
func (p *Parser) parseMessage(b []byte, handler Handler) (int, error) {
	if len(b) < p.needed {
		return 0, nil
	}
	p.needed = 0
	if first := bytes.IndexByte(b, '\n'); first > p.Bounds.LineBytes || first < 0 && len(b) > p.Bounds.LineBytes {
		return 0, &MalformedError{StatusURITooLong, -1, !isResponse(b), "start line too long"}
	}
	end, next := findHeadEnd(b, p.scanned)
	if end > p.Bounds.HeadBytes || end < 0 && len(b) > p.Bounds.HeadBytes+3 {
		return 0, &MalformedError{StatusBadRequest, -1, !isResponse(b), "message head too long"}
	}
	if end < 0 {
		p.scanned = max(len(b)-3, 0)
		return 0, nil
	}
	message, size, malformed := p.parseHead(b[:end])
	if size < 0 { // the start of the next message is unknown
		return 0, malformed
	}
	if size > p.Bounds.BodyBytes {
		malformed = &MalformedError{StatusEntityTooLarge, malformed.cseq(message), !isResponse(b), "message body too long"}
		if size > 16*p.Bounds.BodyBytes {
			return 0, malformed
		}
		p.skipBytes = size
	} else if len(b)-next < size {
		p.scanned, p.needed = max(end-4, 0), next+size
		return 0, nil
	} else if malformed == nil {
		message.Body = b[next : next+size]
		next += size
	} else {
		next += size
	}
	p.scanned = 0
	if malformed != nil {
		handler.Malformed(malformed)
	} else {
		handler.Message(message)
	}
	return next, nil
}

// cseq returns the CSeq of the malformed message, or of m if e is nil.
func (e *MalformedError) cseq(m *Message) int {
	if e != nil {
		return e.CSeq
	}
	return m.CSeq
}

func isResponse(b []byte) bool { return bytes.HasPrefix(b, []byte("RTSP/")) }

// findHeadEnd finds the blank line that ends a message head. It returns the end of the head's lines and the start
// of the input after the blank line, or an end of -1 if there is no blank line yet.
func findHeadEnd(b []byte, from int) (end, next int) {
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

// parseHead parses the start line and header of a message. The size of its body is -1 if it is unknown.
func (p *Parser) parseHead(b []byte) (message *Message, size int, malformed *MalformedError) {
	message = &Message{CSeq: -1}
	request := !isResponse(b)
	fail := func(status int, problem string) {
		if malformed == nil {
			malformed = &MalformedError{Status: status, Request: request, Problem: problem}
		}
	}
	text := string(b)
	first, rest, _ := strings.Cut(text, "\n")
	if problem := message.parseStartLine(strings.TrimSuffix(first, "\r"), request); problem != "" {
		status := StatusBadRequest
		if problem == unsupportedVersion {
			status = StatusVersionNotSupported
		}
		fail(status, problem)
	}
	contentLengths := 0
	for len(rest) > 0 {
		var line string
		line, rest, _ = strings.Cut(rest, "\n")
		line = strings.TrimSuffix(line, "\r")
		if len(line) > p.Bounds.LineBytes {
			fail(StatusBadRequest, "header line too long")
			continue
		}
		if line != "" && (line[0] == ' ' || line[0] == '\t') { // folded header line
			if n := len(message.Header); n > 0 {
				message.Header[n-1].Value += " " + strings.TrimSpace(line)
			} else {
				fail(StatusBadRequest, "folded line before the first header field")
			}
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			fail(StatusBadRequest, "header line without a valid field name")
			continue
		}
		value = strings.TrimSpace(value)
		switch {
		case strings.EqualFold(name, "CSeq"):
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				fail(StatusBadRequest, "CSeq is not a number")
			} else {
				message.CSeq = int(n)
			}
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 31)
			if contentLengths++; err != nil || contentLengths > 1 && int(n) != size {
				return message, -1, &MalformedError{StatusBadRequest, message.CSeq, request, "Content-Length is not a single valid number"}
			}
			size = int(n)
		case len(message.Header) == p.Bounds.HeaderFields:
			fail(StatusBadRequest, "too many header fields")
		default:
			message.Header = append(message.Header, Field{name, value})
		}
	}
	if request && message.CSeq < 0 {
		fail(StatusBadRequest, "CSeq header missing")
	}
	if malformed != nil {
		malformed.CSeq = message.CSeq
	}
	return message, size, malformed
}

const unsupportedVersion = "protocol version is not " + Version

// parseStartLine parses a request line or a status line (RFC 2326 sections 6.1, 7.1). It returns a description of
// the problem, empty if the line is well formed.
func (m *Message) parseStartLine(line string, request bool) string {
	if !request {
		version, rest, _ := strings.Cut(line, " ")
		code, reason, _ := strings.Cut(rest, " ")
		n, err := strconv.ParseUint(code, 10, 16)
		if err != nil || len(code) != 3 || n < 100 || n > 599 {
			return "status line without a valid status code"
		}
		m.Status, m.Reason = int(n), reason
		if version != Version {
			return unsupportedVersion
		}
		return ""
	}
	words := strings.Fields(line)
	if len(words) != 3 || !isToken(words[0]) {
		return "request line is not of the form METHOD URI VERSION"
	}
	m.Method, m.URI = words[0], words[1]
	if words[2] != Version {
		if strings.HasPrefix(words[2], "RTSP/") {
			return unsupportedVersion
		}
		return "request line is not of the form METHOD URI VERSION"
	}
	return ""
}

// isToken reports whether s is a token (RFC 2326 section 15.1).
func isToken(s string) bool {
	for i := range len(s) {
		if char := s[i]; char <= ' ' || char >= 127 || strings.IndexByte(`()<>@,;:\"/[]?={}`, char) >= 0 {
			return false
		}
	}
	return s != ""
}
