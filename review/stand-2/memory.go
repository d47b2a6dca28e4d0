//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases[7] = handedOverByBadClients }

// ownMemory returns the memory of a process in MB that is its own: without pages of files.
func ownMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024, err
		}
	}
	return 0, fmt.Errorf("no RssAnon in the status of process %d", pid)
}

// badClient connects, sends hundreds of set-ups at once with ids that no video server knows, reads what is sent to it, and
// leaves after a second.
func (w *world) badClient(m *manager, count int) {
	conn, err := net.DialTimeout("tcp", m.listen, time.Second)
	if err != nil {
		w.rec.line("bad client: %v", err)
		return
	}
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	var text strings.Builder
	for range count {
		text.WriteString(setup(fmt.Sprintf("%016x", rand.Uint64()), title(rand.Intn(12)), "live", time.Second,
			fmt.Sprintf("home:0;copies:%d;top:3;viewer:%016x", len(w.servers), rand.Uint64()), w.servers[rand.Intn(len(w.servers))].name, "v=0\r\n"))
	}
	_, _ = io.WriteString(conn, text.String())
	time.Sleep(time.Second)
}

// handedOverByBadClients: bad clients hand over sessions that no video server knows. The session manager has to stay within
// its memory; as on the platform it is killed otherwise.
func handedOverByBadClients(recordPath string, trouble bool) (bool, *world, error) {
	const (
		limit  = 32  // MB, the least that the pages state
		atOnce = 300 // set-ups of a bad client
		rate   = 3   // bad clients a second
		whole  = 75 * time.Second
	)
	w, err := newFleet(recordPath, 13)
	if err != nil {
		return false, w, err
	}
	w.limits["memory_mb"] = limit
	for _, s := range w.servers {
		go s.tellRegularly(4500*time.Millisecond, 800*time.Millisecond)
	}
	m := &manager{name: "n0"}
	if err := w.startManager(m); err != nil {
		return false, w, err
	}
	link, err := w.connectViewer("viewers", m.listen)
	if err != nil {
		return false, w, err
	}
	for n := range 30 {
		c, routing := w.randomCall(n)
		if err := w.ask(link, m, c, routing, ""); err != nil {
			return false, w, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	standing := func() (count int) {
		for _, s := range w.servers {
			count += len(s.standing())
		}
		return count
	}
	before, bad, most := standing(), 0, 0.0
	for start := time.Now(); time.Since(start) < whole; time.Sleep(time.Second / rate) {
		if trouble {
			go w.badClient(m, atOnce)
			bad++
		}
		own, err := ownMemory(m.cmd.Process.Pid)
		if err != nil {
			return false, w, err
		}
		most = max(most, own)
		w.rec.line("%d bad clients so far, %.1f MB", bad, own)
		if own > limit {
			w.rec.line("over the limit: the platform kills the session manager; %d sessions of usual viewers stood", standing())
			m.kill()
			break
		}
	}
	if before < 10 {
		return false, w, fmt.Errorf("only %d sessions stood at the beginning", before)
	}
	w.rec.say("%.1f MB of its own at most, %d may be; %d bad clients with %d set-ups each", most, limit, bad, atOnce)
	return most > limit, w, nil
}
