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
	Raised     bool
	Loss       float64 // share of its due service that was not delivered
	OthersLoss float64 // the same share for the others of its kind
}

const (
	lossFactor        = 2.0  // a group is an outlier if it loses more than this multiple of the others' loss,
	minExcessLoss     = 0.05 // more than this share in excess of it,
	chanceDeviations  = 4.0  // and more than chance explains at this number of standard deviations
	minPlaybacks      = 20   // playbacks needed to judge a group
	clearChecksNeeded = 2    // consecutive checks after which an outlier counts as recovered
	recentDivisor     = 8    // the latest buckets checked, as a fraction 1/n of all
)

// Evaluate closes the playbacks whose time for reports is over, and once per bucket reports the groups that have become
// or ceased to be outliers. It returns the time at which it has to be called again.
//
// A rack or title is an outlier if it loses more than twice what the others of its kind lose, by more than a
// twentieth, and more than chance explains, over the latest eighth of the buckets kept and with at least twenty
// playbacks. The alarm finds a slow rack before users complain. Titles are judged without their playbacks on outlier
// racks, and racks without those of outlier titles, so that a slow rack does not raise alarms for all titles on it.
// Alarms are late by the time for which playbacks accept reports, and there are none if all groups are equally bad.
func (c *Collector) Evaluate(report func(Alarm)) Time {
	for len(c.ended) > 0 && c.now-c.ended[0].endedAt >= c.ReportGrace {
		c.close(c.ended[0])
		c.ended = c.ended[1:]
	}
	if bucket := c.now / c.BucketWidth; bucket != c.lastCheck {
		c.lastCheck = bucket
		c.checkKind(Rack, report)
		c.checkKind(Title, report)
	}
	next := (c.now/c.BucketWidth + 1) * c.BucketWidth
	if len(c.ended) > 0 {
		next = min(next, c.ended[0].endedAt+c.ReportGrace)
	}
	return max(next, c.now+1)
}

// chanceBound is the excess loss of a group over the others that chance can explain: Bernstein's bound for a sum of
// losses weighted by revenue, which holds for few playbacks too.
func chanceBound(othersLoss float64, figures *Totals, othersCount int) float64 {
	playbackShare := figures.RevenueSquares / (figures.RevenueDue * figures.RevenueDue) // mean share of one playback in the sum
	return chanceDeviations*math.Sqrt(max(othersLoss*(1-othersLoss), 1/float64(othersCount))*playbackShare) + chanceDeviations*chanceDeviations/3*playbackShare
}

// checkKind reports the groups of a kind that have become or ceased to be outliers.
func (c *Collector) checkKind(kind Kind, report func(Alarm)) {
	type candidate struct {
		Group
		*series
		sum Totals
	}
	var groups []candidate
	var total Totals
	for group, s := range c.groups {
		if group.Kind != kind || group.Title == OtherTitles {
			continue
		}
		s.advance(c.now / c.BucketWidth)
		g := candidate{group, s, s.recent(s.unblamed, max(c.BucketCount/recentDivisor, 2))}
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
		if others.RevenueDue == 0 {
			othersLoss = 0
		}
		isOutlier := g.sum.Playbacks >= minPlaybacks && loss > lossFactor*othersLoss && loss > othersLoss+minExcessLoss && others.Playbacks >= minPlaybacks &&
			loss > othersLoss+chanceBound(othersLoss, &g.sum, others.Playbacks)
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
func (f *Totals) subtract(other *Totals) {
	f.RevenueDue, f.RevenueOnTime, f.Watched, f.Stalled = f.RevenueDue-other.RevenueDue, f.RevenueOnTime-other.RevenueOnTime, f.Watched-other.Watched, f.Stalled-other.Stalled
	f.Worth, f.Changes, f.Playbacks = f.Worth-other.Worth, f.Changes-other.Changes, f.Playbacks-other.Playbacks
	f.RevenueSquares -= other.RevenueSquares
}
