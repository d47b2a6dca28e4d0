package platform

import "pierlink/session"

// usedIDs records the IDs of set-ups that may have run at a server, must not run twice, and are over. If a client sends one
// again, it fails: every set-up has a new ID by the protocol, a viewer's retry included. At the limit the oldest ID is
// forgotten.
type usedIDs struct {
	known map[string]struct{}
	order []string // ring of the known IDs
	next  int      // entry of order that is replaced next, once the ring is full
	limit int
}

func newUsedIDs(limit int) usedIDs {
	return usedIDs{known: map[string]struct{}{}, limit: max(limit, 1)}
}

func (u *usedIDs) contains(id string) bool {
	_, ok := u.known[id]
	return ok
}

func (u *usedIDs) add(id string) {
	if u.contains(id) {
		return
	}
	u.known[id] = struct{}{}
	if len(u.order) < u.limit {
		u.order = append(u.order, id)
		return
	}
	delete(u.known, u.order[u.next])
	u.order[u.next] = id
	u.next = (u.next + 1) % u.limit
}

// mayHaveRun reports whether a set-up that was sent to a server may have run there if its try ended like that.
func mayHaveRun(outcome session.Outcome) bool {
	return outcome != session.Full && outcome != session.NoConnection && outcome != session.NotSent
}
