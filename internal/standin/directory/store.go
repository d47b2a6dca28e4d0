// Package directory is a stand-in for an LDAP directory (RFC 4511, 4512, 4515): bind, search with filters,
// paging (RFC 2696) and content synchronisation (RFC 4533), over entries in memory, with the troubles that a
// script gives it. It is written from those RFCs alone and knows nothing of who asks.
package directory

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is one entry.
type Entry struct {
	UUID      [16]byte
	DN        string
	Attrs     map[string][]string // names in lower case
	Seq       uint64              // of its latest change
	ChangedAt time.Time           // of it, by the directory's clock
}

// values are those of an attribute, operational ones included (RFC 4512 section 3.4, RFC 4530).
func (e *Entry) values(name string) []string {
	switch name = strings.ToLower(name); name {
	case "entryuuid":
		return []string{UUID(e.UUID)}
	case "modifytimestamp":
		return []string{e.ChangedAt.UTC().Format("20060102150405Z")}
	}
	return e.Attrs[name]
}

// Store is the directory's content and its past.
type Store struct {
	mu             sync.Mutex
	byDN           map[string]*Entry
	seq            uint64
	deleted        []deletion
	deletionsSince uint64 // removals from here on are known
	created        uint64
	listeners      map[chan struct{}]struct{}
	deletedAt      map[[16]byte]time.Time // when an entry was deleted
	Skew           time.Duration          // of its clock; set before it serves
}

type deletion struct {
	seq  uint64
	uuid [16]byte
}

// NewStore makes an empty one.
func NewStore() *Store {
	return &Store{byDN: map[string]*Entry{}, listeners: map[chan struct{}]struct{}{}, deletedAt: map[[16]byte]time.Time{}}
}

func normalizeDN(dn string) string { return strings.ToLower(strings.ReplaceAll(dn, ", ", ",")) }

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
	updated := *entry // answers under way keep the old one
	updated.Attrs, updated.Seq, updated.ChangedAt = map[string][]string{}, s.seq, time.Now().Add(s.Skew)
	for k, v := range attrs {
		updated.Attrs[strings.ToLower(k)] = slices.Clone(v)
	}
	s.byDN[normalizeDN(dn)] = &updated
	s.notifyListeners()
}

// Get is an entry, nil for none.
func (s *Store) Get(dn string) *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byDN[normalizeDN(dn)]
}

// Delete takes an entry out; false if it is not there.
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

// Rename gives an entry another name, or another place; its UUID stays. False if it is not there, or the other
// is.
func (s *Store) Rename(dn, newDN string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byDN[normalizeDN(dn)]
	if entry == nil || s.byDN[normalizeDN(newDN)] != nil {
		return false
	}
	s.seq++
	renamed := *entry
	renamed.DN, renamed.Seq, renamed.ChangedAt = newDN, s.seq, time.Now().Add(s.Skew)
	delete(s.byDN, normalizeDN(dn))
	s.byDN[normalizeDN(newDN)] = &renamed
	s.notifyListeners()
	return true
}

// Forget drops the knowledge of deletions: cookies from before are no longer good.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleted, s.deletionsSince = nil, s.seq
}

// All is every entry, in the order of the names.
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

// DeletedAt is when an entry was deleted; the zero time if it was not.
func (s *Store) DeletedAt(uuid [16]byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deletedAt[uuid]
}

// since is what has changed after a moment; false where deletions from then on are not known any more.
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
	for _, r := range s.deleted {
		if r.seq > seq {
			deleted = append(deleted, r.uuid)
		}
	}
	return changed, deleted, s.seq, true
}

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
