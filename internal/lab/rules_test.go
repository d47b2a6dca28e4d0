package lab

import (
	"bytes"
	"testing"

	"go.uber.org/zap"

	"pierlink/internal/core"
	"pierlink/internal/front"
	"pierlink/session"
)

const testDay = `
fleet managers=4 boxes=12 zones=2 racks=3 places=40 link=1200 uplink=3600 tick=0.5 packet=6000 notedelay=0.4 noteevery=1.5
ladder 6,12,24,48 worth=0.4,0.7,0.9,1 join=0.25 change=0.3
plan live-lesson share=0.35 startup=1 abandon=2.5 revenue=2 live=1 rate=1.4 watch=1..4
plan recorded-lesson share=0.35 startup=0.8 abandon=2.5 rate=0.7 watch=1..4 top=2 floor=1
plan rent-record share=0.15 startup=1 abandon=2.5 revenue=3 watch=1..3 repeat=unsafe
plan master-class share=0.15 startup=1 abandon=2.5 watch=1..3 seats=2
terms coldfrom=0.3 warmup=6 fallmultiple=4 fallspan=1 grace=0.25 tries=4 freetries=2 tryshare=0.1 tryspan=5 timeout=10
load rate=120 length=14 titles=30 returns=1 break=0.5
net split=0.1 cut=0.0005
at 2 errors boxes=3 part=0.7 for=4
at 3 lost-answers boxes=2 part=0.6 for=5
at 4 drain boxes=3 for=5
at 5 die boxes=2 for=3
`

// lossyNet loses every tenth rejection that a front sends to a player.
type lossyNet struct {
	core.Net
	responses int
}

func (d *lossyNet) Send(c *core.Conn, b []byte) {
	if len(b) > 12 && string(b[:12]) == "RTSP/1.0 503" || len(b) > 12 && string(b[:12]) == "RTSP/1.0 453" {
		if d.responses++; d.responses%10 == 0 {
			return
		}
	}
	d.Net.Send(c, b)
}

// duplicatingNet sends every tenth response to a player's SETUP twice.
type duplicatingNet struct {
	core.Net
	responses int
}

func (d *duplicatingNet) Send(c *core.Conn, b []byte) {
	d.Net.Send(c, b)
	if bytes.HasPrefix(b, []byte("RTSP/1.0 ")) && bytes.Contains(b, []byte("Request-Id")) {
		if d.responses++; d.responses%10 == 0 {
			d.Net.Send(c, b)
		}
	}
}

// teardownFilter drops the TEARDOWN of live lessons, so that boxes do not learn that a try was given up.
type teardownFilter struct{ core.Net }

func (k *teardownFilter) Send(c *core.Conn, b []byte) {
	if bytes.HasPrefix(b, []byte("TEARDOWN")) && bytes.Contains(b, []byte("/live-lesson/")) {
		return
	}
	k.Net.Send(c, b)
}

// Each rule's checker must report a front that breaks that rule on purpose and nothing else, and a correct front must
// pass them all: a checker that reports nothing would hide regressions.
func TestCheckersCatchBrokenFronts(t *testing.T) {
	for name, test := range map[string]struct {
		rule   int
		faulty *FaultyFront
	}{
		"correct":           {0, nil},
		"loses answers":     {1, &FaultyFront{WrapNet: func(n core.Net) core.Net { return &lossyNet{Net: n} }}},
		"answers twice":     {1, &FaultyFront{WrapNet: func(n core.Net) core.Net { return &duplicatingNet{Net: n} }}},
		"overlapping tries": {2, &FaultyFront{WrapNet: func(n core.Net) core.Net { return &teardownFilter{n} }}},
		"repeats set-up": {2, &FaultyFront{ChangeSite: func(s *session.Site) {
			s.Plans = append([]session.Plan(nil), s.Plans...)
			for i := range s.Plans {
				s.Plans[i].Repeat = session.Harmless
			}
		}}},
		"ignores drains": {3, &FaultyFront{ChangeList: func(l front.ListUpdate) front.ListUpdate {
			for i := range l.Servers {
				l.Servers[i].State = session.Ready
			}
			return l
		}}},
		"overloads cold boxes": {4, &FaultyFront{ChangeSite: func(s *session.Site) { s.Terms.ColdMultiple *= 100 }}},
		"ignores seats": {5, &FaultyFront{ChangeSite: func(s *session.Site) {
			s.Plans = append([]session.Plan(nil), s.Plans...)
			for i := range s.Plans {
				s.Plans[i].Seats = 0
			}
		}}},
		"ignores floors": {5, &FaultyFront{ChangeSite: func(s *session.Site) {
			s.Plans = append([]session.Plan(nil), s.Plans...)
			for i := range s.Plans {
				s.Plans[i].Floor = 0
			}
		}}},
		"ignores retry budget": {6, &FaultyFront{ChangeSite: func(s *session.Site) { s.Terms.RetriesLimited = false }}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day, err := Parse("test", testDay)
			if err != nil {
				t.Fatal(err)
			}
			run, recording, _ := RunVirtual(day, test.faulty, zap.NewNop())
			for _, verdict := range CheckRules(recording, day.Bounds(0)) {
				if verdict.Rule != test.rule && len(verdict.Violations) > 0 {
					t.Errorf("rule %d: unexpected violation: %s", verdict.Rule, verdict.Violations[0])
				}
				if verdict.Rule == test.rule && len(verdict.Violations) == 0 {
					t.Errorf("rule %d: no violation reported in %d cases", verdict.Rule, verdict.Cases)
				}
				if verdict.Cases == 0 {
					t.Errorf("rule %d: no cases checked", verdict.Rule)
				}
			}
			if left := run.Tally.FrontStats.Playbacks; left != 0 {
				t.Errorf("%d playbacks still open at the end of the day, expected none", left)
			}
		})
	}
}
