//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// call is a viewer's session, as its viewer knows it.
type call struct {
	id, class, title string
	link             *viewerLink
	manager          *manager
	within           time.Duration
	status           int       // of the final answer, 0 while there is none
	toldAt           time.Time // of the release, zero while it stands
	reason           string
}

// world holds the stand-ins of one case.
type world struct {
	rec      *record
	dir      string
	bus      *eventBus
	settings map[string]any
	limits   map[string]any
	zones    []string
	kinds    []string
	servers  []*videoServer
	managers []*manager
	lifeOf   func(*boxSession) time.Duration

	mu       sync.Mutex
	calls    map[string]*call
	holder   map[string]*videoServer // server at which a session stands
	releases map[string]time.Time    // by the server
	cuts     map[string]time.Time    // by the session manager, at the server
	tested   map[string]chan int
	nextID   uint64

	onTold func(*call)
}

// manager is one session manager, a process of its own.
type manager struct {
	name, listen, config, bus string
	slot                      int
	waitBefore                time.Duration // before the first test
	cmd                       *exec.Cmd
	exited                    chan struct{}
	log                       *os.File
}

// temporary is the temporary folder of the case.
var temporary atomic.Pointer[string]

func newWorld(recordPath string) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	temporary.Store(&dir)
	w := &world{rec: rec, dir: dir, calls: map[string]*call{}, holder: map[string]*videoServer{}, releases: map[string]time.Time{}, cuts: map[string]time.Time{}, tested: map[string]chan int{}, nextID: uint64(rand.Int63()) | 1<<60}
	if w.bus, err = newBus(rec); err != nil {
		return nil, err
	}
	w.limits = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256}
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, m := range w.managers {
		m.kill()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID += 0x9e3779b97f4a7c15
	return fmt.Sprintf("%016x", w.nextID)
}

func (w *world) life(session *boxSession) time.Duration {
	if w.lifeOf != nil {
		return w.lifeOf(session)
	}
	return time.Hour
}

func (w *world) domain() map[string]any { return w.settings["domain"].(map[string]any) }

func (w *world) rateKB(class string, rung int) float64 {
	ladder := w.domain()["ladderKb"].([]float64)
	factors := w.domain()["rateFactor"].([]float64)
	for i, c := range w.settings["classes"].([]any) {
		if c.(map[string]any)["name"] == class && rung < len(ladder) {
			return ladder[rung] * factors[i]
		}
	}
	return 0
}

// addServers starts video servers and puts the whole list on the bus as its first event.
func (w *world) addServers(count int, zoneOf func(int) int, linkKB float64) error {
	event := busEvent{whole: true}
	for i := range count {
		s := &videoServer{w: w, id: uint32(0x00c41000 + i), name: fmt.Sprintf("s-%08x", 0x00c41000+i), cell: i, linkKB: linkKB, work: 60 * time.Millisecond,
			conns: map[*boxConn]struct{}{}, sessions: map[string]*boxSession{}}
		if err := s.listen("127.0.0.1:0"); err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		event.servers = append(event.servers, listed{id: s.id, addr: s.addr, zone: zoneOf(i), cell: i, weight: 2})
	}
	w.bus.add(event)
	return nil
}

// runLine returns the command that starts a session manager, from the deploy file.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run line")
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startManager starts a session manager, or starts one again after it has ended.
func (w *world) startManager(m *manager) error {
	if m.listen == "" {
		var err error
		if m.listen, err = freeAddress(); err != nil {
			return err
		}
		m.config = filepath.Join(w.dir, m.name+".json")
		w.managers = append(w.managers, m)
	}
	settings := map[string]any{}
	for key, value := range w.settings {
		settings[key] = value
	}
	settings["slotNo"] = m.slot
	bus := m.bus
	if bus == "" {
		bus = w.bus.addr()
	}
	text, err := json.Marshal(map[string]any{"name": m.name, "listen": m.listen, "seed": fmt.Sprintf("%016x", rand.Uint64()), "limits": w.limits, "bus": bus,
		"known": w.bus.known(w.zones, w.kinds), "settings": settings})
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.config, text, 0o600); err != nil {
		return err
	}
	command, err := runLine()
	if err != nil {
		return err
	}
	if os.Getenv("CASE_TRACE") != "" { // for looking into a case; not used by its script
		command += " --trace"
	}
	if m.log == nil {
		path := filepath.Join(w.dir, m.name+".log")
		if dir := os.Getenv("CASE_LOGS"); dir != "" {
			path = filepath.Join(dir, m.name+".log")
		}
		if m.log, err = os.Create(path); err != nil {
			return err
		}
	}
	m.cmd = exec.Command("/bin/sh", "-c", command)
	m.cmd.Env = append(os.Environ(), "GW_NAME="+m.name, "GW_LISTEN="+m.listen, "GW_CONFIG="+m.config)
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.cmd, m.exited)
	w.rec.line("%s: started, process %d, at %s", m.name, m.cmd.Process.Pid, m.listen)
	time.Sleep(m.waitBefore)
	return w.awaitReady(m)
}

