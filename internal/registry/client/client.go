// Package client carries out what the registry's core wants, by etcd's Go client: lists, watches, and a view
// kept on disk.
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

const prefix = "/pierlink/"

// Place is where the registry is and how it is followed.
type Place struct {
	Endpoints []string
	TLS       *tls.Config // nil for none; GetClientCertificate may read keys anew
	Bounds    registry.Bounds
	Kept      string // file of the last good view; none if empty
}

// Client follows a registry. Its goroutine owns the core.
type Client struct {
	core          *registry.Core
	etcd          []*clientv3.Client // one for each endpoint: a try stays with one of them
	endpointIndex atomic.Int64       // the endpoint that is asked; the next one after a failure
	config        Place
	log           *zap.Logger
	calls         chan func()
	stop          chan struct{}
	done          chan struct{}
	onUpdate      func(registry.News, registry.Mark)
	cancel        context.CancelFunc // of the try under way
	nextSave      time.Time
	dirty         bool
}

// redial has a connection that was lost tried again within a time-out: when to try is the core's to say, and
// the library's own waits come on top of it.
func dialOptions(timeout time.Duration) []grpc.DialOption {
	b := backoff.Config{BaseDelay: timeout / 16, Multiplier: 2, Jitter: 0.2, MaxDelay: timeout / 2}
	return []grpc.DialOption{grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: timeout})}
}

func now() registry.Time { return time.Now().UnixMicro() }

// New begins to follow. news is called for each change of the view, by one goroutine, in order; it is called
// with the view kept on disk first, if there is one.
func New(p Place, log *zap.Logger, news func(registry.News, registry.Mark)) (*Client, error) {
	if len(p.Endpoints) == 0 {
		return nil, errors.New("no endpoint of the registry is given")
	}
	c := &Client{core: registry.New(p.Bounds, now()), config: p, log: log, calls: make(chan func(), 64),
		stop: make(chan struct{}), done: make(chan struct{}), onUpdate: news}
	timeout := time.Duration(p.Bounds.Timeout) * time.Microsecond
	for _, e := range p.Endpoints {
		etcd, err := clientv3.New(clientv3.Config{Endpoints: []string{e}, TLS: p.TLS, Logger: zap.NewNop(), DialTimeout: timeout,
			DialKeepAliveTime: timeout, DialKeepAliveTimeout: timeout, DialOptions: dialOptions(timeout)})
		if err != nil {
			c.closeEndpoints()
			return nil, err
		}
		c.etcd = append(c.etcd, etcd)
	}
	c.endpointIndex.Store(int64(p.Bounds.Seed % uint64(len(p.Endpoints))))
	if p.Kept != "" {
		k, err := Load(p.Kept)
		switch {
		case err == nil:
			c.core.Restore(k.View, k.Head, k.Mark, k.AsOf)
			log.Info("serving the view kept on disk until the registry answers",
				zap.Duration("age", time.Since(time.UnixMicro(k.AsOf))), zap.Int("keys", len(k.View)))
		case !errors.Is(err, ErrNoView):
			log.Warn("the kept view is not used", zap.Error(err))
		}
	}
	go c.run()
	return c, nil
}

// Close ends it; the view is kept.
func (c *Client) Close() {
	close(c.stop)
	<-c.done
	c.closeEndpoints()
}

// Age is how long ago the view was last known to be the registry's; the time since 1970 where nothing ever was.
func (c *Client) Age() (age time.Duration) {
	c.Do(func(k *registry.Core) { age = time.Duration(k.Age()) * time.Microsecond })
	return age
}

// Done is closed once the client has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

func (c *Client) closeEndpoints() {
	for _, e := range c.etcd {
		_ = e.Close()
	}
}

// member is the endpoint whose turn it is.
func (c *Client) endpoint() *clientv3.Client { return c.etcd[int(c.endpointIndex.Load())%len(c.etcd)] }

// fail ends a try; the next one goes to the next endpoint unless this one has answered.
func (c *Client) reportFailure(w registry.Want, why registry.Failure) {
	if why == registry.Lost {
		c.endpointIndex.Add(1)
	}
	c.enqueue(func() { c.core.Ended(w.Try, why) })
}

// Do runs a function with the core, in its goroutine.
func (c *Client) Do(call func(*registry.Core)) {
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
			c.core.At(now())
			call()
		case <-timer.C:
			c.core.At(now())
		}
		next := c.core.Settle(c.perform, func(n registry.News) {
			_, mark := c.core.Revision()
			c.dirty = true
			c.onUpdate(n, mark)
		})
		c.saveView(false)
		timer.Reset(time.Duration(max(next-now(), 0)) * time.Microsecond)
	}
}

// keep writes the view to disk, once in a time-out at most.
func (c *Client) saveView(last bool) {
	if c.config.Kept == "" || !c.dirty || !last && time.Now().Before(c.nextSave) {
		return
	}
	c.dirty = false
	c.nextSave = time.Now().Add(time.Duration(c.config.Bounds.Timeout) * time.Microsecond)
	_, mark := c.core.Revision()
	k := StoredView{View: c.core.View(), Head: c.core.Header(), Mark: mark, AsOf: now() - c.core.Age()}
	if err := k.Save(c.config.Kept); err != nil {
		c.log.Error("the view cannot be kept on disk", zap.String("file", c.config.Kept), zap.Error(err))
	}
}

// say brings something to the core's goroutine, unless the client has ended.
func (c *Client) enqueue(call func()) {
	select {
	case c.calls <- call:
	case <-c.done:
	}
}

