// Package client executes the requests of the tenants core against an LDAP directory with go-ldap: content
// synchronisation (RFC 4533) where an endpoint supports it, paged searches (RFC 2696) otherwise, and lookups.
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

// Config configures a client.
type Config struct {
	Endpoints []string    // host:port; the core is configured with their number
	TLS       *tls.Config // nil for plain TCP
	BindDN    string      // DN to bind as; empty for anonymous access
	Password  Secret
	Base      string // DN of the subtree that is read
	PageSize  uint32 // entries per page
	PagedOnly bool   // never try content synchronisation
	Core      tenants.Config
}

// Secret is a password that is redacted when it is printed, logged or encoded.
type Secret string

const redacted = "(secret)"

// String returns a placeholder.
func (Secret) String() string { return redacted }

// GoString returns a placeholder.
func (Secret) GoString() string { return redacted }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Client executes the requests of a core. Results are passed to post, which must run them in the goroutine that owns
// the core; Do is called from that goroutine.
type Client struct {
	config     Config
	post       func(func(*tenants.Core))
	log        *zap.Logger
	mu         sync.Mutex
	idle       [][]*ldap.Conn     // connections, by endpoint
	cancel     context.CancelFunc // cancels the synchronisation in progress
	closed     bool
	pending    sync.WaitGroup
	Searches   atomic.Int64 // searches sent
	Unreadable atomic.Int64 // entries that could not be decoded
}

// entryFilter matches all entries of tenants and members.
const entryFilter = "(|(objectClass=pierlinkTenant)(objectClass=pierlinkMember))"

// New returns a client. It sends nothing before the first call of Do.
func New(config Config, post func(func(*tenants.Core)), log *zap.Logger) (*Client, error) {
	if len(config.Endpoints) == 0 || config.Base == "" {
		return nil, errors.New("directory configuration: expected an endpoint and a base DN")
	}
	if _, err := ldap.ParseDN(config.Base); err != nil {
		return nil, fmt.Errorf("base %q: %w", config.Base, err)
	}
	return &Client{config: config, post: post, log: log, idle: make([][]*ldap.Conn, len(config.Endpoints))}, nil
}

// Close cancels requests in progress and closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	if c.cancel != nil {
		c.cancel()
	}
	for _, conns := range c.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	clear(c.idle)
	c.mu.Unlock()
	c.pending.Wait()
}

func (c *Client) timeout() time.Duration {
	return time.Duration(c.config.Core.Timeout) * time.Microsecond
}

// dial connects to an endpoint and binds if credentials are configured.
func (c *Client) dial(endpoint int) (*ldap.Conn, error) {
	dialer := &net.Dialer{Timeout: c.timeout()}
	var raw net.Conn
	var err error
	if c.config.TLS != nil {
		raw, err = tls.DialWithDialer(dialer, "tcp", c.config.Endpoints[endpoint], c.config.TLS)
	} else {
		raw, err = dialer.Dial("tcp", c.config.Endpoints[endpoint])
	}
	if err != nil {
		return nil, err
	}
	conn := ldap.NewConn(raw, c.config.TLS != nil)
	conn.Start()
	conn.SetTimeout(c.timeout())
	if c.config.BindDN != "" {
		if err := conn.Bind(c.config.BindDN, string(c.config.Password)); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("bind: %w", err)
		}
	}
	return conn, nil
}

// Do executes a request without waiting for it. A new synchronisation cancels the previous one.
func (c *Client) Do(request tenants.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.pending.Add(1)
	if request.Op == tenants.LookUpMember || request.Op == tenants.LookUpTenant {
		go func() { defer c.pending.Done(); c.lookUp(request) }()
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
		c.synchronise(ctx, request)
	}()
}

func (c *Client) searchRequest(filter string, sizeLimit int) *ldap.SearchRequest {
	return ldap.NewSearchRequest(c.config.Base, ldap.ScopeWholeSubtree, ldap.NeverDerefAliases, sizeLimit, 0, false, filter, []string{"*", "entryUUID", "modifyTimestamp"}, nil)
}

func (c *Client) reportUnreadable(entry *ldap.Entry, err error) {
	c.Unreadable.Add(1)
	c.log.Warn("cannot decode a directory entry; keeping its previous state", zap.String("dn", entry.DN), zap.Error(err))
}

// referral reports whether a result is a referral (RFC 4511 section 4.1.10), and the index of the endpoint that it
// names, less than 0 if that is not configured.
func (c *Client) referral(err error) (endpoint int, ok bool) {
	var ldapErr *ldap.Error
	if !errors.As(err, &ldapErr) || ldapErr.ResultCode != ldap.LDAPResultReferral {
		return 0, false
	}
	if ldapErr.Packet != nil && len(ldapErr.Packet.Children) > 1 && len(ldapErr.Packet.Children[1].Children) > 3 {
		for _, uri := range ldapErr.Packet.Children[1].Children[3].Children {
			target, err := url.Parse(uri.Data.String())
			if err != nil {
				continue
			}
			if i := slices.Index(c.config.Endpoints, target.Host); i >= 0 {
				return i, true
			}
		}
	}
	return -1, true
}

// lookUp searches for one account or tenant, on a pooled connection that is returned to the pool afterwards.
func (c *Client) lookUp(request tenants.Request) {
	fail := func(err error) {
		c.log.Info("directory request failed", zap.Stringer("what", request.Op), zap.String("endpoint", c.config.Endpoints[request.Endpoint]), zap.Error(err))
		if target, ok := c.referral(err); ok {
			c.post(func(core *tenants.Core) { core.HandleReferral(request.Attempt, target) })
			return
		}
		c.post(func(core *tenants.Core) { core.HandleLookupFailure(request.Attempt) })
	}
	c.mu.Lock()
	var conn *ldap.Conn
	if n := len(c.idle[request.Endpoint]); n > 0 {
		conn, c.idle[request.Endpoint] = c.idle[request.Endpoint][n-1], c.idle[request.Endpoint][:n-1]
	}
	c.mu.Unlock()
	if conn == nil || conn.IsClosing() {
		var err error
		if conn, err = c.dial(request.Endpoint); err != nil {
			fail(err)
			return
		}
	}
	filter := "(&(objectClass=pierlinkMember)(uid=" + ldap.EscapeFilter(request.Name) + "))"
	if request.Op == tenants.LookUpTenant {
		filter = "(&(objectClass=pierlinkTenant)(cn=" + ldap.EscapeFilter(request.Name) + "))"
	}
	c.Searches.Add(1)
	result, err := conn.Search(c.searchRequest(filter, 2))
	if err == nil && len(result.Entries) == 0 && len(result.Referrals) > 0 {
		err = fmt.Errorf("a part of %s is held by another server: referral to %s", c.config.Base, result.Referrals[0])
	}
	if err != nil {
		_ = conn.Close()
		fail(err)
		return
	}
	var found *tenants.Record
	for _, entry := range result.Entries {
		record, err := Read(entry)
		if err != nil {
			c.reportUnreadable(entry, err)
		} else if tenants.Fold(record.Name) == request.Name {
			found = &record
		}
	}
	c.mu.Lock()
	if !c.closed && len(c.idle[request.Endpoint]) < max(c.config.Core.MaxLookups, 1) {
		c.idle[request.Endpoint] = append(c.idle[request.Endpoint], conn)
		conn = nil
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	c.post(func(core *tenants.Core) { core.HandleLookup(request.Attempt, found) })
}
