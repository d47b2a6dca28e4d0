package edge

import (
	"math"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"pierlink/internal/core"
)

// A turn that starts late, as the process was stopped or had too little processor time, finds its timers due while what
// peers have sent meanwhile may still lie unread in the sockets. Before such a turn ends, and with it decides and judges
// who has been silent, it delivers what had arrived by then.

const (
	lateTurn       = 20 * core.Millisecond // from which on a turn reads the sockets before it ends
	catchUpTimeout = 100 * time.Millisecond
	catchUpPoll    = 200 * time.Microsecond // between looks at the sockets while the poller posts no event
)

// untilClosed is the target of a connection that the peer has closed: more than will ever be delivered.
const untilClosed = math.MaxInt64

// catchUp delivers the bytes that wait unread in the sockets now, and the events before them. It returns when they are
// delivered, or after catchUpTimeout.
func (l *Loop) catchUp() {
	targets := map[*socket]int64{} // deliveredBytes of a socket when what waits there now has been delivered
	deadline := time.Now().Add(catchUpTimeout)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for time.Now().Before(deadline) {
		complete := l.findUnread(targets)
		events, stopped := l.takeEvents()
		if stopped || complete && len(events) == 0 && allDelivered(targets) {
			return
		}
		if len(events) > 0 {
			l.core.BeginTurn(Now())
			l.deliverAll(events)
			continue
		}
		timer.Reset(catchUpPoll)
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

func allDelivered(targets map[*socket]int64) bool {
	for s, target := range targets {
		if s.deliveredBytes < target && !s.closedForCore {
			return false
		}
	}
	return true
}

// findUnread sets the target of each socket in which bytes or a close wait, unless it has one. It reports whether all are
// known, and all that the poller had taken off a socket before has been posted.
func (l *Loop) findUnread(targets map[*socket]int64) (complete bool) {
	var sockets []*socket
	var descriptors []unix.PollFd
	for s := range l.sockets {
		conn, ok := s.transport.(*nbio.Conn) // connections under TLS have a goroutine each that reads
		if _, known := targets[s]; ok && !known && !s.closedForCore {
			sockets = append(sockets, s)
			descriptors = append(descriptors, unix.PollFd{Fd: int32(conn.Hash()), Events: unix.POLLIN | unix.POLLRDHUP})
		}
	}
	complete = true
	if _, err := unix.Poll(descriptors, 0); err == nil {
		for i, descriptor := range descriptors {
			if descriptor.Revents&(unix.POLLIN|unix.POLLRDHUP) != 0 {
				complete = l.setTarget(targets, sockets[i], descriptor) && complete
			}
		}
	}
	return complete && l.reading.Load() == nil
}

// setTarget sets the target of a socket with something to read. It reports false if the poller is reading from it.
func (l *Loop) setTarget(targets map[*socket]int64, s *socket, descriptor unix.PollFd) bool {
	if descriptor.Revents&unix.POLLRDHUP != 0 {
		targets[s] = untilClosed
		return true
	}
	posted := l.postedBytes(s)
	unread, err := unix.IoctlGetInt(int(descriptor.Fd), unix.SIOCINQ)
	if err != nil {
		return true
	}
	if l.reading.Load() == s || l.postedBytes(s) != posted {
		return false
	}
	targets[s] = posted + int64(unread)
	return true
}

// postedBytes returns how many bytes the poller has read from a socket and posted.
func (l *Loop) postedBytes(s *socket) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.postedBytes
}
