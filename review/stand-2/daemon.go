//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// site is a deployment of daemons: media boxes, which are the project's own stand-ins, and session managers with the
// settings of deploy/pierlink.toml, changed where a case needs it.
type site struct {
	*world
	settingsFile, serversFile string
	listen                    string
	moreSettings              string // sections that deploy/pierlink.toml does not have
	processes                 []*process
}

// process is a program of the project.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
}

func newSite(recordPath string) (*site, error) {
	w, err := newWorld(recordPath)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	return &site{world: w, listen: listen, settingsFile: filepath.Join(w.dir, "pierlink.toml"), serversFile: filepath.Join(w.dir, "servers.toml")}, err
}

// start starts a program of bin.
func (s *site) start(name, program string, args ...string) (*process, error) {
	p := &process{name: name, log: filepath.Join(s.dir, name+".log"), exited: make(chan struct{})}
	if dir := os.Getenv("CASE_LOGS"); dir != "" {
		p.log = filepath.Join(dir, name+".log")
	}
	file, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	s.processes = append(s.processes, p)
	s.rec.line("%s: started, process %d: %s %s", name, p.cmd.Process.Pid, program, strings.Join(args, " "))
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end ends all programs.
func (s *site) end() {
	for _, p := range s.processes {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// awaitLog waits for a line that contains the text in the log of a process, and returns when it was seen.
func (p *process) awaitLog(text string, limit time.Duration) (time.Time, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if content, err := os.ReadFile(p.log); err == nil && strings.Contains(string(content), text) {
			return time.Now(), nil
		}
		if !p.running() {
			break
		}
	}
	return time.Time{}, fmt.Errorf("%s: %q did not appear in its log", p.name, text)
}

// mediaBox starts a stand-in media box of the project and returns its address.
func (s *site) mediaBox(name string, args ...string) (string, error) {
	addr, err := freeAddress()
	if err != nil {
		return "", err
	}
	p, err := s.start(name, "bin/pierlab", append([]string{"mediabox", "--listen", addr, "--name", name}, args...)...)
	if err != nil {
		return "", err
	}
	_, err = p.awaitLog("listens on", 5*time.Second)
	return addr, err
}

// boxes starts two stand-in media boxes and writes the server list with them.
func (s *site) boxes() (addrs []string, err error) {
	for i := range 2 {
		addr, err := s.mediaBox(fmt.Sprintf("box-%d", i+1), "--cell", strconv.Itoa(i))
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, s.writeServers(addrs)
}

// writeSettings writes the settings of deploy/pierlink.toml with changes: pairs of a text and what replaces it.
func (s *site) writeSettings(changes ...string) error {
	content, err := os.ReadFile("deploy/pierlink.toml")
	if err != nil {
		return err
	}
	text := string(content)
	changes = append([]string{`listen = "127.0.0.1:8554"`, `listen = "` + s.listen + `"`, `metrics = "127.0.0.1:9464"`, "#", "# control = ", "control = "}, changes...)
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			return fmt.Errorf("deploy/pierlink.toml does not contain %q", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return os.WriteFile(s.settingsFile, []byte(text+s.moreSettings), 0o600)
}

// serveSecond starts the second session manager of a site whose settings say fronts = 2, at an address of its own.
func (s *site) serveSecond() error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(s.settingsFile)
	if err != nil {
		return err
	}
	second := strings.NewReplacer(s.listen, listen, "pierlink/front-0", "pierlink/front-1", "front = 0 ", "front = 1 ", "pierlink.sock", "second.sock").Replace(string(text))
	file := filepath.Join(s.dir, "second.toml")
	if err := os.WriteFile(file, []byte(second), 0o600); err != nil {
		return err
	}
	p, err := s.start("manager-2", "bin/pierlink", "serve", "-c", file)
	if err != nil {
		return err
	}
	_, err = p.awaitLog(`"msg":"ready"`, 10*time.Second)
	return err
}

// writeServers replaces the server list: addresses of the boxes in their order, and which of them drain.
func (s *site) writeServers(addrs []string, draining ...int) error {
	var b strings.Builder
	for i, addr := range addrs {
		fmt.Fprintf(&b, "[[server]]\nname = \"box-%d\"\naddress = %q\nzone = \"bloc-a\"\nkind = \"std\"\ncell = %d\nweight = 1\n", i+1, addr, i)
		for _, d := range draining {
			if d == i {
				b.WriteString("state = \"draining\"\n")
			}
		}
	}
	next := s.serversFile + ".next"
	if err := os.WriteFile(next, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.serversFile)
}

// serve starts a session manager with the site's settings.
func (s *site) serve(name string, args ...string) (*process, error) {
	p, err := s.start(name, "bin/pierlink", append([]string{"serve", "-c", s.settingsFile}, args...)...)
	if err != nil {
		return nil, err
	}
	_, err = p.awaitLog(`"msg":"ready"`, 10*time.Second)
	return p, err
}

// player is a player with one playback.
type player struct {
	s       *site
	name    string
	url     string
	conn    net.Conn
	mu      sync.Mutex
	status  int // of the first SETUP, 0 while there is no answer
	session string
	ended   bool
	second  atomic.Int64 // status of the answer to CSeq 3
	packets atomic.Int64
	last    atomic.Int64 // time of the last packet
}

// play asks for the first track of a title, and for PLAY once that is answered with 200.
func (s *site) play(name, plan, title, query string) (*player, error) {
	conn, err := net.DialTimeout("tcp", s.listen, time.Second)
	if err != nil {
		return nil, err
	}
	base := "rtsp://" + s.listen + "/" + plan + "/" + title
	p := &player{s: s, name: name, conn: conn, url: base + query}
	s.rec.line("%s: SETUP %s", name, p.url)
	if err := p.send("SETUP", base+"/track0"+query, 1, "Transport: RTP/AVP/TCP;unicast;interleaved=0-1\r\n", ""); err != nil {
		return nil, err
	}
	go p.read()
	return p, nil
}

func (p *player) send(method, url string, cseq int, head, body string) error {
	_, err := io.WriteString(p.conn, method+" "+url+" RTSP/1.0\r\nCSeq: "+strconv.Itoa(cseq)+"\r\n"+head+"\r\n"+body)
	return err
}

func (p *player) read() {
	r := bufio.NewReader(p.conn)
	for {
		first, err := r.Peek(1)
		if err != nil {
			break
		}
		if first[0] == '$' {
			head := make([]byte, 4)
			if _, err := io.ReadFull(r, head); err != nil {
				break
			}
			if _, err := r.Discard(int(head[2])<<8 + int(head[3])); err != nil {
				break
			}
			if head[1]&1 == 0 {
				p.packets.Add(1)
				p.last.Store(time.Now().UnixMicro())
			}
			continue
		}
		msg, err := readRTSP(r)
		if err != nil {
			break
		}
		if msg.status() == 0 {
			p.s.rec.line("%s: gets %s %s", p.name, msg.first, msg.head["location"])
			continue
		}
		p.s.rec.line("%s: answer %s to CSeq %s", p.name, msg.first, msg.head["cseq"])
		if msg.head["cseq"] == "3" {
			p.second.Store(int64(msg.status()))
		}
		if msg.head["cseq"] != "1" {
			continue
		}
		p.mu.Lock()
		p.status = msg.status()
		p.session, _, _ = strings.Cut(msg.head["session"], ";")
		p.mu.Unlock()
		if msg.status() == 200 {
			_ = p.send("PLAY", p.url, 2, "Session: "+p.session+"\r\n", "")
		}
	}
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.s.rec.line("%s: connection ended", p.name)
}

// answer waits for the answer to SETUP and returns its status, 0 if there was none.
func (p *player) answer(limit time.Duration) int {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		status, ended := p.status, p.ended
		p.mu.Unlock()
		if status != 0 || ended || time.Now().After(end) {
			return status
		}
	}
}

// plays reports whether the player has got a packet within the last half second.
func (p *player) plays() bool {
	return time.Now().UnixMicro()-p.last.Load() < 500_000
}

func (p *player) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// askOn asks for another title on the same connection, on channels of its own, and returns the status of the answer, 0 if
// there was none within the limit or until the connection ended.
func (p *player) askOn(plan, title string, limit time.Duration) int {
	url := "rtsp://" + p.s.listen + "/" + plan + "/" + title
	p.s.rec.line("%s: SETUP %s on the same connection", p.name, url)
	if err := p.send("SETUP", url+"/track0", 3, "Transport: RTP/AVP/TCP;unicast;interleaved=2-3\r\n", ""); err != nil {
		return 0
	}
	for end := time.Now().Add(limit); time.Now().Before(end) && !p.hasEnded() && p.second.Load() == 0; {
		time.Sleep(5 * time.Millisecond)
	}
	return int(p.second.Load())
}
