package edge

import "sync"

// Poster posts to a loop that may not be there yet: what comes before it waits for it.
type Poster struct {
	mu      sync.Mutex
	loop    *Loop
	pending []func()
}

// Post has a function run by the goroutine that owns the loop's core.
func (p *Poster) Post(call func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loop == nil {
		p.pending = append(p.pending, call)
		return
	}
	p.loop.Post(call)
}

// To names the loop.
func (p *Poster) To(l *Loop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loop = l
	for _, call := range p.pending {
		l.Post(call)
	}
	p.pending = nil
}
