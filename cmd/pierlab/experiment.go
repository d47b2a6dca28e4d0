package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pierlink/internal/experiment"
	"pierlink/internal/lab"
)

func experimentCommand() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "experiment FILE", Short: "Play variants on days by many seeds, and tell the paired differences",
		Long: "Play an experiment (docs/lab.md tells its file). Results go to the folder: results.parquet, series.parquet, REPORT.md and plots.\n" +
			"One that was stopped goes on where it was.",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			p, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], filepath.Ext(args[0]))
			}
			rows, err := p.Run(out, os.Stderr)
			if err != nil {
				return err
			}
			if err := p.WriteResults(out, rows); err != nil {
				return err
			}
			fmt.Println(filepath.Join(out, "REPORT.md"))
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "folder; the file's name without its ending if not given")
	return c
}

func plotCommand() *cobra.Command {
	return &cobra.Command{Use: "plot FILE FOLDER", Short: "Draw the plots of an experiment anew from its results", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			return p.Redraw(args[1])
		}}
}

func rowCommand() *cobra.Command {
	var seed uint64
	var plant string
	c := &cobra.Command{Use: "row FILE", Short: "Play a day on the virtual network and print what an experiment keeps of it", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := loadDay(args[0], seed)
			if err != nil {
				return err
			}
			r, err := lab.Run(d, plant)
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(r)
		}}
	c.Flags().Uint64Var(&seed, "seed", 0, "in place of the day's own")
	c.Flags().StringVar(&plant, "plant", "", "a change for the worse on purpose")
	return c
}

func searchCommand() *cobra.Command {
	s := &lab.Search{Say: os.Stderr}
	var out string
	c := &cobra.Command{Use: "search [DAY]", Short: "Look for days on which the session manager does badly, and cut them down to what matters",
		Args: cobra.MaximumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			name := "search"
			if len(args) > 0 {
				name = args[0]
			}
			d, err := loadDay(name, 0)
			if err != nil {
				return err
			}
			f, err := s.Run(d)
			if err != nil {
				return err
			}
			if err := f.Save(out, s.Seed); err != nil {
				return err
			}
			fmt.Printf("%s: worth %.3f of at most %.3f, %d rules broken, after %d days\n", out, f.Row.Goal, f.Row.Best, f.Row.Broken, f.Played)
			for _, n := range f.Row.Notes {
				fmt.Println(n)
			}
			return nil
		}}
	c.Flags().Uint64Var(&s.Seed, "seed", 1, "what is drawn is drawn from it")
	c.Flags().DurationVar(&s.For, "for", time.Minute, "how long")
	c.Flags().StringVar(&s.What, "what", "worth", "what is to be bad: worth, or answers (failed, given up, late)")
	c.Flags().StringVar(&out, "out", "found.day", "file for the day")
	return c
}

// loadDay is a day of the library or a file, as a seed draws it; 0 for its own.
func loadDay(name string, seed uint64) (*lab.Day, error) {
	d, err := lab.Library(name)
	if err != nil {
		if d, err = lab.ReadDay(name); err != nil {
			return nil, err
		}
	}
	if seed == 0 {
		return d, nil
	}
	return d.With(seed)
}
