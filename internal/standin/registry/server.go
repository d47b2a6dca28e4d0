package registry

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
)

const (
	watchBuffer  = 256 // transactions queued for a watcher before it is dropped as too slow
	fragmentSize = 4   // events in a fragment, if the client accepts fragments
)

// Server is one cluster member that serves a store over gRPC. The embedded types respond to the rest of the API with
// the status "unimplemented".
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	store       *Store
	grpc        *grpc.Server
	listener    net.Listener
	mu          sync.Mutex
	resumed     chan struct{}     // closed when the member resumes; nil unless it hangs
	frozenState *pb.RangeResponse // state that a frozen member serves; nil unless it is frozen
	conns       map[net.Conn]struct{}
}

// Serve starts a member on a TCP address, with gRPC server options such as credentials.
func Serve(addr string, store *Store, options ...grpc.ServerOption) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{store: store, listener: ln, grpc: grpc.NewServer(options...), conns: map[net.Conn]struct{}{}}
	pb.RegisterKVServer(s.grpc, s)
	pb.RegisterWatchServer(s.grpc, s)
	pb.RegisterLeaseServer(s.grpc, s)
	go func() { _ = s.grpc.Serve(&trackingListener{ln, s}) }()
	return s, nil
}

// trackingListener records the accepted connections, so that they can be closed abruptly.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.server.mu.Lock()
		l.server.conns[c] = struct{}{}
		l.server.mu.Unlock()
	}
	return c, err
}

// Addr returns the address on which the member listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop stops the member and closes its connections.
func (s *Server) Stop() {
	s.Hang(false)
	s.grpc.Stop()
}

// CloseConnections closes all connections abruptly.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	clear(s.conns)
}

// Hang makes the member stop responding, or resume.
func (s *Server) Hang(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.resumed == nil:
		s.resumed = make(chan struct{})
	case !on && s.resumed != nil:
		close(s.resumed)
		s.resumed = nil
	}
}

// Freeze makes the member serve its present state without further updates, as a member does that is partitioned from
// the cluster and has not detected it; or makes it resume.
func (s *Server) Freeze(on bool) {
	header, pairs := s.store.Keys()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozenState = nil; on {
		s.frozenState = &pb.RangeResponse{Header: header, Kvs: pairs}
	}
}

func (s *Server) frozen() *pb.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozenState
}

// filterRange returns the part of a frozen state that lies in the requested range.
func filterRange(all *pb.RangeResponse, request *pb.RangeRequest) *pb.RangeResponse {
	response := &pb.RangeResponse{Header: all.Header}
	selector := watcher{from: string(request.Key), to: string(request.RangeEnd)}
	for _, kv := range all.Kvs {
		if selector.matches(&mvccpb.Event{Kv: kv}) {
			response.Kvs = append(response.Kvs, kv)
		}
	}
	response.Count = int64(len(response.Kvs))
	return response
}

// waitWhileHung blocks while the member hangs. The error is that of the context.
func (s *Server) waitWhileHung(ctx context.Context) error {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Range reads the present state; reads at past revisions are not supported.
func (s *Server) Range(ctx context.Context, request *pb.RangeRequest) (*pb.RangeResponse, error) {
	if err := s.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	if frozen := s.frozen(); frozen != nil {
		return filterRange(frozen, request), nil
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if request.Revision > 0 && request.Revision < s.store.compacted {
		return nil, rpctypes.ErrGRPCCompacted
	}
	return s.store.readRange(request), nil
}

// Put writes one key, attached to a lease if the request names one.
func (s *Server) Put(ctx context.Context, request *pb.PutRequest) (*pb.PutResponse, error) {
	if err := s.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if request.Lease != 0 && s.store.leases[request.Lease] == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.store.apply([]*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: request}}}, nil)
	return &pb.PutResponse{Header: s.store.header()}, nil
}

