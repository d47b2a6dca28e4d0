package tenants

// sync is the synchronisation under way.
type syncState struct {
	op                   Operation
	attempt, endpoint    int
	active, streaming    bool
	startedAt, lastHeard Time
	nextOp               Operation // the step that follows, 0 for none
	removesUnlisted      bool      // what it does not name is gone
	completeBefore       Time      // all that was modified before it was over by the beginning
	firstPageStamp       Time      // the latest stamp of its first page, 0 until that is read
	latestStamp          Time      // the latest that it brought
	toReread             []string
	preferred            int // an endpoint that another one named, -1 for none
	referrals            int
}

const (
	listAgeDivisor  = 2         // a list is due when the view would be older than this part of Longest by the next time
	rereadBatch     = 100       // entries that are read by name in one search
	stampResolution = 1_000_000 // of stamps (RFC 4517 section 3.3.13)
)

// mine tells whether news belongs to the synchronisation under way.
func (c *Core) isCurrent(attempt int) bool { return attempt == c.sync.attempt && c.sync.active }

// Entry takes an entry of a synchronisation. It is fresh as of the synchronisation's beginning while that
// refreshes, and as of now on a stream that lives.
func (c *Core) Entry(attempt int, record Record) {
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	s.lastHeard = c.now
	verifiedAt := s.startedAt
	if s.streaming {
		verifiedAt = c.now
	}
	s.latestStamp = max(s.latestStamp, record.Stamp)
	c.upsert(&record, verifiedAt)
}

// Present tells that entries are still as they were (RFC 4533 section 3.3).
func (c *Core) HandlePresent(attempt int, ids []string) {
	if !c.isCurrent(attempt) {
		return
	}
	c.sync.lastHeard = c.now
	for _, id := range ids {
		if e := c.byID[id]; e != nil {
			e.syncRound, e.verifiedAt = c.syncRound, max(e.verifiedAt, c.sync.startedAt)
			c.restoreName(e)
		}
	}
}

// Unread tells of an entry that is there and cannot be read: it stays as it was, and is not read anew until it is
// modified again.
func (c *Core) HandleUnreadable(attempt int, listed ListedEntry) {
	if !c.isCurrent(attempt) {
		return
	}
	c.HandlePresent(attempt, []string{listed.ID})
	c.sync.latestStamp = max(c.sync.latestStamp, listed.Stamp)
	if e := c.byID[listed.ID]; e != nil {
		e.Stamp = listed.Stamp
		return
	}
	if len(c.unreadable) >= max(c.Waiting, 1) {
		clear(c.unreadable)
	}
	c.unreadable[listed.ID] = listed.Stamp
}

// Seen takes a part of a list. What has another stamp than the view has it with, or none, is read by its name after
// it: polls may have missed it, as a replica may bring changes late, under the stamps of another's clock.
func (c *Core) HandleListed(attempt int, listed []ListedEntry) {
	if !c.isCurrent(attempt) {
		return
	}
	c.sync.lastHeard = c.now
	for _, x := range listed {
		e := c.byID[x.ID]
		switch stamp, unreadable := c.unreadable[x.ID]; {
		case e != nil && x.Stamp != 0 && x.Stamp == e.Stamp:
			e.syncRound = c.syncRound
			c.restoreName(e)
		case e == nil && unreadable && stamp == x.Stamp:
		case e == nil && c.Entries > 0 && len(c.byID) >= c.Entries: // no room: it would be read again at each list
			c.Counts.Overfull++
		default:
			if e != nil {
				e.syncRound = c.syncRound // it is there, whatever it is like
			}
			c.sync.toReread = append(c.sync.toReread, x.ID)
		}
	}
}

// Paged tells that a page has been read. What is modified after the first page was read has its latest stamp or a
// later one, whatever page it is on: the next poll begins there. A later page's stamps tell nothing of that, as what
// had been read by then may have been modified before them.
func (c *Core) HandlePageEnd(attempt int) {
	if s := &c.sync; c.isCurrent(attempt) && s.firstPageStamp == 0 {
		s.firstPageStamp = s.latestStamp
	}
}

