// Package player is a crowd of stand-in players without their sockets. Each one connects to a session
// manager, asks for a title, plays it for as long as its viewer wants, and counts what it gets: answers for
// each request, time to the first packet, packets by sequence number and gaps. It comes again when told to.
package player

import (
	"strconv"
	"strings"

	"github.com/pion/rtp"

	"pierlink/internal/core"
	"pierlink/internal/rtsp"
)

// Time is a clock value or span in microseconds.
type Time = core.Time

// Want is what one viewer wants.
type Want struct {
	ID       string // of the first request; further ones get a suffix
	Fronts   []string
	Plan     string
	Title    string
	Tenant   string
	Top      int
	Tracks   int
	Watch    Time   // how long it plays
	Abandon  Time   // gives up an answer after so long
	Returns  int    // comes again so often, after a refusal, a failure or a loss
	Break    Time   // before it does, where no time is told
	Ask      bool   // DESCRIBE first
	Repeat   bool   // tells its SETUPs twice, as over a bad link
	Leaves   Time   // closes in the middle of a set-up after so long; 0 for never
	KeepsTo  bool   // comes again exactly when told; otherwise after Break
	Early    bool   // comes again at half of the time told
	Address  string // where its connection comes from, where the network lets it choose
	Secure   bool   // connects under TLS
	Account  string // shown when the door asks, with the password
	Password string
	Basic    bool // the password itself is shown
}

// State is how far one asking has come.
type State int

// The states. The last four are final.
const (
	Connecting State = iota
	Requested
	Ready
	Playing
	Refused   // 453, 503
	Failed    // another status, or a connection lost before the answer
	Abandoned // no answer by the abandon time
	Lost      // the connection or the stream ended while it played
	Done
	Moved // told to go to another session manager before it played
)

// Seen is what one asking got.
type Seen struct {
	ID                         string
	State                      State
	Began, Answered            Time
	FirstPacket                Time // span from asking, 0 for none
	Status                     int
	RetryAfter                 Time   // 0 where none is told
	Token                      string // to bring back
	Brought                    bool   // this asking brought one, at the time told
	Attempt                    int
	Packets, Gaps              int
	Bytes                      int64
	Answers, Unasked           int // answers got; those that nothing asked for
	Requests                   int
	LongestSilence, lastPacket Time
	Front                      string // the address asked
	SentOn                     bool   // came from another session manager, which sent it on
	Reached                    bool   // the connection came to be
	Ended                      Time
	Told                       bool // while it played, to go elsewhere
}

// Crowd is players that share a clock and a network. It is a core.Core.
type Crowd struct {
	net     core.Net
	now     Time
	timers  core.Timers
	open    int
	waiting int                // come again later
	Began   int                // askings
	Bytes   int64              // of RTP, all together
	Plays   int                // now: got their first packet
	Report  func(*Want, *Seen) // called once for each asking, when it has ended
}

// New makes a crowd.
func New(net core.Net, now Time) *Crowd { return &Crowd{net: net, now: now} }

type playAttempt struct {
	profile        *Want
	number         int
	conn           *core.Conn
	parser         rtsp.Parser
	result         Seen
	cseq           int
	pending        map[int]string // requests that wait for their answer
	setupsDone     int
	sessionID      string
	sessionTimeout Time
	lastSeq        map[byte]uint16
	ended          bool
	token          string
	timer          *core.Timer
	keepaliveTimer *core.Timer
	out            []byte
	playStart      Time         // to play
	front          string       // the session manager's address
	previous       *playAttempt // plays at the session manager that sent it on, until this one does
	next           *playAttempt // the other way round
	redirects      int
	challenge      string // what the door wants to see
	authAttempts   int    // shown
}

const maxRedirects = 4 // of one viewer, one after the other

// At begins a turn.
func (g *Crowd) At(now Time) {
	g.now = now
	g.timers.Run(now)
}

// Settle ends a turn.
func (g *Crowd) Settle() Time { return g.timers.Next() }

// Accepted is for cores that listen; a player does not.
func (g *Crowd) Accepted(c *core.Conn, _ string) { g.net.Close(c) }

// Drained has nothing wait here.
func (g *Crowd) Drained(*core.Conn) {}

// Open is how many askings go on.
func (g *Crowd) Open() int { return g.open }

// Resting is how many of them wait to come again.
func (g *Crowd) Resting() int { return g.waiting }

