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

func proveCommand() *cobra.Command {
	var seed uint64
	var small, full, verbose bool
	names := slices.Sorted(maps.Keys(lab.Proofs))
	c := &cobra.Command{Use: "prove NAME", Short: "Run a proof: " + strings.Join(names, ", "),
		Long: "Run a proof. A table for people goes to standard error, one line of JSON to standard output.\n" +
			"Exit 0: all aims hold; 1: one does not; 2: it could not run.",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			proof := lab.Proofs[args[0]]
			if proof == nil {
				return fmt.Errorf("no proof %q: there are %s", args[0], strings.Join(names, ", "))
			}
			size := lab.Usual
			if small {
				size = lab.Small
			} else if full {
				size = lab.Full
			}
			p, err := proof(seed, size, newLogger(verbose))
			if err != nil {
				return err
			}
			if err := p.Write(os.Stderr, os.Stdout); err != nil {
				return err
			}
			if !p.OK {
				return errCheckFailed
			}
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "what is drawn is drawn from it")
	c.Flags().BoolVar(&small, "small", false, "the size for CI")
	c.Flags().BoolVar(&full, "full", false, "the largest size")
	c.Flags().BoolVar(&verbose, "verbose", false, "print what the cores log")
	return c
}

func dayCommand() *cobra.Command {
	var seed uint64
	var virtual, verbose bool
	var policy string
	c := &cobra.Command{Use: "day FILE", Short: "Play a scripted day on loopback, or with --virtual on the virtual network",
		Long: "Play a scripted day (docs/lab.md tells the notation) and judge the six rules from the traffic.\n" +
			"FILE may be the name of a day of the library.",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			d, err := lab.Library(args[0])
			if err != nil {
				if d, err = lab.ReadDay(args[0]); err != nil {
					return err
				}
			}
			if policy != "" {
				d.Policy = policy
			}
			if seed > 0 {
				if d, err = d.With(seed); err != nil {
					return err
				}
			}
			p, err := lab.PlayDay(d, virtual, newLogger(verbose))
			if err != nil {
				return err
			}
			if err := p.Write(os.Stderr, os.Stdout); err != nil {
				return err
			}
			if !p.OK {
				return errCheckFailed
			}
			return nil
		}}
	c.Flags().Uint64Var(&seed, "seed", 0, "in place of the day's own")
	c.Flags().StringVar(&policy, "policy", "", "a baseline in place of the module: "+strings.Join(lab.Baselines(), ", "))
	c.Flags().BoolVar(&virtual, "virtual", false, "on the virtual network, under a virtual clock")
	c.Flags().BoolVar(&verbose, "verbose", false, "print what the cores log")
	return c
}
