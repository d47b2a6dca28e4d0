// Package client executes the requests of the registry core with etcd's Go client: lists and watches. It also
// stores the view on disk, so that a new process can serve it before the registry answers.
package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"sync/atomic"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"pierlink/internal/registry"
)

const prefix = "/pierlink/" // of all keys in the view

// Config configures a client.
type Config struct {
	Endpoints []string    // host:port of the members
	TLS       *tls.Config // nil for plain TCP; GetClientCertificate may reload the key pair
	Core      registry.Config
	ViewPath  string // file that stores the last view; empty to store none
}

// Client keeps a core in step with a registry. Its goroutine owns the core.
type Client struct {
	core          *registry.Core
	etcd          []*clientv3.Client // one client per endpoint, as an attempt uses a single endpoint
	endpointIndex atomic.Int64       // endpoint in use; advanced after a failure
	config        Config
	log           *zap.Logger
	calls         chan func()
	stop          chan struct{}
	done          chan struct{}
	onUpdate      func(registry.Update, registry.HistoryID)
	cancel        context.CancelFunc // cancels the attempt in progress
	nextSave      time.Time
	dirty         bool
}

// dialOptions limits gRPC's own reconnection backoff to less than a timeout, as it adds to the backoff of the core,
// which decides when to retry.
func dialOptions(timeout time.Duration) []grpc.DialOption {
	backoffConfig := backoff.Config{BaseDelay: timeout / 16, Multiplier: 2, Jitter: 0.2, MaxDelay: timeout / 2}
	return []grpc.DialOption{grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: timeout})}
}

func now() registry.Time { return time.Now().UnixMicro() }

// New starts a client. onUpdate is called for each update of the view, in order and from one goroutine; the first
// call carries the view stored on disk, if there is one.
func New(config Config, log *zap.Logger, onUpdate func(registry.Update, registry.HistoryID)) (*Client, error) {
	if len(config.Endpoints) == 0 {
		return nil, errors.New("no registry endpoint configured")
	}
	client := &Client{core: registry.New(config.Core, now()), config: config, log: log, calls: make(chan func(), 64),
		stop: make(chan struct{}), done: make(chan struct{}), onUpdate: onUpdate}
	timeout := time.Duration(config.Core.Timeout) * time.Microsecond
	for _, endpoint := range config.Endpoints {
		etcd, err := clientv3.New(clientv3.Config{Endpoints: []string{endpoint}, TLS: config.TLS, Logger: zap.NewNop(), DialTimeout: timeout,
			DialKeepAliveTime: timeout, DialKeepAliveTimeout: timeout, DialOptions: dialOptions(timeout)})
		if err != nil {
			client.closeEndpoints()
			return nil, err
		}
		client.etcd = append(client.etcd, etcd)
	}
	client.endpointIndex.Store(int64(config.Core.Seed % uint64(len(config.Endpoints))))
	if config.ViewPath != "" {
		stored, err := Load(config.ViewPath)
		switch {
		case err == nil:
			client.core.Restore(stored.View, stored.Head, stored.Mark, stored.AsOf)
			log.Info("serving the stored registry view until the registry answers",
				zap.Duration("age", time.Since(time.UnixMicro(stored.AsOf))), zap.Int("keys", len(stored.View)))
		case !errors.Is(err, ErrNoView):
			log.Warn("cannot use the stored registry view", zap.Error(err))
		}
	}
	go client.run()
	return client, nil
}

// Close stores the view and stops the client.
func (c *Client) Close() {
	close(c.stop)
	<-c.done
	c.closeEndpoints()
}

// Age returns the time since the view was last known to match the registry; the time since 1970 if it never was.
func (c *Client) Age() (age time.Duration) {
	c.WithCore(func(core *registry.Core) { age = time.Duration(core.Age()) * time.Microsecond })
	return age
}

// Done returns a channel that is closed once the client has stopped.
func (c *Client) Done() <-chan struct{} { return c.done }

func (c *Client) closeEndpoints() {
	for _, etcd := range c.etcd {
		_ = etcd.Close()
	}
}

