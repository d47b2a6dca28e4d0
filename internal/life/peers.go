package life

import (
	"hash/crc32"
	"slices"
	"strings"
)

// Peers are the session managers that viewers may be redirected to.
type Peers struct {
	Seed   uint64    // gives the process its offset in the round robin
	plain  []string  // addresses of listeners without TLS
	secure []string  // addresses of TLS listeners, without the scheme
	turns  [2]uint32 // round-robin counters without and with TLS; 0 until the first use
}

// SecureScheme is the prefix of the address of a TLS listener.
const SecureScheme = "rtsps://"

// Set replaces the list of session managers that are ready, given by the addresses at which players reach them.
// Addresses of TLS listeners have the prefix rtsps://.
func (o *Peers) Set(addresses []string) {
	o.plain, o.secure = nil, nil
	for _, a := range addresses {
		if addr, ok := strings.CutPrefix(a, SecureScheme); ok {
			o.secure = append(o.secure, addr)
		} else {
			o.plain = append(o.plain, a)
		}
	}
	slices.Sort(o.plain)
	slices.Sort(o.secure)
}

// Count returns the number of session managers that are ready.
func (o *Peers) Count() int { return max(len(o.plain), len(o.secure)) }

// Next returns the address for the next viewer to redirect, or an empty string if there is none. It goes round
// robin from an offset derived from the seed, so that processes that drain at the same time do not all redirect to the
// same session manager. A viewer whose connection is encrypted is redirected to TLS listeners only.
func (o *Peers) Next(secure bool) string {
	addresses, turn := o.plain, &o.turns[0]
	if secure {
		addresses, turn = o.secure, &o.turns[1]
	}
	if len(addresses) == 0 {
		return ""
	}
	if *turn == 0 {
		b := [8]byte{byte(o.Seed >> 56), byte(o.Seed >> 48), byte(o.Seed >> 40), byte(o.Seed >> 32), byte(o.Seed >> 24),
			byte(o.Seed >> 16), byte(o.Seed >> 8), byte(o.Seed)}
		*turn = crc32.ChecksumIEEE(b[:])
	}
	*turn++
	return addresses[int(*turn%uint32(len(addresses)))]
}
