package platform

import (
	"slices"
	"strings"

	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
)

// Stop begins the shutdown: new set-ups are rejected at once, pending ones are still decided, and playbacks continue until
// shortly before the platform kills the process.
func (m *Manager) Stop() {
	if m.stoppingSince > 0 {
		return
	}
	m.stoppingSince = m.now
	wait := min(slices.Max(m.config.Settings.AbandonAfter), maxStopWait)
	m.timers.Set(nil, m.now+stopAcceptingAfter, func() {
		if m.StopAccepting != nil {
			m.StopAccepting()
		}
	})
	m.timers.Set(nil, m.now+wait+finalizeMargin, m.finalize)
}

// finalize ends the remaining playbacks, then closes the viewers' connections, and then lets the process exit. A request
// that is still on its way is not read, so that its sender repeats it at another manager.
func (m *Manager) finalize() {
	pending := make([]*playback, 0, len(m.playbacks))
	for _, pb := range m.playbacks {
		pending = append(pending, pb)
	}
	slices.SortFunc(pending, func(a, b *playback) int { return strings.Compare(a.id, b.id) })
	m.finalized = true
	for _, pb := range pending {
		if pb.phase != phasePlaying {
			if pb.phase == phaseTrying {
				m.withdrawOffer(pb)
			}
			m.answerSetup(pb, rtsp.NewResponse(rtsp.StatusInternal, setupCSeq))
			continue
		}
		m.notifyEnded(pb.viewer, pb.id, causeReset)
		m.sendToServer(pb.server, &boxes.Message{Op: boxes.End, SessionID: pb.id, Cause: causeNormal})
		m.removePlayback(pb)
	}
	m.timers.Set(nil, m.now+finalizeMargin/2, func() {
		for _, viewer := range slices.Clone(m.viewers) {
			m.closeViewer(viewer)
		}
	})
	m.timers.Set(nil, m.now+sweepInterval, func() {
		if m.Exit != nil {
			m.Exit()
		}
	})
}
