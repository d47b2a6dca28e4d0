package front

import (
	"slices"

	"go.uber.org/zap"

	"pierlink/session"
)

// Server is one line of the server list.
type Server struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Weight                    float64
	State                     session.ServerState
	Started                   Time // by this front's clock, 0 for long ago
}

// Title is one line of the catalogue: the cells that hold a title, Span of them from Base on; all with a
// Span of 0.
type Title struct {
	Name       string
	Base, Span int
}

// List is news of servers and titles.
type List struct {
	Servers []Server
	Titles  []Title // nil leaves the catalogue as it was
	Whole   bool    // servers that it does not name are gone
	Kept    bool    // of an earlier process: servers may have started anew since
}

// box is a server as the front keeps it.
type boxEntry struct {
	name, address   string
	state           session.ServerState
	lastListed      session.Entry // as the module was last told
	controlDialogue *serverDialogue
	probing         bool
}

// Listed follows the server list. Lines of a zone or kind that the service does not know are left out and
// said so.
func (f *Front) Listed(update List) {
	news := session.List{Whole: update.Whole}
	if update.Whole {
		f.Site.StartsTold = !update.Kept
	}
	if update.Whole {
		for i := range f.boxes {
			f.boxes[i].state = session.Gone
		}
	}
	for _, server := range update.Servers {
		if i, ok := f.boxIndex[server.Name]; server.State == session.Gone { // of such a one the name is enough
			if ok {
				box := &f.boxes[i]
				box.state, box.lastListed.State = session.Gone, session.Gone
				news.Entries = append(news.Entries, box.lastListed)
			}
			continue
		}
		zone, kind := slices.Index(f.Zones, server.Zone), slices.Index(f.Kinds, server.Kind)
		if zone < 0 || kind < 0 || server.Cell < 0 {
			f.log.Warn("server left out: unknown zone or kind", zap.String("server", server.Name),
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
		news.Entries = append(news.Entries, box.lastListed)
	}
	if update.Titles != nil {
		f.titles.catalogue = map[string]Title{}
		for _, title := range update.Titles {
			f.titles.catalogue[title.Name] = title
		}
	}
	f.module.Listed(news)
}

// Among tells how many fronts there are and which number this one has. The module reads both from the site
// that it was made for, which is the service's own.
func (f *Front) Among(fronts, front int) { f.Site.Fronts, f.Site.Front = fronts, front }

// Each calls for each server that is not gone.
func (f *Front) Each(call func()) {
	for i := range f.boxes {
		if f.boxes[i].state != session.Gone {
			call()
		}
	}
}
