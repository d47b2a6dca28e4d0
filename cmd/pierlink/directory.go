package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/front"
	"pierlink/internal/kept"
	"pierlink/internal/tenants"
	"pierlink/internal/tenants/client"
)

const (
	directoryViewKind = "directory view 2"
	entriesPerTurn    = 2000 // entries copied per turn when the view is saved
)

// authorizer connects the front to the directory that authorizes players.
type authorizer struct {
	core      *tenants.Core
	client    *client.Client
	sealKey   []byte // seals the saved view
	viewPath  string
	loop      edge.DeferredLoop // the front's loop, on which the core runs
	savedAsOf core.Time         // AsOf of the view saved last
}

// post runs an action on the core, in a turn of the front.
func (a *authorizer) post(action func(*tenants.Core)) {
	a.loop.Post(func() { action(a.core) })
}

// savedView is the view of the directory as it is saved to disk, sealed.
type savedView struct {
	Records []tenants.Record
	Mark    tenants.Checkpoint
	End     string // endpoint to which the mark belongs
	AsOf    core.Time
}

// openDirectory sets up the authorization of players by the directory.
func (p *process) openDirectory(service *front.Config) error {
	settings := p.site.Directory
	place := client.Config{Endpoints: settings.Endpoints, Base: settings.Base, BindDN: settings.Bind, PageSize: uint32(settings.Page), Core: tenants.Config{
		Seed: uint64(edge.Now()), MaxAge: core.Time(settings.Longest), SyncInterval: core.Time(settings.Renew), Timeout: core.Time(settings.Timeout),
		NegativeTTL: core.Time(settings.Negative), MaxWaiting: settings.Waiting, MaxLookups: settings.Lookups, MaxEntries: settings.Entries, Endpoints: len(settings.Endpoints), AdmitStale: settings.Stale == "admit"}}
	if settings.PasswordFile != "" {
		text, err := os.ReadFile(p.resolvePath(settings.PasswordFile))
		if err != nil {
			return fmt.Errorf("directory.password_file: %w", err)
		}
		place.Password = client.Secret(bytes.TrimSpace(text))
	}
	if settings.CA != "" {
		pem, err := os.ReadFile(p.resolvePath(settings.CA))
		if err != nil {
			return fmt.Errorf("directory.ca: %w", err)
		}
		place.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}
		if !place.TLS.RootCAs.AppendCertsFromPEM(pem) {
			return fmt.Errorf("directory.ca: %s holds no certificate", settings.CA)
		}
	}
	auth := &authorizer{core: tenants.New(place.Core, edge.Now()), viewPath: p.resolvePath(settings.Kept)}
	if settings.Kept != "" {
		key, err := os.ReadFile(p.resolvePath(settings.Key))
		if err != nil {
			return fmt.Errorf("directory.key_file: %w", err)
		}
		auth.sealKey = bytes.TrimSpace(key)
		var view savedView
		switch err := kept.LoadSealed(auth.viewPath, directoryViewKind, auth.sealKey, &view); {
		case errors.Is(err, kept.ErrNotFound):
		case err != nil:
			p.log.Warn("loading the saved view of the directory failed; starting without it", zap.Error(err))
		default:
			view.Mark.End = slices.Index(settings.Endpoints, view.End)
			auth.core.Restore(view.Records, view.Mark, view.AsOf)
			p.log.Info("serving the saved view of the directory until the directory answers", zap.Int("entries", len(view.Records)),
				zap.Duration("age", time.Duration(edge.Now()-view.AsOf)*time.Microsecond))
		}
	}
	var err error
	if auth.client, err = client.New(place, auth.post, p.log); err != nil {
		return err
	}
	p.authorizer = auth
	service.Access = &front.AccessControl{Core: auth.core, Lookup: auth.client.Do, Realm: settings.Realm, Basic: p.site.TLS != nil && p.site.TLS.AllowBasic, FailedLogins: tenants.FailureLimiter{HalfLife: core.Time(settings.Longest), Seed: uint32(place.Core.Seed)}}
	return nil
}

// saveDirectoryView saves the view if, since the last save, the directory has confirmed it for half of its maximum age.
func (p *process) saveDirectoryView() {
	auth := p.authorizer
	if auth == nil || auth.viewPath == "" {
		return
	}
	var view savedView
	p.loop.Do(func() {
		if mark, asOf := auth.core.Checkpoint(); asOf-auth.savedAsOf >= core.Time(p.site.Directory.Longest)/2 {
			if view.Mark, view.AsOf = mark, asOf; mark.End >= 0 {
				view.End = p.site.Directory.Endpoints[mark.End]
			}
		}
	})
	if view.AsOf == 0 {
		return
	}
	next := 1 << 62
	for next >= 0 { // in batches, so that no turn takes long
		p.loop.Do(func() {
			var batch []tenants.Record
			batch, next = auth.core.Chunk(next, entriesPerTurn)
			view.Records = append(view.Records, batch...)
		})
	}
	auth.savedAsOf = view.AsOf
	if err := kept.SaveSealed(auth.viewPath, directoryViewKind, auth.sealKey, view); err != nil {
		p.log.Error("saving the view of the directory failed", zap.Error(err))
	}
}

func (p *process) closeDirectory() { p.authorizer.client.Close() }