// Start has a viewer ask.
func (g *Crowd) Start(profile *Want) { g.startAttempt(profile, 0, "") }

func (g *Crowd) startAttempt(profile *Want, number int, token string) {
	g.startAttemptAt(profile, number, token, profile.Fronts[number%len(profile.Fronts)], 0)
}

func (g *Crowd) startAttemptAt(profile *Want, number int, token, front string, redirects int) *playAttempt {
	attempt := &playAttempt{profile: profile, number: number, pending: map[int]string{}, lastSeq: map[byte]uint16{},
		parser: rtsp.Parser{Bounds: rtsp.Usual}, conn: &core.Conn{Secure: profile.Secure}}
	attempt.result = Seen{ID: profile.ID, Began: g.now, Attempt: number, Brought: token != "" && !profile.Early}
	attempt.token, attempt.conn.From, attempt.front, attempt.redirects = token, profile.Address, front, redirects
	attempt.result.Front, attempt.result.SentOn = front, redirects > 0
	if number > 0 {
		attempt.result.ID += "." + strconv.Itoa(number)
	}
	if redirects > 0 {
		attempt.result.ID += "-" + strconv.Itoa(redirects)
	}
	attempt.conn.Owner = attempt
	g.open++
	g.Began++
	g.net.Dial(attempt.conn, front)
	attempt.timer = g.timers.Set(nil, g.now+profile.Abandon, func() { g.end(attempt, Abandoned) })
	return attempt
}

// Dialed goes on once the connection is there.
func (g *Crowd) Dialed(conn *core.Conn, err error) {
	attempt := conn.Owner.(*playAttempt)
	if attempt.ended {
		return
	}
	if err != nil {
		g.end(attempt, Failed)
		return
	}
	attempt.result.Reached = true
	if attempt.profile.Ask {
		g.send(attempt, rtsp.Request(rtsp.Describe, attempt.uri(-1), 0).With("Accept", "application/sdp"))
		g.flush(attempt)
		return
	}
	g.sendSetups(attempt)
}

func (a *playAttempt) scheme() string {
	if a.profile.Secure {
		return "rtsps://"
	}
	return "rtsp://"
}

func (a *playAttempt) uri(track int) string {
	uri := a.scheme() + a.front + "/" + a.profile.Plan + "/" + a.profile.Title
	if track >= 0 {
		uri += "/track" + strconv.Itoa(track)
	}
	uri += "?top=" + strconv.Itoa(a.profile.Top)
	if a.profile.Tenant != "" {
		uri += "&tenant=" + a.profile.Tenant
	}
	return uri
}

// setups sends a SETUP for each track in one go.
func (g *Crowd) sendSetups(attempt *playAttempt) {
	attempt.result.State, attempt.result.Began = Requested, g.now
	g.timers.Set(attempt.timer, g.now+attempt.profile.Abandon, func() { g.end(attempt, Abandoned) })
	for i := range attempt.profile.Tracks {
		transport := rtsp.Transport{Profile: "RTP/AVP/TCP", Interleaved: true, RTP: byte(2 * i), RTCP: byte(2*i + 1)}
		request := rtsp.Request(rtsp.Setup, attempt.uri(i), 0).With("Transport", transport.String()).With("Request-Id", attempt.result.ID).With("Come-Again", attempt.token).
			With("Authorization", attempt.authorization(rtsp.Setup, attempt.uri(i)))
		g.send(attempt, request)
	}
	if attempt.profile.Repeat {
		attempt.out = append(attempt.out, attempt.out...) // the same bytes, the same CSeqs
	}
	g.flush(attempt)
	if attempt.profile.Leaves > 0 {
		g.timers.Set(nil, g.now+attempt.profile.Leaves, func() {
			if attempt.result.State == Requested {
				g.end(attempt, Abandoned)
			}
		})
	}
}

func (g *Crowd) send(attempt *playAttempt, request *rtsp.Message) {
	attempt.cseq++
	request.CSeq = attempt.cseq
	attempt.pending[request.CSeq] = request.Method
	attempt.result.Requests++
	attempt.out = request.With("User-Agent", "standin-player").Append(attempt.out)
}

func (g *Crowd) flush(attempt *playAttempt) {
	if len(attempt.out) > 0 && !attempt.ended {
		g.net.Send(attempt.conn, attempt.out)
		attempt.out = attempt.out[:0]
	}
}

