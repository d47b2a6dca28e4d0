package fair

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"pierlink/internal/meter"
)

// reservations issues and checks the tokens of refused clients that were given a retry time. A token carries that
// time and a keyed hash (HMAC, RFC 2104) over the time, the tenant and the client, so it can neither be forged nor
// used by another client. The key is derived from the secret and the hour of the retry time, so that a refusal
// stores nothing per client. Recently used tokens are marked by one bit each, in two tables that alternate; on a
// collision the later token loses its precedence, and nothing else.
type reservations struct {
	secret       []byte
	returnWindow Time // validity of a token from its retry time on: the longest startup target, and one second
	// because clients receive whole seconds
	used          [2][]uint64 // bit sets of redeemed tokens: current and previous
	rotatedAt     Time
	lag           Time                   // delay of the current turn
	dueBySecond   [horizonSeconds]uint32 // number of reservations by the second in which they are due
	countedUntil  Time                   // second up to which due reservations are counted
	dueCount      meter.Count            // reservations that recently became due
	returnedCount meter.Count            // reserved clients that recently returned
}

const (
	keyLifetime    = 3600 * 1_000_000 // lifetime of a key in microseconds
	macBytes       = 10               // truncated length of the hash in a token
	usedBits       = 1 << 17          // size of a table of used tokens
	horizonSeconds = 1 << 12          // range ahead in which reservations are counted
	minDueSamples  = 64               // due reservations needed to estimate the share of clients that return
	minReturnRate  = 0.6              // least share of clients that is assumed to return
)

func newReservations(secret []byte, startup, now Time) reservations {
	span := returnWindows * (startup + 1_000_000)
	return reservations{secret: secret, returnWindow: startup + 1_000_000, rotatedAt: now, countedUntil: now / microsPerSecond,
		dueCount: meter.NewCount(span, meterBuckets), returnedCount: meter.NewCount(span, meterBuckets),
		used: [2][]uint64{make([]uint64, usedBits/64), make([]uint64, usedBits/64)}}
}

// advance counts the reservations that have become due.
func (r *reservations) advance(now Time) {
	for n := 0; r.countedUntil < now/microsPerSecond && n < horizonSeconds; n++ {
		slot := r.countedUntil % horizonSeconds
		r.dueCount.Add(now, float64(r.dueBySecond[slot]))
		r.dueBySecond[slot] = 0
		r.countedUntil++
	}
	r.countedUntil = max(r.countedUntil, now/microsPerSecond)
}

// add counts a new reservation.
func (r *reservations) add(due, now Time) {
	if dueSecond := due / microsPerSecond; dueSecond-r.countedUntil < horizonSeconds-1 {
		r.dueBySecond[dueSecond%horizonSeconds]++
	}
}

// returnRate is the share of clients with a reservation that return in time. Without it the reservations of the
// other clients would stay unused and retry times would be longer than needed.
func (r *reservations) returnRate(now Time) float64 {
	due := r.dueCount.UpperBound(now)
	if due < minDueSamples {
		return 1
	}
	return min(max(r.returnedCount.UpperBound(now)/due, minReturnRate), 1)
}

func (r *reservations) mac(tenant, client string, due Time) []byte {
	keyMAC := hmac.New(sha256.New, r.secret)
	keyMAC.Write(binary.BigEndian.AppendUint64(nil, uint64(due/keyLifetime)))
	tokenMAC := hmac.New(sha256.New, keyMAC.Sum(nil))
	message := binary.BigEndian.AppendUint64(nil, uint64(due))
	message = binary.BigEndian.AppendUint32(message, uint32(len(tenant)))
	tokenMAC.Write(append(append(message, tenant...), client...))
	return tokenMAC.Sum(nil)[:macBytes]
}

func (r *reservations) token(tenant, client string, due Time) string {
	payload := binary.BigEndian.AppendUint64(nil, uint64(due))
	return base64.RawURLEncoding.EncodeToString(append(payload, r.mac(tenant, client, due)...))
}

// verify returns the retry time of a token and whether the token is valid.
func (r *reservations) verify(request *Request) (due Time, ok bool) {
	payload, err := base64.RawURLEncoding.DecodeString(request.Token)
	if err != nil || len(payload) != 8+macBytes {
		return 0, false
	}
	due = Time(binary.BigEndian.Uint64(payload))
	return due, due > 0 && hmac.Equal(payload[8:], r.mac(request.Tenant, request.Client, due))
}

// redeem reports whether a request returns within its return window, for the first time.
func (r *reservations) redeem(request *Request, now Time) bool {
	if request.Token == "" {
		return false
	}
	due, ok := r.verify(request)
	if !ok || now < due || now > due+r.returnWindow+r.lag {
		return false
	}
	for ; r.rotatedAt+r.returnWindow+r.lag < now; r.rotatedAt = max(r.rotatedAt+r.returnWindow, now-2*r.returnWindow) {
		r.used[0], r.used[1] = r.used[1], r.used[0]
		clear(r.used[0])
	}
	hash := binary.BigEndian.Uint64(r.mac(request.Tenant, request.Client, due)) % usedBits
	word, bit := hash/64, uint64(1)<<(hash%64)
	if (r.used[0][word]|r.used[1][word])&bit != 0 {
		return false
	}
	r.used[0][word] |= bit
	r.returnedCount.Add(now, 1)
	return true
}
