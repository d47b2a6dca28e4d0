// Package core defines the interface between a program's core, which decides and holds the protocol state without any
// I/O, and the network that executes its requests. The same core runs on sockets (internal/edge) and on a virtual
// network with a virtual clock (internal/lab).
package core

import (
	"errors"
	"math"
)

// Time is a point in time or a duration, in microseconds.
type Time = int64

// Durations, and a time that is never reached.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
	Never       Time = math.MaxInt64
)

// Errors that an edge passes to Closed and Dialed. Any other error means a broken connection.
var (
	ErrRefused      = errors.New("connection refused")
	ErrClosedByPeer = errors.New("connection closed by the peer")
)

// Conn is a connection. The core and the edge each attach their own state to it.
type Conn struct {
	Owner      any    // the core's state
	Socket     any    // the edge's state
	SourceAddr string // source address, on networks that let the core choose it; set before Dial
	Secure     bool   // traffic is encrypted; set by the edge before Accepted
}

// Net is the network as a core uses it. It is called only from the core's goroutine, within a turn.
type Net interface {
	Dial(c *Conn, addr string) // followed by Dialed, unless Close comes first
	Send(c *Conn, b []byte)    // copies b
	Pending(c *Conn) int       // bytes not yet taken by the network; Drained follows when none are left
	Close(c *Conn)             // closes after pending bytes have been sent; no further events follow
}

// HalfCloser is a Net that can close the sending direction of a connection. The peer's data is still received until the
// peer closes its direction, or until Close.
type HalfCloser interface {
	CloseWrite(c *Conn)
}

// PeerCloseObserver is a Core that is told that the peer has closed a connection before it gets the rest of what the peer
// had sent. Received may follow, and Closed does.
type PeerCloseObserver interface {
	PeerClosed(c *Conn)
}

// Core is a program without its sockets. It is owned by one goroutine, which runs it in turns: a turn starts with the
// current time, delivers events in the order of their arrival, and ends with EndTurn, which returns the latest time at
// which the next turn has to start. A core decides, and runs the timers that are due, in EndTurn: in a late turn the edge
// calls BeginTurn again and delivers more events until all that had arrived by then is known.
type Core interface {
	BeginTurn(now Time)            // starts a turn, or goes on with a late one
	Accepted(c *Conn, from string) // from is the peer's address
	Dialed(c *Conn, err error)     // err is nil if the connection is up
	Received(c *Conn, b []byte)    // b belongs to the edge and must not be kept
	Drained(c *Conn)               // no bytes are pending any more
	Closed(c *Conn, err error)     // ended by the peer or the network
	EndTurn() Time                 // ends a turn
}
