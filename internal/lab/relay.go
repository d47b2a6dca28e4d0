package lab

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
)

// Relay is a plain TCP relay that the session manager is compared with in benchmarks: the same sockets, one
// goroutine, and bytes forwarded as they arrive without being parsed.
type Relay struct {
	engine *nbio.Engine
	addr   string
}

// relayPipe is the state of one side of a relayed connection.
type relayPipe struct {
	mu      sync.Mutex
	peer    *nbio.Conn
	pending []byte // received before the upstream connection opened
}

// NewRelay listens on an address and forwards each connection to another.
func NewRelay(listen, target string) (*Relay, error) {
	r := &Relay{}
	var listener net.Listener
	engine := nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{listen}, NPoller: 1, ReadBufferSize: 64 << 10,
		Listen: func(network, address string) (opened net.Listener, err error) {
			listener, err = net.Listen(network, address)
			return listener, err
		}})
	r.engine = engine
	engine.OnOpen(func(c *nbio.Conn) {
		if c.Session() != nil {
			return
		}
		source := &relayPipe{}
		c.SetSession(source)
		err := engine.DialAsync("tcp", target, func(upstream *nbio.Conn, err error) {
			if err != nil {
				_ = c.Close()
				return
			}
			_ = upstream.SetNoDelay(true)
			upstream.SetSession(&relayPipe{peer: c})
			source.mu.Lock()
			source.peer = upstream
			_, _ = upstream.Write(source.pending)
			source.pending = nil
			source.mu.Unlock()
		})
		if err != nil {
			_ = c.Close()
		}
	})
	engine.OnData(func(c *nbio.Conn, b []byte) {
		pipe, ok := c.Session().(*relayPipe)
		if !ok {
			return
		}
		pipe.mu.Lock()
		if pipe.peer == nil {
			pipe.pending = append(pipe.pending, b...)
		} else {
			_, _ = pipe.peer.Write(b)
		}
		pipe.mu.Unlock()
	})
	engine.OnClose(func(c *nbio.Conn, _ error) {
		if pipe, ok := c.Session().(*relayPipe); ok {
			pipe.mu.Lock()
			peer := pipe.peer
			pipe.mu.Unlock()
			if peer != nil {
				_ = peer.Close()
			}
		}
	})
	if err := engine.Start(); err != nil {
		return nil, err
	}
	r.addr = listener.Addr().String()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.addr }

// Stop stops the relay.
func (r *Relay) Stop() { r.engine.Stop() }
