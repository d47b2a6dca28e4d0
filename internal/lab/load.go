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

// Load is an open-loop load test: it requests playbacks of a running session manager at a rate that does not depend
// on the answers, and raises the rate in steps until the manager does not keep up. Times are measured from when a
// request was due, not from when it was sent, so that a load generator that lags does not hide waiting times
// (coordinated omission).
type Load struct {
	Addr           string // address of the session manager
	Plan           string
	Titles         int           // number of different titles
	Tracks         int           // per playback
	Rate           float64       // playbacks per second in the first step
	Growth         float64       // factor of the rate from step to step
	StepTime       time.Duration // duration of a step
	MaxSteps       int           // limit
	WatchTime      time.Duration // viewing time of a playback
	AbandonTime    time.Duration // abandon time of a viewer
	StartupTarget  time.Duration // startup target: a step fails if the 99th percentile exceeds it,
	MaxFailedShare float64       // or if more than this share of the playbacks does not play
	Seed           uint64
	Control        string    // path of the session manager's control socket, to query its status; empty for none
	Output         io.Writer // receives a line per step; may be nil
}

// Step is the result of one step.
type Step struct {
	Rate               float64 // playbacks per second
	Asked, Played      int
	Refused, Failed    int
	Abandoned          int
	P50, P90, P99, Max time.Duration // time to the first packet of the playbacks that played
	MaxLag             time.Duration // longest delay of the load generator behind its schedule
	Status             *edge.Status  // of the session manager at the end of the step; nil without a control socket
	ConnRejects        int64         // connections that the session manager rejected
	CPU                float64       // processors that the session manager used; 0 if unknown
}

// withinLimits reports whether the manager met the startup target and played a sufficient share of the playbacks.
func (step *Step) withinLimits(load *Load) bool {
	return step.Asked > 0 && step.P99 <= load.StartupTarget && float64(step.Asked-step.Played) <= load.MaxFailedShare*float64(step.Asked)
}

// Run runs the steps until one fails, which is then the last of the result.
func (load *Load) Run() ([]Step, error) {
	var players *player.Group
	loop, err := edge.New("", func(network core.Net) core.Core {
		players = player.New(network, edge.Now())
		return players
	})
	if err != nil {
		return nil, err
	}
	defer loop.Stop(false)
	rng := rand.New(rand.NewPCG(load.Seed, 0x10ad))
	var steps []Step
	rate, playbackCount := load.Rate, 0
	for range load.MaxSteps {
		step := Step{Rate: rate}
		histogram := hdrhistogram.New(1, 600_000_000, 3)
		dueAt := map[string]core.Time{}
		unfinished := 0
		loop.Do(func() {
			players.Report = func(profile *player.Profile, result *player.Result) {
				due, ok := dueAt[profile.ID]
				if !ok {
					return
				}
				delete(dueAt, profile.ID)
				unfinished--
				switch {
				case result.StartupTime > 0:
					step.Played++
					_ = histogram.RecordValue(result.StartedAt + result.StartupTime - due)
				case result.State == player.Rejected:
					step.Refused++
				case result.State == player.Abandoned:
					step.Abandoned++
				default:
					step.Failed++
				}
			}
		})
		cpuBefore, rejectsBefore := processCPU(load.Control), int64(0)
		if load.Control != "" {
			if status, err := edge.QueryStatus(load.Control); err == nil {
				rejectsBefore = status.Figures.Turned
			}
		}
		startedAt := edge.Now()
		nextDue := startedAt
		for nextDue < startedAt+load.StepTime.Microseconds() {
			if delay := nextDue - edge.Now(); delay > 0 {
				time.Sleep(time.Duration(delay) * time.Microsecond)
			}
			due := nextDue
			playbackCount++
			profile := &player.Profile{ID: "load-" + strconv.Itoa(playbackCount), Fronts: []string{load.Addr}, Plan: load.Plan, Title: "t" + strconv.Itoa(rng.IntN(load.Titles)),
				TopRung: 99, Tracks: load.Tracks, WatchTime: load.WatchTime.Microseconds(), AbandonTime: load.AbandonTime.Microseconds()}
			loop.Post(func() {
				step.MaxLag = max(step.MaxLag, time.Duration(edge.Now()-due)*time.Microsecond)
				step.Asked++
				unfinished++
				dueAt[profile.ID] = due
				players.Start(profile)
			})
			nextDue += core.Time(rng.ExpFloat64() / rate * 1e6)
		}
		elapsed := seconds(edge.Now() - startedAt)
		if load.Control != "" {
			step.CPU = (processCPU(load.Control) - cpuBefore) / elapsed
			if step.Status, err = edge.QueryStatus(load.Control); err != nil {
				return steps, err
			}
			step.ConnRejects = step.Status.Figures.Turned - rejectsBefore
		}
		for open := 1; open > 0; time.Sleep(10 * time.Millisecond) { // wait until all playbacks have ended, or stop waiting
			loop.Do(func() { open = unfinished })
			if edge.Now() > startedAt+(load.StepTime+2*load.AbandonTime+load.WatchTime).Microseconds() {
				break
			}
		}
		quantile := func(percentile float64) time.Duration {
			return time.Duration(histogram.ValueAtQuantile(percentile)) * time.Microsecond
		}
		step.P50, step.P90, step.P99, step.Max = quantile(50), quantile(90), quantile(99), time.Duration(histogram.Max())*time.Microsecond
		steps = append(steps, step)
		if load.Output != nil {
			fmt.Fprintln(load.Output, step.String())
		}
		if !step.withinLimits(load) {
			break
		}
		rate *= load.Growth
	}
	return steps, nil
}

