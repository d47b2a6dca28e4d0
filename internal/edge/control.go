package edge

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"pierlink/internal/front"
	"pierlink/internal/life"
)

// Status is how a process stands, as its control socket tells.
type Status struct {
	Name      string        `json:"name"`
	PID       int           `json:"pid"`
	State     string        `json:"state"`
	For       float64       `json:"for_s"`
	Address   string        `json:"address"`
	Secure    string        `json:"secure,omitempty"`  // the address of the door under TLS
	KeysEnd   time.Time     `json:"keys_end,omitzero"` // when its certificate does
	Unshaken  int64         `json:"handshakes_broken"` // connections that ended before
	Waiting   int           `json:"waiting"`
	Playing   int           `json:"playing"`
	SentOn    int           `json:"sent_on"`
	Orphans   int           `json:"orphans_left"`
	BehindMS  float64       `json:"behind_ms"`
	Starved   int64         `json:"starved"`
	ListAge   float64       `json:"list_age_s"`      // of the registry's view; -1 where the list comes from a file
	Directory float64       `json:"directory_age_s"` // of the directory's view; -1 where there is none
	Entries   int           `json:"directory_entries,omitempty"`
	Figures   front.Figures `json:"figures"`
}

// held is a seat that the process that drains still has taken.
type heldSeat struct {
	Plan  string `json:"plan"`
	Title string `json:"title"`
	Count int    `json:"n"`
}

// word is one line of the control socket, either way.
type message struct {
	Command string     `json:"do,omitempty"` // status, takeover, serving
	Status  *Status    `json:"status,omitempty"`
	Seats   []heldSeat `json:"seats,omitempty"`
	Error   string     `json:"error,omitempty"`
}

const (
	controlTimeout     = 3 * time.Second        // with the other side of a control socket
	seatReportInterval = 100 * time.Millisecond // how often the one that drains tells the seats that it still has taken
)

// Control is a process's socket in the file system: it tells how the process stands, and hands its listener to
// a process that takes its place.
type Control struct {
	listener *net.UnixListener
	loop     *Loop
	front    *front.Front
	status   func() Status
}

// NewControl takes the path over: what another process had there stays its own until it ends.
func NewControl(path string, loop *Loop, f *front.Front, tell func() Status) (*Control, error) {
	next := path + "." + strconv.Itoa(os.Getpid())
	_ = os.Remove(next)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: next, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(next, 0o600), os.Rename(next, path)); err != nil {
		_ = ln.Close()
		return nil, err
	}
	c := &Control{listener: ln, loop: loop, front: f, status: tell}
	go c.run()
	return c, nil
}

// Close ends it.
func (c *Control) Close() { _ = c.listener.Close() }

func (c *Control) run() {
	for {
		x, err := c.listener.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go c.serve(x)
	}
}

func (c *Control) serve(x *net.UnixConn) {
	defer x.Close()
	in := bufio.NewScanner(x)
	say := func(w message) error {
		_ = x.SetWriteDeadline(time.Now().Add(controlTimeout))
		b, err := json.Marshal(w)
		if err == nil {
			_, err = x.Write(append(b, '\n'))
		}
		return err
	}
	ask := func() (w message) {
		_ = x.SetReadDeadline(time.Now().Add(controlTimeout))
		if in.Scan() {
			_ = json.Unmarshal(in.Bytes(), &w)
		}
		return w
	}
	switch w := ask(); w.Command {
	case "status":
		s := c.status()
		_ = say(message{Status: &s})
	case "takeover":
		if err := c.handOver(x, say, ask); err != nil {
			_ = say(message{Error: err.Error()})
		}
	default:
		_ = say(message{Error: "status or takeover is expected"})
	}
}

// hand gives the listener away. Until the other process says that it serves nothing changes here; from then on
// this one drains, and tells which seats it still has taken.
func (c *Control) handOver(x *net.UnixConn, say func(message) error, ask func() message) error {
	state := life.Stopped
	c.loop.Do(func() { state, _ = c.front.Life().State() })
	if state != life.Ready {
		return fmt.Errorf("it is %s: only one that is ready hands over", state)
	}
	all, err := c.loop.Listeners()
	if err != nil {
		return err
	}
	s := c.status()
	b, err := json.Marshal(message{Status: &s, Seats: c.seats()})
	if err == nil {
		fds := make([]int, len(all))
		for i, ln := range all {
			fds[i] = int(ln.Fd())
		}
		_, _, err = x.WriteMsgUnix(append(b, '\n'), syscall.UnixRights(fds...), nil)
	}
	for _, ln := range all {
		_ = ln.Close() // or what comes to it once both accept no more would wait for nobody
	}
	if err != nil {
		return err
	}
	if ask().Command != "serving" {
		return errors.New("the other process did not come to serve")
	}
	c.loop.Post(func() { c.front.Life().TakenOver() })
	for say(message{Seats: c.seats()}) == nil {
		time.Sleep(seatReportInterval)
	}
	return nil
}

