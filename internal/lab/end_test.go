package lab

import (
	"testing"

	"go.uber.org/zap"
)

// crowdedDay has more viewers than its boxes carry, and a queue that tells many of them to come back long after the day.
const crowdedDay = `seed 1
fleet managers=1 boxes=2 zones=1 racks=1 places=60 link=60 uplink=400 setup=0.3..0.6 tick=0.5 packet=2000 notedelay=0.2 noteevery=1
ladder 10 worth=1 join=1
plan recorded-lesson startup=1.5 abandon=4 watch=0.5..1 tracks=video
terms coldfrom=1 warmup=0.1 tries=3 timeout=10 comeagain=0
load rate=60 length=6 titles=4000 zipf=0 returns=2 break=0.2
net latency=0.0005 jitter=0.0005 split=0 cut=0
door waiting=1000
`

// Guards against requests that a day leaves open because it is cut off: viewers that were told to come back late ask until
// then, and each request is judged after its abandon time.
func TestDayEndsWithoutOpenRequests(t *testing.T) {
	for seed := range uint64(6) {
		day, err := Parse("crowded", crowdedDay)
		if err != nil {
			t.Fatal(err)
		}
		day.Seed = seed + 1
		run, recording, _ := RunVirtual(day, nil, zap.NewNop())
		answers := CheckRules(recording, day.Bounds(0))[0]
		if answers.Rule != 1 || len(answers.Violations) > 0 || answers.Cases < run.Tally.Attempts/2 {
			t.Errorf("seed %d: rule %d, %d cases of %d askings: %v", day.Seed, answers.Rule, answers.Cases, run.Tally.Attempts, answers.Violations)
		}
	}
}
