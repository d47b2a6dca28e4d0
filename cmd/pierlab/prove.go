package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"pierlink/internal/lab"
)

// proveCommand returns the command that runs a proof.
func proveCommand() *cobra.Command {
	var seed uint64
	var small, full, verbose bool
	names := slices.Sorted(maps.Keys(lab.Proofs))
	cmd := &cobra.Command{Use: "prove NAME", Short: "Run a proof: " + strings.Join(names, ", "),
		Long: "Run a proof. A readable table goes to standard error, one line of JSON to standard output.\n" +
			"Exit status 0: all checks passed; 1: at least one check failed; 2: the proof could not run.",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			proof := lab.Proofs[args[0]]
			if proof == nil {
				return fmt.Errorf("unknown proof %q, expected one of %s", args[0], strings.Join(names, ", "))
			}
			size := lab.Normal
			if small {
				size = lab.Small
			} else if full {
				size = lab.Full
			}
			result, err := proof(seed, size, newLogger(verbose))
			if err != nil {
				return err
			}
			if err := result.Write(os.Stderr, os.Stdout); err != nil {
				return err
			}
			if !result.OK {
				return errCheckFailed
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random draws")
	cmd.Flags().BoolVar(&small, "small", false, "small size, for CI")
	cmd.Flags().BoolVar(&full, "full", false, "largest size")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "print the log messages of the cores")
	return cmd
}

// dayCommand returns the command that plays a scripted day.
func dayCommand() *cobra.Command {
	var seed uint64
	var virtual, verbose bool
	var policy string
	cmd := &cobra.Command{Use: "day FILE", Short: "Play a scripted day on loopback, or with --virtual on the virtual network",
		Long: "Play a scripted day (docs/lab.md describes the notation) and check the six rules against the recorded traffic.\n" +
			"FILE may also be the name of a day of the library.",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			day, err := lab.Library(args[0])
			if err != nil {
				if day, err = lab.ReadDay(args[0]); err != nil {
					return err
				}
			}
			if policy != "" {
				day.Policy = policy
			}
			if seed > 0 {
				if day, err = day.WithSeed(seed); err != nil {
					return err
				}
			}
			result, err := lab.PlayDay(day, virtual, newLogger(verbose))
			if err != nil {
				return err
			}
			if err := result.Write(os.Stderr, os.Stdout); err != nil {
				return err
			}
			if !result.OK {
				return errCheckFailed
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed (default: the day's own)")
	cmd.Flags().StringVar(&policy, "policy", "", "baseline policy that replaces the decision module: "+strings.Join(lab.Baselines(), ", "))
	cmd.Flags().BoolVar(&virtual, "virtual", false, "play on the virtual network with a virtual clock")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "print the log messages of the cores")
	return cmd
}
