package lab

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// Relay is the bare TCP relay that the session manager is measured against: the same sockets, one
// goroutine, bytes through as they come, nothing read or decided.
type Relay struct {
	engine *nbio.Engine
	addr   string
}

type relayPipe struct {
	mu      sync.Mutex
	peer    *nbio.Conn
	pending []byte
}

// NewRelay listens and takes each connection on to an address.
func NewRelay(listen, to string) (*Relay, error) {
	r := &Relay{}
	var ln net.Listener
	e := nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{listen}, NPoller: 1, ReadBufferSize: 64 << 10,
		Listen: func(network, a string) (x net.Listener, err error) {
			ln, err = net.Listen(network, a)
			return ln, err
		}})
	r.engine = e
	e.OnOpen(func(c *nbio.Conn) {
		if c.Session() != nil {
			return
		}
		p := &relayPipe{}
		c.SetSession(p)
		err := e.DialAsync("tcp", to, func(up *nbio.Conn, err error) {
			if err != nil {
				_ = c.Close()
				return
			}
			_ = up.SetNoDelay(true)
			up.SetSession(&relayPipe{peer: c})
			p.mu.Lock()
			p.peer = up
			_, _ = up.Write(p.pending)
			p.pending = nil
			p.mu.Unlock()
		})
		if err != nil {
			_ = c.Close()
		}
	})
	e.OnData(func(c *nbio.Conn, b []byte) {
		p, ok := c.Session().(*relayPipe)
		if !ok {
			return
		}
		p.mu.Lock()
		if p.peer == nil {
			p.pending = append(p.pending, b...)
		} else {
			_, _ = p.peer.Write(b)
		}
		p.mu.Unlock()
	})
	e.OnClose(func(c *nbio.Conn, _ error) {
		if p, ok := c.Session().(*relayPipe); ok {
			p.mu.Lock()
			peer := p.peer
			p.mu.Unlock()
			if peer != nil {
				_ = peer.Close()
			}
		}
	})
	if err := e.Start(); err != nil {
		return nil, err
	}
	r.addr = ln.Addr().String()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.addr }

// Stop ends it.
func (r *Relay) Stop() { r.engine.Stop() }
