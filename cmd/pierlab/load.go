package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"pierlink/internal/lab"
)

// loadCommand returns the command that load-tests a running session manager.
func loadCommand() *cobra.Command {
	load := &lab.Load{Output: os.Stdout}
	cmd := &cobra.Command{Use: "load", Short: "Increase the load on a running session manager step by step until it no longer keeps up", Args: cobra.NoArgs,
		Long: "Open-loop load over sockets: playbacks are requested on schedule, whether or not earlier ones were answered, and latencies count\n" +
			"from the scheduled time. The rate grows until the knee; the last line names what reached its limit first.",
		RunE: func(*cobra.Command, []string) error {
			steps, err := load.Run()
			if err != nil {
				return err
			}
			fmt.Println(load.Bottleneck(steps))
			return nil
		}}
	flags := cmd.Flags()
	flags.StringVar(&load.Addr, "to", "127.0.0.1:8554", "address of the session manager")
	flags.StringVar(&load.Plan, "plan", "recorded-lesson", "plan of the playbacks")
	flags.IntVar(&load.Titles, "titles", 100, "number of titles to choose from")
	flags.IntVar(&load.Tracks, "tracks", 2, "number of tracks of the plan")
	flags.Float64Var(&load.Rate, "rate", 20, "new playbacks per second in the first step")
	flags.Float64Var(&load.Growth, "grow", 1.5, "factor by which the rate grows from step to step")
	flags.DurationVar(&load.StepTime, "step", 4*time.Second, "duration of a step")
	flags.IntVar(&load.MaxSteps, "steps", 12, "maximum number of steps")
	flags.DurationVar(&load.WatchTime, "watch", 2*time.Second, "viewing time of each playback")
	flags.DurationVar(&load.AbandonTime, "abandon", 4*time.Second, "abandon time: a playback is given up after so long without an answer")
	flags.DurationVar(&load.StartupTarget, "target", 800*time.Millisecond, "startup target: a step fails if the 99th percentile of the time to the first packet exceeds it")
	flags.Float64Var(&load.MaxFailedShare, "refused", 0.05, "share of playbacks that may fail to play before a step fails")
	flags.Uint64Var(&load.Seed, "seed", 1, "seed of the random draws")
	flags.StringVar(&load.Control, "control", "", "control socket of the session manager, to read its own metrics (optional)")
	return cmd
}
