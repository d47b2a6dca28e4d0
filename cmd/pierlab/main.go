// Command pierlab is the laboratory: stand-ins, scripted days and proofs.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"pierlink/internal/lab"
)

// errCheckFailed says that a proof ran and an aim of it does not hold.
var errCheckFailed = errors.New("an aim does not hold")

func main() {
	root := &cobra.Command{Use: "pierlab", Short: "Stand-ins, scripted days and proofs for pierlink",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(mediaboxCommand(), playerCommand(), registryCommand(), dayCommand(), proveCommand(), benchCommand(), relayCommand(), experimentCommand(), plotCommand(), rowCommand(), searchCommand(), loadCommand(), whyCommand(), directoryCommand(),
		&cobra.Command{Use: "spawn", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return lab.Spawn(os.Stdin, os.Stdout) }})
	switch err := root.Execute(); {
	case err == nil:
	case errors.Is(err, errCheckFailed):
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "pierlab:", err)
		os.Exit(2)
	}
}

// newLogger writes what cores say to standard error if asked to.
func newLogger(verbose bool) *zap.Logger {
	if !verbose {
		return zap.NewNop()
	}
	log, err := zap.NewDevelopment()
	if err != nil {
		return zap.NewNop()
	}
	return log
}
