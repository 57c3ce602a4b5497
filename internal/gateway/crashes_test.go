package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
)

// crashesStore is a store of one entry that counts writes.
type crashesStore struct {
	*memoryStore
	entry    platform.Entry
	revision platform.Version
	writes   int
}

func (s *crashesStore) CompareAndSwap(_ context.Context, key string, value []byte, expected platform.Version, _ platform.LeaseID) (platform.Version, error) {
	if expected != s.entry.Version {
		return 0, platform.ErrConflict
	}
	s.writes++
	s.revision++
	s.entry = platform.Entry{Key: key, Value: value, Version: s.revision}
	return s.entry.Version, nil
}

// Of many gateways with the same findings one saves them, also after the store has lost
// them, and gateways that start know them. Findings that are settled are not kept.
func TestFindingsAreSaved(t *testing.T) {
	store := &crashesStore{}
	snapshot := &deployment.Snapshot{Config: generationConfig()}
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprint("g", i))
	}
	start := func(name string) *savedCrashes {
		return &savedCrashes{
			quarantine: quarantine.New(nil), store: store, self: name,
			snapshot: func() *deployment.Snapshot { return snapshot }, gateways: func(*deployment.Snapshot) []string { return names },
		}
	}
	var all []*savedCrashes
	for _, name := range names {
		all = append(all, start(name))
	}
	now := time.Now()
	tick := func() {
		for _, g := range all {
			g.merge(snapshot)
			g.update(t.Context(), now)
		}
		snapshot.Crashes = store.entry
		now = now.Add(crashesInterval)
	}
	request := []quarantine.Part{quarantine.RequestOf("s", "GET", "/", "c", nil)}
	expectWrites := func(what string, least, most int) {
		t.Helper()
		store.writes = 0
		for range 4 {
			tick()
		}
		if store.writes < least || store.writes > most {
			t.Errorf("%s: %d writes, want %d to %d", what, store.writes, least, most)
		}
	}
	expectWrites("nothing to save", 0, 0)
	for i := range 3 {
		for _, g := range all {
			g.quarantine.RecordCrash(quarantine.Crash{Server: fmt.Sprint("i", i), Sent: now, Ended: now, Parts: request}, now)
		}
	}
	expectWrites("new findings", 1, 1)
	expectWrites("saved", 0, 0)
	late := start("late")
	late.merge(snapshot)
	if !late.quarantine.Check(request, now).Held {
		t.Error("a gateway that starts does not hold the request back")
	}
	store.entry = platform.Entry{}
	snapshot.Crashes = store.entry
	expectWrites("lost by the store", 1, 1)
	store.revision++
	store.entry.Value, store.entry.Version = []byte("odd"), store.revision
	snapshot.Crashes = store.entry
	expectWrites("overwritten", 1, 1)
	for _, g := range all {
		g.quarantine.RecordSuccess(request, now)
	}
	expectWrites("settled", 1, 1)
	fresh := start("fresh")
	fresh.merge(snapshot)
	if fresh.quarantine.Blames() || store.entry.Key != follower.CrashesKey {
		t.Errorf("settled findings are kept in %q", store.entry.Key)
	}
}
