package edge

import (
	"errors"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	maxReadsPerEvent = 3                // buffers read from a connection before others get their turn
	maxQueuedBuffers = 2                // buffers of a connection in the mailbox, beyond which it is not read: its share of a turn
	readPause        = time.Millisecond // wait before connections that have used their share are looked at again
)

// readConn reads a connection when the poller finds it readable, and posts what it reads. A connection whose share of the
// mailbox is used is left for later, so that one that sends at full speed does not keep the others waiting. The poller
// closes a connection once its peer has, whatever is unread by then, so one that the peer has closed is read to its end at
// once.
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
		peerClosed := closedByPeer(conn)
		if l.shareUsed(s, peerClosed) && !peerClosed {
			l.pauseReading()
			return
		}
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
		case n < len(*buffer), reads >= maxReadsPerEvent && !peerClosed:
			return
		}
	}
}

// shareUsed reports whether a connection has its share of the mailbox, and records whether the peer has closed it.
func (l *Loop) shareUsed(s *socket, peerClosed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.peerClosed.Store(peerClosed)
	return s.queuedBuffers >= maxQueuedBuffers
}

// pauseReading waits until the loop has taken events from the mailbox, and readPause at most. The poller would otherwise
// find the connection readable again and again. It waits once for all connections that it has found readable together.
func (l *Loop) pauseReading() {
	if time.Since(l.pausedAt) < readPause {
		return
	}
	timer := time.NewTimer(readPause)
	defer timer.Stop()
	select {
	case <-l.eventsTaken:
	case <-timer.C:
	}
	l.pausedAt = time.Now()
}

// closedByPeer reports whether the peer has closed its sending direction.
func closedByPeer(conn *nbio.Conn) bool {
	descriptors := []unix.PollFd{{Fd: int32(conn.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(descriptors, 0)
	return err == nil && n > 0
}
