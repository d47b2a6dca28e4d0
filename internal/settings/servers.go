package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"pierlink/internal/front"
	"pierlink/session"
)

// serverList holds the contents of a server list.
type serverList struct {
	Servers []serverEntry `toml:"server" validate:"unique=Name,dive"`
	Titles  []titleEntry  `toml:"title" validate:"unique=Name,dive"`
}

type serverEntry struct {
	Name    string    `toml:"name" validate:"required"`
	Address string    `toml:"address" validate:"required,address"`
	Zone    string    `toml:"zone" validate:"required"`
	Kind    string    `toml:"kind" validate:"required"`
	Cell    int       `toml:"cell" validate:"gte=0"`
	Weight  float64   `toml:"weight" validate:"gte=0"`
	State   string    `toml:"state" validate:"omitempty,oneof=ready draining"`
	Started time.Time `toml:"started"`
}

type titleEntry struct {
	Name string `toml:"name" validate:"required,excludesall=/?# "`
	Base int    `toml:"base" validate:"gte=0"`
	Span int    `toml:"span" validate:"gte=0"`
}

// ReadServerList reads a server list and validates it against the settings. The list is complete: servers that it
// does not contain are removed.
func ReadServerList(path string, config *Config) (front.ListUpdate, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return front.ListUpdate{}, err
	}
	return ParseServerList(text, config)
}

// ParseServerList parses and validates the text of a server list.
func ParseServerList(text []byte, config *Config) (front.ListUpdate, error) {
	var parsed serverList
	problems := decode(text, &parsed)
	list := front.ListUpdate{Complete: true}
	kinds := make([]string, len(config.Fleet.Kinds))
	for i, kind := range config.Fleet.Kinds {
		kinds[i] = kind.Name
	}
	for i, entry := range parsed.Servers {
		if entry.Zone != "" && !slices.Contains(config.Zones, entry.Zone) {
			problems = append(problems, fmt.Sprintf("server[%d].zone: one of %s is expected", i, strings.Join(config.Zones, ", ")))
		}
		if entry.Kind != "" && !slices.Contains(kinds, entry.Kind) {
			problems = append(problems, fmt.Sprintf("server[%d].kind: one of %s is expected", i, strings.Join(kinds, ", ")))
		}
		if entry.Cell >= config.Fleet.Cells {
			problems = append(problems, fmt.Sprintf("server[%d].cell: less than %d is expected, fleet.cells", i, config.Fleet.Cells))
		}
		server := front.Server{Name: entry.Name, Address: entry.Address, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell, Weight: entry.Weight,
			State: session.Ready}
		if entry.State == "draining" {
			server.State = session.Draining
		}
		if !entry.Started.IsZero() {
			server.Started = entry.Started.UnixMicro()
		}
		list.Servers = append(list.Servers, server)
	}
	for _, entry := range parsed.Titles {
		list.Titles = append(list.Titles, front.Title{Name: entry.Name, FirstCell: entry.Base, CellCount: entry.Span})
	}
	if len(problems) > 0 {
		return front.ListUpdate{}, problems
	}
	return list, nil
}
