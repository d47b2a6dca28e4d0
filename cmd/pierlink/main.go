// Command pierlink is the session manager's daemon.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/spf13/cobra"

	"pierlink/internal/edge"
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
	serve.Flags().BoolVar(&onPlatform, "platform", false, "run under the hosting platform, configured by GW_CONFIG")
	serve.Flags().BoolVar(&traced, "trace", false, "with --platform: write protocol traces to standard error")
	serve.Flags().StringVarP(&p.settingsFile, "config", "c", "deploy/pierlink.toml", "settings file")
	serve.Flags().BoolVar(&p.takeover, "takeover", false, "take over from the session manager that runs with these settings; it drains")
	check := &cobra.Command{Use: "check FILE", Short: "Check a settings file and its server list", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			site, list, err := readSettings(args[0])
			if err != nil {
				return err
			}
			fmt.Printf("%s: %d plans, %d tenants, %d servers, %d titles\n", args[0], len(site.Plans), len(site.Tenants),
				len(list.Servers), len(list.Titles))
			return nil
		}}
	version := &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			text := "(unknown)"
			if info, ok := debug.ReadBuildInfo(); ok {
				text = info.Main.Version + " " + info.GoVersion
			}
			fmt.Println("pierlink", text)
		}}
	root.AddCommand(serve, check, version, statusCommand())
	if err := root.Execute(); err != nil {
		var mistakes settings.ValidationErrors
		if errors.As(err, &mistakes) {
			for _, mistake := range mistakes {
				fmt.Fprintln(os.Stderr, mistake)
			}
			os.Exit(1)
		}
		fmt.Fprintln(os.Stderr, "pierlink:", err)
		os.Exit(1)
	}
}

// readSettings reads the settings and the server list that they name.
func readSettings(file string) (*settings.Config, serverList, error) {
	site, err := settings.Read(file)
	if err != nil {
		return nil, serverList{}, fmt.Errorf("%s: %w", file, err)
	}
	if site.Registry != nil {
		return site, serverList{}, nil
	}
	path := serversPath(file, site)
	list := serverList{version: edge.VersionOf(path)}
	if list.ListUpdate, err = settings.ReadServerList(path, site); err != nil {
		return nil, list, fmt.Errorf("%s: %w", path, err)
	}
	return site, list, nil
}

// serverList is a server list and the version of the file that it was read from.
type serverList struct {
	front.ListUpdate
	version edge.FileVersion
}

func serversPath(file string, site *settings.Config) string {
	if filepath.IsAbs(site.Servers) {
		return site.Servers
	}
	return filepath.Join(filepath.Dir(file), site.Servers)
}
