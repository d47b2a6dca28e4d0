// Package edge carries a core out on sockets: nbio listeners and connections, timers and the mailbox by
// which everything reaches the one goroutine that owns the core.
package edge

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"pierlink/internal/core"
)

func init() { logging.SetLevel(logging.LevelNone) } // what matters comes to the cores as events

// Now is the clock of cores on sockets: microseconds since 1970.
func Now() core.Time { return time.Now().UnixMicro() }

const drainTimeout = 5 * time.Second

// Room is what a loop may hold, and how long it waits for others.
type Room struct {
	Read  int           // bytes of a buffer for a piece received
	Mail  int           // bytes of such buffers that wait before the readers do; then TCP holds the senders back
	Dials time.Duration // a connection that is not up by then has failed, 0 for any time
	Doors int           // connections accepted and not closed yet, beyond which the next waits; 0 for any number
}

// Ample is the room of a loop that has the machine to itself.
var DefaultLimits = Room{Read: 64 << 10, Mail: 256 << 20, Dials: drainTimeout}

// Loop runs one core on sockets.
type Loop struct {
	core   core.Core
	engine *nbio.Engine
	limits Room
	counters

	mu            sync.Mutex
	listeners     []*listener
	addr          string
	secureAddr    string
	spaceFreed    sync.Cond
	mailbox       []event
	mailboxBytes  int
	openAccepted  int // accepted and not closed
	acceptStopped bool
	stopped       bool
	wake          chan struct{}
	done          chan struct{}
	buffers       sync.Pool
	clientTLS     *tls.Config          // of connections that its core makes
	sockets       map[*socket]struct{} // the loop's goroutine only
}

type event struct {
	kind       kind
	socket     *socket
	transport  transport
	data       *[]byte // a buffer of the pool
	size       int     // of what is in it
	err        error
	remoteAddr string
	call       func()
	arrivedAt  core.Time // it came
}

type kind uint8

const (
	accepted kind = iota
	dialed
	received
	drained
	closed
	called
)

// socket is the edge's side of a core.Conn.
type socket struct {
	conn          core.Conn
	coreConn      *core.Conn // the core's: &conn where accepted
	transport     transport
	sentBytes     int64 // the loop's goroutine only
	writtenBytes  atomic.Int64
	drainPending  atomic.Bool // a drained event is due
	closedForCore bool        // for the core
	closedEarly   bool        // closed before it was connected
	cancel        func()      // ends the dial; nil where it was accepted
}

// New makes a loop that listens on an address, or nowhere if it is empty. The core is made with the loop
// as its network.
func New(addr string, build func(core.Net) core.Core) (*Loop, error) {
	return NewIn(DefaultLimits, addr, build)
}

// NewIn makes a loop that keeps within a room.
func NewIn(room Room, addr string, build func(core.Net) core.Core) (*Loop, error) {
	l := &Loop{limits: room, wake: make(chan struct{}, 1), done: make(chan struct{}), sockets: map[*socket]struct{}{}}
	l.spaceFreed.L = &l.mu
	l.buffers.New = func() any { b := make([]byte, room.Read); return &b }
	c := nbio.Config{Name: "pierlink", NPoller: 1, ReadBufferSize: room.Read, EpollMod: nbio.EPOLLLT}
	l.engine = nbio.NewEngine(c)
	l.core = build(l)
	l.engine.OnOpen(func(nb *nbio.Conn) {
		if s, ok := nb.Session().(*socket); ok {
			l.post(event{kind: dialed, socket: s, transport: nb})
			return
		}
		s := &socket{transport: nb}
		s.coreConn = &s.conn
		s.coreConn.Socket = s
		nb.SetSession(s)
		l.post(event{kind: accepted, socket: s, remoteAddr: nb.RemoteAddr().String()})
	})
	l.engine.OnData(func(nb *nbio.Conn, data []byte) {
		s, ok := nb.Session().(*socket)
		if !ok {
			return
		}
		for len(data) > 0 {
			b := l.buffers.Get().(*[]byte)
			n := copy(*b, data)
			data = data[n:]
			l.post(event{kind: received, socket: s, data: b, size: n})
		}
	})
	l.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		s, ok := nb.Session().(*socket)
		if !ok {
			return
		}
		s.writtenBytes.Add(int64(n))
		if s.drainPending.CompareAndSwap(true, false) {
			l.post(event{kind: drained, socket: s})
		}
	})
	l.engine.OnClose(func(nb *nbio.Conn, err error) {
		if s, ok := nb.Session().(*socket); ok {
			l.post(event{kind: closed, socket: s, err: err})
		}
	})
	if err := l.engine.Start(); err != nil {
		return nil, err
	}
	if addr != "" {
		if err := l.Listen(addr, nil); err != nil {
			l.engine.Stop()
			return nil, err
		}
	}
	go l.run()
	return l, nil
}

