// Command pierlink is the session manager's daemon.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/spf13/cobra"

	"pierlink/internal/front"
	"pierlink/internal/settings"
)

func main() {
	root := &cobra.Command{Use: "pierlink", Short: "A session front for fleets of media servers", SilenceUsage: true,
		SilenceErrors: true}
	p := &process{}
	var onPlatform, traced bool
	serve := &cobra.Command{Use: "serve", Short: "Run a session manager", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if onPlatform {
				return servePlatform(traced)
			}
			return p.serve()
		}}
	serve.Flags().BoolVar(&onPlatform, "platform", false, "run on the operators' platform, by GW_CONFIG")
	serve.Flags().BoolVar(&traced, "trace", false, "with --platform: write what passes to standard error")
	serve.Flags().StringVarP(&p.file, "config", "c", "deploy/pierlink.toml", "settings file")
	serve.Flags().BoolVar(&p.takeover, "takeover", false, "take the place of the session manager that runs with these settings; it drains")
	check := &cobra.Command{Use: "check FILE", Short: "Check a settings file and its server list", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, l, err := read(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%s: %d plans, %d tenants, %d servers, %d titles\n", args[0], len(s.Plans), len(s.Tenants),
				len(l.Servers), len(l.Titles))
			return nil
		}}
	version := &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			v := "(unknown)"
			if b, ok := debug.ReadBuildInfo(); ok {
				v = b.Main.Version + " " + b.GoVersion
			}
			fmt.Println("pierlink", v)
		}}
	root.AddCommand(serve, check, version, statusCommand())
	if err := root.Execute(); err != nil {
		var bad settings.Mistakes
		if errors.As(err, &bad) {
			for _, m := range bad {
				fmt.Fprintln(os.Stderr, m)
			}
			os.Exit(1)
		}
		fmt.Fprintln(os.Stderr, "pierlink:", err)
		os.Exit(1)
	}
}

// read reads the settings and the server list that they name.
func read(file string) (*settings.Site, front.List, error) {
	s, err := settings.Read(file)
	if err != nil {
		return nil, front.List{}, fmt.Errorf("%s: %w", file, err)
	}
	if s.Registry != nil {
		return s, front.List{}, nil
	}
	l, err := settings.ReadServers(serversPath(file, s), s)
	if err != nil {
		return nil, l, fmt.Errorf("%s: %w", serversPath(file, s), err)
	}
	return s, l, nil
}

func serversPath(file string, s *settings.Site) string {
	if filepath.IsAbs(s.Servers) {
		return s.Servers
	}
	return filepath.Join(filepath.Dir(file), s.Servers)
}
