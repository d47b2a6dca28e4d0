//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// line writes one line with the time in milliseconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f "+format+"\n", append([]any{float64(time.Since(r.start).Microseconds()) / 1000}, args...)...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
