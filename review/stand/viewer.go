package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// front is the viewers' side of one session manager: connections on which sessions are set up and released.
type front struct {
	w     *world
	m     *manager
	mu    sync.Mutex
	conns []*viewerConn
	asked map[string]*request
	order []*request
}

// request is a set-up and what became of it.
type request struct {
	id, plan string
	sentAt   time.Time
	within   time.Duration
	conn     *viewerConn
	answers  []answer
	released []time.Time
	givenUp  bool
}

type answer struct {
	at     time.Time
	status int
	body   string
}

type viewerConn struct {
	f     *front
	conn  net.Conn
	name  string
	open  bool
	tests int
}

func (w *world) newFront(m *manager) *front {
	return &front{w: w, m: m, asked: map[string]*request{}}
}

// connect opens a connection to the session manager.
func (f *front) connect() *viewerConn {
	conn, err := net.Dial("tcp", f.m.listen)
	if err != nil {
		return nil
	}
	c := &viewerConn{f: f, conn: conn, name: conn.LocalAddr().String(), open: true}
	f.mu.Lock()
	f.conns = append(f.conns, c)
	f.mu.Unlock()
	f.w.rec.log("viewers connected %s to %s", c.name, f.m.name)
	go c.read()
	return c
}

func (c *viewerConn) write(text string) bool {
	_, err := c.conn.Write([]byte(text))
	return err == nil
}

// test sends an OPTIONS request.
func (c *viewerConn) test() {
	c.write("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: " + newID() + "\r\nContent-Length: 0\r\n\r\n")
}

// ask sends a set-up. home and copies tell the cells that hold the title.
func (c *viewerConn) ask(plan int, title string, home, copies, top int, within time.Duration) *request {
	f := c.f
	r := &request{id: newID(), plan: f.w.site.plans[plan], sentAt: time.Now(), within: within, conn: c}
	f.mu.Lock()
	f.asked[r.id] = r
	f.order = append(f.order, r)
	f.mu.Unlock()
	f.w.rec.log("viewer on %s to %s: SETUP %s %s title %s home %d copies %d top %d within %v", c.name, f.m.name, r.id, r.plan, title, home, copies, top, within)
	c.write(setupText(r.id, r.plan, f.w.site.tenant, title, within, fmt.Sprintf("home:%d;copies:%d;top:%d;viewer:%s", home, copies, top, newID())))
	return r
}

func setupText(id, plan, tenant, title string, within time.Duration, routing string) string {
	body := "v=0\r\nviewer of " + id + "\r\n"
	head := "SETUP rtsp://media/" + title + " RTSP/1.0\r\nCSeq: 1\r\nSession: " + id + "\r\nCall-Kind: " + plan + "\r\nAnswer-Within: " + strconv.FormatInt(within.Milliseconds(), 10) +
		"\r\nRouting-Data: " + routing + "\r\n"
	if tenant != "" {
		head += "Charged-Party: " + tenant + "\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// read handles what the session manager sends on a connection.
func (c *viewerConn) read() {
	f, reader := c.f, bufio.NewReader(c.conn)
	for {
		first, fields, body, err := readMessage(reader)
		if err != nil {
			break
		}
		id := fields["session"]
		f.mu.Lock()
		r := f.asked[id]
		switch {
		case strings.HasPrefix(first, "RTSP/1.0 "):
			status, _ := strconv.Atoi(strings.Fields(first)[1])
			if fields["cseq"] == "3" {
				c.tests++
				break
			}
			f.w.rec.log("viewer on %s from %s: %s session %s come back %s body %q", c.name, f.m.name, first, id, fields["come-back-ms"], oneLine(body))
			if r != nil && fields["cseq"] == "1" {
				r.answers = append(r.answers, answer{time.Now(), status, body})
			}
		case strings.HasPrefix(first, "TEARDOWN "):
			f.w.rec.log("viewer on %s from %s: TEARDOWN session %s %s", c.name, f.m.name, id, fields["reason"])
			if r != nil {
				r.released = append(r.released, time.Now())
			}
			c.write("RTSP/1.0 200 OK\r\nCSeq: " + fields["cseq"] + "\r\nSession: " + id + "\r\nContent-Length: 0\r\n\r\n")
		default:
			f.w.rec.log("viewer on %s from %s: %s session %s", c.name, f.m.name, first, id)
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	c.open = false
	f.mu.Unlock()
	f.w.rec.log("viewers' connection %s to %s ended", c.name, f.m.name)
	_ = c.conn.Close()
}

func readMessage(reader *bufio.Reader) (first string, fields map[string]string, body string, err error) {
	fields = map[string]string{}
	for {
		text, err := reader.ReadString('\n')
		if err != nil {
			return "", nil, "", err
		}
		text = strings.TrimRight(text, "\r\n")
		switch {
		case text == "" && first == "":
		case text == "":
			length, _ := strconv.Atoi(fields["content-length"])
			content := make([]byte, length)
			_, err := io.ReadFull(reader, content)
			return first, fields, string(content), err
		case first == "":
			first = text
		default:
			name, value, _ := strings.Cut(text, ":")
			fields[strings.ToLower(name)] = strings.TrimSpace(value)
		}
	}
}

// status returns the status of the request's only answer, 0 without one.
func (r *request) status() int {
	r.conn.f.mu.Lock()
	defer r.conn.f.mu.Unlock()
	if len(r.answers) == 0 {
		return 0
	}
	return r.answers[0].status
}

// releasedAt returns when the viewer was first told that its session is over.
func (r *request) releasedAt() (time.Time, bool) {
	r.conn.f.mu.Lock()
	defer r.conn.f.mu.Unlock()
	if len(r.released) == 0 {
		return time.Time{}, false
	}
	return r.released[0], true
}
