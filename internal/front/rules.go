package front

import "pierlink/session"

// What the front decides by itself: how long it waits for what the module does not time, and what it
// gives up at a bound. Each value is a ratio of something told. Where playbacks go, at which rung, and
// whether they are taken at all is the module's.

const (
	replyAbandonDivisor   = 16 // this part of the abandon time is kept for the answer's way to the player
	probeStartupDivisor   = 4  // a probe may take this part of the longest startup target
	lapsedPlaybackDivisor = 8  // tries given up whose answer is still awaited, as a part of the playbacks allowed
	partialTimeoutDivisor = 4  // a message may take this part of the session time-out to come in whole
	heldBufferDivisor     = 4  // what a player's buffer keeps for it before its PLAY
	orphanPlaybackDivisor = 64 // what dead processes left is ended so many at once, as a part of the playbacks allowed
	controlIdleTimeouts   = 2  // a control dialogue unused for so many session time-outs is closed
)

// due is the moment by which the module must have decided a playback taken now: what is left of the
// abandon time after it brings the answer to the player. It guards against answers that are on their way
// when the player gives up, whatever made them late; it costs a sixteenth of the time for a last try.
func decisionDeadline(taken, abandon Time) Time { return taken + abandon - abandon/replyAbandonDivisor }

// overdue is when the front answers in the module's place.
func fallbackDeadline(taken, abandon Time) Time {
	return taken + abandon - abandon/replyAbandonDivisor/2
}

// probeLimit is how long a probe may take.
func probeLimit(site *session.Site) Time {
	longest := Time(0)
	for _, plan := range site.Plans {
		longest = max(longest, plan.Startup)
	}
	return longest / probeStartupDivisor
}

// outcome tells what a box's status proves of a try.
func outcomeOf(status int) session.Outcome {
	switch {
	case status >= 200 && status < 300:
		return session.OK
	case status == 453:
		return session.Full
	}
	return session.Failed
}
