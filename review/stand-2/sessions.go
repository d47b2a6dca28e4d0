//go:build review

package main

import (
	"fmt"
	"math/rand"
	"time"
)

// watchReleases returns a function that counts the sessions released to their viewers while they stood at their video
// servers: neither the server had released them, nor their viewer, and the session manager had not ended them there.
func (w *world) watchReleases() (wrong func() int) {
	count := 0
	w.onTold = func(c *call) {
		w.mu.Lock()
		server, releasedAt, cutAt := w.holder[c.id], w.releases[c.id], w.cuts[c.id]
		w.mu.Unlock()
		if server != nil && releasedAt.IsZero() && cutAt.IsZero() && server.stands(c.id) {
			w.mu.Lock()
			count++
			w.mu.Unlock()
			w.rec.line("WRONG: %s is released to its viewer (%s), and stands at %s", c.id, c.reason, server.name)
		}
	}
	return func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return count
	}
}

// served counts the set-ups that were answered with 200.
func (w *world) served() (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if c.status == 200 {
			count++
		}
	}
	return count
}

// randomCall returns a set-up of a random title and plan with its routing data.
func (w *world) randomCall(n int) (*call, string) {
	class, top := "live", 3
	if rand.Intn(100) < 35 {
		class, top = "recorded", 4
	}
	return &call{class: class, title: title(rand.Intn(12)), within: 5 * time.Second},
		fmt.Sprintf("home:0;copies:%d;top:%d;viewer:%016x", len(w.servers), top, n+1)
}

// stillStands describes for how long the sessions that were released wrongly went on at their servers.
func (w *world) stillStands() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for id, c := range w.calls {
		if server := w.holder[id]; !c.toldAt.IsZero() && server != nil && server.stands(id) {
			count++
		}
	}
	return fmt.Sprintf("%d of the sessions that viewers were told to be over still stand at the end", count)
}
