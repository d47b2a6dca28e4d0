package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

func serverName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// line is a JSON line between session managers and video servers.
type line struct {
	Op   string         `json:"op"`
	Call string         `json:"call"`
	With map[string]any `json:"with"`
	Why  *int           `json:"why,omitempty"`
	Desc string         `json:"desc,omitempty"`
}

func (l *line) field(name string) string {
	switch value := l.With[name].(type) {
	case string:
		return value
	case float64:
		return strconv.FormatFloat(value, 'g', -1, 64)
	}
	return ""
}

// videoServer is a sound video server, as one session manager reaches it.
type videoServer struct {
	w         *world
	entry     entry
	manager   int
	ln        net.Listener
	mu        sync.Mutex
	conns     []*serverConn
	sessions  map[string]*session
	unheard   []line // releases, to be sent on the next connection too
	offers    []offer
	workFrom  time.Duration // time that a set-up takes, drawn between the two
	workTo    time.Duration
	onRelease func(s *session)
}

// offer is a set-up that came whole to the server.
type offer struct {
	id string
	at time.Time
}

type serverConn struct {
	conn net.Conn
	peer string
	open bool
}

// session is a set-up at the server, or a session that stands.
type session struct {
	id        string
	title     string
	conn      *serverConn
	standing  bool
	rung      int
	plan      int
	acceptAt  time.Time
	endedAt   time.Time
	endsAfter time.Duration
	ended     bool
}

func (w *world) newServer(e entry, manager int) *videoServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	s := &videoServer{w: w, entry: e, manager: manager, ln: ln, sessions: map[string]*session{}, workFrom: 40 * time.Millisecond, workTo: 120 * time.Millisecond}
	s.entry.addr = ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(s.opened(conn))
		}
	}()
	go s.tellLoad()
	return s
}

func (s *videoServer) name() string { return serverName(s.entry.id) }

func (s *videoServer) log(format string, args ...any) {
	s.w.rec.log("%s for n%d: %s", s.name(), s.manager, fmt.Sprintf(format, args...))
}

func (s *videoServer) send(c *serverConn, l line) {
	if l.With == nil {
		l.With = map[string]any{}
	}
	text, _ := json.Marshal(l)
	if l.Op != "info" {
		s.log("sends on %s: %s", c.peer, text)
	}
	_, _ = c.conn.Write(append(text, '\n'))
}

// opened takes a connection in, in the order of accepting.
func (s *videoServer) opened(conn net.Conn) *serverConn {
	c := &serverConn{conn: conn, peer: conn.RemoteAddr().String(), open: true}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runTimers()
	s.log("connection %s opened", c.peer)
	s.conns = append(s.conns, c)
	for _, release := range s.unheard { // "it sends its release also on the next one that is opened"
		s.send(c, release)
	}
	s.unheard = nil
	return c
}

func (s *videoServer) serve(c *serverConn) {
	conn := c.conn
	reader := bufio.NewReaderSize(conn, 16<<10)
	for {
		text, err := reader.ReadSlice('\n')
		if err != nil {
			break
		}
		var l line
		if json.Unmarshal(text, &l) != nil {
			break
		}
		s.mu.Lock()
		s.runTimers()
		s.handle(c, &l)
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.runTimers()
	c.open = false
	s.log("connection %s closed", c.peer)
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			break
		}
	}
	for id, session := range s.sessions {
		if session.conn == c && !session.standing { // the set-ups open on it are given up
			delete(s.sessions, id)
		}
	}
	s.mu.Unlock()
	_ = conn.Close()
}

func cause(n int) *int { return &n }

