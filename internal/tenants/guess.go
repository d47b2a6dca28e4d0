package tenants

import "hash/crc32"

const (
	tableSlots         = 1 << 12 // of each table; what meets there shares a count
	maxAccountFailures = 8       // failed attempts on an account, and
	maxAddressFailures = 32      // from an address, within the span
)

// Guesses bounds failed attempts by account and by address in fixed memory: two tables of counts that fade by
// half each span. What shares a count with a guesser may be held back with it: at most for a span after the
// last failure, and only where it has failed too, as a good attempt is not counted. It guards against an account
// that is guessed at from many addresses, and an address that guesses at many accounts.
type Guesses struct {
	Span      Time
	Seed      uint32
	byAccount [tableSlots]uint8
	byAddress [tableSlots]uint8
	decayedAt Time
	Held      int64
}

func (g *Guesses) slot(key string) uint32 {
	return (crc32.ChecksumIEEE([]byte(key)) ^ g.Seed) * 2654435761 >> 20 % tableSlots
}

func (g *Guesses) decay(now Time) {
	for n := 0; g.decayedAt+g.Span <= now && n < 8; n++ {
		for i := range g.byAccount {
			g.byAccount[i] /= 2
			g.byAddress[i] /= 2
		}
		g.decayedAt += g.Span
	}
	if g.decayedAt+g.Span <= now {
		g.decayedAt = now
	}
}

// May tells whether an attempt may be looked at.
func (g *Guesses) May(account, address string, now Time) bool {
	g.decay(now)
	if g.byAccount[g.slot(account)] < maxAccountFailures && g.byAddress[g.slot(address)] < maxAddressFailures {
		return true
	}
	g.Held++
	return false
}

// Failed counts one that was wrong.
func (g *Guesses) Failed(account, address string) {
	for _, count := range []*uint8{&g.byAccount[g.slot(account)], &g.byAddress[g.slot(address)]} {
		if *count < 255 {
			*count++
		}
	}
}