// awaitReady tests the session manager until a test passes.
func (w *world) awaitReady(m *manager) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		link, err := w.connectViewer(m.name+" test", m.listen)
		if err != nil {
			continue
		}
		id := w.newID()
		answer := make(chan int, 1)
		w.mu.Lock()
		w.tested[id] = answer
		w.mu.Unlock()
		if link.send(options(id)) == nil {
			select {
			case status := <-answer:
				_ = link.conn.Close()
				if status == 200 {
					w.rec.line("%s: test passed", m.name)
					return nil
				}
			case <-time.After(time.Second):
			}
		}
		_ = link.conn.Close()
	}
	return fmt.Errorf("%s did not become ready", m.name)
}

func (m *manager) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func (m *manager) kill() {
	if m.cmd != nil && m.cmd.Process != nil && m.running() {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
}

// ask sends a set-up on a connection.
func (w *world) ask(link *viewerLink, m *manager, c *call, routing, desc string) error {
	c.id, c.link, c.manager = w.newID(), link, m
	if desc == "" {
		desc = "v=0\r\no=" + c.id + "\r\nm=video 31000 RTP/AVP 96\r\n"
	}
	w.mu.Lock()
	w.calls[c.id] = c
	w.mu.Unlock()
	w.rec.line("%s: set-up %s class %s title %s within %d ms", link.name, c.id, c.class, c.title, c.within.Milliseconds())
	return link.send(setup(c.id, c.title, c.class, c.within, routing, "", desc))
}

// handOver sends a set-up for a session that plays at a server already.
func (w *world) handOver(link *viewerLink, m *manager, c *call, routing, server string) error {
	c.link, c.manager = link, m
	w.mu.Lock()
	w.calls[c.id] = c
	w.mu.Unlock()
	w.rec.line("%s: hands over %s, which plays at %s", link.name, c.id, server)
	return link.send(setup(c.id, c.title, c.class, c.within, routing, server, "v=0\r\no="+c.id+"\r\nm=video 31000 RTP/AVP 96\r\n"))
}

func (w *world) answered(l *viewerLink, id string, status int, msg *rtspMessage) {
	w.mu.Lock()
	if answer := w.tested[id]; answer != nil {
		delete(w.tested, id)
		w.mu.Unlock()
		answer <- status
		return
	}
	c := w.calls[id]
	if msg.head["cseq"] == "2" || status < 200 {
		w.mu.Unlock()
		return
	}
	if c != nil {
		if c.status == 0 {
			c.status = status
		}
	}
	w.mu.Unlock()
	w.rec.line("%s: answer %d for %q, come back %q, %q", l.name, status, id, msg.head["come-back-ms"], msg.body)
}

func (w *world) told(id, reason string) {
	w.mu.Lock()
	c := w.calls[id]
	first := c != nil && c.toldAt.IsZero()
	if first {
		c.toldAt, c.reason = time.Now(), reason
	}
	onTold := w.onTold
	w.mu.Unlock()
	if first && onTold != nil {
		onTold(c)
	}
}

func (w *world) arrived(s *videoServer, session *boxSession) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder[session.id] = s
}

func (w *world) released(session *boxSession) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.releases[session.id] = time.Now()
}

func (w *world) cutByManager(session *boxSession) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if session.stands {
		w.cuts[session.id] = time.Now()
	}
}
