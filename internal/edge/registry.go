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

// inbox gathers news until the front's next turn takes it: a thousand changes a second are as many turns at
// most as the front has anyway.
type listBatcher struct {
	loop      *Loop
	front     *front.Front
	mu        sync.Mutex
	pending   front.List
	scheduled bool
}

func (i *listBatcher) add(l front.List) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if l.Whole {
		i.pending = l
	} else {
		i.pending.Servers = append(i.pending.Servers, l.Servers...)
	}
	if !i.scheduled {
		i.scheduled = true
		i.loop.Post(i.flush)
	}
}

func (i *listBatcher) flush() {
	i.mu.Lock()
	l := i.pending
	i.pending, i.scheduled = front.List{}, false
	i.mu.Unlock()
	i.front.Listed(l)
	if l := i.front.Life(); l != nil {
		l.Has(life.List)
	}
}

// Follow has a front hear of boxes from a registry. The client's goroutine turns its news into lists; the
// front takes them in turns of its own.
// gone, if not nil, is called when this manager's own key has gone though it lives.
// Where own is set, how many session managers there are, and this one's number, follow from the registry too.
func Follow(p client.Place, own *registry.Fleet, gone func(), loop *Loop, f *front.Front, log *zap.Logger) (*client.Client, error) {
	var boxes registry.Boxes
	fronts, mine := 0, 0
	var others []string
	in := &listBatcher{loop: loop, front: f}
	count := func() {
		all, number := own.Count(Now())
		if all != fronts || number != mine {
			fronts, mine = all, number
			loop.Post(func() { f.Among(all, number) })
			log.Info("session managers", zap.Int("fronts", all), zap.Int("front", number))
		}
	}
	c, err := client.New(p, log, func(n registry.News, _ registry.Mark) {
		if own != nil {
			own.Take(n, Now())
			count()
			if own.Lost {
				own.Lost = false
				gone()
			}
			if now := own.Others(); !slices.Equal(now, others) {
				others = now
				loop.Post(func() { f.Others().Set(now) })
			}
		}
		named, bad := boxes.Take(n)
		for _, err := range bad {
			log.Warn("value in the registry", zap.Error(err))
		}
		if !n.Whole && len(named) == 0 {
			return
		}
		l := front.List{Whole: n.Whole, Kept: n.Kept}
		for _, b := range named {
			l.Servers = append(l.Servers, Line(b))
		}
		in.add(l)
		say := log.Debug
		if n.Whole {
			say = log.Info
		}
		say("server list taken", zap.Bool("whole", n.Whole), zap.Int("servers", len(l.Servers)), zap.Int64("revision", n.Revision),
			zap.Bool("confirmed", n.Guarded))
	})
	if err != nil || own == nil {
		return c, err
	}
	go func() { // those that are gone count for a while, and then no more, whether or not there is news
		tick := time.NewTicker(time.Duration(own.Lease) * time.Microsecond)
		defer tick.Stop()
		for {
			select {
			case <-c.Done():
				return
			case <-tick.C:
				c.Do(func(*registry.Core) { count() })
			}
		}
	}()
	return c, nil
}

// Line is a box as the front's list has it.
func Line(b registry.Named) front.Server {
	s := front.Server{Name: b.Name, Address: b.Address, Zone: b.Zone, Kind: b.Kind, Cell: b.Cell, Weight: b.Weight, State: session.Ready}
	switch {
	case b.Gone:
		s.State = session.Gone
	case b.State == "draining":
		s.State = session.Draining
	}
	if !b.Started.IsZero() {
		s.Started = b.Started.UnixMicro()
	}
	return s
}
