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

func newEndpointSet(config *Terms, count int) endpointSet {
	set := endpointSet{config: config, all: make([]endpoint, max(count, 1))}
	for i := range set.all {
		set.all[i].latencies, set.all[i].answers = meter.NewCount(latencyWindowTimeouts*config.Timeout, latencyWindowParts), meter.NewCount(latencyWindowTimeouts*config.Timeout, latencyWindowParts)
	}
	return set
}

// chance is a number from 0 to 1 of this core's own.
func (e *endpointSet) random() float64 {
	e.jitterDraws++
	seed := e.config.Seed
	seedBytes := [8]byte{byte(seed >> 24), byte(seed >> 16), byte(seed >> 8), byte(seed), byte(e.jitterDraws >> 24), byte(e.jitterDraws >> 16), byte(e.jitterDraws >> 8), byte(e.jitterDraws)}
	return float64(crc32.ChecksumIEEE(seedBytes[:])) / (1 << 32)
}

// can tells whether any may be asked now.
func (e *endpointSet) available(now Time) bool {
	for i := range e.all {
		if candidate := &e.all[i]; candidate.openUntil == 0 || now >= candidate.openUntil && !candidate.probing {
			return true
		}
	}
	return false
}

// due is when one may be asked again, if none may now.
func (e *endpointSet) nextProbe() Time {
	earliest := Time(1) << 62
	for i := range e.all {
		if candidate := &e.all[i]; !candidate.probing {
			earliest = min(earliest, candidate.openUntil)
		}
	}
	return earliest
}

// pick is the endpoint that is asked next; less than 0 if all that may be asked have as much out as they may. The
// preferred one is taken while it answers, whatever it has out; -1 for none. trial is set for a single one let through.
func (e *endpointSet) pick(now Time, preferred int) (index int, probe bool) {
	if preferred >= 0 && preferred < len(e.all) && e.all[preferred].openUntil == 0 {
		return preferred, false
	}
	index = -1
	bestCost := 0.0
	first := int(e.config.Seed % uint64(len(e.all))) // managers begin at different ones
	for offset := range e.all {
		i := (first + offset) % len(e.all)
		candidate := &e.all[i]
		if candidate.openUntil > 0 || candidate.inFlight >= max(e.config.Lookups, 1) {
			continue
		}
		latency := candidate.latencies.Most(now) / max(candidate.answers.Most(now), 1)
		if cost := (latency + 1) * float64(candidate.inFlight+1); index < 0 || cost < bestCost {
			index, bestCost = i, cost
		}
	}
	if index >= 0 {
		return index, false
	}
	for i := range e.all {
		if candidate := &e.all[i]; candidate.openUntil > 0 && now >= candidate.openUntil && !candidate.probing && (index < 0 || candidate.openUntil < e.all[index].openUntil) {
			index, probe = i, true
		}
	}
	if probe {
		e.all[index].probing = true
		e.probes++
	}
	return index, probe
}

// answered takes an answer that came after so long; of a stream that lives on, none.
func (e *endpointSet) succeeded(i int, now, latency Time) {
	target := &e.all[i]
	target.failures, target.openUntil, target.openSpan, target.probing = 0, 0, 0, false
	if latency > 0 {
		target.latencies.Add(now, float64(latency))
		target.answers.Add(now, 1)
	}
}

// failed takes a question that got none.
func (e *endpointSet) failed(i int, now Time) {
	target := &e.all[i]
	target.latencies.Add(now, float64(e.config.Timeout))
	target.answers.Add(now, 1)
	if target.failures++; target.failures < tripFailures && !target.probing {
		return
	}
	target.probing = false
	target.openSpan = min(max(2*target.openSpan, initialOpenTimeouts*e.config.Timeout), maxOpenTimeouts*e.config.Timeout)
	target.openUntil = now + target.openSpan/2 + Time(float64(target.openSpan/2)*e.random())
	e.opened++
}

// noSync notes that an endpoint has no content synchronisation; it is asked again after a long while, as it may be
// given one.
func (e *endpointSet) markNoSync(i int, now Time) {
	e.all[i].noSync, e.all[i].noSyncUntil = true, now+syncRetryIntervals*e.config.Renew
}

func (e *endpointSet) supportsSync(i int, now Time) bool {
	target := &e.all[i]
	return !target.noSync || now >= target.noSyncUntil
}
