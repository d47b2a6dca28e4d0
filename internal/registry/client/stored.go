package client

import (
	"pierlink/internal/kept"
	"pierlink/internal/registry"
)

// ErrNoView reports that no view is stored.
var ErrNoView = kept.ErrNotFound

// StoredView is a view as it is stored on disk.
type StoredView struct {
	View map[string]registry.Entry
	Head registry.Header
	Mark registry.HistoryID // identifier of the history
	AsOf registry.Time      // when the view was last known to match the registry
}

const viewFormat = "registry view 1"

// Save writes the view to a file, replacing it.
func (v *StoredView) Save(path string) error { return kept.Save(path, viewFormat, v) }

// Load reads a stored view. Its errors are those of package kept.
func Load(path string) (*StoredView, error) {
	view := &StoredView{}
	if err := kept.Load(path, viewFormat, view); err != nil {
		return nil, err
	}
	return view, nil
}
