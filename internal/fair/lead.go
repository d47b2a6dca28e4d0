package fair

// Lead is the virtual time by which a tenant is ahead of the others: its service divided by its weight. A
// process that restores it after a restart does not give the most over-served tenants their whole share again.
type Lead struct {
	Tenant string  `json:"tenant"`
	Ahead  float64 `json:"ahead"`
}

// Leads returns the tenants that are ahead, in no particular order. Waiting requests are not included, as they
// end with the process.
func (q *Queue) Leads() (leads []Lead) {
	for _, tenant := range q.tenants {
		if tenant.startTag > q.virtualTime {
			leads = append(leads, Lead{tenant.name, tenant.startTag - q.virtualTime})
		}
	}
	return leads
}

// RestoreLeads restores the leads of an earlier process, for tenants without state. Impossible values are skipped, and no
// more entries are restored than the limit on tenants allows.
func (q *Queue) RestoreLeads(leads []Lead) {
	for _, lead := range leads {
		if !(lead.Ahead > 0 && lead.Ahead < 1e12) || q.tenants[lead.Tenant] != nil || len(q.tenants) >= q.config.MaxTenants {
			continue
		}
		tenant := q.lookup(lead.Tenant)
		tenant.startTag = q.virtualTime + lead.Ahead
		q.idle.fix(tenant)
	}
}
