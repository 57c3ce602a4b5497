package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/streamversion"
)

// slowStore answers a read with what it held when the read began, 20 ms later.
type slowStore struct {
	platform.LeaseKV
	version atomic.Value // of software to which all streams are assigned
	reads   atomic.Int64
}

func (s *slowStore) Get(context.Context, string) (platform.Entry, error) {
	s.reads.Add(1)
	version, _ := s.version.Load().(string)
	time.Sleep(20 * time.Millisecond)
	value, err := streamversion.Plan(nil, map[string]int{version: 1}, 0).Encode()
	return platform.Entry{Value: value}, err
}

func (s *slowStore) Era() platform.Era { return 0 }

// A request gets an assignment that was read after it came, and many requests share a read.
func TestAssignmentIsReadAfterTheRequest(t *testing.T) {
	store := &slowStore{}
	store.version.Store("v1")
	reader := newAssignmentReader(store)
	var group sync.WaitGroup
	ask := func(want string) {
		group.Go(func() {
			assignment, _, err := reader.Read(context.Background(), "s")
			if err != nil || assignment.Shares()[want] == 0 {
				t.Errorf("%v, %v, want %s", assignment, err, want)
			}
		})
	}
	ask("v1")
	for store.reads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	store.version.Store("v2")
	for range 100 {
		ask("v2")
	}
	group.Wait()
	if n := store.reads.Load(); n > 4 {
		t.Errorf("%d reads of the store for 101 requests", n)
	}
}

// The lifetime of a service's streams is that of the longest route that resumes them.
func TestStreamLifetimes(t *testing.T) {
	route := func(kind deployment.Kind, resumable bool, timeout time.Duration, services ...string) deployment.Route {
		r := deployment.Route{Kind: kind, Resumable: resumable, Timeout: timeout}
		for _, service := range services {
			r.Targets = append(r.Targets, deployment.Target{Service: service, Weight: 1})
		}
		return r
	}
	got := streamLifetimes(&deployment.Config{Routes: []deployment.Route{
		route(deployment.Stream, true, 3*time.Second, "a", "b"),
		route(deployment.Stream, true, 5*time.Second, "b"),
		route(deployment.Stream, false, time.Minute, "b", "c"),
		route(deployment.Idempotent, false, time.Minute, "d"),
		route(deployment.Stream, true, 0, "e"),
	}})
	want := map[string]time.Duration{"a": 3 * triesFactor * time.Second, "b": 5 * triesFactor * time.Second, "e": defaultStreamTime}
	if len(got) != len(want) {
		t.Errorf("%v, want %v", got, want)
	}
	for service, lifetime := range want {
		if got[service] != lifetime {
			t.Errorf("%s: %v, want %v", service, got[service], lifetime)
		}
	}
}
