package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"pierlink/internal/core"
)

// Dial connects, over TLS if the connection is to be secure.
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

// dial connects, from the source address of the connection if it has one. The poller's own dial is not used: it connects
// to 0.0.0.0 for every address of four bytes. OnOpen reports the connection before anything is received on it.
func (l *Loop) dial(ctx context.Context, s *socket, addr string) {
	defer s.cancel()
	tcp, err := dialFrom(ctx, s.coreConn.SourceAddr, addr, l.limits.DialTimeout)
	if err == nil {
		var conn *nbio.Conn
		if conn, err = nbio.NBConn(tcp); err != nil { // needs a second file descriptor for a moment
			_ = tcp.Close()
		} else {
			conn.SetSession(s)
			_, err = l.engine.AddConn(conn)
		}
	}
	if err != nil {
		l.post(event{kind: dialed, socket: s, err: dialError(err)})
	}
}

// dialFrom connects, from a source address unless that is empty. A cancelled dial closes its file descriptor at once.
func dialFrom(ctx context.Context, source, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return d.DialContext(ctx, "tcp", addr)
}

func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return core.ErrRefused
	}
	return err
}