// Gone tells that entries are deleted, which the directory says by name: it counts at once.
func (c *Core) Gone(attempt int, ids []string) {
	if !c.isCurrent(attempt) {
		return
	}
	c.sync.lastHeard = c.now
	for _, id := range ids {
		c.remove(id)
	}
}

// Refreshed tells that a synchronisation has brought all that there is. Where it listed what is there (rather
// than what is deleted), what it did not list is gone. With live set the stream goes on with changes.
func (c *Core) Refreshed(attempt int, cookie []byte, removesUnlisted, streaming bool) {
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	s.lastHeard, s.streaming = c.now, streaming
	s.removesUnlisted = removesUnlisted
	c.checkpoint = Mark{End: s.endpoint, Cookie: cookie}
	c.completeSync()
	if s.referrals = 0; !streaming {
		s.active = false
		c.nextSyncAt = s.startedAt + c.Renew
	}
}

// complete makes the view the directory's, as of the synchronisation's beginning.
func (c *Core) completeSync() {
	s := &c.sync
	if s.removesUnlisted {
		for id, e := range c.byID {
			if e.syncRound != c.syncRound {
				c.remove(id)
			}
		}
	}
	c.verifiedAt, c.synced = max(c.verifiedAt, s.startedAt), true
	c.Counts.Whole++
	c.endpoints.succeeded(s.endpoint, c.now, 0)
}

// Done tells that a search has come to its end. What a list found changed is read next; only then is the view the
// directory's.
func (c *Core) HandleSearchEnd(attempt int) {
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	s.lastHeard = c.now
	if c.checkpoint.End != s.endpoint {
		c.checkpoint, c.latestStamp = Mark{End: s.endpoint}, 0
	}
	if s.latestStamp > c.latestStamp {
		c.latestStamp, c.latestStampAt = s.latestStamp, c.now
	}
	if s.op == FullSearch || s.op == Poll {
		c.checkpoint.Stamp = max(c.checkpoint.Stamp, s.completeBefore, s.firstPageStamp)
	}
	s.active = false
	switch {
	case s.op == Poll && s.removesUnlisted: // what is modified under a stamp that a list has seen too, the next poll brings
		s.nextOp = List
		return
	case s.op != Poll && len(s.toReread) > 0:
		s.nextOp = Reread
		return
	case s.op == Poll:
		c.endpoints.succeeded(s.endpoint, c.now, 0)
	default:
		c.completeSync()
	}
	s.referrals = 0
	c.nextSyncAt = s.startedAt + c.Renew
}

// Cookie takes a stream's word on how far it has come.
func (c *Core) HandleCookie(attempt int, cookie []byte) {
	if c.isCurrent(attempt) && c.sync.streaming && len(cookie) > 0 {
		c.checkpoint.Cookie, c.sync.lastHeard = cookie, c.now
	}
}

// Ended takes the end of a synchronisation that did not come to its own. Nothing is deleted for it.
func (c *Core) HandleSyncFailure(attempt int, reason SyncFailure) {
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	s.active, s.nextOp = false, 0
	c.Counts.Broken++
	switch {
	case reason == CookieExpired && len(c.checkpoint.Cookie) > 0: // an answer too: all is asked for next
		c.checkpoint = Mark{End: s.endpoint}
		c.endpoints.succeeded(s.endpoint, c.now, 0)
		c.nextSyncAt = c.now
	case reason == SyncUnsupported && c.endpoints.supportsSync(s.endpoint, c.now):
		c.endpoints.markNoSync(s.endpoint, c.now)
		if c.checkpoint.End != s.endpoint {
			c.checkpoint = Mark{End: s.endpoint}
		}
		c.checkpoint.Cookie = nil
		c.endpoints.succeeded(s.endpoint, c.now, 0)
		c.nextSyncAt = c.now
	default:
		c.endpoints.failed(s.endpoint, c.now)
	}
}

