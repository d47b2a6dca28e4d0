package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pierlink/internal/front"
	"pierlink/internal/lab"
	"pierlink/internal/trace"
)

// whyCommand returns the command that explains where the time of a playback went.
func whyCommand() *cobra.Command {
	var tracePath, dayName string
	var seed uint64
	cmd := &cobra.Command{Use: "why PLAYBACK", Short: "Explain in words where the time of a playback went",
		Long: "Explain the course of a playback, given its Request-Id: from a trace file that pierlink wrote ([trace] in its settings),\n" +
			"or by playing a day.", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var stories []*front.PlaybackTrace
			switch {
			case dayName != "":
				day, err := loadDay(dayName, seed)
				if err != nil {
					return err
				}
				day.OnAnswered = func(story *front.PlaybackTrace) {
					if story.RequestID == args[0] {
						stories = append(stories, story)
					}
				}
				if _, err := lab.Run(day, ""); err != nil {
					return err
				}
				if len(stories) == 0 {
					return trace.ErrNotFound
				}
			case tracePath != "":
				file, err := os.Open(tracePath)
				if err != nil {
					return err
				}
				defer file.Close()
				if stories, err = trace.Read(file, args[0]); err != nil {
					return err
				}
			default:
				return fmt.Errorf("either --trace FILE or --day DAY is required")
			}
			for _, story := range stories {
				fmt.Print(trace.Describe(story))
			}
			return nil
		}}
	cmd.Flags().StringVar(&tracePath, "trace", "", "trace file to read the spans from")
	cmd.Flags().StringVar(&dayName, "day", "", "name or file of the day to play")
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed of the day (default: its own)")
	return cmd
}
