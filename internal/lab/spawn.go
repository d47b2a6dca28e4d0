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

// spawnMessage is a line of JSON between the lab and its spawner: a request to start a program, or a report that it
// has started or ended.
type spawnMessage struct {
	ID       int      `json:"id"`
	Program  string   `json:"program,omitempty"`
	Args     []string `json:"args,omitempty"`
	Env      []string `json:"env,omitempty"`
	PID      int      `json:"pid,omitempty"`
	Ended    bool     `json:"ended,omitempty"`
	Status   string   `json:"status,omitempty"`
	LastLine string   `json:"said,omitempty"` // last line that it wrote to standard error
}

// Spawn is the main function of the spawner process. It starts programs on request and reports when they have ended.
// The lab doesn't start programs itself because they would inherit its sockets, which the network library opens
// without close-on-exec, and a connection that two processes hold does not end when one of them closes it. When the
// lab ends, the spawner kills the programs.
func Spawn(requests io.Reader, responses io.Writer) error {
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		for _, entry := range entries {
			if fd, err := strconv.Atoi(entry.Name()); err == nil && fd > 2 {
				syscall.CloseOnExec(fd)
				var stat syscall.Stat_t
				if syscall.Fstat(fd, &stat) == nil && stat.Mode&syscall.S_IFMT == syscall.S_IFSOCK {
					_ = syscall.Close(fd)
				}
			}
		}
	}
	var mu sync.Mutex
	var programs sync.WaitGroup
	encoder := json.NewEncoder(responses)
	running := map[int]*os.Process{}
	send := func(message spawnMessage) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(message)
	}
	for decoder := json.NewDecoder(requests); ; {
		var message spawnMessage
		if err := decoder.Decode(&message); err != nil {
			mu.Lock()
			for _, program := range running {
				_ = program.Kill()
			}
			mu.Unlock()
			programs.Wait()
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		cmd := exec.Command(message.Program, message.Args...)
		cmd.Env = append(os.Environ(), message.Env...)
		stderr, err := cmd.StderrPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			send(spawnMessage{ID: message.ID, Ended: true, Status: err.Error()})
			continue
		}
		mu.Lock()
		running[message.ID] = cmd.Process
		mu.Unlock()
		send(spawnMessage{ID: message.ID, PID: cmd.Process.Pid})
		programs.Add(1)
		go func() {
			defer programs.Done()
			lastLine := ""
			for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
				lastLine = scanner.Text()
			}
			err := cmd.Wait()
			mu.Lock()
			delete(running, message.ID)
			mu.Unlock()
			status := "0"
			if err != nil {
				status = err.Error()
			}
			send(spawnMessage{ID: message.ID, Ended: true, Status: status, LastLine: lastLine})
		}()
	}
}

// spawner is the lab's side of the connection with its spawner process.
type spawner struct {
	cmd      *exec.Cmd
	in       io.WriteCloser
	mu       sync.Mutex
	encoder  *json.Encoder
	lastID   int
	programs map[int]*spawnedProgram
	done     chan struct{}
}

// spawnedProgram is a program that the spawner process runs.
type spawnedProgram struct {
	pid           int
	started       chan struct{} // closed when the process ID is known, or the program has ended
	ready         chan struct{}
	ended         chan struct{}
	stopRequested bool // its end is expected
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
	responses, err := s.cmd.StdoutPipe()
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
		for decoder := json.NewDecoder(responses); ; {
			var message spawnMessage
			if decoder.Decode(&message) != nil {
				return
			}
			s.mu.Lock()
			program := s.programs[message.ID]
			s.mu.Unlock()
			if message.PID > 0 {
				program.pid = message.PID
				close(program.started)
				continue
			}
			if program.pid == 0 {
				close(program.started)
			}
			program.status = message.Status
			if message.LastLine != "" {
				program.status += ": " + message.LastLine
			}
			close(program.ended)
		}
	}()
	return s, nil
}

// start requests the start of a program.
func (s *spawner) start(at Time, env []string, path string, args ...string) (*spawnedProgram, error) {
	program := &spawnedProgram{started: make(chan struct{}), ready: make(chan struct{}), ended: make(chan struct{}), startedAt: at}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.programs[s.lastID] = program
	return program, s.encoder.Encode(spawnMessage{ID: s.lastID, Program: path, Args: args, Env: env})
}

// signal sends a signal to the program if it still runs.
func (program *spawnedProgram) signal(sig syscall.Signal) {
	<-program.started
	select {
	case <-program.ended:
	default:
		if program.pid > 0 {
			_ = syscall.Kill(program.pid, sig)
		}
	}
}

// close ends the spawner process and the programs that still run.
func (s *spawner) close() {
	_ = s.in.Close()
	<-s.done
	_ = s.cmd.Wait()
}
