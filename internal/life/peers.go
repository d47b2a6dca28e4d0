package life

import (
	"hash/crc32"
	"slices"
	"strings"
)

// Others are the session managers that viewers may be sent to.
type Others struct {
	Seed   uint64
	plain  []string
	secure []string  // those with a door under TLS, by its address
	turns  [2]uint32 // of the next, in the clear and under TLS
}

// SecureMark stands before the address of a door under TLS.
const SecureMark = "rtsps://"

// Set tells which are ready, by the addresses that players reach them at. A door under TLS has its mark.
func (o *Others) Set(addresses []string) {
	o.plain, o.secure = nil, nil
	for _, a := range addresses {
		if to, ok := strings.CutPrefix(a, SecureMark); ok {
			o.secure = append(o.secure, to)
		} else {
			o.plain = append(o.plain, a)
		}
	}
	slices.Sort(o.plain)
	slices.Sort(o.secure)
}

// Count is how many there are.
func (o *Others) Count() int { return max(len(o.plain), len(o.secure)) }

// Next is where the next viewer is to go: one after the other, from a place of this process's own, so that
// several that drain together do not send theirs to one in step. One whose connection is encrypted goes to a door
// under TLS only. Empty if there is none.
func (o *Others) Next(secure bool) string {
	ready, n := o.plain, &o.turns[0]
	if secure {
		ready, n = o.secure, &o.turns[1]
	}
	if len(ready) == 0 {
		return ""
	}
	if *n == 0 {
		b := [8]byte{byte(o.Seed >> 56), byte(o.Seed >> 48), byte(o.Seed >> 40), byte(o.Seed >> 32), byte(o.Seed >> 24),
			byte(o.Seed >> 16), byte(o.Seed >> 8), byte(o.Seed)}
		*n = crc32.ChecksumIEEE(b[:])
	}
	*n++
	return ready[int(*n%uint32(len(ready)))]
}
