package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// manager is a session manager: a process started by the deploy file's `run`.
type manager struct {
	name, listen, folder string
	cmd                  *exec.Cmd
	exited               chan struct{}
}

// freeAddr returns a loopback address that was free a moment ago, below the ports that connections get.
func freeAddr() string {
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err == nil {
			defer ln.Close()
			return ln.Addr().String()
		}
	}
	cannotRun("no free port")
	return ""
}

// runLine reads `run` from the deploy file.
func runLine(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		cannotRun("%v", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.TrimSuffix(value, `"`)
		}
	}
	cannotRun("no run line in the deploy file")
	return ""
}

// startManager starts session manager number i of the world with the servers and the bus that are its own.
func (w *world) startManager(i int) *manager {
	m := &manager{name: fmt.Sprintf("n%d", i), listen: freeAddr(), exited: make(chan struct{})}
	m.folder = filepath.Join(w.temp, m.name)
	if err := os.MkdirAll(filepath.Join(m.folder, "tmp"), 0o755); err != nil {
		cannotRun("%v", err)
	}
	settings := map[string]any{}
	for key, value := range w.site.settings {
		settings[key] = value
	}
	settings["slotNo"], settings["locality"], settings["balancers"] = i, i%len(w.site.zones), w.managerCount
	if w.site.localities != nil {
		settings["locality"] = w.site.localities[i]
	}
	config := map[string]any{"name": m.name, "listen": m.listen, "seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(i)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384}, "bus": w.buses[i].addr(), "known": w.buses[i].known(), "settings": settings}
	text, err := json.Marshal(config)
	if err != nil {
		cannotRun("%v", err)
	}
	path := filepath.Join(m.folder, "config.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		cannotRun("%v", err)
	}
	logs, err := os.Create(filepath.Join(m.folder, "log.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	m.cmd = exec.Command("/bin/sh", "-c", w.run)
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = w.root, logs, logs
	m.cmd.Env = append(os.Environ(), "GW_NAME="+m.name, "GW_LISTEN="+m.listen, "GW_CONFIG="+path, "TMPDIR="+filepath.Join(m.folder, "tmp"))
	if err := m.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	atExit = append(atExit, func() { _ = m.cmd.Process.Signal(syscall.SIGCONT); _ = m.cmd.Process.Kill(); <-m.exited })
	go func() { _ = m.cmd.Wait(); close(m.exited) }()
	w.rec.log("started %s: %q at %s, process %d", m.name, w.run, m.listen, m.cmd.Process.Pid)
	return m
}

func (m *manager) signal(w *world, signal syscall.Signal) {
	w.rec.log("signal to %s: %v", m.name, signal)
	_ = m.cmd.Process.Signal(signal)
}

func (m *manager) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}
