package fair

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Limits are the bounds of the door itself, before any request is read. 0 is no bound.
type Limits struct {
	PerAddress    float64 // new connections a second from one address
	PerConnection float64 // requests a second on one connection
	HalfOpen      int     // connections on which no request has come in whole
}

// Reason is why a connection or a request was turned away at the door.
type Reason int

// The reasons.
const (
	TooManyConnections Reason = iota
	AddressTooFast
	RequestsTooFast
	HalfOpenTooLong
	SlowSender
	HeaderFlood
	Reasons
)

func (r Reason) String() string {
	return [...]string{"connections", "address rate", "request rate", "half open", "slow sender", "header flood"}[r]
}

const (
	sketchRows      = 4
	sketchColumns   = 4096
	microsPerSecond = 1_000_000
	burstSeconds    = 2 // seconds of an address's rate that may come at once
)

// Door counts new connections by address. The count is a sketch of fixed size (count-min, Cormode and
// Muthukrishnan, 2005, with conservative update), emptied by halves: two counts of a second each take turns.
// An address is never counted as slower than it is; one that shares all four places with a fast one may be
// turned away with it, which a new key each turn keeps short.
type Door struct {
	Limits
	sketches   [2][sketchRows][sketchColumns]uint32
	sketchKeys [2]uint64
	rotatedAt  Time
	seed       uint64
	Refused    [Reasons]int64
}

// NewDoor makes a door; the seed keys its counts.
func NewDoor(l Limits, seed uint64, now Time) *Door {
	d := &Door{Limits: l, seed: seed, rotatedAt: now}
	d.sketchKeys = [2]uint64{d.nextKey(), d.nextKey()}
	return d
}

func (d *Door) nextKey() uint64 {
	d.seed = d.seed*6364136223846793005 + 1442695040888963407
	return d.seed
}

// Turn notes that something was turned away.
func (d *Door) Turn(r Reason) { d.Refused[r]++ }

// Connect tells whether a new connection of an address may come in now.
func (d *Door) Connect(address string, now Time) bool {
	if d.PerAddress <= 0 {
		return true
	}
	for ; now-d.rotatedAt >= burstSeconds*microsPerSecond/2; d.rotatedAt = max(d.rotatedAt+burstSeconds*microsPerSecond/2, now-burstSeconds*microsPerSecond) {
		d.sketches[1], d.sketchKeys[1] = d.sketches[0], d.sketchKeys[0]
		d.sketches[0], d.sketchKeys[0] = [sketchRows][sketchColumns]uint32{}, d.nextKey()
	}
	count := d.count(0, address, false) + d.count(1, address, false)
	if float64(count)+1 > d.PerAddress*burstSeconds {
		d.Turn(AddressTooFast)
		return false
	}
	d.count(0, address, true)
	return true
}

// count is the least of an address's places, raised by one on demand.
func (d *Door) count(sketch int, address string, increment bool) uint32 {
	keyed := append(binary.BigEndian.AppendUint64(make([]byte, 0, 64), d.sketchKeys[sketch]), address...)
	hash := xxhash.Sum64(keyed)
	least := ^uint32(0)
	var cells [sketchRows]*uint32
	for i := range cells {
		cells[i] = &d.sketches[sketch][i][(hash>>(16*i))%sketchColumns]
		least = min(least, *cells[i])
	}
	for i := 0; increment && i < sketchRows; i++ {
		*cells[i] = max(*cells[i], least+1)
	}
	return least
}

// Rate holds one connection to a rate: a bucket of a second's requests.
type Rate struct {
	tokens     float64
	refilledAt Time
}

// Request tells whether one more may be taken now.
func (d *Door) Request(r *Rate, now Time) bool {
	if d.PerConnection <= 0 {
		return true
	}
	if r.refilledAt == 0 {
		r.tokens = max(d.PerConnection, 1)
	}
	r.tokens = min(r.tokens+float64(now-r.refilledAt)/microsPerSecond*d.PerConnection, max(d.PerConnection, 1))
	if r.refilledAt = now; r.tokens < 1 {
		d.Turn(RequestsTooFast)
		return false
	}
	r.tokens--
	return true
}
