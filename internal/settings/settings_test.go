package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pierlink/session"
)

const sample = "../../deploy/pierlink.toml"

func TestSampleFile(t *testing.T) {
	config, err := Read(sample)
	if err != nil {
		t.Fatal(err)
	}
	service := config.FrontConfig(nil)
	if len(service.Plans) != len(service.Site.Plans) || service.Site.Plans[0].StartupTarget != 1_500_000 || service.Site.Zone != 0 || service.Site.Fleet.MaxStreams[0] != 100 {
		t.Errorf("unexpected configuration of the sample file: %+v", service)
	}
	list, err := ReadServerList("../../deploy/servers.toml", config)
	if err != nil || len(list.Servers) != 2 || !list.Complete {
		t.Error(err, list)
	}
}

// Every error is reported with the path of its key and what is expected, and all errors of a file at once.
func TestInvalidSettings(t *testing.T) {
	text, err := os.ReadFile(sample)
	if err != nil {
		t.Fatal(err)
	}
	for changes, want := range map[string]string{
		"front = 0 |front = 7 ":                                "front: less than fronts",
		"\"harmless\"\nstartup|\"maybe\"\nstartup":             "plan[0].repeat: one of harmless, keyed, unsafe",
		"abandon = \"4s\"|abandon = \"1s\"":                    "plan[0].abandon: more than startup",
		"startup = \"800ms\"|startup = \"soon\"":               "a duration such as 1.5s or 800ms is expected",
		"places = 100|places = 0":                              "fleet.kind[0].places: more than 0",
		"zone = \"bloc-a\"|zone = \"bloc-z\"":                  "zone: one of bloc-a, bloc-b",
		"listen = \"127.0.0.1:8554\"|listen = \"here\"":        "listen: an address such as",
		"worth = [0.4, |worth = [":                             "ladder.worth: 4 numbers",
		"top = 3|top = 4":                                      "plan[0].top: at most 3",
		"session_timeout = \"60s\"|session_timeout = \"10ms\"": "session_timeout: at least 1s",
		"[prices]|[prices]\nluck = 3":                          "prices.luck: unknown key",
		"name = \"recorded-lesson\"|name = \"live-lesson\"":    "plan: unique entries",
		"[ladder]|[ladder":                                     "file: line",
		"probes = true|advice = false":                         "terms.max_come_again: 2s found, but none is expected, as terms.advice is false",
		"# secret = \"...\"|secret = \"0123456789abcdef\"\n#|max_come_again = \"2s\"|advice = false": "door.secret: one found, but none is expected, as terms.advice",
		"probes = true|probes = false":                                      "prices.probe: 0.01 found, but none is expected, as terms.probes is false",
		"load = \"answers\"|load = \"probes\"":                              "fleet.note_every: 2s found, but none is expected, as fleet.load is probes",
		"probes = true|probes = false|load = \"answers\"|load = \"probes\"": "fleet.load: probes found, but answers or none is expected, as terms.probes is false",
		"probes = true|free_tries = 5":                                      "terms.free_tries: 5 found, but none is expected, as terms.rationed is false",
		"probes = true|try_share = 0.2":                                     "terms.try_share: 0.2 found",
		"probes = true|try_span = \"10s\"":                                  "terms.try_span: 10s found",
		"probes = true|rationed = true":                                     "terms.try_span: a value is expected",
		"repeat = \"harmless\"|repeat = \"unsafe\"\nwindow = \"5s\"":        "plan[0].window: 5s found, but none is expected, as repeat is unsafe",
		"repeat = \"harmless\"|repeat = \"unsafe\"\nscope = \"zone\"":       "plan[0].scope: zone found",
		"load = \"answers\"|load = \"answers\"\nuplinks = \"some\"":         "fleet.uplinks: one of told, untold",
		"over_share = 0.1|over_share = 0.1\nworst_plan = 1":                 "prices.worst_plan: less than 1",
	} {
		changed := string(text)
		for parts := strings.Split(changes, "|"); len(parts) > 0; parts = parts[2:] {
			if !strings.Contains(changed, parts[0]) {
				t.Fatalf("%q is not in the sample file", parts[0])
			}
			changed = strings.Replace(changed, parts[0], parts[1], 1)
		}
		if _, err := read(t, changed); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", changes, err, want)
		}
	}
	threeMistakes := strings.NewReplacer("front = 0 ", "front = 7 ", "places = 100", "places = 0", "live = true", "live = true\nodd = 1")
	if _, err := read(t, threeMistakes.Replace(string(text))); err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("three errors expected, got: %v", err)
	}
}

func read(t *testing.T, text string) (*Config, error) {
	file := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(file)
}

// Keys that the sample file omits have their defaults; values of the optional keys reach the front's configuration.
func TestOptionalKeys(t *testing.T) {
	text, err := os.ReadFile(sample)
	if err != nil {
		t.Fatal(err)
	}
	unchanged, err := read(t, string(text))
	if err != nil {
		t.Fatal(err)
	}
	if service := unchanged.FrontConfig(nil); service.OmitRetryAfter || service.Queue.WithholdRetryTime || service.Site.Fleet.UplinkUnreported || service.Site.Prices.WorstPlan != 0 || service.Site.Terms.RetriesLimited {
		t.Errorf("sample file: %+v", service)
	}
	changed := strings.NewReplacer("max_come_again = \"2s\"", "advice = false\nrationed = true\nfree_tries = 5\ntry_share = 0.2\ntry_span = \"10s\"",
		"load = \"answers\"", "load = \"answers\"\nuplinks = \"untold\"", "probes = true", "probes = false", "probe = 0.01", "worst_plan = 0.2",
		"revenue = 2", "revenue = 2\nseats = 3", "repeat = \"harmless\"\nstartup = \"1.5s\"", "repeat = \"unsafe\"\nstartup = \"1.5s\"")
	config, err := read(t, changed.Replace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	service := config.FrontConfig(nil)
	terms := service.Site.Terms
	if !service.OmitRetryAfter || !service.Queue.WithholdRetryTime || !service.Site.Fleet.UplinkUnreported || service.Site.Prices.WorstPlan != 0.2 || terms.Probes || terms.MaxRetryAfter != 0 ||
		!terms.RetriesLimited || terms.FreeRetries != 5 || terms.RetrySpan != 10_000_000 || service.Site.Plans[0].Seats != 3 || service.Site.Plans[0].Repeat != session.Unsafe {
		t.Errorf("with optional keys: %+v", service)
	}
}

func TestInvalidServerList(t *testing.T) {
	config, err := Read(sample)
	if err != nil {
		t.Fatal(err)
	}
	const good = "[[server]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\nzone = \"bloc-a\"\nkind = \"std\"\ncell = 0\n"
	for text, want := range map[string]string{
		good:                                    "",
		good + good:                             "server: unique entries",
		strings.Replace(good, "bloc-a", "x", 1): "server[0].zone: one of bloc-a, bloc-b",
		strings.Replace(good, "std", "x", 1):    "server[0].kind: one of std",
		strings.Replace(good, "cell = 0", "cell = 9", 1): "server[0].cell: less than 2",
		good + "state = \"off\"":                         "server[0].state: one of ready, draining",
		good + "started = \"now\"":                       "started",
		"[[server]":                                      "file: line",
	} {
		if _, err := ParseServerList([]byte(text), config); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", text, err, want)
		}
	}
}
