//go:build review

// Command review-2 holds the stand-ins and the checks of the cases in review/6 to review/10. It exits with 1 if the rule of
// a case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// longest is how long a case may run.
const longest = 115 * time.Second

// A caseFunc plays a case, with its disruption or without. It reports whether the rule was broken.
type caseFunc func(recordPath string, trouble bool) (broken bool, w *world, err error)

var cases = map[int]caseFunc{}

// abandon ends the program in the midst of a case. The programs that it started end with it (Pdeathsig).
func abandon() {
	if dir := temporary.Load(); dir != nil {
		_ = os.RemoveAll(*dir)
	}
	os.Exit(2)
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	number, _ := strconv.Atoi(os.Args[1])
	play := cases[number]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	type result struct {
		broken bool
		world  *world
		err    error
	}
	done := make(chan result, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		broken, w, err := play(os.Args[2], os.Getenv("TROUBLE") != "0")
		done <- result{broken, w, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-signals:
		fmt.Println("the case was interrupted")
		abandon()
	case <-time.After(longest):
		fmt.Println("the case took too long")
		abandon()
	}
	if r.world != nil {
		r.world.close()
	}
	switch {
	case r.err != nil:
		if r.world != nil {
			r.world.rec.say("could not run: %v", r.err)
		} else {
			fmt.Println("could not run:", r.err)
		}
		os.Exit(2)
	case r.broken:
		r.world.rec.say("the rule was broken")
		os.Exit(1)
	}
	r.world.rec.say("the rule held")
}
