package quality

import (
	"cmp"
	"slices"
)

type interval struct{ from, to Time }

// change is a change to another rung or rack at a time.
type change struct {
	at    Time
	value int
}

// valueAt returns the value in force at a time; before the first change it is the first value.
func valueAt(changes []change, at Time) int {
	value := changes[0].value
	for _, entry := range changes {
		if entry.at <= at {
			value = entry.value
		}
	}
	return value
}

// playbackRecord holds all that is known of a playback.
type playbackRecord struct {
	id                              string
	plan                            int
	startRack                       int      // rack on which it started or failed; -1 for none
	rackChanges                     []change // one for each move
	title                           string
	requestedAt, startedAt, endedAt Time // 0 until it happens
	reportedStartup                 Time // by the player; -1 if not reported
	stalls                          []interval
	rungChanges                     []change
	reportedRungs                   []change // rung changes reported by the player
	lastSeq                         uint32
	seenMask                        uint64 // bit n is set if lastSeq-n has been received
}

const (
	maxStalls  = 64 // separate stalls of a playback; beyond that the shortest are dropped
	maxChanges = 64 // rung changes or moves of a playback
	seqWindow  = 64 // how far the sequence number of a report may be behind the latest
)

// markSeen marks a sequence number as received and reports whether it is new.
func (r *playbackRecord) markSeen(seq uint32) bool {
	switch {
	case seq > r.lastSeq:
		if ahead := seq - r.lastSeq; ahead < seqWindow {
			r.seenMask = r.seenMask<<ahead | 1
		} else {
			r.seenMask = 1
		}
		r.lastSeq = seq
		return true
	case r.lastSeq-seq >= seqWindow || r.seenMask>>(r.lastSeq-seq)&1 == 1:
		return false
	}
	r.seenMask |= 1 << (r.lastSeq - seq)
	return true
}

// addStall adds a stall and merges it with those that it overlaps.
func (r *playbackRecord) addStall(stall interval) {
	if stall.to <= stall.from {
		return
	}
	var separate []interval
	for _, other := range r.stalls {
		if other.to < stall.from || other.from > stall.to {
			separate = append(separate, other)
			continue
		}
		stall.from, stall.to = min(stall.from, other.from), max(stall.to, other.to)
	}
	r.stalls = append(separate, stall)
	if len(r.stalls) > maxStalls {
		slices.SortFunc(r.stalls, func(a, b interval) int { return cmp.Compare(b.to-b.from, a.to-a.from) })
		r.stalls = r.stalls[:maxStalls]
	}
}

// started returns the time at which a playback started, and false if it has not.
func (r *playbackRecord) started() (Time, bool) {
	switch {
	case r.reportedStartup >= 0 && r.startedAt > 0:
		return r.requestedAt + r.reportedStartup, true
	case r.startedAt > 0:
		return r.startedAt, true
	}
	return 0, false
}
