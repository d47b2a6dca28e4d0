//go:build review

package main

import (
	"fmt"
	"math/rand"
	"sync/atomic"
	"time"
)

func init() { cases[10] = notesLate }

// notesLate: the notes on links come later than usual for a while, and nothing else happens. No session may be released to
// its viewer while it stands at its video server.
func notesLate(recordPath string, trouble bool) (bool, *world, error) {
	const (
		interval = 4500 * time.Millisecond // toldEvery
		seen     = 800 * time.Millisecond  // seenAfter
		late     = 4500 * time.Millisecond
		from     = 16 * time.Second
		length   = 25 * time.Second
		whole    = 52 * time.Second
	)
	w, err := newFleet(recordPath, 13)
	if err != nil {
		return false, w, err
	}
	w.lifeOf = func(session *boxSession) time.Duration {
		if session.class == "live" {
			return 25*time.Second + time.Duration(rand.Int63n(int64(23*time.Second)))
		}
		return 36*time.Second + time.Duration(rand.Int63n(int64(33*time.Second)))
	}
	var isLate atomic.Bool
	for _, s := range w.servers {
		s.noteLate = func() time.Duration {
			if isLate.Load() {
				return late
			}
			return 0
		}
		go s.tellRegularly(interval, seen)
	}
	m := &manager{name: "n0"}
	if err := w.startManager(m); err != nil {
		return false, w, err
	}
	link, err := w.connectViewer("viewers", m.listen)
	if err != nil {
		return false, w, err
	}
	wrong := w.watchReleases()
	start := time.Now()
	if trouble {
		time.AfterFunc(from, func() { w.rec.line("notes 3 and 4 come %v later than usual from now on", late); isLate.Store(true) })
		time.AfterFunc(from+length, func() { w.rec.line("notes 3 and 4 come as usual again"); isLate.Store(false) })
	}
	for n := 0; time.Since(start) < whole; n++ { // 1.5 set-ups a second, this manager's half of 3
		c, routing := w.randomCall(n)
		if err := w.ask(link, m, c, routing, ""); err != nil {
			return false, w, err
		}
		time.Sleep(time.Duration(400+rand.Intn(530)) * time.Millisecond)
	}
	if !m.running() {
		return false, w, fmt.Errorf("the session manager has ended")
	}
	if served := w.served(); served < 20 {
		return false, w, fmt.Errorf("only %d set-ups were served", served)
	}
	w.rec.say("%d set-ups served, %d sessions released to their viewers while they stood at their video servers; %s", w.served(), wrong(), w.stillStands())
	return wrong() > 0, w, nil
}
