package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pierlink/internal/lab"
)

// benchCommand returns the command that benchmarks pierlink against a plain relay.
func benchCommand() *cobra.Command {
	bench := &lab.Bench{}
	boxList := false
	cmd := &cobra.Command{Use: "bench", Short: "Benchmark the session manager against a plain TCP relay and print the ratios", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			bench.Pierlab = executable
			if bench.Pierlink == "" {
				bench.Pierlink = filepath.Join(filepath.Dir(executable), "pierlink")
			}
			run := bench.Run
			if boxList {
				run = func() ([]string, error) { return bench.MeasureRegistry([]int{100, 1000, 10000}, 1000) }
			}
			lines, err := run()
			for _, line := range lines {
				fmt.Println(line)
			}
			return err
		}}
	cmd.Flags().BoolVar(&boxList, "boxes", false, "measure instead the memory and CPU cost of a registry list of 100 to 10,000 media boxes")
	cmd.Flags().StringVar(&bench.Pierlink, "pierlink", "", "path of the pierlink program (default: in the directory of pierlab)")
	cmd.Flags().IntVar(&bench.Concurrent, "concurrent", 1000, "number of concurrent playbacks")
	cmd.Flags().Float64Var(&bench.RateKB, "rate", 60, "rate of each playback in kB/s")
	cmd.Flags().DurationVar(&bench.SteadyTime, "span", 4*time.Second, "duration of each steady-state measurement")
	cmd.Flags().IntVar(&bench.Setups, "setups", 4000, "number of set-ups to time")
	cmd.Flags().IntVar(&bench.FirstPackets, "firsts", 300, "number of first packets to time, each directly from the media box and through pierlink")
	return cmd
}

// relayCommand returns the command that runs the plain relay. lab.Bench starts it and waits for its "relays on" line.
func relayCommand() *cobra.Command {
	var listen, target string
	cmd := &cobra.Command{Use: "relay", Short: "Run the plain TCP relay that bench compares with", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			relay, err := lab.NewRelay(listen, target)
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "relays on %s to %s\n", relay.Addr(), target)
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
			<-signals
			relay.Stop()
			return nil
		}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	cmd.Flags().StringVar(&target, "to", "", "address to relay to")
	return cmd
}
