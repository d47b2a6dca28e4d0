package main

import (
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

// oddHandover: a bad client names, with a set-up that is handed over, a highest rung under the plan's lowest.
func oddHandover(root, dir string) int {
	w := newWorld(root, dir, brno(), 12, 2)
	w.startManagers()
	f := w.fronts[0]
	stop := make(chan struct{})
	go f.traffic(3, 4, stop)
	go w.fronts[1].traffic(1.5, 4, stop)
	time.Sleep(10 * time.Second)
	if w.trouble {
		server := w.servers[0][0]
		for _, other := range w.servers[0] {
			other.mu.Lock()
			if other.demand() > 0 {
				server = other
			}
			other.mu.Unlock()
		}
		conn, err := net.Dial("tcp", w.managers[0].listen)
		if err != nil {
			cannotRun("%v", err)
		}
		text := setupText(newID(), "recorded", w.site.tenant, "7f3a9c21e0b4d655", 5*time.Second, "home:0;copies:12;top:0;viewer:"+newID()+";at:"+server.name())
		w.rec.log("bad client to n0: %s", oneLine(text))
		_, _ = conn.Write([]byte(text))
		defer conn.Close()
	}
	time.Sleep(20 * time.Second)
	close(stop)
	time.Sleep(6 * time.Second)
	code := ruleHeld
	for i, front := range w.fronts {
		lost := front.unanswered()
		w.rec.say("n%d runs: %v; answers by status: %s; usual requests without their one answer in time: %d", i, w.managers[i].running(), front.summary(), len(lost))
		for _, r := range lost {
			w.rec.log("lost: %s sent at %.3f", r.id, r.sentAt.Sub(w.rec.start).Seconds())
		}
		if len(lost) > 0 || !w.managers[i].running() {
			code = ruleBroken
		}
	}
	c := f.connect()
	c.test()
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	w.rec.say("n0 passes a test at the end: %v", c.tests > 0)
	f.mu.Unlock()
	return code
}

// otherLine: the connection on which a session was set up ends, and the viewers' other one has had nothing served on it.
func otherLine(root, dir string) int {
	w := newWorld(root, dir, teranga(), 12, 2)
	w.startManagers()
	f := w.fronts[0]
	first := f.connect()
	r := first.ask(0, "7f3a9c21e0b4d655", 0, 3, 3, 4*time.Second)
	time.Sleep(time.Second)
	if r.status() != 200 {
		cannotRun("the session was not served: %d", r.status())
	}
	second := f.connect()
	refused := second.ask(1, "7f3a9c2100000001", 0, 3, 2, time.Millisecond) // with very little time left
	stop := make(chan struct{})
	go func() { // the front's tests
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				second.test()
			}
		}
	}()
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.rec.log("viewers' connection %s is reset", first.name)
		_ = first.conn.(*net.TCPConn).SetLinger(0)
		_ = first.conn.Close()
	}
	time.Sleep(500 * time.Millisecond)
	var victim *session
	for _, s := range w.servers[0] {
		s.mu.Lock()
		victim = s.sessions[r.id]
		s.mu.Unlock()
		if victim != nil {
			s.release(victim)
			break
		}
	}
	if victim == nil {
		cannotRun("the session does not stand")
	}
	time.Sleep(10 * time.Second)
	close(stop)
	at, released := r.releasedAt()
	f.mu.Lock()
	w.rec.say("session %s released by its server; towards its viewer: %v; the other connection is open: %v, tests passed on it: %d, answers to its set-up: %v", r.id, released, second.open, second.tests, len(refused.answers) > 0 && refused.answers[0].status != 200)
	f.mu.Unlock()
	if !released || at.Sub(victim.endedAt) > 8050*time.Millisecond {
		return ruleBroken
	}
	return ruleHeld
}

