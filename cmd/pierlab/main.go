// Command pierlab is the test lab of pierlink: it runs stand-ins for the surrounding systems, plays scripted days, and
// runs proofs, experiments, load tests and benchmarks.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"pierlink/internal/lab"
)

// errCheckFailed reports that a proof or day ran to its end and at least one of its checks failed. The exit status is
// then 1; any other error gives 2.
var errCheckFailed = errors.New("at least one check failed")

func main() {
	root := &cobra.Command{Use: "pierlab", Short: "Test lab for pierlink: stand-ins, scripted days and proofs",
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

// newLogger returns a logger that writes to standard error if verbose is set, and one that discards everything
// otherwise.
func newLogger(verbose bool) *zap.Logger {
	if !verbose {
		return zap.NewNop()
	}
	logger, err := zap.NewDevelopment()
	if err != nil {
		return zap.NewNop()
	}
	return logger
}
