// Package edge runs a core on sockets: an event loop with nbio listeners and connections, timers, and a mailbox through
// which all events reach the one goroutine that owns the core. It also provides TLS, the control socket, the metrics
// endpoint and the connection to the registry.
package edge

import (
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

func init() { logging.SetLevel(logging.LevelNone) } // errors that matter reach the core as events

// Now returns the time of the clock of cores on sockets: microseconds since 1970.
func Now() core.Time { return time.Now().UnixMicro() }

const drainTimeout = 5 * time.Second // for writing what is pending when a connection is closed, and the default for dials

// Limits holds the limits of a loop on memory, connections and the time for a dial.
type Limits struct {
	ReadBuffer     int           // bytes of a receive buffer
	MailboxBytes   int           // bytes of receive buffers in the mailbox beyond which reading stops, so that TCP slows the senders down
	DialTimeout    time.Duration // timeout of a dial; 0 for none
	MaxConnections int           // open accepted connections beyond which accepting waits; 0 for no limit
	ReceiveWindow  int           // bytes of an accepted connection that the system keeps until they are read; 0 for its default
}

// DefaultLimits are the limits of a loop that has the machine to itself.
var DefaultLimits = Limits{ReadBuffer: 64 << 10, MailboxBytes: 256 << 20, DialTimeout: drainTimeout}

// Loop runs one core on sockets.
type Loop struct {
	core   core.Core
	engine *nbio.Engine
	limits Limits
	counters
	progress turnProgress

	mu            sync.Mutex
	listeners     []*listener
	addr          string
	secureAddr    string
	spaceFreed    sync.Cond // broadcast when the mailbox is emptied, a connection closes or the loop stops
	mailbox       []event
	taken         []event // the events taken last, whose space is reused
	mailboxBytes  int     // of the receive buffers held by events in the mailbox
	openAccepted  int     // connections accepted and not closed yet
	acceptStopped bool    // no further connections are accepted
	stopped       bool
	wake          chan struct{} // an event or the stop has to be handled
	done          chan struct{} // closed when the loop's goroutine ends
	buffers       sync.Pool
	clientTLS     *tls.Config            // for connections that the core dials; nil for the system's certificate authorities
	sockets       map[*socket]struct{}   // open connections; used by the loop's goroutine only
	observer      turnObserver           // the core, if it is one
	closeObserver core.PeerCloseObserver // the core, if it is one
	pollerRuns    atomic.Bool            // the poller has read something
	reading       atomic.Pointer[socket] // which the poller is reading, until what it has read is posted
	eventsTaken   chan struct{}          // signalled when the mailbox is emptied
	pausedAt      time.Time              // end of the poller's last pause; used by the poller only
}

// turnObserver is implemented by cores that measure the duration of turns and the time that events wait.
type turnObserver interface {
	EventArrived(at core.Time)
	TurnFinished(waited, took core.Time)
}

type event struct {
	kind      kind
	socket    *socket
	transport transport
	data      *[]byte // a buffer of the pool
	size      int     // bytes used in data
	err       error
	call      func()    // of a called event
	arrivedAt core.Time // when the event was posted
}

type kind uint8

const (
	accepted kind = iota
	dialed
	received
	drained // all bytes sent are written
	closed
	called // a posted function has to run
)

// socket is the state of the edge for a core.Conn.
type socket struct {
	conn           core.Conn
	coreConn       *core.Conn // the connection as the core has it: &conn if it was accepted
	transport      transport
	sentBytes      int64 // used by the loop's goroutine only, and so is deliveredBytes
	deliveredBytes int64
	postedBytes    int64 // read by the poller; guarded by Loop.mu
	writtenBytes   atomic.Int64
	queuedBuffers  int         // its buffers in the mailbox; guarded by Loop.mu
	drainPending   atomic.Bool // a drained event has to be posted once all is written
	closedForCore  bool        // the core gets no more events
	closedEarly    bool        // closed by the core before it was connected
	peerClosed     atomic.Bool // the poller has found that the peer has closed it
	closeReported  bool        // the core knows that the peer has closed it
	cancel         func()      // cancels the dial; nil if it was accepted
	remoteAddr     string      // of an accepted connection
	ownReader      bool        // a goroutine of its own reads it, not the poller
}

// New starts a loop with the default limits that listens on an address, or nowhere if it is empty. build returns the
// core; it gets the loop as its network.
func New(addr string, build func(core.Net) core.Core) (*Loop, error) {
	return NewWithLimits(DefaultLimits, addr, build)
}

// NewWithLimits is like New with the given limits.
func NewWithLimits(limits Limits, addr string, build func(core.Net) core.Core) (*Loop, error) {
	l := &Loop{limits: limits, wake: make(chan struct{}, 1), eventsTaken: make(chan struct{}, 1), done: make(chan struct{}), sockets: map[*socket]struct{}{}}
	l.spaceFreed.L = &l.mu
	l.buffers.New = func() any { b := make([]byte, limits.ReadBuffer); return &b }
	config := nbio.Config{Name: "pierlink", NPoller: 1, ReadBufferSize: limits.ReadBuffer, EpollMod: nbio.EPOLLLT}
	l.engine = nbio.NewEngine(config)
	l.core = build(l)
	l.observer, _ = l.core.(turnObserver)
	l.closeObserver, _ = l.core.(core.PeerCloseObserver)
	l.engine.OnOpen(func(conn *nbio.Conn) {
		switch session := conn.Session().(type) {
		case *socket:
			l.post(event{kind: dialed, socket: session, transport: conn})
			return
		case *startProbe:
			return
		}
		s := &socket{transport: conn}
		s.coreConn = &s.conn
		s.coreConn.Socket = s
		s.remoteAddr = conn.RemoteAddr().String()
		conn.SetSession(s)
		l.post(event{kind: accepted, socket: s})
	})
	l.engine.OnRead(l.readConn)
	l.engine.OnWrittenSize(func(conn *nbio.Conn, _ []byte, n int) {
		s, ok := conn.Session().(*socket)
		if !ok {
			return
		}
		s.writtenBytes.Add(int64(n))
		if s.drainPending.CompareAndSwap(true, false) {
			l.post(event{kind: drained, socket: s})
		}
	})
	l.engine.OnClose(func(conn *nbio.Conn, err error) {
		if s, ok := conn.Session().(*socket); ok {
			l.post(event{kind: closed, socket: s, err: err})
		}
	})
	if err := l.engine.Start(); err != nil {
		return nil, err
	}
	if addr != "" {
		if err := l.Listen(addr, nil); err != nil {
			l.awaitPoller()
			l.engine.Stop()
			return nil, err
		}
	}
	go l.run()
	return l, nil
}

// Post runs a function on the goroutine that owns the core, within a turn.
func (l *Loop) Post(call func()) { l.post(event{kind: called, call: call}) }

// Do posts a function and waits until it has run, or until the loop has ended.
func (l *Loop) Do(call func()) {
	done := make(chan struct{})
	l.Post(func() { call(); close(done) })
	select {
	case <-done:
	case <-l.done:
	}
}

// DoWithin is like Do, but it waits no longer than limit. It reports whether the function has run; if not, it may still run
// later.
func (l *Loop) DoWithin(limit time.Duration, call func()) bool {
	done := make(chan struct{})
	l.Post(func() { call(); close(done) })
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-l.done:
	case <-timer.C:
	}
	return false
}

