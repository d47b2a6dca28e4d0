package kept

import (
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

// Any truncation and any flipped bit of a snapshot is found, and none harms; a snapshot of another kind is no
// snapshot.
func TestSnapshotDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	var got sample
	if err := Load(path, "thing 1", &got); !errors.Is(err, ErrNone) {
		t.Fatal(err)
	}
	want := sample{"a", map[string]float64{"b": 1.5, "c": 2}}
	if err := Save(path, "thing 1", want); err != nil {
		t.Fatal(err)
	}
	if err := Load(path, "thing 1", &got); err != nil || got.B["c"] != 2 {
		t.Fatal(got, err)
	}
	if err := Load(path, "thing 2", &got); !errors.Is(err, ErrBad) {
		t.Error("another kind was taken", err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range text {
		for _, bad := range [][]byte{text[:n], append(slices.Clone(text[:n]), append([]byte{text[n] ^ 1<<(n%8)}, text[n+1:]...)...)} {
			if err := os.WriteFile(path, bad, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := Load(path, "thing 1", &got); !errors.Is(err, ErrBad) {
				t.Fatalf("at %d of %d: %v", n, len(text), err)
			}
		}
	}
}

// A directory that cannot be written leaves the old snapshot, and says so.
func TestUnwritableDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	if err := Save(filepath.Join(dir, "x"), "thing 1", 1); err == nil {
		t.Error("saved where there is no directory")
	}
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := NewJournal(dir, func(error) {}); err == nil {
		t.Error("a journal began in a file")
	}
}

// The journal of a process that died tells what was open; that of a living one is not touched; lines that were
// changed are passed over; the file is written anew now and then, and goes when nothing is open.
func TestJournal(t *testing.T) {
	dir := t.TempDir()
	if os.Getenv("KEPT_DIE") != "" { // the process that dies
		j, err := NewJournal(os.Getenv("KEPT_DIE"), func(err error) { fmt.Println(err) })
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		for i := range 3000 {
			name := fmt.Sprint("r", i)
			j.Opened(Open{Name: name, Address: "box:1", URI: "rtsp://box:1/p/t", At: 1})
			if i >= 7 {
				j.Ended(fmt.Sprint("r", i-7))
			}
			if i%500 == 0 {
				time.Sleep(2 * batchInterval)
			}
		}
		time.Sleep(5 * batchInterval)
		fmt.Println("written")
		time.Sleep(time.Hour)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(self, "-test.run", "^TestJournal$")
	c.Env = append(os.Environ(), "KEPT_DIE="+dir)
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	word := make([]byte, 7)
	if _, err := out.Read(word); err != nil || string(word) != "written" {
		t.Fatal(string(word), err)
	}
	if all, err := Behind(dir); err != nil || len(all) != 0 {
		t.Errorf("a living process's journal was taken: %v %v", all, err)
	}
	_ = c.Process.Kill()
	_ = c.Wait()
	all, err := Behind(dir)
	if err != nil || len(all) != 1 || len(all[0].Open) != 7 || all[0].Bad != 0 || all[0].Open[0].Name != "r2993" {
		t.Fatalf("%+v %v", all, err)
	}
	if again, _ := Behind(dir); len(again) != 0 {
		t.Error("taken twice")
	}
	_ = all[0].file.Close()
	text, err := os.ReadFile(all[0].path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		bad := slices.Clone(text)
		bad[rng.IntN(len(bad))] ^= 1 << rng.IntN(8)
		if rng.IntN(2) == 0 {
			bad = bad[:rng.IntN(len(bad))]
		}
		if err := os.WriteFile(all[0].path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		found, err := Behind(dir)
		if err != nil || len(found) != 1 {
			t.Fatal(found, err)
		}
		for _, o := range found[0].Open { // nothing made up
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
	j.Opened(Open{Name: "x"})
	j.Ended("x")
	j.Close()
	if _, err := os.Stat(j.path); !errors.Is(err, os.ErrNotExist) {
		t.Error("a journal with nothing open was left", err)
	}
}

// What is sealed opens with its key only, and does not show what it holds.
func TestSealedSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x")
	if err := SaveSealed(path, "thing 1", []byte("key"), sample{A: "a secret word"}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || strings.Contains(string(text), "secret") {
		t.Error("it shows", err)
	}
	var got sample
	if err := LoadSealed(path, "thing 1", []byte("another"), &got); !errors.Is(err, ErrBad) {
		t.Error(err)
	}
	if err := LoadSealed(path, "thing 1", []byte("key"), &got); err != nil || got.A != "a secret word" {
		t.Error(got, err)
	}
}
