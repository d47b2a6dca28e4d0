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
	within int // descriptors
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
	full := strings.NewReplacer("MEMORY", "64", "SOCKETS", strconv.Itoa(m.within), "PROBES", "false", "EFFECT", "read_like", "IDLE", "15", "TENANTS", "[]",
		"127.0.0.1:1", m.listen, "10.2.0.1:8500", bus, "10.1.0.", "127.0.0.", `"giveUp":4`, `"giveUp":0.3`).Replace(string(text))
	if err := os.WriteFile(m.config, []byte(full), 0o600); err != nil {
		m.t.Fatal(err)
	}
}

func start(t *testing.T, bus string) *manager {
	t.Helper()
	return startWithin(t, bus, 256)
}

// startWithin starts one that gets so many descriptors from the system, and is told so.
func startWithin(t *testing.T, bus string, descriptors int) *manager {
	t.Helper()
	ln := free(t)
	m := &manager{t: t, log: &log{}, config: filepath.Join(t.TempDir(), "config.json"), listen: ln.Addr().String(), within: descriptors}
	_ = ln.Close()
	m.write(bus)
	m.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors), os.Args[0])
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
	m := &manager{t: t, log: &log{}, config: filepath.Join(t.TempDir(), "config.json"), listen: "127.0.0.1:1", within: 256}
	m.write("nowhere")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+m.config, "GW_LISTEN=127.0.0.1:1")
	cmd.Stdout, cmd.Stderr = m.log, m.log
	err := cmd.Run()
	if cmd.ProcessState.ExitCode() != 1 || !m.log.has("bus: address:port is expected") || strings.Count(m.log.all.String(), "\n") != 1 {
		t.Errorf("%v: %s", err, m.log.all.String())
	}
}

// While clients that say nothing take all connections that they can get and sessions stand at more servers than may be
// kept connected, the descriptors suffice, and the bus is found again when it breaks off.
func TestTheBusIsFoundWhileAllElseIsFull(t *testing.T) {
	const (
		within  = 64 // the least
		servers = 20 // more than a quarter of them
		others  = 80 // and more idle clients than all
	)
	bus, boxes := free(t), free(t)
	m := startWithin(t, bus.Addr().String(), within)
	if status := m.ready(); status != "200" {
		t.Fatal(status)
	}
	accepted := func() net.Conn {
		t.Helper()
		_ = bus.(*net.TCPListener).SetDeadline(time.Now().Add(awaited))
		c, err := bus.Accept()
		if err != nil {
			t.Fatal("the bus is not found:", err)
		}
		_ = c.SetDeadline(time.Now().Add(awaited))
		var hello [8]byte
		if _, err := io.ReadFull(c, hello[:]); err != nil {
			t.Fatal(err)
		}
		return c
	}
	c := accepted()
	event := binary.BigEndian.AppendUint32(nil, 9+27*servers)
	event = append(binary.BigEndian.AppendUint64(event, 2), 2)
	for i := range servers {
		event = append(binary.BigEndian.AppendUint32(event, uint32(100+i)), 127, 0, 0, 1)
		event = binary.BigEndian.AppendUint16(event, uint16(boxes.Addr().(*net.TCPAddr).Port))
		event = append(event, 0, 0, 0, 0, 0, 0, 0, 3, 0xe8)
		event = binary.BigEndian.AppendUint64(event, 0)
	}
	if _, err := c.Write(event); err != nil {
		t.Fatal(err)
	}
	var up, tried atomic.Int64
	go func() {
		for {
			c, err := boxes.Accept()
			if err != nil {
				return
			}
			up.Add(1)
			go func() { _, _ = io.Copy(io.Discard, c); up.Add(-1) }()
		}
	}()
	await := func(what string, is func() bool) {
		t.Helper()
		for end := time.Now().Add(awaited); !is(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	viewer, err := net.Dial("tcp", m.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer viewer.Close()
	for i := range servers {
		fmt.Fprintf(viewer, "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: %016x\r\nCall-Kind: live\r\n"+
			"Routing-Data: home:0;copies:2;top:1;viewer:00000000b4d65521;at:s-%08x\r\nContent-Length: 3\r\n\r\nsdp", i+1, 100+i)
	}
	await("no connections to servers", func() bool { return up.Load() >= within/4 })
	over := make(chan struct{})
	var idle sync.WaitGroup
	defer idle.Wait()
	defer close(over)
	for range others {
		idle.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
				}
				tried.Add(1)
				if c, err := net.Dial("tcp", m.listen); err == nil {
					_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
					_, _ = c.Read(make([]byte, 1))
					_ = c.Close()
				}
			}
		})
	}
	most := 0
	await("few idle clients were sent away", func() bool {
		held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, len(held))
		return tried.Load() > 5*others
	})
	t.Log(most, "descriptors at most")
	if most >= within {
		t.Errorf("%d of %d descriptors were held", most, within)
	}
	_ = c.Close()
	_ = accepted().Close()
}
