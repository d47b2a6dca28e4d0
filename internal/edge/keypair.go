package edge

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// KeyPair is a TLS certificate and its private key in two files, reloaded when either file changes. New handshakes use the
// new pair; open connections are not affected.
type KeyPair struct {
	certFile, keyFile string
	loaded            [2]FileVersion // of the two files when they were loaded first
	current           atomic.Pointer[tls.Certificate]
}

// LoadKeyPair loads a certificate and its private key, which have to match.
func LoadKeyPair(certFile, keyFile string) (*KeyPair, error) {
	k := &KeyPair{certFile: certFile, keyFile: keyFile, loaded: [2]FileVersion{VersionOf(certFile), VersionOf(keyFile)}}
	return k, k.Reload()
}

// Reload reads both files again. If they cannot be read or do not match, it returns an error and the old pair stays in use.
func (k *KeyPair) Reload() error {
	pair, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return fmt.Errorf("%s with %s: %w", k.certFile, k.keyFile, err)
	}
	if pair.Leaf == nil {
		if pair.Leaf, err = x509.ParseCertificate(pair.Certificate[0]); err != nil {
			return fmt.Errorf("%s: %w", k.certFile, err)
		}
	}
	k.current.Store(&pair)
	return nil
}

// NotAfter returns when the certificate expires.
func (k *KeyPair) NotAfter() time.Time { return k.current.Load().Leaf.NotAfter }

// TLSConfig returns the configuration of a listener with this pair: TLS 1.2 or later.
func (k *KeyPair) TLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.current.Load(), nil }}
}

// Watch polls both files at the given interval until stop is closed, and reloads the pair on a change. The files are
// written one after the other: a pair that does not match yet is loaded when the second file changes.
func (k *KeyPair) Watch(interval time.Duration, stop <-chan struct{}, logger *zap.Logger) {
	for i, path := range []string{k.certFile, k.keyFile} {
		go WatchFile(path, k.loaded[i], interval, stop, func([]byte) {
			if err := k.Reload(); err != nil {
				logger.Error("TLS certificate and key not reloaded, the old pair stays in use", zap.Error(err))
				return
			}
			logger.Info("TLS certificate and key reloaded", zap.Time("until", k.NotAfter()))
		}, func(err error) {
			logger.Error("TLS certificate or key cannot be read, the old pair stays in use", zap.Error(err))
		})
	}
}
