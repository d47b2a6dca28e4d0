// Package rtsp implements a codec for RTSP 1.0 (RFC 2326): requests, responses and interleaved binary data
// (section 10.12) on one connection. Its parser is incremental and uses limited memory. Of RTSP 2.0 (RFC 7826),
// dialogues with boxes use the Pipelined-Requests header (section 18.33), which allows sending several requests
// of a session before its id is known.
package rtsp

import (
	"strconv"
	"strings"
)

// Version is the protocol's name and version on the wire.
const Version = "RTSP/1.0"

// Methods (RFC 2326 section 10).
const (
	Options      = "OPTIONS"
	Describe     = "DESCRIBE"
	Setup        = "SETUP"
	Play         = "PLAY"
	Pause        = "PAUSE"
	Teardown     = "TEARDOWN"
	GetParameter = "GET_PARAMETER"
	SetParameter = "SET_PARAMETER"
	Redirect     = "REDIRECT"
	Announce     = "ANNOUNCE"
)

// Status codes (RFC 2326 section 7.1.1).
const (
	StatusOK                   = 200
	StatusMoved                = 302
	StatusBadRequest           = 400
	StatusUnauthorized         = 401
	StatusForbidden            = 403
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusRequestTimeout       = 408
	StatusEntityTooLarge       = 413
	StatusURITooLong           = 414
	StatusParameterUnknown     = 451
	StatusNotEnoughBandwidth   = 453
	StatusSessionNotFound      = 454
	StatusNotValidInState      = 455
	StatusAggregateNotAllowed  = 459
	StatusUnsupportedTransport = 461
	StatusInternal             = 500
	StatusNotImplemented       = 501
	StatusUnavailable          = 503
	StatusVersionNotSupported  = 505
	StatusOptionNotSupported   = 551
)

var reasonPhrases = map[int]string{200: "OK", 302: "Moved Temporarily", 400: "Bad Request", 401: "Unauthorized",
	403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Time-out",
	413: "Request Entity Too Large", 414: "Request-URI Too Large", 415: "Unsupported Media Type",
	451: "Parameter Not Understood", 453: "Not Enough Bandwidth", 454: "Session Not Found",
	455: "Method Not Valid in This State", 459: "Aggregate operation not allowed",
	461: "Unsupported transport", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "RTSP Version not supported", 551: "Option not supported"}

// Field is one header field.
type Field struct{ Name, Value string }

// Message is a request (Method and URI are set) or a response (Status is set).
type Message struct {
	Method, URI string
	Status      int
	Reason      string
	CSeq        int // -1 for a response without one
	Header      []Field
	Body        []byte
}

// IsRequest reports whether the message is a request.
func (m *Message) IsRequest() bool { return m.Method != "" }

// Get returns the first header field of a name, ignoring case; empty if there is none.
func (m *Message) Get(name string) string {
	for i := range m.Header {
		if strings.EqualFold(m.Header[i].Name, name) {
			return m.Header[i].Value
		}
	}
	return ""
}

// With appends a header field, unless its value is empty, and returns the message.
func (m *Message) With(name, value string) *Message {
	if value != "" {
		m.Header = append(m.Header, Field{name, value})
	}
	return m
}

// NewRequest returns a request without header fields.
func NewRequest(method, uri string, cseq int) *Message {
	return &Message{Method: method, URI: uri, CSeq: cseq}
}

// NewResponse returns a response without header fields.
func NewResponse(status, cseq int) *Message {
	return &Message{Status: status, Reason: reasonPhrases[status], CSeq: cseq}
}

// Append appends the encoded message to dst. CSeq and Content-Length are encoded from CSeq and Body. A line break
// in a name or value is encoded as a space, to prevent header injection.
func (m *Message) Append(dst []byte) []byte {
	if m.IsRequest() {
		dst = appendSingleLine(appendSingleLine(dst, m.Method), " ")
		dst = append(appendSingleLine(dst, m.URI), " "+Version+"\r\n"...)
	} else {
		dst = append(dst, Version+" "...)
		dst = append(strconv.AppendInt(dst, int64(m.Status), 10), ' ')
		dst = append(appendSingleLine(dst, m.Reason), "\r\n"...)
	}
	if m.CSeq >= 0 {
		dst = append(dst, "CSeq: "...)
		dst = append(strconv.AppendInt(dst, int64(m.CSeq), 10), "\r\n"...)
	}
	for _, field := range m.Header {
		dst = append(appendSingleLine(dst, field.Name), ": "...)
		dst = append(appendSingleLine(dst, field.Value), "\r\n"...)
	}
	if len(m.Body) > 0 {
		dst = append(dst, "Content-Length: "...)
		dst = append(strconv.AppendInt(dst, int64(len(m.Body)), 10), "\r\n"...)
	}
	return append(append(dst, "\r\n"...), m.Body...)
}

// appendSingleLine appends s to dst with line breaks replaced by spaces.
func appendSingleLine(dst []byte, s string) []byte {
	for i := range len(s) {
		if s[i] == '\r' || s[i] == '\n' {
			dst = append(dst, ' ')
		} else {
			dst = append(dst, s[i])
		}
	}
	return dst
}

// AppendFrame appends an interleaved frame to dst (RFC 2326 section 10.12). Payloads over 65535 bytes do not fit
// into a frame and are dropped.
func AppendFrame(dst []byte, channel byte, payload []byte) []byte {
	if len(payload) > 0xffff {
		return dst
	}
	dst = append(dst, '$', channel, byte(len(payload)>>8), byte(len(payload)))
	return append(dst, payload...)
}
