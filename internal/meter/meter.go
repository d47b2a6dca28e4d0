// Package meter keeps measurements over time in fixed buckets that are used again in a ring.
package meter

// Time is a clock value in microseconds.
type Time = int64

// ring is the common part: buckets of one width, the latest at index at.
type ring struct {
	width, latest Time
	buckets       []float64
}

// turn makes the bucket of now the latest one; those in between begin as first.
func (r *ring) advance(now Time, first float64) int64 {
	size := Time(len(r.buckets))
	index := now / r.width
	for i := max(r.latest+1, index-size+1); i <= index; i++ {
		r.buckets[i%size] = first
	}
	r.latest = max(r.latest, index)
	return r.latest % size
}

// Count counts events over a span.
type Count struct{ ring }

// NewCount counts over span in so many buckets, and keeps one bucket more.
func NewCount(span Time, buckets int) Count {
	return Count{ring{width: max(span/Time(buckets), 1), buckets: make([]float64, buckets+1)}}
}

// Add counts x now.
func (c *Count) Add(now Time, x float64) { c.buckets[c.advance(now, 0)] += x }

// Most is the count over the span and up to a bucket more; Least leaves out up to a bucket of the span.
func (c *Count) Most(now Time) (sum float64) {
	c.advance(now, 0)
	for _, x := range c.buckets {
		sum += x
	}
	return sum
}

// LowerBound is the count over the span less up to a bucket.
func (c *Count) LowerBound(now Time) float64 {
	sum := c.Most(now)
	return sum - c.buckets[(c.latest+1)%Time(len(c.buckets))]
}

// Past remembers how a quantity stood at earlier times.
type History struct {
	ring
	current float64
}

// NewPast remembers so many buckets of a width.
func NewHistory(width Time, buckets int) History {
	return History{ring: ring{width: max(width, 1), buckets: make([]float64, buckets)}}
}

// Set gives the quantity its value from now on.
func (h *History) Set(now Time, x float64) {
	i := h.advance(now, h.current)
	h.current, h.buckets[i] = x, x
}

// At is the value that stood at the end of the bucket of then, or the oldest one remembered.
func (h *History) At(now, then Time) float64 {
	h.advance(now, h.current)
	size := Time(len(h.buckets))
	return h.buckets[max(then/h.width, h.latest-size+1, 0)%size]
}
