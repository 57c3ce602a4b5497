package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// sharingStore counts the writes of one entry.
type sharingStore struct {
	platform.LeaseKV
	entry  platform.Entry
	writes int
	down   bool
}

func (s *sharingStore) CompareAndSwap(_ context.Context, key string, value []byte, expected platform.Version, _ platform.LeaseID) (platform.Version, error) {
	s.writes++
	switch {
	case s.down:
		return 0, platform.ErrUnavailable
	case expected != s.entry.Version:
		return 0, platform.ErrConflict
	}
	s.entry = platform.Entry{Key: key, Value: value, Version: s.entry.Version + 1}
	return s.entry.Version, nil
}

// What all gateways know of isolation is written by one of them, by another one if that one does
// not, and not at all if the store has it.
func TestIsolationIsStoredOnce(t *testing.T) {
	store := &sharingStore{}
	snapshot := &deployment.Snapshot{Position: 1}
	var addresses []string
	for i := range 20 {
		addresses = append(addresses, fmt.Sprint("gateway-", i))
	}
	var savers []*savedSharing
	for _, address := range addresses {
		savers = append(savers, &savedSharing{
			store: store, self: address, snapshot: func() *deployment.Snapshot { return snapshot },
			gateways: func(*deployment.Snapshot) []string { return addresses },
		})
	}
	now := time.Now()
	update := func() {
		for _, s := range savers {
			_ = s.update(context.Background(), now) // the store may be down
		}
	}
	update()
	if store.writes > 0 {
		t.Errorf("%d writes with nothing to write", store.writes)
	}
	snapshot = &deployment.Snapshot{Position: 1, SharingToStore: &deployment.Sharing{Since: 2, Version: 2}}
	store.down = true
	update()
	if store.writes != 1 {
		t.Errorf("%d writes in the first turn, want 1", store.writes)
	}
	store.down = false
	now = now.Add(sharingTurn)
	update()
	if want := `{"since":2,"isolated":"","version":2}`; string(store.entry.Value) != want || store.entry.Key != follower.SharingKey || store.entry.Version != 1 {
		t.Errorf("%s = %s, version %v, want %s", store.entry.Key, store.entry.Value, store.entry.Version, want)
	}
	snapshot = &deployment.Snapshot{Position: 2, Sharing: store.entry}
	writes := store.writes
	update()
	if store.writes > writes {
		t.Error("written again")
	}
}
