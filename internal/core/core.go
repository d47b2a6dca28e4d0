// Package core holds what every program of the project is built on: a core that decides and keeps
// protocol state, free of I/O, and the network that carries out what it asks. The same core runs on
// sockets (internal/edge) and on a virtual network under a virtual clock (internal/lab).
package core

import (
	"errors"
	"math"
)

// Time is a clock value or a span in whole microseconds.
type Time = int64

// Spans.
const (
	Millisecond Time = 1_000
	Second      Time = 1_000_000
	Never       Time = math.MaxInt64
)

// Errors that an edge gives to Closed and Dialed. Others stand for a broken connection.
var (
	ErrRefused = errors.New("connection refused")
	ErrEnded   = errors.New("connection ended by the peer")
)

// Conn is one connection. The core and the edge each hang their own state on it.
type Conn struct {
	Owner  any    // the core's
	Socket any    // the edge's
	From   string // where it is to come from, for a network that lets its core choose; set before Dial
	Secure bool   // what passes is encrypted: the edge says so before Accepted
}

// Net is what a core asks of its edge. Only the core's own goroutine calls it, within a turn.
type Net interface {
	Dial(c *Conn, addr string) // Dialed follows, unless Close comes first
	Send(c *Conn, b []byte)    // takes a copy
	Pending(c *Conn) int       // bytes sent that the network has not taken; Drained follows once there are none
	Close(c *Conn)             // once what was sent is out; no further events come
}

// HalfCloser is a Net that can end one way of a connection: nothing more is sent, and what the peer still sends goes on
// coming until it ends the other way, or Close.
type HalfCloser interface {
	CloseWrite(c *Conn)
}

// Core is a program without its sockets. One goroutine owns it. A turn is At, the events in the order of
// their coming, then Settle, which tells when it wants the next turn at the latest.
type Core interface {
	At(now Time)
	Accepted(c *Conn, from string)
	Dialed(c *Conn, err error)
	Received(c *Conn, b []byte) // b is the edge's; it is not kept
	Drained(c *Conn)
	Closed(c *Conn, err error)
	Settle() Time
}
