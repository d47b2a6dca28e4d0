// Package registry implements a stand-in for an etcd cluster, for tests. It serves the KV, Watch and Lease services of
// the etcd v3 API from memory. A test script can compact it, reset it to a new history, close its connections, and
// make members hang or serve stale state. It records a checksum of every past state, so that a test can verify that a
// client's view is a state that the registry had.
package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
)

// Store holds the present state of the registry, its event log and the checksums of its past states. It is safe for
// concurrent use.
type Store struct {
	mu              sync.Mutex
	clusterID       uint64
	revision        int64
	compacted       int64  // revision up to which events are discarded
	epoch           string // name of the present history
	keys            map[string]*mvccpb.KeyValue
	log             []*mvccpb.Event
	leases          map[int64]*lease
	nextLease       int64
	watchers        map[*watcher]struct{}
	checksum        uint64                         // of the present state
	checksums       map[string]map[int64]uint64    // by epoch and revision
	committedAt     map[string]map[int64]time.Time // by epoch and revision
	changes         int64                          // events over all histories
	DroppedWatchers int64                          // watchers dropped because they were too slow
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// watcher receives the events of a key range; its channel is closed when it is dropped.
type watcher struct {
	from, to string
	events   chan []*mvccpb.Event
	dropped  bool
}

// NewStore returns a store with a first history that begins after revision 1.
func NewStore(clusterID uint64, epoch string, markKey string) *Store {
	s := &Store{checksums: map[string]map[int64]uint64{}, committedAt: map[string]map[int64]time.Time{}}
	s.Reset(clusterID, epoch, markKey, 1)
	return s
}

// Reset replaces the state with a new history that begins after the given revision. Its first transaction writes the
// epoch to the key that marks the history. All watchers are dropped.
func (s *Store) Reset(clusterID uint64, epoch, markKey string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clusterID, s.epoch, s.revision, s.compacted = clusterID, epoch, revision, revision
	s.keys, s.log, s.leases, s.checksum = map[string]*mvccpb.KeyValue{}, nil, map[int64]*lease{}, 0
	for w := range s.watchers {
		s.dropWatcher(w)
	}
	s.watchers = map[*watcher]struct{}{}
	s.checksums[epoch], s.committedAt[epoch] = map[int64]uint64{}, map[int64]time.Time{}
	s.apply([]*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(markKey), Value: []byte(epoch)}}}}, nil)
}

// Checksum returns a hash of one key's state. The checksum of the whole state is the sum over all keys.
func Checksum(key string, value []byte, modRevision int64) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0, byte(modRevision >> 32), byte(modRevision >> 24), byte(modRevision >> 16), byte(modRevision >> 8), byte(modRevision)})
	_, _ = hash.Write(value)
	return hash.Sum64()
}

// HadState reports whether the state at a revision of an epoch had the checksum; it returns false for an unknown revision.
func (s *Store) HadState(epoch string, revision int64, checksum uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	got, ok := s.checksums[epoch][revision]
	return ok && got == checksum
}

// CommittedAt returns when a revision was committed, or the zero time for an unknown revision.
func (s *Store) CommittedAt(epoch string, revision int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committedAt[epoch][revision]
}

// ChangeCount returns the number of events committed over all histories.
func (s *Store) ChangeCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// CountPrefix returns the number of keys with a prefix.
func (s *Store) CountPrefix(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// State returns the present epoch, revision and checksum.
func (s *Store) State() (epoch string, revision int64, checksum uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.revision, s.checksum
}

// Keys returns all key-value pairs in key order, with a response header of the same revision.
func (s *Store) Keys() (*pb.ResponseHeader, []*mvccpb.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header(), s.readRange(&pb.RangeRequest{Key: []byte{0}, RangeEnd: []byte{0}}).Kvs
}

// EventsSince returns the events from a revision on, with a response header of the present revision. It returns false if the
// revision is compacted.
func (s *Store) EventsSince(revision int64) (*pb.ResponseHeader, []*mvccpb.Event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearchFunc(s.log, revision, func(e *mvccpb.Event, r int64) int { return int(e.Kv.ModRevision - r) })
	return s.header(), slices.Clone(s.log[first:]), revision > s.compacted
}

func (s *Store) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: s.clusterID, MemberId: 1, Revision: s.revision, RaftTerm: 1}
}

