// Package life is the process lifecycle of a session manager: startup, readiness, drain, handover to another
// process and shutdown. It decides when the process listens and reports that it is ready, what happens to
// playbacks when it has to stop, when it sheds load, and how sessions that a crashed process left at media boxes
// are torn down. It does no I/O. docs/life.md describes the alternatives considered.
package life

import "fmt"

// Time is a clock value or span in microseconds.
type Time = int64

// State is a state of the process lifecycle.
type State int

// The states in their order; a process never goes back to an earlier one.
const (
	Starting State = iota // connections are not accepted yet
	Ready                 // connections are accepted, requests are answered
	Draining              // new requests are rejected, pending ones answered; playbacks go on and are redirected
	Stopping              // all playbacks are being ended, here and at the media boxes
	Stopped               // nothing is open: the process may exit
)

func (s State) String() string {
	return [...]string{"starting", "ready", "draining", "stopping", "stopped"}[s]
}

// Prerequisite is something that has to be in place before the process is ready.
type Prerequisite int

// The prerequisites.
const (
	SettingsLoaded   Prerequisite = iota // the settings are read
	ServerListLoaded                     // the server list, or a saved view of it, is loaded
	PolicyLoaded                         // the policy module is created
	prerequisiteCount
)

// Timeouts are the time limits of a drain; the settings give them.
type Timeouts struct {
	Drain          Time // how long playing sessions may go on
	MaxAbandonTime Time // the longest abandon time: by then every pending setup has been answered
}

// Load counts what is open at present.
type Load struct {
	NewConnections    int // connections without a complete request so far
	Unanswered        int // playbacks that wait for an answer
	Playing           int
	Redirected        int // those of Playing that were redirected to another session manager
	ServerConnections int // connections to media boxes
}

// Action is one step that the process has to carry out.
type Action struct {
	Kind  ActionKind
	Count int // sessions to redirect
}

// ActionKind is what a step does.
type ActionKind int

// The kinds of steps.
const (
	Listen           ActionKind = iota // accept connections
	NotifySupervisor                   // report the state to the supervisor
	StopAccepting                      // stop accepting, once connections that have arrived are accepted
	RejectQueued                       // reject queued requests; redirect every new request
	RedirectPlaying                    // redirect the given number of playing sessions to other session managers
	EndPlaybacks                       // end all playbacks, here and at the media boxes
	Exit                               // the process may exit
)

const (
	redirectDivisor     = 2 // sessions are redirected evenly over drain time / redirectDivisor,
	handoverDivisor     = 2 // after a takeover (the new process is at the same address) only from drain time / handoverDivisor on
	firstRequestDivisor = 8 // the last connections have longest abandon time / firstRequestDivisor to send a request
	teardownDivisor     = 4 // TEARDOWNs at the end have longest abandon time / teardownDivisor to be answered
)

// Lifecycle is the lifecycle of one process. Inputs change its state; it emits the steps that the process has
// to carry out.
type Lifecycle struct {
	Timeouts
	now           Time
	state         State
	since         Time
	satisfied     [prerequisiteCount]bool
	stopRequests  int  // calls of Stop
	takenOver     bool // by another process
	acceptStopped bool // no further connections arrive
	redirectTotal int  // sessions to redirect over the whole drain

	applied struct { // steps emitted so far
		listening, notified, acceptStopped, rejected, ended, exited bool
		notifiedState                                               State
		redirected                                                  int
	}
}

// New returns the lifecycle of a process that starts now.
func New(t Timeouts, now Time) *Lifecycle { return &Lifecycle{Timeouts: t, now: now, since: now} }

// Advance sets the present time; a time before the last one is ignored.
func (l *Lifecycle) Advance(now Time) { l.now = max(l.now, now) }

// State returns the present state and the time of its beginning.
func (l *Lifecycle) State() (State, Time) { return l.state, l.since }

// Satisfy records that a prerequisite is met.
func (l *Lifecycle) Satisfy(p Prerequisite) { l.satisfied[p] = true }

// Stop requests a drain. A second call, or one after a takeover, cuts the drain short; a third one ends the process
// at once.
func (l *Lifecycle) Stop() { l.stopRequests++ }

// AcceptStopped reports that accepting has stopped: connections that had arrived by then are accepted, none follow.
func (l *Lifecycle) AcceptStopped() { l.acceptStopped = true }

// TakenOver reports that another process accepts connections in place of this one, which then drains.
// It has no effect unless the process is ready.
func (l *Lifecycle) TakenOver() {
	if l.state == Ready {
		l.takenOver = true
	}
}

