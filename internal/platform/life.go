package platform

import (
	"slices"
	"strings"

	"pierlink/internal/platform/boxes"
	"pierlink/internal/rtsp"
)

// Stop ends the session manager: what comes from here on is refused at once, what has come is decided, and what stands
// plays on until shortly before the platform kills.
func (m *Manager) Stop() {
	if m.stopping > 0 {
		return
	}
	m.stopping = m.now
	wait := min(slices.Max(m.given.Told.Patience), mostStop)
	m.timers.Set(nil, m.now+comeStop, func() {
		if m.Hush != nil {
			m.Hush()
		}
	})
	m.timers.Set(nil, m.now+wait+afterStop, m.close)
}

// close ends all that is left, then the connections, one that still brings a request being closed before the request
// is read, so that it is sent elsewhere, and then the program.
func (m *Manager) close() {
	all := make([]*call, 0, len(m.calls))
	for _, c := range m.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return strings.Compare(a.id, b.id) })
	m.closed = true
	for _, c := range all {
		if c.phase != standing {
			if c.phase == trying {
				m.withdraw(c)
			}
			m.answer(c, rtsp.Answer(rtsp.StatusInternal, setupSeq))
			continue
		}
		m.release(c.viewer, c.id, causeReset)
		m.tell(c.box, &boxes.Message{Op: boxes.End, Call: c.id, Why: causeOver})
		m.finish(c)
	}
	m.timers.Set(nil, m.now+afterStop/2, func() {
		for _, v := range slices.Clone(m.viewers) {
			m.shut(v)
		}
	})
	m.timers.Set(nil, m.now+sweep, func() {
		if m.Exit != nil {
			m.Exit()
		}
	})
}
