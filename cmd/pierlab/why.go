package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pierlink/internal/front"
	"pierlink/internal/lab"
	"pierlink/internal/trace"
)

func whyCommand() *cobra.Command {
	var file, day string
	var seed uint64
	c := &cobra.Command{Use: "why PLAYBACK", Short: "Tell in words where the time of a playback went",
		Long: "Tell the story of a playback by its Request-Id: from a trace file that pierlink writes ([trace] in its settings),\n" +
			"or from a day that is played for it.", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			var all []*front.Story
			switch {
			case day != "":
				d, err := loadDay(day, seed)
				if err != nil {
					return err
				}
				d.Told = func(s *front.Story) {
					if s.Name == args[0] {
						all = append(all, s)
					}
				}
				if _, err := lab.Run(d, ""); err != nil {
					return err
				}
				if len(all) == 0 {
					return trace.ErrNone
				}
			case file != "":
				f, err := os.Open(file)
				if err != nil {
					return err
				}
				defer f.Close()
				if all, err = trace.Read(f, args[0]); err != nil {
					return err
				}
			default:
				return fmt.Errorf("either --trace FILE or --day DAY is expected")
			}
			for _, s := range all {
				fmt.Print(trace.Words(s))
			}
			return nil
		}}
	c.Flags().StringVar(&file, "trace", "", "file of spans")
	c.Flags().StringVar(&day, "day", "", "day to play")
	c.Flags().Uint64Var(&seed, "seed", 0, "of the day, in place of its own")
	return c
}
