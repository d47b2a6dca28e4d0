// Command adapter hosts decision modules on the simulator's wire, on standard input and output. The
// instances share nothing.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"pierlink/internal/simwire"
	"pierlink/internal/start"
	"pierlink/policy"
	"pierlink/session"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), bufio.NewWriter(out)
	doors, reply := map[uint16]*door{}, &simwire.Reply{}
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var busy []*door
		for i := range b.Events {
			e := &b.Events[i]
			d := doors[e.Manager]
			switch {
			case e.Code == simwire.EvStart:
				told, err := start.Read(e.Info)
				if err != nil {
					return err
				}
				if d != nil {
					d.module = nil
				}
				d = newDoor(e.Manager, told.Load, policy.New(told.Site, e.Seed, b.Now), told.Site, reply)
				doors[e.Manager] = d
			case d == nil:
				return fmt.Errorf("event %d for unknown instance %d", e.Code, e.Manager)
			case e.Code == simwire.EvStop:
				d.module = nil
				delete(doors, e.Manager)
				continue
			}
			if !d.busy {
				d.busy = true
				busy = append(busy, d)
				d.module.At(b.Now)
			}
			if err := d.event(e); err != nil {
				return err
			}
		}
		for _, d := range busy {
			d.busy = false
			if d.module != nil {
				d.module.Settle(d)
			}
		}
		if err := reply.WriteTo(w, b.Number); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// door maps one instance's wire ids to small numbers and back.
type door struct {
	manager   uint16
	module    session.Manager
	names     []string
	site      *session.Site
	reply     *simwire.Reply
	busy      bool
	servers   map[simwire.Server]int
	serverIDs []simwire.Server
	titles    map[uint64]int
	playbacks map[uint32]int
	ids       []uint32
	free      []int
}

func newDoor(manager uint16, names []string, m session.Manager, site *session.Site, reply *simwire.Reply) *door {
	return &door{manager: manager, module: m, names: names, site: site, reply: reply,
		servers: map[simwire.Server]int{}, titles: map[uint64]int{}, playbacks: map[uint32]int{}}
}

func (d *door) server(s simwire.Server) int {
	i, ok := d.servers[s]
	if !ok {
		i = len(d.serverIDs)
		d.servers[s] = i
		d.serverIDs = append(d.serverIDs, s)
	}
	return i
}

func (d *door) request(e *simwire.Event) (session.Request, error) {
	r := e.Request
	if r.Plan >= len(d.site.Plans) {
		return r, fmt.Errorf("request of unknown class %d", r.Plan)
	}
	i, ok := d.titles[r.Show]
	if !ok {
		i = len(d.titles)
		d.titles[r.Show] = i
	}
	r.Title = i
	r.Playback = len(d.ids)
	if n := len(d.free); n > 0 {
		r.Playback, d.free = d.free[n-1], d.free[:n-1]
		d.ids[r.Playback] = e.ID
	} else {
		d.ids = append(d.ids, e.ID)
	}
	d.playbacks[e.ID] = r.Playback
	return r, nil
}

func (d *door) event(e *simwire.Event) error {
	m := d.module
	switch e.Code {
	case simwire.EvRequest, simwire.EvOpen:
		if _, ok := d.playbacks[e.ID]; ok {
			return nil // an id is never used again: a repeat says nothing new
		}
		r, err := d.request(e)
		if err != nil {
			return err
		}
		if e.Code == simwire.EvOpen {
			m.Opened(r, d.server(e.Server))
		} else {
			m.Requested(r)
		}
		return nil
	case simwire.EvList:
		l := session.List{Whole: e.Whole(), Failed: e.Failed(), Entries: make([]session.Entry, len(e.Entries))}
		for i, x := range e.Entries {
			if x.Kind >= len(d.site.Fleet.Places) {
				return fmt.Errorf("list entry of unknown kind %d", x.Kind)
			}
			x.Server = d.server(x.ID)
			l.Entries[i] = x.Entry
		}
		m.Listed(l)
		return nil
	case simwire.EvWake:
		m.Woken(e.Token)
		return nil
	case simwire.EvProbed:
		m.Probed(d.server(e.Server), e.Outcome, start.Load(d.names, e.Values))
		return nil
	case simwire.EvPeer:
		return nil
	}
	pb, ok := d.playbacks[e.ID]
	if !ok {
		return nil // finished and forgotten
	}
	switch e.Code {
	case simwire.EvPlaying:
		m.Playing(pb, e.Try, d.server(e.Server), e.Took)
	case simwire.EvResult:
		m.Ended(session.Result{Playback: pb, Try: e.Try, Server: d.server(e.Server), Outcome: e.Outcome,
			Took: e.Took, Final: e.Final, Load: start.Load(d.names, e.Values)})
	case simwire.EvLeft:
		m.Left(pb)
	case simwire.EvNote:
		n := e.Note
		n.Playback, n.Server = pb, d.server(e.Server)
		m.Noted(n)
	}
	return nil
}

func (d *door) SetRung(pb, rung int)    { d.reply.SetRung(d.manager, d.ids[pb], rung) }
func (d *door) Abort(pb int)            { d.reply.Abort(d.manager, d.ids[pb]) }
func (d *door) Move(pb int)             { d.reply.Move(d.manager, d.ids[pb]) }
func (d *door) Probe(server int)        { d.reply.Probe(d.manager, d.serverIDs[server]) }
func (d *door) Watch()                  { d.reply.Watch(d.manager) }
func (d *door) Wake(at int64, t uint64) { d.reply.Wake(d.manager, at, t) }

func (d *door) Try(pb, server int, limit session.Time) {
	d.reply.Try(d.manager, d.ids[pb], d.serverIDs[server], limit)
}

func (d *door) Reject(pb int, comeAgain session.Time) {
	d.reply.Reject(d.manager, d.ids[pb], comeAgain)
}

func (d *door) Forget(pb int) {
	delete(d.playbacks, d.ids[pb])
	d.free = append(d.free, pb)
}
