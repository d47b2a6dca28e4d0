// Package player implements stand-in RTSP players, for tests and load generation. It does no socket I/O of its own.
// Each player connects to a front, sets up a title and plays it for a configured time. It records the responses, the
// startup time, and RTP packets and sequence gaps. It retries according to its profile and the Retry-After
// header.
package player

import (
	"strconv"
	"strings"

	"github.com/pion/rtp"

	"pierlink/internal/core"
	"pierlink/internal/rtsp"
)

// Time is a point in time or a duration in microseconds.
type Time = core.Time

// Profile describes what one viewer requests and how it behaves.
type Profile struct {
	ID               string   // Request-Id of the first attempt; later attempts append a suffix
	Fronts           []string // addresses, tried in turn
	Plan             string
	Title            string
	Tenant           string
	TopRung          int    // highest rung requested
	Tracks           int    // number of tracks to set up
	WatchTime        Time   // playing time
	AbandonTime      Time   // how long it waits for the responses to its requests
	MaxRetries       int    // maximum number of retries after a rejection, a failure or a loss
	RetryDelay       Time   // delay before a retry if Retry-After is absent or ignored
	DescribeFirst    bool   // sends DESCRIBE before SETUP
	DuplicateSetups  bool   // sends its SETUP requests twice, as retransmission on a bad link would
	LeaveAfter       Time   // closes the connection after this time if the setup is still pending; 0 disables
	HonorsRetryAfter bool   // retries after the time in Retry-After, not after the default delay
	RetriesEarly     bool   // retries after half the time in Retry-After
	SourceAddr       string // source address, where the network supports it
	Secure           bool   // connects with TLS
	Account          string // user name for authentication; empty for none
	Password         string
	Basic            bool // uses Basic instead of Digest authentication
}

// State is the state of one attempt to play.
type State int

// The states of an attempt. The last six are final.
const (
	Connecting State = iota
	Requested
	Ready
	Playing
	Rejected   // rejected with status 453 or 503
	Failed     // another error status, or connection lost before the session was ready
	Abandoned  // not set up within the abandon time, or closed by the viewer during setup
	Lost       // the connection or the stream ended while it was playing
	Done       // played for the requested time
	Redirected // redirected to another front before it played
)

// Result is the result of one attempt.
type Result struct {
	ID                         string
	State                      State
	StartedAt, AnsweredAt      Time
	StartupTime                Time   // time from the SETUP requests to the first packet; 0 if none arrived
	Status                     int    // RTSP status of the rejection or failure
	RetryAfter                 Time   // 0 if absent
	RetryToken                 string // token of the Come-Again header, to present on the retry
	BroughtToken               bool   // this attempt presented a token, and not ahead of its time
	Attempt                    int    // 0 for the first, then the number of the retry
	Packets, Gaps              int
	Bytes                      int64
	Responses, Unsolicited     int // responses received; messages that match no request or are malformed
	Requests                   int
	LongestSilence, lastPacket Time
	Front                      string // address of the front
	FromRedirect               bool   // this attempt follows a redirect from another front
	Connected                  bool   // the connection was established
	EndedAt                    Time
	RedirectReceived           bool // received a REDIRECT request while it was playing
}

// Group is a group of players that share a clock and a network. It implements core.Core.
type Group struct {
	net      core.Net
	now      Time
	timers   core.Timers
	open     int                     // attempts in progress, and viewers that wait to retry
	waiting  int                     // viewers that wait to retry
	Attempts int                     // attempts started
	Bytes    int64                   // RTP bytes received in total
	Playing  int                     // attempts in progress that have received a packet
	closed   bool                    // viewers do not retry any more
	Report   func(*Profile, *Result) // called once for each attempt, when it has ended
}

// New returns a group without players, which connects through net.
func New(net core.Net, now Time) *Group { return &Group{net: net, now: now} }

// playAttempt is one attempt of a viewer to play, on a connection of its own.
type playAttempt struct {
	profile        *Profile
	number         int // 0 for the first, then the number of the retry
	conn           *core.Conn
	parser         rtsp.Parser
	result         Result
	cseq           int
	pending        map[int]string // methods of the requests without a response, by CSeq
	setupsDone     int            // successful SETUP responses
	sessionID      string
	sessionTimeout Time
	lastSeq        map[byte]uint16 // latest RTP sequence number by channel
	ended          bool
	token          string // presented in Come-Again
	timer          *core.Timer
	keepaliveTimer *core.Timer
	out            []byte
	playStart      Time         // time of the PLAY request
	front          string       // address of the front
	previous       *playAttempt // attempt that was redirected here; it plays until this one does
	next           *playAttempt // attempt at the front to which this one was redirected
	redirects      int          // redirects followed so far
	challenge      string       // the WWW-Authenticate value to respond to
	authAttempts   int          // setups that were repeated with credentials
}

