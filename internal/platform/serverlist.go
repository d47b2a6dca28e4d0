package platform

import (
	"errors"
	"slices"

	"pierlink/internal/core"
	"pierlink/internal/platform/feed"
	"pierlink/session"
)

// applyEvent applies an event of the server list, and passes it to the module.
func (m *Manager) applyEvent(event feed.Event) {
	list := session.List{Complete: event.Snapshot}
	named := map[uint32]bool{}
	processesChanged := false
	for _, entry := range event.Servers {
		named[entry.ID] = true
		srv := m.servers[entry.ID]
		if srv == nil && entry.State == session.Gone {
			continue
		}
		if srv == nil {
			srv = m.addServer(entry.ID)
		}
		processesChanged = m.applyEntry(srv, &entry) || processesChanged
		list.Entries = append(list.Entries, session.Entry{Server: srv.index, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, State: entry.State,
			Started: entry.Started, Weight: entry.Weight})
	}
	readyCount := 0
	for id, srv := range m.servers {
		if event.Snapshot && !named[id] {
			srv.state = session.Gone
		}
		if srv.state == session.Gone && srv.goneAt == 0 {
			srv.goneAt = m.now
		} else if srv.state != session.Gone {
			srv.goneAt = 0
			readyCount++
		}
	}
	if processesChanged {
		m.retireReplaced()
	}
	m.connsPerServer = serverConnLimit(m.config, readyCount)
	m.module.Listed(list)
	m.trace("server list event %d, snapshot %v: %+v", event.Offset, event.Snapshot, event.Servers)
}

// addServer adds a server that the list names for the first time, under a number that is free.
func (m *Manager) addServer(id uint32) *server {
	srv := &server{id: id, name: feed.ServerName(id), index: len(m.serverByIndex), playing: map[*playback]struct{}{}, probes: map[string]*core.Timer{},
		lastReachedAt: m.now, lastSignAt: m.now}
	if count := len(m.freeServerIndexes); count > 0 {
		srv.index, m.freeServerIndexes = m.freeServerIndexes[count-1], m.freeServerIndexes[:count-1]
		m.serverByIndex[srv.index] = srv
	} else {
		m.serverByIndex = append(m.serverByIndex, srv)
	}
	m.servers[id] = srv
	return srv
}

// applyEntry applies the list's entry of a server. It reports whether its process is another one than before, by its
// address or start.
func (m *Manager) applyEntry(srv *server, entry *feed.Server) (processChanged bool) {
	addressChanged, startChanged := srv.address != entry.Address, srv.started != entry.Started
	srv.state, srv.address, srv.started = entry.State, entry.Address, entry.Started
	if startChanged {
		m.endPlaybacks(srv, "the server has restarted", func(pb *playback) bool { return pb.phaseSince < srv.started })
	}
	for _, conn := range slices.Clone(srv.conns) { // a machine that was unreachable has not reset its connections
		if addressChanged || conn.up && conn.upAt < srv.started-core.Millisecond {
			m.serverConnLost(conn, errors.New("connection to an earlier process of the server"))
		}
	}
	return addressChanged || startChanged
}

// errReplaced is the reason for closing connections to an address that belongs to another server now.
var errReplaced = errors.New("another server has this address")

// retireReplaced gives up servers whose address a server has that started later: their processes have exited, which the
// list may tell later or not at all, and their connections are dead or lead to the other process.
func (m *Manager) retireReplaced() {
	latest := map[string]*server{} // by address
	for _, srv := range m.servers {
		if srv.state != session.Gone && (latest[srv.address] == nil || srv.started > latest[srv.address].started) {
			latest[srv.address] = srv
		}
	}
	for _, srv := range m.servers {
		successor := latest[srv.address]
		wasReplaced := srv.replaced
		srv.replaced = successor != nil && successor.started > srv.started
		if !srv.replaced || wasReplaced {
			continue
		}
		m.endPlaybacks(srv, "another server has its address", func(pb *playback) bool { return pb.phaseSince < successor.started })
		m.giveUpConns(srv, successor.started)
		srv.outbox = nil
	}
}

// giveUpConns gives up the connections of a server whose process has been replaced by one that started at a time.
// Connections that came up since lead to that one: they are kept, for what was set up on them, and used for nothing new.
func (m *Manager) giveUpConns(srv *server, started core.Time) {
	for _, conn := range slices.Concat(srv.conns, srv.draining) {
		if len(srv.playing) == 0 || !conn.up || conn.draining || conn.upAt < started-core.Millisecond {
			m.serverConnLost(conn, errReplaced)
			continue
		}
		for _, pb := range slices.Clone(conn.setups) {
			m.reportEnd(pb, session.Reset, "")
		}
	}
}
