package start

import (
	"strings"
	"testing"
)

const startInfo = `{"balancers":2,"slotNo":1,"locality":1,"later":{"key":[1]},"registryMode":"pushed","weightKind":"rough",
"classes":[{"effect":"read_like","keyScope":"all","promise":1.5,"window":5,"worth":2,"stream":true}],
"domain":{"cabinets":2,"positions":12,"classTop":[3],"lowestRung":[0],"isLive":[true],"rateFactor":[1.4],
"ladderKb":[235,493],"levelWorth":[0.23,1],"kindSlots":[20],"join":0.3,"seenAfter":0.712078},
"limits":{"maxAttempts":3,"maxRetryAfter":0.5,"retryAfter":true},"loadReport":{"names":["inflight","x0"],"source":"piggyback"}}`

func TestSite(t *testing.T) {
	settings, err := Read([]byte(startInfo))
	if err != nil {
		t.Fatal(err)
	}
	site := settings.Site
	if len(settings.LoadNames) != 2 || site.Plans[0].StartupTarget != 1500000 || site.Plans[0].Top != 1 ||
		site.Fleet.NoteDelay != 712078 || site.Terms.RetriesLimited || site.Terms.MaxRetryAfter != 500000 {
		t.Errorf("unexpected settings: %+v", site)
	}
	for _, bad := range []string{"{", "[]", "{}", strings.Replace(startInfo, "read_like", "odd", 1),
		strings.Replace(startInfo, `"rateFactor":[1.4]`, `"rateFactor":[]`, 1),
		strings.Replace(startInfo, `"lowestRung":[0]`, `"lowestRung":[2]`, 1),
		strings.Replace(startInfo, `"lowestRung":[0]`, `"lowestRung":[-1]`, 1),
		strings.Replace(startInfo, `"classTop":[3]`, `"classTop":[-1]`, 1),
		strings.Replace(startInfo, `"later"`, `"kinds":["a","b"],"later"`, 1),
		strings.Replace(startInfo, `"pushed"`, `"carried"`, 1)} {
		if _, err := Read([]byte(bad)); err == nil {
			t.Errorf("Read accepted invalid settings %.40s", bad)
		}
	}
}

func TestLoad(t *testing.T) {
	if l := Load([]string{"inflight", "x0", "x1"}, []float64{7, 0.4, 1.25}); !l.HasLink || l.Link != 0.4 || l.Uplink != 1.25 {
		t.Errorf("unexpected load: %+v", l)
	}
}
