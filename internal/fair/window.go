package fair

import (
	"math"

	"pierlink/internal/meter"
)

// admissionWindow limits the load offered to the module. While the module rejects nothing, requests are admitted
// as they arrive. After a rejection, the number of active playbacks is kept below a limit slightly under the number
// at which the module last rejected one; tenants within their share may use the difference. It is a window and not
// a rate because playbacks end at random times: a rate that fits on average is too high about half of the time.
// The limit grows slowly near the level of the last rejection and faster away from it (as in CUBIC, RFC 9438), and
// is cut at once. The window prevents requests for capacity that is not available, whatever uses it. It can
// admit too little if the module rejects for reasons other than capacity: for that reason rejections of plans with
// seats are not counted, and the limit stays at half of the recent peak or above.
type admissionWindow struct {
	span                 Time // measuring interval: two startup targets
	limited              bool
	limit, ceiling       float64 // active playbacks: for all tenants, and for tenants within their share
	active, peak         float64 // playbacks now, and their recent maximum, which decays
	lastAdvance, lastCut Time
	quietSince           Time // last rejection, or later if requests have been waiting since
	starts               meter.Count
	createdAt            Time
	activeTime, ends     meter.Count // recent playback time in microseconds, and recent ends of playbacks
}

func newAdmissionWindow(startup, now Time) admissionWindow {
	span := max(2*startup, meterBuckets)
	return admissionWindow{span: span, starts: meter.NewCount(span, meterBuckets), lastAdvance: now, createdAt: now, lastCut: now - span, quietSince: now,
		activeTime: meter.NewCount(serviceSpans*span, meterBuckets), ends: meter.NewCount(serviceSpans*span, meterBuckets)}
}

func (w *admissionWindow) started(now Time) { w.starts.Add(now, 1) }

// ended counts the end of a playback. The mean duration follows from activeTime, which includes playbacks that
// are still active; otherwise short playbacks would weigh too much.
func (w *admissionWindow) ended(now Time) { w.ends.Add(now, 1) }

// rate is the number of playbacks that can start per second while the window is full, which equals the number
// that end (Little, 1961). Until enough ends have been seen, it is the recent rate of starts.
func (w *admissionWindow) rate(now Time) float64 {
	floor := 1e6 / float64(w.span)
	ends, activeTime := w.ends.UpperBound(now), w.activeTime.UpperBound(now)
	if ends < meterBuckets || activeTime <= 0 {
		return max(w.starts.UpperBound(now)/float64(max(min(w.span, now-w.createdAt), w.span/meterBuckets))*1e6, floor)
	}
	return max(w.limit*ends/activeTime*1e6, floor)
}

func (w *admissionWindow) rejected(now Time) {
	w.quietSince = now
	reached := max(w.active-1, 1) // without the rejected request
	if !w.limited {
		w.limited, w.peak = true, reached
	} else if w.ceiling = min(w.ceiling, reached); now-w.lastCut < w.span/meterBuckets && reached >= w.limit {
		return // a single cut for rejections of requests that were in flight together
	}
	w.lastCut = now
	w.ceiling = reached
	w.limit = max(w.ceiling*windowShare, w.peak/2, 1)
}

// advance updates the window to the given time.
func (w *admissionWindow) advance(now Time, waiting bool) {
	elapsed := float64(now - w.lastAdvance)
	w.lastAdvance = now
	w.activeTime.Add(now, w.active*elapsed)
	if !w.limited {
		return
	}
	w.peak = max(w.peak*math.Exp(-elapsed/float64(w.span)/peakDecaySpans), w.active)
	if now-w.lastCut > w.span/meterBuckets && waiting {
		growth := fastGrowth
		if w.limit < w.ceiling {
			growth = slowGrowth
		}
		w.limit *= math.Exp(math.Log1p(growth) * min(elapsed/float64(w.span), 1))
		w.ceiling = max(w.ceiling, w.limit/ceilingShare)
	}
	if waiting {
		w.quietSince = max(w.quietSince, now-w.span*(quietSpans-1))
	}
	if now-w.quietSince > quietSpans*w.span {
		w.limited = false
	}
}

// hasRoom reports whether another request may be admitted.
func (w *admissionWindow) hasRoom(withinShare bool) bool {
	return !w.limited || w.active < w.limit || withinShare && w.active < w.ceiling
}

// interval is the mean time between two admissions, at most a span.
func (w *admissionWindow) interval(now Time) Time { return Time(min(1e6/w.rate(now), float64(w.span))) }
