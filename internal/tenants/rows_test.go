package tenants

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Checks, for random changes of quotas, that the table holds the quota of each tenant at its row and none elsewhere, a
// freed row is not reused too soon, no two tenants share a row, and no tenant lacks one while a row is available.
func TestQuotaRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := QuotaRows{First: 2, Size: 2 + rapid.IntRange(0, 4).Draw(rt, "rows"), ReuseDelay: 10}
		quotas, written := map[string]float64{}, map[int]float64{}
		last := map[int]struct {
			id string
			at Time
		}{}
		for now := Time(1); now < 80; now += Time(rapid.IntRange(1, 5).Draw(rt, "pass")) {
			id, quota := fmt.Sprint("t", rapid.IntRange(0, 6).Draw(rt, "who")), float64(rapid.IntRange(0, 3).Draw(rt, "quota"))
			table.SetQuota(id, quota)
			if quotas[id] = quota; quota == 0 {
				delete(quotas, id)
			}
			if rapid.IntRange(0, 9).Draw(rt, "reload") == 0 {
				clear(written)
				table.Invalidate()
			}
			next := table.Process(now, func(i int, quota float64) {
				if i < table.First || i >= table.Size {
					rt.Fatal("row out of range: ", i)
				}
				written[i] = quota
			})
			seen := map[int]bool{}
			for id, quota := range quotas {
				i := table.Row(id)
				if i == table.Size {
					continue
				}
				if seen[i] || written[i] != quota {
					rt.Fatalf("%s: row %d has %v, want %v, shared %v", id, i, written[i], quota, seen[i])
				}
				seen[i] = true
				if previous := last[i]; previous.id != id && previous.id != "" && now-previous.at < table.ReuseDelay {
					rt.Fatalf("row %d was reassigned from %s to %s after only %d", i, previous.id, id, now-previous.at)
				}
				last[i] = struct {
					id string
					at Time
				}{id, now}
			}
			for i := table.First; i < table.Size; i++ {
				if !seen[i] && written[i] != 0 {
					rt.Fatal("quota without a tenant at row ", i)
				}
			}
			if table.Unassigned() != len(quotas)-len(seen) {
				rt.Fatal(table.Unassigned(), " tenants without a row")
			}
			if table.Unassigned() > 0 && len(seen) < table.Size-table.First && next <= now {
				rt.Fatal("a freed row will become available and no call is scheduled for it")
			}
		}
	})
}