// DeleteRange deletes the keys of a range.
func (s *Server) DeleteRange(ctx context.Context, request *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	if err := s.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	responses := s.store.apply([]*pb.RequestOp{{Request: &pb.RequestOp_RequestDeleteRange{RequestDeleteRange: request}}}, nil)
	return &pb.DeleteRangeResponse{Header: s.store.header(), Deleted: responses[0].GetResponseDeleteRange().Deleted}, nil
}

// Txn evaluates the comparisons and applies one branch in a single revision.
func (s *Server) Txn(ctx context.Context, request *pb.TxnRequest) (*pb.TxnResponse, error) {
	if err := s.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	if frozen := s.frozen(); frozen != nil { // a frozen member serves the reads and ignores the writes
		response := &pb.TxnResponse{Header: frozen.Header}
		for _, op := range request.Success {
			if read := op.GetRequestRange(); read != nil {
				response.Responses = append(response.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: filterRange(frozen, read)}})
			}
		}
		return response, nil
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	succeeded := true
	for _, compare := range request.Compare {
		succeeded = succeeded && s.store.evaluateCompare(compare)
	}
	ops := request.Failure
	if succeeded {
		ops = request.Success
	}
	responses := s.store.apply(ops, nil)
	return &pb.TxnResponse{Header: s.store.header(), Succeeded: succeeded, Responses: responses}, nil
}

// evaluateCompare reports whether a comparison of a version, a revision or a value holds. The caller holds s.mu.
func (s *Store) evaluateCompare(compare *pb.Compare) bool {
	kv := s.keys[string(compare.Key)]
	if kv == nil {
		kv = &mvccpb.KeyValue{}
	}
	var difference int64
	switch compare.Target {
	case pb.Compare_VERSION:
		difference = kv.Version - compare.GetVersion()
	case pb.Compare_CREATE:
		difference = kv.CreateRevision - compare.GetCreateRevision()
	case pb.Compare_MOD:
		difference = kv.ModRevision - compare.GetModRevision()
	case pb.Compare_VALUE:
		difference = int64(bytes.Compare(kv.Value, compare.GetValue()))
	default:
		return false
	}
	switch compare.Result {
	case pb.Compare_EQUAL:
		return difference == 0
	case pb.Compare_GREATER:
		return difference > 0
	case pb.Compare_LESS:
		return difference < 0
	}
	return difference != 0
}

// Compact discards the events up to a revision.
func (s *Server) Compact(ctx context.Context, request *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	s.store.Compact(request.Revision)
	return &pb.CompactionResponse{}, ctx.Err()
}

