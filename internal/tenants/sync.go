package tenants

// syncState is the synchronisation in progress.
type syncState struct {
	op                   Operation
	attempt, endpoint    int
	active, streaming    bool
	startedAt, lastHeard Time
	nextOp               Operation // the next step, 0 for none
	removesUnlisted      bool      // entries that it does not name are deleted
	completeBefore       Time      // all modifications with an earlier stamp were complete when it started
	firstPageStamp       Time      // latest stamp of its first page, 0 until that is read
	latestStamp          Time      // latest stamp received
	toReread             []string
	preferred            int // endpoint named by a referral, -1 for none
	referrals            int
}

const (
	listAgeDivisor  = 2         // a list is due if the view would otherwise be older than the maximum age divided by this at the next sync
	rereadBatch     = 100       // entries that are read by id in one search
	stampResolution = 1_000_000 // microseconds; stamps have whole seconds (RFC 4517 section 3.3.13)
)

// isCurrent reports whether a result belongs to the synchronisation in progress.
func (c *Core) isCurrent(attempt int) bool { return attempt == c.sync.attempt && c.sync.active }

// HandleEntry handles an entry of a synchronisation. It is verified as of the start of the synchronisation during the
// refresh stage, and as of now once the stream delivers changes.
func (c *Core) HandleEntry(attempt int, record Record) {
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

// HandlePresent marks entries as unchanged (RFC 4533 section 3.3).
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

// HandleUnreadable handles an entry that exists but cannot be decoded: it keeps its previous state and is not read
// again until it is modified.
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
	if len(c.unreadable) >= max(c.MaxWaiting, 1) {
		clear(c.unreadable)
	}
	c.unreadable[listed.ID] = listed.Stamp
}

// HandleListed handles a part of a list. Entries whose stamp is missing or differs from the one in the view are read
// afterwards by id: polls may have missed them, as a replica may receive changes late, stamped by another server's
// clock.
func (c *Core) HandleListed(attempt int, listed []ListedEntry) {
	if !c.isCurrent(attempt) {
		return
	}
	c.sync.lastHeard = c.now
	for _, item := range listed {
		e := c.byID[item.ID]
		switch stamp, unreadable := c.unreadable[item.ID]; {
		case e != nil && item.Stamp != 0 && item.Stamp == e.Stamp:
			e.syncRound = c.syncRound
			c.restoreName(e)
		case e == nil && unreadable && stamp == item.Stamp:
		case e == nil && c.MaxEntries > 0 && len(c.byID) >= c.MaxEntries: // the view is full; reading it would be repeated with each list
			c.Counts.Overfull++
		default:
			if e != nil {
				e.syncRound = c.syncRound // it exists, whatever its state
			}
			c.sync.toReread = append(c.sync.toReread, item.ID)
		}
	}
}

// HandlePageEnd records the end of a page. Entries modified after the first page was read have the latest stamp of
// that page or a later one, whatever page they are on, so the next poll starts there. The stamps of later pages do
// not qualify: entries already read may have been modified before them.
func (c *Core) HandlePageEnd(attempt int) {
	if s := &c.sync; c.isCurrent(attempt) && s.firstPageStamp == 0 {
		s.firstPageStamp = s.latestStamp
	}
}

// HandleDeleted handles entries that the directory reports as deleted: they are removed at once.
func (c *Core) HandleDeleted(attempt int, ids []string) {
	if !c.isCurrent(attempt) {
		return
	}
	c.sync.lastHeard = c.now
	for _, id := range ids {
		c.remove(id)
	}
}

// HandleRefreshed handles the end of the refresh stage of a synchronisation. With removesUnlisted set it has listed the
// existing entries (rather than the deleted ones), and all others are removed. With streaming set the stream
// continues with changes.
func (c *Core) HandleRefreshed(attempt int, cookie []byte, removesUnlisted, streaming bool) {
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	s.lastHeard, s.streaming = c.now, streaming
	s.removesUnlisted = removesUnlisted
	c.checkpoint = Checkpoint{End: s.endpoint, Cookie: cookie}
	c.completeSync()
	if s.referrals = 0; !streaming {
		s.active = false
		c.nextSyncAt = s.startedAt + c.SyncInterval
	}
}

// completeSync removes entries that a list did not contain, and marks the view as matching the directory as of the start
// of the synchronisation.
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

