package fair

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"pierlink/internal/meter"
)

// promise makes and checks the tokens of those told to come back. A token says when, and carries a keyed
// hash (HMAC, RFC 2104) over that, the tenant and the client: it cannot be made up, nor used by another
// client. The key changes with the hour of the promised time, and follows from the secret, so that a
// refusal leaves nothing to keep. What is kept is one bit for each token that was used of late, in two
// tables that take turns; two that meet there lose the later one's preference, nothing else.
type reservations struct {
	secret       []byte
	returnWindow Time // it counts from its time on for so long: the longest startup target, and a second, as
	// clients are told whole seconds
	used          [2][]uint64
	rotatedAt     Time
	lag           Time
	dueBySecond   [horizonSeconds]uint32 // promises by the second in which they fall due
	countedUntil  Time                   // the second up to which they have
	dueCount      meter.Count            // promises that fell due of late
	returnedCount meter.Count            // and of those who were promised, who came
}

const (
	keyLifetime    = 3600 * 1_000_000 // a key's time
	macBytes       = 10
	usedBits       = 1 << 17
	horizonSeconds = 1 << 12 // seconds ahead that are counted
	minDueSamples  = 64      // promises fallen due from which on it is known how many are kept
	minReturnRate  = 0.6     // of them are always taken to be
)

func newReservations(secret []byte, startup, now Time) reservations {
	span := returnWindows * (startup + 1_000_000)
	return reservations{secret: secret, returnWindow: startup + 1_000_000, rotatedAt: now, countedUntil: now / microsPerSecond,
		dueCount: meter.NewCount(span, meterBuckets), returnedCount: meter.NewCount(span, meterBuckets),
		used: [2][]uint64{make([]uint64, usedBits/64), make([]uint64, usedBits/64)}}
}

// roll lets promises fall due.
func (p *reservations) advance(now Time) {
	for n := 0; p.countedUntil < now/microsPerSecond && n < horizonSeconds; n++ {
		slot := p.countedUntil % horizonSeconds
		p.dueCount.Add(now, float64(p.dueBySecond[slot]))
		p.dueBySecond[slot] = 0
		p.countedUntil++
	}
	p.countedUntil = max(p.countedUntil, now/microsPerSecond)
}

// promised counts one.
func (p *reservations) add(due, now Time) {
	if dueSecond := due / microsPerSecond; dueSecond-p.countedUntil < horizonSeconds-1 {
		p.dueBySecond[dueSecond%horizonSeconds]++
	}
}

// share is the part of those who were promised that come at their time: the turns of the others would stand
// empty, and the times told be longer than they need be.
func (p *reservations) returnRate(now Time) float64 {
	due := p.dueCount.Most(now)
	if due < minDueSamples {
		return 1
	}
	return min(max(p.returnedCount.Most(now)/due, minReturnRate), 1)
}

func (p *reservations) mac(tenant, client string, due Time) []byte {
	keyMAC := hmac.New(sha256.New, p.secret)
	keyMAC.Write(binary.BigEndian.AppendUint64(nil, uint64(due/keyLifetime)))
	tokenMAC := hmac.New(sha256.New, keyMAC.Sum(nil))
	b := binary.BigEndian.AppendUint64(nil, uint64(due))
	b = binary.BigEndian.AppendUint32(b, uint32(len(tenant)))
	tokenMAC.Write(append(append(b, tenant...), client...))
	return tokenMAC.Sum(nil)[:macBytes]
}

func (p *reservations) token(tenant, client string, due Time) string {
	b := binary.BigEndian.AppendUint64(nil, uint64(due))
	return base64.RawURLEncoding.EncodeToString(append(b, p.mac(tenant, client, due)...))
}

// told is the time that a sound token promises.
func (p *reservations) verify(ask *Ask) (due Time, ok bool) {
	b, err := base64.RawURLEncoding.DecodeString(ask.Token)
	if err != nil || len(b) != 8+macBytes {
		return 0, false
	}
	due = Time(binary.BigEndian.Uint64(b))
	return due, due > 0 && hmac.Equal(b[8:], p.mac(ask.Tenant, ask.Client, due))
}

// kept tells whether a request comes back within its window, for the first time.
func (p *reservations) redeem(ask *Ask, now Time) bool {
	if ask.Token == "" {
		return false
	}
	due, ok := p.verify(ask)
	if !ok || now < due || now > due+p.returnWindow+p.lag {
		return false
	}
	for ; p.rotatedAt+p.returnWindow+p.lag < now; p.rotatedAt = max(p.rotatedAt+p.returnWindow, now-2*p.returnWindow) {
		p.used[0], p.used[1] = p.used[1], p.used[0]
		clear(p.used[0])
	}
	hash := binary.BigEndian.Uint64(p.mac(ask.Tenant, ask.Client, due)) % usedBits
	word, bit := hash/64, uint64(1)<<(hash%64)
	if (p.used[0][word]|p.used[1][word])&bit != 0 {
		return false
	}
	p.used[0][word] |= bit
	p.returnedCount.Add(now, 1)
	return true
}
