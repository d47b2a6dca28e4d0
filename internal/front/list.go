package front

import (
	"slices"

	"go.uber.org/zap"

	"pierlink/session"
)

// Server is one entry of the server list.
type Server struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Weight                    float64
	State                     session.ServerState
	Started                   Time // start of the server by this front's clock, 0 if long ago
}

// Title is one entry of the catalogue: a title's name, the first cell that holds it, and the number of cells from
// there on. With a number of 0 all cells hold it.
type Title struct {
	Name                 string
	FirstCell, CellCount int
}

// ListUpdate is an update of the server list and the catalogue.
type ListUpdate struct {
	Servers  []Server
	Titles   []Title // nil leaves the catalogue unchanged
	Complete bool    // the update is complete: servers that it does not name are gone
	Restored bool    // saved by an earlier process: servers may have restarted since
}

// boxEntry is the front's state of a server.
type boxEntry struct {
	name, address   string
	state           session.ServerState
	lastListed      session.Entry // as last reported to the module
	controlDialogue *serverDialogue
	probing         bool
}

// UpdateList applies an update of the server list and passes it to the module. Servers of an unknown zone or kind
// are left out with a log message.
func (f *Front) UpdateList(update ListUpdate) {
	moduleUpdate := session.List{Complete: update.Complete}
	if update.Complete {
		f.Site.StartsListed = !update.Restored
	}
	if update.Complete {
		for i := range f.boxes {
			f.boxes[i].state = session.Gone
		}
	}
	for _, server := range update.Servers {
		if i, ok := f.boxIndex[server.Name]; server.State == session.Gone { // its name is enough, its other fields may be empty
			if ok {
				box := &f.boxes[i]
				box.state, box.lastListed.State = session.Gone, session.Gone
				moduleUpdate.Entries = append(moduleUpdate.Entries, box.lastListed)
			}
			continue
		}
		zone, kind := slices.Index(f.Zones, server.Zone), slices.Index(f.Kinds, server.Kind)
		if zone < 0 || kind < 0 || server.Cell < 0 {
			f.log.Warn("ignoring server: unknown zone or kind, or negative cell", zap.String("server", server.Name),
				zap.String("zone", server.Zone), zap.String("kind", server.Kind))
			continue
		}
		i, ok := f.boxIndex[server.Name]
		if !ok {
			i = len(f.boxes)
			f.boxIndex[server.Name] = i
			f.boxes = append(f.boxes, boxEntry{name: server.Name})
		}
		box := &f.boxes[i]
		if box.address != server.Address && box.controlDialogue != nil {
			f.closeDialogue(box.controlDialogue)
		}
		box.address, box.state = server.Address, server.State
		box.lastListed = session.Entry{Server: i, Zone: zone, Kind: kind, Cell: server.Cell, State: server.State, Started: server.Started, Weight: server.Weight}
		moduleUpdate.Entries = append(moduleUpdate.Entries, box.lastListed)
	}
	if update.Titles != nil {
		f.titles.catalogue = map[string]Title{}
		for _, title := range update.Titles {
			f.titles.catalogue[title.Name] = title
		}
	}
	f.retireReplaced(&moduleUpdate)
	f.module.Listed(moduleUpdate)
}

// retireReplaced takes out of service the boxes whose address a box has that started later: their processes have exited,
// and a connection would lead to the other one. They come back when they are listed with another address or a later start.
func (f *Front) retireReplaced(update *session.List) {
	latest := map[string]Time{} // latest start by address
	for i := range f.boxes {
		if box := &f.boxes[i]; box.state != session.Gone {
			latest[box.address] = max(latest[box.address], box.lastListed.Started)
		}
	}
	for i := range f.boxes {
		box := &f.boxes[i]
		if box.state == session.Gone || box.lastListed.Started >= latest[box.address] {
			continue
		}
		box.state, box.lastListed.State = session.Gone, session.Gone
		update.Entries = append(update.Entries, box.lastListed)
		if box.controlDialogue != nil {
			f.closeDialogue(box.controlDialogue)
		}
	}
}

// SetFronts sets the number of fronts and the index of this one. The module reads both from the site that it was
// created for, which is the one in the front's configuration.
func (f *Front) SetFronts(fronts, front int) { f.Site.Fronts, f.Site.Front = fronts, front }

// ForEachServer calls a function once for each server that is not gone.
func (f *Front) ForEachServer(call func()) {
	for i := range f.boxes {
		if f.boxes[i].state != session.Gone {
			call()
		}
	}
}
