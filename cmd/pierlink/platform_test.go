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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	asProgram = "PIERLINK_TEST_AS_PROGRAM"
	awaited   = 20 * time.Second
)

// TestMain is the program itself where a test starts it as one.
func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Args = []string{"pierlink", "serve", "--platform"}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// log is what a process has written, line by line.
type log struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(b)
}

func (l *log) has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.all.String(), text)
}

// manager is a session manager in a process of its own.
type manager struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    *log
	config string
	listen string
}

func free(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// bus tells on hellos the place in it that a manager asks from; it says nothing and keeps the connection.
func bus(t *testing.T) (addr string, hellos chan uint64) {
	t.Helper()
	ln := free(t)
	hellos = make(chan uint64, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			var b [8]byte
			if _, err := io.ReadFull(c, b[:]); err == nil {
				hellos <- binary.BigEndian.Uint64(b[:])
			}
		}
	}()
	return ln.Addr().String(), hellos
}

func (m *manager) write(bus string) {
	m.t.Helper()
	text, err := os.ReadFile("../../internal/platform/testdata/configuration.json")
	if err != nil {
		m.t.Fatal(err)
	}
	full := strings.NewReplacer("MEMORY", "64", "SOCKETS", "256", "PROBES", "false", "EFFECT", "read_like", "IDLE", "15", "TENANTS", "[]",
		"127.0.0.1:1", m.listen, "10.2.0.1:8500", bus, "10.1.0.", "127.0.0.", `"giveUp":4`, `"giveUp":0.3`).Replace(string(text))
	if err := os.WriteFile(m.config, []byte(full), 0o600); err != nil {
		m.t.Fatal(err)
	}
}

func start(t *testing.T, bus string) *manager {
	t.Helper()
	ln := free(t)
	m := &manager{t: t, log: &log{}, config: filepath.Join(t.TempDir(), "config.json"), listen: ln.Addr().String()}
	_ = ln.Close()
	m.write(bus)
	m.cmd = exec.Command(os.Args[0])
	m.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+m.config, "GW_NAME=n0", "GW_LISTEN="+m.listen)
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	if err := m.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.cmd.Process.Kill() })
	return m
}

func (m *manager) signal(s os.Signal) {
	m.t.Helper()
	if err := m.cmd.Process.Signal(s); err != nil {
		m.t.Fatal(err)
	}
}

func (m *manager) await(text string) {
	m.t.Helper()
	for end := time.Now().Add(awaited); !m.log.has(text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("no %q in the log", text)
		}
	}
}

// ready tells what a test of the manager's answers, once something listens.
func (m *manager) ready() string {
	m.t.Helper()
	for end := time.Now().Add(awaited); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", m.listen)
		if err != nil {
			if time.Now().After(end) {
				m.t.Fatal(err)
			}
			continue
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(awaited))
		fmt.Fprint(c, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: 0000000000000000\r\nContent-Length: 0\r\n\r\n")
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			m.t.Fatal(err)
		}
		return strings.Fields(line)[1]
	}
}

func (m *manager) ends() {
	m.t.Helper()
	done := make(chan error, 1)
	go func() { done <- m.cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			m.t.Fatal(err)
		}
	case <-time.After(awaited):
		m.t.Fatal("it does not end")
	}
}

func hello(t *testing.T, hellos chan uint64) {
	t.Helper()
	select {
	case n := <-hellos:
		if n != 1 {
			t.Errorf("asked from %d", n)
		}
	case <-time.After(awaited):
		t.Fatal("the bus is not asked")
	}
}

// SIGHUP takes the configuration anew, twice in a row and with a broken file between; a SIGTERM right after ends it well.
func TestSignals(t *testing.T) {
	first, asked := bus(t)
	m := start(t, first)
	if status := m.ready(); status != "200" {
		t.Fatal(status)
	}
	hello(t, asked)
	if err := os.WriteFile(m.config, []byte(`{"name":"n0","settings":`), 0o600); err != nil {
		t.Fatal(err)
	}
	m.signal(syscall.SIGHUP)
	m.await("the new configuration is not taken")
	if status := m.ready(); status != "200" {
		t.Error("after a broken file", status)
	}
	second, asked := bus(t)
	m.write(second)
	m.signal(syscall.SIGHUP)
	hello(t, asked)
	silent := free(t) // lets connections come up and never answers: the next SIGHUP comes while it is asked
	m.write(silent.Addr().String())
	m.signal(syscall.SIGHUP)
	m.await(silent.Addr().String())
	third, asked := bus(t)
	m.write(third)
	m.signal(syscall.SIGHUP)
	hello(t, asked)
	m.signal(syscall.SIGHUP)
	m.signal(syscall.SIGTERM)
	m.ends()
}

// A SIGTERM that comes before it is ready, or as soon as it is, ends it well too.
func TestStopAtTheStart(t *testing.T) {
	addr, _ := bus(t)
	m := start(t, addr)
	m.await("it serves")
	m.signal(syscall.SIGTERM)
	m.ends()
}

// What makes no sense is told in one line, and it does not start.
func TestBrokenStart(t *testing.T) {
	m := &manager{t: t, log: &log{}, config: filepath.Join(t.TempDir(), "config.json"), listen: "127.0.0.1:1"}
	m.write("nowhere")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+m.config, "GW_LISTEN=127.0.0.1:1")
	cmd.Stdout, cmd.Stderr = m.log, m.log
	err := cmd.Run()
	if cmd.ProcessState.ExitCode() != 1 || !m.log.has("bus: address:port is expected") || strings.Count(m.log.all.String(), "\n") != 1 {
		t.Errorf("%v: %s", err, m.log.all.String())
	}
}