func (l *Loop) post(e event) {
	e.arrivedAt = Now()
	l.mu.Lock()
	for l.mustWait(&e) {
		l.spaceFreed.Wait()
	}
	l.mailbox = append(l.mailbox, e)
	if e.data != nil {
		l.mailboxBytes += l.limits.ReadBuffer // the memory held, not the bytes used of it
		e.socket.postedBytes += int64(e.size)
		e.socket.queuedBuffers++
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// mustWait reports whether there is no room for an event in the mailbox yet. A connection that is read by a goroutine of
// its own waits for its share here.
func (l *Loop) mustWait(e *event) bool {
	if e.kind != received || l.stopped {
		return false
	}
	return l.mailboxBytes > l.limits.MailboxBytes || len(l.mailbox) > maxMailboxEvents || e.socket.ownReader && e.socket.queuedBuffers >= maxQueuedBuffers
}

// Stop ends the loop. Connections are closed, or, if abrupt is set, reset as if the process had been killed.
func (l *Loop) Stop(abrupt bool) {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		return
	}
	l.stopped = true
	l.spaceFreed.Broadcast()
	stopping := l.listeners
	l.listeners = nil
	l.mu.Unlock()
	for _, d := range stopping {
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
	l.awaitPoller()
	l.engine.Stop()
}

func (l *Loop) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	next := core.Time(0) // the first turn starts at once
	for {
		events, stopped := l.takeEvents()
		if stopped {
			return
		}
		now := Now()
		if len(events) == 0 && now < next {
			if wait := next - now; next != core.Never {
				timer.Reset(time.Duration(wait) * time.Microsecond)
			}
			select {
			case <-l.wake:
			case <-timer.C:
			}
			continue
		}
		next = l.turn(now, next, events)
	}
}

// takeEvents empties the mailbox. The events are valid until the next call.
func (l *Loop) takeEvents() (events []event, stopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken, l.mailbox = l.mailbox, l.taken[:0]
	l.mailboxBytes = 0
	l.spaceFreed.Broadcast()
	for i := range l.taken {
		if l.taken[i].data != nil {
			l.taken[i].socket.queuedBuffers = 0
		}
	}
	if len(l.taken) > 0 {
		select {
		case l.eventsTaken <- struct{}{}:
		default:
		}
	}
	return l.taken, l.stopped
}

// turn runs a turn that begins at a time and was due at another one. It returns when the next turn is due.
func (l *Loop) turn(now, due core.Time, events []event) core.Time {
	l.progress.begin(now)
	defer l.progress.end()
	l.core.BeginTurn(now)
	waited := core.Time(0)
	if len(events) > 0 {
		waited = max(now-events[0].arrivedAt, 0)
	}
	l.deliverAll(events)
	if due > 0 && max(now-due, waited, Now()-now) > lateTurn {
		l.catchUp()
	}
	l.progress.handle(endingTurn, nil)
	next := l.core.EndTurn()
	if l.observer != nil {
		l.observer.TurnFinished(waited, Now()-now)
	}
	return next
}

// deliverAll passes events to the core and clears them.
func (l *Loop) deliverAll(events []event) {
	for i := range events {
		if l.observer != nil {
			l.observer.EventArrived(events[i].arrivedAt)
		}
		l.deliver(&events[i])
		events[i] = event{}
	}
}

func (l *Loop) deliver(e *event) {
	s := e.socket
	l.progress.handle(e.kind, s)
	switch e.kind {
	case called:
		e.call()
		return
	case accepted:
		l.sockets[s] = struct{}{}
		l.core.Accepted(s.coreConn, s.remoteAddr)
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
		s.deliveredBytes += int64(e.size)
		l.reportPeerClose(s)
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

// reportPeerClose tells the core that the peer has closed a connection of which bytes are still to be delivered.
func (l *Loop) reportPeerClose(s *socket) {
	if l.closeObserver == nil || s.closedForCore || s.closeReported || !s.peerClosed.Load() {
		return
	}
	s.closeReported = true
	l.closeObserver.PeerClosed(s.coreConn)
}

func closeReason(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return core.ErrClosedByPeer
	}
	return err
}

// Send writes bytes, or queues them until the network takes them.
func (l *Loop) Send(c *core.Conn, b []byte) {
	s, ok := c.Socket.(*socket)
	if !ok || s.closedForCore || s.transport == nil {
		return
	}
	s.sentBytes += int64(len(b))
	_, _ = s.transport.Write(b) // a failure is reported by a closed event
}

// Pending returns the number of bytes that the network has not taken yet.
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

// CloseWrite shuts down the sending side of a connection that has nothing left to write (shutdown(2)). As the poller may
// close its descriptor at any moment, shutdown is called on a duplicate, after a check that it is the same connection.
func (l *Loop) CloseWrite(c *core.Conn) {
	s, ok := c.Socket.(*socket)
	if !ok || s.closedForCore || s.transport == nil || l.Pending(c) > 0 {
		return
	}
	conn, ok := s.transport.(*nbio.Conn)
	if !ok {
		return
	}
	fd, err := syscall.Dup(conn.Hash())
	if err != nil {
		return
	}
	if name, err := syscall.Getsockname(fd); err == nil && sameAddr(name, conn.LocalAddr()) {
		if name, err := syscall.Getpeername(fd); err == nil && sameAddr(name, conn.RemoteAddr()) {
			_ = syscall.Shutdown(fd, syscall.SHUT_WR)
		}
	}
	_ = syscall.Close(fd)
}

// sameAddr reports whether a socket's address is the one that a connection had when it was established.
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

// Close closes a connection once everything sent is written, or drainTimeout is over.
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
	conn := s.transport
	time.AfterFunc(drainTimeout, func() { _ = conn.Close() })
}
