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

const tlsReadBytes = 2 << 10 // read buffer of a TLS connection

// transport is what the loop needs of a connection.
type transport interface {
	Write(b []byte) (int, error) // takes a copy; what cannot be written yet is written later
	Close() error
	SetLinger(onoff, linger int32) error
}

// tlsConn is a connection over TLS (RFC 8446). The poller cannot handle it, as a write may need a read first; two
// goroutines serve it instead, one for each direction. The core is notified when it is accepted and not only after the
// handshake, so that the limits on connections without a request cover handshakes too.
type tlsConn struct {
	loop          *Loop
	socket        *socket
	raw           *net.TCPConn
	conn          *tls.Conn
	handshakeDone atomic.Bool // as ConnectionState would block during a handshake

	mu       sync.Mutex
	changed  sync.Cond // signalled when outgoing, closing or aborted changes
	outgoing []byte    // queued for writing
	writing  bool      // a write is in progress
	closing  bool      // close once outgoing is empty
	aborted  bool      // no more is written
}

// acceptTLS starts the handshake on an accepted connection.
func (l *Loop) acceptTLS(raw *net.TCPConn, config *tls.Config) {
	s := &socket{}
	s.coreConn = &s.conn
	s.conn.Socket, s.conn.Secure = s, true
	x := l.newTLSConn(s, raw, tls.Server(raw, config))
	s.transport = x
	s.remoteAddr = raw.RemoteAddr().String()
	l.post(event{kind: accepted, socket: s})
	x.run()
}

// SetClientTLS sets the TLS configuration for connections that the core dials.
func (l *Loop) SetClientTLS(config *tls.Config) { l.clientTLS = config }

// dialTLS connects over TLS. The core is notified before the handshake; if that fails, the connection is closed.
func (l *Loop) dialTLS(ctx context.Context, s *socket, addr string) {
	defer s.cancel()
	tcp, err := dialFrom(ctx, s.coreConn.SourceAddr, addr, l.limits.DialTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = core.ErrRefused
		}
		l.post(event{kind: dialed, socket: s, err: err})
		return
	}
	config := &tls.Config{}
	if l.clientTLS != nil {
		config = l.clientTLS.Clone()
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(addr)
	}
	raw := tcp.(*net.TCPConn)
	x := l.newTLSConn(s, raw, tls.Client(raw, config))
	l.post(event{kind: dialed, socket: s, transport: x})
	x.run()
}

func (l *Loop) newTLSConn(s *socket, raw *net.TCPConn, conn *tls.Conn) *tlsConn {
	x := &tlsConn{loop: l, socket: s, raw: raw, conn: conn}
	x.changed.L = &x.mu
	s.ownReader = true
	return x
}

// run serves the connection. The handshake has its own goroutine, as it needs more stack than those that remain.
func (x *tlsConn) run() {
	go func() {
		x.handshakeDone.Store(x.conn.Handshake() == nil) // an error is reported by the read that follows
		go x.read()
		go x.write()
	}()
}

func (x *tlsConn) read() {
	var err error
	var buf [tlsReadBytes]byte // a buffer of the pool would be held while the connection is idle
	for err == nil {
		var n int
		if n, err = x.conn.Read(buf[:]); n > 0 {
			b := x.loop.buffers.Get().(*[]byte)
			n = copy(*b, buf[:n])
			x.loop.post(event{kind: received, socket: x.socket, data: b, size: n})
		}
	}
	x.abort()
	_ = x.raw.Close()
	if !x.handshakeDone.Load() {
		x.loop.brokenHandshakes.Add(1)
	}
	if errors.Is(err, io.EOF) {
		err = core.ErrClosedByPeer
	}
	x.loop.post(event{kind: closed, socket: x.socket, err: err})
}

func (x *tlsConn) write() {
	var chunk []byte
	for {
		x.mu.Lock()
		for len(x.outgoing) == 0 && !x.closing && !x.aborted {
			x.changed.Wait()
		}
		chunk, x.outgoing = x.outgoing, chunk[:0]
		aborted, closing := x.aborted, len(chunk) == 0
		x.writing = !closing
		x.mu.Unlock()
		if aborted {
			return
		}
		if closing {
			_ = x.conn.Close() // sends close_notify
			return
		}
		if _, err := x.conn.Write(chunk); err != nil {
			x.abort()
			_ = x.raw.Close()
			return
		}
		x.mu.Lock()
		x.writing = false
		x.mu.Unlock()
		x.socket.writtenBytes.Add(int64(len(chunk)))
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

// Write queues bytes, which are written once the handshake is done.
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

// Close closes the connection: with close_notify if nothing is left to be written and the handshake is done, otherwise
// at once.
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

// SetLinger sets the linger time of the socket and closes it; with 0 the connection is reset.
func (x *tlsConn) SetLinger(_, linger int32) error {
	err := x.raw.SetLinger(int(linger))
	x.abort()
	return errors.Join(err, x.raw.Close())
}