// Post has a function run by the goroutine that owns the core, within a turn.
func (l *Loop) Post(call func()) { l.post(event{kind: called, call: call}) }

// Do posts a function and waits for it.
func (l *Loop) Do(call func()) {
	done := make(chan struct{})
	l.Post(func() { call(); close(done) })
	select {
	case <-done:
	case <-l.done:
	}
}

func (l *Loop) post(e event) {
	e.arrivedAt = Now()
	l.mu.Lock()
	for (l.mailboxBytes > l.limits.Mail || len(l.mailbox) > maxMailboxEvents) && e.kind == received && !l.stopped {
		l.spaceFreed.Wait()
	}
	l.mailbox = append(l.mailbox, e)
	if e.data != nil {
		l.mailboxBytes += l.limits.Read // what is held, not what is filled
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Stop ends the loop. Connections are closed, or with abrupt reset as when a process is killed.
func (l *Loop) Stop(abrupt bool) {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	l.stopped = true
	l.spaceFreed.Broadcast()
	doors := l.listeners
	l.listeners = nil
	l.mu.Unlock()
	for _, d := range doors {
		_ = d.ln.Close()
		<-d.done
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	<-l.done
	for s := range l.sockets {
		if s.transport != nil {
			if abrupt {
				_ = s.transport.SetLinger(1, 0)
			}
			_ = s.transport.Close()
		}
	}
	l.engine.Stop()
}

func (l *Loop) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	var mail []event
	timed, _ := l.core.(interface { // wants to know how long its turns take, and what they take has waited
		Came(at core.Time)
		Turned(waited, took core.Time)
	})
	next := core.Time(0) // the first turn is at once
	for {
		l.mu.Lock()
		mail, l.mailbox = l.mailbox, mail[:0]
		l.mailboxBytes = 0
		stopped := l.stopped
		l.spaceFreed.Broadcast()
		l.mu.Unlock()
		if stopped {
			return
		}
		now := Now()
		if len(mail) == 0 && now < next {
			if wait := next - now; next != core.Never {
				timer.Reset(time.Duration(wait) * time.Microsecond)
			}
			select {
			case <-l.wake:
			case <-timer.C:
			}
			continue
		}
		l.core.At(now)
		waited := core.Time(0)
		if len(mail) > 0 {
			waited = max(now-mail[0].arrivedAt, 0)
		}
		for i := range mail {
			if timed != nil {
				timed.Came(mail[i].arrivedAt)
			}
			l.deliver(&mail[i])
			mail[i] = event{}
		}
		next = l.core.Settle()
		if timed != nil {
			timed.Turned(waited, Now()-now)
		}
	}
}

func (l *Loop) deliver(e *event) {
	s := e.socket
	switch e.kind {
	case called:
		e.call()
		return
	case accepted:
		l.sockets[s] = struct{}{}
		l.core.Accepted(s.coreConn, e.remoteAddr)
	case dialed:
		if s.closedEarly {
			if e.transport != nil {
				_ = e.transport.Close()
			}
			return
		}
		if e.err != nil {
			s.closedForCore = true
			l.core.Dialed(s.coreConn, e.err)
			return
		}
		s.transport = e.transport
		l.sockets[s] = struct{}{}
		l.core.Dialed(s.coreConn, nil)
	case received:
		if !s.closedForCore {
			l.core.Received(s.coreConn, (*e.data)[:e.size])
		}
		l.buffers.Put(e.data)
	case drained:
		if !s.closedForCore {
			l.core.Drained(s.coreConn)
		} else if s.sentBytes == s.writtenBytes.Load() {
			_ = s.transport.Close()
		} else {
			s.drainPending.Store(true)
		}
	case closed:
		delete(l.sockets, s)
		if s.coreConn == &s.conn {
			l.mu.Lock()
			l.openAccepted--
			l.spaceFreed.Broadcast()
			l.mu.Unlock()
		}
		if !s.closedForCore {
			s.closedForCore = true
			l.core.Closed(s.coreConn, closeReason(e.err))
		}
	}
}

func closeReason(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return core.ErrEnded
	}
	return err
}

// Dial connects, under TLS where the connection is to be secure.
func (l *Loop) Dial(c *core.Conn, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &socket{coreConn: c, cancel: cancel}
	c.Socket = s
	if c.Secure {
		go l.dialTLS(ctx, s, addr)
		return
	}
	go l.dial(ctx, s, addr)
}

// dial connects, from an address of its own where it has one. The poller's own way to connect is not taken: it goes
// to 0.0.0.0 for every address of four bytes. OnOpen tells that the connection is there, before anything comes on it.
func (l *Loop) dial(ctx context.Context, s *socket, addr string) {
	defer s.cancel()
	c, err := dialFrom(ctx, s.coreConn.From, addr, l.limits.Dials)
	if err == nil {
		var nb *nbio.Conn
		if nb, err = nbio.NBConn(c); err != nil { // it takes a second descriptor for a moment
			_ = c.Close()
		} else {
			nb.SetSession(s)
			_, err = l.engine.AddConn(nb)
		}
	}
	if err != nil {
		l.post(event{kind: dialed, socket: s, err: dialError(err)})
	}
}

// from dials, from an address unless that is empty. A dial given up gives its descriptor back at once.
func dialFrom(ctx context.Context, own, addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	if own != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(own)}
	}
	return d.DialContext(ctx, "tcp", addr)
}

