package edge

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/front"
	"pierlink/internal/life"
	"pierlink/internal/registry"
	"pierlink/internal/registry/client"
	"pierlink/session"
)

// listBatcher collects changes of the server list until the front's next turn applies them, so that even a thousand
// changes a second cause no additional turns.
type listBatcher struct {
	loop      *Loop
	front     *front.Front
	mu        sync.Mutex
	pending   front.ListUpdate
	scheduled bool
}

func (i *listBatcher) add(list front.ListUpdate) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if list.Complete {
		i.pending = list
	} else {
		i.pending.Servers = append(i.pending.Servers, list.Servers...)
	}
	if !i.scheduled {
		i.scheduled = true
		i.loop.Post(i.flush)
	}
}

func (i *listBatcher) flush() {
	i.mu.Lock()
	list := i.pending
	i.pending, i.scheduled = front.ListUpdate{}, false
	i.mu.Unlock()
	i.front.UpdateList(list)
	if l := i.front.Lifecycle(); l != nil {
		l.Satisfy(life.ServerListLoaded)
	}
}

// FollowRegistry feeds a front with the media boxes that a registry lists. The goroutine of the registry client converts
// changes into server lists; the front applies them in its own turns.
// If fleet is not nil, the number of session managers and the index of this one come from the registry too, and
// onKeyLost is called when the key of this session manager has disappeared although it is running.
func FollowRegistry(place client.Config, fleet *registry.ManagerSet, onKeyLost func(), loop *Loop, frontCore *front.Front, logger *zap.Logger) (*client.Client, error) {
	var boxes registry.BoxTracker
	managers, ownIndex := 0, 0
	var others []string
	batcher := &listBatcher{loop: loop, front: frontCore}
	updateCount := func() {
		count, index := fleet.Count(Now())
		if count != managers || index != ownIndex {
			managers, ownIndex = count, index
			loop.Post(func() { frontCore.SetFronts(count, index) })
			logger.Info("number of session managers or own index changed", zap.Int("fronts", count), zap.Int("front", index))
		}
	}
	c, err := client.New(place, logger, func(update registry.Update, _ registry.HistoryID) {
		if fleet != nil {
			fleet.Apply(update, Now())
			updateCount()
			if fleet.LeaseLost {
				fleet.LeaseLost = false
				onKeyLost()
			}
			if current := fleet.Others(); !slices.Equal(current, others) {
				others = current
				loop.Post(func() { frontCore.OtherManagers().Set(current) })
			}
		}
		changed, invalid := boxes.Apply(update)
		for _, err := range invalid {
			logger.Warn("invalid value in the registry", zap.Error(err))
		}
		if !update.Snapshot && len(changed) == 0 {
			return
		}
		list := front.ListUpdate{Complete: update.Snapshot, Restored: update.Restored}
		for _, b := range changed {
			list.Servers = append(list.Servers, ServerOf(b))
		}
		batcher.add(list)
		logAt := logger.Debug
		if update.Snapshot {
			logAt = logger.Info
		}
		logAt("server list received", zap.Bool("whole", update.Snapshot), zap.Int("servers", len(list.Servers)), zap.Int64("revision", update.Revision),
			zap.Bool("confirmed", update.Deferred))
	})
	if err != nil || fleet == nil {
		return c, err
	}
	go func() { // managers that have gone stop being counted after some lease periods, even if no change arrives
		tick := time.NewTicker(time.Duration(fleet.LeaseTime) * time.Microsecond)
		defer tick.Stop()
		for {
			select {
			case <-c.Done():
				return
			case <-tick.C:
				c.WithCore(func(*registry.Core) { updateCount() })
			}
		}
	}()
	return c, nil
}

// ServerOf converts a media box of the registry to an entry of the server list.
func ServerOf(box registry.NamedBox) front.Server {
	server := front.Server{Name: box.Name, Address: box.Address, Zone: box.Zone, Kind: box.Kind, Cell: box.Cell, Weight: box.Weight, State: session.Ready}
	switch {
	case box.Removed:
		server.State = session.Gone
	case box.State == "draining":
		server.State = session.Draining
	}
	if !box.Started.IsZero() {
		server.Started = box.Started.UnixMicro()
	}
	return server
}
