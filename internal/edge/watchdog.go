package edge

import (
	"sync/atomic"
	"time"

	"pierlink/internal/core"
)

// SlowTurn describes a turn of a loop that has not ended.
type SlowTurn struct {
	Running  time.Duration // time since its start
	Activity string        // what it was doing when it was looked at
	Peer     string        // remote address of the accepted connection whose event was handled, empty if there is none
}

// endingTurn is the activity of a turn whose events are handled: the core decides, and its timers run.
const endingTurn kind = called + 1

var activities = [...]string{accepted: "accepting a connection", dialed: "handling the outcome of a dial", received: "handling received bytes",
	drained: "handling a connection that has written all", closed: "handling the end of a connection", called: "running a posted function",
	endingTurn: "deciding and running timers"}

// turnProgress is what the loop's goroutine tells of its turn to others.
type turnProgress struct {
	startedAt atomic.Int64 // clock time in microseconds, 0 between turns
	activity  atomic.Int32 // a kind
	socket    atomic.Pointer[socket]
}

func (p *turnProgress) begin(now core.Time) { p.startedAt.Store(now) }

func (p *turnProgress) handle(activity kind, s *socket) {
	p.activity.Store(int32(activity))
	p.socket.Store(s)
}

func (p *turnProgress) end() {
	p.startedAt.Store(0)
	p.socket.Store(nil)
}

// WatchTurns calls report, on a goroutine of its own, once for each turn that takes longer than limit, while it still runs.
// It ends with the loop.
func (l *Loop) WatchTurns(limit time.Duration, report func(SlowTurn)) {
	go func() {
		ticker := time.NewTicker(limit / 4)
		defer ticker.Stop()
		reported := int64(0) // start of the turn that was reported last
		for {
			select {
			case <-l.done:
				return
			case <-ticker.C:
			}
			startedAt := l.progress.startedAt.Load()
			running := time.Duration(Now()-startedAt) * time.Microsecond
			if startedAt == 0 || startedAt == reported || running < limit {
				continue
			}
			reported = startedAt
			turn := SlowTurn{Running: running, Activity: activities[l.progress.activity.Load()]}
			if s := l.progress.socket.Load(); s != nil {
				turn.Peer = s.remoteAddr
			}
			report(turn)
		}
	}()
}