// HandleSearchEnd handles the end of a search. Entries that a list found changed are read next; only then does the
// view match the directory.
func (c *Core) HandleSearchEnd(attempt int) {
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	s.lastHeard = c.now
	if c.checkpoint.End != s.endpoint {
		c.checkpoint, c.latestStamp = Checkpoint{End: s.endpoint}, 0
	}
	if s.latestStamp > c.latestStamp {
		c.latestStamp, c.latestStampAt = s.latestStamp, c.now
	}
	if s.op == FullSearch || s.op == Poll {
		c.checkpoint.Stamp = max(c.checkpoint.Stamp, s.completeBefore, s.firstPageStamp)
	}
	s.active = false
	switch {
	case s.op == Poll && s.removesUnlisted: // the next poll fetches what is modified later under a stamp that this list has already seen
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
	c.nextSyncAt = s.startedAt + c.SyncInterval
}

// HandleCookie records the cookie up to which a stream has delivered changes.
func (c *Core) HandleCookie(attempt int, cookie []byte) {
	if c.isCurrent(attempt) && c.sync.streaming && len(cookie) > 0 {
		c.checkpoint.Cookie, c.sync.lastHeard = cookie, c.now
	}
}

// HandleSyncFailure handles a synchronisation that ended early. No entries are removed because of it.
func (c *Core) HandleSyncFailure(attempt int, reason SyncFailure) {
	if !c.isCurrent(attempt) {
		return
	}
	s := &c.sync
	s.active, s.nextOp = false, 0
	c.Counts.Broken++
	switch {
	case reason == CookieExpired && len(c.checkpoint.Cookie) > 0: // counts as an answer; a full synchronisation follows
		c.checkpoint = Checkpoint{End: s.endpoint}
		c.endpoints.succeeded(s.endpoint, c.now, 0)
		c.nextSyncAt = c.now
	case reason == SyncUnsupported && c.endpoints.supportsSync(s.endpoint, c.now):
		c.endpoints.markNoSync(s.endpoint, c.now)
		if c.checkpoint.End != s.endpoint {
			c.checkpoint = Checkpoint{End: s.endpoint}
		}
		c.checkpoint.Cookie = nil
		c.endpoints.succeeded(s.endpoint, c.now, 0)
		c.nextSyncAt = c.now
	default:
		c.endpoints.failed(s.endpoint, c.now)
	}
}

// HandleReferral handles a referral (RFC 4511 section 4.1.10) to a configured endpoint, given by its index, or to
// an unknown server, given as less than 0. Unknown servers are never contacted, as they would receive the bind
// credentials.
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

// processSync emits the next step of the synchronisation.
func (c *Core) processSync(request func(Request)) Time {
	s := &c.sync
	switch {
	case s.active && !s.streaming && c.now-s.lastHeard > c.Timeout:
		c.HandleSyncFailure(s.attempt, Interrupted)
	case s.active && s.streaming && c.now-s.startedAt >= c.SyncInterval: // the stream may have stalled: it is reopened from its cookie
		s.active = false
		c.nextSyncAt = c.now
	}
	if !s.active && s.nextOp != 0 {
		c.attempt++
		s.op, s.nextOp, s.attempt, s.active, s.lastHeard = s.nextOp, 0, c.attempt, true, c.now
		want := Request{Op: s.op, Attempt: c.attempt, Endpoint: s.endpoint}
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
		return s.startedAt + c.SyncInterval
	case s.active:
		return s.lastHeard + c.Timeout + 1
	case !c.endpoints.available(c.now):
		return max(c.endpoints.nextProbe(), c.nextSyncAt, c.now+1)
	}
	return max(c.nextSyncAt, c.now+1)
}

// startSync starts a synchronisation at an endpoint: content synchronisation if it is supported, otherwise a poll, or a
// full search if there is no checkpoint for the endpoint.
func (c *Core) startSync(endpoint int, probe bool, request func(Request)) {
	s := &c.sync
	c.attempt++
	c.syncRound++
	referrals := s.referrals
	*s = syncState{attempt: c.attempt, endpoint: endpoint, active: true, startedAt: c.now, lastHeard: c.now, preferred: -1, referrals: referrals}
	want := Request{Attempt: c.attempt, Endpoint: endpoint, Probe: probe}
	known := c.checkpoint.End == endpoint
	if s.completeBefore = c.latestStamp; !known {
		s.completeBefore = 0
	} else if c.latestStamp > 0 && c.now-c.latestStampAt > stampResolution { // no more entries can get a stamp of that second
		s.completeBefore += stampResolution
	}
	c.Counts.Syncs++
	switch {
	case c.endpoints.supportsSync(endpoint, c.now):
		if want.Op = Sync; known {
			want.Cookie = c.checkpoint.Cookie
		}
		if len(want.Cookie) == 0 {
			c.Counts.Full++
		}
	case !known || c.checkpoint.Stamp == 0 || !c.synced:
		want.Op, s.removesUnlisted = FullSearch, true
		c.Counts.Full++
	default:
		want.Op, want.Since = Poll, c.checkpoint.Stamp
		s.removesUnlisted = c.now+c.SyncInterval-c.verifiedAt >= c.MaxAge/listAgeDivisor // it would be overdue by the next synchronisation
		c.Counts.Polls++
	}
	s.op = want.Op
	request(want)
}