// Received takes bytes of the session manager.
func (g *Crowd) Received(conn *core.Conn, data []byte) {
	attempt := conn.Owner.(*playAttempt)
	if attempt.ended {
		return
	}
	if err := attempt.parser.Feed(data, &parserHandler{g, attempt}); err != nil && !attempt.ended {
		g.end(attempt, Failed)
	}
}

// Closed takes the end of the connection.
func (g *Crowd) Closed(conn *core.Conn, _ error) {
	attempt := conn.Owner.(*playAttempt)
	if attempt.ended {
		return
	}
	if attempt.result.State == Playing || attempt.result.State == Ready {
		g.end(attempt, Lost)
	} else {
		g.end(attempt, Failed)
	}
}

type parserHandler struct {
	group   *Crowd
	attempt *playAttempt
}

func (handler *parserHandler) Bad(*rtsp.Malformed) { handler.attempt.result.Unasked++ }

func (handler *parserHandler) Frame(channel byte, payload []byte) {
	g, attempt := handler.group, handler.attempt
	if channel&1 == 1 {
		if len(payload) > 1 && payload[1] == 203 {
			g.end(attempt, Lost)
		}
		return
	}
	var header rtp.Header
	if _, err := header.Unmarshal(payload); err != nil {
		attempt.result.Unasked++
		return
	}
	if attempt.result.FirstPacket == 0 {
		attempt.result.FirstPacket = max(g.now-attempt.result.Began, 1)
		g.Plays++
		if previous := attempt.previous; previous != nil { // it plays here now
			attempt.previous, previous.next = nil, nil
			if !previous.ended {
				g.teardown(previous)
			}
		}
	} else {
		attempt.result.LongestSilence = max(attempt.result.LongestSilence, g.now-attempt.result.lastPacket)
	}
	attempt.result.lastPacket = g.now
	if last, ok := attempt.lastSeq[channel]; ok && header.SequenceNumber != last+1 {
		attempt.result.Gaps++
	}
	attempt.lastSeq[channel] = header.SequenceNumber
	attempt.result.Packets++
	attempt.result.Bytes += int64(len(payload))
	g.Bytes += int64(len(payload))
}

func (handler *parserHandler) Message(message *rtsp.Message) {
	g, attempt := handler.group, handler.attempt
	if message.IsRequest() {
		if message.Method == rtsp.Redirect {
			g.redirect(attempt, message)
		}
		return
	}
	method, ok := attempt.pending[message.CSeq]
	if !ok {
		attempt.result.Unasked++
		return
	}
	delete(attempt.pending, message.CSeq)
	attempt.result.Answers++
	switch method {
	case rtsp.Describe:
		if message.Status == rtsp.StatusOK {
			g.sendSetups(attempt)
			return
		}
		g.rejected(attempt, message)
	case rtsp.Setup:
		if message.Status != rtsp.StatusOK {
			g.rejected(attempt, message)
			return
		}
		id, timeout := rtsp.SessionID(message.Get("Session"))
		attempt.sessionID, attempt.sessionTimeout = id, Time(timeout)*core.Second
		if attempt.setupsDone++; attempt.setupsDone < attempt.profile.Tracks {
			return
		}
		attempt.result.State, attempt.result.Answered = Ready, g.now
		g.send(attempt, rtsp.Request(rtsp.Play, attempt.uri(-1), 0).With("Session", attempt.sessionID).With("Range", "npt=0-"))
		g.flush(attempt)
		attempt.playStart = g.now
		g.timers.Set(attempt.timer, g.now+attempt.profile.Watch, func() { g.teardown(attempt) })
		g.keepAlive(attempt)
	case rtsp.Play:
		if message.Status == rtsp.StatusOK {
			attempt.result.State = Playing
		}
	case rtsp.Teardown:
		g.end(attempt, Done)
	}
}

// keepAlive has the session last (RFC 2326 section 10.8).
func (g *Crowd) keepAlive(attempt *playAttempt) {
	attempt.keepaliveTimer = g.timers.Set(attempt.keepaliveTimer, g.now+attempt.sessionTimeout/3, func() {
		g.send(attempt, rtsp.Request(rtsp.GetParameter, attempt.uri(-1), 0).With("Session", attempt.sessionID))
		g.flush(attempt)
		g.keepAlive(attempt)
	})
}

