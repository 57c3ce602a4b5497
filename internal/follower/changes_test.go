package follower

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// A gateway that has started after a removal has no record of it. Another one that takes
// its changes removes the server all the same.
func TestChangesOfARestartedGateway(t *testing.T) {
	runFollower(t, func(f *fakeFeed, old *Follower) {
		old.SetIdle(true)
		time.Sleep(2 * time.Second)
		f.remove("servers/a")
		f.put("servers/b", "server lm 10.0.0.2:80")
		restarted := New(f, textLayout{}, func(*deployment.Snapshot) {})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		defer func() { cancel(); <-ended }()
		go func() { restarted.Run(ctx); close(ended) }()
		time.Sleep(100 * time.Millisecond)
		old.Merge(ctx, restarted.ChangesAfter(old.Snapshot().Position))
		synctest.Wait()
		if s := old.Snapshot(); s.Servers["a"] != nil || s.Servers["b"] == nil || s.Position != restarted.Snapshot().Position {
			t.Errorf("servers %v at position %v, want b only at %v", s.Servers, s.Position, restarted.Snapshot().Position)
		}
		f.put("servers/c", "server lm 10.0.0.3:80")
		time.Sleep(inForceWithin)
		if changes := restarted.ChangesAfter(old.Snapshot().Position); changes.Complete || len(changes.Events) != 1 {
			t.Errorf("changes %+v, want only servers/c", changes)
		}
	})
}

// A removal that was dropped because there were too many is still found by a gateway that
// was behind it.
func TestChangesAfterDroppedRemovals(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		before := follower.Snapshot().Position
		f.remove("servers/a")
		for i := range maxDeleted + 10 {
			key := fmt.Sprint("servers/x", i)
			f.put(key, "server lm 10.0.0.2:80")
			f.remove(key)
		}
		time.Sleep(3 * time.Second)
		changes := follower.ChangesAfter(before)
		known := changes.Complete
		for _, event := range changes.Events {
			known = known || event.Key == "servers/a" && event.Deleted
		}
		if !known {
			t.Errorf("%d changes after %v, complete %v: none tells that a server is gone", len(changes.Events), before, changes.Complete)
		}
	})
}

// What was read from the store before newer changes came from another gateway does not
// bring back what these removed, nor remove what they added.
func TestReadThatIsOvertaken(t *testing.T) {
	for _, complete := range []bool{false, true} {
		runFollower(t, func(_ *fakeFeed, follower *Follower) {
			ctx := context.Background()
			entry := func(key string, version platform.Version) platform.Event {
				return platform.Event{Entry: platform.Entry{Key: key, Value: []byte("server lm 10.0.0.1:80"), Version: version}}
			}
			// The whole content at 200, without a, which another gateway has seen at 130 and removed at 150.
			follower.Merge(ctx, Changes{Position: 200, Complete: true, Events: []platform.Event{entry("servers/b", 180)}})
			late := Changes{Position: 140, Complete: complete, Events: []platform.Event{entry("servers/a", 130), entry("servers/c", 135)}}
			follower.Merge(ctx, late)
			synctest.Wait()
			if s := follower.Snapshot(); s.Servers["b"] == nil || len(s.Servers) != 1 || s.Position != 200 {
				t.Errorf("complete %v: servers %v at %v, want b at 200", complete, s.Servers, s.Position)
			}
		})
	}
}

// While a large operators' entry is still on its way from another gateway, what that one told of
// servers stands against what was read before, and the entry is taken from whoever has it.
func TestReadBesideAMissingConfiguration(t *testing.T) {
	for _, complete := range []bool{false, true} {
		runFollower(t, func(_ *fakeFeed, follower *Follower) {
			ctx := context.Background()
			entry := func(key, value string, version platform.Version) platform.Event {
				return platform.Event{Entry: platform.Entry{Key: key, Value: []byte(value), Version: version}}
			}
			const server = "server lm 10.0.0.1:80"
			// Another gateway knows all up to 200, of which the configuration at 120 is missing.
			follower.Merge(ctx, Changes{Position: 119, Reached: 200, Complete: true, Events: []platform.Event{entry("servers/b", server, 180)}})
			synctest.Wait()
			if s := follower.Snapshot(); s.Position != 119 || s.Servers["b"] == nil {
				t.Fatalf("servers %v at %v", s.Servers, s.Position)
			}
			// Read from the store before: a, which was removed at 150, and not b.
			follower.Merge(ctx, Changes{Position: 140, Complete: complete, Events: []platform.Event{entry("op/config", "config 7", 120), entry("servers/a", server, 130)}})
			synctest.Wait()
			if s := follower.Snapshot(); s.Servers["b"] == nil || len(s.Servers) != 1 || s.Config.Version != 7 {
				t.Errorf("complete %v: servers %v, configuration %d, want b and 7", complete, s.Servers, s.Config.Version)
			}
			if changes := follower.ChangesAfter(110); !changes.Complete {
				t.Error("removals up to 200 are passed on that are not known")
			}
		})
	}
}

// The changes that are passed on reach the position that they name, whenever they are asked for.
func TestChangesReachTheirPosition(t *testing.T) {
	f := newFakeFeed()
	follower := New(f, textLayout{}, func(*deployment.Snapshot) {})
	follower.apply(batch{complete: true, position: 1}, time.Now())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for position := platform.Version(2); position < 3000; position++ {
			event := platform.Event{Entry: platform.Entry{Key: GatewayPrefix + "a/1", Value: []byte("{}"), Version: position}}
			follower.apply(batch{events: []platform.Event{event}, position: position}, time.Now())
		}
	}()
	for running := true; running; {
		select {
		case <-ended:
			running = false
		default:
		}
		changes := follower.ChangesAfter(1)
		for _, event := range changes.Events {
			if strings.HasPrefix(event.Key, GatewayPrefix) && event.Version < changes.Position {
				t.Fatalf("the changes up to %v end at %v", changes.Position, event.Version)
			}
		}
	}
}
