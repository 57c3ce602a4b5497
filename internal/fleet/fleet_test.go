package fleet

import (
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/placement"
)

var start = time.Unix(1_000_000, 0)

func snapshotOf(servers ...*deployment.Server) *deployment.Snapshot {
	s := &deployment.Snapshot{Servers: make(map[string]*deployment.Server)}
	for _, server := range servers {
		s.Servers[server.ID] = server
	}
	return s.Index()
}

func viewOf(f *Fleet, s *deployment.Snapshot, id string, at time.Time) placement.Server {
	for _, server := range f.View(s, "lm", "m", at) {
		if server.ID == id {
			return server
		}
	}
	return placement.Server{}
}

func engine(id string, incarnation int64, weights uint64) *deployment.Server {
	return &deployment.Server{ID: id, Service: "lm", Address: id, Incarnation: incarnation, Weights: map[string]uint64{"m": weights}}
}

func TestLoadSumsAllGateways(t *testing.T) {
	f, s := New(), snapshotOf(engine("a", 1, 1))
	attempt := f.Begin("a", 1000, start)
	f.SetRemoteLoad("peer", map[string]Load{"a": {Running: 3, PendingTokens: 500}}, start)
	if v := viewOf(f, s, "a", start); v.Running != 4 || v.PendingTokens != 1500 {
		t.Errorf("%+v, want 4 requests running and 1500 tokens pending", v)
	}
	attempt.PrefillDone()
	if v := viewOf(f, s, "a", start); v.Running != 4 || v.PendingTokens != 500 {
		t.Errorf("after the first event: %+v", v)
	}
	attempt.End(Succeeded, start)
	attempt.End(Failed, start)
	if v := viewOf(f, s, "a", start.Add(remoteTTL)); v.Running != 0 || v.PendingTokens != 0 || v.FailureRate != 0 {
		t.Errorf("after the end, and with an expired report of the peer: %+v", v)
	}
}

func TestFailuresDecay(t *testing.T) {
	f, s := New(), snapshotOf(engine("a", 1, 1))
	for range 10 {
		f.Begin("a", 0, start).End(Failed, start)
	}
	f.Begin("a", 0, start).End(Unreachable, start)
	now, later := viewOf(f, s, "a", start), viewOf(f, s, "a", start.Add(30*time.Second))
	if now.FailureRate < 0.7 || !now.Suspect {
		t.Errorf("after failures: %+v", now)
	}
	if later.FailureRate > 0.02 || later.Suspect {
		t.Errorf("30 s later: %+v", later)
	}
	f.Begin("a", 0, start).End(Refused, start)
	if v := viewOf(f, s, "a", start); v.FailureRate != now.FailureRate {
		t.Error("a refusal counts as a failure")
	}
}

// State observed of one incarnation must not be used for the next.
func TestNewIncarnation(t *testing.T) {
	f := New()
	old, restarted := snapshotOf(engine("a", 1, 1)), snapshotOf(engine("a", 2, 1))
	f.View(old, "lm", "m", start)
	f.RecordWeights("a", "m", 5, start)
	f.SetLoading("a", start.Add(time.Minute))
	attempt := f.Begin("a", 10, start)
	attempt.End(Failed, start)
	f.Prune(restarted)
	if v := viewOf(f, restarted, "a", start); v.Weights != 1 || v.Loading || v.FailureRate != 0 || v.Running != 0 {
		t.Errorf("state of the former incarnation is still used: %+v", v)
	}
	f.MergeObservation(Observation{Server: "a", Incarnation: 1, Model: "m", Weights: 9}, start)
	if v := viewOf(f, restarted, "a", start); v.Weights != 1 {
		t.Errorf("a report of the former incarnation was applied: %+v", v)
	}
	f.Prune(snapshotOf())
	if len(f.servers) != 0 {
		t.Errorf("%d servers kept that are no longer listed", len(f.servers))
	}
}

func TestWeightsThatAServerShowed(t *testing.T) {
	f, s := New(), snapshotOf(engine("a", 1, 1))
	f.View(s, "lm", "m", start)
	f.RecordWeights("a", "m", 2, start)
	f.RecordWeights("a", "m", 0, start)
	if v := viewOf(f, s, "a", start.Add(time.Second)); v.Weights != 2 {
		t.Errorf("the listed version replaced a newer observed one: %+v", v)
	}
	if v := viewOf(f, s, "a", start.Add(time.Minute)); v.Weights != 2 {
		t.Errorf("a stale listed version replaced a newer observed one: %+v", v)
	}
	observations := f.Observations(start)
	if len(observations) != 1 || observations[0].Weights != 2 {
		t.Errorf("observations %+v, want one of version 2", observations)
	}
	g := New()
	g.View(s, "lm", "m", start)
	g.MergeObservation(observations[0], start)
	if v := viewOf(g, s, "a", start); v.Weights != 2 || len(g.Observations(start)) != 0 {
		t.Errorf("%+v, want weights 2; passed on: %+v, want none", v, g.Observations(start))
	}
}

func TestDoubtedWeights(t *testing.T) {
	f, s := New(), snapshotOf(engine("a", 1, 1))
	f.View(s, "lm", "m", start)
	f.RecordWeights("a", "m", 2, start)
	f.ForgetWeights("a", "m")
	if v := viewOf(f, s, "a", start); v.Weights != 1 {
		t.Errorf("a server that refused version 2 still counts as holding it: %+v", v)
	}
}

func TestLoadingIsReported(t *testing.T) {
	f, g, s := New(), New(), snapshotOf(engine("a", 1, 1))
	f.View(s, "lm", "m", start)
	g.View(s, "lm", "m", start)
	f.SetLoading("a", start.Add(10*time.Second))
	for _, observation := range f.Observations(start) {
		g.MergeObservation(observation, start)
	}
	if v := viewOf(g, s, "a", start.Add(remoteTTL/2)); !v.Loading {
		t.Error("another gateway does not see that server a is loading")
	}
	if v := viewOf(g, s, "a", start.Add(2*remoteTTL)); v.Loading {
		t.Error("loading reported by a gateway that stopped reporting has not expired")
	}
	f.SetLoading("a", start.Add(2*time.Second))
	for _, observation := range f.Observations(start.Add(2 * time.Second)) {
		g.MergeObservation(observation, start.Add(2*time.Second))
	}
	if v := viewOf(g, s, "a", start.Add(3*time.Second)); v.Loading {
		t.Error("another gateway does not see that server a has loaded")
	}
	g.MarkSuspect("a", start.Add(4*time.Second))
	if v := viewOf(g, s, "a", start.Add(3*time.Second)); !v.Suspect || v.Loading || len(g.Observations(start.Add(3*time.Second))) != 0 {
		t.Error("a server that refused is not suspect, or this was reported to others")
	}
}
