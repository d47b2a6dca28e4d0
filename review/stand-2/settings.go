//go:build review

package main

// settings returns the settings of a small deployment: one zone, two plans that may be set up again, the ladder, links and
// terms in the ranges of the operators' site files. Cases change single keys.
func settings(servers int) map[string]any {
	class := func(name string, giveUp, promise, worth float64) any {
		return map[string]any{"name": name, "effect": "read_like", "giveUp": giveUp, "keyScope": "all", "lateValue": 0.0, "promise": promise, "stream": true, "window": 5.0, "worth": worth}
	}
	return map[string]any{
		"balancers": 2, "tier": 0, "tiers": []string{"media-fleet"}, "slotNo": 0, "locality": 0, "localities": []string{"dc1"}, "kinds": []string{"box-2c"},
		"registryMode": "pushed", "weightKind": "rough", "countedBy": "request", "quantum": 0.01, "domainType": "streams", "customers": []any{}, "overShareWorth": 0.1,
		"classes": []any{class("live", 5, 1, 1), class("recorded", 5, 1.5, 2)},
		"clients": map[string]any{"marksRetry": false},
		"domain": map[string]any{"cabinets": 3, "changeCostsS": 0.7, "classTop": []int{3, 4}, "isLive": []bool{true, false}, "join": 0.3, "kbPerWeight": 3500.0,
			"kindSlots": []float64{30}, "ladderKb": []float64{200, 360, 640, 1100, 1900}, "levelWorth": []float64{0.22, 0.45, 0.65, 0.85, 1}, "linksKb": 7000.0 * float64(servers),
			"lowestRung": []int{0, 1}, "positions": servers, "rateFactor": []float64{1, 1.2}, "refusesFrom": 0.0, "seats": []int{0, 0}, "seenAfter": 0.8, "stall": 8.0, "toldEvery": 4.5,
			"uplinkKb": 7000.0 * float64(servers) / 3 * 0.75},
		"goal": map[string]any{"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2},
		"limits": map[string]any{"cancel": true, "connIdle": 15.0, "connectTimeout": 0.25, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "maxAttempts": 3, "maxRetryAfter": 0.5,
			"mostHeld": 1000000, "peers": false, "probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 32},
		"loadReport": map[string]any{"names": []string{"inflight", "x0", "x1"}, "source": "piggyback"},
		"prices":     map[string]any{"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.03, "moves": 0.05, "origin": 0.0, "peer": 0.0, "probe": 0.01, "registryMode": 0.0, "waste": 0.0},
		"rules":      map[string]any{"askWithin": 10.0, "coldFrom": 0.4, "drainGrace": 0.25, "fallMultiple": 2.5, "graceToAnswer": 0.04, "overloadFor": 3.0, "warmUp": 12.0},
	}
}

func section(settings map[string]any, name string) map[string]any {
	return settings[name].(map[string]any)
}

// newFleet returns a world with video servers and the settings for them; cases change those before they start managers.
func newFleet(recordPath string, servers int) (*world, error) {
	w, err := newWorld(recordPath)
	if err != nil {
		return nil, err
	}
	w.settings = settings(servers)
	w.zones, w.kinds = w.settings["localities"].([]string), w.settings["kinds"].([]string)
	return w, w.addServers(servers, func(int) int { return 0 }, 7000)
}