// standStill: two of three session managers stand still now and then, while the list tells of drains.
func standStill(root, dir string) int {
	const grace = 550 * time.Millisecond // drainGrace and the sockets' 50 ms
	const still = 2                      // session managers
	w := newWorld(root, dir, lima(), 10, 3)
	w.startManagers()
	stop := make(chan struct{})
	for _, front := range w.fronts {
		go front.traffic(6, 8, stop)
	}
	time.Sleep(4 * time.Second)
	nextID := uint32(0x00d00000)
	type drain struct {
		server *videoServer
		told   time.Time
	}
	var drains []drain
	for round := range 11 { // standing still for 1.9 to 2 s, every 3 to 3.35 s, for 37 s at most
		length := 1900*time.Millisecond + rand.N(100*time.Millisecond)
		every := 3000*time.Millisecond + rand.N(350*time.Millisecond)
		before := rand.N(length - 700*time.Millisecond)
		cells := []int{2 * round % 10, 2*round%10 + 1} // two of ten drain
		for i := range still {
			if w.trouble {
				w.managers[i].signal(w, syscall.SIGSTOP)
			}
		}
		time.Sleep(before)
		for i := range w.managers {
			told := time.Now()
			for _, cell := range cells {
				old := w.servers[i][cell]
				leaving := old.entry
				leaving.state = draining
				w.rec.log("the bus of n%d tells: %s drains", i, old.name())
				w.buses[i].tell(busEvent{entries: []entry{leaving}})
				drains = append(drains, drain{old, told})
			}
		}
		time.Sleep(length - before)
		for i := range still {
			if w.trouble {
				w.managers[i].signal(w, syscall.SIGCONT)
			}
		}
		time.Sleep(500 * time.Millisecond)
		started := time.Now().UnixMilli()
		for _, cell := range cells {
			for i := range w.managers {
				old := w.servers[i][cell].entry
				fresh := w.newServer(entry{id: nextID, zone: old.zone, kind: old.kind, cell: cell, weight: old.weight, startedMillis: started}, i)
				w.servers[i][cell] = fresh
				w.rec.log("the bus of n%d tells: %s is there", i, fresh.name())
				w.buses[i].tell(busEvent{entries: []entry{fresh.entry}})
			}
			nextID++
		}
		time.Sleep(max(every-length-500*time.Millisecond, 0))
	}
	close(stop)
	time.Sleep(4 * time.Second)
	broken := 0
	for _, d := range drains {
		d.server.mu.Lock()
		for _, offer := range d.server.offers {
			if late := offer.at.Sub(d.told); late > grace {
				broken++
				w.rec.say("n%d: set-up %s came to %s %.3f s after the bus told that it drains", d.server.manager, offer.id, d.server.name(), late.Seconds())
			}
		}
		d.server.mu.Unlock()
	}
	for i, front := range w.fronts {
		w.rec.say("n%d: answers by status: %s", i, front.summary())
	}
	w.rec.say("drains told to session managers: %d, set-ups later than the grace: %d", len(drains), broken)
	if broken > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// longHang: two of ten video servers stand still for a while.
func longHang(root, dir string) int {
	var p *serverProcess
	w := newWorldWith(root, dir, riga(), 10, 3, func(w *world) map[int]string {
		p = w.startAlone("riga", []int{2, 7})
		return p.addrs
	})
	w.startManagers()
	f := w.fronts[0]
	stop := make(chan struct{})
	go f.traffic(3, 4, stop)
	time.Sleep(42 * time.Second)
	if w.trouble {
		w.rec.log("the process of two video servers stands still")
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(20 * time.Second)
	if w.trouble {
		w.rec.log("it goes on")
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	time.Sleep(9 * time.Second)
	close(stop)
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	w.rec.mu.Lock()
	ended := map[string]time.Time{}
	for id, at := range p.ended {
		ended[id] = at
	}
	w.rec.mu.Unlock()
	count, left := 0, 0
	for id, at := range ended {
		r := f.asked[id]
		if r == nil || len(r.answers) == 0 || r.answers[0].status != 200 || time.Since(at) < 8100*time.Millisecond {
			continue
		}
		count++
		if len(r.released) == 0 || r.released[0].Sub(at) > 8050*time.Millisecond {
			left++
			w.rec.say("session %s: released by its server at %.3f, its viewer was told: %v", id, at.Sub(w.rec.start).Seconds(), len(r.released) > 0)
		}
	}
	w.rec.say("%d sessions came to their end at the two servers; %d viewers were not told in 8.05 s", count, left)
	if left > 0 {
		return ruleBroken
	}
	return ruleHeld
}
