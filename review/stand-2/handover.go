//go:build review

package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

func init() { cases[10] = lateHandover }

// lateDoor is a listening socket that answers no connection until it is opened: its queue is full, so that the system drops
// what asks for one.
type lateDoor struct {
	fd      int
	addr    string
	fillers []net.Conn
}

func newLateDoor(addr string) (*lateDoor, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	sa := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(sa.Addr[:], tcp.IP.To4())
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, sa); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	d := &lateDoor{fd: fd, addr: addr}
	for range 8 { // until one is not answered
		conn, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return d, nil
		}
		d.fillers = append(d.fillers, conn)
	}
	return nil, fmt.Errorf("the queue of a listening socket cannot be filled on this machine")
}

// open lets connections come up, from now on as usual. It returns the socket to accept on.
func (d *lateDoor) open() (net.Listener, error) {
	if err := syscall.Listen(d.fd, 128); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(d.fd), "listener")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	for _, conn := range d.fillers {
		other, err := ln.Accept()
		if err != nil {
			return nil, err
		}
		_ = conn.Close()
		_ = other.Close()
	}
	return ln, nil
}

// lateHandover: sessions that play already are handed to a session manager some seconds after its start. The connections to
// two of the thirteen video servers come up late. No session may be released to its viewer while it stands.
func lateHandover(recordPath string, trouble bool) (bool, *world, error) {
	const (
		untilReady = 8 * time.Second // the session managers are ready later than this one
		late       = 600 * time.Millisecond
		each       = 3 // sessions at a server
	)
	w, err := newFleet(recordPath, 13)
	if err != nil {
		return false, w, err
	}
	for _, s := range w.servers {
		go s.tellRegularly(4500*time.Millisecond, 800*time.Millisecond)
	}
	type handed struct {
		id, title string
		server    *videoServer
	}
	var all []handed
	for i, s := range w.servers {
		for range each {
			h := handed{w.newID(), title(i), s}
			s.mu.Lock()
			s.sessions[h.id] = &boxSession{id: h.id, class: "live", title: h.title, rung: 1, conn: nil, stands: true, standsAt: time.Now(), ends: time.Now().Add(time.Hour)}
			s.mu.Unlock()
			w.holder[h.id] = s
			all = append(all, h)
		}
	}
	m := &manager{name: "n0", waitBefore: untilReady}
	if err := w.startManager(m); err != nil {
		return false, w, err
	}
	link, err := w.connectViewer("viewers", m.listen)
	if err != nil {
		return false, w, err
	}
	wrong := w.watchReleases()
	if trouble {
		for _, s := range w.servers[:2] {
			_ = s.ln.Close()
			door, err := newLateDoor(s.addr)
			if err != nil {
				return false, w, err
			}
			w.rec.line("%s: connections come up late, by %v", s.name, late)
			time.AfterFunc(late, func() {
				w.rec.line("%s: connections come up as usual", s.name)
				if ln, err := door.open(); err == nil {
					s.serve(ln)
				} else {
					w.rec.line("%s: %v", s.name, err)
				}
			})
		}
	}
	for n, h := range all {
		c := &call{id: h.id, class: "live", title: h.title, within: 5 * time.Second}
		if err := w.handOver(link, m, c, fmt.Sprintf("home:0;copies:13;top:3;viewer:%016x", n+1), h.server.name); err != nil {
			return false, w, err
		}
	}
	time.Sleep(12 * time.Second)
	if !m.running() {
		return false, w, fmt.Errorf("the session manager has ended")
	}
	w.rec.say("%d sessions handed over, %d released to their viewers while they stood at their video servers; %s", len(all), wrong(), w.stillStands())
	return wrong() > 0, w, nil
}
