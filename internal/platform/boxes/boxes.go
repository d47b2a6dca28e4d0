// Package boxes encodes and decodes the JSON lines that session managers and video servers exchange. Input may be split
// at any byte and is limited in size. The package does not interpret the messages.
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

// MaxMessageSize is the maximum size of a message in bytes.
const MaxMessageSize = 16 << 10

// The types of message, as written on the wire.
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

// Message is one message, which is one line on the wire.
type Message struct {
	Op          string            // one of the types above
	SessionID   string            // 16 hex digits
	Fields      map[string]string // type-specific fields; numbers keep their written form
	Cause       int               // cause code, 0 if there is none
	Description string            // session description, as sent by the viewer or the server
}

// wireMessage is the JSON form of a Message.
type wireMessage struct {
	Op          string            `json:"op"`
	SessionID   string            `json:"call"`
	Fields      map[string]string `json:"with"`
	Cause       *int              `json:"why,omitempty"`
	Description string            `json:"desc,omitempty"`
}

// Append appends the encoded message with its line feed to dst. The cause is written only for the types that have one.
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
	_ = encoder.Encode(wire) // strings and numbers can always be encoded
	return append(dst, buf.Bytes()...)
}

// Parse decodes one line.
func Parse(line []byte) (*Message, error) {
	if !utf8.Valid(line) {
		return nil, errors.New("message is not valid UTF-8")
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
		return nil, fmt.Errorf("message type %.20q with session ID %.20q: expected a type and 16 hex digits", raw.Op, raw.Call)
	}
	msg := &Message{Op: raw.Op, SessionID: raw.Call, Description: raw.Desc}
	if raw.Why != "" {
		cause, err := strconv.ParseInt(raw.Why.String(), 10, 32)
		if err != nil || cause < 0 {
			return nil, fmt.Errorf("cause %.20q: expected a non-negative 32-bit integer", raw.Why)
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
			return nil, fmt.Errorf("field %.20q: expected a string or a number", name)
		}
		if msg.Fields == nil {
			msg.Fields = make(map[string]string, len(raw.With))
		}
		msg.Fields[name] = text
	}
	return msg, nil
}

// ValidID reports whether s consists of 16 lower-case hex digits.
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

// ErrTooLong reports a line that exceeds MaxMessageSize.
var ErrTooLong = errors.New("line exceeds the maximum message size")

// Reader decodes the messages received on one connection.
type Reader struct {
	partial []byte
	stopped bool
}

// Buffered returns how many bytes of an incomplete line are held.
func (r *Reader) Buffered() int { return len(r.partial) }

// Stop makes the reader discard all further input.
func (r *Reader) Stop() { r.stopped, r.partial = true, nil }

// Feed decodes data and calls handle for each complete message. After an error the reader discards all further input.
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