func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return core.ErrRefused
	}
	return err
}

// Send writes, or has the network write as soon as it can.
func (l *Loop) Send(c *core.Conn, b []byte) {
	s, ok := c.Socket.(*socket)
	if !ok || s.closedForCore || s.transport == nil {
		return
	}
	s.sentBytes += int64(len(b))
	_, _ = s.transport.Write(b) // a failure comes as closed
}

// Pending is what the network has not taken yet.
func (l *Loop) Pending(c *core.Conn) int {
	s, ok := c.Socket.(*socket)
	if !ok || s.transport == nil {
		return 0
	}
	n := s.sentBytes - s.writtenBytes.Load()
	if n > 0 {
		s.drainPending.Store(true)
		if n = s.sentBytes - s.writtenBytes.Load(); n == 0 {
			s.drainPending.Store(false)
		}
	}
	return int(n)
}

// CloseWrite ends our way of a connection that has nothing left to write (shutdown(2)). The poller may close its
// descriptor at any moment: what is shut is a duplicate, once that is seen to be the same connection.
func (l *Loop) CloseWrite(c *core.Conn) {
	s, ok := c.Socket.(*socket)
	if !ok || s.closedForCore || s.transport == nil || l.Pending(c) > 0 {
		return
	}
	nb, ok := s.transport.(*nbio.Conn)
	if !ok {
		return
	}
	fd, err := syscall.Dup(nb.Hash())
	if err != nil {
		return
	}
	if name, err := syscall.Getsockname(fd); err == nil && sameAddr(name, nb.LocalAddr()) {
		if name, err := syscall.Getpeername(fd); err == nil && sameAddr(name, nb.RemoteAddr()) {
			_ = syscall.Shutdown(fd, syscall.SHUT_WR)
		}
	}
	_ = syscall.Close(fd)
}

// is tells whether a socket's address is the one that a connection had when it came up.
func sameAddr(name syscall.Sockaddr, addr net.Addr) bool {
	a, ok := addr.(*net.TCPAddr)
	switch n := name.(type) {
	case *syscall.SockaddrInet4:
		return ok && n.Port == a.Port && a.IP.Equal(n.Addr[:])
	case *syscall.SockaddrInet6:
		return ok && n.Port == a.Port && a.IP.Equal(n.Addr[:])
	}
	return false
}

// Close ends a connection once what was sent is written.
func (l *Loop) Close(c *core.Conn) {
	s, ok := c.Socket.(*socket)
	if !ok || s.closedForCore {
		return
	}
	if s.transport == nil {
		s.closedEarly, s.closedForCore = true, true
		s.cancel()
		return
	}
	if l.Pending(c) == 0 {
		s.closedForCore = true
		_ = s.transport.Close()
		return
	}
	s.closedForCore = true
	nb := s.transport
	time.AfterFunc(drainTimeout, func() { _ = nb.Close() })
}
