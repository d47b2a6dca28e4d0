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

// Status is the state of a process as its control socket reports it.
type Status struct {
	Name                string      `json:"name"`
	PID                 int         `json:"pid"`
	State               string      `json:"state"`
	StateSeconds        float64     `json:"for_s"` // in seconds, in this state
	Address             string      `json:"address"`
	Secure              string      `json:"secure,omitempty"`  // address of the TLS listener
	CertificateExpires  time.Time   `json:"keys_end,omitzero"` // when the certificate expires
	BrokenHandshakes    int64       `json:"handshakes_broken"` // TLS connections that ended before the handshake was done
	Waiting             int         `json:"waiting"`
	Playing             int         `json:"playing"`
	Redirected          int         `json:"sent_on"`         // of those playing
	Orphans             int         `json:"orphans_left"`    // not torn down yet
	LagMS               float64     `json:"behind_ms"`       // highest processing lag within the current window, in milliseconds
	DescriptorRejects   int64       `json:"starved"`         // connections closed for lack of file descriptors
	RegistryAgeSeconds  float64     `json:"list_age_s"`      // age of the registry view; -1 where the server list comes from a file
	DirectoryAgeSeconds float64     `json:"directory_age_s"` // age of the directory view; -1 where there is none
	DirectoryEntries    int         `json:"directory_entries,omitempty"`
	Figures             front.Stats `json:"figures"`
}

// heldSeat is the number of seats of a title that the draining process still holds.
type heldSeat struct {
	Plan  string `json:"plan"`
	Title string `json:"title"`
	Count int    `json:"n"`
}

// message is one line on the control socket, in either direction.
type message struct {
	Command string     `json:"do,omitempty"` // status, takeover, serving
	Status  *Status    `json:"status,omitempty"`
	Seats   []heldSeat `json:"seats,omitempty"`
	Error   string     `json:"error,omitempty"`
}

const (
	controlTimeout     = 3 * time.Second        // for each read or write on a control socket
	seatReportInterval = 100 * time.Millisecond // how often the draining process reports the seats that it still holds
)

// Control is the control socket of a process, a Unix socket in the file system. It reports the status of the process
// and hands its listeners over to a process that takes its place.
type Control struct {
	listener *net.UnixListener
	loop     *Loop
	front    *front.Front
	status   func() Status
}

// NewControl listens at the path and replaces a socket that is there. The process that owns that one goes on serving
// the connections that it has.
func NewControl(path string, loop *Loop, frontCore *front.Front, status func() Status) (*Control, error) {
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
	c := &Control{listener: ln, loop: loop, front: frontCore, status: status}
	go c.run()
	return c, nil
}

// Close stops listening on the control socket.
func (c *Control) Close() { _ = c.listener.Close() }

func (c *Control) run() {
	for {
		conn, err := c.listener.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go c.serve(conn)
	}
}

func (c *Control) serve(conn *net.UnixConn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	send := func(m message) error {
		_ = conn.SetWriteDeadline(time.Now().Add(controlTimeout))
		b, err := json.Marshal(m)
		if err == nil {
			_, err = conn.Write(append(b, '\n'))
		}
		return err
	}
	receive := func() (m message) {
		_ = conn.SetReadDeadline(time.Now().Add(controlTimeout))
		if lines.Scan() {
			_ = json.Unmarshal(lines.Bytes(), &m)
		}
		return m
	}
	switch m := receive(); m.Command {
	case "status":
		status := c.status()
		_ = send(message{Status: &status})
	case "takeover":
		if err := c.handOver(conn, send, receive); err != nil {
			_ = send(message{Error: err.Error()})
		}
	default:
		_ = send(message{Error: "unknown command: expected status or takeover"})
	}
}

// handOver sends the listeners to another process. Nothing changes here until the other process confirms that it serves;
// from then on this process drains, and reports the seats that it still holds.
func (c *Control) handOver(conn *net.UnixConn, send func(message) error, receive func() message) error {
	state := life.Stopped
	c.loop.Do(func() { state, _ = c.front.Lifecycle().State() })
	if state != life.Ready {
		return fmt.Errorf("process is %s: only a ready process can hand over", state)
	}
	files, err := c.loop.Listeners()
	if err != nil {
		return err
	}
	status := c.status()
	line, err := json.Marshal(message{Status: &status, Seats: c.seats()})
	if err == nil {
		fds := make([]int, len(files))
		for i, file := range files {
			fds[i] = int(file.Fd())
		}
		_, _, err = conn.WriteMsgUnix(append(line, '\n'), syscall.UnixRights(fds...), nil)
	}
	for _, file := range files {
		_ = file.Close() // otherwise connections that arrive once neither process accepts would stay open unanswered
	}
	if err != nil {
		return err
	}
	if receive().Command != "serving" {
		return errors.New("the other process did not confirm that it serves")
	}
	c.loop.Post(func() { c.front.Lifecycle().TakenOver() })
	for send(message{Seats: c.seats()}) == nil {
		time.Sleep(seatReportInterval)
	}
	return nil
}

