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
func New(config Place, post func(func(*tenants.Core)), log *zap.Logger) (*Client, error) {
	if len(config.Endpoints) == 0 || config.Base == "" {
		return nil, errors.New("an endpoint and a base of the directory are expected")
	}
	if _, err := ldap.ParseDN(config.Base); err != nil {
		return nil, fmt.Errorf("base %q: %w", config.Base, err)
	}
	return &Client{config: config, post: post, log: log, idle: make([][]*ldap.Conn, len(config.Endpoints))}, nil
}

// Close ends what is under way.
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
	return time.Duration(c.config.Terms.Timeout) * time.Microsecond
}

// dial connects to an endpoint and binds there.
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
	if c.config.Bind != "" {
		if err := conn.Bind(c.config.Bind, string(c.config.Password)); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("bind: %w", err)
		}
	}
	return conn, nil
}

// Do carries out one act, without waiting for it.
func (c *Client) Do(request tenants.Want) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.pending.Add(1)
	if request.Act == tenants.Look || request.Act == tenants.LookUpTenant {
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
	c.log.Warn("an entry of the directory cannot be read, it stays as it was", zap.String("dn", entry.DN), zap.Error(err))
}

// referred tells whether an answer names another place to ask (RFC 4511 section 4.1.10), and which endpoint that is:
// less than 0 for one that the settings do not name.
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

// look asks for one account or tenant, on a connection that stays for the next.
func (c *Client) lookUp(request tenants.Want) {
	fail := func(err error) {
		c.log.Info("the directory did not answer", zap.Stringer("what", request.Act), zap.String("endpoint", c.config.Endpoints[request.Endpoint]), zap.Error(err))
		if target, ok := c.referral(err); ok {
			c.post(func(core *tenants.Core) { core.HandleReferral(request.Try, target) })
			return
		}
		c.post(func(core *tenants.Core) { core.HandleLookupFailure(request.Try) })
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
	filter := "(&(objectClass=pierlinkMember)(uid=" + ldap.EscapeFilter(request.Account) + "))"
	if request.Act == tenants.LookUpTenant {
		filter = "(&(objectClass=pierlinkTenant)(cn=" + ldap.EscapeFilter(request.Account) + "))"
	}
	c.Searches.Add(1)
	result, err := conn.Search(c.searchRequest(filter, 2))
	if err == nil && len(result.Entries) == 0 && len(result.Referrals) > 0 {
		err = fmt.Errorf("a part of %s is said to be at %s", c.config.Base, result.Referrals[0])
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
		} else if tenants.Fold(record.Name) == request.Account {
			found = &record
		}
	}
	c.mu.Lock()
	if !c.closed && len(c.idle[request.Endpoint]) < max(c.config.Terms.Lookups, 1) {
		c.idle[request.Endpoint] = append(c.idle[request.Endpoint], conn)
		conn = nil
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	c.post(func(core *tenants.Core) { core.Looked(request.Try, found) })
}