func (g *Crowd) teardown(attempt *playAttempt) {
	g.send(attempt, rtsp.Request(rtsp.Teardown, attempt.uri(-1), 0).With("Session", attempt.sessionID))
	g.flush(attempt)
	g.timers.Set(attempt.timer, g.now+attempt.profile.Abandon, func() { g.end(attempt, Done) })
}

// host is the address in an RTSP URL.
func host(url string) string {
	_, rest, _ := strings.Cut(url, "://")
	h, _, _ := strings.Cut(rest, "/")
	return h
}

// sentOn has a viewer go on at another session manager (RFC 2326 section 10.10): it sets up there first, and
// ends the session here once it plays there.
func (g *Crowd) redirect(attempt *playAttempt, request *rtsp.Message) {
	attempt.out = rtsp.Answer(rtsp.StatusOK, request.CSeq).With("Session", attempt.sessionID).Append(attempt.out)
	g.flush(attempt)
	attempt.result.Told = true
	remaining := attempt.profile.Watch - (g.now - attempt.playStart)
	front := host(request.Get("Location"))
	if attempt.next != nil || remaining <= 0 || front == "" || attempt.redirects >= maxRedirects {
		return
	}
	profile := *attempt.profile
	profile.Watch, profile.Repeat, profile.Leaves, profile.Ask = remaining, false, 0, false
	attempt.next = g.startAttemptAt(&profile, attempt.number, "", front, attempt.redirects+1)
	attempt.next.previous = attempt
}

func (g *Crowd) rejected(attempt *playAttempt, response *rtsp.Message) {
	if g.retryWithAuth(attempt, response) {
		return
	}
	attempt.result.Status, attempt.result.Answered = response.Status, g.now
	if seconds, err := strconv.Atoi(response.Get("Retry-After")); err == nil {
		attempt.result.RetryAfter = Time(seconds) * core.Second
	}
	attempt.result.Token = response.Get("Come-Again")
	if len(attempt.pending) > 0 && attempt.number >= 0 {
		for _, method := range attempt.pending {
			if method == rtsp.Setup {
				return // the other track's answer is on its way
			}
		}
	}
	if front := host(response.Get("Location")); response.Status == rtsp.StatusMoved && front != "" && attempt.redirects < maxRedirects {
		previous := attempt.previous // it still plays where it was sent on from
		attempt.previous = nil
		attempt.next = g.startAttemptAt(attempt.profile, attempt.number, "", front, attempt.redirects+1)
		if attempt.next.previous = previous; previous != nil {
			previous.next = attempt.next
		}
		g.end(attempt, Moved)
		return
	}
	if response.Status == rtsp.StatusNotEnoughBandwidth || response.Status == rtsp.StatusUnavailable {
		g.end(attempt, Refused)
	} else {
		g.end(attempt, Failed)
	}
}

// end closes an asking, and has its viewer come again where it does.
func (g *Crowd) end(attempt *playAttempt, state State) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	if attempt.result.FirstPacket > 0 {
		g.Plays--
	}
	attempt.result.State = state
	attempt.parser.Stop()
	g.timers.Stop(attempt.timer)
	g.timers.Stop(attempt.keepaliveTimer)
	g.net.Close(attempt.conn)
	attempt.result.Ended = g.now
	retry := state != Done && state != Moved && attempt.number < attempt.profile.Returns
	if previous := attempt.previous; previous != nil { // it goes on where it was, for as long as that lasts
		attempt.previous, previous.next = nil, nil
		retry = retry && previous.ended
	}
	if next := attempt.next; next != nil && state != Moved { // it goes on elsewhere already
		attempt.next, next.previous = nil, nil
		retry = retry && next.ended
	}
	if !retry {
		g.open--
	}
	if g.Report != nil {
		g.Report(attempt.profile, &attempt.result)
	}
	if !retry {
		return
	}
	wait := attempt.profile.Break
	if attempt.result.RetryAfter > 0 && attempt.profile.KeepsTo {
		if wait = attempt.result.RetryAfter; attempt.profile.Early {
			wait /= 2
		}
	}
	g.waiting++
	g.timers.Set(nil, g.now+wait, func() {
		g.waiting--
		g.open--
		g.startAttempt(attempt.profile, attempt.number+1, attempt.result.Token)
	})
}