// HandedOver reports whether another process has taken over.
func (l *Lifecycle) HandedOver() bool { return l.takenOver }

// Reload replaces the time limits; they apply to a drain under way too.
func (l *Lifecycle) Reload(t Timeouts) { l.Timeouts = t }

// targetState returns the state that the process should be in, at most one step on from the present one.
func (l *Lifecycle) targetState(load Load) State {
	age := l.now - l.since
	switch l.state {
	case Starting:
		if l.stopRequests > 0 {
			return Stopped
		}
		for _, ok := range l.satisfied {
			if !ok {
				return Starting
			}
		}
		return Ready
	case Ready:
		if l.stopRequests > 0 || l.takenOver {
			return Draining
		}
	case Draining:
		// Connections accepted last get time to send a request; otherwise they would be accepted only to be closed.
		arriving := !l.acceptStopped || load.NewConnections > 0 && age < l.MaxAbandonTime/firstRequestDivisor
		if l.stopRequests > 1 || l.takenOver && l.stopRequests > 0 || age >= max(l.Drain, l.MaxAbandonTime/firstRequestDivisor) || load.Unanswered+load.Playing == 0 && !arriving {
			return Stopping
		}
	case Stopping:
		if l.stopRequests > 2 || load.ServerConnections == 0 || age >= l.MaxAbandonTime/teardownDivisor {
			return Stopped
		}
	}
	return l.state
}

// redirectsDue returns how many sessions should have been redirected by now, and when the next one is due. They are
// spread evenly over time so that the session managers that receive them see no burst.
func (l *Lifecycle) redirectsDue() (count int, next Time) {
	from, span := l.since, l.Drain/redirectDivisor
	if l.takenOver { // sessions may stay as long as possible: no other process needs their place
		from, span = l.since+l.Drain/handoverDivisor, l.Drain/handoverDivisor/redirectDivisor
	}
	if l.now < from {
		return 0, from
	}
	end := l.since + l.Drain
	if span <= 0 || l.redirectTotal == 0 {
		return l.redirectTotal, end
	}
	count = min(int(float64(l.redirectTotal)*float64(l.now-from)/float64(span))+1, l.redirectTotal)
	if count == l.redirectTotal {
		return count, end
	}
	return count, from + Time(float64(count)*float64(span)/float64(l.redirectTotal)) + 1
}

// Reconcile moves on to the state that the inputs call for and emits the steps that it requires and that have not
// been emitted yet. It returns the time by which it has to be called again.
func (l *Lifecycle) Reconcile(load Load, emit func(Action)) Time {
	for {
		next := l.targetState(load)
		if next == l.state {
			break
		}
		if l.state, l.since = next, l.now; next == Draining {
			l.redirectTotal = load.Playing
		}
	}
	applied := &l.applied
	once := func(done *bool, when bool, kind ActionKind) {
		if when && !*done {
			*done = true
			emit(Action{Kind: kind})
		}
	}
	once(&applied.listening, l.state == Ready, Listen)
	once(&applied.acceptStopped, l.state > Ready && applied.listening, StopAccepting)
	once(&applied.rejected, l.state > Ready && applied.listening, RejectQueued)
	next := l.now + Time(1)<<40
	if l.state == Draining {
		l.redirectTotal = max(l.redirectTotal, applied.redirected+load.Playing-load.Redirected) // setups that were pending at the start of the drain may play by now
		due, at := l.redirectsDue()
		if due > applied.redirected {
			emit(Action{Kind: RedirectPlaying, Count: due - applied.redirected})
			applied.redirected = due
		}
		next = min(at, l.since+max(l.Drain, l.MaxAbandonTime/firstRequestDivisor))
		if load.NewConnections > 0 {
			next = min(next, l.since+l.MaxAbandonTime/firstRequestDivisor)
		}
	}
	once(&applied.ended, l.state > Draining && applied.listening, EndPlaybacks)
	if l.state == Stopping {
		next = l.since + l.MaxAbandonTime/teardownDivisor
	}
	if !applied.notified || applied.notifiedState != l.state {
		applied.notified, applied.notifiedState = true, l.state
		emit(Action{Kind: NotifySupervisor})
	}
	once(&applied.exited, l.state == Stopped, Exit)
	return max(next, l.now+1)
}

// String returns the state and its duration as text.
func (l *Lifecycle) String() string {
	return fmt.Sprintf("%s for %.1f s", l.state, float64(l.now-l.since)/1e6)
}
