package platform

import (
	"container/list"

	"pierlink/internal/core"
	"pierlink/session"
)

// phase is the progress of a playback.
type phase uint8

const (
	phasePending phase = iota // no try is running
	phaseTrying
	phasePlaying
	phaseDone
)

// playback is one playback and its session, from the set-up request to its end.
type playback struct {
	id, plan, titleKey, description string
	request                         session.Request
	viewer                          *viewerConn // connection that sent the set-up; nil once it is closed
	phase                           phase
	server                          *server
	conn                            *serverConn // connection used by the current try
	offerSent                       bool        // the offer of the current try has been written
	try, rung                       int
	phaseSince                      core.Time // start of the current try or of the playing
	timer                           *core.Timer
	moving, endedByServer           bool          // endedByServer: the server ended the try, so there is nothing to withdraw
	mayHaveRun                      bool          // at a server, as a set-up of this manager
	unconfirmed                     *list.Element // its entry in the table of hand-overs; nil unless it was handed over and its server has not mentioned it
}

// removePlayback deletes a playback from the tables and stops its timer.
func (m *Manager) removePlayback(pb *playback) {
	if pb.phase == phaseDone {
		return
	}
	m.recordUse(pb)
	m.timers.Stop(pb.timer)
	if pb.viewer != nil && pb.phase != phasePlaying {
		pb.viewer.pendingSetups--
	}
	if pb.phase == phaseTrying {
		pb.server.tries--
	}
	m.unmarkPlaying(pb)
	if m.playbacks[pb.id] == pb {
		delete(m.playbacks, pb.id)
	}
	m.bufferedBytes -= len(pb.description)
	pb.phase, pb.description, pb.viewer, pb.conn = phaseDone, "", nil, nil
}

// recordUse records the ID of a playback that is over, if it may have run and must not run twice.
func (m *Manager) recordUse(pb *playback) {
	if pb.mayHaveRun && m.config.Settings.Site.Plans[pb.request.Plan].Repeat != session.Harmless {
		m.usedIDs.add(pb.id)
	}
}

// numbersInUse returns how many playbacks the module knows: those that are over stay until it releases their numbers.
func (m *Manager) numbersInUse() int { return len(m.byNumber) - len(m.freeNumbers) }

// markPlaying records a playback as playing at its server and on its viewer's connection.
func (m *Manager) markPlaying(pb *playback) {
	pb.phase, pb.phaseSince = phasePlaying, m.now
	if len(pb.server.playing) == 0 { // the server's silence counts from here; later sessions that clients hand over are no sign of it
		pb.server.sameProcessAt, pb.server.lastReachedAt = m.now, m.now
	}
	pb.server.playing[pb] = struct{}{}
	pb.viewer.playing++
}

// markServed records that a viewer has been served on a connection.
func (m *Manager) markServed(viewer *viewerConn) {
	viewer.hasServed = true
	m.lastServed = viewer
}

// unmarkPlaying reverts markPlaying; it does nothing for a playback that is not playing.
func (m *Manager) unmarkPlaying(pb *playback) {
	if pb.phase != phasePlaying {
		return
	}
	m.handovers.remove(pb)
	delete(pb.server.playing, pb)
	if pb.viewer != nil {
		pb.viewer.playing--
		pb.viewer.lastActiveAt = m.now
	}
}

// register assigns the module's playback and title numbers to a playback and adds it to the tables.
func (m *Manager) register(pb *playback) {
	request := &pb.request
	title := m.titles[request.TitleID]
	if title == nil {
		title = &titleEntry{index: len(m.titles) + len(m.freeTitles)}
		if count := len(m.freeTitles); count > 0 {
			title.index, m.freeTitles = m.freeTitles[count-1], m.freeTitles[:count-1]
		}
		m.titles[request.TitleID] = title
	}
	title.refs++
	request.Title = title.index
	request.Playback = len(m.byNumber)
	if count := len(m.freeNumbers); count > 0 {
		request.Playback, m.freeNumbers = m.freeNumbers[count-1], m.freeNumbers[:count-1]
		m.byNumber[request.Playback] = pb
	} else {
		m.byNumber = append(m.byNumber, pb)
	}
	m.playbacks[pb.id] = pb
	m.bufferedBytes += len(pb.description)
}

// reportEnd reports the outcome of a try, or the end of a playing playback, to the module.
func (m *Manager) reportEnd(pb *playback, outcome session.Outcome, load string) {
	if pb.phase != phaseTrying && pb.phase != phasePlaying {
		return
	}
	m.timers.Stop(pb.timer)
	result := session.Result{Playback: pb.request.Playback, Try: max(pb.try, 0), Server: pb.server.index, Outcome: outcome, Took: m.now - pb.phaseSince,
		Load: m.parseLoad(load)}
	m.trace("%s: outcome %d at server %s", pb.id, outcome, pb.server.name)
	if pb.phase == phasePlaying {
		result.Final = true
		m.stats.Over++
		if outcome != session.OK && outcome != session.Cancelled {
			m.stats.Cut++
		}
		m.unmarkPlaying(pb)
		m.recordUse(pb)
		delete(m.playbacks, pb.id)
		pb.phase = phaseDone
	} else {
		m.stats.Tries[outcome]++
		pb.mayHaveRun = pb.mayHaveRun || pb.offerSent && mayHaveRun(outcome)
		if outcome == session.TimedOut && pb.offerSent {
			pb.conn.stale = true
		}
		m.withdrawOffer(pb)
		pb.server.tries--
		pb.phase = phasePending
		if pb.viewer == nil { // the viewer has disconnected
			result.Final = true
			m.removePlayback(pb)
		}
	}
	m.module.Ended(result)
}
