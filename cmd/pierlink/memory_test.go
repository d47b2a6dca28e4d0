//go:build !race

package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// hostileKinds returns ways in which clients make a manager hold memory.
func (o *overloadTest) hostileKinds() map[string]func(net.Conn) {
	shortFields := strings.Repeat("a:\r\n", 25)
	large := o.request("SETUP", setupHeader+"\r\n"+shortFields, strings.Repeat("x", 16<<10))
	atOnce := func(count int, message func() string) func(net.Conn) {
		return func(conn net.Conn) {
			go discard(conn)
			var batch strings.Builder
			for range count {
				batch.WriteString(message())
			}
			_, _ = io.WriteString(conn, batch.String())
			time.Sleep(300 * time.Millisecond)
		}
	}
	return map[string]func(net.Conn){
		"messages that come byte by byte": func(conn net.Conn) {
			go discard(conn)
			for i := range len(large) - 1 {
				if _, err := io.WriteString(conn, large[i:i+1]); err != nil || o.stopped() {
					return
				}
				time.Sleep(100 * time.Microsecond)
			}
		},
		"messages that stop before their end": func(conn net.Conn) {
			_, _ = io.WriteString(conn, large[:len(large)-1])
			discard(conn)
		},
		"heads of many short fields": o.fullSpeed(func() string { return o.request("OPTIONS", shortFields, "") }),
		"heads of too many fields": func(conn net.Conn) {
			_, _ = io.WriteString(conn, o.request("OPTIONS", strings.Repeat("a:\n", 1300), ""))
			discard(conn)
		},
		"hundreds of set-ups at once": atOnce(300, o.setup),
		"large set-ups at once": atOnce(20, func() string {
			return o.request("SETUP", setupHeader+"\r\n"+shortFields, strings.Repeat("x", 15<<10))
		}),
		"set-ups that are given up":  o.fullSpeed(o.withdrawn),
		"sessions that play already": o.fullSpeed(func() string { return o.request("SETUP", setupHeader+";at:s-00000064\r\n", "sdp") }),
		"answers that nobody reads": func(conn net.Conn) {
			text := strings.Repeat(o.request("OPTIONS", "", ""), 100)
			for !o.stopped() {
				_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
			}
		},
	}
}

// Guards against a manager that is killed for its memory while hundreds of clients do their worst: it stays within its
// limit, and answers the usual client.
func TestHundredsOfClientsStayWithinMemory(t *testing.T) {
	limits := managerLimits{descriptors: 1024, memoryMB: 32, abandonS: 4, effect: "read_like"}
	for name := range (&overloadTest{}).hostileKinds() {
		t.Run(name, func(t *testing.T) {
			o := newOverloadTest(t, limits)
			o.hostile(300, o.hostileKinds()[name])
			result := o.usualClient(3 * time.Second)
			o.end()
			t.Logf("%+v", result)
			if result.peakMemoryMB > float64(limits.memoryMB) {
				t.Errorf("%.1f MB, the limit is %d", result.peakMemoryMB, limits.memoryMB)
			}
			if result.answered < result.asked {
				t.Errorf("%d of %d answered", result.answered, result.asked)
			}
		})
	}
}
