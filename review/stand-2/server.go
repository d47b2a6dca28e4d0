//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"
)

// boxMessage is one JSON line between a session manager and a video server.
type boxMessage struct {
	Op   string            `json:"op"`
	Call string            `json:"call"`
	With map[string]string `json:"with"`
	Why  *int              `json:"why,omitempty"`
	Desc string            `json:"desc,omitempty"`
}

// boxSession is a session at a video server.
type boxSession struct {
	id, class, title string
	rung             int
	conn             *boxConn
	stands           bool
	standsAt         time.Time
	ends             time.Time // when it ends by itself
}

type boxConn struct {
	server *videoServer
	conn   net.Conn
	mu     sync.Mutex // of writes
	closed bool       // guarded by server.mu
}

func (c *boxConn) write(msg *boxMessage) bool {
	if msg.With == nil {
		msg.With = map[string]string{}
	}
	line, _ := json.Marshal(msg)
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.conn.Write(append(line, '\n'))
	return err == nil
}

// videoServer is a stand-in of a video server that follows the protocol page.
type videoServer struct {
	w        *world
	name     string
	id       uint32
	addr     string
	cell     int
	linkKB   float64
	work     time.Duration // of one set-up
	mu       sync.Mutex
	ln       net.Listener
	conns    map[*boxConn]struct{}
	sessions map[string]*boxSession
	// releases that the next connection of a session manager gets as well
	repeat    []*boxMessage
	noteLate  func() time.Duration // how much later than usual notes 3 and 4 come
	lastOrder time.Time            // when the last late note is due, so that they keep their order
}

func (s *videoServer) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.serve(ln)
	return nil
}

// serve accepts connections on a listening socket.
func (s *videoServer) serve(ln net.Listener) {
	s.mu.Lock()
	s.ln, s.addr = ln, ln.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c := &boxConn{server: s, conn: conn}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			repeat := s.repeat
			s.repeat = nil
			s.mu.Unlock()
			s.w.rec.line("%s: connection from %s", s.name, conn.RemoteAddr())
			for _, msg := range repeat {
				s.w.rec.line("%s: says again %s %s why %d", s.name, msg.Op, msg.Call, *msg.Why)
				c.write(msg)
			}
			go s.read(c)
		}
	}()
}

func (s *videoServer) read(c *boxConn) {
	scanner := bufio.NewScanner(c.conn)
	scanner.Buffer(make([]byte, 0, 32<<10), 32<<10)
	for scanner.Scan() {
		var msg boxMessage
		if err := json.Unmarshal(scanner.Bytes(), &msg); err != nil {
			break
		}
		s.handle(c, &msg)
	}
	s.mu.Lock()
	c.closed = true
	delete(s.conns, c)
	for id, session := range s.sessions { // set-ups open on it are given up
		if session.conn == c && !session.stands {
			delete(s.sessions, id)
		}
	}
	s.mu.Unlock()
	_ = c.conn.Close()
	s.w.rec.line("%s: connection from %s is closed", s.name, c.conn.RemoteAddr())
}

func (s *videoServer) handle(c *boxConn, msg *boxMessage) {
	switch msg.Op {
	case "test":
		c.write(&boxMessage{Op: "tested", Call: msg.Call, Why: cause(1), With: map[string]string{"load": s.load()}})
	case "offer":
		s.w.rec.line("%s: set-up %s class %s title %s rung %s left %s", s.name, msg.Call, msg.With["class"], msg.With["key"], msg.With["rung"], msg.With["left"])
		rung, _ := strconv.Atoi(msg.With["rung"])
		session := &boxSession{id: msg.Call, class: msg.With["class"], title: msg.With["key"], rung: rung, conn: c}
		s.mu.Lock()
		s.sessions[msg.Call] = session
		s.mu.Unlock()
		s.w.arrived(s, session)
		time.AfterFunc(s.work/2+time.Duration(rand.Int63n(int64(s.work))), func() { s.accept(session) })
	case "set":
		rung, _ := strconv.Atoi(msg.With["rung"])
		s.mu.Lock()
		if session := s.sessions[msg.Call]; session != nil {
			session.rung = rung
		}
		s.mu.Unlock()
	case "end":
		s.mu.Lock()
		session := s.sessions[msg.Call]
		delete(s.sessions, msg.Call)
		s.mu.Unlock()
		s.w.rec.line("%s: end of %s by the session manager, why %d (known here: %v)", s.name, msg.Call, *msg.Why, session != nil)
		if session != nil {
			s.w.cutByManager(session)
		}
		c.write(&boxMessage{Op: "ended", Call: msg.Call})
	}
}

