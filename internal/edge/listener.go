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
	maxMailboxEvents = 1 << 16               // queued events beyond which no connection is accepted or read
	finalAcceptTime  = 20 * time.Millisecond // how long connections that have arrived are still accepted after accepting is to stop
	acceptRetryDelay = 5 * time.Millisecond  // after an accept that failed
)

// listener accepts connections for a loop.
type listener struct {
	ln        *net.TCPListener
	tlsConfig *tls.Config // nil without TLS
	done      chan struct{}
}

// Listen binds an address and accepts connections there, over TLS if tlsConfig is not nil.
func (l *Loop) Listen(addr string, tlsConfig *tls.Config) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	l.Accept(ln.(*net.TCPListener), tlsConfig)
	return nil
}

// Accept accepts connections on a listener, over TLS if tlsConfig is not nil. Another process may accept on the same
// socket: each connection goes to one of the two.
func (l *Loop) Accept(ln *net.TCPListener, tlsConfig *tls.Config) {
	entry := &listener{ln: ln, tlsConfig: tlsConfig, done: make(chan struct{})}
	if l.limits.ReceiveWindow > 0 {
		setReceiveWindow(ln, l.limits.ReceiveWindow)
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, entry)
	if tlsConfig == nil {
		l.addr = ln.Addr().String()
	} else {
		l.secureAddr = ln.Addr().String()
	}
	l.mu.Unlock()
	go l.accept(entry)
}

// setReceiveWindow sets how much the system receives for each connection of a listener before it is read. Where that cannot
// be set, the system's default is in force.
func setReceiveWindow(ln *net.TCPListener, bytes int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
}

// Addr returns the address at which the loop listens without TLS; empty while it does not.
func (l *Loop) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// SecureAddr returns the address at which the loop listens with TLS; empty while it does not.
func (l *Loop) SecureAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.secureAddr
}

// Listeners returns duplicates of the listening sockets for another process, the one without TLS first. The caller has to
// close them.
func (l *Loop) Listeners() (files []*os.File, err error) {
	l.mu.Lock()
	listeners := slices.Clone(l.listeners)
	l.mu.Unlock()
	if len(listeners) == 0 {
		return nil, errors.New("the loop has no listener")
	}
	slices.SortStableFunc(listeners, func(a, b *listener) int {
		if (a.tlsConfig == nil) == (b.tlsConfig == nil) {
			return 0
		} else if a.tlsConfig == nil {
			return -1
		}
		return 1
	})
	for _, entry := range listeners {
		f, err := entry.ln.File()
		if err != nil {
			for _, f := range files {
				_ = f.Close()
			}
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// StopAccepting stops accepting connections, once those that have arrived are accepted, and returns when that is done.
// Open connections go on.
func (l *Loop) StopAccepting() {
	l.mu.Lock()
	listeners := l.listeners
	l.listeners, l.acceptStopped = nil, true
	l.spaceFreed.Broadcast()
	l.mu.Unlock()
	for _, entry := range listeners {
		_ = entry.ln.SetDeadline(time.Now().Add(finalAcceptTime))
	}
	for _, entry := range listeners {
		<-entry.done
	}
}

// DescriptorRejects returns how many connections were closed at once for lack of a file descriptor.
func (l *Loop) DescriptorRejects() int64 { return l.descriptorRejects.Load() }

func (l *Loop) accept(entry *listener) {
	defer close(entry.done)
	defer entry.ln.Close()
	// A spare descriptor: with none left, a connection could be neither accepted nor closed, and the client
	// and those queued behind it would wait until their own timeouts.
	reserve, _ := os.Open(os.DevNull)
	defer func() { _ = reserve.Close() }()
	for {
		l.waitForRoom()
		c, err := entry.ln.AcceptTCP()
		switch {
		case err == nil && entry.tlsConfig != nil:
			l.acceptTLS(c, entry.tlsConfig)
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
			if c, err := entry.ln.AcceptTCP(); err == nil {
				l.descriptorRejects.Add(1) // before the client can see the close
				_ = c.SetLinger(0)
				_ = c.Close()
			}
			reserve, _ = os.Open(os.DevNull)
			time.Sleep(acceptRetryDelay)
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// waitForRoom waits until the mailbox and the connection limit allow another connection.
func (l *Loop) waitForRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for (len(l.mailbox) > maxMailboxEvents || l.limits.MaxConnections > 0 && l.openAccepted >= l.limits.MaxConnections) && !l.stopped && !l.acceptStopped {
		l.spaceFreed.Wait()
	}
}

// BrokenHandshakes returns how many TLS connections ended before their handshake was done.
func (l *Loop) BrokenHandshakes() int64 { return l.brokenHandshakes.Load() }

// counters may be read from outside the loop's goroutine.
type counters struct{ descriptorRejects, brokenHandshakes atomic.Int64 }
