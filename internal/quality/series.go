package quality

// series holds the figures of a group in a ring of time buckets.
type series struct {
	buckets     []Totals
	unblamed    []Totals // for a title without its playbacks on outlier racks, for a rack without those of outlier titles
	latest      Time     // number of the latest bucket
	outlier     bool
	clearChecks int // consecutive checks at which it was no outlier
}

// oldestKept returns the start of the oldest bucket that is kept.
func (c *Collector) oldestKept() Time {
	return (c.now/c.BucketWidth - Time(c.BucketCount) + 1) * c.BucketWidth
}

// splitByBucket calls visit for each bucket kept that an interval overlaps, with the seconds in that bucket. However long
// the interval is, there are no more of them than buckets.
func (c *Collector) splitByBucket(from, to Time, visit func(at Time, seconds float64)) {
	from, to = max(from, c.oldestKept()), min(to, (c.now/c.BucketWidth+1)*c.BucketWidth)
	for from < to {
		bucketEnd := min((from/c.BucketWidth+1)*c.BucketWidth, to)
		visit(from, float64(bucketEnd-from)/1e6)
		from = bucketEnd
	}
}

// series returns the series of a group, creating it if needed; a title beyond the limit shares one series
// with the other such titles.
func (c *Collector) series(group Group) *series {
	s := c.groups[group]
	if s == nil && group.Kind == Title && group.Title != OtherTitles {
		if c.titleCount >= max(c.MaxTitles, 1) {
			c.evictEmptyTitles()
		}
		if c.titleCount >= max(c.MaxTitles, 1) {
			group.Title = OtherTitles
			s = c.groups[group]
		} else {
			c.titleCount++
		}
	}
	if s == nil {
		s = &series{buckets: make([]Totals, c.BucketCount), unblamed: make([]Totals, c.BucketCount)}
		c.groups[group] = s
	}
	s.advance(c.now / c.BucketWidth)
	return s
}

// evictEmptyTitles removes titles without any figures left.
func (c *Collector) evictEmptyTitles() {
	for group, s := range c.groups {
		if group.Kind != Title || group.Title == OtherTitles || s.outlier {
			continue
		}
		s.advance(c.now / c.BucketWidth)
		if sum := s.sum(s.buckets); sum.RevenueDue == 0 && sum.Watched == 0 {
			delete(c.groups, group)
			c.titleCount--
		}
	}
}

// advance clears the buckets after the latest one up to the given one, which becomes the latest.
func (s *series) advance(bucket Time) {
	size := Time(len(s.buckets))
	for skipped := max(s.latest+1, bucket-size+1); skipped <= bucket; skipped++ {
		s.buckets[skipped%size], s.unblamed[skipped%size] = Totals{}, Totals{}
	}
	s.latest = max(s.latest, bucket)
}

func (s *series) add(buckets []Totals, bucket Time, figures *Totals) {
	if size := Time(len(buckets)); bucket > s.latest-size && bucket <= s.latest {
		buckets[bucket%size].add(figures)
	}
}

// recent returns the sum of the latest count buckets.
func (s *series) recent(buckets []Totals, count int) (total Totals) {
	size := Time(len(buckets))
	for bucket := max(s.latest-Time(count)+1, 0); bucket <= s.latest; bucket++ {
		total.add(&buckets[bucket%size])
	}
	return total
}

func (s *series) sum(buckets []Totals) (total Totals) {
	for i := range buckets {
		total.add(&buckets[i])
	}
	return total
}
