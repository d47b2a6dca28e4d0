package tenants

import (
	"hash/crc32"

	"pierlink/internal/meter"
)

const (
	tripFailures          = 3  // failures in a row that open an endpoint's circuit
	initialOpenTimeouts   = 1  // time-outs that it stays open at first
	maxOpenTimeouts       = 16 // and at most
	latencyWindowTimeouts = 16 // time-outs over which an endpoint's answers are timed
	latencyWindowParts    = 8
	syncRetryIntervals    = 64 // times Renew, after which an endpoint that had no content synchronisation is asked for it again
)

// ends are the endpoints of one directory: which is asked next, and how much is out at each.
//
// An endpoint that fails three times in a row is left alone for a span that doubles; then one question is let
// through. It guards against waiting for a directory that is down or hangs, and against all asking at once when it is
// back. Among those that answer the one with the least work and the shortest answers is asked, which holds against
// one that answers just under the time-out; one that has not been asked of late counts as quick, so that it is tried
// again. With one endpoint alone the unknown wait for a trial.
type endpointSet struct {
	config      *Terms
	all         []endpoint
	jitterDraws uint32
	opened      int64
	probes      int64
}

type endpoint struct {
	failures            int
	openUntil, openSpan Time // the circuit is, until then
	probing             bool // one is out
	inFlight            int
	latencies, answers  meter.Count
	noSync              bool // it has no content synchronisation
	noSyncUntil         Time
}

func newEndpointSet(t *Terms, n int) endpointSet {
	e := endpointSet{config: t, all: make([]endpoint, max(n, 1))}
	for i := range e.all {
		e.all[i].latencies, e.all[i].answers = meter.NewCount(latencyWindowTimeouts*t.Timeout, latencyWindowParts), meter.NewCount(latencyWindowTimeouts*t.Timeout, latencyWindowParts)
	}
	return e
}

// chance is a number from 0 to 1 of this core's own.
func (e *endpointSet) random() float64 {
	e.jitterDraws++
	s := e.config.Seed
	b := [8]byte{byte(s >> 24), byte(s >> 16), byte(s >> 8), byte(s), byte(e.jitterDraws >> 24), byte(e.jitterDraws >> 16), byte(e.jitterDraws >> 8), byte(e.jitterDraws)}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// can tells whether any may be asked now.
func (e *endpointSet) available(now Time) bool {
	for i := range e.all {
		if x := &e.all[i]; x.openUntil == 0 || now >= x.openUntil && !x.probing {
			return true
		}
	}
	return false
}

// due is when one may be asked again, if none may now.
func (e *endpointSet) nextProbe() Time {
	least := Time(1) << 62
	for i := range e.all {
		if x := &e.all[i]; !x.probing {
			least = min(least, x.openUntil)
		}
	}
	return least
}

// pick is the endpoint that is asked next; less than 0 if all that may be asked have as much out as they may. The
// preferred one is taken while it answers, whatever it has out; -1 for none. trial is set for a single one let through.
func (e *endpointSet) pick(now Time, prefer int) (at int, trial bool) {
	if prefer >= 0 && prefer < len(e.all) && e.all[prefer].openUntil == 0 {
		return prefer, false
	}
	at = -1
	best := 0.0
	first := int(e.config.Seed % uint64(len(e.all))) // managers begin at different ones
	for k := range e.all {
		i := (first + k) % len(e.all)
		x := &e.all[i]
		if x.openUntil > 0 || x.inFlight >= max(e.config.Lookups, 1) {
			continue
		}
		took := x.latencies.Most(now) / max(x.answers.Most(now), 1)
		if cost := (took + 1) * float64(x.inFlight+1); at < 0 || cost < best {
			at, best = i, cost
		}
	}
	if at >= 0 {
		return at, false
	}
	for i := range e.all {
		if x := &e.all[i]; x.openUntil > 0 && now >= x.openUntil && !x.probing && (at < 0 || x.openUntil < e.all[at].openUntil) {
			at, trial = i, true
		}
	}
	if trial {
		e.all[at].probing = true
		e.probes++
	}
	return at, trial
}

// answered takes an answer that came after so long; of a stream that lives on, none.
func (e *endpointSet) succeeded(i int, now, took Time) {
	x := &e.all[i]
	x.failures, x.openUntil, x.openSpan, x.probing = 0, 0, 0, false
	if took > 0 {
		x.latencies.Add(now, float64(took))
		x.answers.Add(now, 1)
	}
}

// failed takes a question that got none.
func (e *endpointSet) failed(i int, now Time) {
	x := &e.all[i]
	x.latencies.Add(now, float64(e.config.Timeout))
	x.answers.Add(now, 1)
	if x.failures++; x.failures < tripFailures && !x.probing {
		return
	}
	x.probing = false
	x.openSpan = min(max(2*x.openSpan, initialOpenTimeouts*e.config.Timeout), maxOpenTimeouts*e.config.Timeout)
	x.openUntil = now + x.openSpan/2 + Time(float64(x.openSpan/2)*e.random())
	e.opened++
}

// noSync notes that an endpoint has no content synchronisation; it is asked again after a long while, as it may be
// given one.
func (e *endpointSet) markNoSync(i int, now Time) {
	e.all[i].noSync, e.all[i].noSyncUntil = true, now+syncRetryIntervals*e.config.Renew
}

func (e *endpointSet) supportsSync(i int, now Time) bool {
	x := &e.all[i]
	return !x.noSync || now >= x.noSyncUntil
}
