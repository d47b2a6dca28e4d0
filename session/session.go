// Package session defines the interface between a session manager's decision module and its host: the events that
// the module receives and the actions that it may take. It contains neither decisions nor wire formats. The host,
// which is the simulator's adapter or a front, translates between this interface and its protocols.
//
// Playbacks, servers and titles are small numbers that the host assigns; the same thing always has the same number.
// The host may reuse a playback's number once the module has called Forget for it.
package session

// Time is a clock value or a duration in whole microseconds.
type Time = int64

// Second is one second of Time.
const Second Time = 1_000_000

// Manager is the decision module of one front. In each turn the host calls BeginTurn with the clock time, then one event
// method for each event in their order, and then Settle once.
type Manager interface {
	BeginTurn(now Time)
	Listed(list List)
	Opened(request Request, server int)     // already running when the front starts; a note reports its rung
	Requested(request Request)              // a new playback
	Playing(pb, try, server int, took Time) // the setup try has succeeded
	Ended(result Result)                    // the end of a setup try or of a playback
	Left(pb int)                            // the client has gone and needs no answer
	Woken(token uint64)                     // a timer set by Wake has expired
	Probed(server int, outcome Outcome, load Load)
	Noted(note Note)
	Settle(actions Actions) // end of the turn: emits the actions
}

// Actions is what the module may do. The host carries the actions out in the order of the calls.
type Actions interface {
	SetRung(pb, rung int)
	Try(pb, server int, limit Time) // starts a setup try; a limit of 0 extends it to the abandon time
	Reject(pb int, retryAfter Time) // final; a retryAfter of 0 gives no advice
	Abort(pb int)                   // final; answers the playback as failed
	Move(pb int)                    // takes a running playback off its server
	Probe(server int)
	Wake(at Time, token uint64) // sets a timer, whose expiry is reported to Woken
	Watch()                     // subscribes to the server list
	Forget(pb int)              // releases the playback's number
}

// Request is a playback to be set up.
type Request struct {
	Playback, Plan, Tenant, Title int
	TitleID                       uint64 // the title's identifier, the same at every front
	AbandonAt                     Time   // clock time at which the client gives up this request
	Top                           int    // highest rung that the viewer can use
	FirstCell, CellCount          int    // the title is stored in CellCount cells, from FirstCell on
}

// Outcome is how a setup try, a playback or a probe ended.
type Outcome int

// The outcomes. After Full, NoConnection and NotSent it is certain that no playback was set up.
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

// Result reports the end of a setup try, or of the playback that it set up.
type Result struct {
	Playback, Try, Server int
	Outcome               Outcome
	Took                  Time
	Final                 bool // the playback is finished; otherwise it still needs an answer
	Load                  Load
}

// Load is a server's own load report, as shares of the capacity of its link and of its rack's uplink.
type Load struct {
	Link, Uplink       float64
	HasLink, HasUplink bool
	Capped             bool // Link never shows more than 1
}

// NoteKind is the kind of a note.
type NoteKind int

// The kinds of notes, by what their value is.
const (
	DeliveredShare NoteKind = iota + 1 // share of their rates that the server's playbacks receive
	CurrentRung                        // rung at which the playback runs
	LinkDemand                         // demand on the server's link as a share of its capacity
	UplinkDemand                       // the same for its rack's uplink
)

// Note reports a change of a playback or of its server's load.
type Note struct {
	Playback, Server int
	Kind             NoteKind
	Value            float64
}

// ServerState is a server's state in the server list.
type ServerState int

// The states.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// Entry is one entry of the server list.
type Entry struct {
	Server, Zone, Kind, Cell int
	State                    ServerState
	Started                  Time    // time of the latest start, 0 if long ago
	Weight                   float64 // link capacity in units of Fleet.KBPerWeight
}

// List is an update of the server list.
type List struct {
	Entries  []Entry
	Complete bool // servers that are not in it are gone
	Failed   bool // a call or the subscription failed; there are no entries
}

// Repeat is the effect of setting up a playback a second time.
type Repeat int

// The effects of a second setup.
const (
	Harmless Repeat = iota // none: may be set up again
	Keyed                  // none within the scope and the window of an idempotency key
	Unsafe                 // not to be set up again once a try may have run
)

// Scope is the set of servers among which an idempotency key is valid.
type Scope int

// The scopes.
const (
	Everywhere Scope = iota
	SameZone
	SameCell
)

// Plan is a class of playbacks.
type Plan struct {
	Repeat        Repeat
	Scope         Scope
	KeyWindow     Time // validity of an idempotency key
	StartupTarget Time // startup target
	Revenue       float64
	Live          bool    // viewers of a title can share a stream
	RateFactor    float64 // on the ladder's rates
	Floor, Top    int     // lowest and highest rung
	Seats         int     // limit on concurrent playbacks of one title, 0 for none
}

// Tenant is a customer with its quota.
type Tenant struct {
	QuotaPerS float64 // requests per second at all fronts, 0 for no quota
}

// Ladder holds the rates and revenues of the rungs.
type Ladder struct {
	RateKB, RevenueShare []float64 // per rung: rate in kB/s, revenue as a share of the plan's
	Join                 float64   // demand of each further viewer of a stream, as a share of the stream's rate
	RungChangeCost       Time      // cost of a change of rung, as a time without revenue
}

// Fleet is the configuration of servers and racks.
type Fleet struct {
	Cells, Racks            int
	TotalLinkKB, UplinkKB   float64 // capacity of all links together; mean capacity of an uplink
	KBPerWeight             float64
	WeightsListed           bool      // the server list has weights
	MaxStreams              []float64 // maximum number of streams of a server, by kind
	RefusalFill             float64   // fill from which a server refuses setups, 0 for never
	NoteDelay, NoteInterval Time      // delay and interval of notes
	LoadInAnswers           bool      // answers to setup tries contain the load
	LoadInProbes            bool      // answers to probes contain the load
	UplinkUnreported        bool      // load reports do not cover uplinks
}

// Terms are the parameters of the six rules.
type Terms struct {
	ColdShare      float64 // share of its capacity that a server has at its start
	WarmUp         Time    // time from a server's start to full capacity
	ColdMultiple   float64 // a cold server fails above this multiple of MaxStreams per WarmUp
	ColdSpan       Time    // span over which its setups are counted
	ListDeadline   Time    // time within which a front must request the server list
	RetriesLimited bool    // retries are limited over RetrySpan
	FreeRetries    float64 // retries allowed in any case
	RetryShare     float64 // further retries, as a share of the requests
	RetrySpan      Time
	MaxTries       int  // per playback
	Probes         bool // probes may be sent
	MaxRetryAfter  Time // longest advice in a rejection, 0 where none can be given
}

// Prices are shares of the total result.
type Prices struct {
	CrossZone, Move, Probe float64
	WorstPlan              float64 // weight of the worst-served plan in the result, as a share of 1
	OverQuota              float64 // value of traffic beyond a tenant's quota, as a share of its full value
}

// Site is the configuration that a front gets at its start.
type Site struct {
	Fronts, Zone  int
	Front         int // its own number, from 0
	Plans         []Plan
	Tenants       []Tenant
	Ladder        Ladder
	Fleet         Fleet
	Terms         Terms
	Prices        Prices
	ListOnRequest bool // the server list is sent only after Watch
	StartsListed  bool // a whole list has each server's latest start, also one during a restart of the front
}
