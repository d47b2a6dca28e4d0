package fair

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Limits holds the limits on connections and request rates, which apply before admission. 0 is no limit.
type Limits struct {
	ConnectionsPerAddress float64 // new connections/s from one address
	RequestsPerConnection float64 // requests/s on one connection
	MaxHalfOpen           int     // connections without a complete request so far
}

// RefusalReason is the reason for which a connection or request was refused before admission.
type RefusalReason int

// The reasons for such refusals.
const (
	TooManyConnections  RefusalReason = iota // the limit on connections was reached
	AddressRateExceeded                      // new connections from one address
	RequestRateExceeded                      // requests on one connection
	HalfOpenTimeout                          // the oldest half-open connection, closed at the limit on them
	SlowSender                               // a request that did not arrive completely in time
	HeaderFlood                              // malformed or oversized input of a player
	ReasonCount
)

func (r RefusalReason) String() string {
	return [...]string{"connections", "address rate", "request rate", "half open", "slow sender", "header flood"}[r]
}

const (
	sketchRows      = 4    // hash functions, one cell each per address
	sketchColumns   = 4096 // cells per row
	microsPerSecond = 1_000_000
	burstSeconds    = 2 // burst of an address, in seconds of its rate
)

// Limiter limits the rate of new connections per address and of requests per connection, and counts refusals.
// Connections are counted in a sketch of fixed size (count-min, Cormode and Muthukrishnan, 2005, with conservative
// update); two sketches of a second each alternate. The rate of an address is never underestimated. An address
// that shares all four cells with a fast one may be refused with it; a new hash key at each rotation keeps that
// short.
type Limiter struct {
	Limits
	sketches   [2][sketchRows][sketchColumns]uint32
	sketchKeys [2]uint64
	rotatedAt  Time
	seed       uint64
	Refused    [ReasonCount]int64
}

// NewLimiter returns a limiter with the given limits; the seed determines the hash keys of its sketches.
func NewLimiter(limits Limits, seed uint64, now Time) *Limiter {
	limiter := &Limiter{Limits: limits, seed: seed, rotatedAt: now}
	limiter.sketchKeys = [2]uint64{limiter.nextKey(), limiter.nextKey()}
	return limiter
}

func (l *Limiter) nextKey() uint64 {
	l.seed = l.seed*6364136223846793005 + 1442695040888963407
	return l.seed
}

// CountRefusal counts a refusal.
func (l *Limiter) CountRefusal(reason RefusalReason) { l.Refused[reason]++ }

// AllowConnection reports whether a new connection from an address is allowed now.
func (l *Limiter) AllowConnection(address string, now Time) bool {
	if l.ConnectionsPerAddress <= 0 {
		return true
	}
	for ; now-l.rotatedAt >= burstSeconds*microsPerSecond/2; l.rotatedAt = max(l.rotatedAt+burstSeconds*microsPerSecond/2, now-burstSeconds*microsPerSecond) {
		l.sketches[1], l.sketchKeys[1] = l.sketches[0], l.sketchKeys[0]
		l.sketches[0], l.sketchKeys[0] = [sketchRows][sketchColumns]uint32{}, l.nextKey()
	}
	count := l.count(0, address, false) + l.count(1, address, false)
	if float64(count)+1 > l.ConnectionsPerAddress*burstSeconds {
		l.CountRefusal(AddressRateExceeded)
		return false
	}
	l.count(0, address, true)
	return true
}

// count returns the estimate for an address in a sketch, the least of its cells, and increments it on request.
func (l *Limiter) count(sketch int, address string, increment bool) uint32 {
	keyed := append(binary.BigEndian.AppendUint64(make([]byte, 0, 64), l.sketchKeys[sketch]), address...)
	hash := xxhash.Sum64(keyed)
	least := ^uint32(0)
	var cells [sketchRows]*uint32
	for i := range cells {
		cells[i] = &l.sketches[sketch][i][(hash>>(16*i))%sketchColumns]
		least = min(least, *cells[i])
	}
	for i := 0; increment && i < sketchRows; i++ {
		*cells[i] = max(*cells[i], least+1)
	}
	return least
}

// RequestBucket is the token bucket of a connection; it holds one second's requests.
type RequestBucket struct {
	tokens     float64
	refilledAt Time
}

// AllowRequest reports whether a connection may send another request now.
func (l *Limiter) AllowRequest(bucket *RequestBucket, now Time) bool {
	if l.RequestsPerConnection <= 0 {
		return true
	}
	if bucket.refilledAt == 0 {
		bucket.tokens = max(l.RequestsPerConnection, 1)
	}
	bucket.tokens = min(bucket.tokens+float64(now-bucket.refilledAt)/microsPerSecond*l.RequestsPerConnection, max(l.RequestsPerConnection, 1))
	if bucket.refilledAt = now; bucket.tokens < 1 {
		l.CountRefusal(RequestRateExceeded)
		return false
	}
	bucket.tokens--
	return true
}
