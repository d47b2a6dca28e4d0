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
const Longest = 16 << 10

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
	Op   string
	Call string            // 16 hex digits
	With map[string]string // fields, numbers as they were written
	Why  int               // the cause, 0 where there is none
	Desc string
}

type written struct {
	Op   string            `json:"op"`
	Call string            `json:"call"`
	With map[string]string `json:"with"`
	Why  *int              `json:"why,omitempty"`
	Desc string            `json:"desc,omitempty"`
}

// Append writes the message with its line feed behind dst. The cause goes with the types that have one.
func (m *Message) Append(dst []byte) []byte {
	w := written{Op: m.Op, Call: m.Call, With: m.With, Desc: m.Desc}
	if w.With == nil {
		w.With = map[string]string{}
	}
	if m.Op == End || m.Op == Test || m.Op == Tested {
		w.Why = &m.Why
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	_ = e.Encode(w) // strings and numbers always can be
	return append(dst, b.Bytes()...)
}

// Parse reads one line.
func Parse(line []byte) (*Message, error) {
	if !utf8.Valid(line) {
		return nil, errors.New("not UTF-8")
	}
	var r struct {
		Op, Call, Desc string
		With           map[string]json.RawMessage
		Why            json.Number
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return nil, err
	}
	if r.Op == "" || !ID(r.Call) {
		return nil, fmt.Errorf("type %.20q, id %.20q", r.Op, r.Call)
	}
	m := &Message{Op: r.Op, Call: r.Call, Desc: r.Desc}
	if r.Why != "" {
		n, err := strconv.ParseInt(r.Why.String(), 10, 32)
		if err != nil || n < 0 {
			return nil, fmt.Errorf("cause %.20q", r.Why)
		}
		m.Why = int(n)
	}
	for k, v := range r.With {
		s := string(v)
		if v[0] == '"' {
			if err := json.Unmarshal(v, &s); err != nil {
				return nil, err
			}
		} else if c := v[0]; c != '-' && (c < '0' || c > '9') {
			return nil, fmt.Errorf("field %.20q is no string or number", k)
		}
		if m.With == nil {
			m.With = make(map[string]string, len(r.With))
		}
		m.With[k] = s
	}
	return m, nil
}

// ID tells whether s is 16 hex digits.
func ID(s string) bool {
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
var ErrLong = errors.New("line too long")

// Reader reads one direction of a connection.
type Reader struct {
	rest []byte
	dead bool
}

// Held is how many bytes of a line that is not whole are kept.
func (r *Reader) Held() int { return len(r.rest) }

// Stop makes the reader pass over what is still to come.
func (r *Reader) Stop() { r.dead, r.rest = true, nil }

// Feed reads on. After an error nothing more can be made of the connection.
func (r *Reader) Feed(b []byte, each func(*Message)) error {
	for len(b) > 0 && !r.dead {
		i := bytes.IndexByte(b, '\n')
		line := b
		if i >= 0 {
			line = b[:i]
		}
		if len(r.rest)+len(line) > Longest {
			r.Stop()
			return ErrLong
		}
		if i < 0 {
			r.rest = append(r.rest, b...)
			return nil
		}
		if len(r.rest) > 0 {
			line = append(r.rest, line...)
			r.rest = nil
		}
		b = b[i+1:]
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		m, err := Parse(line)
		if err != nil {
			r.Stop()
			return err
		}
		each(m)
	}
	return nil
}