// endpoint returns the etcd client of the endpoint in use.
func (c *Client) endpoint() *clientv3.Client { return c.etcd[int(c.endpointIndex.Load())%len(c.etcd)] }

// reportFailure ends an attempt. If the endpoint did not answer, the next attempt uses the next endpoint.
func (c *Client) reportFailure(request registry.Request, failure registry.Failure) {
	if failure == registry.ConnectionLost {
		c.endpointIndex.Add(1)
	}
	c.enqueue(func() { c.core.HandleFailure(request.Attempt, failure) })
}

// WithCore runs a function in the goroutine that owns the core, and waits for it.
func (c *Client) WithCore(call func(*registry.Core)) {
	ran := make(chan struct{})
	select {
	case c.calls <- func() { call(c.core); close(ran) }:
		<-ran
	case <-c.done:
	}
}

func (c *Client) run() {
	defer close(c.done)
	timer := time.NewTimer(0)
	for {
		select {
		case <-c.stop:
			if c.cancel != nil {
				c.cancel()
			}
			c.saveView(true)
			return
		case call := <-c.calls:
			c.core.SetTime(now())
			call()
		case <-timer.C:
			c.core.SetTime(now())
		}
		next := c.core.Process(c.perform, func(update registry.Update) {
			_, history := c.core.Revision()
			c.dirty = true
			c.onUpdate(update, history)
		})
		c.saveView(false)
		timer.Reset(time.Duration(max(next-now(), 0)) * time.Microsecond)
	}
}

// saveView writes the view to disk if it has changed: at most once per timeout, unless force is set.
func (c *Client) saveView(force bool) {
	if c.config.ViewPath == "" || !c.dirty || !force && time.Now().Before(c.nextSave) {
		return
	}
	c.dirty = false
	c.nextSave = time.Now().Add(time.Duration(c.config.Core.Timeout) * time.Microsecond)
	_, history := c.core.Revision()
	view := StoredView{View: c.core.View(), Head: c.core.Header(), Mark: history, AsOf: now() - c.core.Age()}
	if err := view.Save(c.config.ViewPath); err != nil {
		c.log.Error("cannot store the registry view on disk", zap.String("file", c.config.ViewPath), zap.Error(err))
	}
}

// enqueue hands a call to the goroutine of the core, unless the client has stopped.
func (c *Client) enqueue(call func()) {
	select {
	case c.calls <- call:
	case <-c.done:
	}
}

// perform executes a request in a goroutine of its own, which ends with the request. The previous request is
// cancelled.
func (c *Client) perform(request registry.Request) {
	if c.cancel != nil {
		c.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if request.NextMember {
		c.endpointIndex.Add(1)
		c.log.Warn("registry member lags behind the others; switching to the next one")
	}
	if request.Op == registry.List {
		go c.list(ctx, request)
	} else {
		go c.watch(ctx, request)
	}
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(c.config.Core.Timeout)*time.Microsecond)
}

// list reads all keys and the history identifier in one transaction, after writing an identifier if the registry
// has none.
func (c *Client) list(ctx context.Context, request registry.Request) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	historyID := make([]byte, 16)
	_, _ = rand.Read(historyID)
	etcd := c.endpoint()
	_, err := etcd.Txn(ctx).If(clientv3.Compare(clientv3.Version(registry.HistoryKey), "=", 0)).
		Then(clientv3.OpPut(registry.HistoryKey, hex.EncodeToString(historyID))).Commit()
	var response *clientv3.TxnResponse
	if err == nil {
		response, err = etcd.Txn(ctx).Then(clientv3.OpGet(prefix, clientv3.WithPrefix())).Commit()
	}
	if err != nil {
		c.log.Info("registry list failed", zap.Error(err))
		c.reportFailure(request, registry.ConnectionLost)
		return
	}
	keys, history := map[string]registry.Entry{}, registry.HistoryID("")
	for _, kv := range response.Responses[0].GetResponseRange().Kvs {
		keys[string(kv.Key)] = registry.Entry{Value: kv.Value, Mod: kv.ModRevision}
		if string(kv.Key) == registry.HistoryKey {
			history = registry.HistoryID(kv.Value)
		}
	}
	header := registry.Header{Cluster: response.Header.ClusterId, Revision: response.Header.Revision}
	c.enqueue(func() { c.core.HandleList(request.Attempt, header, history, keys) })
}

