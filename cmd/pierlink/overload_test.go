package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// overloadTest is a manager process with a server that accepts all set-ups, a usual client, and hostile clients.
type overloadTest struct {
	t       *testing.T
	manager *managerProcess
	bus     *testBus
	server  *acceptingServer
	stop    chan struct{}
	clients sync.WaitGroup
	ids     atomic.Uint64
}

func newOverloadTest(t *testing.T, limits managerLimits) *overloadTest {
	bus, addr := newTestBus(t)
	o := &overloadTest{t: t, bus: bus, manager: startManagerWith(t, addr, limits), server: newAcceptingServer(t), stop: make(chan struct{})}
	if status := o.manager.optionsStatus(); status != "200" {
		t.Fatal(status)
	}
	for id := range uint32(2) { // those of the configuration are not needed
		bus.send(id+1, &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(id+1)), Port: 5060}, stateGone)
	}
	bus.send(100, o.server.addr(), stateReady)
	return o
}

func (o *overloadTest) stopped() bool {
	select {
	case <-o.stop:
		return true
	default:
		return false
	}
}

// hostile runs a number of hostile clients, each on one connection after another until the test ends.
func (o *overloadTest) hostile(count int, behave func(conn net.Conn)) {
	for range count {
		o.clients.Go(func() {
			for !o.stopped() {
				conn, err := net.Dial("tcp", o.manager.listen)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				behave(conn)
				_ = conn.Close()
			}
		})
	}
}

// end ends the manager, which still has much to read, and the hostile clients.
func (o *overloadTest) end() {
	close(o.stop)
	_ = o.manager.cmd.Process.Kill()
	o.clients.Wait()
}

// request returns a request with an ID of its own. The header may hold further lines.
func (o *overloadTest) request(method, header, body string) string {
	number := o.ids.Add(1) | 1<<60
	return fmt.Sprintf("%s rtsp://media/%016x RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\n%sContent-Length: %d\r\n\r\n%s", method, number, number, header, len(body), body)
}

const setupHeader = "Call-Kind: live\r\nAnswer-Within: 1500\r\nRouting-Data: home:0;copies:2;top:1;viewer:00000000b4d65521"

func (o *overloadTest) setup() string { return o.request("SETUP", setupHeader+"\r\n", "sdp") }

// ownMemoryMB returns the memory of the manager's process without pages of files.
func (o *overloadTest) ownMemoryMB() float64 {
	o.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", o.manager.cmd.Process.Pid))
	if err != nil {
		o.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	kb, err := strconv.Atoi(strings.Fields(after + " x")[0])
	if err != nil {
		o.t.Fatalf("the manager has ended: %s", o.manager.log.text.String())
	}
	return float64(kb) / 1024
}

// usualResult is what a usual client saw.
type usualResult struct {
	slowest                 time.Duration
	asked, answered, served int
	peakMemoryMB            float64
}

const usualInterval = 40 * time.Millisecond // between the set-ups of a usual client

// usualClient sets up a session at a usual pace for some time, on a connection of its own.
func (o *overloadTest) usualClient(duration time.Duration) (result usualResult) {
	o.t.Helper()
	conn, err := net.Dial("tcp", o.manager.listen)
	if err != nil {
		o.t.Fatal(err)
	}
	defer conn.Close()
	type answer struct {
		id, status string
		at         time.Time
	}
	answers := make(chan answer, 10000)
	go func() {
		in := bufio.NewReader(conn)
		status := ""
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "RTSP/1.0 ") {
				status = strings.Fields(line)[1]
			} else if id, ok := strings.CutPrefix(line, "Session: "); ok && status != "" {
				answers <- answer{strings.TrimSpace(id), status, time.Now()}
				status = ""
			}
		}
	}()
	asked := map[string]time.Time{}
	take := func(a answer) {
		at, ok := asked[a.id]
		if !ok {
			return
		}
		delete(asked, a.id)
		result.answered++
		if a.status == "200" {
			result.served++
		}
		result.slowest = max(result.slowest, a.at.Sub(at))
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(usualInterval) {
		text := o.setup()
		_, after, _ := strings.Cut(text, "Session: ")
		asked[after[:16]] = time.Now()
		result.asked++
		if _, err := io.WriteString(conn, text); err != nil {
			o.t.Fatal("the usual client's connection is closed:", err)
		}
		for len(answers) > 0 {
			take(<-answers)
		}
		result.peakMemoryMB = max(result.peakMemoryMB, o.ownMemoryMB())
	}
	for timeout := time.After(6 * time.Second); len(asked) > 0; {
		select {
		case a := <-answers:
			take(a)
		case <-timeout:
			return result
		}
	}
	return result
}

func discard(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// fullSpeed returns the behaviour of a client that sends messages without a pause, and reads what is sent to it.
func (o *overloadTest) fullSpeed(message func() string) func(net.Conn) {
	return func(conn net.Conn) {
		go discard(conn)
		var batch strings.Builder
		for !o.stopped() {
			batch.Reset()
			for range 100 {
				batch.WriteString(message())
			}
			if _, err := io.WriteString(conn, batch.String()); err != nil {
				return
			}
		}
	}
}

// withdrawn is a set-up that is given up at once.
func (o *overloadTest) withdrawn() string {
	setup := o.setup()
	_, after, _ := strings.Cut(setup, "Session: ")
	return setup + "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: " + after[:16] + "\r\nContent-Length: 0\r\n\r\n"
}

// Guards against late answers while one client sends at full speed: each connection brings no more than its share into a
// turn. The usual client's viewers wait for 1.5 s.
func TestOneClientAtFullSpeedDelaysNobody(t *testing.T) {
	for name, message := range map[string]func(o *overloadTest) string{
		"small requests":                  func(o *overloadTest) string { return o.request("OPTIONS", "", "") },
		"requests of an unknown kind":     func(o *overloadTest) string { return o.request("PLAY", "", "") },
		"unknown sessions":                func(o *overloadTest) string { return o.request("TEARDOWN", "", "") },
		"set-ups under ever new names":    (*overloadTest).setup,
		"set-ups that are given up":       (*overloadTest).withdrawn,
		"sessions that play already":      func(o *overloadTest) string { return o.request("SETUP", setupHeader+";at:s-00000064\r\n", "sdp") },
		"sessions at an unknown server":   func(o *overloadTest) string { return o.request("SETUP", setupHeader+";at:s-00000065\r\n", "sdp") },
		"answers that nobody waits for":   func(*overloadTest) string { return "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 0000000000000001\r\n\r\n" },
		"blank lines between no messages": func(*overloadTest) string { return "\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			o := newOverloadTest(t, managerLimits{descriptors: 256, memoryMB: 32, abandonS: 4, effect: "read_like"})
			o.hostile(1, o.fullSpeed(func() string { return message(o) }))
			result := o.usualClient(2 * time.Second)
			o.end()
			t.Logf("%+v", result)
			if limit := 1500 * time.Millisecond; result.slowest > limit || result.answered < result.asked {
				t.Errorf("%d of %d answered, the slowest after %v", result.answered, result.asked, result.slowest)
			}
		})
	}
}