// accept answers a set-up, unless it was given up.
func (s *videoServer) accept(session *boxSession) {
	s.mu.Lock()
	if s.sessions[session.id] != session || session.conn.closed {
		s.mu.Unlock()
		return
	}
	session.stands, session.standsAt = true, time.Now()
	session.ends = session.standsAt.Add(s.w.life(session))
	s.mu.Unlock()
	s.w.rec.line("%s: accepts %s", s.name, session.id)
	session.conn.write(&boxMessage{Op: "accept", Call: session.id, Desc: describe(session.id, s.name)})
	s.note(session, "port", s.fill())
	time.AfterFunc(time.Until(session.ends), func() { s.endNaturally(session) })
}

// describe returns the description that a server gives for a session.
func describe(id, server string) string {
	return "v=0\r\no=" + id + " " + server + "\r\nm=video 0 RTP/AVP 96\r\n"
}

// endNaturally releases a session that has come to its end.
func (s *videoServer) endNaturally(session *boxSession) {
	s.mu.Lock()
	if s.sessions[session.id] != session {
		s.mu.Unlock()
		return
	}
	delete(s.sessions, session.id)
	s.mu.Unlock()
	s.w.released(session)
	s.w.rec.line("%s: releases %s, cause 16", s.name, session.id)
	msg := &boxMessage{Op: "end", Call: session.id, Why: cause(16), With: map[string]string{"load": s.load()}}
	s.tell(session, msg)
	s.mu.Lock()
	s.repeat = append(s.repeat, msg) // a release is sent also on the next one that is opened
	s.mu.Unlock()
}

// tell writes what concerns a session on the connection of its set-up, otherwise on any open one.
func (s *videoServer) tell(session *boxSession, msg *boxMessage) bool {
	s.mu.Lock()
	target := session.conn
	if target == nil || target.closed {
		target = nil
		for c := range s.conns {
			if !c.closed {
				target = c
			}
		}
	}
	s.mu.Unlock()
	return target != nil && target.write(msg)
}

func (s *videoServer) note(session *boxSession, name string, value float64) {
	s.tell(session, &boxMessage{Op: "info", Call: session.id, With: map[string]string{"note": name, "value": strconv.FormatFloat(value, 'f', 3, 64)}})
}

// fill returns what is asked of the link over what it gives.
func (s *videoServer) fill() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	kb := 0.0
	for _, session := range s.sessions {
		kb += s.w.rateKB(session.class, session.rung)
	}
	return kb / s.linkKB
}

func (s *videoServer) load() string {
	s.mu.Lock()
	count := len(s.sessions)
	s.mu.Unlock()
	return fmt.Sprintf("inflight:%d;x0:%.3f;x1:%.3f", count, s.fill(), s.fill())
}

// standing returns the sessions that stand here.
func (s *videoServer) standing() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, session := range s.sessions {
		if session.stands {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *videoServer) stands(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	session := s.sessions[id]
	return session != nil && session.stands
}

// tellRegularly sends notes 3 and 4 on one session, every interval, as late as notes are seen, and later by noteLate.
func (s *videoServer) tellRegularly(interval, seen time.Duration) {
	for range time.Tick(interval) {
		value := s.fill()
		s.mu.Lock()
		var chosen *boxSession
		for _, session := range s.sessions {
			if session.stands && (chosen == nil || session.ends.After(chosen.ends)) {
				chosen = session // one that goes on, so that the note does not cross its end
			}
		}
		late := time.Duration(0)
		if s.noteLate != nil {
			late = s.noteLate()
		}
		due := time.Now().Add(seen + late)
		if due.Before(s.lastOrder) {
			due = s.lastOrder
		}
		s.lastOrder = due
		s.mu.Unlock()
		if chosen == nil {
			continue
		}
		time.AfterFunc(time.Until(due), func() {
			s.w.rec.line("%s: notes port and spine on %s (%v later than usual)", s.name, chosen.id, late)
			s.note(chosen, "port", value)
			s.note(chosen, "spine", value)
		})
	}
}

func cause(n int) *int { return &n }

func title(n int) string { return fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+n) }