// queryOtherMember reads the revision of one of the other members.
func (c *Client) queryOtherMember(ctx context.Context, attempt int) {
	others := len(c.etcd) - 1
	etcd := c.etcd[(int(c.endpointIndex.Load())+1+attempt%others)%len(c.etcd)]
	getCtx, cancel := c.withTimeout(ctx)
	defer cancel()
	if response, err := etcd.Get(getCtx, registry.HistoryKey); err == nil && len(response.Kvs) == 1 {
		header, history := registry.Header{Cluster: response.Header.ClusterId, Revision: response.Header.Revision}, registry.HistoryID(response.Kvs[0].Value)
		c.enqueue(func() { c.core.HandleMemberRevision(header, history) })
	}
}

// watch opens a watch stream directly, as etcd's client would resume a watch without the core noticing. It checks
// the history identifier once the stream is open, which detects a registry that was set up anew since the list.
func (c *Client) watch(ctx context.Context, request registry.Request) {
	etcd := c.endpoint()
	fail := func(failure registry.Failure) { c.reportFailure(request, failure) }
	timeout := time.Duration(c.config.Core.Timeout) * time.Microsecond
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(timeout, cancel) // guards against a member that accepts the stream and never responds
	defer idle.Stop()
	stream, err := pb.NewWatchClient(etcd.ActiveConnection()).Watch(watchCtx)
	if err == nil {
		err = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: &pb.WatchCreateRequest{
			Key: []byte(prefix), RangeEnd: []byte(clientv3.GetPrefixRangeEnd(prefix)), StartRevision: request.StartRevision, ProgressNotify: true, Fragment: true}}})
	}
	if err != nil {
		fail(registry.ConnectionLost)
		return
	}
	go func() { // progress requests tell an idle registry from one that hangs
		tick := time.NewTicker(timeout)
		defer tick.Stop()
		for ticks := 0; ; {
			select {
			case <-watchCtx.Done():
				return
			case <-tick.C:
				if stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{ProgressRequest: &pb.WatchProgressRequest{}}}) != nil {
					return
				}
				if ticks++; len(c.etcd) > 1 {
					c.queryOtherMember(watchCtx, ticks)
				}
			}
		}
	}()
	first := true
	for {
		response, err := stream.Recv()
		if err != nil {
			if ctx.Err() == nil {
				fail(registry.ConnectionLost)
			}
			return
		}
		idle.Reset(time.Duration(c.config.Core.StreamIdleTimeout()) * time.Microsecond)
		if first {
			first = false
			getCtx, cancel := c.withTimeout(ctx)
			stored, err := etcd.Get(getCtx, registry.HistoryKey)
			cancel()
			if err != nil {
				fail(registry.ConnectionLost)
				return
			}
			if len(stored.Kvs) == 0 || registry.HistoryID(stored.Kvs[0].Value) != request.History {
				fail(registry.HistoryChanged)
				return
			}
		}
		header := registry.Header{Cluster: response.Header.ClusterId, Revision: response.Header.Revision}
		if response.Canceled {
			if response.CompactRevision > 0 {
				fail(registry.Compacted)
			} else {
				fail(registry.WatcherDropped)
			}
			return
		}
		changes := make([]registry.Change, len(response.Events))
		for i, event := range response.Events {
			changes[i] = registry.Change{Key: string(event.Kv.Key), Value: event.Kv.Value, Mod: event.Kv.ModRevision, Deleted: event.Type == mvccpb.Event_DELETE}
		}
		fragment, created := response.Fragment, response.Created
		c.enqueue(func() { c.core.HandleWatch(request.Attempt, header, changes, fragment, created) })
	}
}
