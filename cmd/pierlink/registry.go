package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/life"
	"pierlink/internal/registry"
	"pierlink/internal/registry/client"
)

// registrationValue returns the value of this process's registry key, which holds its addresses for players.
func (p *process) registrationValue() []byte {
	state := life.State(p.state.Load())
	entry := registry.Manager{State: state.String()}
	if state == life.Ready {
		entry.Address, entry.TLSAddress = p.playerAddress(), p.secureAddress()
	}
	return entry.Encode()
}

// refreshRegistration requests that the registry key is written again.
func (p *process) refreshRegistration() {
	select {
	case p.registrationChanged <- struct{}{}:
	default:
	}
}

// followRegistry watches the registry. Its TLS key files are read again for each connection.
func (p *process) followRegistry(ctx context.Context) (*client.Client, error) {
	settings, resolve := p.site.Registry, p.resolvePath
	place := client.Config{Endpoints: settings.Endpoints, ViewPath: resolve(settings.Kept),
		Core: registry.Config{Seed: uint64(edge.Now()), GracePeriod: core.Time(settings.Grace), Timeout: core.Time(settings.Timeout), MaxBufferedChanges: 1 << 20}}
	if settings.CA != "" || settings.Cert != "" {
		place.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if settings.CA != "" {
		pem, err := os.ReadFile(resolve(settings.CA))
		if err != nil {
			return nil, err
		}
		place.TLS.RootCAs = x509.NewCertPool()
		if !place.TLS.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("registry.ca: expected a PEM certificate in %s, found none", settings.CA)
		}
	}
	if settings.Cert != "" {
		place.TLS.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(resolve(settings.Cert), resolve(settings.Key))
			return &cert, err
		}
	}
	if settings.Lease == 0 { // the number of fronts and this front's own number stay as in the settings
		return edge.FollowRegistry(place, nil, nil, p.loop, p.front, p.log)
	}
	p.registration.Add(1)
	go func() {
		defer p.registration.Done()
		client.Register(ctx, place, registry.ManagersPrefix+p.site.Name, p.registrationValue, p.registrationChanged, int64(settings.Lease)/int64(core.Second), p.log)
	}()
	return edge.FollowRegistry(place, &registry.ManagerSet{OwnName: p.site.Name, LeaseTime: core.Time(settings.Lease)}, p.refreshRegistration, p.loop, p.front, p.log)
}
