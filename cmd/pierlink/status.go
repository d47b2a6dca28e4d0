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

// statusCommand prints the status of a running session manager, from its control socket or its metrics.
func statusCommand() *cobra.Command {
	var file string
	command := &cobra.Command{Use: "status", Short: "Print the status of the running session manager", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			site, err := settings.Read(file)
			if err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			if site.Life.Control != "" {
				p := &process{settingsFile: file}
				status, err := edge.QueryStatus(p.resolvePath(site.Life.Control))
				if err != nil {
					return fmt.Errorf("%s is not running or did not answer: %w", site.Name, err)
				}
				return printStatus(status)
			}
			if site.Metrics == "" {
				return errors.New("expected life.control or metrics in the settings to ask for the status, found neither")
			}
			httpClient := &http.Client{Timeout: 5 * time.Second}
			response, err := httpClient.Get("http://" + site.Metrics + "/metrics")
			if err != nil {
				return fmt.Errorf("%s did not answer: %w", site.Name, err)
			}
			defer response.Body.Close()
			fmt.Println(site.Name, "runs")
			for lines := bufio.NewScanner(response.Body); lines.Scan(); {
				name, value, ok := strings.Cut(strings.TrimPrefix(lines.Text(), "pierlink_"), " ")
				if ok && !strings.HasPrefix(name, "#") && !strings.Contains(name, "{") { // only metrics without labels
					fmt.Printf("%-24s %s\n", strings.ReplaceAll(name, "_", " "), value)
				}
			}
			return nil
		}}
	command.Flags().StringVarP(&file, "config", "c", "deploy/pierlink.toml", "settings file")
	return command
}

// printStatus prints a status in words.
func printStatus(status *edge.Status) error {
	fmt.Printf("%s: %s for %.0f s at %s (process %d)\n", status.Name, status.State, status.StateSeconds, status.Address, status.PID)
	if status.Secure != "" {
		fmt.Printf("TLS at %s, certificate valid until %s; %d connections closed before the end of the handshake\n", status.Secure, status.CertificateExpires.Format(time.RFC3339), status.BrokenHandshakes)
	}
	fmt.Printf("playbacks: %d playing, %d waiting for an answer, %d redirected to other session managers\n", status.Playing, status.Waiting, status.Redirected)
	if status.RegistryAgeSeconds >= 0 {
		fmt.Printf("server list: state of the registry %.1f s ago\n", status.RegistryAgeSeconds)
	}
	if status.DirectoryAgeSeconds >= 0 {
		fmt.Printf("directory: %d entries, state %.1f s old\n", status.DirectoryEntries, status.DirectoryAgeSeconds)
	}
	fmt.Printf("event handling delayed by %.1f ms recently; %d connections closed for lack of descriptors; %d dialogues of dead processes still open\n",
		status.LagMS, status.DescriptorRejects, status.Orphans)
	text, err := json.Marshal(status.Figures)
	if err == nil {
		fmt.Println(string(text))
	}
	return err
}