// Referred takes an endpoint's word that another is to be asked (RFC 4511 section 4.1.10): one that the settings
// name, by its number, or less than 0. Elsewhere nobody is asked, as what binds there would be given to strangers.
func (c *Core) HandleReferral(attempt, target int) {
	if pending := c.lookups[attempt]; pending != nil {
		if target < 0 || target >= len(c.endpoints.all) || pending.referrals >= len(c.endpoints.all) {
			c.HandleLookupFailure(attempt)
			return
		}
		c.Counts.Referred++
		c.release(pending)
		c.endpoints.succeeded(pending.endpoint, c.now, c.now-pending.sentAt)
		pending.referrals++
		pending.preferred = target
		c.lookupQueue = append([]*lookup{pending}, c.lookupQueue...)
		return
	}
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	if target < 0 || target >= len(c.endpoints.all) || s.referrals >= len(c.endpoints.all) {
		c.HandleSyncFailure(attempt, Interrupted)
		return
	}
	c.Counts.Referred++
	s.referrals++
	s.active, s.nextOp, s.preferred = false, 0, target
	c.endpoints.succeeded(s.endpoint, c.now, 0)
	c.nextSyncAt = c.now
}

// settleSync emits the next step of synchronising.
func (c *Core) processSync(request func(Want)) Time {
	s := &c.sync
	switch {
	case s.active && !s.streaming && c.now-s.lastHeard > c.Timeout:
		c.HandleSyncFailure(s.attempt, Interrupted)
	case s.active && s.streaming && c.now-s.startedAt >= c.Renew: // it may have gone silent: it is opened anew, from its cookie
		s.active = false
		c.nextSyncAt = c.now
	}
	if !s.active && s.nextOp != 0 {
		c.attempt++
		s.op, s.nextOp, s.attempt, s.active, s.lastHeard = s.nextOp, 0, c.attempt, true, c.now
		want := Want{Act: s.op, Try: c.attempt, Endpoint: s.endpoint}
		if s.op == List {
			c.Counts.Lists++
		} else {
			n := min(len(s.toReread), rereadBatch)
			want.IDs, s.toReread = s.toReread[:n:n], s.toReread[n:]
			c.Counts.Reread += int64(n)
		}
		request(want)
	}
	if !s.active && c.now >= c.nextSyncAt && c.endpoints.available(c.now) {
		preferred := s.preferred
		if preferred < 0 {
			preferred = c.checkpoint.End
		}
		if endpoint, probe := c.endpoints.pick(c.now, preferred); endpoint >= 0 {
			c.startSync(endpoint, probe, request)
		}
	}
	switch {
	case s.active && s.streaming:
		return s.startedAt + c.Renew
	case s.active:
		return s.lastHeard + c.Timeout + 1
	case !c.endpoints.available(c.now):
		return max(c.endpoints.nextProbe(), c.nextSyncAt, c.now+1)
	}
	return max(c.nextSyncAt, c.now+1)
}

// begin asks an endpoint for what it can tell best.
func (c *Core) startSync(endpoint int, probe bool, request func(Want)) {
	s := &c.sync
	c.attempt++
	c.syncRound++
	referrals := s.referrals
	*s = syncState{attempt: c.attempt, endpoint: endpoint, active: true, startedAt: c.now, lastHeard: c.now, preferred: -1, referrals: referrals}
	want := Want{Try: c.attempt, Endpoint: endpoint, Probe: probe}
	known := c.checkpoint.End == endpoint
	if s.completeBefore = c.latestStamp; !known {
		s.completeBefore = 0
	} else if c.latestStamp > 0 && c.now-c.latestStampAt > stampResolution { // nothing more comes under that second
		s.completeBefore += stampResolution
	}
	c.Counts.Syncs++
	switch {
	case c.endpoints.supportsSync(endpoint, c.now):
		if want.Act = Sync; known {
			want.Cookie = c.checkpoint.Cookie
		}
		if len(want.Cookie) == 0 {
			c.Counts.Full++
		}
	case !known || c.checkpoint.Stamp == 0 || !c.synced:
		want.Act, s.removesUnlisted = FullSearch, true
		c.Counts.Full++
	default:
		want.Act, want.Since = Poll, c.checkpoint.Stamp
		s.removesUnlisted = c.now+c.Renew-c.verifiedAt >= c.Longest/listAgeDivisor // by the next time it would be due
		c.Counts.Polls++
	}
	s.op = want.Act
	request(want)
}