// do carries one act out, in a goroutine of its own that ends with the act. What is still under way from the
// one before ends.
func (c *Client) perform(w registry.Want) {
	if c.cancel != nil {
		c.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if w.NextMember {
		c.endpointIndex.Add(1)
		c.log.Warn("a member of the registry has fallen behind the others, the next one is asked")
	}
	if w.Act == registry.List {
		go c.list(ctx, w)
	} else {
		go c.watch(ctx, w)
	}
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(c.config.Bounds.Timeout)*time.Microsecond)
}

// list reads all keys and the mark in one transaction; a registry without a mark is given one.
func (c *Client) list(ctx context.Context, w registry.Want) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	name := make([]byte, 16)
	_, _ = rand.Read(name)
	etcd := c.endpoint()
	_, err := etcd.Txn(ctx).If(clientv3.Compare(clientv3.Version(registry.MarkKey), "=", 0)).
		Then(clientv3.OpPut(registry.MarkKey, hex.EncodeToString(name))).Commit()
	var r *clientv3.TxnResponse
	if err == nil {
		r, err = etcd.Txn(ctx).Then(clientv3.OpGet(prefix, clientv3.WithPrefix())).Commit()
	}
	if err != nil {
		c.log.Info("registry list failed", zap.Error(err))
		c.reportFailure(w, registry.Lost)
		return
	}
	keys, mark := map[string]registry.Entry{}, registry.Mark("")
	for _, kv := range r.Responses[0].GetResponseRange().Kvs {
		keys[string(kv.Key)] = registry.Entry{Value: kv.Value, Mod: kv.ModRevision}
		if string(kv.Key) == registry.MarkKey {
			mark = registry.Mark(kv.Value)
		}
	}
	h := registry.Head{Cluster: r.Header.ClusterId, Revision: r.Header.Revision}
	c.enqueue(func() { c.core.Listed(w.Try, h, mark, keys) })
}

// elsewhere asks one of the other members how far it has come.
func (c *Client) queryOtherMember(ctx context.Context, n int) {
	others := len(c.etcd) - 1
	etcd := c.etcd[(int(c.endpointIndex.Load())+1+n%others)%len(c.etcd)]
	lim, cancel := c.withTimeout(ctx)
	defer cancel()
	if g, err := etcd.Get(lim, registry.MarkKey); err == nil && len(g.Kvs) == 1 {
		h, mark := registry.Head{Cluster: g.Header.ClusterId, Revision: g.Header.Revision}, registry.Mark(g.Kvs[0].Value)
		c.enqueue(func() { c.core.HandleMemberRevision(h, mark) })
	}
}

// watch opens a stream of its own, so that nothing resumes behind the core's back. The history is made sure
// of before, and again once the stream is open: a registry that began anew in between shows then.
func (c *Client) watch(ctx context.Context, w registry.Want) {
	etcd := c.endpoint()
	end := func(why registry.Failure) { c.reportFailure(w, why) }
	timeout := time.Duration(c.config.Bounds.Timeout) * time.Microsecond
	over, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(timeout, cancel) // a member that takes the stream and answers nothing
	defer silent.Stop()
	stream, err := pb.NewWatchClient(etcd.ActiveConnection()).Watch(over)
	if err == nil {
		err = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: &pb.WatchCreateRequest{
			Key: []byte(prefix), RangeEnd: []byte(clientv3.GetPrefixRangeEnd(prefix)), StartRevision: w.From, ProgressNotify: true, Fragment: true}}})
	}
	if err != nil {
		end(registry.Lost)
		return
	}
	go func() { // it is asked how far it has come, or a quiet registry could not be told from one that hangs
		tick := time.NewTicker(timeout)
		defer tick.Stop()
		for n := 0; ; {
			select {
			case <-over.Done():
				return
			case <-tick.C:
				if stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_ProgressRequest{ProgressRequest: &pb.WatchProgressRequest{}}}) != nil {
					return
				}
				if n++; len(c.etcd) > 1 {
					c.queryOtherMember(over, n)
				}
			}
		}
	}()
	first := true
	for {
		r, err := stream.Recv()
		if err != nil {
			if ctx.Err() == nil {
				end(registry.Lost)
			}
			return
		}
		silent.Reset(time.Duration(c.config.Bounds.StreamIdleTimeout()) * time.Microsecond)
		if first {
			first = false
			lim, cancel := c.withTimeout(ctx)
			g, err := etcd.Get(lim, registry.MarkKey)
			cancel()
			if err != nil {
				end(registry.Lost)
				return
			}
			if len(g.Kvs) == 0 || registry.Mark(g.Kvs[0].Value) != w.Mark {
				end(registry.Foreign)
				return
			}
		}
		h := registry.Head{Cluster: r.Header.ClusterId, Revision: r.Header.Revision}
		if r.Canceled {
			if r.CompactRevision > 0 {
				end(registry.Compacted)
			} else {
				end(registry.WatcherDropped)
			}
			return
		}
		changes := make([]registry.Change, len(r.Events))
		for i, e := range r.Events {
			changes[i] = registry.Change{Key: string(e.Kv.Key), Value: e.Kv.Value, Mod: e.Kv.ModRevision, Deleted: e.Type == mvccpb.Event_DELETE}
		}
		fragment, created := r.Fragment, r.Created
		c.enqueue(func() { c.core.Watched(w.Try, h, changes, fragment, created) })
	}
}
