//go:build review

package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases[6] = reportOutOfRange }

// report tells the session manager a figure that the player saw, as docs/wire.md says.
func (p *player) report(line string) error {
	body := "report: " + line + "\r\n"
	p.s.rec.line("%s: SET_PARAMETER, %s", p.name, strings.TrimSpace(body))
	return p.send("SET_PARAMETER", p.url, 10, fmt.Sprintf("Session: %s\r\nContent-Type: text/parameters\r\nContent-Length: %d\r\n", p.session, len(body)), body)
}

// reportOutOfRange: one viewer reports a startup time that is out of range. The requests of the others have to be answered.
func reportOutOfRange(recordPath string, trouble bool) (bool, *world, error) {
	const abandon = 4 * time.Second
	s, err := newSite(recordPath)
	if err != nil {
		return false, nil, err
	}
	defer s.end()
	s.moreSettings = "\n[quality]\nwidth = \"1s\"\nbuckets = 300\nlate = \"2s\"\ntitles = 100\n"
	if _, err := s.boxes(); err != nil {
		return false, s.world, err
	}
	if err := s.writeSettings(); err != nil {
		return false, s.world, err
	}
	manager, err := s.serve("manager")
	if err != nil {
		return false, s.world, err
	}
	first, err := s.play("viewer-1", "recorded-lesson", "lesson1", "")
	if err != nil || first.answer(abandon) != 200 {
		return false, s.world, fmt.Errorf("the first viewer does not play: %v", err)
	}
	time.Sleep(500 * time.Millisecond)
	startup := 0.3
	if trouble { // it takes the time of the day for the time that its start took
		startup = float64(time.Now().Unix())
	}
	now := float64(time.Now().UnixMilli()) / 1000
	if err := first.report(fmt.Sprintf("1 %.3f %.3f startup %.3f", now, now-0.2, startup)); err != nil {
		return false, s.world, err
	}
	time.Sleep(500 * time.Millisecond)
	s.rec.line("viewer-1: leaves")
	_ = first.send("TEARDOWN", first.url, 11, "Session: "+first.session+"\r\n", "")
	var others []*player
	var unanswered atomic.Int64
	for n := range 60 { // for 15 s
		p, err := s.play(fmt.Sprintf("viewer-%d", n+2), "recorded-lesson", fmt.Sprintf("lesson%d", n+2), "")
		if err != nil {
			s.rec.line("viewer-%d: %v", n+2, err)
			continue
		}
		others = append(others, p)
		time.AfterFunc(abandon+500*time.Millisecond, func() {
			if p.answer(0) == 0 {
				unanswered.Add(1)
				s.rec.line("WRONG: %s has no answer after %v", p.name, abandon+500*time.Millisecond)
			}
			_ = p.conn.Close()
		})
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(abandon + time.Second)
	s.rec.say("%d other viewers asked, %d of them were never answered; the process still runs: %v", len(others), unanswered.Load(), manager.running())
	return unanswered.Load() > 0, s.world, nil
}
