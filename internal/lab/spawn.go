package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
)

// order is what the laboratory asks of its spawner, and what comes back of it.
type spawnMessage struct {
	ID       int      `json:"id"`
	Program  string   `json:"program,omitempty"`
	Args     []string `json:"args,omitempty"`
	Env      []string `json:"env,omitempty"`
	PID      int      `json:"pid,omitempty"`
	Ended    bool     `json:"ended,omitempty"`
	Status   string   `json:"status,omitempty"`
	LastLine string   `json:"said,omitempty"` // its last line on standard error
}

// Spawn is the spawner's process: it starts programs on order and tells when they have ended. It stands between
// the laboratory and the programs because these must not inherit the laboratory's sockets, which the network
// library opens without close-on-exec: a connection that both have does not end when one closes it. When the
// laboratory goes, so do the programs.
func Spawn(in io.Reader, out io.Writer) error {
	if all, err := os.ReadDir("/proc/self/fd"); err == nil {
		for _, e := range all {
			if fd, err := strconv.Atoi(e.Name()); err == nil && fd > 2 {
				syscall.CloseOnExec(fd)
				var st syscall.Stat_t
				if syscall.Fstat(fd, &st) == nil && st.Mode&syscall.S_IFMT == syscall.S_IFSOCK {
					_ = syscall.Close(fd)
				}
			}
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	say := json.NewEncoder(out)
	running := map[int]*os.Process{}
	tell := func(o spawnMessage) {
		mu.Lock()
		defer mu.Unlock()
		_ = say.Encode(o)
	}
	for d := json.NewDecoder(in); ; {
		var o spawnMessage
		if err := d.Decode(&o); err != nil {
			mu.Lock()
			for _, p := range running {
				_ = p.Kill()
			}
			mu.Unlock()
			wait.Wait()
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		c := exec.Command(o.Program, o.Args...)
		c.Env = append(os.Environ(), o.Env...)
		stderr, err := c.StderrPipe()
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			tell(spawnMessage{ID: o.ID, Ended: true, Status: err.Error()})
			continue
		}
		mu.Lock()
		running[o.ID] = c.Process
		mu.Unlock()
		tell(spawnMessage{ID: o.ID, PID: c.Process.Pid})
		wait.Add(1)
		go func() {
			defer wait.Done()
			last := ""
			for r := bufio.NewScanner(stderr); r.Scan(); {
				last = r.Text()
			}
			err := c.Wait()
			mu.Lock()
			delete(running, o.ID)
			mu.Unlock()
			status := "0"
			if err != nil {
				status = err.Error()
			}
			tell(spawnMessage{ID: o.ID, Ended: true, Status: status, LastLine: last})
		}()
	}
}

// spawner is the laboratory's end.
type spawner struct {
	cmd      *exec.Cmd
	in       io.WriteCloser
	mu       sync.Mutex
	encoder  *json.Encoder
	lastID   int
	programs map[int]*spawnedProgram
	done     chan struct{}
}

// managed is one program that the spawner runs.
type spawnedProgram struct {
	pid           int
	started       chan struct{} // its number is known, or it has ended
	ready         chan struct{}
	ended         chan struct{}
	stopRequested bool // to end
	status        string
	startedAt     Time
}

func newSpawner() (*spawner, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &spawner{cmd: exec.Command(self, "spawn"), programs: map[int]*spawnedProgram{}, done: make(chan struct{})}
	s.cmd.Stderr = os.Stderr
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if s.in, err = s.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	s.encoder = json.NewEncoder(s.in)
	go func() {
		defer close(s.done)
		for d := json.NewDecoder(out); ; {
			var o spawnMessage
			if d.Decode(&o) != nil {
				return
			}
			s.mu.Lock()
			m := s.programs[o.ID]
			s.mu.Unlock()
			if o.PID > 0 {
				m.pid = o.PID
				close(m.started)
				continue
			}
			if m.pid == 0 {
				close(m.started)
			}
			m.status = o.Status
			if o.LastLine != "" {
				m.status += ": " + o.LastLine
			}
			close(m.ended)
		}
	}()
	return s, nil
}

// start orders a program.
func (s *spawner) start(at Time, env []string, program string, args ...string) (*spawnedProgram, error) {
	m := &spawnedProgram{started: make(chan struct{}), ready: make(chan struct{}), ended: make(chan struct{}), startedAt: at}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.programs[s.lastID] = m
	return m, s.encoder.Encode(spawnMessage{ID: s.lastID, Program: program, Args: args, Env: env})
}

// signal sends one to a program that runs.
func (m *spawnedProgram) signal(x syscall.Signal) {
	<-m.started
	select {
	case <-m.ended:
	default:
		if m.pid > 0 {
			_ = syscall.Kill(m.pid, x)
		}
	}
}

// close ends the spawner, and with it what still runs.
func (s *spawner) close() {
	_ = s.in.Close()
	<-s.done
	_ = s.cmd.Wait()
}
