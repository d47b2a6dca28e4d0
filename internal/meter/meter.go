// Package meter keeps counts and values over a sliding time window, in a ring of fixed-width buckets.
package meter

// Time is a clock value in microseconds.
type Time = int64

// ring is a ring of buckets of one width in time.
type ring struct {
	width, latest Time // latest: number of the latest bucket, counted in widths from time 0
	buckets       []float64
}

// advance makes the bucket of now the latest one and returns its index. Buckets entered on the way start with first.
func (r *ring) advance(now Time, first float64) int64 {
	size := Time(len(r.buckets))
	index := now / r.width
	for i := max(r.latest+1, index-size+1); i <= index; i++ {
		r.buckets[i%size] = first
	}
	r.latest = max(r.latest, index)
	return r.latest % size
}

// Count counts events over a sliding span.
type Count struct{ ring }

// NewCount returns a count over span in the given number of buckets; it keeps one bucket more than that.
func NewCount(span Time, buckets int) Count {
	return Count{ring{width: max(span/Time(buckets), 1), buckets: make([]float64, buckets+1)}}
}

// Add adds x to the count at now.
func (c *Count) Add(now Time, x float64) { c.buckets[c.advance(now, 0)] += x }

// UpperBound returns the count over the span and up to one bucket more: an upper bound.
func (c *Count) UpperBound(now Time) (sum float64) {
	c.advance(now, 0)
	for _, x := range c.buckets {
		sum += x
	}
	return sum
}

// LowerBound returns the count over the span less up to one bucket: a lower bound.
func (c *Count) LowerBound(now Time) float64 {
	sum := c.UpperBound(now)
	return sum - c.buckets[(c.latest+1)%Time(len(c.buckets))]
}

// History keeps the earlier values of a quantity.
type History struct {
	ring
	current float64
}

// NewHistory returns a history of the given number of buckets of a width.
func NewHistory(width Time, buckets int) History {
	return History{ring: ring{width: max(width, 1), buckets: make([]float64, buckets)}}
}

// Set records the quantity's value from now on.
func (h *History) Set(now Time, x float64) {
	i := h.advance(now, h.current)
	h.current, h.buckets[i] = x, x
}

// At returns the value at the end of the bucket of then, or the oldest one kept.
func (h *History) At(now, then Time) float64 {
	h.advance(now, h.current)
	size := Time(len(h.buckets))
	return h.buckets[max(then/h.width, h.latest-size+1, 0)%size]
}
