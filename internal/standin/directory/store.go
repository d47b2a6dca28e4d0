// Package directory implements a stand-in for an LDAP directory (RFC 4511, 4512, 4515), for tests. It supports bind,
// update operations, search with filters, paged results (RFC 2696) and content synchronization (RFC 4533) over
// entries in memory, and injects faults as a test script sets them. It follows those RFCs alone and does not depend
// on any client.
package directory

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is one entry of the directory. Stored entries are not modified; a change replaces them.
type Entry struct {
	UUID      [16]byte
	DN        string
	Attrs     map[string][]string // names in lower case
	Seq       uint64              // sequence number of the latest change
	ChangedAt time.Time           // time of the latest change, by the directory's clock
}

// values returns the values of an attribute, including operational attributes (RFC 4512 section 3.4, RFC 4530).
func (e *Entry) values(name string) []string {
	switch name = strings.ToLower(name); name {
	case "entryuuid":
		return []string{FormatUUID(e.UUID)}
	case "modifytimestamp":
		return []string{e.ChangedAt.UTC().Format("20060102150405Z")}
	}
	return e.Attrs[name]
}

// Store holds the entries of the directory and a log of deletions. It is safe for concurrent use.
type Store struct {
	mu             sync.Mutex
	byDN           map[string]*Entry // by normalized DN
	seq            uint64            // of the latest change
	deleted        []deletion
	deletionsSince uint64 // deletions after this sequence number are known
	created        uint64 // entries created so far
	listeners      map[chan struct{}]struct{}
	deletedAt      map[[16]byte]time.Time // time of deletion by entry UUID
	ClockSkew      time.Duration          // offset of the directory's clock; set before use
}

type deletion struct {
	seq  uint64
	uuid [16]byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{byDN: map[string]*Entry{}, listeners: map[chan struct{}]struct{}{}, deletedAt: map[[16]byte]time.Time{}}
}

// normalizeDN folds case and removes the space after commas, so that equal DNs compare equal.
func normalizeDN(dn string) string { return strings.ToLower(strings.ReplaceAll(dn, ", ", ",")) }

// notifyListeners signals all listeners without blocking; signals that are not yet received are merged.
func (s *Store) notifyListeners() {
	for c := range s.listeners {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Put adds an entry, or replaces its attributes.
func (s *Store) Put(dn string, attrs map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	entry := s.byDN[normalizeDN(dn)]
	if entry == nil {
		s.created++
		sum := sha256.Sum256([]byte(dn + "\x00" + strconv.FormatUint(s.created, 10)))
		entry = &Entry{DN: dn}
		copy(entry.UUID[:], sum[:16])
		s.byDN[normalizeDN(dn)] = entry
	}
	updated := *entry // searches in progress keep the old version
	updated.Attrs, updated.Seq, updated.ChangedAt = map[string][]string{}, s.seq, time.Now().Add(s.ClockSkew)
	for k, v := range attrs {
		updated.Attrs[strings.ToLower(k)] = slices.Clone(v)
	}
	s.byDN[normalizeDN(dn)] = &updated
	s.notifyListeners()
}

// Get returns the entry with a DN, or nil if there is none.
func (s *Store) Get(dn string) *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byDN[normalizeDN(dn)]
}

// Delete deletes an entry and reports whether it existed.
func (s *Store) Delete(dn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byDN[normalizeDN(dn)]
	if entry == nil {
		return false
	}
	s.seq++
	delete(s.byDN, normalizeDN(dn))
	s.deleted = append(s.deleted, deletion{s.seq, entry.UUID})
	s.deletedAt[entry.UUID] = time.Now()
	s.notifyListeners()
	return true
}

// Rename changes the DN of an entry, which keeps its UUID. It returns false if the entry does not exist or the new
// DN is taken.
func (s *Store) Rename(dn, newDN string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byDN[normalizeDN(dn)]
	if entry == nil || s.byDN[normalizeDN(newDN)] != nil {
		return false
	}
	s.seq++
	renamed := *entry
	renamed.DN, renamed.Seq, renamed.ChangedAt = newDN, s.seq, time.Now().Add(s.ClockSkew)
	delete(s.byDN, normalizeDN(dn))
	s.byDN[normalizeDN(newDN)] = &renamed
	s.notifyListeners()
	return true
}

// ForgetDeletions discards the log of deletions, which invalidates the synchronization cookies issued before the latest change.
func (s *Store) ForgetDeletions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleted, s.deletionsSince = nil, s.seq
}

// All returns all entries in the order of their DNs, and the sequence number of the latest change.
func (s *Store) All() (all []*Entry, seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedEntries(), s.seq
}

func (s *Store) sortedEntries() (all []*Entry) {
	for _, e := range s.byDN {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return strings.Compare(a.DN, b.DN) })
	return all
}

// DeletedAt returns when an entry was deleted, or the zero time if it was not.
func (s *Store) DeletedAt(uuid [16]byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deletedAt[uuid]
}

// changesSince returns the entries changed and deleted after a sequence number, and the present sequence number. It
// returns false if deletions since then are no longer known.
func (s *Store) changesSince(seq uint64) (changed []*Entry, deleted [][16]byte, now uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq < s.deletionsSince || seq > s.seq {
		return nil, nil, s.seq, false
	}
	for _, e := range s.byDN {
		if e.Seq > seq {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *Entry) int { return int(a.Seq) - int(b.Seq) })
	for _, d := range s.deleted {
		if d.seq > seq {
			deleted = append(deleted, d.uuid)
		}
	}
	return changed, deleted, s.seq, true
}

// subscribe returns a channel that is signalled after changes, and a function that ends the subscription.
func (s *Store) subscribe() (chan struct{}, func()) {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	s.listeners[c] = struct{}{}
	s.mu.Unlock()
	return c, func() {
		s.mu.Lock()
		delete(s.listeners, c)
		s.mu.Unlock()
	}
}
