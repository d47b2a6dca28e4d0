package edge

import (
	"net"
	"os"
	"syscall"

	"github.com/lesismal/nbio"
)

// startProbe is the session of a connection that shows that the poller runs.
type startProbe struct{ read chan struct{} }

// awaitPoller waits until the poller's goroutine runs. As it starts it clears the stop of its engine, so that an engine
// stopped before would never end (nbio 1.6.8, readWriteLoop). A poller that has read something runs; otherwise it is given
// something to read.
func (l *Loop) awaitPoller() {
	if l.pollerRuns.Load() {
		return
	}
	near, far, err := connectedPair()
	if err != nil {
		return
	}
	defer far.Close()
	conn, err := nbio.NBConn(near)
	if err != nil {
		_ = near.Close()
		return
	}
	probe := &startProbe{read: make(chan struct{}, 1)}
	conn.SetSession(probe)
	if _, err := l.engine.AddConn(conn); err != nil {
		return
	}
	defer conn.Close()
	if _, err := far.Write([]byte{0}); err == nil {
		<-probe.read
	}
}

// connectedPair returns two connections that are connected to each other.
func connectedPair() (near, far net.Conn, err error) {
	descriptors, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	var conns [2]net.Conn
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "pair")
		conn, connErr := net.FileConn(file) // duplicates the descriptor
		_ = file.Close()
		if connErr != nil {
			err = connErr
			continue
		}
		conns[i] = conn
	}
	if err != nil {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
		return nil, nil, err
	}
	return conns[0], conns[1], nil
}

// handleRead reads the connection of a start probe.
func (p *startProbe) handleRead(conn *nbio.Conn) {
	_, _ = conn.Read(make([]byte, 1))
	select {
	case p.read <- struct{}{}:
	default:
	}
}
