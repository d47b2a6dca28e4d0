// Package meter keeps measurements over time in fixed buckets that are used again in a ring.
package meter

// Time is a clock value in microseconds.
type Time = int64

// ring is the common part: buckets of one width, the latest at index at.
type ring struct {
	width, at Time
	n         []float64
}

// turn makes the bucket of now the latest one; those in between begin as first.
func (r *ring) turn(now Time, first float64) int64 {
	size := Time(len(r.n))
	at := now / r.width
	for i := max(r.at+1, at-size+1); i <= at; i++ {
		r.n[i%size] = first
	}
	r.at = max(r.at, at)
	return r.at % size
}

// Count counts events over a span.
type Count struct{ ring }

// NewCount counts over span in so many buckets, and keeps one bucket more.
func NewCount(span Time, buckets int) Count {
	return Count{ring{width: max(span/Time(buckets), 1), n: make([]float64, buckets+1)}}
}

// Add counts x now.
func (c *Count) Add(now Time, x float64) { c.n[c.turn(now, 0)] += x }

// Most is the count over the span and up to a bucket more; Least leaves out up to a bucket of the span.
func (c *Count) Most(now Time) (sum float64) {
	c.turn(now, 0)
	for _, x := range c.n {
		sum += x
	}
	return sum
}

// Least is the count over the span less up to a bucket.
func (c *Count) Least(now Time) float64 {
	sum := c.Most(now)
	return sum - c.n[(c.at+1)%Time(len(c.n))]
}

// Past remembers how a quantity stood at earlier times.
type Past struct {
	ring
	now float64
}

// NewPast remembers so many buckets of a width.
func NewPast(width Time, buckets int) Past {
	return Past{ring: ring{width: max(width, 1), n: make([]float64, buckets)}}
}

// Set gives the quantity its value from now on.
func (p *Past) Set(now Time, x float64) {
	i := p.turn(now, p.now)
	p.now, p.n[i] = x, x
}

// At is the value that stood at the end of the bucket of then, or the oldest one remembered.
func (p *Past) At(now, then Time) float64 {
	p.turn(now, p.now)
	size := Time(len(p.n))
	return p.n[max(then/p.width, p.at-size+1, 0)%size]
}
