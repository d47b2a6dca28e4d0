package fair

// Standing is how far ahead of the others a tenant is, by what it was served, over its weight. A process that
// comes back with it does not give those who had most their whole part anew.
type Standing struct {
	Tenant string  `json:"tenant"`
	Ahead  float64 `json:"ahead"`
}

// Standing tells of those tenants that are ahead, in no order. What waits is not of it: it ends with the
// process.
func (q *Queue) Standing() (all []Standing) {
	for _, t := range q.tenants {
		if t.startTag > q.virtualTime {
			all = append(all, Standing{t.name, t.startTag - q.virtualTime})
		}
	}
	return all
}

// Resume takes up the standing of an earlier process, for tenants of which nothing is known yet. Figures that
// no queue can have had are passed over, and at most as many are taken as are remembered.
func (q *Queue) Resume(all []Standing) {
	for _, s := range all {
		if !(s.Ahead > 0 && s.Ahead < 1e12) || q.tenants[s.Tenant] != nil || len(q.tenants) >= q.config.Tenants {
			continue
		}
		t := q.lookup(s.Tenant)
		t.startTag = q.virtualTime + s.Ahead
		q.idle.fix(t)
	}
}
