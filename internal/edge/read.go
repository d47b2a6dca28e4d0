package edge

import (
	"errors"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// maxReadsPerEvent is how many buffers are read from a connection before others get their turn.
const maxReadsPerEvent = 3

// readConn reads a connection when the poller finds it readable, and posts what it reads. The poller closes a connection
// once its peer has, whatever is unread by then, so one that the peer has closed is read to its end at once.
func (l *Loop) readConn(conn *nbio.Conn) {
	l.pollerRuns.Store(true)
	if probe, ok := conn.Session().(*startProbe); ok {
		probe.handleRead(conn)
		return
	}
	s, ok := conn.Session().(*socket)
	if !ok {
		return
	}
	l.reading.Store(s)
	defer l.reading.Store(nil)
	for reads := 1; ; reads++ {
		buffer := l.buffers.Get().(*[]byte)
		n, err := conn.Read(*buffer)
		if n > 0 {
			l.post(event{kind: received, socket: s, data: buffer, size: n})
		} else {
			l.buffers.Put(buffer)
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			_ = conn.CloseWithError(err)
			return
		case n < len(*buffer), reads >= maxReadsPerEvent && !closedByPeer(conn):
			return
		}
	}
}

// closedByPeer reports whether the peer has closed its sending direction.
func closedByPeer(conn *nbio.Conn) bool {
	descriptors := []unix.PollFd{{Fd: int32(conn.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(descriptors, 0)
	return err == nil && n > 0
}
