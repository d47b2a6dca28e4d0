package kept

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

type sample struct {
	A string
	B map[string]float64
}

// Guards against loading a damaged snapshot: every truncation and every flipped bit has to be detected, and so has a
// snapshot of another kind.
func TestSnapshotDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	var got sample
	if err := Load(path, "sample 1", &got); !errors.Is(err, ErrNotFound) {
		t.Fatal(err)
	}
	want := sample{"a", map[string]float64{"b": 1.5, "c": 2}}
	if err := Save(path, "sample 1", want); err != nil {
		t.Fatal(err)
	}
	if err := Load(path, "sample 1", &got); err != nil || got.B["c"] != 2 {
		t.Fatal(got, err)
	}
	if err := Load(path, "sample 2", &got); !errors.Is(err, ErrCorrupt) {
		t.Error("a snapshot of another kind was loaded:", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range text {
		for _, damaged := range [][]byte{text[:n], append(slices.Clone(text[:n]), append([]byte{text[n] ^ 1<<(n%8)}, text[n+1:]...)...)} {
			if err := os.WriteFile(path, damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := Load(path, "sample 1", &got); !errors.Is(err, ErrCorrupt) {
				t.Fatalf("damage at byte %d of %d: %v", n, len(text), err)
			}
		}
	}
}

// Saving a snapshot or starting a journal in a directory that does not exist or cannot be written returns an error.
func TestUnwritableDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	if err := Save(filepath.Join(dir, "x"), "sample 1", 1); err == nil {
		t.Error("a snapshot was saved to a directory that does not exist")
	}
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewJournal(dir, func(error) {}); err == nil {
		t.Error("a journal was started, though its directory is a file")
	}
}

// lastRecordsWritten reports whether the journal of TestJournal's process holds its last records: r2999 is open, and r2992
// has ended, so that it is named twice, or not at all once the journal has been compacted.
func lastRecordsWritten(path string) bool {
	text, err := os.ReadFile(path)
	return err == nil && bytes.Contains(text, []byte(`"r2999"`)) && bytes.Count(text, []byte(`"r2992"`)) != 1
}

// The journal of a killed process yields what it had open; that of a running process is left alone; corrupt lines are
// skipped; the file is compacted, and removed when nothing is open. The test runs itself as the process to kill.
func TestJournal(t *testing.T) {
	dir := t.TempDir()
	if os.Getenv("KEPT_DIE") != "" { // the process to be killed
		j, err := NewJournal(os.Getenv("KEPT_DIE"), func(err error) { fmt.Println(err) })
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		for i := range 3000 {
			name := fmt.Sprint("r", i)
			j.Opened(Entry{Name: name, Address: "box:1", URI: "rtsp://box:1/p/t", At: 1})
			if i >= 7 {
				j.Ended(fmt.Sprint("r", i-7))
			}
			if i%500 == 0 {
				time.Sleep(2 * batchInterval)
			}
		}
		for !lastRecordsWritten(j.path) {
			time.Sleep(batchInterval)
		}
		fmt.Println("written")
		time.Sleep(time.Hour)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(program, "-test.run", "^TestJournal$")
	child.Env = append(os.Environ(), "KEPT_DIE="+dir)
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	line := make([]byte, 7)
	if _, err := out.Read(line); err != nil || string(line) != "written" {
		t.Fatal(string(line), err)
	}
	if all, err := FindOrphaned(dir); err != nil || len(all) != 0 {
		t.Errorf("the journal of a running process was taken: %v %v", all, err)
	}
	_ = child.Process.Kill()
	_ = child.Wait()
	all, err := FindOrphaned(dir)
	if err != nil || len(all) != 1 || len(all[0].Entries) != 7 || all[0].BadLines != 0 || all[0].Entries[0].Name != "r2993" {
		t.Fatalf("%+v %v", all, err)
	}
	if again, _ := FindOrphaned(dir); len(again) != 0 {
		t.Error("the journal was taken twice")
	}
	_ = all[0].file.Close()
	text, err := os.ReadFile(all[0].path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		damaged := slices.Clone(text)
		damaged[rng.IntN(len(damaged))] ^= 1 << rng.IntN(8)
		if rng.IntN(2) == 0 {
			damaged = damaged[:rng.IntN(len(damaged))]
		}
		if err := os.WriteFile(all[0].path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		found, err := FindOrphaned(dir)
		if err != nil || len(found) != 1 {
			t.Fatal(found, err)
		}
		for _, o := range found[0].Entries { // a corrupt line must not yield an entry
			if o.Address != "box:1" {
				t.Fatal(o)
			}
		}
		_ = found[0].file.Close()
	}
	j, err := NewJournal(dir, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	j.Opened(Entry{Name: "x"})
	j.Ended("x")
	j.Close()
	if _, err := os.Stat(j.path); !errors.Is(err, os.ErrNotExist) {
		t.Error("a journal with nothing open was not removed:", err)
	}
}

// A sealed snapshot can be read only with its key, and its content is not readable in the file.
func TestSealedSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	if err := SaveSealed(path, "sample 1", []byte("key"), sample{A: "a secret word"}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || strings.Contains(string(text), "secret") {
		t.Error("the content is readable in the file:", err)
	}
	var got sample
	if err := LoadSealed(path, "sample 1", []byte("another"), &got); !errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
	if err := LoadSealed(path, "sample 1", []byte("key"), &got); err != nil || got.A != "a secret word" {
		t.Error(got, err)
	}
}
