package tenants

import (
	"maps"
	"slices"
)

// Rows assigns tenants that have a quota to rows of the module's table, whose size is fixed at the start. A row
// belongs to the entry of a tenant, whatever its name. A row that was freed is not reused at once, as its counters
// are still those of the previous tenant. If there are more tenants with a quota than rows, rows go to the first by
// entry id; no quota is enforced on the others, and their number is available as a figure.
type Rows struct {
	First int  // rows before it belong to tenants named in the settings
	Size  int  // of the table, including the rows before First
	Rest  Time // time before a freed row is assigned again

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

// Want sets the quota of a tenant, 0 for none.
func (r *Rows) Want(id string, quota float64) {
	if r.quotas == nil {
		r.quotas, r.byID, r.rows = map[string]float64{}, map[string]int{}, make([]row, max(r.Size-r.First, 0))
	}
	if r.quotas[id] = quota; quota <= 0 {
		delete(r.quotas, id)
	}
}

// Again causes all quotas to be written again, after something else has written the table.
func (r *Rows) Again() { r.written = false }

// Row returns the row of a tenant, or the size of the table if it has none.
func (r *Rows) Row(id string) int {
	if i, ok := r.byID[id]; ok {
		return r.First + i
	}
	return r.Size
}

// Without returns the number of tenants that have a quota but no row.
func (r *Rows) Without() int { return len(r.quotas) - len(r.byID) }

// Settle emits the changes of the table. It returns when it must be called again, 0 for never.
func (r *Rows) Settle(now Time, set func(row int, quota float64)) (next Time) {
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
	if r.Without() == 0 || len(r.byID) == len(r.rows) {
		return 0
	}
	ids := slices.Sorted(maps.Keys(r.quotas))
	nextID := 0
	for i := range r.rows {
		slot := &r.rows[i]
		if slot.id != "" {
			continue
		}
		if slot.freedAt > 0 && now-slot.freedAt < r.Rest {
			if next == 0 || slot.freedAt+r.Rest < next {
				next = slot.freedAt + r.Rest
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
	if r.Without() == 0 {
		return 0
	}
	return next
}

func (r *Rows) hasRow(id string) bool {
	_, ok := r.byID[id]
	return ok
}
