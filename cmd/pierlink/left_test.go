package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against set-ups that are sent on although their client has closed its connection before they were read.
func TestSetupsOfLeftClientsAreNotSentOn(t *testing.T) {
	const rounds, setups = 20, 200
	o := newOverloadTest(t, managerLimits{descriptors: 256, memoryMB: 64, abandonS: 4, effect: "read_like"})
	viewer, err := net.Dial("tcp", o.manager.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	request := func() string {
		return fmt.Sprintf("SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\n%s\r\nContent-Length: 3\r\n\r\nsdp", o.ids.Add(1)|1<<60, setupHeader)
	}
	for end := time.Now().Add(testTimeout); o.server.offers.Load() == 0; time.Sleep(10 * time.Millisecond) { // until the server is known
		if _, err := viewer.Write([]byte(request())); err != nil || time.Now().After(end) {
			t.Fatal("no set-up is sent on:", err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	before := o.server.offers.Load()
	for range rounds {
		conn, err := net.Dial("tcp", o.manager.listen)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond) // until it is accepted
		var text strings.Builder
		for range setups {
			text.WriteString(request())
		}
		o.manager.signal(syscall.SIGSTOP) // shorter than what makes a turn late
		o.manager.waitUntilStopped()
		_, _ = conn.Write([]byte(text.String()))
		_ = conn.Close()
		o.manager.signal(syscall.SIGCONT)
		time.Sleep(50 * time.Millisecond)
	}
	if sent := o.server.offers.Load() - before; sent > 0 {
		t.Errorf("%d set-ups were sent on, of %d in %d rounds", sent, rounds*setups, rounds)
	}
}

// Guards against a set-up that runs twice though it must not: its client leaves while the server has it, and sends it again under the same id
// on a new connection.
func TestSetupThatComesAgainRunsOnce(t *testing.T) {
	o := newOverloadTest(t, managerLimits{descriptors: 256, memoryMB: 64, abandonS: 4, effect: "non_idempotent"})
	waitForOffers := func(count int64) {
		t.Helper()
		for end := time.Now().Add(testTimeout); o.server.offers.Load() < count; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d set-ups were sent on, expected %d", o.server.offers.Load(), count)
			}
		}
	}
	usual, err := net.Dial("tcp", o.manager.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer usual.Close()
	for end := time.Now().Add(testTimeout); o.server.offers.Load() == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) { // until the server is known
		_, _ = usual.Write([]byte(o.setup()))
	}
	o.server.silent.Store(true)
	time.Sleep(100 * time.Millisecond)
	before, request := o.server.offers.Load(), o.setup()
	first, err := net.Dial("tcp", o.manager.listen)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = first.Write([]byte(request))
	waitForOffers(before + 1)
	_ = first.Close()
	time.Sleep(50 * time.Millisecond)
	second, err := net.Dial("tcp", o.manager.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_ = second.SetDeadline(time.Now().Add(testTimeout))
	_, _ = second.Write([]byte(request))
	line := make([]byte, 12)
	if _, err := second.Read(line); err != nil || string(line) != "RTSP/1.0 500" {
		t.Errorf("the answer is %q, %v", line, err)
	}
	if sent := o.server.offers.Load() - before; sent != 1 {
		t.Errorf("the set-up was sent on %d times", sent)
	}
}
