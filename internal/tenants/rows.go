package tenants

import (
	"maps"
	"slices"
)

// QuotaRows assigns tenants that have a quota to rows of the module's table, whose size is fixed at the start. A row
// belongs to the entry of a tenant, whatever its name. A row that was freed is not reused at once, as its counters
// are still those of the previous tenant. If there are more tenants with a quota than rows, rows go to the first by
// entry id; no quota is enforced on the others, and their number is available as a figure.
type QuotaRows struct {
	First      int  // rows before it belong to tenants named in the settings
	Size       int  // of the table, including the rows before First
	ReuseDelay Time // time before a freed row is assigned again

	quotas  map[string]float64 // by entry id of the tenant
	rows    []row
	byID    map[string]int
	written bool // the contents of the table are known
}

type row struct {
	id      string
	quota   float64
	freedAt Time
}

// SetQuota sets the quota of a tenant, 0 for none.
func (r *QuotaRows) SetQuota(id string, quota float64) {
	if r.quotas == nil {
		r.quotas, r.byID, r.rows = map[string]float64{}, map[string]int{}, make([]row, max(r.Size-r.First, 0))
	}
	if r.quotas[id] = quota; quota <= 0 {
		delete(r.quotas, id)
	}
}

// Invalidate causes all quotas to be written again, after something else has written the table.
func (r *QuotaRows) Invalidate() { r.written = false }

// Row returns the row of a tenant, or the size of the table if it has none.
func (r *QuotaRows) Row(id string) int {
	if i, ok := r.byID[id]; ok {
		return r.First + i
	}
	return r.Size
}

// Unassigned returns the number of tenants that have a quota but no row.
func (r *QuotaRows) Unassigned() int { return len(r.quotas) - len(r.byID) }

// Process emits the changes of the table. It returns when it must be called again, 0 for never.
func (r *QuotaRows) Process(now Time, set func(row int, quota float64)) (next Time) {
	for i := range r.rows {
		slot := &r.rows[i]
		quota := r.quotas[slot.id]
		if slot.id != "" && quota == 0 {
			delete(r.byID, slot.id)
			slot.id, slot.freedAt = "", now
		}
		if quota != slot.quota || !r.written {
			slot.quota = quota
			set(r.First+i, quota)
		}
	}
	r.written = true
	if r.Unassigned() == 0 || len(r.byID) == len(r.rows) {
		return 0
	}
	ids := slices.Sorted(maps.Keys(r.quotas))
	nextID := 0
	for i := range r.rows {
		slot := &r.rows[i]
		if slot.id != "" {
			continue
		}
		if slot.freedAt > 0 && now-slot.freedAt < r.ReuseDelay {
			if next == 0 || slot.freedAt+r.ReuseDelay < next {
				next = slot.freedAt + r.ReuseDelay
			}
			continue
		}
		for nextID < len(ids) && r.hasRow(ids[nextID]) {
			nextID++
		}
		if nextID == len(ids) {
			return 0
		}
		slot.id, slot.quota = ids[nextID], r.quotas[ids[nextID]]
		r.byID[slot.id] = i
		set(r.First+i, slot.quota)
	}
	if r.Unassigned() == 0 {
		return 0
	}
	return next
}

func (r *QuotaRows) hasRow(id string) bool {
	_, ok := r.byID[id]
	return ok
}
