// Package session defines what a session manager's decision module sees and does. It holds neither
// decisions nor any wire: a door (today the simulator's adapter, later the daemon) translates.
//
// Playbacks, servers and titles are small numbers handed out by the door, the same number for the same
// thing. A playback's number is free for another one once the module has called Forget.
package session

// Time is a clock value or a span in whole microseconds.
type Time = int64

// Second is one second of Time.
const Second Time = 1_000_000

// Manager is the decision module of one front. Within one moment the door calls At, then an event method
// for each event in its order, then Settle once.
type Manager interface {
	At(now Time)
	Listed(l List)
	Opened(r Request, server int) // plays already at the start; its rung comes in a RungNow note
	Requested(r Request)
	Playing(pb, try, server int, took Time)
	Ended(r Result)
	Left(pb int) // the client has gone; nothing more is owed
	Woken(token uint64)
	Probed(server int, o Outcome, load Load)
	Noted(n Note)
	Settle(a Actions)
}

// Actions is what the module may do; the door carries it out in the order of the calls.
type Actions interface {
	SetRung(pb, rung int)
	Try(pb, server int, limit Time) // a setup try; limit 0 lasts until the abandon time
	Reject(pb int, comeAgain Time)  // final; 0 advises nothing
	Abort(pb int)                   // final
	Move(pb int)
	Probe(server int)
	Wake(at Time, token uint64)
	Watch() // subscribe to the server list
	Forget(pb int)
}

// Request is a playback to be set up.
type Request struct {
	Playback, Plan, Tenant, Title int
	Show                          uint64 // the title's own id, the same at every front
	Abandon                       Time   // clock time at which the client gives up this try
	Top                           int    // highest rung that the viewer can use
	Base, Span                    int    // the cells that hold the title: Span of them from Base on
}

// Outcome is how a setup try, a playback or a probe ended.
type Outcome int

// The outcomes. Full, NoConnection and NotSent prove that nothing ran.
const (
	OK Outcome = iota
	Failed
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
)

// Result ends a setup try or the playback that came of it.
type Result struct {
	Playback, Try, Server int
	Outcome               Outcome
	Took                  Time
	Final                 bool // the playback is finished; otherwise an answer is still owed
	Load                  Load
}

// Load is a server's own report, in parts of what its link or its rack's uplink gives.
type Load struct {
	Link, Uplink       float64
	HasLink, HasUplink bool
	Capped             bool // Link never shows more than 1
}

// NoteKind is the kind of a note on a playback.
type NoteKind int

// The notes.
const (
	Delivered   NoteKind = iota + 1 // share of their rates that playbacks at the server get
	RungNow                         // the rung in force
	LinkAsked                       // asked of the link over what it gives
	UplinkAsked                     // the same for the rack's uplink
)

// Note is news on a playback.
type Note struct {
	Playback, Server int
	Kind             NoteKind
	Value            float64
}

// ServerState is what the list says of a server.
type ServerState int

// The states.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// Entry is one line of the server list.
type Entry struct {
	Server, Zone, Kind, Cell int
	State                    ServerState
	Started                  Time // its latest start, 0 for long ago
	Weight                   float64
}

// List is news of the server list.
type List struct {
	Entries []Entry
	Whole   bool // servers that it does not name are gone
	Failed  bool // a call or the subscription failed; no entries
}

// Repeat tells what a second set-up of a playback does.
type Repeat int

// The kinds of plan.
const (
	Harmless Repeat = iota // may be set up again
	Keyed                  // again only within the key's scope and window
	Unsafe                 // never again once a try may have run
)

// Scope is where a key holds.
type Scope int

// The scopes.
const (
	Everywhere Scope = iota
	SameZone
	SameCell
)

// Plan is a class of playbacks.
type Plan struct {
	Repeat     Repeat
	Scope      Scope
	Window     Time
	Startup    Time // startup target
	Revenue    float64
	Live       bool
	RateFactor float64
	Floor, Top int
	Seats      int // playbacks of one title, 0 for no cap
}

// Tenant is a customer with its share of the service.
type Tenant struct {
	QuotaPerS float64
}

// Ladder is the rates and revenues of the rungs.
type Ladder struct {
	RateKB, Worth []float64
	Join          float64 // what a further viewer of a stream adds, in parts of its rate
	Change        Time    // revenue time that a change of rung costs
}

// Fleet is what is told of servers and racks.
type Fleet struct {
	Cells, Racks         int
	LinksKB, UplinkKB    float64 // all links; a mean uplink
	KBPerWeight          float64
	WeightsTold          bool
	Places               []float64 // for each kind: streams at most
	FullFrom             float64   // refuses set-ups while its link is asked so much, 0 for never
	NoteDelay, NoteEvery Time
	LoadInAnswers        bool
	LoadInProbes         bool
	UplinkUntold         bool // load tells of links alone
}

// Terms are the figures of the six rules.
type Terms struct {
	ColdFrom     float64
	WarmUp       Time
	FallMultiple float64
	FallSpan     Time
	AskWithin    Time
	Rationed     bool // further tries are rationed
	FreeTries    float64
	TryShare     float64
	TrySpan      Time
	MaxTries     int
	Probes       bool
	MaxComeAgain Time // 0 where no advice is carried
}

// Prices are parts of the whole result.
type Prices struct {
	CrossZone, Move, Probe float64
	WorstPlan              float64 // what the worst-served plan's service counts beside the whole, of 1
	OverShare              float64 // worth of traffic beyond a tenant's share
}

// Site is what a front is told at its start.
type Site struct {
	Fronts, Zone  int
	Front         int // its own number among them
	Plans         []Plan
	Tenants       []Tenant
	Ladder        Ladder
	Fleet         Fleet
	Terms         Terms
	Prices        Prices
	ListOnRequest bool
	StartsTold    bool // a whole list tells each server's latest start, also those that a manager just back has missed
}
