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

// recorder collects the updates of a client.
type recorder struct {
	mu      sync.Mutex
	keys    map[string]string
	updates int
}

func (v *recorder) take(update registry.Update, _ registry.HistoryID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updates++
	if update.Snapshot || v.keys == nil {
		v.keys = map[string]string{}
	}
	for _, change := range update.Changes {
		if change.Deleted {
			delete(v.keys, change.Key)
		} else {
			v.keys[change.Key] = string(change.Value)
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
	t.Fatalf("timed out waiting for %s: %v", what, v.keys)
}

func has(key, value string) func(map[string]string) bool {
	return func(m map[string]string) bool { return m[key] == value }
}

// Checks that a client follows changes, recovers from a broken connection and from a compaction, and starts from the
// stored view while the registry is down; one of its endpoints hangs throughout.
func TestFollowsRegistry(t *testing.T) {
	store := standin.NewStore(1, "h", registry.HistoryKey)
	server, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	addr := server.Addr()
	hanging, err := standin.Serve("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	hanging.Hang(true)
	defer hanging.Stop()
	box := registry.BoxesPrefix + "a"
	config := client.Config{Endpoints: []string{addr, hanging.Addr()}, ViewPath: filepath.Join(t.TempDir(), "view"),
		Core: registry.Config{GracePeriod: 200_000, Timeout: 200_000, MaxBufferedChanges: 1000}}
	store.Put(map[string][]byte{box: []byte("1")})
	view := &recorder{}
	c, err := client.New(config, zap.NewNop(), view.take)
	if err != nil {
		t.Fatal(err)
	}
	view.until(t, "first list", has(box, "1"))
	store.Put(map[string][]byte{box: []byte("2")})
	view.until(t, "a change", has(box, "2"))
	server.CloseConnections()
	store.Put(map[string][]byte{box: []byte("3")})
	view.until(t, "a change during a broken connection", has(box, "3"))
	server.Stop()
	store.Put(map[string][]byte{box: []byte("4")})
	store.Compact(1 << 40)
	if server, err = standin.Serve(addr, store); err != nil {
		t.Fatal(err)
	}
	view.until(t, "a change that was compacted", has(box, "4"))
	c.Close()
	server.Stop()
	restored := &recorder{}
	c, err = client.New(config, zap.NewNop(), restored.take)
	if err != nil {
		t.Fatal(err)
	}
	restored.until(t, "the stored view", has(box, "4"))
	if server, err = standin.Serve(addr, store); err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	store.Put(map[string][]byte{box: []byte("5")})
	restored.until(t, "a change after the stored view", has(box, "5"))
	c.Close()
	if restored.keys[registry.HistoryKey] != "h" {
		t.Error("the view lacks the history identifier")
	}
}

// Guards against a member that still answers but no longer receives changes: the client must switch to another.
func TestLeavesStaleMember(t *testing.T) {
	store := standin.NewStore(1, "h", registry.HistoryKey)
	var endpoints []string
	var members []*standin.Server
	for range 2 {
		s, err := standin.Serve("127.0.0.1:0", store)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Stop()
		endpoints, members = append(endpoints, s.Addr()), append(members, s)
	}
	box := registry.BoxesPrefix + "a"
	store.Put(map[string][]byte{box: []byte("1")})
	view := &recorder{}
	c, err := client.New(client.Config{Endpoints: endpoints, Core: registry.Config{GracePeriod: 200_000, Timeout: 100_000, MaxBufferedChanges: 1000}}, zap.NewNop(), view.take)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	view.until(t, "first list", has(box, "1"))
	members[0].Freeze(true)
	store.Put(map[string][]byte{box: []byte("2")})
	view.until(t, "a change that the stale member lacks", has(box, "2"))
}
