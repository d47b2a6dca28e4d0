package client

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"pierlink/internal/registry"
)

// Checks that a stored view is read back unchanged, and that a file truncated anywhere, or with any bit flipped, is
// rejected.
func TestStoredView(t *testing.T) {
	file := filepath.Join(t.TempDir(), "view")
	if _, err := Load(file); !errors.Is(err, ErrNoView) {
		t.Fatal(err)
	}
	view := &StoredView{View: map[string]registry.Entry{"/pierlink/boxes/a": {Value: []byte("v"), Mod: 7}}, Head: registry.Header{Cluster: 3, Revision: 9},
		Mark: "m", AsOf: 5}
	if err := view.Save(file); err != nil {
		t.Fatal(err)
	}
	got, err := Load(file)
	if err != nil || got.Head != view.Head || got.Mark != "m" || string(got.View["/pierlink/boxes/a"].Value) != "v" {
		t.Fatal(got, err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range text {
		if err := os.WriteFile(file, text[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(file); err == nil {
			t.Error("loaded a file truncated at byte", i)
		}
		flipped := append([]byte(nil), text...)
		flipped[i] ^= 1 << (i % 8)
		if err := os.WriteFile(file, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(file); err == nil {
			t.Error("loaded a file with a bit flipped in byte", i)
		}
	}
	if err := view.Save(filepath.Join(t.TempDir(), "none", "view")); err == nil {
		t.Error("no error on saving to a directory that does not exist")
	}
}
