package tenants

import (
	"hash/crc32"

	"pierlink/internal/meter"
)

const (
	tripFailures          = 3  // consecutive failures that open the circuit of an endpoint
	initialOpenTimeouts   = 1  // timeouts that the circuit stays open at first
	maxOpenTimeouts       = 16 // timeouts that it stays open at most
	latencyWindowTimeouts = 16 // timeouts in the window over which latencies are measured
	latencyWindowParts    = 8  // parts of that window
	syncRetryIntervals    = 64 // sync intervals after which an endpoint without content synchronisation is asked for it again
)

// endpointSet balances requests over the endpoints of one directory, with a circuit breaker for each.
//
// After three consecutive failures the circuit of an endpoint opens for a time that doubles with each further failure;
// then a single probe is let through. This guards against waiting for a directory that is down or hangs, and against
// a burst of requests when it is back. Among endpoints with a closed circuit the one with the lowest product of
// latency and requests in flight is used, which takes load off an endpoint that answers just under the timeout. An
// endpoint without recent requests counts as fast, so that it is tried again. If there is a single endpoint, unknown
// accounts have to wait for a probe.
type endpointSet struct {
	config      *Config
	all         []endpoint
	jitterDraws uint32
	opened      int64
	probes      int64
}

type endpoint struct {
	failures            int
	openUntil, openSpan Time // until when the circuit is open, and for how long; 0 if it is closed
	probing             bool // a probe is in flight
	inFlight            int
	latencies, samples  meter.Count
	noSync              bool // content synchronisation is not supported
	noSyncUntil         Time
}

func newEndpointSet(config *Config, count int) endpointSet {
	set := endpointSet{config: config, all: make([]endpoint, max(count, 1))}
	for i := range set.all {
		set.all[i].latencies, set.all[i].samples = meter.NewCount(latencyWindowTimeouts*config.Timeout, latencyWindowParts), meter.NewCount(latencyWindowTimeouts*config.Timeout, latencyWindowParts)
	}
	return set
}

// random returns a pseudo-random number in [0, 1) derived from the seed.
func (e *endpointSet) random() float64 {
	e.jitterDraws++
	seed := e.config.Seed
	seedBytes := [8]byte{byte(seed >> 24), byte(seed >> 16), byte(seed >> 8), byte(seed), byte(e.jitterDraws >> 24), byte(e.jitterDraws >> 16), byte(e.jitterDraws >> 8), byte(e.jitterDraws)}
	return float64(crc32.ChecksumIEEE(seedBytes[:])) / (1 << 32)
}

// available reports whether any endpoint may be asked now.
func (e *endpointSet) available(now Time) bool {
	for i := range e.all {
		if candidate := &e.all[i]; candidate.openUntil == 0 || now >= candidate.openUntil && !candidate.probing {
			return true
		}
	}
	return false
}

// nextProbe returns when the first endpoint may be asked again, if none may now.
func (e *endpointSet) nextProbe() Time {
	earliest := Time(1) << 62
	for i := range e.all {
		if candidate := &e.all[i]; !candidate.probing {
			earliest = min(earliest, candidate.openUntil)
		}
	}
	return earliest
}

// pick returns the endpoint to ask next, or -1 if all that may be asked have reached their limit of lookups in flight.
// The preferred endpoint (-1 for none) is picked if its circuit is closed, regardless of that limit. probe is set if
// the request is the single one that an open circuit lets through.
func (e *endpointSet) pick(now Time, preferred int) (index int, probe bool) {
	if preferred >= 0 && preferred < len(e.all) && e.all[preferred].openUntil == 0 {
		return preferred, false
	}
	index = -1
	bestCost := 0.0
	first := int(e.config.Seed % uint64(len(e.all))) // spreads managers over the endpoints
	for offset := range e.all {
		i := (first + offset) % len(e.all)
		candidate := &e.all[i]
		if candidate.openUntil > 0 || candidate.inFlight >= max(e.config.MaxLookups, 1) {
			continue
		}
		latency := candidate.latencies.UpperBound(now) / max(candidate.samples.UpperBound(now), 1)
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

// succeeded records an answer and its latency; 0 for none, as with streams.
func (e *endpointSet) succeeded(i int, now, latency Time) {
	target := &e.all[i]
	target.failures, target.openUntil, target.openSpan, target.probing = 0, 0, 0, false
	if latency > 0 {
		target.latencies.Add(now, float64(latency))
		target.samples.Add(now, 1)
	}
}

// failed records a request without an answer, and opens the circuit when there have been too many.
func (e *endpointSet) failed(i int, now Time) {
	target := &e.all[i]
	target.latencies.Add(now, float64(e.config.Timeout))
	target.samples.Add(now, 1)
	if target.failures++; target.failures < tripFailures && !target.probing {
		return
	}
	target.probing = false
	target.openSpan = min(max(2*target.openSpan, initialOpenTimeouts*e.config.Timeout), maxOpenTimeouts*e.config.Timeout)
	target.openUntil = now + target.openSpan/2 + Time(float64(target.openSpan/2)*e.random())
	e.opened++
}

// markNoSync records that an endpoint does not support content synchronisation. It is asked again after
// syncRetryIntervals sync intervals, as support may be enabled later.
func (e *endpointSet) markNoSync(i int, now Time) {
	e.all[i].noSync, e.all[i].noSyncUntil = true, now+syncRetryIntervals*e.config.SyncInterval
}

func (e *endpointSet) supportsSync(i int, now Time) bool {
	target := &e.all[i]
	return !target.noSync || now >= target.noSyncUntil
}