// processCPU returns the CPU seconds that the process at a control socket has used, or 0 if its status cannot be read.
func processCPU(control string) float64 {
	if control == "" {
		return 0
	}
	status, err := edge.QueryStatus(control)
	if err != nil {
		return 0
	}
	return cpuSeconds(status.PID)
}

// String returns the step's report line.
func (step *Step) String() string {
	text := fmt.Sprintf("%7.1f/s: asked %d, played %d, refused %d, failed %d, given up %d; first packet 50%% %s, 99%% %s, most %s; load behind by %s", step.Rate,
		step.Asked, step.Played, step.Refused, step.Failed, step.Abandoned, step.P50.Round(100*time.Microsecond), step.P99.Round(100*time.Microsecond),
		step.Max.Round(100*time.Microsecond), step.MaxLag.Round(100*time.Microsecond))
	if step.Status != nil {
		text += fmt.Sprintf("; manager: %.2f processors, late by %.1f ms, shed %d", step.CPU, step.Status.LagMS, step.Status.Figures.Shed)
	}
	return text
}

// Bottleneck describes what limited the last step, and the rate of the last step that was within the limits.
func (load *Load) Bottleneck(steps []Step) string {
	if len(steps) == 0 {
		return "no step was taken"
	}
	last := &steps[len(steps)-1]
	if last.withinLimits(load) {
		return fmt.Sprintf("nothing gave out up to %.1f playbacks a second", last.Rate)
	}
	cause := "time to the first packet"
	switch {
	case last.MaxLag > load.StartupTarget/4:
		cause = "the load itself: it fell behind, and the figures of this step say little of the session manager"
	case last.Status != nil && last.Status.DescriptorRejects > 0:
		cause = "descriptors of the session manager"
	case 2*last.ConnRejects > int64(last.Failed) && last.Failed > 0:
		cause = "the door: connections are turned away (bounds.connections, door.per_address, door.half_open)"
	case last.Status != nil && last.Status.Figures.Shed > 0:
		cause = "the session manager's time: it sheds, as it is late with its work"
	case last.Status != nil && last.CPU > 0.9:
		cause = "the session manager's processor"
	case last.Refused > last.Failed+last.Abandoned && float64(last.Refused) > load.MaxFailedShare*float64(last.Asked):
		cause = "room: playbacks are refused"
	case last.Abandoned > last.Failed:
		cause = "answers: players gave up"
	case last.Failed > 0 && float64(last.Asked-last.Played) > load.MaxFailedShare*float64(last.Asked):
		cause = "tries: playbacks failed"
	}
	held := "already the first step was too much"
	if len(steps) > 1 {
		held = fmt.Sprintf("%.1f playbacks a second held", steps[len(steps)-2].Rate)
	}
	return fmt.Sprintf("%s; at %.1f gave out first: %s", held, last.Rate, cause)
}
