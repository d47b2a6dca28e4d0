package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/standin/player"
)

// Load asks a running session manager for playbacks at a pace that does not depend on its answers, in steps,
// until it does not keep up. Times count from when a playback was to be asked for, not from when it was: a load
// that falls behind itself does not make waiting look short (coordinated omission).
type Load struct {
	To      string // addresses, in turn
	Plan    string
	Titles  int
	Tracks  int
	Rate    float64 // playbacks a second at first
	Grow    float64 // times as many from step to step
	Step    time.Duration
	Steps   int // at most
	Watch   time.Duration
	Abandon time.Duration
	Target  time.Duration // startup target: the knee is where the 99th percentile passes it,
	Refused float64       // or where more than this part of the playbacks does not play
	Seed    uint64
	Control string // the session manager's control socket, for what it says of itself; empty for none
	Say     io.Writer
}

// Step is one step's outcome.
type Step struct {
	Rate               float64
	Asked, Played      int
	Refused, Failed    int
	Abandoned          int
	P50, P90, P99, Max time.Duration // to the first packet, of those that played
	MaxLag             time.Duration // the load itself, at worst
	Status             *edge.Status
	ConnRejects        int64   // connections that the session manager turned away
	CPU                float64 // of the session manager, processors; 0 where it is not known
}

// Held tells whether the step stayed under the knee.
func (s *Step) withinLimits(l *Load) bool {
	return s.Asked > 0 && s.P99 <= l.Target && float64(s.Asked-s.Played) <= l.Refused*float64(s.Asked)
}

// Run takes the steps. The last one is the one that was too much, if any was.
func (l *Load) Run() ([]Step, error) {
	var crowd *player.Group
	loop, err := edge.New("", func(n core.Net) core.Core {
		crowd = player.New(n, edge.Now())
		return crowd
	})
	if err != nil {
		return nil, err
	}
	defer loop.Stop(false)
	rng := rand.New(rand.NewPCG(l.Seed, 0x10ad))
	var steps []Step
	rate, n := l.Rate, 0
	for range l.Steps {
		s := Step{Rate: rate}
		h := hdrhistogram.New(1, 600_000_000, 3)
		intended := map[string]core.Time{}
		left := 0
		loop.Do(func() {
			crowd.Report = func(w *player.Profile, x *player.Result) {
				at, ok := intended[w.ID]
				if !ok {
					return
				}
				delete(intended, w.ID)
				left--
				switch {
				case x.StartupTime > 0:
					s.Played++
					_ = h.RecordValue(x.StartedAt + x.StartupTime - at)
				case x.State == player.Rejected:
					s.Refused++
				case x.State == player.Abandoned:
					s.Abandoned++
				default:
					s.Failed++
				}
			}
		})
		cpu, turned := processCPU(l.Control), int64(0)
		if l.Control != "" {
			if x, err := edge.QueryStatus(l.Control); err == nil {
				turned = x.Figures.Turned
			}
		}
		began := edge.Now()
		next := began
		for next < began+l.Step.Microseconds() {
			if wait := next - edge.Now(); wait > 0 {
				time.Sleep(time.Duration(wait) * time.Microsecond)
			}
			at := next
			n++
			w := &player.Profile{ID: "load-" + strconv.Itoa(n), Fronts: []string{l.To}, Plan: l.Plan, Title: "t" + strconv.Itoa(rng.IntN(l.Titles)),
				TopRung: 99, Tracks: l.Tracks, WatchTime: l.Watch.Microseconds(), AbandonTime: l.Abandon.Microseconds()}
			loop.Post(func() {
				s.MaxLag = max(s.MaxLag, time.Duration(edge.Now()-at)*time.Microsecond)
				s.Asked++
				left++
				intended[w.ID] = at
				crowd.Start(w)
			})
			next += core.Time(rng.ExpFloat64() / rate * 1e6)
		}
		took := seconds(edge.Now() - began)
		if l.Control != "" {
			s.CPU = (processCPU(l.Control) - cpu) / took
			if s.Status, err = edge.QueryStatus(l.Control); err != nil {
				return steps, err
			}
			s.ConnRejects = s.Status.Figures.Turned - turned
		}
		for open := 1; open > 0; time.Sleep(10 * time.Millisecond) { // each has come to its end, or is given up
			loop.Do(func() { open = left })
			if edge.Now() > began+(l.Step+2*l.Abandon+l.Watch).Microseconds() {
				break
			}
		}
		q := func(x float64) time.Duration { return time.Duration(h.ValueAtQuantile(x)) * time.Microsecond }
		s.P50, s.P90, s.P99, s.Max = q(50), q(90), q(99), time.Duration(h.Max())*time.Microsecond
		steps = append(steps, s)
		if l.Say != nil {
			fmt.Fprintln(l.Say, s.String())
		}
		if !s.withinLimits(l) {
			break
		}
		rate *= l.Grow
	}
	return steps, nil
}

// cpuOf is the CPU seconds of the process at a control socket.
func processCPU(control string) float64 {
	if control == "" {
		return 0
	}
	s, err := edge.QueryStatus(control)
	if err != nil {
		return 0
	}
	return cpuSeconds(s.PID)
}

func (s *Step) String() string {
	t := fmt.Sprintf("%7.1f/s: asked %d, played %d, refused %d, failed %d, given up %d; first packet 50%% %s, 99%% %s, most %s; load behind by %s", s.Rate,
		s.Asked, s.Played, s.Refused, s.Failed, s.Abandoned, s.P50.Round(100*time.Microsecond), s.P99.Round(100*time.Microsecond),
		s.Max.Round(100*time.Microsecond), s.MaxLag.Round(100*time.Microsecond))
	if s.Status != nil {
		t += fmt.Sprintf("; manager: %.2f processors, late by %.1f ms, shed %d", s.CPU, s.Status.LagMS, s.Status.Figures.Shed)
	}
	return t
}

// GaveOut says what gave out first at the last step, and which step was the last to hold.
func (l *Load) GaveOut(steps []Step) string {
	if len(steps) == 0 {
		return "no step was taken"
	}
	last := &steps[len(steps)-1]
	if last.withinLimits(l) {
		return fmt.Sprintf("nothing gave out up to %.1f playbacks a second", last.Rate)
	}
	what := "time to the first packet"
	switch {
	case last.MaxLag > l.Target/4:
		what = "the load itself: it fell behind, and the figures of this step say little of the session manager"
	case last.Status != nil && last.Status.DescriptorRejects > 0:
		what = "descriptors of the session manager"
	case 2*last.ConnRejects > int64(last.Failed) && last.Failed > 0:
		what = "the door: connections are turned away (bounds.connections, door.per_address, door.half_open)"
	case last.Status != nil && last.Status.Figures.Shed > 0:
		what = "the session manager's time: it sheds, as it is late with its work"
	case last.Status != nil && last.CPU > 0.9:
		what = "the session manager's processor"
	case last.Refused > last.Failed+last.Abandoned && float64(last.Refused) > l.Refused*float64(last.Asked):
		what = "room: playbacks are refused"
	case last.Abandoned > last.Failed:
		what = "answers: players gave up"
	case last.Failed > 0 && float64(last.Asked-last.Played) > l.Refused*float64(last.Asked):
		what = "tries: playbacks failed"
	}
	knee := "already the first step was too much"
	if len(steps) > 1 {
		knee = fmt.Sprintf("%.1f playbacks a second held", steps[len(steps)-2].Rate)
	}
	return fmt.Sprintf("%s; at %.1f gave out first: %s", knee, last.Rate, what)
}
