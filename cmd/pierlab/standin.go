package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pierlink/internal/core"
	"pierlink/internal/edge"
	"pierlink/internal/registry"
	"pierlink/internal/registry/client"
	"pierlink/internal/standin/mediabox"
	"pierlink/internal/standin/player"
	standin "pierlink/internal/standin/registry"
)

// mediaboxCommand returns the command that runs a stand-in media box.
func mediaboxCommand() *cobra.Command {
	var listen, name string
	var plans []string
	var ladder []float64
	var link, uplink float64
	var places int
	var cold bool
	var endpoints []string
	var zone string
	var cell int
	cmd := &cobra.Command{Use: "mediabox", Short: "Run a stand-in media box", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if link <= 0 || uplink <= 0 || places < 1 || len(ladder) == 0 {
				return fmt.Errorf("--link, --uplink and --places must be positive and --ladder must not be empty")
			}
			config := mediabox.Config{Name: name, LadderKB: ladder, Join: 0.25, LinkKB: link, MaxSessions: places,
				Rack: &mediabox.Rack{UplinkKB: uplink}, SetupTime: [2]core.Time{5_000, 20_000}, SendInterval: 50_000, PacketBytes: 1200,
				NoteDelay: 400_000, NoteInterval: 2 * core.Second, LoadInAnswers: true, SessionTimeout: 60 * core.Second,
				ColdCapacity: 0.3, WarmUp: 10 * core.Second, CrashMultiple: 4, CrashWindow: core.Second, Seed: uint64(os.Getpid())}
			for _, planName := range plans {
				config.Plans = append(config.Plans, mediabox.Plan{Name: planName, RateFactor: 1, Tracks: []string{"video", "audio"}})
			}
			if cold {
				config.StartedAt = edge.Now()
			}
			loop, err := edge.New(listen, func(net core.Net) core.Core { return mediabox.New(config, net, edge.Now()) })
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "media box %s listens on %s\n", name, loop.Addr())
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
			ctx, cancel := context.WithCancel(context.Background())
			deregistered := make(chan struct{})
			go func() { // registers until ctx is cancelled, which removes the key from the registry
				defer close(deregistered)
				if len(endpoints) == 0 {
					return
				}
				box := registry.Box{Address: loop.Addr(), Zone: zone, Cell: cell, Kind: "std", Weight: 1, State: "ready"}
				if cold {
					box.Started = time.UnixMicro(config.StartedAt)
				}
				client.Register(ctx, client.Config{Endpoints: endpoints, Core: registry.Config{Timeout: core.Second}},
					registry.BoxesPrefix+name, box.Encode, nil, 3, newLogger(true))
			}()
			<-signals
			cancel()
			<-deregistered
			loop.Stop(false)
			return nil
		}}
	cmd.Flags().StringSliceVar(&endpoints, "registry", nil, "endpoints of the registry in which it registers with a lease (default: none)")
	cmd.Flags().StringVar(&zone, "zone", "bloc-a", "zone to register with")
	cmd.Flags().IntVar(&cell, "cell", 0, "cell to register with")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9001", "address to listen on")
	cmd.Flags().StringVar(&name, "name", "box-1", "name of the media box, which prefixes its session IDs")
	cmd.Flags().StringSliceVar(&plans, "plan", []string{"live-lesson", "recorded-lesson"}, "plans whose titles it serves")
	cmd.Flags().Float64SliceVar(&ladder, "ladder", []float64{20, 40, 80, 160}, "rate of each rung in kB/s")
	cmd.Flags().Float64Var(&link, "link", 8000, "capacity of its link in kB/s")
	cmd.Flags().Float64Var(&uplink, "uplink", 16000, "capacity of its rack's uplink in kB/s")
	cmd.Flags().IntVar(&places, "places", 100, "maximum number of sessions")
	cmd.Flags().BoolVar(&cold, "cold", false, "start cold, with reduced capacity until it has warmed up")
	return cmd
}

