package client_test

import (
	"crypto/tls"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"pierlink/internal/registry"
	"pierlink/internal/registry/client"
	"pierlink/internal/standin/authority"
	standin "pierlink/internal/standin/registry"
)

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	a, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func keyPair(t *testing.T, a *authority.Authority) tls.Certificate {
	t.Helper()
	c, err := a.Pair()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Over TLS on both sides: a client with a key of the authority follows, and its key is asked for anew at each
// connection; one that trusts another authority hears nothing.
func TestTLS(t *testing.T) {
	a := newAuthority(t)
	store := standin.NewStore(1, "h", registry.MarkKey)
	s, err := standin.Serve("127.0.0.1:0", store, grpc.Creds(credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{keyPair(t, a)},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: a.Pool()})))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	box := registry.BoxesPrefix + "a"
	store.Put(map[string][]byte{box: []byte("1")})
	mine := keyPair(t, a)
	var asked atomic.Int32
	place := client.Place{Endpoints: []string{s.Addr()}, Bounds: registry.Bounds{Grace: 200_000, Timeout: 500_000, Held: 100},
		TLS: &tls.Config{RootCAs: a.Pool(), GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			asked.Add(1)
			return &mine, nil
		}}}
	v := &recorder{}
	c, err := client.New(place, zap.NewNop(), v.take)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	v.until(t, "first list", has(box, "1"))
	before := asked.Load()
	s.Cut()
	store.Put(map[string][]byte{box: []byte("2")})
	v.until(t, "after a cut", has(box, "2"))
	if asked.Load() == before {
		t.Error("the key was not asked for anew")
	}
	place.TLS = &tls.Config{RootCAs: newAuthority(t).Pool()}
	w := &recorder{}
	d, err := client.New(place, zap.NewNop(), w.take)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond)
	d.Close()
	if w.n != 0 {
		t.Error("a registry that is not trusted was believed")
	}
}
