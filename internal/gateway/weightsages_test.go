package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// agesStore is a store of keys that end after a time.
type agesStore struct {
	*memoryStore
	now  time.Time
	down bool

	mu   sync.Mutex
	ends map[string]time.Time // of keys
}

// GrantLease returns the time of the lease as its ID.
func (s *agesStore) GrantLease(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return platform.LeaseID(ttl), nil
}

func (s *agesStore) CompareAndSwap(_ context.Context, key string, _ []byte, _ platform.Version, lease platform.LeaseID) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.ErrUnavailable
	}
	if end, ok := s.ends[key]; ok && s.now.Before(end) {
		return 0, platform.ErrConflict
	}
	s.ends[key] = s.now.Add(time.Duration(lease))
	return 1, nil
}

// ages returns what a snapshot has of the keys.
func (s *agesStore) ages() map[string]time.Duration {
	ages := make(map[string]time.Duration)
	for key, end := range s.ends {
		name, ms := key[len(follower.WeightsAgePrefix):strings.LastIndexByte(key, '/')], key[strings.LastIndexByte(key, '/')+1:]
		n, _ := strconv.Atoi(ms)
		age := time.Duration(n) * time.Millisecond
		if known, ok := ages[name]; s.now.Before(end) && (!ok || age < known) {
			ages[name] = age
		}
	}
	return ages
}

// Gateways that all lost power after a version of the weights was named don't count its age from
// their start: replaced weights would be used for longer than the deadline.
func TestReplacedWeightsAfterAllGatewaysWereLost(t *testing.T) {
	const deadline = 12 * time.Second
	for _, c := range []struct {
		name   string
		named  bool          // while a gateway ran
		away   time.Duration // from the naming to the start
		report bool          // another gateway knows when it was named
		least  time.Duration // age that is taken at the start, plus reportWait
		most   time.Duration
	}{
		{"for 5 s", true, 5 * time.Second, false, 6 * time.Second, 7500 * time.Millisecond},
		{"for half a second", true, 500 * time.Millisecond, false, 1500 * time.Millisecond, 3 * time.Second},
		{"for longer than the deadline", true, 20 * time.Second, false, deadline, 30 * time.Second},
		{"before it was named", false, time.Second, false, deadline, 30 * time.Second},
		{"but for one", true, 2 * time.Second, true, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			store := &agesStore{now: start, ends: make(map[string]time.Time)}
			snapshot := &deployment.Snapshot{Config: generationConfig(), Weights: map[string]deployment.WeightsTarget{"m": deployment.WeightsTarget{}.Advance(1, start.Add(-time.Hour))}}
			gateway := func() *weightsAges {
				return &weightsAges{
					deadline: deadline, store: store, self: "g1", gateways: func(*deployment.Snapshot) []string { return []string{"g1"} }, due: make(map[string]time.Time),
					merge: func(_ context.Context, reports []follower.TargetReport) {
						for _, r := range reports {
							snapshot.Weights[r.Model], _ = snapshot.Weights[r.Model].MergeVersion(r.WeightsVersion)
						}
					},
				}
			}
			step := func(g *weightsAges, at time.Time) {
				store.now, snapshot.WeightsAges = at, store.ages()
				g.step(t.Context(), snapshot, at)
			}
			if c.named {
				before := gateway()
				step(before, start)
				snapshot.Weights["m"] = snapshot.Weights["m"].Advance(2, start)
				step(before, start)
				step(before, start.Add(50*time.Millisecond))
			}
			now := start.Add(c.away)
			snapshot.Weights = map[string]deployment.WeightsTarget{"m": deployment.WeightsTarget{}.Advance(2, now)}
			after := gateway()
			step(after, now)
			if c.report {
				snapshot.Weights["m"], _ = snapshot.Weights["m"].MergeVersion(deployment.WeightsVersion{Version: 2, Since: start})
			}
			now = now.Add(reportWait)
			step(after, now)
			step(after, now.Add(time.Millisecond))
			if age := snapshot.Weights["m"].ReplacedFor(1, now); age < c.least || age > c.most {
				t.Errorf("the version is taken for %v old, want %v to %v", age, c.least, c.most)
			}
		})
	}
}

// A version whose keys can't be written is not told to be young.
func TestAgeOfWeightsThatIsNotKept(t *testing.T) {
	now := time.Now()
	store := &agesStore{now: now, ends: make(map[string]time.Time), down: true}
	w := &weightsAges{
		deadline: 12 * time.Second, store: store, self: "g1", due: make(map[string]time.Time), atStart: map[string]deployment.WeightsVersion{},
		gateways: func(*deployment.Snapshot) []string { return []string{"g1"} },
	}
	snapshot := &deployment.Snapshot{Weights: map[string]deployment.WeightsTarget{"m": deployment.WeightsTarget{}.Advance(2, now)}}
	w.step(t.Context(), snapshot, now)
	store.down = false
	for i := range 100 { // a key that is written late would tell less than the age
		w.step(t.Context(), snapshot, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	if len(store.ends) > 0 {
		t.Errorf("keys were written late: %v", store.ends)
	}
}
