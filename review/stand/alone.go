package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// serveAlone is a process of video servers, which the case may stop and continue. It prints their addresses and then
// what they do, with the Unix time in microseconds, until its standard input ends.
func serveAlone(siteName, cells string) {
	s := sites[siteName]()
	w := &world{site: s, rec: &record{file: os.Stdout, plain: true}}
	for _, text := range strings.Split(cells, ",") {
		cell, _ := strconv.Atoi(text)
		server := w.newServer(entry{id: uint32(0x00c41f00 + cell), zone: cell % len(s.zones), kind: cell % len(s.kinds), cell: cell}, 0)
		server.onRelease = func(session *session) { w.rec.log("ended %s", session.id) }
		w.rec.log("addr %d %s", cell, server.entry.addr)
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString(0)
	os.Exit(0)
}

var sites = map[string]func() *site{"teranga": teranga, "brno": brno, "lima": lima, "riga": riga}

// serverProcess is a process started by startAlone.
type serverProcess struct {
	cmd   *exec.Cmd
	addrs map[int]string
	ended map[string]time.Time // by session: when its server released it
}

func (w *world) startAlone(siteName string, cells []int) *serverProcess {
	self, err := os.Executable()
	if err != nil {
		cannotRun("%v", err)
	}
	var names []string
	for _, cell := range cells {
		names = append(names, strconv.Itoa(cell))
	}
	p := &serverProcess{cmd: exec.Command(self, "video-servers", siteName, strings.Join(names, ",")), addrs: map[int]string{}, ended: map[string]time.Time{}}
	out, _ := p.cmd.StdoutPipe()
	if _, err := p.cmd.StdinPipe(); err != nil {
		cannotRun("%v", err)
	}
	if err := p.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	done := make(chan struct{})
	atExit = append(atExit, func() { _ = p.cmd.Process.Signal(syscall.SIGCONT); _ = p.cmd.Process.Kill(); <-done })
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for len(p.addrs) < len(cells) && lines.Scan() {
		var micros int64
		var cell int
		var addr string
		if n, _ := fmt.Sscanf(lines.Text(), "%d addr %d %s", &micros, &cell, &addr); n == 3 {
			p.addrs[cell] = addr
		}
	}
	go func() {
		for lines.Scan() {
			stamp, text, _ := strings.Cut(lines.Text(), " ")
			micros, _ := strconv.ParseInt(stamp, 10, 64)
			at := time.UnixMicro(micros)
			w.rec.log("(at %.3f) %s", at.Sub(w.rec.start).Seconds(), text)
			if id, ok := strings.CutPrefix(text, "ended "); ok {
				w.rec.mu.Lock()
				p.ended[id] = at
				w.rec.mu.Unlock()
			}
		}
		_ = p.cmd.Wait()
		close(done)
	}()
	return p
}
