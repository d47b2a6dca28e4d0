package fair

import (
	"math"

	"pierlink/internal/meter"
)

// pace is how much is put before the module. While it rejects nothing, requests go as they come. Once it
// does, playbacks that are carried at once are held under a window a little below the number at which it
// last did; tenants that have had no more than their part may use what is between the two. It is a window
// and not a rate, as playbacks end at random times: a rate that fits in the mean runs over every other
// moment. The window grows slowly near where a rejection was met and quickly further off (as in CUBIC,
// RFC 9438), and shrinks at once. It guards against asking for room that is not there, whatever took it; it
// may hurt where the module rejects for other reasons than room: plans with seats do not count for that
// reason, and half of the most carried of late stays a floor.
type admissionWindow struct {
	span                 Time // of measuring: two startup targets
	limited              bool
	limit, ceiling       float64 // playbacks at once: for all, and for those within their part
	active, peak         float64 // playbacks now, and at most of late, which fades
	lastAdvance, lastCut Time
	quietSince           Time
	starts               meter.Count
	createdAt            Time
	activeTime, ends     meter.Count // playbacks carried times time, and those seen to end, of late
}

func newAdmissionWindow(startup, now Time) admissionWindow {
	span := max(2*startup, meterBuckets)
	return admissionWindow{span: span, starts: meter.NewCount(span, meterBuckets), lastAdvance: now, createdAt: now, lastCut: now - span, quietSince: now,
		activeTime: meter.NewCount(serviceSpans*span, meterBuckets), ends: meter.NewCount(serviceSpans*span, meterBuckets)}
}

func (p *admissionWindow) started(now Time) { p.starts.Add(now, 1) }

// ended learns how long playbacks last: those that still play count too, or short ones would count for more
// than they are.
func (p *admissionWindow) ended(now Time) { p.ends.Add(now, 1) }

// perSec is how many can begin a second while the window is full: as many as end (Little, 1961). Until
// playbacks have been seen to end it is what began to play of late.
func (p *admissionWindow) rate(now Time) float64 {
	floor := 1e6 / float64(p.span)
	ends, activeTime := p.ends.Most(now), p.activeTime.Most(now)
	if ends < meterBuckets || activeTime <= 0 {
		return max(p.starts.Most(now)/float64(max(min(p.span, now-p.createdAt), p.span/meterBuckets))*1e6, floor)
	}
	return max(p.limit*ends/activeTime*1e6, floor)
}

func (p *admissionWindow) rejected(now Time) {
	p.quietSince = now
	reached := max(p.active-1, 1) // without the one rejected
	if !p.limited {
		p.limited, p.peak = true, reached
	} else if p.ceiling = min(p.ceiling, reached); now-p.lastCut < p.span/meterBuckets && reached >= p.limit {
		return // one cut for those that were on their way together
	}
	p.lastCut = now
	p.ceiling = reached
	p.limit = max(p.ceiling*windowShare, p.peak/2, 1)
}

// turn lets time pass.
func (p *admissionWindow) advance(now Time, waiting bool) {
	elapsed := float64(now - p.lastAdvance)
	p.lastAdvance = now
	p.activeTime.Add(now, p.active*elapsed)
	if !p.limited {
		return
	}
	p.peak = max(p.peak*math.Exp(-elapsed/float64(p.span)/peakDecaySpans), p.active)
	if now-p.lastCut > p.span/meterBuckets && waiting {
		growth := fastGrowth
		if p.limit < p.ceiling {
			growth = slowGrowth
		}
		p.limit *= math.Exp(math.Log1p(growth) * min(elapsed/float64(p.span), 1))
		p.ceiling = max(p.ceiling, p.limit/ceilingShare)
	}
	if waiting {
		p.quietSince = max(p.quietSince, now-p.span*(quietSpans-1))
	}
	if now-p.quietSince > quietSpans*p.span {
		p.limited = false
	}
}

// room tells whether one more may be asked for.
func (p *admissionWindow) hasRoom(withinShare bool) bool {
	return !p.limited || p.active < p.limit || withinShare && p.active < p.ceiling
}

// turnTime is the time of one request.
func (p *admissionWindow) interval(now Time) Time { return Time(min(1e6/p.rate(now), float64(p.span))) }
