package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
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
	"testing"
	"time"
)

const (
	runAsProgramEnv = "PIERLINK_TEST_AS_PROGRAM"
	testTimeout     = 20 * time.Second
)

// TestMain runs the program itself when a test has started this binary as the daemon.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Args = []string{"pierlink", "serve", "--platform"}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// managerProcess is a session manager in a process of its own.
type managerProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    *logBuffer
	config string
	listen string
	managerLimits
}

// managerLimits are settings of a manager's configuration that tests choose.
type managerLimits struct {
	descriptors int     // limit of open descriptors, also set in the system
	memoryMB    int     // limit on memory
	abandonS    float64 // abandon time of viewers
	effect      string  // of a second set-up
}

var defaultLimits = managerLimits{descriptors: 256, memoryMB: 64, abandonS: 0.3, effect: "read_like"}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// startBus runs a bus that sends no events and keeps its connections open. The offsets from which a manager requests events
// are sent to offsets.
func startBus(t *testing.T) (addr string, offsets chan uint64) {
	t.Helper()
	ln := listenLocal(t)
	offsets = make(chan uint64, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var request [8]byte
			if _, err := io.ReadFull(conn, request[:]); err == nil {
				offsets <- binary.BigEndian.Uint64(request[:])
			}
		}
	}()
	return ln.Addr().String(), offsets
}

func (m *managerProcess) writeConfig(bus string) {
	m.t.Helper()
	text, err := os.ReadFile("../../internal/platform/testdata/configuration.json")
	if err != nil {
		m.t.Fatal(err)
	}
	full := strings.NewReplacer("MEMORY", strconv.Itoa(m.memoryMB), "SOCKETS", strconv.Itoa(m.descriptors), "PROBES", "false", "EFFECT", m.effect, "IDLE", "15", "TENANTS", "[]", "FLOOR", "0",
		"127.0.0.1:1", m.listen, "10.2.0.1:8500", bus, "10.1.0.", "127.0.0.", `"giveUp":4`, `"giveUp":`+strconv.FormatFloat(m.abandonS, 'g', -1, 64)).Replace(string(text))
	if err := os.WriteFile(m.config, []byte(full), 0o600); err != nil {
		m.t.Fatal(err)
	}
}

func startManager(t *testing.T, bus string) *managerProcess {
	t.Helper()
	return startManagerWith(t, bus, defaultLimits)
}

func startManagerWith(t *testing.T, bus string, limits managerLimits) *managerProcess {
	t.Helper()
	ln := listenLocal(t)
	manager := &managerProcess{t: t, log: &logBuffer{}, config: filepath.Join(t.TempDir(), "config.json"), listen: ln.Addr().String(), managerLimits: limits}
	_ = ln.Close()
	manager.writeConfig(bus)
	manager.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, limits.descriptors), os.Args[0])
	manager.cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "GW_CONFIG="+manager.config, "GW_NAME=n0", "GW_LISTEN="+manager.listen)
	manager.cmd.Stdout, manager.cmd.Stderr = manager.log, manager.log
	if err := manager.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = manager.cmd.Process.Kill() })
	return manager
}

func (m *managerProcess) signal(s os.Signal) {
	m.t.Helper()
	if err := m.cmd.Process.Signal(s); err != nil {
		m.t.Fatal(err)
	}
}

// waitUntilStopped waits until a stop signal has stopped all threads of the process.
func (m *managerProcess) waitUntilStopped() {
	m.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(100 * time.Microsecond) {
		states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", m.cmd.Process.Pid))
		if err != nil || time.Now().After(end) {
			m.t.Fatal("the process has not stopped:", err)
		}
		stopped := len(states) > 0
		for _, path := range states {
			text, err := os.ReadFile(path)
			_, state, _ := strings.Cut(string(text), ") ")
			stopped = stopped && (err != nil || strings.HasPrefix(state, "T"))
		}
		if stopped {
			return
		}
	}
}

func (m *managerProcess) waitForLog(text string) {
	m.t.Helper()
	for end := time.Now().Add(testTimeout); !m.log.contains(text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("%q did not appear in the log", text)
		}
	}
}

// optionsStatus waits until the manager listens and returns the status of its answer to OPTIONS.
func (m *managerProcess) optionsStatus() string {
	m.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", m.listen)
		if err != nil {
			if time.Now().After(end) {
				m.t.Fatal(err)
			}
			continue
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(conn, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: 0000000000000000\r\nContent-Length: 0\r\n\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			m.t.Fatal(err)
		}
		return strings.Fields(line)[1]
	}
}

func (m *managerProcess) waitForExit() {
	m.t.Helper()
	done := make(chan error, 1)
	go func() { done <- m.cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			m.t.Fatal(err)
		}
	case <-time.After(testTimeout):
		m.t.Fatal("manager did not exit")
	}
}

func expectSubscription(t *testing.T, offsets chan uint64) {
	t.Helper()
	select {
	case offset := <-offsets:
		if offset != 1 {
			t.Errorf("requested events after offset %d, expected 1", offset)
		}
	case <-time.After(testTimeout):
		t.Fatal("the manager did not connect to the bus")
	}
}

