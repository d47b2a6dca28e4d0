package tenants

import "hash/crc32"

const (
	tableSlots         = 1 << 12 // per table; keys that hash to the same slot share a count
	maxAccountFailures = 8       // failed attempts on an account within the half-life
	maxAddressFailures = 32      // failed attempts from an address within the half-life
)

// FailureLimiter limits failed login attempts by account and by address in fixed memory: two tables of counts that halve
// once per half-life. It guards against password guessing on one account from many addresses, and on many accounts
// from one address. An account or address that shares a count with a guesser may be rejected with it, for at most a
// half-life after the last failure; successful attempts are not counted.
type FailureLimiter struct {
	HalfLife  Time   // half-life of the counts
	Seed      uint32 // of the hash
	byAccount [tableSlots]uint8
	byAddress [tableSlots]uint8
	decayedAt Time
	Rejected  int64 // attempts rejected
}

func (g *FailureLimiter) slot(key string) uint32 {
	return (crc32.ChecksumIEEE([]byte(key)) ^ g.Seed) * 2654435761 >> 20 % tableSlots
}

func (g *FailureLimiter) decay(now Time) {
	for n := 0; g.decayedAt+g.HalfLife <= now && n < 8; n++ {
		for i := range g.byAccount {
			g.byAccount[i] /= 2
			g.byAddress[i] /= 2
		}
		g.decayedAt += g.HalfLife
	}
	if g.decayedAt+g.HalfLife <= now {
		g.decayedAt = now
	}
}

// Allow reports whether an attempt may be processed, and counts it as rejected if not.
func (g *FailureLimiter) Allow(account, address string, now Time) bool {
	g.decay(now)
	if g.byAccount[g.slot(account)] < maxAccountFailures && g.byAddress[g.slot(address)] < maxAddressFailures {
		return true
	}
	g.Rejected++
	return false
}

// RecordFailure counts an attempt with wrong credentials.
func (g *FailureLimiter) RecordFailure(account, address string) {
	for _, count := range []*uint8{&g.byAccount[g.slot(account)], &g.byAddress[g.slot(address)]} {
		if *count < 255 {
			*count++
		}
	}
}
