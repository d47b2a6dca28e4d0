package tenants

import "slices"

// lookup is a search for one account, followed by a search for its tenant if that is unknown.
type lookup struct {
	account   string
	tenant    string // name of the tenant being looked up; empty while it is the account
	attempt   int
	endpoint  int // that was asked
	sentAt    Time
	preferred int // endpoint named by a referral, -1 for none
	failures  int // requests without an answer
	referrals int // referrals followed
	queries   []Query
}

// release ends the request in flight of a lookup.
func (c *Core) release(pending *lookup) {
	if c.lookups[pending.attempt] == pending {
		delete(c.lookups, pending.attempt)
		c.endpoints.all[pending.endpoint].inFlight--
	}
}

// HandleLookup handles the answer to a lookup of an account or a tenant: the entry, or nil if there is none. A lookup that
// failed is reported by HandleLookupFailure instead.
func (c *Core) HandleLookup(attempt int, found *Record) {
	pending := c.lookups[attempt]
	if pending == nil {
		return
	}
	c.release(pending)
	c.endpoints.succeeded(pending.endpoint, c.now, c.now-pending.sentAt)
	if found != nil {
		c.upsert(found, pending.sentAt)
	}
	if pending.tenant == "" {
		if found != nil {
			c.byID[found.ID].markLookedUp(pending.sentAt)
			if tenant := Fold(found.Tenant); c.tenants[tenant] == nil {
				pending.tenant, pending.preferred = tenant, pending.endpoint
				c.lookupQueue = append([]*lookup{pending}, c.lookupQueue...)
				return
			}
		} else {
			c.markAbsent(pending)
		}
	}
	delete(c.lookupsByAccount, pending.account)
	for _, query := range pending.queries {
		c.waiting--
		answer, ok := c.decide(&query)
		if !ok {
			answer = Answer{ID: query.ID, Verdict: Unknown}
		}
		c.answers = append(c.answers, answer)
	}
}

// markLookedUp records when an entry was looked up; e is nil if the view had no room for it.
func (e *entry) markLookedUp(at Time) {
	if e != nil {
		e.lookedUpAt = at
	}
}

// markAbsent records in the negative cache that an account does not exist.
func (c *Core) markAbsent(pending *lookup) {
	if e := c.accounts[pending.account]; e != nil && e.verifiedAt < pending.sentAt { // renamed or deleted; a synchronisation will show which
		c.removeName(e)
	}
	if limit := negativeCacheFactor * max(c.MaxWaiting, 1); len(c.absentUntil) >= limit {
		for account, until := range c.absentUntil {
			if until <= c.now {
				delete(c.absentUntil, account)
			}
		}
		for account := range c.absentUntil {
			if len(c.absentUntil) < limit {
				break
			}
			delete(c.absentUntil, account)
		}
	}
	c.absentUntil[pending.account] = c.now + c.NegativeTTL
	c.Counts.Negatives++
}

// HandleLookupFailure handles a lookup that failed. Another endpoint is asked if there is time left; otherwise the
// waiting queries are answered with Busy.
func (c *Core) HandleLookupFailure(attempt int) {
	pending := c.lookups[attempt]
	if pending == nil {
		return
	}
	c.release(pending)
	c.endpoints.failed(pending.endpoint, c.now)
	pending.failures++
	timeLeft := slices.ContainsFunc(pending.queries, func(q Query) bool { return q.Deadline-c.Timeout/answerMarginDivisor > c.now })
	if pending.failures < len(c.endpoints.all) && timeLeft && c.endpoints.available(c.now) {
		c.Counts.Retried++
		pending.preferred = -1
		c.lookupQueue = append([]*lookup{pending}, c.lookupQueue...)
		return
	}
	c.abandon(pending, Busy)
}

// abandon ends a lookup and answers its queries with a verdict.
func (c *Core) abandon(pending *lookup, verdict Verdict) {
	delete(c.lookupsByAccount, pending.account)
	c.lookupQueue = slices.DeleteFunc(c.lookupQueue, func(x *lookup) bool { return x == pending })
	for _, query := range pending.queries {
		c.waiting--
		c.answers = append(c.answers, Answer{ID: query.ID, Verdict: verdict})
	}
	pending.queries = nil
}

// Ask answers the query of a playback: at once if the view suffices, otherwise after a lookup. Queries for the same
// account share one lookup. A query that forces a lookup waits for it whether or not the account is known, so that the
// response time does not reveal which accounts exist.
func (c *Core) Ask(query Query) Answer {
	available := c.endpoints.available(c.now)
	key := Fold(query.Account)
	if answer, ok := c.decide(&query); ok && !query.ForceLookup {
		if answer.Verdict != Stale || !available { // a stale answer is final if no endpoint is available
			return answer
		}
	} else if e := c.accounts[key]; ok && e != nil && e.lookedUpAt > 0 && c.now-e.lookedUpAt <= c.NegativeTTL {
		return answer
	}
	switch until, absent := c.absentUntil[key]; {
	case key == "":
		return Answer{ID: query.ID, Verdict: Unknown}
	case absent && c.now < until:
		c.Counts.Negatives++
		return Answer{ID: query.ID, Verdict: Unknown}
	case !available, c.waiting >= c.MaxWaiting:
		c.Counts.Refused++
		return Answer{ID: query.ID, Verdict: Busy}
	}
	if query.ForceLookup {
		c.Counts.Doubts++
	}
	pending := c.lookupsByAccount[key]
	if pending == nil {
		pending = &lookup{account: key, preferred: -1}
		c.lookupsByAccount[key] = pending
		c.lookupQueue = append(c.lookupQueue, pending)
	} else {
		c.Counts.Joined++
	}
	pending.queries = append(pending.queries, query)
	c.waiting++
	return Answer{ID: query.ID, Verdict: Pending}
}

// processLookups emits due lookups and answers queries whose time has run out.
func (c *Core) processLookups(request func(Request)) Time {
	for len(c.lookupQueue) > 0 {
		pending := c.lookupQueue[0]
		if !c.endpoints.available(c.now) {
			c.abandon(pending, Busy)
			continue
		}
		endpoint, probe := c.endpoints.pick(c.now, pending.preferred)
		if endpoint < 0 {
			break // all have reached their limit of lookups in flight
		}
		c.lookupQueue = c.lookupQueue[1:]
		c.attempt++
		pending.attempt, pending.sentAt, pending.endpoint = c.attempt, c.now, endpoint
		c.lookups[c.attempt] = pending
		c.endpoints.all[endpoint].inFlight++
		want := Request{Op: LookUpMember, Attempt: c.attempt, Endpoint: endpoint, Name: pending.account, Probe: probe}
		if pending.tenant != "" {
			want.Op, want.Name = LookUpTenant, pending.tenant
		}
		c.Counts.Looks++
		request(want)
	}
	next := c.now + c.SyncInterval
	for _, pending := range c.lookups {
		if c.now-pending.sentAt > c.Timeout {
			c.HandleLookupFailure(pending.attempt)
			next = c.now // another endpoint may be asked at once
			continue
		}
		next = min(next, pending.sentAt+c.Timeout+1)
	}
	for _, pending := range c.lookupsByAccount { // no query waits past its deadline
		var remaining []Query
		for _, query := range pending.queries {
			if query.Deadline-c.Timeout/answerMarginDivisor <= c.now {
				c.waiting--
				c.answers = append(c.answers, Answer{ID: query.ID, Verdict: Busy})
				continue
			}
			next = min(next, query.Deadline-c.Timeout/answerMarginDivisor)
			remaining = append(remaining, query)
		}
		pending.queries = remaining
	}
	return next
}
