package rtsp

import (
	"slices"
	"strconv"
	"strings"
)

// Transport is one transport specification of a Transport header (RFC 2326 section 12.39).
type Transport struct {
	Profile     string // for example RTP/AVP/TCP
	Interleaved bool   // the specification names channels
	RTP, RTCP   byte   // the interleaved channels
}

// IsTCP reports whether the profile is RTP interleaved on the RTSP connection.
func (t Transport) IsTCP() bool { return strings.EqualFold(t.Profile, "RTP/AVP/TCP") }

// String returns the specification as a header value.
func (t Transport) String() string {
	s := t.Profile + ";unicast"
	if t.Interleaved {
		s += ";interleaved=" + strconv.Itoa(int(t.RTP)) + "-" + strconv.Itoa(int(t.RTCP))
	}
	return s
}

// ParseTransports parses a Transport header into its specifications, in the client's order. It leaves out multicast
// ones and those with malformed channels.
func ParseTransports(value string) (choices []Transport) {
	for spec := range strings.SplitSeq(value, ",") {
		parts := strings.Split(spec, ";")
		transport := Transport{Profile: strings.TrimSpace(parts[0])}
		ok := transport.Profile != ""
		for _, parameter := range parts[1:] {
			k, v, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			switch strings.ToLower(k) {
			case "multicast":
				ok = false
			case "interleaved":
				lo, hi, hasRTCP := strings.Cut(v, "-")
				rtpChannel, err := strconv.ParseUint(lo, 10, 8)
				rtcpChannel := rtpChannel + 1
				if hasRTCP && err == nil {
					rtcpChannel, err = strconv.ParseUint(hi, 10, 8)
				}
				ok = ok && err == nil && rtpChannel != rtcpChannel && rtcpChannel < 256
				transport.Interleaved, transport.RTP, transport.RTCP = true, byte(rtpChannel), byte(rtcpChannel)
			}
		}
		if ok {
			choices = append(choices, transport)
		}
	}
	return choices
}

// ParseSession parses a Session header (RFC 2326 section 12.37) into the id and the timeout in seconds, 60 by default.
func ParseSession(value string) (id string, timeout int) {
	id, rest, _ := strings.Cut(value, ";")
	timeout = 60
	for parameter := range strings.SplitSeq(rest, ";") {
		if k, v, ok := strings.Cut(strings.TrimSpace(parameter), "="); ok && strings.EqualFold(k, "timeout") {
			if seconds, err := strconv.ParseUint(v, 10, 31); err == nil && seconds > 0 {
				timeout = int(seconds)
			}
		}
	}
	return strings.TrimSpace(id), timeout
}

// ParseParameters parses a text/parameters body: one `name: value` per line (RFC 2326 section 10.8). A line without a
// colon names a requested parameter; its value is empty.
func ParseParameters(body []byte) (fields []Field) {
	for line := range strings.SplitSeq(string(body), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			k, v, _ := strings.Cut(line, ":")
			fields = append(fields, Field{strings.TrimSpace(k), strings.TrimSpace(v)})
		}
	}
	return fields
}

// AppendParameters appends a text/parameters body to dst.
func AppendParameters(dst []byte, fields ...Field) []byte {
	for _, field := range fields {
		dst = append(append(append(append(dst, field.Name...), ": "...), field.Value...), "\r\n"...)
	}
	return dst
}

// ParsePairs parses a header value of the form k=v;k=v. Keys are converted to lower case.
func ParsePairs(value string) (pairs []Field) {
	for pair := range strings.SplitSeq(value, ";") {
		if k, v, _ := strings.Cut(strings.TrimSpace(pair), "="); k != "" {
			pairs = append(pairs, Field{strings.ToLower(k), v})
		}
	}
	return pairs
}

// JoinMethods returns the value of a Public header that lists the methods (RFC 2326 section 12.28).
func JoinMethods(methods ...string) string { return strings.Join(slices.Clip(methods), ", ") }
