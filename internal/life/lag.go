package life

const (
	lagBuckets       = 8  // of the sliding window
	shedDivisor      = 4  // new requests are shed while the lag exceeds startup target / shedDivisor,
	loadDataLifetime = 64 // startup targets after which saved load data of an earlier process is out of date
	lagWindowDivisor = 2  // and for startup target / lagWindowDivisor after the last late turn
)

// LagMonitor measures the processing lag of the event loop: the time from the arrival of an event to the end of the
// turn that handles it. New requests are shed while the lag is high, so that answers to accepted requests do not
// come late, whether the process is slow because of its own load, the load of the machine or a pause. The cost
// is that a single slow turn that came about by chance rejects new requests for half a startup target.
type LagMonitor struct {
	StartupTarget Time             // the shortest startup target
	maxLag        [lagBuckets]Time // of each bucket, by the time of the turn
	startedAt     [lagBuckets]Time // start of the period that each bucket holds
	Rejected      int64            // requests shed
	HighestLag    Time             // highest lag since the start
}

func (b *LagMonitor) bucket(now Time) (i int, start Time) {
	width := max(b.StartupTarget/lagWindowDivisor/lagBuckets, 1)
	return int(now / width % lagBuckets), now / width * width
}

// Record records the lag of a turn: how long its oldest event had waited when the turn ended.
func (b *LagMonitor) Record(now, lag Time) {
	i, start := b.bucket(now)
	if b.startedAt[i] != start {
		b.startedAt[i], b.maxLag[i] = start, 0
	}
	b.maxLag[i] = max(b.maxLag[i], lag)
	b.HighestLag = max(b.HighestLag, lag)
}

// Lag returns the highest lag within the current window.
func (b *LagMonitor) Lag(now Time) (highest Time) {
	for i, at := range b.startedAt {
		if at > now-b.StartupTarget/lagWindowDivisor {
			highest = max(highest, b.maxLag[i])
		}
	}
	return highest
}

// Shed reports whether a new request has to be rejected at once, and counts those that are.
func (b *LagMonitor) Shed(now Time) bool {
	if b.StartupTarget == 0 || b.Lag(now) <= b.StartupTarget/shedDivisor {
		return false
	}
	b.Rejected++
	return true
}

// Recent reports whether load data that a process saved at the given time still describes the present load.
func (b *LagMonitor) Recent(at, now Time) bool {
	return at <= now && now-at < loadDataLifetime*b.StartupTarget
}
