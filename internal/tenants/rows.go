package tenants

import (
	"maps"
	"slices"
)

// Rows give tenants that have a quota a place in the module's table, which is of fixed size from the start. A row
// belongs to the tenant's entry, whatever its name; one that was given up rests before another tenant has it, as what
// was counted there is of the one before. Where there are more tenants with a quota than rows, the first by their
// entries have them; the others are held to none, which Without tells.
type Rows struct {
	First int  // rows before it are of tenants that the settings name
	Size  int  // of the table, those included
	Rest  Time // that a row given up is left alone

	quotas  map[string]float64 // quotas, by the tenant's entry
	rows    []row
	byID    map[string]int
	written bool // what stands in the table is not known
}

type row struct {
	id      string
	quota   float64
	freedAt Time
}

// Want notes a tenant's quota, 0 for none.
func (r *Rows) Want(id string, quota float64) {
	if r.quotas == nil {
		r.quotas, r.byID, r.rows = map[string]float64{}, map[string]int{}, make([]row, max(r.Size-r.First, 0))
	}
	if r.quotas[id] = quota; quota <= 0 {
		delete(r.quotas, id)
	}
}

// Again has all quotas told anew: the table was written by another hand.
func (r *Rows) Again() { r.written = false }

// Row is a tenant's row, or the table's size for none.
func (r *Rows) Row(id string) int {
	if i, ok := r.byID[id]; ok {
		return r.First + i
	}
	return r.Size
}

// Without is how many tenants have a quota and no row.
func (r *Rows) Without() int { return len(r.quotas) - len(r.byID) }

// Settle tells what changes in the table, and when it wants to be called again: never is 0.
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
