package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pierlink/internal/platform/boxes"
)

// The states of a server in an event of the bus.
const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 2
)

// testBus is the event bus for one manager. It sends a heartbeat each second.
type testBus struct {
	mu     sync.Mutex
	conn   net.Conn
	events [][]byte
}

func newTestBus(t *testing.T) (*testBus, string) {
	ln := listenLocal(t)
	bus := &testBus{events: [][]byte{nil}} // the first event is in the configuration
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var offset [8]byte
			if _, err := io.ReadFull(conn, offset[:]); err != nil {
				continue
			}
			bus.mu.Lock()
			bus.conn = conn
			for _, event := range bus.events[binary.BigEndian.Uint64(offset[:]):] {
				_, _ = conn.Write(event)
			}
			bus.mu.Unlock()
		}
	}()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				bus.mu.Lock()
				bus.write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, 9), uint64(len(bus.events))), 0)
				bus.mu.Unlock()
			}
		}
	}()
	return bus, ln.Addr().String()
}

// write sends the head of a frame, its kind and records.
func (b *testBus) write(head []byte, kind byte, records ...byte) []byte {
	frame := append(append(head, kind), records...)
	if b.conn != nil {
		_, _ = b.conn.Write(frame)
	}
	return frame
}

// send sends an event with the new state of one server that has run for long.
func (b *testBus) send(id uint32, addr *net.TCPAddr, state byte) {
	b.sendStarted(id, addr, state, time.Time{})
}

// sendStarted sends an event with the new state of one server, and its start unless that is zero.
func (b *testBus) sendStarted(id uint32, addr *net.TCPAddr, state byte, started time.Time) {
	startedMS := uint64(0)
	if !started.IsZero() {
		startedMS = uint64(started.UnixMilli())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	record := append(binary.BigEndian.AppendUint32(nil, id), addr.IP.To4()...)
	record = append(binary.BigEndian.AppendUint16(record, uint16(addr.Port)), state, 0, 0, 0, 0, 0, 0, 3, 0xe8)
	record = binary.BigEndian.AppendUint64(record, startedMS)
	head := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, uint32(9+len(record))), uint64(len(b.events)+1))
	b.events = append(b.events, b.write(head, 2, record...))
}

// acceptingServer accepts all offers and counts them.
type acceptingServer struct {
	ln     net.Listener
	offers atomic.Int64
	silent atomic.Bool // it does not answer

	process       atomic.Int64 // number of the process that accepts connections; an earlier one has vanished without a reset
	offersToEnded atomic.Int64 // on connections of an earlier process
}

func newAcceptingServer(t *testing.T) *acceptingServer {
	server := &acceptingServer{ln: listenLocal(t)}
	go func() {
		for {
			conn, err := server.ln.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (s *acceptingServer) addr() *net.TCPAddr { return s.ln.Addr().(*net.TCPAddr) }

func (s *acceptingServer) serve(conn net.Conn) {
	defer conn.Close()
	process := s.process.Load()
	reader, buffer := &boxes.Reader{}, make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_ = reader.Feed(buffer[:n], func(msg *boxes.Message) {
			if msg.Op == boxes.Offer {
				s.offers.Add(1)
				ended := process != s.process.Load()
				if ended {
					s.offersToEnded.Add(1)
				}
				if ended || s.silent.Load() {
					return
				}
				_, _ = conn.Write((&boxes.Message{Op: boxes.Accept, SessionID: msg.SessionID, Description: "x\r\n"}).Append(nil))
			}
		})
	}
}

// pauseTest is a manager process, its bus and connections from viewers.
type pauseTest struct {
	t       *testing.T
	manager *managerProcess
	bus     *testBus
	viewers []net.Conn
	answers []chan string // status of the answer to each set-up of a viewer
	setups  int
}

func newPauseTest(t *testing.T, viewers int) *pauseTest {
	bus, addr := newTestBus(t)
	p := &pauseTest{t: t, bus: bus, manager: startManager(t, addr)}
	if status := p.manager.optionsStatus(); status != "200" {
		t.Fatal(status)
	}
	for range viewers {
		conn, err := net.Dial("tcp", p.manager.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		answers := make(chan string, 100)
		p.viewers, p.answers = append(p.viewers, conn), append(p.answers, answers)
		go func() {
			in := bufio.NewReader(conn)
			for {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				if strings.HasPrefix(line, "RTSP/1.0 ") {
					answers <- strings.Fields(line)[1]
				}
			}
		}()
	}
	for id := range uint32(2) { // those of the configuration are not needed
		bus.send(id+1, &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(id+1)), Port: 5060}, stateGone)
	}
	return p
}

// setup writes a set-up on each connection.
func (p *pauseTest) setup() {
	for _, conn := range p.viewers {
		p.setups++
		fmt.Fprintf(conn, "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nCall-Kind: live\r\nAnswer-Within: 300\r\n"+
			"Routing-Data: home:0;copies:2;top:1;viewer:00000000b4d65521\r\nContent-Length: 3\r\n\r\nsdp", p.setups)
	}
}

// statuses waits for an answer on each connection and counts them by status.
func (p *pauseTest) statuses() map[string]int {
	counts := map[string]int{}
	for _, answers := range p.answers {
		select {
		case status := <-answers:
			counts[status]++
		case <-time.After(testTimeout):
			p.t.Fatal("a set-up was not answered")
		}
	}
	return counts
}

// Guards against set-ups to draining servers after a pause of the process: the events of the bus that came meanwhile count before the set-ups that came
// meanwhile, also if the pause is longer than the bus may be silent.
func TestDrainDuringPauseIsKept(t *testing.T) {
	p := newPauseTest(t, 20)
	for round, pause := range []time.Duration{300 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second} {
		server, id := newAcceptingServer(t), uint32(100+round)
		p.bus.send(id, server.addr(), stateReady)
		for end := time.Now().Add(testTimeout); ; { // until the manager knows it
			p.setup()
			if p.statuses()["200"] > 0 {
				break
			}
			if time.Now().After(end) {
				t.Fatal("no set-up was served")
			}
		}
		p.manager.signal(syscall.SIGSTOP)
		before := server.offers.Load()
		p.bus.send(id, server.addr(), stateDraining)
		time.Sleep(pause)
		p.setup()
		p.manager.signal(syscall.SIGCONT)
		if statuses := p.statuses(); statuses["503"] != len(p.viewers) {
			t.Errorf("round %d, pause of %v: answers %v, want 503 to all", round, pause, statuses)
		}
		if late := server.offers.Load() - before; late > 0 {
			t.Errorf("round %d, pause of %v: %d set-ups were sent to a draining server", round, pause, late)
		}
	}
}