// apply carries out operations as one transaction and delivers its events to the watchers. It appends a response for
// each operation and returns them. The caller holds mu.
func (s *Store) apply(ops []*pb.RequestOp, responses []*pb.ResponseOp) []*pb.ResponseOp {
	revision := s.revision + 1
	var events []*mvccpb.Event
	for _, op := range ops {
		switch request := op.Request.(type) {
		case *pb.RequestOp_RequestPut:
			put := request.RequestPut
			kv := &mvccpb.KeyValue{Key: put.Key, Value: put.Value, ModRevision: revision, CreateRevision: revision, Version: 1, Lease: put.Lease}
			if previous := s.keys[string(put.Key)]; previous != nil {
				kv.CreateRevision, kv.Version = previous.CreateRevision, previous.Version+1
				s.checksum -= Checksum(string(put.Key), previous.Value, previous.ModRevision)
				s.detachLease(previous)
			}
			s.keys[string(put.Key)] = kv
			s.checksum += Checksum(string(put.Key), put.Value, revision)
			if granted := s.leases[put.Lease]; granted != nil {
				granted.keys[string(put.Key)] = struct{}{}
			}
			events = append(events, &mvccpb.Event{Type: mvccpb.Event_PUT, Kv: kv})
			responses = append(responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: &pb.PutResponse{}}})
		case *pb.RequestOp_RequestDeleteRange:
			deleted := int64(0)
			for _, k := range s.matchKeys(request.RequestDeleteRange.Key, request.RequestDeleteRange.RangeEnd) {
				previous := s.keys[k]
				s.checksum -= Checksum(k, previous.Value, previous.ModRevision)
				s.detachLease(previous)
				delete(s.keys, k)
				deleted++
				events = append(events, &mvccpb.Event{Type: mvccpb.Event_DELETE, Kv: &mvccpb.KeyValue{Key: []byte(k), ModRevision: revision}})
			}
			responses = append(responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: &pb.DeleteRangeResponse{Deleted: deleted}}})
		case *pb.RequestOp_RequestRange:
			responses = append(responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: s.readRange(request.RequestRange)}})
		}
	}
	if len(events) == 0 {
		return responses
	}
	s.revision = revision
	s.changes += int64(len(events))
	s.log = append(s.log, events...)
	s.checksums[s.epoch][revision], s.committedAt[s.epoch][revision] = s.checksum, time.Now()
	for w := range s.watchers {
		var matching []*mvccpb.Event
		for _, e := range events {
			if w.matches(e) {
				matching = append(matching, e)
			}
		}
		if len(matching) == 0 {
			continue
		}
		select {
		case w.events <- matching:
		default: // buffer full: the watcher is too slow
			s.DroppedWatchers++
			s.dropWatcher(w)
		}
	}
	return responses
}

func (s *Store) dropWatcher(w *watcher) {
	if !w.dropped {
		w.dropped = true
		close(w.events)
	}
	delete(s.watchers, w)
}

func (w *watcher) matches(e *mvccpb.Event) bool {
	k := string(e.Kv.Key)
	return k >= w.from && (w.to == "\x00" || w.to == "" && k == w.from || k < w.to)
}

// detachLease removes a key from the lease to which it is attached.
func (s *Store) detachLease(kv *mvccpb.KeyValue) {
	if held := s.leases[kv.Lease]; held != nil {
		delete(held.keys, string(kv.Key))
	}
}

// matchKeys returns the sorted keys of a range, as the etcd API defines it: key alone if end is empty, all keys from
// key on if end is \0, otherwise key up to but excluding end.
func (s *Store) matchKeys(key, end []byte) (all []string) {
	selector := watcher{from: string(key), to: string(end)}
	for k := range s.keys {
		if selector.matches(&mvccpb.Event{Kv: &mvccpb.KeyValue{Key: []byte(k)}}) {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, strings.Compare)
	return all
}

func (s *Store) readRange(request *pb.RangeRequest) *pb.RangeResponse {
	response := &pb.RangeResponse{Header: s.header()}
	for _, k := range s.matchKeys(request.Key, request.RangeEnd) {
		response.Kvs = append(response.Kvs, s.keys[k])
	}
	response.Count = int64(len(response.Kvs))
	return response
}

// Compact discards the events up to a revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	first, _ := slices.BinarySearchFunc(s.log, s.compacted+1, func(e *mvccpb.Event, r int64) int { return int(e.Kv.ModRevision - r) })
	s.log = slices.Clone(s.log[first:])
}

// ExpireLeases revokes the expired leases, or all leases.
func (s *Store) ExpireLeases(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.leases {
		if all || time.Now().After(held.expires) {
			s.revoke(id)
		}
	}
}

// revoke deletes a lease and its keys. The caller holds mu.
func (s *Store) revoke(id int64) {
	revoked := s.leases[id]
	delete(s.leases, id)
	var ops []*pb.RequestOp
	for k := range revoked.keys {
		ops = append(ops, &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(k)}}})
	}
	if len(ops) > 0 {
		s.apply(ops, nil)
	}
}

// Put writes keys in one transaction; a nil value deletes the key.
func (s *Store) Put(keys map[string][]byte) {
	var ops []*pb.RequestOp
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		v := keys[k]
		if v == nil {
			ops = append(ops, &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(k)}}})
		} else {
			ops = append(ops, &pb.RequestOp{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(k), Value: v}}})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(ops, nil)
}
