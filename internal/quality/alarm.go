package quality

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Alarm is news of a group that stands out, or does so no more.
type Alarm struct {
	Group
	Raised bool
	Lost   float64 // the part of its revenue that was not given
	Rest   float64 // that of the others of its kind
}

const (
	lossFactor        = 2.0  // times what the others lose,
	minExcessLoss     = 0.05 // and so much more,
	chanceDeviations  = 4.0  // and so many standard deviations more than chance would, has a group stand out
	minPlaybacks      = 20   // playbacks that it takes to judge one
	clearChecksNeeded = 2    // looks in a row before one that stood out is taken for mended
	recentDivisor     = 8    // the part of the buckets that is looked at
)

// Settle closes what is due, and tells once for each bucket of time which groups stand out or have ceased to. It
// returns when it wants to be called again.
//
// A rack or title stands out when it loses twice what the others of its kind lose, a twentieth more, and more than
// chance explains, over the latest eighth of the buckets kept, with twenty playbacks or more to tell by. It guards against learning of a slow rack from complaints.
// Titles are judged without what played on racks that stand out, and racks without titles that do, so that a slow
// rack does not accuse all that it carries. It is late by the time that playbacks are open to reports, and says nothing where all are as bad.
func (c *Core) Settle(report func(Alarm)) Time {
	for len(c.ended) > 0 && c.now-c.ended[0].endedAt >= c.Late {
		c.close(c.ended[0])
		c.ended = c.ended[1:]
	}
	if bucket := c.now / c.Width; bucket != c.lastCheck {
		c.lastCheck = bucket
		c.checkKind(Rack, report)
		c.checkKind(Title, report)
	}
	next := (c.now/c.Width + 1) * c.Width
	if len(c.ended) > 0 {
		next = min(next, c.ended[0].endedAt+c.Late)
	}
	return max(next, c.now+1)
}

// byChance is how much more than the others a group may lose by chance: Bernstein's bound for a sum of losses weighed
// by revenue, which holds for few playbacks too.
func chanceBound(othersLoss float64, f *Figures, others int) float64 {
	playbackShare := f.Squares / (f.Due * f.Due) // the part that one playback has in the sum, in the mean
	return chanceDeviations*math.Sqrt(max(othersLoss*(1-othersLoss), 1/float64(others))*playbackShare) + chanceDeviations*chanceDeviations/3*playbackShare
}

func (c *Core) checkKind(kind Kind, report func(Alarm)) {
	type candidate struct {
		Group
		*series
		sum Figures
	}
	var groups []candidate
	var total Figures
	for group, s := range c.groups {
		if group.Kind != kind || group.Title == Other {
			continue
		}
		s.advance(c.now / c.Width)
		g := candidate{group, s, s.recent(s.unblamed, max(c.Buckets/recentDivisor, 2))}
		total.add(&g.sum)
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), strings.Compare(a.Title, b.Title))
	})
	// those that stand out already are not what others are held against
	baseline := total
	for _, g := range groups {
		if g.outlier {
			baseline.subtract(&g.sum)
		}
	}
	for _, g := range groups {
		others := baseline
		if !g.outlier {
			others.subtract(&g.sum)
		}
		loss, othersLoss := g.sum.Lost(), others.Lost()
		if others.Due == 0 {
			othersLoss = 0
		}
		isOutlier := g.sum.Count >= minPlaybacks && loss > lossFactor*othersLoss && loss > othersLoss+minExcessLoss && others.Count >= minPlaybacks &&
			loss > othersLoss+chanceBound(othersLoss, &g.sum, others.Count)
		switch {
		case isOutlier && !g.outlier:
			g.outlier, g.clearChecks = true, 0
			report(Alarm{g.Group, true, loss, othersLoss})
		case !isOutlier && g.outlier:
			if g.clearChecks++; g.clearChecks >= clearChecksNeeded {
				g.outlier = false
				report(Alarm{g.Group, false, loss, othersLoss})
			}
		case isOutlier:
			g.clearChecks = 0
		}
	}
}

// take takes another's sums out.
func (f *Figures) subtract(other *Figures) {
	f.Due, f.OnTime, f.Watched, f.Stalled = f.Due-other.Due, f.OnTime-other.OnTime, f.Watched-other.Watched, f.Stalled-other.Stalled
	f.Worth, f.Changes, f.Count = f.Worth-other.Worth, f.Changes-other.Changes, f.Count-other.Count
	f.Squares -= other.Squares
}
