// Package registry is a stand-in for a key-value registry: it serves the published etcd v3 API (KV, Watch,
// Lease) from its protobuf definitions, in memory, and compacts, restarts, cuts and stalls as a script has
// it. It keeps what it ever was, so that a checker can tell whether a view is a state that it had.
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

// Store is the registry's state and past.
type Store struct {
	mu              sync.Mutex
	clusterID       uint64
	revision        int64
	compacted       int64
	epoch           string
	keys            map[string]*mvccpb.KeyValue
	log             []*mvccpb.Event
	leases          map[int64]*lease
	nextLease       int64
	watchers        map[*watcher]struct{}
	checksum        uint64
	checksums       map[string]map[int64]uint64 // by epoch and revision: the sum of the state
	committedAt     map[string]map[int64]time.Time
	changes         int64
	DroppedWatchers int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// watcher waits for changes; its channel is closed when it is dropped.
type watcher struct {
	from, to string
	events   chan []*mvccpb.Event
	dropped  bool
}

// NewStore begins a history.
func NewStore(cluster uint64, epoch string, markKey string) *Store {
	s := &Store{checksums: map[string]map[int64]uint64{}, committedAt: map[string]map[int64]time.Time{}}
	s.Begin(cluster, epoch, markKey, 1)
	return s
}

// Begin starts another history, empty but for its mark, at a revision of its own.
func (s *Store) Begin(cluster uint64, epoch, markKey string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clusterID, s.epoch, s.revision, s.compacted = cluster, epoch, revision, revision
	s.keys, s.log, s.leases, s.checksum = map[string]*mvccpb.KeyValue{}, nil, map[int64]*lease{}, 0
	for w := range s.watchers {
		s.dropWatcher(w)
	}
	s.watchers = map[*watcher]struct{}{}
	s.checksums[epoch], s.committedAt[epoch] = map[int64]uint64{}, map[int64]time.Time{}
	s.apply([]*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: &pb.PutRequest{Key: []byte(markKey), Value: []byte(epoch)}}}}, nil)
}

// Sum is a hash of one key's state; those of all keys together are added up.
func Sum(key string, value []byte, modRevision int64) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0, byte(modRevision >> 32), byte(modRevision >> 24), byte(modRevision >> 16), byte(modRevision >> 8), byte(modRevision)})
	_, _ = hash.Write(value)
	return hash.Sum64()
}

// Was tells whether the state at a revision of an epoch had a sum; false too where there was no such revision.
func (s *Store) Was(epoch string, revision int64, sum uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	got, ok := s.checksums[epoch][revision]
	return ok && got == sum
}

// Born is when a revision came to be.
func (s *Store) Born(epoch string, revision int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committedAt[epoch][revision]
}

// Made is how many changes there were, over all histories.
func (s *Store) Made() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// Count is how many keys begin so.
func (s *Store) Count(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// State is the latest revision with its sum.
func (s *Store) State() (epoch string, revision int64, sum uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.revision, s.checksum
}

// Keys is all that there is now, in the order of the names, with what an answer's header tells.
func (s *Store) Keys() (*pb.ResponseHeader, []*mvccpb.KeyValue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header(), s.readRange(&pb.RangeRequest{Key: []byte{0}, RangeEnd: []byte{0}}).Kvs
}

// Since is the changes from a revision on; false where they are compacted away.
func (s *Store) Since(revision int64) (*pb.ResponseHeader, []*mvccpb.Event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := slices.BinarySearchFunc(s.log, revision, func(e *mvccpb.Event, r int64) int { return int(e.Kv.ModRevision - r) })
	return s.header(), slices.Clone(s.log[n:]), revision > s.compacted
}

func (s *Store) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{ClusterId: s.clusterID, MemberId: 1, Revision: s.revision, RaftTerm: 1}
}

// apply makes one transaction of puts and deletes. It returns what each changed.
func (s *Store) apply(ops []*pb.RequestOp, responses []*pb.ResponseOp) []*pb.ResponseOp {
	revision := s.revision + 1
	var events []*mvccpb.Event
	for _, op := range ops {
		switch request := op.Request.(type) {
		case *pb.RequestOp_RequestPut:
			put := request.RequestPut
			kv := &mvccpb.KeyValue{Key: put.Key, Value: put.Value, ModRevision: revision, CreateRevision: revision, Version: 1, Lease: put.Lease}
			if old := s.keys[string(put.Key)]; old != nil {
				kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
				s.checksum -= Sum(string(put.Key), old.Value, old.ModRevision)
				s.detachLease(old)
			}
			s.keys[string(put.Key)] = kv
			s.checksum += Sum(string(put.Key), put.Value, revision)
			if granted := s.leases[put.Lease]; granted != nil {
				granted.keys[string(put.Key)] = struct{}{}
			}
			events = append(events, &mvccpb.Event{Type: mvccpb.Event_PUT, Kv: kv})
			responses = append(responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: &pb.PutResponse{}}})
		case *pb.RequestOp_RequestDeleteRange:
			n := int64(0)
			for _, k := range s.matchKeys(request.RequestDeleteRange.Key, request.RequestDeleteRange.RangeEnd) {
				old := s.keys[k]
				s.checksum -= Sum(k, old.Value, old.ModRevision)
				s.detachLease(old)
				delete(s.keys, k)
				n++
				events = append(events, &mvccpb.Event{Type: mvccpb.Event_DELETE, Kv: &mvccpb.KeyValue{Key: []byte(k), ModRevision: revision}})
			}
			responses = append(responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{
				ResponseDeleteRange: &pb.DeleteRangeResponse{Deleted: n}}})
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
		default: // too slow
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

func (s *Store) detachLease(kv *mvccpb.KeyValue) {
	if held := s.leases[kv.Lease]; held != nil {
		delete(held.keys, string(kv.Key))
	}
}

// match is the keys of a range as the API has them: one key, or from Key to RangeEnd, \0 for all.
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

// Compact forgets the changes up to a revision.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = max(s.compacted, min(revision, s.revision))
	n, _ := slices.BinarySearchFunc(s.log, s.compacted+1, func(e *mvccpb.Event, r int64) int { return int(e.Kv.ModRevision - r) })
	s.log = slices.Clone(s.log[n:])
}

// Expire ends the leases whose time has come, and lost ones at once if told.
func (s *Store) Expire(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.leases {
		if all || time.Now().After(held.expires) {
			s.revoke(id)
		}
	}
}

func (s *Store) revoke(id int64) {
	ended := s.leases[id]
	delete(s.leases, id)
	var ops []*pb.RequestOp
	for k := range ended.keys {
		ops = append(ops, &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(k)}}})
	}
	if len(ops) > 0 {
		s.apply(ops, nil)
	}
}

// Put makes one transaction of some keys; a nil value deletes.
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
