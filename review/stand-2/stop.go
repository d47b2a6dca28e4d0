//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"pierlink/internal/standin/directory"
)

func init() { cases[8] = stopWhileDirectoryStalls }

// stallingProxy stands before a directory. While it stalls, connections stay open and nothing passes.
type stallingProxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	passes sync.Cond
	stalls bool
}

func newStallingProxy(target string) (*stallingProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &stallingProxy{ln: ln, target: target}
	p.passes.L = &p.mu
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.relay(conn)
		}
	}()
	return p, nil
}

func (p *stallingProxy) stall(stalls bool) {
	p.mu.Lock()
	p.stalls = stalls
	p.mu.Unlock()
	p.passes.Broadcast()
}

func (p *stallingProxy) relay(conn net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.mu.Lock()
			for p.stalls {
				p.passes.Wait()
			}
			p.mu.Unlock()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go pass(server, conn)
	pass(conn, server)
}

// stopWhileDirectoryStalls: viewers of accounts that the session manager does not know yet ask for playbacks while the
// directory stalls, and the session manager is stopped. Each request has to get one answer.
func stopWhileDirectoryStalls(recordPath string, trouble bool) (bool, *world, error) {
	const viewers = 6
	s, err := newSite(recordPath)
	if err != nil {
		return false, nil, err
	}
	defer s.end()
	store := directory.NewStore()
	member := func(n int) {
		store.Put(fmt.Sprintf("uid=m%d,cn=agency,dc=pier", n), map[string][]string{"objectClass": {"pierlinkMember"}, "uid": {fmt.Sprint("m", n)}, "pierlinkTenant": {"agency"}})
	}
	store.Put("cn=agency,dc=pier", map[string][]string{"objectClass": {"pierlinkTenant"}, "cn": {"agency"}, "pierlinkPlan": {"live-lesson", "recorded-lesson"}, "pierlinkWeight": {"1"}})
	member(0)
	ldap, err := directory.Serve("127.0.0.1:0", store)
	if err != nil {
		return false, s.world, err
	}
	defer ldap.Stop()
	proxy, err := newStallingProxy(ldap.Addr())
	if err != nil {
		return false, s.world, err
	}
	s.moreSettings = fmt.Sprintf("\n[directory]\nendpoints = [%q]\nbase = \"dc=pier\"\npage = 100\nlongest = \"20s\"\nrenew = \"5s\"\ntimeout = \"2s\"\nnegative = \"1s\"\n"+
		"waiting = 100\nlookups = 4\nentries = 1000\nquotas = 10\nstale = \"refuse\"\n", proxy.ln.Addr().String())
	if _, err := s.boxes(); err != nil {
		return false, s.world, err
	}
	if err := s.writeSettings("drain = \"20s\"", "# drain is left out:"); err != nil {
		return false, s.world, err
	}
	manager, err := s.serve("manager")
	if err != nil {
		return false, s.world, err
	}
	time.Sleep(time.Second) // it has read the directory
	ask := func(n int) (*player, error) {
		return s.play(fmt.Sprintf("viewer-%d", n), "recorded-lesson", fmt.Sprintf("lesson%d", n), fmt.Sprintf("?tenant=m%d", n))
	}
	first, err := ask(0)
	if err != nil || first.answer(5*time.Second) != 200 {
		return false, s.world, fmt.Errorf("the first viewer does not play: %v", err)
	}
	if trouble {
		s.rec.line("the directory stalls")
		proxy.stall(true)
	}
	for n := range viewers {
		member(n + 1) // these have just joined
	}
	var players []*player
	for n := range viewers {
		p, err := ask(n + 1)
		if err != nil {
			return false, s.world, err
		}
		players = append(players, p)
	}
	time.Sleep(200 * time.Millisecond)
	s.rec.line("the session manager is stopped: SIGTERM")
	if err := manager.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, s.world, err
	}
	stopped := time.Now()
	select {
	case <-manager.exited:
		s.rec.line("the session manager has ended after %v: %v", time.Since(stopped).Round(time.Millisecond), manager.cmd.ProcessState)
	case <-time.After(20 * time.Second):
		return false, s.world, fmt.Errorf("the session manager does not end")
	}
	unanswered := 0
	for _, p := range players {
		if p.answer(500*time.Millisecond) == 0 {
			unanswered++
			s.rec.line("WRONG: %s has no answer", p.name)
		}
	}
	s.rec.say("%d set-ups taken before the stop, %d of them never answered", viewers, unanswered)
	return unanswered > 0, s.world, nil
}