// playerCommand returns the command that runs stand-in players against a session manager.
func playerCommand() *cobra.Command {
	var front, plan, title, tenant string
	var top, count, tracks, returns int
	var watch, abandon time.Duration
	cmd := &cobra.Command{Use: "player", Short: "Run stand-in players and print their results", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if count < 1 || tracks < 1 || watch <= 0 || abandon <= 0 {
				return fmt.Errorf("--count, --tracks, --watch and --abandon must be positive")
			}
			allEnded, playedCount := make(chan struct{}), 0
			var players *player.Group
			loop, err := edge.New("", func(net core.Net) core.Core {
				players = player.New(net, edge.Now())
				return players
			})
			if err != nil {
				return err
			}
			stateNames := map[player.State]string{player.Rejected: "refused", player.Failed: "failed", player.Abandoned: "abandoned",
				player.Lost: "lost", player.Done: "played"}
			loop.Post(func() {
				players.Report = func(want *player.Profile, seen *player.Result) {
					fmt.Printf("%s %s status=%d startup=%s packets=%d bytes=%d gaps=%d answers=%d of %d requests longest-silence=%s\n",
						seen.ID, stateNames[seen.State], seen.Status, toDuration(seen.StartupTime), seen.Packets, seen.Bytes, seen.Gaps, seen.Responses, seen.Requests,
						toDuration(seen.LongestSilence))
					if seen.State == player.Done {
						playedCount++
					}
					if players.Open() == 0 {
						close(allEnded)
					}
				}
				for i := range count {
					players.Start(&player.Profile{ID: fmt.Sprintf("pb-%d-%d", os.Getpid(), i), Fronts: []string{front}, Plan: plan,
						Title: title, Tenant: tenant, TopRung: top, Tracks: tracks, DescribeFirst: true, MaxRetries: returns, HonorsRetryAfter: true,
						RetryDelay: core.Second, WatchTime: watch.Microseconds(), AbandonTime: abandon.Microseconds()})
				}
			})
			<-allEnded
			loop.Stop(false)
			if playedCount < count {
				return fmt.Errorf("%s of %d players played to the end", strconv.Itoa(playedCount), count)
			}
			return nil
		}}
	cmd.Flags().StringVar(&front, "front", "127.0.0.1:8554", "address of the session manager")
	cmd.Flags().StringVar(&plan, "plan", "live-lesson", "plan of the playbacks")
	cmd.Flags().StringVar(&title, "title", "algebra", "title to play")
	cmd.Flags().StringVar(&tenant, "tenant", "", "tenant that the players belong to")
	cmd.Flags().IntVar(&top, "top", 3, "highest rung")
	cmd.Flags().IntVar(&count, "count", 1, "number of players")
	cmd.Flags().IntVar(&tracks, "tracks", 2, "number of tracks to set up")
	cmd.Flags().IntVar(&returns, "returns", 0, "maximum number of retries of each player")
	cmd.Flags().DurationVar(&watch, "watch", 3*time.Second, "viewing time")
	cmd.Flags().DurationVar(&abandon, "abandon", 4*time.Second, "abandon time: how long to wait for an answer")
	return cmd
}

// toDuration converts a time of the cores, in microseconds.
func toDuration(t core.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// registryCommand returns the command that runs a stand-in registry. It expires leases every 200 ms.
func registryCommand() *cobra.Command {
	var listen string
	var cluster uint64
	cmd := &cobra.Command{Use: "registry", Short: "Run a stand-in registry (etcd v3 API, in memory)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			store := standin.NewStore(cluster, fmt.Sprint(time.Now().UnixNano()), registry.HistoryKey)
			server, err := standin.Serve(listen, store)
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "registry listens on %s\n", server.Addr())
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
			ticker := time.NewTicker(200 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					store.ExpireLeases(false)
				case <-signals:
					server.Stop()
					return nil
				}
			}
		}}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:2379", "address to listen on")
	cmd.Flags().Uint64Var(&cluster, "cluster", 1, "cluster ID")
	return cmd
}
