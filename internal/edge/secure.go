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

const secureRead = 2 << 10

// wire is what the loop needs of a connection.
type wire interface {
	Write(b []byte) (int, error) // takes a copy; what it could not write yet it writes later
	Close() error
	SetLinger(onoff, linger int32) error
}

// secured is a connection under TLS (RFC 8446). The poller cannot be given one, as a record may need reading before
// it can be written: two goroutines carry it, one for each way. The core has it from its accepting on, so that the
// door's limits hold for handshakes as for anybody who has not asked yet.
type secured struct {
	l      *Loop
	s      *socket
	raw    *net.TCPConn
	tls    *tls.Conn
	shaken atomic.Bool // tls's own word on it waits for a handshake under way

	mu   sync.Mutex
	more sync.Cond
	out  []byte
	busy bool // bytes are being written
	over bool // close once out is empty
	dead bool
}

// secure takes a connection in.
func (l *Loop) secure(c *net.TCPConn, keys *tls.Config) {
	s := &socket{}
	s.own = &s.conn
	s.conn.Socket, s.conn.Secure = s, true
	x := l.carry(s, c, tls.Server(c, keys))
	s.nb = x
	l.post(event{kind: accepted, sock: s, where: c.RemoteAddr().String()})
	x.run()
}

// Trust tells whose certificates are good when the loop's own core connects.
func (l *Loop) Trust(t *tls.Config) { l.trust = t }

// secureTo connects. The handshake is done with the first bytes; where it fails the connection ends.
func (l *Loop) secureTo(ctx context.Context, s *socket, addr string) {
	defer s.cancel()
	c, err := from(ctx, s.own.From, addr, l.has.Dials)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = core.ErrRefused
		}
		l.post(event{kind: dialed, sock: s, err: err})
		return
	}
	t := &tls.Config{}
	if l.trust != nil {
		t = l.trust.Clone()
	}
	if t.ServerName == "" {
		t.ServerName, _, _ = net.SplitHostPort(addr)
	}
	raw := c.(*net.TCPConn)
	x := l.carry(s, raw, tls.Client(raw, t))
	l.post(event{kind: dialed, sock: s, nb: x})
	x.run()
}

func (l *Loop) carry(s *socket, raw *net.TCPConn, t *tls.Conn) *secured {
	x := &secured{l: l, s: s, raw: raw, tls: t}
	x.more.L = &x.mu
	return x
}

// run carries it. The handshake has a goroutine of its own, as it needs more stack than those that stay.
func (x *secured) run() {
	go func() {
		x.shaken.Store(x.tls.Handshake() == nil) // reading tells what went wrong
		go x.read()
		go x.write()
	}()
}

func (x *secured) read() {
	var err error
	var own [secureRead]byte // a buffer of the pool would be held for as long as nothing comes
	for err == nil {
		var n int
		if n, err = x.tls.Read(own[:]); n > 0 {
			b := x.l.buffers.Get().(*[]byte)
			n = copy(*b, own[:n])
			x.l.post(event{kind: received, sock: x.s, data: b, size: n})
		}
	}
	x.die()
	_ = x.raw.Close()
	if !x.shaken.Load() {
		x.l.unshaken.Add(1)
	}
	if errors.Is(err, io.EOF) {
		err = core.ErrEnded
	}
	x.l.post(event{kind: closed, sock: x.s, err: err})
}

func (x *secured) write() {
	var out []byte
	for {
		x.mu.Lock()
		for len(x.out) == 0 && !x.over && !x.dead {
			x.more.Wait()
		}
		out, x.out = x.out, out[:0]
		dead, over := x.dead, len(out) == 0
		x.busy = !over
		x.mu.Unlock()
		if dead {
			return
		}
		if over {
			_ = x.tls.Close() // with its close_notify
			return
		}
		if _, err := x.tls.Write(out); err != nil {
			x.die()
			_ = x.raw.Close()
			return
		}
		x.mu.Lock()
		x.busy = false
		x.mu.Unlock()
		x.s.written.Add(int64(len(out)))
		if x.s.waiting.CompareAndSwap(true, false) {
			x.l.post(event{kind: drained, sock: x.s})
		}
	}
}

func (x *secured) die() {
	x.mu.Lock()
	x.dead = true
	x.more.Signal()
	x.mu.Unlock()
}

// Write has the bytes written, once the handshake is done.
func (x *secured) Write(b []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.dead || x.over {
		return 0, net.ErrClosed
	}
	x.out = append(x.out, b...)
	x.more.Signal()
	return len(b), nil
}

// Close ends the connection: with a word of it where nothing is left to be written, otherwise at once, as it does
// before the handshake is done.
func (x *secured) Close() error {
	x.mu.Lock()
	x.over = true
	idle := len(x.out) == 0 && !x.busy
	x.more.Signal()
	x.mu.Unlock()
	if idle && x.shaken.Load() {
		return nil
	}
	x.die()
	return x.raw.Close()
}

// SetLinger with 0 has the connection reset by its closing.
func (x *secured) SetLinger(_, linger int32) error {
	err := x.raw.SetLinger(int(linger))
	x.die()
	return errors.Join(err, x.raw.Close())
}
