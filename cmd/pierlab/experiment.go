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

// experimentCommand returns the command that runs an experiment and writes its results.
func experimentCommand() *cobra.Command {
	var outputDir string
	cmd := &cobra.Command{Use: "experiment FILE", Short: "Compare variants on the same days and seeds, and report the paired differences",
		Long: "Run an experiment (docs/lab.md describes its file). The output directory gets results.parquet, series.parquet, REPORT.md and plots.\n" +
			"An interrupted experiment resumes where it stopped.",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			spec, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			if outputDir == "" {
				outputDir = strings.TrimSuffix(args[0], filepath.Ext(args[0]))
			}
			rows, err := spec.Run(outputDir, os.Stderr)
			if err != nil {
				return err
			}
			if err := spec.WriteResults(outputDir, rows); err != nil {
				return err
			}
			fmt.Println(filepath.Join(outputDir, "REPORT.md"))
			return nil
		}}
	cmd.Flags().StringVar(&outputDir, "out", "", "output directory (default: FILE without its extension)")
	return cmd
}

// plotCommand returns the command that redraws the plots of an experiment.
func plotCommand() *cobra.Command {
	return &cobra.Command{Use: "plot FILE DIR", Short: "Redraw the plots of an experiment from its results in DIR", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			spec, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			return spec.Redraw(args[1])
		}}
}

// rowCommand returns the command that plays one day. Experiments run it in other builds of pierlab and read its output.
func rowCommand() *cobra.Command {
	var seed uint64
	var plant string
	cmd := &cobra.Command{Use: "row FILE", Short: "Play a day on the virtual network and print its result row as JSON", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			day, err := loadDay(args[0], seed)
			if err != nil {
				return err
			}
			row, err := lab.Run(day, plant)
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(row)
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed (default: the day's own)")
	cmd.Flags().StringVar(&plant, "plant", "", "name of a deliberate change to the session manager, such as a planted regression")
	return cmd
}

// searchCommand returns the command that searches for bad days.
func searchCommand() *cobra.Command {
	search := &lab.Search{Progress: os.Stderr}
	var outputFile string
	cmd := &cobra.Command{Use: "search [DAY]", Short: "Search for days on which the session manager performs badly, and reduce the worst to a minimal day",
		Args: cobra.MaximumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			name := "search"
			if len(args) > 0 {
				name = args[0]
			}
			day, err := loadDay(name, 0)
			if err != nil {
				return err
			}
			found, err := search.Run(day)
			if err != nil {
				return err
			}
			if err := found.Save(outputFile, search.Seed); err != nil {
				return err
			}
			fmt.Printf("%s: worth %.3f of at most %.3f, %d rules broken, after %d days\n", outputFile, found.Row.Goal, found.Row.Best, found.Row.Broken, found.DaysRun)
			for _, note := range found.Row.Notes {
				fmt.Println(note)
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&search.Seed, "seed", 1, "seed of the random draws")
	cmd.Flags().DurationVar(&search.Duration, "for", time.Minute, "duration of the search")
	cmd.Flags().StringVar(&search.Objective, "what", "worth", "what to search for: low worth, or bad answers (failed, abandoned, late)")
	cmd.Flags().StringVar(&outputFile, "out", "found.day", "file to write the day that was found to")
	return cmd
}

// loadDay returns a day of the library, or of a file if the library has none of that name. Its random values are drawn
// with seed, or with the day's own seed if seed is 0.
func loadDay(name string, seed uint64) (*lab.Day, error) {
	day, err := lab.Library(name)
	if err != nil {
		if day, err = lab.ReadDay(name); err != nil {
			return nil, err
		}
	}
	if seed == 0 {
		return day, nil
	}
	return day.WithSeed(seed)
}
