// Package kept stores the state of a session manager on disk: snapshots that are replaced atomically, and a journal
// of what is open at media boxes. Checksums detect truncated or corrupt content, which is reported and not used.
package kept

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// ErrNotFound is returned when there is no snapshot.
var ErrNotFound = errors.New("no snapshot found")

// ErrCorrupt is returned when a snapshot is truncated, corrupt, or of another kind or version.
var ErrCorrupt = errors.New("snapshot is truncated, corrupt or of another version")

// headerFormat is the first line of a snapshot: its kind with a version, and a checksum of the kind and the content.
const headerFormat = "pierlink %s %016x\n"

func checksum(kind string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

// Save replaces a snapshot atomically: the new content is written to a temporary file, synced and renamed over the old
// one, so that a crash or a full disk at any moment leaves the old snapshot. kind names the content and its version.
func Save(path, kind string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".kept-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(append(fmt.Appendf(nil, headerFormat, kind, checksum(kind, body)), body...))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("save %s: %w", path, err)
	}
	if dir, err := os.Open(filepath.Dir(path)); err == nil { // syncs the rename too
		_ = dir.Sync()
		_ = dir.Close()
	}
	return nil
}

// Load reads a snapshot of the given kind. The error is ErrNotFound if there is no file, wraps ErrCorrupt if its content is
// unusable, or is that of reading the file.
func Load(path, kind string, value any) error {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return ErrNotFound
	}
	if err != nil {
		return err
	}
	header, body, ok := bytes.Cut(content, []byte("\n"))
	if !ok || string(header)+"\n" != fmt.Sprintf(headerFormat, kind, checksum(kind, body)) {
		return fmt.Errorf("%s: %w", path, ErrCorrupt)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	return nil
}
