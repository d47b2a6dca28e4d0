// Package client asks an LDAP directory what the core of tenants wants to know, by go-ldap: content
// synchronisation (RFC 4533) where an endpoint has it, paged searches (RFC 2696) where not, and look-ups.
package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-ldap/ldap/v3"
	"go.uber.org/zap"

	"pierlink/internal/tenants"
)

// Place is where the directory is and what is read there.
type Place struct {
	Endpoints []string // host:port; the core's Terms count them
	TLS       *tls.Config
	Bind      string // DN; anonymous if empty
	Password  Secret
	Base      string
	PageSize  uint32
	Paged     bool // content synchronisation is not tried
	Terms     tenants.Terms
}

// Secret is a password: however it is printed, logged or encoded it does not show.
type Secret string

const redacted = "(secret)"

func (Secret) String() string               { return redacted }
func (Secret) GoString() string             { return redacted }
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Client carries out a core's wants. Do is called in the turns of the core's owner; what comes of it reaches the
// core by post.
type Client struct {
	config     Place
	post       func(func(*tenants.Core))
	log        *zap.Logger
	mu         sync.Mutex
	idle       [][]*ldap.Conn     // by endpoint
	cancel     context.CancelFunc // of the synchronisation under way
	closed     bool
	pending    sync.WaitGroup
	Searches   atomic.Int64 // searches
	Unreadable atomic.Int64 // entries that could not be read
}

const entryFilter = "(|(objectClass=pierlinkTenant)(objectClass=pierlinkMember))"

// New makes a client; nothing is asked before Do.
func New(p Place, post func(func(*tenants.Core)), log *zap.Logger) (*Client, error) {
	if len(p.Endpoints) == 0 || p.Base == "" {
		return nil, errors.New("an endpoint and a base of the directory are expected")
	}
	if _, err := ldap.ParseDN(p.Base); err != nil {
		return nil, fmt.Errorf("base %q: %w", p.Base, err)
	}
	return &Client{config: p, post: post, log: log, idle: make([][]*ldap.Conn, len(p.Endpoints))}, nil
}

// Close ends what is under way.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	for _, all := range c.idle {
		for _, x := range all {
			_ = x.Close()
		}
	}
	clear(c.idle)
	c.mu.Unlock()
	c.pending.Wait()
}

func (c *Client) timeout() time.Duration {
	return time.Duration(c.config.Terms.Timeout) * time.Microsecond
}

// dial connects to an endpoint and binds there.
func (c *Client) dial(end int) (*ldap.Conn, error) {
	d := &net.Dialer{Timeout: c.timeout()}
	var raw net.Conn
	var err error
	if c.config.TLS != nil {
		raw, err = tls.DialWithDialer(d, "tcp", c.config.Endpoints[end], c.config.TLS)
	} else {
		raw, err = d.Dial("tcp", c.config.Endpoints[end])
	}
	if err != nil {
		return nil, err
	}
	x := ldap.NewConn(raw, c.config.TLS != nil)
	x.Start()
	x.SetTimeout(c.timeout())
	if c.config.Bind != "" {
		if err := x.Bind(c.config.Bind, string(c.config.Password)); err != nil {
			_ = x.Close()
			return nil, fmt.Errorf("bind: %w", err)
		}
	}
	return x, nil
}

// Do carries out one act, without waiting for it.
func (c *Client) Do(w tenants.Want) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.pending.Add(1)
	if w.Act == tenants.Look || w.Act == tenants.LookUpTenant {
		go func() { defer c.pending.Done(); c.lookUp(w) }()
		return
	}
	if c.cancel != nil {
		c.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() {
		defer c.pending.Done()
		defer cancel()
		c.synchronise(ctx, w)
	}()
}

func (c *Client) searchRequest(f string, size int) *ldap.SearchRequest {
	return ldap.NewSearchRequest(c.config.Base, ldap.ScopeWholeSubtree, ldap.NeverDerefAliases, size, 0, false, f, []string{"*", "entryUUID", "modifyTimestamp"}, nil)
}

func (c *Client) reportUnreadable(e *ldap.Entry, err error) {
	c.Unreadable.Add(1)
	c.log.Warn("an entry of the directory cannot be read, it stays as it was", zap.String("dn", e.DN), zap.Error(err))
}

// referred tells whether an answer names another place to ask (RFC 4511 section 4.1.10), and which endpoint that is:
// less than 0 for one that the settings do not name.
func (c *Client) referral(err error) (end int, ok bool) {
	var e *ldap.Error
	if !errors.As(err, &e) || e.ResultCode != ldap.LDAPResultReferral {
		return 0, false
	}
	if e.Packet != nil && len(e.Packet.Children) > 1 && len(e.Packet.Children[1].Children) > 3 {
		for _, p := range e.Packet.Children[1].Children[3].Children {
			u, err := url.Parse(p.Data.String())
			if err != nil {
				continue
			}
			if i := slices.Index(c.config.Endpoints, u.Host); i >= 0 {
				return i, true
			}
		}
	}
	return -1, true
}

// look asks for one account or tenant, on a connection that stays for the next.
func (c *Client) lookUp(w tenants.Want) {
	fail := func(err error) {
		c.log.Info("the directory did not answer", zap.Stringer("what", w.Act), zap.String("endpoint", c.config.Endpoints[w.Endpoint]), zap.Error(err))
		if to, ok := c.referral(err); ok {
			c.post(func(k *tenants.Core) { k.HandleReferral(w.Try, to) })
			return
		}
		c.post(func(k *tenants.Core) { k.HandleLookupFailure(w.Try) })
	}
	c.mu.Lock()
	var x *ldap.Conn
	if n := len(c.idle[w.Endpoint]); n > 0 {
		x, c.idle[w.Endpoint] = c.idle[w.Endpoint][n-1], c.idle[w.Endpoint][:n-1]
	}
	c.mu.Unlock()
	if x == nil || x.IsClosing() {
		var err error
		if x, err = c.dial(w.Endpoint); err != nil {
			fail(err)
			return
		}
	}
	f := "(&(objectClass=pierlinkMember)(uid=" + ldap.EscapeFilter(w.Account) + "))"
	if w.Act == tenants.LookUpTenant {
		f = "(&(objectClass=pierlinkTenant)(cn=" + ldap.EscapeFilter(w.Account) + "))"
	}
	c.Searches.Add(1)
	got, err := x.Search(c.searchRequest(f, 2))
	if err == nil && len(got.Entries) == 0 && len(got.Referrals) > 0 {
		err = fmt.Errorf("a part of %s is said to be at %s", c.config.Base, got.Referrals[0])
	}
	if err != nil {
		_ = x.Close()
		fail(err)
		return
	}
	var found *tenants.Record
	for _, e := range got.Entries {
		r, err := Read(e)
		if err != nil {
			c.reportUnreadable(e, err)
		} else if tenants.Fold(r.Name) == w.Account {
			found = &r
		}
	}
	c.mu.Lock()
	if !c.closed && len(c.idle[w.Endpoint]) < max(c.config.Terms.Lookups, 1) {
		c.idle[w.Endpoint] = append(c.idle[w.Endpoint], x)
		x = nil
	}
	c.mu.Unlock()
	if x != nil {
		_ = x.Close()
	}
	c.post(func(k *tenants.Core) { k.Looked(w.Try, found) })
}
