package life

// Orphan is a setup try or a playback that a process which has died may have left running at a media box.
type Orphan struct {
	Name         string // as the media box knows it: the request's id and the number of the try
	Address, URI string
	At           Time // when it was opened, in microseconds since 1970
}

const (
	firstRetryDivisor  = 64 // an unreachable media box is retried after its session timeout / firstRetryDivisor,
	retryBackoffFactor = 2  // and then with a backoff that grows by this factor
)

// Orphans schedules the teardown of orphans, with a limit on how many run at once. Those opened last come first:
// they would otherwise occupy capacity the longest. An unreachable media box is retried until its session timeout
// has passed since the orphans were found; by then it has ended the session by itself.
type Orphans struct {
	SessionTimeout Time                 // of sessions at media boxes
	MaxConcurrent  int                  // teardowns in flight at once
	Found          int                  // orphans added in all
	TornDown       int64                // teardown answered by the media box
	Expired        int64                // left to the session timeout
	queue          []*orphan            // to be torn down or retried
	inFlight       map[*orphan]struct{} // torn down now, without an answer yet
	foundAt        Time
}

type orphan struct {
	Orphan
	retryAt Time
	backoff Time // before the next retry
}

// Add queues the orphans that were found, given in the order in which they were opened.
func (o *Orphans) Add(all []Orphan, now Time) {
	if o.inFlight == nil {
		o.inFlight = map[*orphan]struct{}{}
	}
	o.foundAt = now
	o.Found += len(all)
	for i := range all {
		o.queue = append(o.queue, &orphan{Orphan: all[len(all)-1-i], backoff: o.SessionTimeout / firstRetryDivisor})
	}
}

// Remaining returns the number of orphans that are queued or being torn down.
func (o *Orphans) Remaining() int { return len(o.queue) + len(o.inFlight) }

// Dispatch calls tearDown for each orphan to be torn down now; done has to be called once the media box has answered or
// the attempt has failed. It returns the time by which it has to be called again, -1 for never.
func (o *Orphans) Dispatch(now Time, tearDown func(x Orphan, done func(now Time, answered bool))) Time {
	next := Time(-1)
	rest := o.queue[:0]
	for _, item := range o.queue {
		switch {
		case now-o.foundAt >= o.SessionTimeout:
			o.Expired++
			continue
		case item.retryAt > now:
			if next < 0 || item.retryAt < next {
				next = item.retryAt
			}
		case len(o.inFlight) < o.MaxConcurrent:
			o.inFlight[item] = struct{}{}
			tearDown(item.Orphan, func(now Time, answered bool) { o.finish(item, now, answered) })
			continue
		}
		rest = append(rest, item)
	}
	clear(o.queue[len(rest):])
	o.queue = rest
	if len(o.queue) > 0 && (next < 0 || next > o.foundAt+o.SessionTimeout) {
		next = o.foundAt + o.SessionTimeout
	}
	return next
}

func (o *Orphans) finish(item *orphan, now Time, answered bool) {
	if _, ok := o.inFlight[item]; !ok {
		return
	}
	delete(o.inFlight, item)
	if answered {
		o.TornDown++
		return
	}
	item.retryAt = now + item.backoff
	item.backoff *= retryBackoffFactor
	o.queue = append(o.queue, item)
}
