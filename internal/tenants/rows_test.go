package tenants

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Whatever quotas come and go: the table has each tenant's quota at its row and none elsewhere, a row that was given
// up rests, no two share one, and none is without while there is a row to be had.
func TestQuotaRows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := Rows{First: 2, Size: 2 + rapid.IntRange(0, 4).Draw(rt, "rows"), Rest: 10}
		want, written := map[string]float64{}, map[int]float64{}
		last := map[int]struct {
			id string
			at Time
		}{}
		for now := Time(1); now < 80; now += Time(rapid.IntRange(1, 5).Draw(rt, "pass")) {
			id, quota := fmt.Sprint("t", rapid.IntRange(0, 6).Draw(rt, "who")), float64(rapid.IntRange(0, 3).Draw(rt, "quota"))
			table.Want(id, quota)
			if want[id] = quota; quota == 0 {
				delete(want, id)
			}
			if rapid.IntRange(0, 9).Draw(rt, "reload") == 0 {
				clear(written)
				table.Again()
			}
			next := table.Settle(now, func(i int, q float64) {
				if i < table.First || i >= table.Size {
					rt.Fatal("row ", i)
				}
				written[i] = q
			})
			seen := map[int]bool{}
			for id, q := range want {
				i := table.Row(id)
				if i == table.Size {
					continue
				}
				if seen[i] || written[i] != q {
					rt.Fatalf("%s: row %d has %v, not %v, shared %v", id, i, written[i], q, seen[i])
				}
				seen[i] = true
				if previous := last[i]; previous.id != id && previous.id != "" && now-previous.at < table.Rest {
					rt.Fatalf("row %d went from %s to %s within %d", i, previous.id, id, now-previous.at)
				}
				last[i] = struct {
					id string
					at Time
				}{id, now}
			}
			for i := table.First; i < table.Size; i++ {
				if !seen[i] && written[i] != 0 {
					rt.Fatal("a quota of nobody at ", i)
				}
			}
			if table.Without() != len(want)-len(seen) {
				rt.Fatal(table.Without(), " without")
			}
			if table.Without() > 0 && len(seen) < table.Size-table.First && next <= now {
				rt.Fatal("a row rests and is not waited for")
			}
		}
	})
}
