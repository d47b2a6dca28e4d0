package front

import "pierlink/session"

// The decisions that the front makes itself: timeouts that the module does not set, and resource limits. Each
// value is a ratio to a configured one. Which server and rung a playback gets, and whether it is accepted, is
// decided by the module.

const (
	replyAbandonDivisor   = 16 // 1/16 of the abandon time is reserved for the response's way to the player
	probeStartupDivisor   = 4  // a probe times out after 1/4 of the longest startup target
	lapsedPlaybackDivisor = 8  // at most 1/8 of Bounds.Playbacks lapsed tries wait for a late response
	messageTimeoutDivisor = 4  // a message must be complete, and a TEARDOWN answered, within 1/4 of the session timeout
	heldBufferDivisor     = 4  // at most 1/4 of Bounds.PlayerBytes is held for a player before its PLAY
	orphanPlaybackDivisor = 64 // at most 1/64 of Bounds.Playbacks orphans are torn down at once
	controlIdleTimeouts   = 2  // a control dialogue is closed after 2 idle session timeouts
)

// decisionDeadline is the time by which the module must have decided on a playback. The rest of the abandon time
// is for sending the response. This guards against responses that arrive after the player has given up, whatever
// delayed them; the cost is a sixteenth of the abandon time for a last try.
func decisionDeadline(receivedAt, abandonTime Time) Time {
	return receivedAt + abandonTime - abandonTime/replyAbandonDivisor
}

// fallbackDeadline is the time at which the front answers if the module has not decided.
func fallbackDeadline(receivedAt, abandonTime Time) Time {
	return receivedAt + abandonTime - abandonTime/replyAbandonDivisor/2
}

// probeLimit returns the timeout of a probe.
func probeLimit(site *session.Site) Time {
	longest := Time(0)
	for _, plan := range site.Plans {
		longest = max(longest, plan.StartupTarget)
	}
	return longest / probeStartupDivisor
}

// outcomeOf returns the outcome of a try or a probe that a box's status shows.
func outcomeOf(status int) session.Outcome {
	switch {
	case status >= 200 && status < 300:
		return session.OK
	case status == 453:
		return session.Full
	}
	return session.Failed
}
