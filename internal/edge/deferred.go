package edge

import "sync"

// DeferredLoop posts functions to a loop that may not exist yet; they are queued until it does.
type DeferredLoop struct {
	mu      sync.Mutex
	loop    *Loop
	pending []func() // posted before the loop was set
}

// Post runs a function on the goroutine that owns the loop's core.
func (p *DeferredLoop) Post(call func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loop == nil {
		p.pending = append(p.pending, call)
		return
	}
	p.loop.Post(call)
}

// Bind sets the loop and posts the queued functions to it.
func (p *DeferredLoop) Bind(l *Loop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loop = l
	for _, call := range p.pending {
		l.Post(call)
	}
	p.pending = nil
}
