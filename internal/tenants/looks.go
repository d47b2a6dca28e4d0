package tenants

import "slices"

// look is one look-up: first of an account, then of its tenant if that is not known.
type lookup struct {
	account   string
	tenant    string // being looked up
	attempt   int
	endpoint  int // the endpoint asked
	sentAt    Time
	preferred int // an endpoint that another one named, -1 for none
	failures  int // endpoints that gave no answer
	referrals int
	queries   []Question
}

// release gives back the place that a look-up has at its endpoint.
func (c *Core) release(l *lookup) {
	if c.lookups[l.attempt] == l {
		delete(c.lookups, l.attempt)
		c.endpoints.all[l.endpoint].inFlight--
	}
}

// Looked takes the answer to a look-up of an account or a tenant: the entry, or none. Failed look-ups come by
// Unlooked.
func (c *Core) Looked(try int, found *Record) {
	l := c.lookups[try]
	if l == nil {
		return
	}
	c.release(l)
	c.endpoints.succeeded(l.endpoint, c.now, c.now-l.sentAt)
	if found != nil {
		c.upsert(found, l.sentAt)
	}
	if l.tenant == "" {
		if found != nil {
			c.byID[found.ID].markLookedUp(l.sentAt)
			if t := Fold(found.Tenant); c.tenants[t] == nil {
				l.tenant, l.preferred = t, l.endpoint
				c.lookupQueue = append([]*lookup{l}, c.lookupQueue...)
				return
			}
		} else {
			c.markAbsent(l)
		}
	}
	delete(c.lookupsByAccount, l.account)
	for _, q := range l.queries {
		c.waiting--
		v, ok := c.decide(&q)
		if !ok {
			v = Answer{ID: q.ID, Verdict: Unknown}
		}
		c.answers = append(c.answers, v)
	}
}

// lookedUp notes a look-up of its own; an entry for which there was no room has none.
func (e *entry) markLookedUp(at Time) {
	if e != nil {
		e.lookedUpAt = at
	}
}

// absent notes that an account is not there.
func (c *Core) markAbsent(l *lookup) {
	if e := c.accounts[l.account]; e != nil && e.verifiedAt < l.sentAt { // not under this name any more; a synchronisation tells what became of it
		c.removeName(e)
	}
	if most := negativeCacheFactor * max(c.Waiting, 1); len(c.absentUntil) >= most {
		for k, until := range c.absentUntil {
			if until <= c.now {
				delete(c.absentUntil, k)
			}
		}
		for k := range c.absentUntil {
			if len(c.absentUntil) < most {
				break
			}
			delete(c.absentUntil, k)
		}
	}
	c.absentUntil[l.account] = c.now + c.Negative
	c.Counts.Negatives++
}

// Unlooked takes the failure of a look-up. Another endpoint is asked while there is time for it; otherwise those who
// wait come again.
func (c *Core) HandleLookupFailure(try int) {
	l := c.lookups[try]
	if l == nil {
		return
	}
	c.release(l)
	c.endpoints.failed(l.endpoint, c.now)
	l.failures++
	time := slices.ContainsFunc(l.queries, func(q Question) bool { return q.Until-c.Timeout/answerMarginDivisor > c.now })
	if l.failures < len(c.endpoints.all) && time && c.endpoints.available(c.now) {
		c.Counts.Retried++
		l.preferred = -1
		c.lookupQueue = append([]*lookup{l}, c.lookupQueue...)
		return
	}
	c.abandon(l, Busy)
}

func (c *Core) abandon(l *lookup, v Verdict) {
	delete(c.lookupsByAccount, l.account)
	c.lookupQueue = slices.DeleteFunc(c.lookupQueue, func(x *lookup) bool { return x == l })
	for _, q := range l.queries {
		c.waiting--
		c.answers = append(c.answers, Answer{ID: q.ID, Verdict: v})
	}
	l.queries = nil
}

// Ask answers a playback's question: at once where something is known, or by Settle after a look-up. Many that
// ask for one account wait for one look-up. Whoever doubts waits for one too, so that an account that is there and
// one that is not take as long.
func (c *Core) Ask(q Question) Answer {
	can := c.endpoints.available(c.now)
	key := Fold(q.Account)
	if a, ok := c.decide(&q); ok && !q.Doubt {
		if a.Verdict != Stale || !can { // too old, and nobody can be asked
			return a
		}
	} else if e := c.accounts[key]; ok && e != nil && e.lookedUpAt > 0 && c.now-e.lookedUpAt <= c.Negative {
		return a
	}
	switch until, none := c.absentUntil[key]; {
	case key == "":
		return Answer{ID: q.ID, Verdict: Unknown}
	case none && c.now < until:
		c.Counts.Negatives++
		return Answer{ID: q.ID, Verdict: Unknown}
	case !can, c.waiting >= c.Waiting:
		c.Counts.Refused++
		return Answer{ID: q.ID, Verdict: Busy}
	}
	if q.Doubt {
		c.Counts.Doubts++
	}
	l := c.lookupsByAccount[key]
	if l == nil {
		l = &lookup{account: key, preferred: -1}
		c.lookupsByAccount[key] = l
		c.lookupQueue = append(c.lookupQueue, l)
	} else {
		c.Counts.Joined++
	}
	l.queries = append(l.queries, q)
	c.waiting++
	return Answer{ID: q.ID, Verdict: Wait}
}

// settleLooks emits look-ups, and answers for whom there is no time left.
func (c *Core) processLookups(do func(Want)) Time {
	for len(c.lookupQueue) > 0 {
		l := c.lookupQueue[0]
		if !c.endpoints.available(c.now) {
			c.abandon(l, Busy)
			continue
		}
		at, trial := c.endpoints.pick(c.now, l.preferred)
		if at < 0 {
			break // all have as much out as they may
		}
		c.lookupQueue = c.lookupQueue[1:]
		c.attempt++
		l.attempt, l.sentAt, l.endpoint = c.attempt, c.now, at
		c.lookups[c.attempt] = l
		c.endpoints.all[at].inFlight++
		w := Want{Act: Look, Try: c.attempt, Endpoint: at, Account: l.account, Probe: trial}
		if l.tenant != "" {
			w.Act, w.Account = LookUpTenant, l.tenant
		}
		c.Counts.Looks++
		do(w)
	}
	next := c.now + c.Renew
	for _, l := range c.lookups {
		if c.now-l.sentAt > c.Timeout {
			c.HandleLookupFailure(l.attempt)
			next = c.now // another endpoint may be asked
			continue
		}
		next = min(next, l.sentAt+c.Timeout+1)
	}
	for _, l := range c.lookupsByAccount { // none waits past its time
		var rest []Question
		for _, q := range l.queries {
			if q.Until-c.Timeout/answerMarginDivisor <= c.now {
				c.waiting--
				c.answers = append(c.answers, Answer{ID: q.ID, Verdict: Busy})
				continue
			}
			next = min(next, q.Until-c.Timeout/answerMarginDivisor)
			rest = append(rest, q)
		}
		l.queries = rest
	}
	return next
}