func (s *videoServer) handle(c *serverConn, l *line) {
	switch l.Op {
	case "offer":
		s.log("got on %s: offer %s class %s title %s rung %s left %s", c.peer, l.Call, l.field("class"), l.field("key"), l.field("rung"), l.field("left"))
		s.offers = append(s.offers, offer{l.Call, time.Now()})
		rung, _ := strconv.Atoi(l.field("rung"))
		session := &session{id: l.Call, title: l.field("key"), conn: c, rung: rung}
		for i, name := range s.w.site.plans {
			if name == l.field("class") {
				session.plan = i
			}
		}
		shortest, longest := s.w.site.life[session.plan][0], s.w.site.life[session.plan][1]
		session.endsAfter = time.Duration((shortest + (longest-shortest)*rand.Float64()) * float64(time.Second))
		s.sessions[l.Call] = session
		time.AfterFunc(s.workFrom+rand.N(s.workTo-s.workFrom+1), func() { s.accept(session) })
	case "end":
		s.log("got on %s: end %s why %d", c.peer, l.Call, value(l.Why))
		if session := s.sessions[l.Call]; session != nil {
			session.ended, session.endedAt = true, time.Now()
			delete(s.sessions, l.Call)
		}
		s.send(c, line{Op: "ended", Call: l.Call})
	case "set":
		if session := s.sessions[l.Call]; session != nil {
			session.rung, _ = strconv.Atoi(l.field("rung"))
		}
	case "test":
		s.send(c, line{Op: "tested", Call: l.Call, Why: cause(1), With: map[string]any{"load": s.report()}})
	}
}

func value(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}

func (s *videoServer) accept(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[session.id] != session || !session.conn.open {
		return
	}
	session.standing, session.acceptAt = true, time.Now()
	time.AfterFunc(session.endsAfter, func() { s.release(session) })
	s.send(session.conn, line{Op: "accept", Call: session.id, Desc: "v=0\r\nserver " + s.name() + "\r\nsession " + session.id + "\r\n"})
	s.note(session)
}

// runTimers ends the sessions whose time is over. As in most event loops, timers that are due run before what waits on
// sockets.
func (s *videoServer) runTimers() {
	for _, session := range s.sessions {
		if session.standing && time.Since(session.acceptAt) >= session.endsAfter {
			s.end(session)
		}
	}
}

// release ends a session that stands: it has come to its end.
func (s *videoServer) release(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(session)
}

func (s *videoServer) end(session *session) {
	if s.sessions[session.id] != session {
		return
	}
	delete(s.sessions, session.id)
	session.ended, session.endedAt = true, time.Now()
	release := line{Op: "end", Call: session.id, Why: cause(16)}
	if c := s.connFor(session); c != nil {
		s.send(c, release)
	}
	s.unheard = append(s.unheard, release)
	if s.onRelease != nil {
		s.onRelease(session)
	}
}

// connFor returns the connection of the session's set-up or, if it is closed, any open one.
func (s *videoServer) connFor(session *session) *serverConn {
	if session.conn.open {
		return session.conn
	}
	if len(s.conns) > 0 {
		return s.conns[0]
	}
	return nil
}

// demand returns what is asked of the link over what it gives.
func (s *videoServer) demand() float64 {
	kb := 0.0
	for _, session := range s.sessions {
		if session.standing {
			kb += s.w.site.ladder[session.rung] * s.w.site.rateFactor[session.plan]
		}
	}
	return kb / s.w.site.linkKB(s.entry)
}

func (s *videoServer) report() string {
	return s.w.site.loadReport(len(s.sessions), s.demand())
}

// note tells a session manager on one of its sessions how full link and uplink are.
func (s *videoServer) note(session *session) {
	c := s.connFor(session)
	if c == nil || s.w.site.toldEvery == 0 {
		return
	}
	s.send(c, line{Op: "info", Call: session.id, With: map[string]any{"note": "port", "value": fmt.Sprintf("%.3f", s.demand())}})
	s.send(c, line{Op: "info", Call: session.id, With: map[string]any{"note": "spine", "value": fmt.Sprintf("%.3f", s.demand()/2)}})
}

// tellLoad tells the load every toldEvery on one session.
func (s *videoServer) tellLoad() {
	if s.w.site.toldEvery == 0 {
		return
	}
	for range time.Tick(time.Duration(s.w.site.toldEvery * float64(time.Second))) {
		s.mu.Lock()
		for _, session := range s.sessions {
			if session.standing {
				s.note(session)
				break
			}
		}
		s.mu.Unlock()
	}
}
