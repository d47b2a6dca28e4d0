package edge

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Keys are a certificate and its key in two files, read anew when either changes. New handshakes take the new ones;
// connections that stand are untouched.
type Keys struct {
	certFile, keyFile string
	current           atomic.Pointer[tls.Certificate]
}

// ReadKeys reads a pair, which must belong together.
func ReadKeys(cert, key string) (*Keys, error) {
	k := &Keys{certFile: cert, keyFile: key}
	return k, k.Reload()
}

// Again reads the files anew. What does not belong together, or cannot be read, changes nothing.
func (k *Keys) Reload() error {
	c, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return fmt.Errorf("%s with %s: %w", k.certFile, k.keyFile, err)
	}
	if c.Leaf == nil {
		if c.Leaf, err = x509.ParseCertificate(c.Certificate[0]); err != nil {
			return fmt.Errorf("%s: %w", k.certFile, err)
		}
	}
	k.current.Store(&c)
	return nil
}

// Until is when the certificate ends.
func (k *Keys) Until() time.Time { return k.current.Load().Leaf.NotAfter }

// Door is what a door with these keys needs: TLS 1.2 or later.
func (k *Keys) Door() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.current.Load(), nil }}
}

// Follow looks at both files every so often until stop is closed. The two are written one after the other: a pair
// that does not match yet is taken as the second comes.
func (k *Keys) Follow(every time.Duration, stop <-chan struct{}, log *zap.Logger) {
	for _, path := range []string{k.certFile, k.keyFile} {
		go Watch(path, every, stop, func([]byte) {
			if err := k.Reload(); err != nil {
				log.Error("the door's keys are not taken, the old ones are kept", zap.Error(err))
				return
			}
			log.Info("new keys at the door", zap.Time("until", k.Until()))
		}, func(err error) { log.Error("the door's keys cannot be read, the old ones are kept", zap.Error(err)) })
	}
}
