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
	ca, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func keyPair(t *testing.T, ca *authority.Authority) tls.Certificate {
	t.Helper()
	c, err := ca.IssueKeyPair()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Checks mutual TLS: a client whose key is signed by the authority follows the registry, and its key is requested
// again for each connection; a client that trusts another authority receives no update.
func TestTLS(t *testing.T) {
	ca := newAuthority(t)
	store := standin.NewStore(1, "h", registry.HistoryKey)
	server, err := standin.Serve("127.0.0.1:0", store, grpc.Creds(credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{keyPair(t, ca)},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: ca.Pool()})))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	box := registry.BoxesPrefix + "a"
	store.Put(map[string][]byte{box: []byte("1")})
	clientKey := keyPair(t, ca)
	var asked atomic.Int32
	config := client.Config{Endpoints: []string{server.Addr()}, Core: registry.Config{GracePeriod: 200_000, Timeout: 500_000, MaxBufferedChanges: 100},
		TLS: &tls.Config{RootCAs: ca.Pool(), GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			asked.Add(1)
			return &clientKey, nil
		}}}
	view := &recorder{}
	c, err := client.New(config, zap.NewNop(), view.take)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	view.until(t, "first list", has(box, "1"))
	before := asked.Load()
	server.CloseConnections()
	store.Put(map[string][]byte{box: []byte("2")})
	view.until(t, "a change after a broken connection", has(box, "2"))
	if asked.Load() == before {
		t.Error("the client key was not requested again for the new connection")
	}
	config.TLS = &tls.Config{RootCAs: newAuthority(t).Pool()}
	untrusting := &recorder{}
	other, err := client.New(config, zap.NewNop(), untrusting.take)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond)
	other.Close()
	if untrusting.updates != 0 {
		t.Error("received updates from a registry that is not trusted")
	}
}
