package client

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/go-ldap/ldap/v3"
	"go.uber.org/zap"

	"pierlink/internal/tenants"
)

const batchSize = 256 // entries passed to the core at once

// synchronise runs a synchronisation: a content synchronisation, which continues with changes until it is cancelled,
// or a paged search.
func (c *Client) synchronise(ctx context.Context, request tenants.Request) {
	fail := func(reason tenants.SyncFailure, err error) {
		if ctx.Err() != nil {
			return
		}
		c.log.Info("directory request failed", zap.Stringer("what", request.Op), zap.String("endpoint", c.config.Endpoints[request.Endpoint]), zap.Error(err))
		if target, ok := c.referral(err); ok {
			c.post(func(core *tenants.Core) { core.HandleReferral(request.Attempt, target) })
			return
		}
		c.post(func(core *tenants.Core) { core.HandleSyncFailure(request.Attempt, reason) })
	}
	if request.Op == tenants.Sync && c.config.PagedOnly {
		fail(tenants.SyncUnsupported, errors.New("content synchronisation is disabled by the configuration"))
		return
	}
	conn, err := c.dial(request.Endpoint)
	if err != nil {
		fail(tenants.Interrupted, err)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if request.Op != tenants.Sync {
		if err := c.searchPages(ctx, conn, request); err != nil {
			fail(tenants.Interrupted, err)
		}
		return
	}
	c.Searches.Add(1)
	conn.SetTimeout(0) // a stream may be idle; the core enforces its own timeouts
	results := conn.Syncrepl(ctx, c.searchRequest(entryFilter, 0), batchSize, ldap.SyncRequestModeRefreshAndPersist, request.Cookie, false)
	var batch []tenants.Record
	var present, deleted []string
	flush := func() {
		if len(batch)+len(present)+len(deleted) == 0 {
			return
		}
		records, presentIDs, deletedIDs := batch, present, deleted
		batch, present, deleted = nil, nil, nil
		c.post(func(core *tenants.Core) {
			for i := range records {
				core.HandleEntry(request.Attempt, records[i])
			}
			core.HandlePresent(request.Attempt, presentIDs)
			core.HandleDeleted(request.Attempt, deletedIDs)
		})
	}
	refreshed := false
	for results.Next() {
		if results.Referral() != "" { // a part is held by another server, so the result would be incomplete
			fail(tenants.Interrupted, fmt.Errorf("a part of %s is held by another server: referral to %s", c.config.Base, results.Referral()))
			return
		}
		state := int64(-1)
		id := ""
		var cookie []byte
		for _, control := range results.Controls() {
			switch control := control.(type) {
			case *ldap.ControlSyncState:
				state, id = int64(control.State), control.EntryUUID.String()
				cookie = control.Cookie
			case *ldap.ControlSyncDone:
				cookie = control.Cookie
			case *ldap.ControlSyncInfo:
				var refreshCookie []byte
				listed, refreshDone := false, false
				switch {
				case control.RefreshPresent != nil:
					refreshCookie, listed, refreshDone = control.RefreshPresent.Cookie, true, control.RefreshPresent.RefreshDone
				case control.RefreshDelete != nil:
					refreshCookie, refreshDone = control.RefreshDelete.Cookie, control.RefreshDelete.RefreshDone
				case control.NewCookie != nil:
					cookie = control.NewCookie.Cookie
				case control.SyncIdSet != nil:
					for _, uuid := range control.SyncIdSet.SyncUUIDs {
						if control.SyncIdSet.RefreshDeletes {
							deleted = append(deleted, uuid.String())
						} else {
							present = append(present, uuid.String())
						}
					}
				}
				if refreshDone {
					flush()
					refreshed = true
					copied := slices.Clone(refreshCookie)
					c.post(func(core *tenants.Core) { core.HandleRefreshed(request.Attempt, copied, listed, true) })
				}
			}
		}
		if entry := results.Entry(); entry != nil {
			switch ldap.ControlSyncStateState(state) {
			case ldap.SyncStateDelete:
				deleted = append(deleted, id)
			case ldap.SyncStatePresent:
				present = append(present, id)
			default:
				if record, err := Read(entry); err == nil {
					batch = append(batch, record)
				} else {
					c.reportUnreadable(entry, err)
					present = append(present, id) // it keeps its previous state
				}
			}
		}
		if refreshed || len(batch)+len(present)+len(deleted) >= batchSize {
			flush()
			if len(cookie) > 0 {
				copied := slices.Clone(cookie)
				c.post(func(core *tenants.Core) { core.HandleCookie(request.Attempt, copied) })
			}
		}
	}
	flush()
	err = results.Err()
	switch {
	case ldap.IsErrorWithCode(err, ldap.LDAPResultUnavailableCriticalExtension):
		fail(tenants.SyncUnsupported, err)
	case ldap.IsErrorWithCode(err, ldap.LDAPResultSyncRefreshRequired):
		fail(tenants.CookieExpired, err)
	case err == nil:
		fail(tenants.Interrupted, errors.New("the server ended the synchronisation stream"))
	default:
		fail(tenants.Interrupted, err)
	}
}

// requestFilter returns the search filter of a request.
func requestFilter(request tenants.Request) string {
	switch request.Op {
	case tenants.Poll:
		return "(&" + entryFilter + "(modifyTimestamp>=" + generalizedTime(request.Since) + "))"
	case tenants.Reread:
		var text strings.Builder
		text.WriteString("(&" + entryFilter + "(|")
		for _, id := range request.IDs {
			text.WriteString("(entryUUID=" + ldap.EscapeFilter(id) + ")")
		}
		return text.String() + "))"
	}
	return entryFilter
}

// searchPages runs a paged search. If it fails, no conclusion is drawn from entries that are missing.
func (c *Client) searchPages(ctx context.Context, conn *ldap.Conn, request tenants.Request) error {
	paging := ldap.NewControlPaging(max(c.config.PageSize, 1))
	for ctx.Err() == nil {
		search := c.searchRequest(requestFilter(request), 0)
		if search.Controls = []ldap.Control{paging}; request.Op == tenants.List {
			search.Attributes = []string{"entryUUID", "modifyTimestamp"}
		}
		c.Searches.Add(1)
		result, err := conn.Search(search)
		switch {
		case err != nil:
			return err
		case len(result.Referrals) > 0: // a part is held by another server, so the result would be incomplete
			return fmt.Errorf("a part of %s is held by another server: referral to %s", c.config.Base, result.Referrals[0])
		}
		next, ok := ldap.FindControl(result.Controls, ldap.ControlTypePaging).(*ldap.ControlPaging)
		if !ok {
			return errors.New("search result without a paging control: expected one with a cookie")
		}
		c.deliverPage(request, result.Entries)
		if len(next.Cookie) == 0 { // the last page; the control's size estimate is unreliable
			c.post(func(core *tenants.Core) { core.HandleSearchEnd(request.Attempt) })
			return nil
		}
		paging.SetCookie(next.Cookie)
	}
	return ctx.Err()
}

// deliverPage passes the entries of one page to the core.
func (c *Client) deliverPage(request tenants.Request, entries []*ldap.Entry) {
	var batch []tenants.Record
	var listed, unreadable []tenants.ListedEntry
	for _, entry := range entries {
		if request.Op == tenants.List {
			listed = append(listed, tenants.ListedEntry{ID: entryUUID(entry), Stamp: modifyStamp(entry)})
			continue
		}
		if record, err := Read(entry); err == nil {
			batch = append(batch, record)
		} else {
			c.reportUnreadable(entry, err)
			unreadable = append(unreadable, tenants.ListedEntry{ID: entryUUID(entry), Stamp: modifyStamp(entry)})
		}
	}
	c.post(func(core *tenants.Core) {
		for i := range batch {
			core.HandleEntry(request.Attempt, batch[i])
		}
		for _, listedEntry := range unreadable {
			core.HandleUnreadable(request.Attempt, listedEntry)
		}
		core.HandleListed(request.Attempt, listed)
		core.HandlePageEnd(request.Attempt)
	})
}
