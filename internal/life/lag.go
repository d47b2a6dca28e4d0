package life

const (
	lagBuckets       = 8
	shedDivisor      = 4  // new requests are shed while turns come later than this part of the startup target
	loadDataLifetime = 64 // startup targets after which what an earlier process kept means nothing any more
	lagWindowDivisor = 2  // and for this part of it after the last late one
)

// Behind measures how late a process is with its work: from the arrival of what a turn takes to the turn's
// end. It guards against answers that are owed and come late because new work is taken on before them,
// whatever makes the process slow: its load, the machine's, or a stand-still. It may hurt where one slow turn
// was by chance: new requests are refused for half of a startup target then.
type Behind struct {
	Startup    Time // the shortest startup target
	maxLag     [lagBuckets]Time
	startedAt  [lagBuckets]Time
	Rejected   int64
	HighestLag Time // ever
}

func (b *Behind) bucket(now Time) (i int, start Time) {
	width := max(b.Startup/lagWindowDivisor/lagBuckets, 1)
	return int(now / width % lagBuckets), now / width * width
}

// Turn notes that what a turn took had waited so long when the turn ended.
func (b *Behind) Turn(now, late Time) {
	i, start := b.bucket(now)
	if b.startedAt[i] != start {
		b.startedAt[i], b.maxLag[i] = start, 0
	}
	b.maxLag[i] = max(b.maxLag[i], late)
	b.HighestLag = max(b.HighestLag, late)
}

// Late is the worst of late.
func (b *Behind) Late(now Time) (worst Time) {
	for i, at := range b.startedAt {
		if at > now-b.Startup/lagWindowDivisor {
			worst = max(worst, b.maxLag[i])
		}
	}
	return worst
}

// Shed tells whether a new request is to be refused at once.
func (b *Behind) Shed(now Time) bool {
	if b.Startup == 0 || b.Late(now) <= b.Startup/shedDivisor {
		return false
	}
	b.Rejected++
	return true
}

// Fresh tells whether what a process kept at a moment still says something of the present load.
func (b *Behind) Fresh(at, now Time) bool { return at <= now && now-at < loadDataLifetime*b.Startup }
