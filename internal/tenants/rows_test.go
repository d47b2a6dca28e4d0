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
		r := Rows{First: 2, Size: 2 + rapid.IntRange(0, 4).Draw(rt, "rows"), Rest: 10}
		want, table := map[string]float64{}, map[int]float64{}
		last := map[int]struct {
			id string
			at Time
		}{}
		for now := Time(1); now < 80; now += Time(rapid.IntRange(1, 5).Draw(rt, "pass")) {
			id, quota := fmt.Sprint("t", rapid.IntRange(0, 6).Draw(rt, "who")), float64(rapid.IntRange(0, 3).Draw(rt, "quota"))
			r.Want(id, quota)
			if want[id] = quota; quota == 0 {
				delete(want, id)
			}
			if rapid.IntRange(0, 9).Draw(rt, "reload") == 0 {
				clear(table)
				r.Again()
			}
			next := r.Settle(now, func(i int, q float64) {
				if i < r.First || i >= r.Size {
					rt.Fatal("row ", i)
				}
				table[i] = q
			})
			seen := map[int]bool{}
			for id, q := range want {
				i := r.Row(id)
				if i == r.Size {
					continue
				}
				if seen[i] || table[i] != q {
					rt.Fatalf("%s: row %d has %v, not %v, shared %v", id, i, table[i], q, seen[i])
				}
				seen[i] = true
				if x := last[i]; x.id != id && x.id != "" && now-x.at < r.Rest {
					rt.Fatalf("row %d went from %s to %s within %d", i, x.id, id, now-x.at)
				}
				last[i] = struct {
					id string
					at Time
				}{id, now}
			}
			for i := r.First; i < r.Size; i++ {
				if !seen[i] && table[i] != 0 {
					rt.Fatal("a quota of nobody at ", i)
				}
			}
			if r.Without() != len(want)-len(seen) {
				rt.Fatal(r.Without(), " without")
			}
			if r.Without() > 0 && len(seen) < r.Size-r.First && next <= now {
				rt.Fatal("a row rests and is not waited for")
			}
		}
	})
}
