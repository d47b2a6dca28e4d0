//go:build review

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

// rtspMessage is a message of the viewers' side.
type rtspMessage struct {
	first string // request or status line
	head  map[string]string
	body  string
}

func (m *rtspMessage) status() int {
	if fields := strings.Fields(m.first); len(fields) > 1 && strings.HasPrefix(m.first, "RTSP/") {
		n, _ := strconv.Atoi(fields[1])
		return n
	}
	return 0
}

func (m *rtspMessage) method() string { return strings.Fields(m.first + " -")[0] }

func readRTSP(r *bufio.Reader) (*rtspMessage, error) {
	msg := &rtspMessage{head: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			if msg.first == "" {
				continue
			}
			break
		}
		if msg.first == "" {
			msg.first = line
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		msg.head[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	if n, _ := strconv.Atoi(msg.head["content-length"]); n > 0 {
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, err
		}
		msg.body = string(body)
	}
	return msg, nil
}

// viewerLink is a connection from viewers to a session manager. It carries many sessions.
type viewerLink struct {
	w    *world
	name string
	conn net.Conn
	mu   sync.Mutex
}

// connectViewer opens a connection from viewers to an address.
func (w *world) connectViewer(name, addr string) (*viewerLink, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	link := &viewerLink{w: w, name: name, conn: conn}
	go link.read()
	return link, nil
}

func (l *viewerLink) send(text string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := io.WriteString(l.conn, text)
	return err
}

func (l *viewerLink) read() {
	r := bufio.NewReader(l.conn)
	for {
		msg, err := readRTSP(r)
		if err != nil {
			l.w.rec.line("%s: connection ended: %v", l.name, err)
			return
		}
		id := msg.head["session"]
		if status := msg.status(); status > 0 {
			l.w.answered(l, id, status, msg)
			continue
		}
		switch msg.method() {
		case "TEARDOWN":
			l.w.rec.line("%s: release of %s, %s", l.name, id, msg.head["reason"])
			_ = l.send(fmt.Sprintf("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id))
			l.w.told(id, msg.head["reason"])
		case "REDIRECT":
			l.w.rec.line("%s: move of %s", l.name, id)
			l.w.told(id, "move")
		}
	}
}

// setup returns a SETUP request. at names the server at which the session plays already; then it wants no answer.
func setup(id, title, class string, within time.Duration, routing, at, desc string) string {
	if at != "" {
		routing += ";at:" + at
	}
	return fmt.Sprintf("SETUP rtsp://media/%s RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nCall-Kind: %s\r\nAnswer-Within: %d\r\nRouting-Data: %s\r\nContent-Length: %d\r\n\r\n%s",
		title, id, class, within.Milliseconds(), routing, len(desc), desc)
}

// options returns a test.
func options(id string) string {
	return fmt.Sprintf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id)
}
