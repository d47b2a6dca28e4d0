package quality

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// Alarm reports that a group has become an outlier, or is one no longer.
type Alarm struct {
	Group
	Raised bool
	Lost   float64 // share of its due service that was not delivered
	Rest   float64 // the same share for the others of its kind
}

const (
	lossFactor        = 2.0  // a group is an outlier if it loses more than this multiple of the others' loss,
	minExcessLoss     = 0.05 // more than this share in excess of it,
	chanceDeviations  = 4.0  // and more than chance explains at this number of standard deviations
	minPlaybacks      = 20   // playbacks needed to judge a group
	clearChecksNeeded = 2    // consecutive checks after which an outlier counts as recovered
	recentDivisor     = 8    // the latest buckets checked, as a fraction 1/n of all
)

// Settle closes the playbacks whose time for reports is over, and once per bucket reports the groups that have become
// or ceased to be outliers. It returns the time at which it has to be called again.
//
// A rack or title is an outlier if it loses more than twice what the others of its kind lose, by more than a
// twentieth, and more than chance explains, over the latest eighth of the buckets kept and with at least twenty
// playbacks. The alarm finds a slow rack before users complain. Titles are judged without their playbacks on outlier
// racks, and racks without those of outlier titles, so that a slow rack does not raise alarms for all titles on it.
// Alarms are late by the time for which playbacks accept reports, and there are none if all groups are equally bad.
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

// chanceBound is the excess loss of a group over the others that chance can explain: Bernstein's bound for a sum of
// losses weighted by revenue, which holds for few playbacks too.
func chanceBound(othersLoss float64, figures *Figures, othersCount int) float64 {
	playbackShare := figures.RevenueSquares / (figures.Due * figures.Due) // mean share of one playback in the sum
	return chanceDeviations*math.Sqrt(max(othersLoss*(1-othersLoss), 1/float64(othersCount))*playbackShare) + chanceDeviations*chanceDeviations/3*playbackShare
}

// checkKind reports the groups of a kind that have become or ceased to be outliers.
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
	// known outliers are not part of the baseline
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
		loss, othersLoss := g.sum.Loss(), others.Loss()
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

// subtract removes the sums of another from f.
func (f *Figures) subtract(other *Figures) {
	f.Due, f.OnTime, f.Watched, f.Stalled = f.Due-other.Due, f.OnTime-other.OnTime, f.Watched-other.Watched, f.Stalled-other.Stalled
	f.Worth, f.Changes, f.Count = f.Worth-other.Worth, f.Changes-other.Changes, f.Count-other.Count
	f.RevenueSquares -= other.RevenueSquares
}
