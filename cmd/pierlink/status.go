package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pierlink/internal/edge"
	"pierlink/internal/settings"
)

// statusCommand prints how a running session manager stands, from its figures.
func statusCommand() *cobra.Command {
	var file string
	command := &cobra.Command{Use: "status", Short: "Print how the running session manager stands", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			site, err := settings.Read(file)
			if err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			if site.Life.Control != "" {
				p := &process{settingsFile: file}
				status, err := edge.Ask(p.resolvePath(site.Life.Control))
				if err != nil {
					return fmt.Errorf("%s does not run, or does not answer: %w", site.Name, err)
				}
				return printStatus(status)
			}
			if site.Metrics == "" {
				return errors.New("the settings have neither life.control nor a metrics address to ask")
			}
			httpClient := &http.Client{Timeout: 5 * time.Second}
			response, err := httpClient.Get("http://" + site.Metrics + "/metrics")
			if err != nil {
				return fmt.Errorf("%s does not answer: %w", site.Name, err)
			}
			defer response.Body.Close()
			fmt.Println(site.Name, "runs")
			for lines := bufio.NewScanner(response.Body); lines.Scan(); {
				name, value, ok := strings.Cut(strings.TrimPrefix(lines.Text(), "pierlink_"), " ")
				if ok && !strings.HasPrefix(name, "#") && !strings.Contains(name, "{") { // the plain figures; the others are for graphs
					fmt.Printf("%-24s %s\n", strings.ReplaceAll(name, "_", " "), value)
				}
			}
			return nil
		}}
	command.Flags().StringVarP(&file, "config", "c", "deploy/pierlink.toml", "settings file")
	return command
}

// tell prints a status in words.
func printStatus(status *edge.Status) error {
	fmt.Printf("%s: %s for %.0f s at %s (process %d)\n", status.Name, status.State, status.For, status.Address, status.PID)
	if status.Secure != "" {
		fmt.Printf("under TLS at %s, certificate until %s; %d connections ended before their handshake\n", status.Secure, status.KeysEnd.Format(time.RFC3339), status.Unshaken)
	}
	fmt.Printf("playbacks: %d play, %d wait for an answer, %d were told to go elsewhere\n", status.Playing, status.Waiting, status.SentOn)
	if status.ListAge >= 0 {
		fmt.Printf("server list: the registry's %.1f s ago\n", status.ListAge)
	}
	if status.Directory >= 0 {
		fmt.Printf("directory: %d entries, its state %.1f s ago\n", status.Entries, status.Directory)
	}
	fmt.Printf("late with its work by %.1f ms of late; %d connections closed for want of descriptors; %d dialogues of dead processes left to end\n",
		status.BehindMS, status.Starved, status.Orphans)
	text, err := json.Marshal(status.Figures)
	if err == nil {
		fmt.Println(string(text))
	}
	return err
}
