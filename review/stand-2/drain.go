package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases[10] = drainWhileConnecting }

// boxProxy stands before a media box and records when set-ups come to it.
type boxProxy struct {
	s      *site
	target string
	mu     sync.Mutex
	setups []time.Time
}

func (b *boxProxy) serve(ln net.Listener) {
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.s.rec.line("box-1: connection from %s", conn.RemoteAddr())
			go b.relay(conn)
		}
	}()
}

// count returns how many set-ups have come.
func (b *boxProxy) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.setups)
}

func (b *boxProxy) relay(conn net.Conn) {
	defer conn.Close()
	box, err := net.Dial("tcp", b.target)
	if err != nil {
		return
	}
	defer box.Close()
	go func() {
		_, _ = io.Copy(conn, box)
		_ = conn.Close()
	}()
	buffer, first := make([]byte, 16<<10), true
	for {
		n, err := conn.Read(buffer)
		if n > 0 && first {
			first = false
			line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
			b.s.rec.line("box-1: %s", line)
			if strings.HasPrefix(line, "SETUP ") {
				b.mu.Lock()
				b.setups = append(b.setups, time.Now())
				b.mu.Unlock()
			}
		}
		if n > 0 {
			if _, err := box.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// drainWhileConnecting: a session manager is told that a media box drains while its connections to that box come up late.
// No set-up may reach the box later than the drain grace after the session manager took the list.
func drainWhileConnecting(recordPath string, trouble bool) (bool, *world, error) {
	const (
		grace = 500*time.Millisecond + 50*time.Millisecond // of lecturas-lima; on sockets every time limit is 50 ms longer
		late  = 600 * time.Millisecond                     // the queue of the box is full for so long
	)
	s, err := newSite(recordPath)
	if err != nil {
		return false, nil, err
	}
	defer s.end()
	boxes, err := s.boxes()
	if err != nil {
		return false, s.world, err
	}
	proxy := &boxProxy{s: s, target: boxes[0]}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, s.world, err
	}
	boxes[0] = ln.Addr().String()
	proxy.serve(ln)
	// A plan that is paid for at set-up, as en-vivo at lecturas-lima: its only try may take the whole startup target.
	if err := s.writeSettings("repeat = \"harmless\"\nstartup = \"1.5s\"", "repeat = \"unsafe\"\nstartup = \"1.5s\""); err != nil {
		return false, s.world, err
	}
	if err := s.writeServers(boxes); err != nil {
		return false, s.world, err
	}
	manager, err := s.serve("manager")
	if err != nil {
		return false, s.world, err
	}
	var players []*player
	ask := func(count int, name string) error {
		for n := range count {
			p, err := s.play(fmt.Sprintf("%s-%d", name, n+1), "live-lesson", fmt.Sprintf("%s%d", name, n+1), "")
			if err != nil {
				return err
			}
			players = append(players, p)
		}
		return nil
	}
	for round := 1; ; round++ { // until both boxes are in use
		if err := ask(6, fmt.Sprintf("early-%d", round)); err != nil {
			return false, s.world, err
		}
		for _, p := range players {
			if status := p.answer(6 * time.Second); status != 200 {
				return false, s.world, fmt.Errorf("%s was answered with %d", p.name, status)
			}
		}
		if proxy.count() > 0 {
			break
		}
		if round == 5 {
			return false, s.world, fmt.Errorf("no set-up comes to the box in question")
		}
		time.Sleep(time.Second)
	}
	if trouble {
		_ = ln.Close()
		door, err := newLateDoor(boxes[0])
		if err != nil {
			return false, s.world, err
		}
		s.rec.line("box-1: connections come up late")
		time.AfterFunc(late, func() {
			s.rec.line("box-1: connections come up as usual")
			if ln, err := door.open(); err == nil {
				proxy.serve(ln)
			} else {
				s.rec.line("box-1: %v", err)
			}
		})
	}
	if err := ask(16, "viewer"); err != nil {
		return false, s.world, err
	}
	if err := s.writeServers(boxes, 0); err != nil {
		return false, s.world, err
	}
	s.rec.line("the server list says now that box-1 drains")
	told, err := manager.awaitLog(`"msg":"server list reloaded"`, 3*time.Second)
	if err != nil {
		return false, s.world, err
	}
	s.rec.line("the session manager has taken the list")
	time.Sleep(300 * time.Millisecond)
	if err := ask(4, "later"); err != nil {
		return false, s.world, err
	}
	time.Sleep(4 * time.Second)
	proxy.mu.Lock()
	tooLate, most := 0, time.Duration(0)
	for _, at := range proxy.setups {
		if after := at.Sub(told); after > grace {
			tooLate++
			most = max(most, after)
		}
	}
	total := len(proxy.setups)
	proxy.mu.Unlock()
	s.rec.say("%d set-ups came to box-1, %d of them later than %v after the list was taken, the last %v after it", total, tooLate, grace, most.Round(time.Millisecond))
	return tooLate > 0, s.world, nil
}
