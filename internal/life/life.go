// Package life decides how a session manager begins, drains, hands over and ends: when it listens, when it
// says that it is ready, what becomes of playbacks when it is to stop, and what a new process does with what
// a dead one left behind. It is free of I/O. docs/life.md tells the options weighed.
package life

import "fmt"

// Time is a clock value or span in microseconds.
type Time = int64

// State is a part of a process's life.
type State int

// The states, and what each promises.
const (
	Starting State = iota // nothing is accepted
	Ready                 // what is accepted is answered
	Draining              // nothing new is taken; what is owed is answered; what plays goes on, and is sent on in time
	Stopping              // all that plays ends, here and at the boxes
	Stopped               // nothing is left: the process may end
)

func (s State) String() string {
	return [...]string{"starting", "ready", "draining", "stopping", "stopped"}[s]
}

// Part is something that must stand before a process is ready.
type Prerequisite int

// The parts.
const (
	Settings Prerequisite = iota
	List                  // of servers, or the kept view of one
	Module
	prerequisiteCount
)

// Terms are told at the start.
type Terms struct {
	Drain  Time // how long playing sessions may run on
	Finish Time // the longest abandon time: by then every open set-up is answered
}

// Load is what is open at a moment.
type Load struct {
	Fresh     int // connections on which no request has come yet
	Waiting   int // playbacks not answered yet
	Playing   int
	Sent      int // of those that play: told to go elsewhere
	Dialogues int // connections to boxes
}

// Act is one thing to be done.
type Act struct {
	Kind ActionKind
	N    int // of SendOn
}

// Kind is what is to be done.
type ActionKind int

// The kinds.
const (
	Listen   ActionKind = iota // accept connections
	TellNews                   // tell the supervisor the state
	Hush                       // accept no more, after what has come already
	Refuse                     // answer what waits in line; every new request is sent elsewhere
	SendOn                     // tell N playing sessions to go elsewhere
	End                        // end all that plays, here and at the boxes
	Exit                       // the process may end
)

const (
	redirectDivisor     = 2 // sessions are sent on within this part of the drain time, evenly,
	handoverDivisor     = 2 // or after this part of it where the one that took over is at the same address
	firstRequestDivisor = 8 // connections that have come last have this part of it to ask for something
	teardownDivisor     = 4 // TEARDOWNs at the end have this part of the longest abandon time
)

// Life is where a process stands.
type Life struct {
	Terms
	now           Time
	state         State
	since         Time
	satisfied     [prerequisiteCount]bool
	stopRequests  int  // how often it was told to stop
	takenOver     bool // another process has taken over
	acceptStopped bool // no more connections come
	redirectTotal int  // sessions that played when the drain began

	applied struct { // what was carried out
		listening, notified, acceptStopped, rejected, ended, exited bool
		notifiedState                                               State
		redirected                                                  int
	}
}

// New makes one that starts.
func New(t Terms, now Time) *Life { return &Life{Terms: t, now: now, since: now} }

// At begins a turn.
func (l *Life) At(now Time) { l.now = max(l.now, now) }

// State is the present one, and since when.
func (l *Life) State() (State, Time) { return l.state, l.since }

// Has tells that a part stands.
func (l *Life) Has(p Prerequisite) { l.satisfied[p] = true }

// Stop tells it to end; told again it hurries, and told a third time it ends as it stands.
func (l *Life) Stop() { l.stopRequests++ }

// Hushed tells that no more connections come: those that had come are accepted.
func (l *Life) Hushed() { l.acceptStopped = true }

// TakenOver tells that another process accepts connections in its place.
func (l *Life) TakenOver() {
	if l.state == Ready {
		l.takenOver = true
	}
}

// Handed tells whether another process has taken its place.
func (l *Life) Handed() bool { return l.takenOver }

// Reload takes new terms; a drain under way goes by the new ones.
func (l *Life) Reload(t Terms) { l.Terms = t }

// wanted is the state that it should be in.
func (l *Life) targetState(x Load) State {
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
		// What has just come in has a while to say what it wants, or it would be let in for nothing.
		came := !l.acceptStopped || x.Fresh > 0 && age < l.Finish/firstRequestDivisor
		if l.stopRequests > 1 || l.takenOver && l.stopRequests > 0 || age >= max(l.Drain, l.Finish/firstRequestDivisor) || x.Waiting+x.Playing == 0 && !came {
			return Stopping
		}
	case Stopping:
		if l.stopRequests > 2 || x.Dialogues == 0 || age >= l.Finish/teardownDivisor {
			return Stopped
		}
	}
	return l.state
}

// due is how many of the sessions are to be told by now to go elsewhere, so that those who take them see
// them come evenly; and when the next one is due.
func (l *Life) redirectsDue() (n int, next Time) {
	from, span := l.since, l.Drain/redirectDivisor
	if l.takenOver { // they may stay as long as they can: nobody needs their place
		from, span = l.since+l.Drain/handoverDivisor, l.Drain/handoverDivisor/redirectDivisor
	}
	if l.now < from {
		return 0, from
	}
	end := l.since + l.Drain
	if span <= 0 || l.redirectTotal == 0 {
		return l.redirectTotal, end
	}
	n = min(int(float64(l.redirectTotal)*float64(l.now-from)/float64(span))+1, l.redirectTotal)
	if n == l.redirectTotal {
		return n, end
	}
	return n, from + Time(float64(n)*float64(span)/float64(l.redirectTotal)) + 1
}

// Settle emits the difference between what the state wants and what was carried out. It returns when it wants
// to be called again at the latest.
func (l *Life) Settle(x Load, do func(Act)) Time {
	for {
		next := l.targetState(x)
		if next == l.state {
			break
		}
		if l.state, l.since = next, l.now; next == Draining {
			l.redirectTotal = x.Playing
		}
	}
	p := &l.applied
	one := func(done *bool, when bool, k ActionKind) {
		if when && !*done {
			*done = true
			do(Act{Kind: k})
		}
	}
	one(&p.listening, l.state == Ready, Listen)
	one(&p.acceptStopped, l.state > Ready && p.listening, Hush)
	one(&p.rejected, l.state > Ready && p.listening, Refuse)
	next := l.now + Time(1)<<40
	if l.state == Draining {
		l.redirectTotal = max(l.redirectTotal, p.redirected+x.Playing-x.Sent) // set-ups that were open play meanwhile
		n, at := l.redirectsDue()
		if n > p.redirected {
			do(Act{Kind: SendOn, N: n - p.redirected})
			p.redirected = n
		}
		next = min(at, l.since+max(l.Drain, l.Finish/firstRequestDivisor))
		if x.Fresh > 0 {
			next = min(next, l.since+l.Finish/firstRequestDivisor)
		}
	}
	one(&p.ended, l.state > Draining && p.listening, End)
	if l.state == Stopping {
		next = l.since + l.Finish/teardownDivisor
	}
	if !p.notified || p.notifiedState != l.state {
		p.notified, p.notifiedState = true, l.state
		do(Act{Kind: TellNews})
	}
	one(&p.exited, l.state == Stopped, Exit)
	return max(next, l.now+1)
}

// String is the state in words.
func (l *Life) String() string {
	return fmt.Sprintf("%s for %.1f s", l.state, float64(l.now-l.since)/1e6)
}
