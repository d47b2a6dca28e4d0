package client

import (
	"pierlink/internal/kept"
	"pierlink/internal/registry"
)

// ErrNone says that no view is kept.
var ErrNoView = kept.ErrNone

// Kept is a view as it lies on disk.
type StoredView struct {
	View map[string]registry.Entry
	Head registry.Head
	Mark registry.Mark
	AsOf registry.Time
}

const viewFormat = "registry view 1"

// Save replaces the file.
func (view *StoredView) Save(path string) error { return kept.Save(path, viewFormat, view) }

// Load reads a file. The errors are those of package kept.
func Load(path string) (*StoredView, error) {
	view := &StoredView{}
	if err := kept.Load(path, viewFormat, view); err != nil {
		return nil, err
	}
	return view, nil
}
