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
	c := &cobra.Command{Use: "mediabox", Short: "Run a stand-in media box", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if link <= 0 || uplink <= 0 || places < 1 || len(ladder) == 0 {
				return fmt.Errorf("--link, --uplink, --places and --ladder must be above 0")
			}
			f := mediabox.Frame{Name: name, LadderKB: ladder, Join: 0.25, LinkKB: link, Places: places,
				Rack: &mediabox.Rack{UplinkKB: uplink}, SetupTime: [2]core.Time{5_000, 20_000}, Tick: 50_000, PacketBytes: 1200,
				NoteDelay: 400_000, NoteAll: 2 * core.Second, LoadInAnswers: true, SessionTimeout: 60 * core.Second,
				ColdFrom: 0.3, WarmUp: 10 * core.Second, FallMultiple: 4, FallSpan: core.Second, Seed: uint64(os.Getpid())}
			for _, p := range plans {
				f.Plans = append(f.Plans, mediabox.Plan{Name: p, RateFactor: 1, Tracks: []string{"video", "audio"}})
			}
			if cold {
				f.Started = edge.Now()
			}
			l, err := edge.New(listen, func(n core.Net) core.Core { return mediabox.New(f, n, edge.Now()) })
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "media box %s listens on %s\n", name, l.Addr())
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
			ctx, cancel := context.WithCancel(context.Background())
			left := make(chan struct{})
			go func() { // its key goes with it
				defer close(left)
				if len(endpoints) == 0 {
					return
				}
				b := registry.Box{Address: l.Addr(), Zone: zone, Cell: cell, Kind: "std", Weight: 1, State: "ready"}
				if cold {
					b.Started = time.UnixMicro(f.Started)
				}
				client.Register(ctx, client.Place{Endpoints: endpoints, Bounds: registry.Bounds{Timeout: core.Second}},
					registry.BoxesPrefix+name, b.Value, nil, 3, newLogger(true))
			}()
			<-stop
			cancel()
			<-left
			l.Stop(false)
			return nil
		}}
	c.Flags().StringSliceVar(&endpoints, "registry", nil, "endpoints of the registry at which it registers with a lease")
	c.Flags().StringVar(&zone, "zone", "bloc-a", "zone that it registers")
	c.Flags().IntVar(&cell, "cell", 0, "cell that it registers")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9001", "address")
	c.Flags().StringVar(&name, "name", "box-1", "name, the beginning of its session ids")
	c.Flags().StringSliceVar(&plans, "plan", []string{"live-lesson", "recorded-lesson"}, "plans whose titles it has")
	c.Flags().Float64SliceVar(&ladder, "ladder", []float64{20, 40, 80, 160}, "kB a second of each rung")
	c.Flags().Float64Var(&link, "link", 8000, "kB a second")
	c.Flags().Float64Var(&uplink, "uplink", 16000, "kB a second of its rack's uplink")
	c.Flags().IntVar(&places, "places", 100, "sessions at most")
	c.Flags().BoolVar(&cold, "cold", false, "starts cold")
	return c
}

func playerCommand() *cobra.Command {
	var front, plan, title, tenant string
	var top, count, tracks, returns int
	var watch, abandon time.Duration
	c := &cobra.Command{Use: "player", Short: "Run stand-in players and print what they got", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if count < 1 || tracks < 1 || watch <= 0 || abandon <= 0 {
				return fmt.Errorf("--count, --tracks, --watch and --abandon must be above 0")
			}
			done, played := make(chan struct{}), 0
			var crowd *player.Crowd
			l, err := edge.New("", func(n core.Net) core.Core {
				crowd = player.New(n, edge.Now())
				return crowd
			})
			if err != nil {
				return err
			}
			names := map[player.State]string{player.Refused: "refused", player.Failed: "failed", player.Abandoned: "abandoned",
				player.Lost: "lost", player.Done: "played"}
			l.Post(func() {
				crowd.Report = func(w *player.Want, s *player.Seen) {
					fmt.Printf("%s %s status=%d startup=%s packets=%d bytes=%d gaps=%d answers=%d of %d requests longest-silence=%s\n",
						s.ID, names[s.State], s.Status, toDuration(s.FirstPacket), s.Packets, s.Bytes, s.Gaps, s.Answers, s.Requests,
						toDuration(s.LongestSilence))
					if s.State == player.Done {
						played++
					}
					if crowd.Open() == 0 {
						close(done)
					}
				}
				for i := range count {
					crowd.Start(&player.Want{ID: fmt.Sprintf("pb-%d-%d", os.Getpid(), i), Fronts: []string{front}, Plan: plan,
						Title: title, Tenant: tenant, Top: top, Tracks: tracks, Ask: true, Returns: returns, KeepsTo: true,
						Break: core.Second, Watch: watch.Microseconds(), Abandon: abandon.Microseconds()})
				}
			})
			<-done
			l.Stop(false)
			if played < count {
				return fmt.Errorf("%s of %d played", strconv.Itoa(played), count)
			}
			return nil
		}}
	c.Flags().StringVar(&front, "front", "127.0.0.1:8554", "the session manager's address")
	c.Flags().StringVar(&plan, "plan", "live-lesson", "plan")
	c.Flags().StringVar(&title, "title", "algebra", "title")
	c.Flags().StringVar(&tenant, "tenant", "", "tenant")
	c.Flags().IntVar(&top, "top", 3, "highest rung")
	c.Flags().IntVar(&count, "count", 1, "players")
	c.Flags().IntVar(&tracks, "tracks", 2, "tracks to set up")
	c.Flags().IntVar(&returns, "returns", 0, "how often each comes again")
	c.Flags().DurationVar(&watch, "watch", 3*time.Second, "how long to play")
	c.Flags().DurationVar(&abandon, "abandon", 4*time.Second, "gives up after")
	return c
}

func toDuration(t core.Time) time.Duration { return time.Duration(t) * time.Microsecond }

func registryCommand() *cobra.Command {
	var listen string
	var cluster uint64
	c := &cobra.Command{Use: "registry", Short: "Run a stand-in registry (etcd v3 API, in memory)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			store := standin.NewStore(cluster, fmt.Sprint(time.Now().UnixNano()), registry.MarkKey)
			s, err := standin.Serve(listen, store)
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "registry listens on %s\n", s.Addr())
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
			tick := time.NewTicker(200 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					store.Expire(false)
				case <-stop:
					s.Stop()
					return nil
				}
			}
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:2379", "address")
	c.Flags().Uint64Var(&cluster, "cluster", 1, "cluster id")
	return c
}
