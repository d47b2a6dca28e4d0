package life

// Orphan is a try or a playback that a dead process may have left running at a box.
type Orphan struct {
	Name         string // as the box knows it: the request's id, and the try's number
	Address, URI string
	At           Time // when it was opened
}

const (
	firstRetryDivisor  = 64 // a box that cannot be reached is asked again after this part of its session time-out,
	retryBackoffFactor = 2  // and then after so many times as long
)

// Orphans decides which of them are torn down when. So many at once at most, those opened last first: they
// have the most time left to sit on a place. A box that cannot be reached is tried again until its own
// session time-out has passed since it was found, when what ran there has ended by itself.
type Orphans struct {
	Timeout  Time // of sessions at boxes
	AtOnce   int
	Found    int
	TornDown int64 // answered by their boxes
	Expired  int64 // left to the time-out
	queue    []*orphan
	inFlight map[*orphan]struct{}
	foundAt  Time
}

type orphan struct {
	Orphan
	retryAt Time
	backoff Time
}

// Take adds what was found.
func (o *Orphans) Take(all []Orphan, now Time) {
	if o.inFlight == nil {
		o.inFlight = map[*orphan]struct{}{}
	}
	o.foundAt = now
	o.Found += len(all)
	for i := range all {
		o.queue = append(o.queue, &orphan{Orphan: all[len(all)-1-i], backoff: o.Timeout / firstRetryDivisor})
	}
}

// Left is how many are not settled yet.
func (o *Orphans) Left() int { return len(o.queue) + len(o.inFlight) }

// Settle emits those to be torn down now; done is to be called for each with whether its box has answered. It
// returns when it wants to be called again, never as -1.
func (o *Orphans) Settle(now Time, free func(x Orphan, done func(now Time, answered bool))) Time {
	next := Time(-1)
	rest := o.queue[:0]
	for _, x := range o.queue {
		switch {
		case now-o.foundAt >= o.Timeout:
			o.Expired++
			continue
		case x.retryAt > now:
			if next < 0 || x.retryAt < next {
				next = x.retryAt
			}
		case len(o.inFlight) < o.AtOnce:
			o.inFlight[x] = struct{}{}
			free(x.Orphan, func(now Time, answered bool) { o.finish(x, now, answered) })
			continue
		}
		rest = append(rest, x)
	}
	clear(o.queue[len(rest):])
	o.queue = rest
	if len(o.queue) > 0 && (next < 0 || next > o.foundAt+o.Timeout) {
		next = o.foundAt + o.Timeout
	}
	return next
}

func (o *Orphans) finish(x *orphan, now Time, answered bool) {
	if _, out := o.inFlight[x]; !out {
		return
	}
	delete(o.inFlight, x)
	if answered {
		o.TornDown++
		return
	}
	x.retryAt = now + x.backoff
	x.backoff *= retryBackoffFactor
	o.queue = append(o.queue, x)
}
