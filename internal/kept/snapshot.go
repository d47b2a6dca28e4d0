// Package kept is what a session manager keeps on disk: snapshots that are replaced whole, and a journal of
// what is open at boxes. Whatever is truncated or changed is found out, said, and done without.
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

// ErrNone says that nothing is kept.
var ErrNone = errors.New("nothing is kept")

// ErrBad says that what is kept was truncated, changed, or is of another version.
var ErrBad = errors.New("truncated, changed or of another version")

// head is the first line of a snapshot: its kind with its version, and a checksum of the kind and all that
// follows.
const headerFormat = "pierlink %s %016x\n"

func checksum(kind string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

// Save replaces a snapshot: it is written beside the old one and takes its place once it is on disk whole, so
// that a death or a full disk at any moment leaves the old one. kind names what it is, with a version.
func Save(path, kind string, from any) error {
	body, err := json.Marshal(from)
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
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("keep %s: %w", path, err)
	}
	if d, err := os.Open(filepath.Dir(path)); err == nil { // the name too
		_ = d.Sync()
		_ = d.Close()
	}
	return nil
}

// Load reads a snapshot of a kind. The error is ErrNone or wraps ErrBad, or tells why it could not be read.
func Load(path, kind string, into any) error {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return ErrNone
	}
	if err != nil {
		return err
	}
	first, body, ok := bytes.Cut(text, []byte("\n"))
	if !ok || string(first)+"\n" != fmt.Sprintf(headerFormat, kind, checksum(kind, body)) {
		return fmt.Errorf("%s: %w", path, ErrBad)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrBad, err)
	}
	return nil
}
