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

	"pierlink/internal/core"
)

const tlsReadBytes = 2 << 10

// wire is what the loop needs of a connection.
type transport interface {
	Write(b []byte) (int, error) // takes a copy; what it could not write yet it writes later
	Close() error
	SetLinger(onoff, linger int32) error
}

// secured is a connection under TLS (RFC 8446). The poller cannot be given one, as a record may need reading before
// it can be written: two goroutines carry it, one for each way. The core has it from its accepting on, so that the
// door's limits hold for handshakes as for anybody who has not asked yet.
type tlsConn struct {
	loop          *Loop
	socket        *socket
	raw           *net.TCPConn
	conn          *tls.Conn
	handshakeDone atomic.Bool // tls's own word on it waits for a handshake under way

	mu       sync.Mutex
	changed  sync.Cond
	outgoing []byte
	writing  bool // bytes are being written
	closing  bool // close once out is empty
	aborted  bool
}

// secure takes a connection in.
func (l *Loop) acceptTLS(c *net.TCPConn, keys *tls.Config) {
	s := &socket{}
	s.coreConn = &s.conn
	s.conn.Socket, s.conn.Secure = s, true
	x := l.newTLSConn(s, c, tls.Server(c, keys))
	s.transport = x
	l.post(event{kind: accepted, socket: s, remoteAddr: c.RemoteAddr().String()})
	x.run()
}

// Trust tells whose certificates are good when the loop's own core connects.
func (l *Loop) Trust(t *tls.Config) { l.clientTLS = t }

// secureTo connects. The handshake is done with the first bytes; where it fails the connection ends.
func (l *Loop) dialTLS(ctx context.Context, s *socket, addr string) {
	defer s.cancel()
	c, err := dialFrom(ctx, s.coreConn.From, addr, l.limits.Dials)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = core.ErrRefused
		}
		l.post(event{kind: dialed, socket: s, err: err})
		return
	}
	t := &tls.Config{}
	if l.clientTLS != nil {
		t = l.clientTLS.Clone()
	}
	if t.ServerName == "" {
		t.ServerName, _, _ = net.SplitHostPort(addr)
	}
	raw := c.(*net.TCPConn)
	x := l.newTLSConn(s, raw, tls.Client(raw, t))
	l.post(event{kind: dialed, socket: s, transport: x})
	x.run()
}

func (l *Loop) newTLSConn(s *socket, raw *net.TCPConn, t *tls.Conn) *tlsConn {
	x := &tlsConn{loop: l, socket: s, raw: raw, conn: t}
	x.changed.L = &x.mu
	return x
}

// run carries it. The handshake has a goroutine of its own, as it needs more stack than those that stay.
func (x *tlsConn) run() {
	go func() {
		x.handshakeDone.Store(x.conn.Handshake() == nil) // reading tells what went wrong
		go x.read()
		go x.write()
	}()
}

func (x *tlsConn) read() {
	var err error
	var own [tlsReadBytes]byte // a buffer of the pool would be held for as long as nothing comes
	for err == nil {
		var n int
		if n, err = x.conn.Read(own[:]); n > 0 {
			b := x.loop.buffers.Get().(*[]byte)
			n = copy(*b, own[:n])
			x.loop.post(event{kind: received, socket: x.socket, data: b, size: n})
		}
	}
	x.abort()
	_ = x.raw.Close()
	if !x.handshakeDone.Load() {
		x.loop.brokenHandshakes.Add(1)
	}
	if errors.Is(err, io.EOF) {
		err = core.ErrEnded
	}
	x.loop.post(event{kind: closed, socket: x.socket, err: err})
}

func (x *tlsConn) write() {
	var out []byte
	for {
		x.mu.Lock()
		for len(x.outgoing) == 0 && !x.closing && !x.aborted {
			x.changed.Wait()
		}
		out, x.outgoing = x.outgoing, out[:0]
		dead, over := x.aborted, len(out) == 0
		x.writing = !over
		x.mu.Unlock()
		if dead {
			return
		}
		if over {
			_ = x.conn.Close() // with its close_notify
			return
		}
		if _, err := x.conn.Write(out); err != nil {
			x.abort()
			_ = x.raw.Close()
			return
		}
		x.mu.Lock()
		x.writing = false
		x.mu.Unlock()
		x.socket.writtenBytes.Add(int64(len(out)))
		if x.socket.drainPending.CompareAndSwap(true, false) {
			x.loop.post(event{kind: drained, socket: x.socket})
		}
	}
}

func (x *tlsConn) abort() {
	x.mu.Lock()
	x.aborted = true
	x.changed.Signal()
	x.mu.Unlock()
}

// Write has the bytes written, once the handshake is done.
func (x *tlsConn) Write(b []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aborted || x.closing {
		return 0, net.ErrClosed
	}
	x.outgoing = append(x.outgoing, b...)
	x.changed.Signal()
	return len(b), nil
}

// Close ends the connection: with a word of it where nothing is left to be written, otherwise at once, as it does
// before the handshake is done.
func (x *tlsConn) Close() error {
	x.mu.Lock()
	x.closing = true
	idle := len(x.outgoing) == 0 && !x.writing
	x.changed.Signal()
	x.mu.Unlock()
	if idle && x.handshakeDone.Load() {
		return nil
	}
	x.abort()
	return x.raw.Close()
}

// SetLinger with 0 has the connection reset by its closing.
func (x *tlsConn) SetLinger(_, linger int32) error {
	err := x.raw.SetLinger(int(linger))
	x.abort()
	return errors.Join(err, x.raw.Close())
}
