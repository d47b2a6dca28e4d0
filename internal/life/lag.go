package life

const (
	cells    = 8
	shedPart = 4  // new requests are shed while turns come later than this part of the startup target
	freshFor = 64 // startup targets after which what an earlier process kept means nothing any more
	seenFor  = 2  // and for this part of it after the last late one
)

// Behind measures how late a process is with its work: from the arrival of what a turn takes to the turn's
// end. It guards against answers that are owed and come late because new work is taken on before them,
// whatever makes the process slow: its load, the machine's, or a stand-still. It may hurt where one slow turn
// was by chance: new requests are refused for half of a startup target then.
type Behind struct {
	Startup Time // the shortest startup target
	worst   [cells]Time
	at      [cells]Time
	Sheds   int64
	Worst   Time // ever
}

func (b *Behind) cell(now Time) (i int, start Time) {
	width := max(b.Startup/seenFor/cells, 1)
	return int(now / width % cells), now / width * width
}

// Turn notes that what a turn took had waited so long when the turn ended.
func (b *Behind) Turn(now, late Time) {
	i, start := b.cell(now)
	if b.at[i] != start {
		b.at[i], b.worst[i] = start, 0
	}
	b.worst[i] = max(b.worst[i], late)
	b.Worst = max(b.Worst, late)
}

// Late is the worst of late.
func (b *Behind) Late(now Time) (worst Time) {
	for i, at := range b.at {
		if at > now-b.Startup/seenFor {
			worst = max(worst, b.worst[i])
		}
	}
	return worst
}

// Shed tells whether a new request is to be refused at once.
func (b *Behind) Shed(now Time) bool {
	if b.Startup == 0 || b.Late(now) <= b.Startup/shedPart {
		return false
	}
	b.Sheds++
	return true
}

// Fresh tells whether what a process kept at a moment still says something of the present load.
func (b *Behind) Fresh(at, now Time) bool { return at <= now && now-at < freshFor*b.Startup }
