package client

import (
	"context"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
)

// Register writes a key under a lease with a TTL of ttlSeconds and keeps the lease alive until the context ends. The
// lease is then revoked, which deletes the key at once; if the process dies, the key expires with the lease. A lease
// that is lost while the process runs is replaced. value is called each time the key is written: at first, and for
// each receive from rewrite (nil for never).
func Register(ctx context.Context, config Config, key string, value func() []byte, rewrite <-chan struct{}, ttlSeconds int64, log *zap.Logger) {
	timeout := time.Duration(config.Core.Timeout) * time.Microsecond
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
		log.Warn("registration lost; registering again", zap.String("key", key), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(config.Core.ReregisterDelay()) * time.Microsecond):
		}
	}
}

// holdLease writes the key under a new lease and returns when the lease is lost or the context ends.
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
	for open := true; open; { // alive is closed when the lease or the context ends
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