// Watch serves a stream with a single watcher; each further request on the stream counts as a progress request.
func (s *Server) Watch(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.WatchResponse]) error {
	req, err := stream.Recv()
	if err != nil {
		return err
	}
	create := req.GetCreateRequest()
	if create == nil {
		return rpctypes.ErrGRPCEmptyKey
	}
	if err := s.waitWhileHung(stream.Context()); err != nil {
		return err
	}
	store := s.store
	store.mu.Lock()
	watch := &watcher{from: string(create.Key), to: string(create.RangeEnd), events: make(chan []*mvccpb.Event, watchBuffer)}
	var missed []*mvccpb.Event
	initialHeader := store.header()
	compacted := int64(0)
	if create.StartRevision > 0 && create.StartRevision <= store.compacted {
		compacted = store.compacted
	} else {
		for _, e := range store.log {
			if create.StartRevision > 0 && e.Kv.ModRevision >= create.StartRevision && watch.matches(e) {
				missed = append(missed, e)
			}
		}
		store.watchers[watch] = struct{}{}
	}
	store.mu.Unlock()
	defer func() {
		store.mu.Lock()
		delete(store.watchers, watch)
		store.mu.Unlock()
	}()
	if err := stream.Send(&pb.WatchResponse{Header: initialHeader, Created: true}); err != nil {
		return err
	}
	if compacted > 0 {
		return stream.Send(&pb.WatchResponse{Header: initialHeader, Canceled: true, CompactRevision: compacted, CancelReason: "compacted"})
	}
	if len(missed) > 0 {
		if err := s.sendEvents(stream, initialHeader, missed, create.Fragment); err != nil {
			return err
		}
	}
	frozen, last := false, initialHeader
	progressRequests := make(chan struct{}, 1)
	go func() { // progress requests; no others are expected on this stream
		for {
			if _, err := stream.Recv(); err != nil {
				return
			}
			select {
			case progressRequests <- struct{}{}:
			default:
			}
		}
	}()
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case events, ok := <-watch.events:
			if !ok {
				return stream.Send(&pb.WatchResponse{Header: initialHeader, Canceled: true, CancelReason: "dropped"})
			}
			if err := s.waitWhileHung(stream.Context()); err != nil {
				return err
			}
			if snapshot := s.frozen(); !frozen && snapshot != nil && events[0].Kv.ModRevision > snapshot.Header.Revision {
				frozen, last = true, snapshot.Header // this watch stays frozen for good, as it has skipped events
			}
			if frozen {
				continue
			}
			if err := s.sendEvents(stream, &pb.ResponseHeader{ClusterId: initialHeader.ClusterId, Revision: events[0].Kv.ModRevision}, events, create.Fragment); err != nil {
				return err
			}
		case <-progressRequests:
			if s.waitWhileHung(stream.Context()) != nil {
				continue
			}
			if snapshot := s.frozen(); snapshot != nil || frozen {
				if !frozen {
					last = snapshot.Header
				}
				if err := stream.Send(&pb.WatchResponse{Header: last}); err != nil {
					return err
				}
				continue
			}
			store.mu.Lock()
			header := store.header()
			_, registered := store.watchers[watch]
			caughtUp := registered && len(watch.events) == 0
			store.mu.Unlock()
			if caughtUp {
				if err := stream.Send(&pb.WatchResponse{Header: header}); err != nil {
					return err
				}
			}
		}
	}
}

// sendEvents sends events, split into fragments if the client accepts them.
func (s *Server) sendEvents(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.WatchResponse], header *pb.ResponseHeader, events []*mvccpb.Event,
	fragment bool) error {
	for fragment && len(events) > fragmentSize {
		if err := stream.Send(&pb.WatchResponse{Header: header, Events: events[:fragmentSize], Fragment: true}); err != nil {
			return err
		}
		events = events[fragmentSize:]
	}
	return stream.Send(&pb.WatchResponse{Header: header, Events: events})
}

// LeaseGrant creates a lease.
func (s *Server) LeaseGrant(ctx context.Context, request *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	if err := s.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.nextLease++
	id := s.store.nextLease
	ttl := time.Duration(request.TTL) * time.Second
	s.store.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]struct{}{}}
	return &pb.LeaseGrantResponse{Header: s.store.header(), ID: id, TTL: request.TTL}, nil
}

// LeaseRevoke ends a lease and deletes its keys.
func (s *Server) LeaseRevoke(ctx context.Context, request *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	if err := s.waitWhileHung(ctx); err != nil {
		return nil, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if s.store.leases[request.ID] == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.store.revoke(request.ID)
	return &pb.LeaseRevokeResponse{Header: s.store.header()}, nil
}

// LeaseKeepAlive renews leases; the response for an expired or unknown lease has a TTL of 0.
func (s *Server) LeaseKeepAlive(stream grpc.BidiStreamingServer[pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse]) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.waitWhileHung(stream.Context()); err != nil {
			return err
		}
		s.store.mu.Lock()
		response := &pb.LeaseKeepAliveResponse{Header: s.store.header(), ID: request.ID}
		if held := s.store.leases[request.ID]; held != nil && time.Now().Before(held.expires) {
			held.expires = time.Now().Add(held.ttl)
			response.TTL = int64(held.ttl / time.Second)
		}
		s.store.mu.Unlock()
		if err := stream.Send(response); err != nil {
			return err
		}
	}
}
