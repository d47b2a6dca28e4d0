// Package boxes is the codec of the JSON lines that session managers and video servers exchange. It reads at any
// split of the bytes and within a bound, and knows nothing of what the messages are for.
package boxes

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Longest is how many bytes a message holds at most.
const MaxMessageSize = 16 << 10

// The types of message.
const (
	Offer    = "offer"
	Ringing  = "ringing"
	Accept   = "accept"
	End      = "end"
	Ended    = "ended"
	Test     = "test"
	Tested   = "tested"
	Info     = "info"
	Set      = "set"
	Redirect = "redirect"
)

// Message is one line.
type Message struct {
	Op          string
	SessionID   string            // 16 hex digits
	Fields      map[string]string // fields, numbers as they were written
	Cause       int               // the cause, 0 where there is none
	Description string
}

type wireMessage struct {
	Op          string            `json:"op"`
	SessionID   string            `json:"call"`
	Fields      map[string]string `json:"with"`
	Cause       *int              `json:"why,omitempty"`
	Description string            `json:"desc,omitempty"`
}

// Append writes the message with its line feed behind dst. The cause goes with the types that have one.
func (m *Message) Append(dst []byte) []byte {
	wire := wireMessage{Op: m.Op, SessionID: m.SessionID, Fields: m.Fields, Description: m.Description}
	if wire.Fields == nil {
		wire.Fields = map[string]string{}
	}
	if m.Op == End || m.Op == Test || m.Op == Tested {
		wire.Cause = &m.Cause
	}
	var buf bytes.Buffer
	encoder := json.NewEncoder(&buf)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(wire) // strings and numbers always can be
	return append(dst, buf.Bytes()...)
}

// Parse reads one line.
func Parse(line []byte) (*Message, error) {
	if !utf8.Valid(line) {
		return nil, errors.New("not UTF-8")
	}
	var raw struct {
		Op, Call, Desc string
		With           map[string]json.RawMessage
		Why            json.Number
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return nil, err
	}
	if raw.Op == "" || !ValidID(raw.Call) {
		return nil, fmt.Errorf("type %.20q, id %.20q", raw.Op, raw.Call)
	}
	msg := &Message{Op: raw.Op, SessionID: raw.Call, Description: raw.Desc}
	if raw.Why != "" {
		cause, err := strconv.ParseInt(raw.Why.String(), 10, 32)
		if err != nil || cause < 0 {
			return nil, fmt.Errorf("cause %.20q", raw.Why)
		}
		msg.Cause = int(cause)
	}
	for name, value := range raw.With {
		text := string(value)
		if value[0] == '"' {
			if err := json.Unmarshal(value, &text); err != nil {
				return nil, err
			}
		} else if first := value[0]; first != '-' && (first < '0' || first > '9') {
			return nil, fmt.Errorf("field %.20q is no string or number", name)
		}
		if msg.Fields == nil {
			msg.Fields = make(map[string]string, len(raw.With))
		}
		msg.Fields[name] = text
	}
	return msg, nil
}

// ID tells whether s is 16 hex digits.
func ValidID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if strings.IndexByte("0123456789abcdef", s[i]) < 0 {
			return false
		}
	}
	return true
}

// ErrLong is a line beyond the bound.
var ErrTooLong = errors.New("line too long")

// Reader reads one direction of a connection.
type Reader struct {
	partial []byte
	stopped bool
}

// Held is how many bytes of a line that is not whole are kept.
func (r *Reader) Buffered() int { return len(r.partial) }

// Stop makes the reader pass over what is still to come.
func (r *Reader) Stop() { r.stopped, r.partial = true, nil }

// Feed reads on. After an error nothing more can be made of the connection.
func (r *Reader) Feed(data []byte, handle func(*Message)) error {
	for len(data) > 0 && !r.stopped {
		newline := bytes.IndexByte(data, '\n')
		line := data
		if newline >= 0 {
			line = data[:newline]
		}
		if len(r.partial)+len(line) > MaxMessageSize {
			r.Stop()
			return ErrTooLong
		}
		if newline < 0 {
			r.partial = append(r.partial, data...)
			return nil
		}
		if len(r.partial) > 0 {
			line = append(r.partial, line...)
			r.partial = nil
		}
		data = data[newline+1:]
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		msg, err := Parse(line)
		if err != nil {
			r.Stop()
			return err
		}
		handle(msg)
	}
	return nil
}
