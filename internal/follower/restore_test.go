package follower

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// Until a server writes its entry again, a restored store shows an older one. What is known
// of the server must not be undone.
func TestRestoredServerEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(incarnation, sequence int64, draining bool) *deployment.Server {
		return &deployment.Server{ID: "s", Service: "lm", Incarnation: incarnation, Sequence: sequence, Draining: draining}
	}
	for _, test := range []struct {
		name            string
		known, restored *deployment.Server
		gone            bool          // the known server was removed
		after           time.Duration // between the removal and the restore
		listed          bool
		draining        bool
	}{
		{name: "unchanged", known: entry(1, 5, false), restored: entry(1, 5, false), listed: true},
		{name: "older", known: entry(1, 5, true), restored: entry(1, 4, false), listed: true, draining: true},
		{name: "older without a sequence", known: entry(1, 0, true), restored: entry(1, 0, false), listed: true, draining: true},
		{name: "newer", known: entry(1, 5, false), restored: entry(1, 6, true), listed: true, draining: true},
		{name: "of an earlier process", known: entry(2, 1, true), restored: entry(1, 9, false), listed: true, draining: true},
		{name: "of a later process", known: entry(1, 9, true), restored: entry(2, 1, false), listed: true},
		{name: "of a removed server", known: entry(1, 5, false), restored: entry(1, 5, false), gone: true},
		{name: "of a removed server, older", known: entry(1, 5, true), restored: entry(1, 3, false), gone: true},
		{name: "newer than the removed server", known: entry(1, 5, false), restored: entry(1, 6, false), gone: true, listed: true},
		{name: "of a later process than the removed one", known: entry(1, 5, true), restored: entry(2, 1, false), gone: true, listed: true},
		{name: "of a server removed long ago", known: entry(1, 5, false), restored: entry(1, 5, false), gone: true, after: 2 * departureTTL, listed: true},
		{name: "of an unknown server", known: &deployment.Server{ID: "other"}, restored: entry(1, 5, false), listed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			st := newState()
			st.applyServer(test.known, now)
			if test.gone {
				st.removeServer(test.known.ID, 0, now)
			}
			st.applyRestoredServer(test.restored, now.Add(test.after))
			got := st.servers["s"]
			if (got != nil) != test.listed || got != nil && got.Draining != test.draining {
				t.Errorf("got %+v, want listed %v, draining %v", got, test.listed, test.draining)
			}
		})
	}
}

// A removed server whose entry came back is listed after a while, unless its entry goes
// again: it may run after all.
func TestRemovedServerComesBackInARestore(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, removedAgain := range []bool{false, true} {
		st := newState()
		server := &deployment.Server{ID: "s", Incarnation: 1, Sequence: 5}
		st.applyServer(server, now)
		st.removeServer("s", 0, now)
		st.applyRestoredServer(server, now)
		if st.removeExpired(now.Add(heldTime-time.Second)) || st.servers["s"] != nil {
			t.Error("listed before the store has removed the entries of servers that ended")
		}
		if removedAgain {
			st.removeServer("s", 0, now)
		}
		if listed := st.removeExpired(now.Add(heldTime)); listed == removedAgain {
			t.Errorf("listed: %v, entry removed again: %v", listed, removedAgain)
		}
	}
}

// restore replaces the content of the store by an older copy, whose revisions go on from
// the copy's.
func (f *fakeFeed) restore(copied map[string]string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.revision.Era() + 1
	f.revision = platform.NewVersion(era, revision)
	f.oldest, f.history = f.revision, nil
	f.items = make(map[string]platform.Entry)
	for key, value := range copied {
		f.items[key] = platform.Entry{Key: key, Value: []byte(value), Version: platform.NewVersion(era, 1)}
	}
}

// After each of several restores, the configuration and the target version in force stay,
// changes take effect in time, and servers that the copy lacks get time to register again.
func TestSeveralRestores(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		for restores := range uint64(4) {
			version := uint64(10 * (restores + 1))
			f.put("op/config", "config "+strconv.FormatUint(version, 10))
			f.put("op/version/m", "weights m "+strconv.FormatUint(version, 10))
			f.put("servers/new", "server lm 10.0.0.7:80")
			time.Sleep(inForceWithin)
			f.restore(map[string]string{"op/config": "config 1", "op/version/m": "weights m 1", "servers/a": "server lm 10.0.0.1:80"}, 2)
			for range 20 {
				time.Sleep(inForceWithin / 20)
				s := follower.Snapshot()
				if s.Config.Version != version || s.Weights["m"].Version != version {
					t.Fatalf("restore %d: configuration %d, weights %d, want %d", restores+1, s.Config.Version, s.Weights["m"].Version, version)
				}
				if s.Servers["new"] == nil {
					t.Fatalf("restore %d: a server that the copy lacks is gone at once", restores+1)
				}
			}
			f.put("op/config", "config "+strconv.FormatUint(version+1, 10))
			time.Sleep(inForceWithin)
			if got := follower.Snapshot().Config.Version; got != version+1 {
				t.Errorf("restore %d: configuration %d, want %d", restores+1, got, version+1)
			}
			time.Sleep(relistGrace)
			if follower.Snapshot().Servers["new"] != nil {
				t.Errorf("restore %d: a server that does not register again stays listed", restores+1)
			}
		}
	})
}

// A process that starts after a restore reads an older configuration from the store. It
// takes the one in force from other gateways, and keeps it when the store's is read again.
func TestConfigurationFromAnotherGateway(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		f.restore(map[string]string{"op/config": "config 3", "servers/a": "server lm 10.0.0.1:80"}, 2)
		time.Sleep(inForceWithin)
		inForce := []platform.Event{{Entry: platform.Entry{Key: "op/config", Value: []byte("config 9"), Version: 40}}}
		follower.MergeOperatorEvents(context.Background(), append(inForce, platform.Event{
			Entry: platform.Entry{Key: "servers/a", Value: []byte("server lm 10.9.9.9:80"), Version: 41},
		}))
		synctest.Wait()
		if s := follower.Snapshot(); s.Config.Version != 9 || s.Servers["a"].Address != "10.0.0.1:80" {
			t.Errorf("configuration %d, want 9; server at %s, want as the store has it", s.Config.Version, s.Servers["a"].Address)
		}
		if events := follower.OperatorEvents(); len(events) != 1 || string(events[0].Value) != "config 9" {
			t.Errorf("entries for other gateways %+v, want the configuration in force", events)
		}
		f.restore(map[string]string{"op/config": "config 3"}, 2)
		time.Sleep(inForceWithin)
		if got := follower.Snapshot().Config.Version; got != 9 {
			t.Errorf("configuration %d after another restore, want 9", got)
		}
		// What was read from the store before the restore arrives late.
		follower.Merge(context.Background(), Changes{Position: 50, Complete: true})
		synctest.Wait()
		if follower.Snapshot().Config.Version != 9 || follower.Snapshot().Position.Era() != 2 {
			t.Errorf("state of the era before applied: %+v", follower.Snapshot())
		}
	})
}
