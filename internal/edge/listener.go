package edge

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxMailboxEvents = 1 << 16               // events that wait before connections are no longer accepted, nor read
	finalAcceptTime  = 20 * time.Millisecond // what has come to a listener by its end is still accepted
	acceptRetryDelay = 5 * time.Millisecond  // after an accept that failed
)

// door accepts connections for a loop.
type listener struct {
	ln        *net.TCPListener
	tlsConfig *tls.Config // nil for one without TLS
	done      chan struct{}
}

// Listen binds an address and accepts there, with keys under TLS.
func (l *Loop) Listen(addr string, keys *tls.Config) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	l.Accept(ln.(*net.TCPListener), keys)
	return nil
}

// Accept accepts on a listener, which may be another process's too: each connection comes to one of them.
func (l *Loop) Accept(ln *net.TCPListener, keys *tls.Config) {
	d := &listener{ln: ln, tlsConfig: keys, done: make(chan struct{})}
	l.mu.Lock()
	l.listeners = append(l.listeners, d)
	if keys == nil {
		l.addr = ln.Addr().String()
	} else {
		l.secureAddr = ln.Addr().String()
	}
	l.mu.Unlock()
	go l.accept(d)
}

// Addr is where the loop listens without TLS; empty before it does.
func (l *Loop) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// SecureAddr is where it listens under TLS.
func (l *Loop) SecureAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.secureAddr
}

// Listeners are descriptors of the listeners for another process, that without TLS first; the caller closes them.
func (l *Loop) Listeners() (all []*os.File, err error) {
	l.mu.Lock()
	doors := slices.Clone(l.listeners)
	l.mu.Unlock()
	if len(doors) == 0 {
		return nil, errors.New("it does not listen")
	}
	slices.SortStableFunc(doors, func(a, b *listener) int {
		if (a.tlsConfig == nil) == (b.tlsConfig == nil) {
			return 0
		} else if a.tlsConfig == nil {
			return -1
		}
		return 1
	})
	for _, d := range doors {
		f, err := d.ln.File()
		if err != nil {
			for _, f := range all {
				_ = f.Close()
			}
			return nil, err
		}
		all = append(all, f)
	}
	return all, nil
}

// Hush accepts no more, after what has come already. Connections go on. It returns when that is done.
func (l *Loop) Hush() {
	l.mu.Lock()
	doors := l.listeners
	l.listeners, l.acceptStopped = nil, true
	l.spaceFreed.Broadcast()
	l.mu.Unlock()
	for _, d := range doors {
		_ = d.ln.SetDeadline(time.Now().Add(finalAcceptTime))
	}
	for _, d := range doors {
		<-d.done
	}
}

// Starved is how often a connection was closed unheard for want of a descriptor.
func (l *Loop) Starved() int64 { return l.descriptorRejects.Load() }

func (l *Loop) accept(d *listener) {
	defer close(d.done)
	defer d.ln.Close()
	// A descriptor in reserve: with none left, a connection could neither be accepted nor be told so, and
	// those behind it would wait for as long as their patience lasts.
	reserve, _ := os.Open(os.DevNull)
	defer func() { _ = reserve.Close() }()
	for {
		l.waitForRoom()
		c, err := d.ln.AcceptTCP()
		switch {
		case err == nil && d.tlsConfig != nil:
			l.acceptTLS(c, d.tlsConfig)
		case err == nil:
			l.mu.Lock()
			l.openAccepted++
			l.mu.Unlock()
			if _, err := l.engine.AddConn(c); err != nil {
				l.mu.Lock()
				l.openAccepted--
				l.mu.Unlock()
				l.descriptorRejects.Add(1)
				_ = c.Close()
			}
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			_ = reserve.Close()
			if c, err := d.ln.AcceptTCP(); err == nil {
				_ = c.SetLinger(0)
				_ = c.Close()
				l.descriptorRejects.Add(1)
			}
			reserve, _ = os.Open(os.DevNull)
			time.Sleep(acceptRetryDelay)
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// admit waits until the mailbox has room for a newcomer.
func (l *Loop) waitForRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for (len(l.mailbox) > maxMailboxEvents || l.limits.Doors > 0 && l.openAccepted >= l.limits.Doors) && !l.stopped && !l.acceptStopped {
		l.spaceFreed.Wait()
	}
}

// Unshaken is how many connections ended before their handshake was done.
func (l *Loop) Unshaken() int64 { return l.brokenHandshakes.Load() }

// counters that are read from outside the loop's goroutine.
type counters struct{ descriptorRejects, brokenHandshakes atomic.Int64 }
