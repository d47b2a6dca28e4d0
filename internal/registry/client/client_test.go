package client_test

import (
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"pierlink/internal/registry"
	"pierlink/internal/registry/client"
	standin "pierlink/internal/standin/registry"
)

// view gathers what a client tells.
type recorder struct {
	mu   sync.Mutex
	keys map[string]string
	n    int
}

func (v *recorder) take(n registry.News, _ registry.Mark) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.n++
	if n.Whole || v.keys == nil {
		v.keys = map[string]string{}
	}
	for _, c := range n.Changes {
		if c.Deleted {
			delete(v.keys, c.Key)
		} else {
			v.keys[c.Key] = string(c.Value)
		}
	}
}

func (v *recorder) until(t *testing.T, what string, ok func(map[string]string) bool) {
	t.Helper()
	for range 1000 {
		v.mu.Lock()
		done := ok(v.keys)
		v.mu.Unlock()
		if done {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: %v", what, v.keys)
}

func has(key, value string) func(map[string]string) bool {
	return func(m map[string]string) bool { return m[key] == value }
}

// A client follows, survives a cut and a compaction, and starts from the kept view while the registry is
// down; one of its endpoints hangs all the while.
func TestFollowsRegistry(t *testing.T) {
	store := standin.NewStore(1, "h", registry.MarkKey)
	s, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	addr := s.Addr()
	stuck, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	stuck.Hang(true)
	defer stuck.Stop()
	box := registry.BoxesPrefix + "a"
	place := client.Place{Endpoints: []string{addr, stuck.Addr()}, Kept: filepath.Join(t.TempDir(), "view"),
		Bounds: registry.Bounds{Grace: 200_000, Timeout: 200_000, Held: 1000}}
	store.Put(map[string][]byte{box: []byte("1")})
	v := &recorder{}
	c, err := client.New(place, zap.NewNop(), v.take)
	if err != nil {
		t.Fatal(err)
	}
	v.until(t, "first list", has(box, "1"))
	store.Put(map[string][]byte{box: []byte("2")})
	v.until(t, "a change", has(box, "2"))
	s.Cut()
	store.Put(map[string][]byte{box: []byte("3")})
	v.until(t, "a change over a cut", has(box, "3"))
	s.Stop()
	store.Put(map[string][]byte{box: []byte("4")})
	store.Compact(1 << 40)
	if s, err = standin.Serve(addr, store); err != nil {
		t.Fatal(err)
	}
	v.until(t, "a change that was compacted away", has(box, "4"))
	c.Close()
	s.Stop()
	w := &recorder{}
	c, err = client.New(place, zap.NewNop(), w.take)
	if err != nil {
		t.Fatal(err)
	}
	w.until(t, "the kept view", has(box, "4"))
	if s, err = standin.Serve(addr, store); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	store.Put(map[string][]byte{box: []byte("5")})
	w.until(t, "a change after the kept view", has(box, "5"))
	c.Close()
	if w.keys[registry.MarkKey] != "h" {
		t.Error("no mark")
	}
}

// A member that answers and hears of nothing new is left for one that does.
func TestLeavesStaleMember(t *testing.T) {
	store := standin.NewStore(1, "h", registry.MarkKey)
	var ends []string
	var members []*standin.Server
	for range 2 {
		s, err := standin.Serve("127.0.0.1:0", store)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Stop()
		ends, members = append(ends, s.Addr()), append(members, s)
	}
	box := registry.BoxesPrefix + "a"
	store.Put(map[string][]byte{box: []byte("1")})
	v := &recorder{}
	c, err := client.New(client.Place{Endpoints: ends, Bounds: registry.Bounds{Grace: 200_000, Timeout: 100_000, Held: 1000}}, zap.NewNop(), v.take)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	v.until(t, "first list", has(box, "1"))
	members[0].Freeze(true)
	store.Put(map[string][]byte{box: []byte("2")})
	v.until(t, "what the stale member does not know", has(box, "2"))
}
