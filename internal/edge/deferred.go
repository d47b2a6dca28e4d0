package edge

import "sync"

// Poster posts functions to a loop that may not exist yet; they are queued until it does.
type Poster struct {
	mu      sync.Mutex
	loop    *Loop
	pending []func() // posted before the loop was set
}

// Post runs a function on the goroutine that owns the loop's core.
func (p *Poster) Post(call func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loop == nil {
		p.pending = append(p.pending, call)
		return
	}
	p.loop.Post(call)
}

// To sets the loop and posts the queued functions to it.
func (p *Poster) To(l *Loop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loop = l
	for _, call := range p.pending {
		l.Post(call)
	}
	p.pending = nil
}