// SIGHUP reloads the configuration, also twice in a row and after an invalid file; a SIGTERM right after it ends the process
// cleanly.
func TestReloadAndStopBySignals(t *testing.T) {
	first, offsets := startBus(t)
	manager := startManager(t, first)
	if status := manager.optionsStatus(); status != "200" {
		t.Fatal(status)
	}
	expectSubscription(t, offsets)
	if err := os.WriteFile(manager.config, []byte(`{"name":"n0","settings":`), 0o600); err != nil {
		t.Fatal(err)
	}
	manager.signal(syscall.SIGHUP)
	manager.waitForLog("new configuration rejected; keeping the current one")
	if status := manager.optionsStatus(); status != "200" {
		t.Error("after an invalid configuration file: status", status)
	}
	second, offsets := startBus(t)
	manager.writeConfig(second)
	manager.signal(syscall.SIGHUP)
	expectSubscription(t, offsets)
	silent := listenLocal(t) // accepts connections and never answers: the next SIGHUP comes while the manager waits for it
	manager.writeConfig(silent.Addr().String())
	manager.signal(syscall.SIGHUP)
	manager.waitForLog(silent.Addr().String())
	third, offsets := startBus(t)
	manager.writeConfig(third)
	manager.signal(syscall.SIGHUP)
	expectSubscription(t, offsets)
	manager.signal(syscall.SIGHUP)
	manager.signal(syscall.SIGTERM)
	manager.waitForExit()
}

// A SIGTERM during the start, or right after it, ends the process cleanly.
func TestStopDuringStart(t *testing.T) {
	addr, _ := startBus(t)
	manager := startManager(t, addr)
	manager.waitForLog("session manager is serving")
	manager.signal(syscall.SIGTERM)
	manager.waitForExit()
}

// An invalid configuration ends the start with an error of one line.
func TestStartWithInvalidConfiguration(t *testing.T) {
	manager := &managerProcess{t: t, log: &logBuffer{}, config: filepath.Join(t.TempDir(), "config.json"), listen: "127.0.0.1:1", managerLimits: defaultLimits}
	manager.writeConfig("nowhere")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "GW_CONFIG="+manager.config, "GW_LISTEN=127.0.0.1:1")
	cmd.Stdout, cmd.Stderr = manager.log, manager.log
	err := cmd.Run()
	if cmd.ProcessState.ExitCode() != 1 || !manager.log.contains("bus: expected address:port") || strings.Count(manager.log.text.String(), "\n") != 1 {
		t.Errorf("%v: %s", err, manager.log.text.String())
	}
}

// Silent clients occupy all connections that they can get, and sessions play at more servers than may have a connection.
// The descriptors suffice all the same, and the bus is reconnected after its connection breaks.
func TestBusReconnectsWithinDescriptorLimit(t *testing.T) {
	const (
		descriptorLimit = 64 // smallest accepted limit
		servers         = 20 // more than the quarter of the descriptors for servers
		idleClients     = 80 // more than all descriptors
	)
	busListener, serverListener := listenLocal(t), listenLocal(t)
	limits := defaultLimits
	limits.descriptors = descriptorLimit
	manager := startManagerWith(t, busListener.Addr().String(), limits)
	if status := manager.optionsStatus(); status != "200" {
		t.Fatal(status)
	}
	acceptBus := func() net.Conn {
		t.Helper()
		_ = busListener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
		conn, err := busListener.Accept()
		if err != nil {
			t.Fatal("the manager did not connect to the bus:", err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		var request [8]byte
		if _, err := io.ReadFull(conn, request[:]); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	conn := acceptBus()
	event := binary.BigEndian.AppendUint32(nil, 9+27*servers)
	event = append(binary.BigEndian.AppendUint64(event, 2), 2)
	for i := range servers {
		event = append(binary.BigEndian.AppendUint32(event, uint32(100+i)), 127, 0, 0, 1)
		event = binary.BigEndian.AppendUint16(event, uint16(serverListener.Addr().(*net.TCPAddr).Port))
		event = append(event, 0, 0, 0, 0, 0, 0, 0, 3, 0xe8)
		event = binary.BigEndian.AppendUint64(event, 0)
	}
	if _, err := conn.Write(event); err != nil {
		t.Fatal(err)
	}
	var connected, attempts atomic.Int64
	go func() {
		for {
			conn, err := serverListener.Accept()
			if err != nil {
				return
			}
			connected.Add(1)
			go func() { _, _ = io.Copy(io.Discard, conn); connected.Add(-1) }()
		}
	}()
	waitFor := func(failure string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(failure)
			}
		}
	}
	viewer, err := net.Dial("tcp", manager.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	for i := range servers {
		fmt.Fprintf(viewer, "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nCall-Kind: live\r\n"+
			"Routing-Data: home:0;copies:2;top:1;viewer:00000000b4d65521;at:s-%08x\r\nContent-Length: 3\r\n\r\nsdp", i+1, 100+i)
	}
	waitFor("too few connections to servers", func() bool { return connected.Load() >= descriptorLimit/4 })
	stop := make(chan struct{})
	var idle sync.WaitGroup
	defer idle.Wait()
	defer close(stop)
	for range idleClients {
		idle.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				attempts.Add(1)
				if conn, err := net.Dial("tcp", manager.listen); err == nil {
					_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
					_, _ = conn.Read(make([]byte, 1))
					_ = conn.Close()
				}
			}
		})
	}
	peak := 0
	waitFor("too few idle clients were disconnected", func() bool {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", manager.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		peak = max(peak, len(open))
		return attempts.Load() > 5*idleClients
	})
	t.Log(peak, "descriptors at most")
	if peak >= descriptorLimit {
		t.Errorf("%d descriptors were open, limit %d", peak, descriptorLimit)
	}
	_ = conn.Close()
	_ = acceptBus().Close()
}
