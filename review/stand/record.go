// The stand-ins of the review's cases: viewers, video servers, and an event bus, as the operators' protocol page describes
// them, and the cases that use them. They run in one process; session managers are started from the deploy file.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	plain bool // no times: the reader adds them
}

func openRecord(dir string) *record {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plain {
		fmt.Fprintf(r.file, "%d %s\n", time.Now().UnixMicro(), fmt.Sprintf(format, args...))
		return
	}
	fmt.Fprintf(r.file, "%10.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	noRun      = 2
)

// atExit ends what the case has started.
var atExit []func()

func leave(code int) {
	for i := len(atExit) - 1; i >= 0; i-- {
		atExit[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("the case could not run: "+format+"\n", args...)
	leave(noRun)
}

func oneLine(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "\r", `\r`), "\n", `\n`)
}