const maxRedirects = 4 // in a row, per viewer

// BeginTurn starts a turn of the event loop: it sets the clock and runs the timers that are due.
func (g *Group) BeginTurn(now Time) {
	g.now = now
	g.timers.Run(now)
}

// EndTurn ends a turn and returns the time of the next timer.
func (g *Group) EndTurn() Time { return g.timers.Next() }

// Accepted closes the connection, as players do not accept any.
func (g *Group) Accepted(c *core.Conn, _ string) { g.net.Close(c) }

// Drained does nothing, as players do not wait for buffer space.
func (g *Group) Drained(*core.Conn) {}

// Open returns the number of attempts in progress, including viewers that wait to retry.
func (g *Group) Open() int { return g.open }

// Waiting returns the number of viewers that wait to retry.
func (g *Group) Waiting() int { return g.waiting }

// NoMoreRetries makes viewers give up that would try again later. Attempts in progress go on.
func (g *Group) NoMoreRetries() { g.closed = true }

// Start starts the first attempt of a viewer.
func (g *Group) Start(profile *Profile) { g.startAttempt(profile, 0, "") }

func (g *Group) startAttempt(profile *Profile, number int, token string) {
	g.startAttemptAt(profile, number, token, profile.Fronts[number%len(profile.Fronts)], 0)
}

func (g *Group) startAttemptAt(profile *Profile, number int, token, front string, redirects int) *playAttempt {
	attempt := &playAttempt{profile: profile, number: number, pending: map[int]string{}, lastSeq: map[byte]uint16{},
		parser: rtsp.Parser{Bounds: rtsp.DefaultBounds}, conn: &core.Conn{Secure: profile.Secure}}
	attempt.result = Result{ID: profile.ID, StartedAt: g.now, Attempt: number, BroughtToken: token != "" && !profile.RetriesEarly}
	attempt.token, attempt.conn.SourceAddr, attempt.front, attempt.redirects = token, profile.SourceAddr, front, redirects
	attempt.result.Front, attempt.result.FromRedirect = front, redirects > 0
	if number > 0 {
		attempt.result.ID += "." + strconv.Itoa(number)
	}
	if redirects > 0 {
		attempt.result.ID += "-" + strconv.Itoa(redirects)
	}
	attempt.conn.Owner = attempt
	g.open++
	g.Attempts++
	g.net.Dial(attempt.conn, front)
	attempt.timer = g.timers.Set(nil, g.now+profile.AbandonTime, func() { g.end(attempt, Abandoned) })
	return attempt
}

