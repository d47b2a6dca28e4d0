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

const batchSize = 256 // entries that are brought in one go

// sync synchronises: from the cookie on, and then what changes, until it ends.
func (c *Client) synchronise(ctx context.Context, w tenants.Want) {
	end := func(why tenants.SyncFailure, err error) {
		if ctx.Err() != nil {
			return
		}
		c.log.Info("the directory did not answer", zap.Stringer("what", w.Act), zap.String("endpoint", c.config.Endpoints[w.Endpoint]), zap.Error(err))
		if to, ok := c.referral(err); ok {
			c.post(func(k *tenants.Core) { k.HandleReferral(w.Try, to) })
			return
		}
		c.post(func(k *tenants.Core) { k.HandleSyncFailure(w.Try, why) })
	}
	if w.Act == tenants.Sync && c.config.Paged {
		end(tenants.SyncUnsupported, errors.New("content synchronisation is not to be tried"))
		return
	}
	x, err := c.dial(w.Endpoint)
	if err != nil {
		end(tenants.Interrupted, err)
		return
	}
	defer x.Close()
	stop := context.AfterFunc(ctx, func() { _ = x.Close() })
	defer stop()
	if w.Act != tenants.Sync {
		if err := c.searchPages(ctx, x, w); err != nil {
			end(tenants.Interrupted, err)
		}
		return
	}
	c.Searches.Add(1)
	x.SetTimeout(0) // a stream may be quiet; the core times it
	r := x.Syncrepl(ctx, c.searchRequest(entryFilter, 0), batchSize, ldap.SyncRequestModeRefreshAndPersist, w.Cookie, false)
	var batch []tenants.Record
	var present, gone []string
	flush := func() {
		if len(batch)+len(present)+len(gone) == 0 {
			return
		}
		b, p, g := batch, present, gone
		batch, present, gone = nil, nil, nil
		c.post(func(k *tenants.Core) {
			for i := range b {
				k.Entry(w.Try, b[i])
			}
			k.HandlePresent(w.Try, p)
			k.Gone(w.Try, g)
		})
	}
	refreshed := false
	for r.Next() {
		if r.Referral() != "" { // a part lies elsewhere: this is not the whole
			end(tenants.Interrupted, fmt.Errorf("a part of %s is said to be at %s", c.config.Base, r.Referral()))
			return
		}
		state := int64(-1)
		id := ""
		var cookie []byte
		for _, k := range r.Controls() {
			switch k := k.(type) {
			case *ldap.ControlSyncState:
				state, id = int64(k.State), k.EntryUUID.String()
				cookie = k.Cookie
			case *ldap.ControlSyncDone:
				cookie = k.Cookie
			case *ldap.ControlSyncInfo:
				var told []byte
				listed, over := false, false
				switch {
				case k.RefreshPresent != nil:
					told, listed, over = k.RefreshPresent.Cookie, true, k.RefreshPresent.RefreshDone
				case k.RefreshDelete != nil:
					told, over = k.RefreshDelete.Cookie, k.RefreshDelete.RefreshDone
				case k.NewCookie != nil:
					cookie = k.NewCookie.Cookie
				case k.SyncIdSet != nil:
					for _, u := range k.SyncIdSet.SyncUUIDs {
						if k.SyncIdSet.RefreshDeletes {
							gone = append(gone, u.String())
						} else {
							present = append(present, u.String())
						}
					}
				}
				if over {
					flush()
					refreshed = true
					t := slices.Clone(told)
					c.post(func(k *tenants.Core) { k.Refreshed(w.Try, t, listed, true) })
				}
			}
		}
		if e := r.Entry(); e != nil {
			switch ldap.ControlSyncStateState(state) {
			case ldap.SyncStateDelete:
				gone = append(gone, id)
			case ldap.SyncStatePresent:
				present = append(present, id)
			default:
				if rec, err := Read(e); err == nil {
					batch = append(batch, rec)
				} else {
					c.reportUnreadable(e, err)
					present = append(present, id) // it stays as it was
				}
			}
		}
		if refreshed || len(batch)+len(present)+len(gone) >= batchSize {
			flush()
			if len(cookie) > 0 {
				t := slices.Clone(cookie)
				c.post(func(k *tenants.Core) { k.HandleCookie(w.Try, t) })
			}
		}
	}
	flush()
	err = r.Err()
	switch {
	case ldap.IsErrorWithCode(err, ldap.LDAPResultUnavailableCriticalExtension):
		end(tenants.SyncUnsupported, err)
	case ldap.IsErrorWithCode(err, ldap.LDAPResultSyncRefreshRequired):
		end(tenants.CookieExpired, err)
	case err == nil:
		end(tenants.Interrupted, errors.New("the stream ended"))
	default:
		end(tenants.Interrupted, err)
	}
}

// filter is what an act searches for.
func requestFilter(w tenants.Want) string {
	switch w.Act {
	case tenants.Poll:
		return "(&" + entryFilter + "(modifyTimestamp>=" + generalizedTime(w.Since) + "))"
	case tenants.Reread:
		var b strings.Builder
		b.WriteString("(&" + entryFilter + "(|")
		for _, id := range w.IDs {
			b.WriteString("(entryUUID=" + ldap.EscapeFilter(id) + ")")
		}
		return b.String() + "))"
	}
	return entryFilter
}

// pages searches by pages. An answer that breaks off says nothing of what it did not bring.
func (c *Client) searchPages(ctx context.Context, x *ldap.Conn, w tenants.Want) error {
	p := ldap.NewControlPaging(max(c.config.PageSize, 1))
	for ctx.Err() == nil {
		r := c.searchRequest(requestFilter(w), 0)
		if r.Controls = []ldap.Control{p}; w.Act == tenants.List {
			r.Attributes = []string{"entryUUID", "modifyTimestamp"}
		}
		c.Searches.Add(1)
		got, err := x.Search(r)
		switch {
		case err != nil:
			return err
		case len(got.Referrals) > 0: // a part lies elsewhere: this is not the whole
			return fmt.Errorf("a part of %s is said to be at %s", c.config.Base, got.Referrals[0])
		}
		next, ok := ldap.FindControl(got.Controls, ldap.ControlTypePaging).(*ldap.ControlPaging)
		if !ok {
			return errors.New("a page without its cookie: it cannot be told whether it was the last")
		}
		c.deliverPage(w, got.Entries)
		if len(next.Cookie) == 0 { // its estimate of the total means nothing
			c.post(func(k *tenants.Core) { k.HandleSearchEnd(w.Try) })
			return nil
		}
		p.SetCookie(next.Cookie)
	}
	return ctx.Err()
}

// page brings the entries of one page.
func (c *Client) deliverPage(w tenants.Want, all []*ldap.Entry) {
	var batch []tenants.Record
	var seen, stay []tenants.ListedEntry
	for _, e := range all {
		if w.Act == tenants.List {
			seen = append(seen, tenants.ListedEntry{ID: entryUUID(e), Stamp: modifyStamp(e)})
			continue
		}
		if rec, err := Read(e); err == nil {
			batch = append(batch, rec)
		} else {
			c.reportUnreadable(e, err)
			stay = append(stay, tenants.ListedEntry{ID: entryUUID(e), Stamp: modifyStamp(e)})
		}
	}
	c.post(func(k *tenants.Core) {
		for i := range batch {
			k.Entry(w.Try, batch[i])
		}
		for _, x := range stay {
			k.HandleUnreadable(w.Try, x)
		}
		k.HandleListed(w.Try, seen)
		k.HandlePageEnd(w.Try)
	})
}
