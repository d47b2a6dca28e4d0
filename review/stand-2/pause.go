//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases[9] = pauseAtEnd }

// shortBox is a media box as docs/wire.md describes it. Its titles end after a time, by RTCP BYE.
type shortBox struct {
	s      *site
	name   string
	length time.Duration
}

func (b *shortBox) serve(ln net.Listener) {
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.dialogue(conn)
		}
	}()
}

func (b *shortBox) dialogue(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	var mu sync.Mutex
	write := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	playing := false
	for {
		if first, err := r.Peek(1); err == nil && first[0] == '$' {
			head := make([]byte, 4)
			_, _ = io.ReadFull(r, head)
			_, _ = r.Discard(int(head[2])<<8 + int(head[3]))
			continue
		}
		msg, err := readRTSP(r)
		if err != nil {
			return
		}
		b.s.rec.line("%s: %s", b.name, msg.first)
		write("RTSP/1.0 200 OK\r\nCSeq: " + msg.head["cseq"] + "\r\nSession: " + b.name + "-" + conn.RemoteAddr().String() + "\r\nLoad: link=0.1;uplink=0.1\r\n\r\n")
		if msg.method() == "TEARDOWN" {
			return
		}
		if msg.method() == "PLAY" && !playing {
			playing = true
			go func() {
				rtp := string([]byte{'$', 0, 0, 16, 0x80, 96, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 1, 2, 3, 4})
				bye := string([]byte{'$', 1, 0, 8, 0x81, 203, 0, 1, 0, 0, 0, 1})
				for end := time.Now().Add(b.length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					write(rtp)
				}
				write(bye)
				b.s.rec.line("%s: the title has ended, RTCP BYE", b.name)
			}()
		}
	}
}

// pauseAtEnd: a viewer asks for the next part of a lesson on the connection on which the part before plays, at the time at
// which that one ends. One of two session managers, the one asked, stands still meanwhile. Each request has to get one answer.
func pauseAtEnd(recordPath string, trouble bool) (bool, *world, error) {
	const (
		length = 4 * time.Second         // of a part
		still  = 1500 * time.Millisecond // from half a second before its end
		rounds = 5
	)
	s, err := newSite(recordPath)
	if err != nil {
		return false, nil, err
	}
	defer s.end()
	var boxes []string
	for i := range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, s.world, err
		}
		(&shortBox{s: s, name: fmt.Sprintf("box-%d", i+1), length: length}).serve(ln)
		boxes = append(boxes, ln.Addr().String())
	}
	if err := s.writeSettings("fronts = 1 ", "fronts = 2 "); err != nil {
		return false, s.world, err
	}
	if err := s.writeServers(boxes); err != nil {
		return false, s.world, err
	}
	manager, err := s.serve("manager")
	if err != nil {
		return false, s.world, err
	}
	if err := s.serveSecond(); err != nil {
		return false, s.world, err
	}
	lost := 0
	for round := range rounds {
		p, err := s.play(fmt.Sprintf("viewer-%d", round+1), "recorded-lesson", fmt.Sprintf("lesson%d-part1", round+1), "")
		if err != nil || p.answer(5*time.Second) != 200 {
			return false, s.world, fmt.Errorf("%s does not play: %v", p.name, err)
		}
		began := time.Now()
		time.Sleep(length - 500*time.Millisecond)
		if trouble {
			s.rec.line("the session manager stands still")
			if err := manager.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
				return false, s.world, err
			}
			time.AfterFunc(still, func() {
				s.rec.line("the session manager goes on")
				_ = manager.cmd.Process.Signal(syscall.SIGCONT)
			})
		}
		time.Sleep(time.Until(began.Add(length + 200*time.Millisecond)))
		title := fmt.Sprintf("lesson%d-part2", round+1)
		status := 0
		if p.hasEnded() { // a viewer whose connection was closed comes on a new one
			next, err := s.play(p.name+" again", "recorded-lesson", title, "")
			if err != nil {
				return false, s.world, err
			}
			status = next.answer(5 * time.Second)
			_ = next.conn.Close()
		} else {
			status = p.askOn("recorded-lesson", title, 5*time.Second)
		}
		if status == 0 {
			lost++
			s.rec.line("WRONG: %s has no answer to its second SETUP", p.name)
		}
		_ = p.conn.Close()
		time.Sleep(time.Second)
	}
	s.rec.say("%d viewers asked for the next part, %d of them were never answered", rounds, lost)
	return lost > 0, s.world, nil
}