// Dialed sends the first requests once the connection is established.
func (g *Group) Dialed(conn *core.Conn, err error) {
	attempt := conn.Owner.(*playAttempt)
	if attempt.ended {
		return
	}
	if err != nil {
		g.end(attempt, Failed)
		return
	}
	attempt.result.Connected = true
	if attempt.profile.DescribeFirst {
		g.send(attempt, rtsp.NewRequest(rtsp.Describe, attempt.uri(-1), 0).With("Accept", "application/sdp"))
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

// uri returns the URL of a track, or of the whole title for a negative track.
func (a *playAttempt) uri(track int) string {
	uri := a.scheme() + a.front + "/" + a.profile.Plan + "/" + a.profile.Title
	if track >= 0 {
		uri += "/track" + strconv.Itoa(track)
	}
	uri += "?top=" + strconv.Itoa(a.profile.TopRung)
	if a.profile.Tenant != "" {
		uri += "&tenant=" + a.profile.Tenant
	}
	return uri
}

// sendSetups sends the SETUP requests of all tracks at once.
func (g *Group) sendSetups(attempt *playAttempt) {
	attempt.result.State, attempt.result.StartedAt = Requested, g.now
	g.timers.Set(attempt.timer, g.now+attempt.profile.AbandonTime, func() { g.end(attempt, Abandoned) })
	for i := range attempt.profile.Tracks {
		transport := rtsp.Transport{Profile: "RTP/AVP/TCP", Interleaved: true, RTP: byte(2 * i), RTCP: byte(2*i + 1)}
		request := rtsp.NewRequest(rtsp.Setup, attempt.uri(i), 0).With("Transport", transport.String()).With("Request-Id", attempt.result.ID).With("Come-Again", attempt.token).
			With("Authorization", attempt.authorization(rtsp.Setup, attempt.uri(i)))
		g.send(attempt, request)
	}
	if attempt.profile.DuplicateSetups {
		attempt.out = append(attempt.out, attempt.out...) // byte for byte, with the same CSeq values
	}
	g.flush(attempt)
	if attempt.profile.LeaveAfter > 0 {
		g.timers.Set(nil, g.now+attempt.profile.LeaveAfter, func() {
			if attempt.result.State == Requested {
				g.end(attempt, Abandoned)
			}
		})
	}
}

func (g *Group) send(attempt *playAttempt, request *rtsp.Message) {
	attempt.cseq++
	request.CSeq = attempt.cseq
	attempt.pending[request.CSeq] = request.Method
	attempt.result.Requests++
	attempt.out = request.With("User-Agent", "standin-player").Append(attempt.out)
}

func (g *Group) flush(attempt *playAttempt) {
	if len(attempt.out) > 0 && !attempt.ended {
		g.net.Send(attempt.conn, attempt.out)
		attempt.out = attempt.out[:0]
	}
}

// Received parses bytes from the front.
func (g *Group) Received(conn *core.Conn, data []byte) {
	attempt := conn.Owner.(*playAttempt)
	if attempt.ended {
		return
	}
	if err := attempt.parser.Feed(data, &parserHandler{g, attempt}); err != nil && !attempt.ended {
		g.end(attempt, Failed)
	}
}

// Closed ends the attempt whose connection has closed.
func (g *Group) Closed(conn *core.Conn, _ error) {
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
	group   *Group
	attempt *playAttempt
}

func (handler *parserHandler) Malformed(*rtsp.MalformedError) { handler.attempt.result.Unsolicited++ }

func (handler *parserHandler) Frame(channel byte, payload []byte) {
	g, attempt := handler.group, handler.attempt
	if channel&1 == 1 {
		if len(payload) > 1 && payload[1] == 203 { // RTCP BYE (RFC 3550)
			g.end(attempt, Lost)
		}
		return
	}
	var header rtp.Header
	if _, err := header.Unmarshal(payload); err != nil {
		attempt.result.Unsolicited++
		return
	}
	if attempt.result.StartupTime == 0 {
		attempt.result.StartupTime = max(g.now-attempt.result.StartedAt, 1)
		g.Playing++
		if previous := attempt.previous; previous != nil { // playing has moved here: end the previous session
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
		attempt.result.Unsolicited++
		return
	}
	delete(attempt.pending, message.CSeq)
	attempt.result.Responses++
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
		id, timeout := rtsp.ParseSession(message.Get("Session"))
		attempt.sessionID, attempt.sessionTimeout = id, Time(timeout)*core.Second
		if attempt.setupsDone++; attempt.setupsDone < attempt.profile.Tracks {
			return
		}
		attempt.result.State, attempt.result.AnsweredAt = Ready, g.now
		g.send(attempt, rtsp.NewRequest(rtsp.Play, attempt.uri(-1), 0).With("Session", attempt.sessionID).With("Range", "npt=0-"))
		g.flush(attempt)
		attempt.playStart = g.now
		g.timers.Set(attempt.timer, g.now+attempt.profile.WatchTime, func() { g.teardown(attempt) })
		g.keepAlive(attempt)
	case rtsp.Play:
		if message.Status == rtsp.StatusOK {
			attempt.result.State = Playing
		}
	case rtsp.Teardown:
		g.end(attempt, Done)
	}
}

// keepAlive sends GET_PARAMETER at a third of the session timeout to keep the session alive (RFC 2326 section 10.8).
func (g *Group) keepAlive(attempt *playAttempt) {
	attempt.keepaliveTimer = g.timers.Set(attempt.keepaliveTimer, g.now+attempt.sessionTimeout/3, func() {
		g.send(attempt, rtsp.NewRequest(rtsp.GetParameter, attempt.uri(-1), 0).With("Session", attempt.sessionID))
		g.flush(attempt)
		g.keepAlive(attempt)
	})
}

// teardown ends the session; the attempt counts as done even if no response arrives.
func (g *Group) teardown(attempt *playAttempt) {
	g.send(attempt, rtsp.NewRequest(rtsp.Teardown, attempt.uri(-1), 0).With("Session", attempt.sessionID))
	g.flush(attempt)
	g.timers.Set(attempt.timer, g.now+attempt.profile.AbandonTime, func() { g.end(attempt, Done) })
}

// host returns the host and port of an RTSP URL.
func host(url string) string {
	_, rest, _ := strings.Cut(url, "://")
	address, _, _ := strings.Cut(rest, "/")
	return address
}

// redirect continues playing at another front (RFC 2326 section 10.10): the viewer sets up a session there first, and
// ends the present one once packets arrive from the new front.
func (g *Group) redirect(attempt *playAttempt, request *rtsp.Message) {
	attempt.out = rtsp.NewResponse(rtsp.StatusOK, request.CSeq).With("Session", attempt.sessionID).Append(attempt.out)
	g.flush(attempt)
	attempt.result.RedirectReceived = true
	remaining := attempt.profile.WatchTime - (g.now - attempt.playStart)
	front := host(request.Get("Location"))
	if attempt.next != nil || remaining <= 0 || front == "" || attempt.redirects >= maxRedirects {
		return
	}
	profile := *attempt.profile
	profile.WatchTime, profile.DuplicateSetups, profile.LeaveAfter, profile.DescribeFirst = remaining, false, 0, false
	attempt.next = g.startAttemptAt(&profile, attempt.number, "", front, attempt.redirects+1)
	attempt.next.previous = attempt
}

// rejected handles an error response to DESCRIBE or SETUP: it authenticates, follows a redirect or ends the attempt.
func (g *Group) rejected(attempt *playAttempt, response *rtsp.Message) {
	if g.retryWithAuth(attempt, response) {
		return
	}
	attempt.result.Status, attempt.result.AnsweredAt = response.Status, g.now
	if seconds, err := strconv.Atoi(response.Get("Retry-After")); err == nil {
		attempt.result.RetryAfter = Time(seconds) * core.Second
	}
	attempt.result.RetryToken = response.Get("Come-Again")
	if len(attempt.pending) > 0 && attempt.number >= 0 {
		for _, method := range attempt.pending {
			if method == rtsp.Setup {
				return // responses for other tracks are still pending
			}
		}
	}
	if front := host(response.Get("Location")); response.Status == rtsp.StatusMoved && front != "" && attempt.redirects < maxRedirects {
		previous := attempt.previous // still plays at the front that redirected it
		attempt.previous = nil
		attempt.next = g.startAttemptAt(attempt.profile, attempt.number, "", front, attempt.redirects+1)
		if attempt.next.previous = previous; previous != nil {
			previous.next = attempt.next
		}
		g.end(attempt, Redirected)
		return
	}
	if response.Status == rtsp.StatusNotEnoughBandwidth || response.Status == rtsp.StatusUnavailable {
		g.end(attempt, Rejected)
	} else {
		g.end(attempt, Failed)
	}
}

// end ends an attempt in a final state, reports it, and schedules a retry where one is due.
func (g *Group) end(attempt *playAttempt, state State) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	if attempt.result.StartupTime > 0 {
		g.Playing--
	}
	attempt.result.State = state
	attempt.parser.Stop()
	g.timers.Stop(attempt.timer)
	g.timers.Stop(attempt.keepaliveTimer)
	g.net.Close(attempt.conn)
	attempt.result.EndedAt = g.now
	retry := state != Done && state != Redirected && attempt.number < attempt.profile.MaxRetries
	if previous := attempt.previous; previous != nil { // the viewer continues at the previous front while that session lasts
		attempt.previous, previous.next = nil, nil
		retry = retry && previous.ended
	}
	if next := attempt.next; next != nil && state != Redirected { // the viewer continues at the next front
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
	wait := attempt.profile.RetryDelay
	if attempt.result.RetryAfter > 0 && attempt.profile.HonorsRetryAfter {
		if wait = attempt.result.RetryAfter; attempt.profile.RetriesEarly {
			wait /= 2
		}
	}
	g.waiting++
	g.timers.Set(nil, g.now+wait, func() {
		g.waiting--
		if g.open--; g.closed {
			return
		}
		g.startAttempt(attempt.profile, attempt.number+1, attempt.result.RetryToken)
	})
}