func (c *Control) seats() (held []heldSeat) {
	c.loop.Do(func() {
		for s, n := range c.front.SeatsInUse() {
			held = append(held, heldSeat{s.Plan, s.Title, n})
		}
	})
	return held
}

// QueryStatus returns the status of the process at a control socket.
func QueryStatus(path string) (*Status, error) {
	conn, err := net.DialTimeout("unix", path, controlTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(controlTimeout))
	if _, err := conn.Write([]byte("{\"do\":\"status\"}\n")); err != nil {
		return nil, err
	}
	var reply message
	if err := json.NewDecoder(conn).Decode(&reply); err != nil {
		return nil, err
	}
	if reply.Status == nil {
		return nil, errors.New(reply.Error)
	}
	return reply.Status, nil
}

// Handover is the result of a takeover: listeners of a process that still accepts on them as well.
type Handover struct {
	conn       *net.UnixConn
	lines      *bufio.Scanner
	Listeners  []*net.TCPListener // the one without TLS first
	PeerStatus Status             // of the process that hands over
	seats      []heldSeat
}

// TakeOver requests the listeners of the process at a control socket.
func TakeOver(path string) (*Handover, error) {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	fail := func(err error) (*Handover, error) {
		_ = conn.Close()
		return nil, fmt.Errorf("take over from %s: %w", path, err)
	}
	_ = conn.SetDeadline(time.Now().Add(controlTimeout))
	if _, err := conn.Write([]byte("{\"do\":\"takeover\"}\n")); err != nil {
		return fail(err)
	}
	text, rights := make([]byte, 1<<20), make([]byte, 256)
	n, rightsLen, _, _, err := conn.ReadMsgUnix(text, rights)
	if err != nil {
		return fail(err)
	}
	for n > 0 && text[n-1] != '\n' && n < len(text) {
		read, err := conn.Read(text[n:])
		if err != nil {
			return fail(err)
		}
		n += read
	}
	var reply message
	if err := json.Unmarshal(text[:n], &reply); err != nil {
		return fail(err)
	}
	if reply.Status == nil {
		return fail(errors.New(reply.Error))
	}
	messages, err := syscall.ParseSocketControlMessage(rights[:rightsLen])
	if err != nil || len(messages) != 1 {
		return fail(errors.Join(errors.New("no listener received"), err))
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) == 0 {
		return fail(errors.Join(errors.New("no listener received"), err))
	}
	var listeners []*net.TCPListener
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		file := os.NewFile(uintptr(fd), "listener")
		ln, listenErr := net.FileListener(file)
		_ = file.Close()
		if tcp, ok := ln.(*net.TCPListener); ok {
			listeners = append(listeners, tcp)
			continue
		}
		err = errors.Join(err, listenErr, errors.New("not a TCP listener"))
	}
	if err != nil {
		for _, ln := range listeners {
			_ = ln.Close()
		}
		return fail(err)
	}
	_ = conn.SetDeadline(time.Time{})
	return &Handover{conn: conn, lines: bufio.NewScanner(conn), Listeners: listeners, PeerStatus: *reply.Status, seats: reply.Seats}, nil
}

// ConfirmServing confirms to the other process that this one accepts connections. Until the other process has ended,
// setHeldSeats is called with each report of the seats that it still holds, and at its end with nil.
func (h *Handover) ConfirmServing(setHeldSeats func(map[life.Seat]int)) error {
	setHeldSeats(seatCounts(h.seats))
	if _, err := h.conn.Write([]byte("{\"do\":\"serving\"}\n")); err != nil {
		_ = h.conn.Close()
		return err
	}
	h.lines.Buffer(nil, 1<<20)
	go func() {
		defer h.conn.Close()
		for h.lines.Scan() {
			var m message
			if json.Unmarshal(h.lines.Bytes(), &m) == nil {
				setHeldSeats(seatCounts(m.Seats))
			}
		}
		setHeldSeats(nil)
	}()
	return nil
}

func seatCounts(held []heldSeat) map[life.Seat]int {
	counts := map[life.Seat]int{}
	for _, s := range held {
		counts[life.Seat{Plan: s.Plan, Title: s.Title}] = s.Count
	}
	return counts
}

// Running reports whether a process listens on a control socket. A socket left by a process that died is removed.
func Running(path string) bool {
	if _, err := QueryStatus(path); err == nil {
		return true
	}
	if conn, err := net.DialTimeout("unix", path, controlTimeout); err == nil { // it accepts, but does not answer
		_ = conn.Close()
		return true
	}
	_ = os.Remove(filepath.Clean(path))
	return false
}