func (c *Control) seats() (all []heldSeat) {
	c.loop.Do(func() {
		for s, n := range c.front.Seats() {
			all = append(all, heldSeat{s.Plan, s.Title, n})
		}
	})
	return all
}

// Ask tells how the process at a control socket stands.
func Ask(path string) (*Status, error) {
	x, err := net.DialTimeout("unix", path, controlTimeout)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	_ = x.SetDeadline(time.Now().Add(controlTimeout))
	if _, err := x.Write([]byte("{\"do\":\"status\"}\n")); err != nil {
		return nil, err
	}
	var w message
	if err := json.NewDecoder(x).Decode(&w); err != nil {
		return nil, err
	}
	if w.Status == nil {
		return nil, errors.New(w.Error)
	}
	return w.Status, nil
}

// Handed are listeners taken from a process that still accepts on them too.
type Handover struct {
	conn      *net.UnixConn
	lines     *bufio.Scanner
	Listeners []*net.TCPListener // that without TLS first
	From      Status
	seats     []heldSeat
}

// TakeOver asks the process at a control socket for its listeners.
func TakeOver(path string) (*Handover, error) {
	x, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	fail := func(err error) (*Handover, error) {
		_ = x.Close()
		return nil, fmt.Errorf("take over from %s: %w", path, err)
	}
	_ = x.SetDeadline(time.Now().Add(controlTimeout))
	if _, err := x.Write([]byte("{\"do\":\"takeover\"}\n")); err != nil {
		return fail(err)
	}
	text, rights := make([]byte, 1<<20), make([]byte, 256)
	n, m, _, _, err := x.ReadMsgUnix(text, rights)
	if err != nil {
		return fail(err)
	}
	for n > 0 && text[n-1] != '\n' && n < len(text) {
		k, err := x.Read(text[n:])
		if err != nil {
			return fail(err)
		}
		n += k
	}
	var w message
	if err := json.Unmarshal(text[:n], &w); err != nil {
		return fail(err)
	}
	if w.Status == nil {
		return fail(errors.New(w.Error))
	}
	all, err := syscall.ParseSocketControlMessage(rights[:m])
	if err != nil || len(all) != 1 {
		return fail(errors.Join(errors.New("no listener came"), err))
	}
	fds, err := syscall.ParseUnixRights(&all[0])
	if err != nil || len(fds) == 0 {
		return fail(errors.Join(errors.New("no listener came"), err))
	}
	var doors []*net.TCPListener
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		file := os.NewFile(uintptr(fd), "listener")
		ln, bad := net.FileListener(file)
		_ = file.Close()
		if tcp, ok := ln.(*net.TCPListener); ok {
			doors = append(doors, tcp)
			continue
		}
		err = errors.Join(err, bad, errors.New("not a TCP listener"))
	}
	if err != nil {
		for _, ln := range doors {
			_ = ln.Close()
		}
		return fail(err)
	}
	_ = x.SetDeadline(time.Time{})
	return &Handover{conn: x, lines: bufio.NewScanner(x), Listeners: doors, From: *w.Status, seats: w.Seats}, nil
}

// Serving tells the other process that this one accepts, and follows the seats that it still has taken until
// it has ended. hold is called with each news of them.
func (h *Handover) Serving(hold func(map[life.Seat]int)) error {
	hold(seatCounts(h.seats))
	if _, err := h.conn.Write([]byte("{\"do\":\"serving\"}\n")); err != nil {
		_ = h.conn.Close()
		return err
	}
	h.lines.Buffer(nil, 1<<20)
	go func() {
		defer h.conn.Close()
		for h.lines.Scan() {
			var w message
			if json.Unmarshal(h.lines.Bytes(), &w) == nil {
				hold(seatCounts(w.Seats))
			}
		}
		hold(nil)
	}()
	return nil
}

func seatCounts(all []heldSeat) map[life.Seat]int {
	m := map[life.Seat]int{}
	for _, s := range all {
		m[life.Seat{Plan: s.Plan, Title: s.Title}] = s.Count
	}
	return m
}

// Running tells whether a process answers at a control socket; what a dead one left there is removed.
func Running(path string) bool {
	if _, err := Ask(path); err == nil {
		return true
	}
	if x, err := net.DialTimeout("unix", path, controlTimeout); err == nil { // it accepts, and does not answer
		_ = x.Close()
		return true
	}
	_ = os.Remove(filepath.Clean(path))
	return false
}
