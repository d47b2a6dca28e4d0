package main

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a new process that is taken for the one that had its address before: the list names another server there,
// which started later, while the first one is still listed and its machine has reset nothing. What stood there is over, and
// no set-up goes to a connection of the first one.
func TestNewProcessAtAnOldAddress(t *testing.T) {
	o := newOverloadTest(t, managerLimits{descriptors: 256, memoryMB: 64, abandonS: 4, effect: "read_like"})
	viewer, err := net.Dial("tcp", o.manager.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	served, over := make(chan struct{}, 1000), make(chan struct{}, 1000)
	go func() {
		in := bufio.NewReader(viewer)
		for {
			line, err := in.ReadString('\n')
			switch {
			case err != nil:
				return
			case strings.HasPrefix(line, "RTSP/1.0 200"):
				served <- struct{}{}
			case strings.HasPrefix(line, "TEARDOWN"):
				over <- struct{}{}
			}
		}
	}()
	for end := time.Now().Add(testTimeout); len(served) == 0; time.Sleep(20 * time.Millisecond) {
		_, _ = viewer.Write([]byte(o.setup()))
		if time.Now().After(end) {
			t.Fatal("no set-up was served")
		}
	}
	time.Sleep(100 * time.Millisecond)
	o.server.process.Add(1)
	o.bus.sendStarted(101, o.server.addr(), stateReady, time.Now())
	select {
	case <-over:
	case <-time.After(time.Second): // the time in which the end of a session has to be told
		t.Error("the viewer is not told that its session is over")
	}
	for range 20 {
		_, _ = viewer.Write([]byte(o.setup()))
		time.Sleep(20 * time.Millisecond)
	}
	if wrong := o.server.offersToEnded.Load(); wrong > 0 {
		t.Errorf("%d set-ups were sent to the process that has ended", wrong)
	}
}
