package client

import (
	"context"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
)

// Register writes a key under a lease of so many seconds and keeps it alive until the context ends; the key
// then goes at once, and without a word when the process dies. A lease that is lost while the process lives
// is taken anew. value is asked each time the key is written: at first, and when something comes on again (nil
// for never).
func Register(ctx context.Context, config Place, key string, value func() []byte, rewrite <-chan struct{}, ttlSeconds int64, log *zap.Logger) {
	timeout := time.Duration(config.Bounds.Timeout) * time.Microsecond
	for attempt := 0; ctx.Err() == nil; attempt++ {
		etcd, err := clientv3.New(clientv3.Config{Endpoints: []string{config.Endpoints[attempt%len(config.Endpoints)]}, TLS: config.TLS, Logger: zap.NewNop(),
			DialTimeout: timeout, DialKeepAliveTime: timeout, DialKeepAliveTimeout: timeout, DialOptions: dialOptions(timeout)})
		if err == nil {
			err = holdLease(ctx, etcd, key, value, rewrite, ttlSeconds, timeout)
			_ = etcd.Close()
		}
		if ctx.Err() != nil {
			return
		}
		log.Warn("registration lost, it is taken anew", zap.String("key", key), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(config.Bounds.ReregisterDelay()) * time.Microsecond):
		}
	}
}

// hold writes the key and returns when its lease is lost.
func holdLease(ctx context.Context, etcd *clientv3.Client, key string, value func() []byte, rewrite <-chan struct{}, ttlSeconds int64, timeout time.Duration) error {
	writeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lease, err := etcd.Grant(writeCtx, ttlSeconds)
	if err != nil {
		return err
	}
	if _, err := etcd.Put(writeCtx, key, string(value()), clientv3.WithLease(lease.ID)); err != nil {
		return err
	}
	alive, err := etcd.KeepAlive(ctx, lease.ID)
	if err != nil {
		return err
	}
	for open := true; open; { // ends when the lease does, or the context
		select {
		case _, open = <-alive:
		case <-rewrite:
			writeCtx, cancel := context.WithTimeout(ctx, timeout)
			_, err := etcd.Put(writeCtx, key, string(value()), clientv3.WithLease(lease.ID))
			cancel()
			if err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
	if ctx.Err() != nil {
		revokeCtx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err = etcd.Revoke(revokeCtx, lease.ID)
	}
	return err
}
