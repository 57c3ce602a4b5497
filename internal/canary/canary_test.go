package canary

import (
	"reflect"
	"testing"
	"time"
)

func observing() *State {
	return &State{Serial: 1, Epoch: 2, Order: Order{Service: "s", To: "v2", Duration: 12 * time.Second}, Phase: Observe, Exposure: 0.08, Old: []string{"v1"}}
}

func trackerAt(state *State, order *Order, now time.Time) *Tracker {
	t := NewTracker(Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second})
	t.Update(map[string]*View{"s": {State: state, Order: order, Servers: []Server{
		{ID: "a", Software: "v1", Slots: 4}, {ID: "b", Software: "v2", Slots: 4}, {ID: "c", Software: "v3", Slots: 4},
	}}}, now)
	return t
}

// An entry that was damaged must not be taken for a state, and one that was not must be read as
// it was written.
func TestStateEntry(t *testing.T) {
	state := observing()
	state.Barred, state.Reason, state.Elapsed = []string{"v0"}, "r", time.Second
	text, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode("s", text); err != nil || !reflect.DeepEqual(got, state) {
		t.Errorf("got %+v, %v", got, err)
	}
	for _, text := range []string{`x`, `{"phase":"odd"}`, `{"phase":"observe","to":"v2","duration_ms":-1}`, `{"phase":"observe","to":"v2","duration_ms":9,"exposure":2}`, `{"phase":"move","duration_ms":9}`} {
		if _, err := Decode("s", []byte(text)); err == nil {
			t.Errorf("%s was decoded", text)
		}
	}
}

// A gateway must not exceed its fraction, whatever it retries, and must send nothing to the new
// version while its state is stale, after a finding, or without credit after a restart.
func TestGate(t *testing.T) {
	now := time.Now()
	tracker := trackerAt(observing(), nil, now)
	if choice, side := tracker.Choose("s", "r", 0, now); side != Old || choice.Allows("b", "v2") || choice.Allows("c", "v3") || !choice.Allows("a", "v1") {
		t.Errorf("without credit: %+v", choice)
	}
	sent := 0
	for n := 1; n <= 5000; n++ {
		tracker.Arrive("s", []string{"r", "r", "r", "q"}[n%4])
		for range 2 { // each request is tried twice
			if _, side := tracker.Choose("s", []string{"r", "r", "r", "q"}[n%4], 0, now); side == New {
				sent++
			}
		}
		if float64(sent) > 0.08*float64(n) {
			t.Fatalf("%d of %d sent to the new version", sent, n)
		}
	}
	if sent < 395 {
		t.Errorf("only %d of 5000 sent to the new version", sent)
	}
	for range 100 {
		tracker.Arrive("s", "r")
	}
	if _, side := tracker.Choose("s", "r", 3*time.Second, now); side == New {
		t.Error("a stale gateway sent to the new version")
	}
	if !tracker.Merge("peer", &Report{Service: "s", Serial: 1, Finding: Finding{Bad: true}, Evidence: NewEvidence()}, now) {
		t.Error("a finding was not taken over")
	}
	if _, side := tracker.Choose("s", "r", 0, now); side == New {
		t.Error("a version that was found bad got a request")
	}
	if !tracker.Barred("s", "v2") || tracker.Allows("s", "v2", 0) || !tracker.Allows("s", "v1", 0) {
		t.Error("streams may still go on at a bad version")
	}
	if _, ok := tracker.Begin("s", "r", "v2", "b", 0, 0, now); ok {
		t.Error("a choice from before the finding was carried out")
	}
}

// An order that replaces another one must bar its version at once, and orders must never lead
// requests to a version that none of them named.
func TestOrdersAndVersions(t *testing.T) {
	now := time.Now()
	newer := &Order{Service: "s", To: "v3", Duration: 12 * time.Second}
	for name, c := range map[string]struct {
		state   *State
		order   *Order
		allowed []string
	}{
		"no state":    {nil, newer, []string{"v1", "v2"}},
		"replaced":    {observing(), newer, []string{"v1"}},
		"rolled back": {&State{Serial: 1, Order: observing().Order, Phase: RolledBack, Old: []string{"v1"}, Barred: []string{"v2"}}, nil, []string{"v1"}},
		"completed":   {&State{Serial: 1, Order: observing().Order, Phase: Completed, Old: []string{"v1"}}, nil, []string{"v2"}},
		"seal":        {&State{Serial: 1, Order: observing().Order, Phase: Seal, Old: []string{"v1"}}, nil, []string{"v2"}},
		"old gone":    {&State{Old: []string{"v0"}, Barred: []string{"v1"}}, nil, []string{"v2", "v3"}},
	} {
		choice, _ := trackerAt(c.state, c.order, now).Choose("s", "r", 0, now)
		var allowed []string
		for _, version := range []string{"v1", "v2", "v3"} {
			if choice.Allows(map[string]string{"v1": "a", "v2": "b", "v3": "c"}[version], version) {
				allowed = append(allowed, version)
			}
		}
		if !reflect.DeepEqual(allowed, c.allowed) {
			t.Errorf("%s: %v allowed", name, allowed)
		}
	}
	next := Next(&Input{View: View{Order: newer, State: observing()}, Share: 0.1})
	if next == nil || next.Serial != 2 || next.Phase != Observe || !reflect.DeepEqual(next.Old, []string{"v1"}) || !reflect.DeepEqual(next.Barred, []string{"v2"}) {
		t.Errorf("newer order: %+v", next)
	}
	back := &Order{Service: "s", To: "v1", Duration: time.Second}
	if next := Next(&Input{View: View{Order: back, State: observing()}, Share: 0.1}); next == nil || next.Phase != Completed || !reflect.DeepEqual(next.Barred, []string{"v2"}) {
		t.Errorf("order back to the old version: %+v", next)
	}
}

// A finding in Seal must not bring requests back to old servers: the owner may be writing that the
// order is completed.
func TestFindingInSeal(t *testing.T) {
	now := time.Now()
	tracker := trackerAt(&State{Serial: 1, Order: observing().Order, Phase: Seal, Old: []string{"v1"}}, nil, now)
	tracker.services["s"].finding = Finding{Bad: true}
	choice, _ := tracker.Choose("s", "r", 0, now)
	if choice.Allows("a", "v1") || choice.Allows("b", "v2") || tracker.Allows("s", "v1", 0) {
		t.Errorf("%+v", choice)
	}
}

// A share must not be spent on a server of the new version that is listed but down.
func TestExposedServersAreReachable(t *testing.T) {
	now := time.Now()
	tracker := NewTracker(Bounds{Share: 0.1})
	view := &View{State: observing()}
	for _, id := range []string{"a", "b", "c", "d"} {
		view.Servers = append(view.Servers, Server{ID: "old-" + id, Software: "v1", Slots: 4}, Server{ID: id, Software: "v2", Slots: 4})
	}
	tracker.Update(map[string]*View{"s": view}, now)
	used := make(map[string]bool)
	for range 3 {
		choice, ok := tracker.Concentrate("s", "v2")
		for id := range choice.servers {
			attempt, _ := tracker.Begin("s", "r", "v2", id, 0, 0, now)
			attempt.End(Unreachable, now)
			used[id] = true
		}
		if !ok || len(choice.servers) != 1 {
			t.Fatalf("%v are exposed", choice.servers)
		}
	}
	if len(used) != 3 {
		t.Errorf("of the servers that are down, only %v were exposed", used)
	}
}

// A rollout must not be completed while a gateway has requests at old servers, or does not
// follow the phase yet, or its restart made its counts fall.
func TestIdle(t *testing.T) {
	now := time.Now()
	state := observing()
	state.Phase = Settle
	tracker := trackerAt(state, nil, now)
	idle := func(gateways ...string) bool {
		in, _ := tracker.Input("s", gateways, 0, now)
		return in.Idle(Settle, true)
	}
	report := &Report{Service: "s", Serial: 1, Phase: Settle, Evidence: NewEvidence()}
	report.Evidence.Counts("r")[Old].Responses = 7
	tracker.Merge("peer", report, now)
	attempt, _ := tracker.Begin("s", "r", "v1", "a", 0, 0, now)
	if idle("peer") {
		t.Error("idle with a request at an old server")
	}
	attempt.End(Succeeded, now)
	if !idle("peer") || idle("peer", "silent") {
		t.Error("a listed gateway was not heard of, or the others count as busy")
	}
	for _, busy := range []*Report{{Service: "s", Serial: 1, Phase: Settle, OnOld: 1}, {Service: "s", Serial: 1, Phase: Move}} {
		busy.Evidence = NewEvidence()
		busy.Evidence.Counts("r")[Old].Responses = 3 // it has restarted
		if tracker.Merge("peer", busy, now); idle("peer") {
			t.Errorf("idle after %+v", busy)
		}
	}
	if got := tracker.services["s"].total.Counts("r")[Old].Responses; got != 7+1+3 {
		t.Errorf("%d responses counted", got)
	}
}

// BenchmarkChoose measures a decision; its cost must not grow with the gateways.
func BenchmarkChoose(b *testing.B) {
	now := time.Now()
	tracker := trackerAt(observing(), nil, now)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Arrive("s", "r")
		choice, _ := tracker.Choose("s", "r", 0, now)
		_ = choice.Allows("a", "v1")
	}
}

// A report that was overtaken by a later one of the same gateway must not add its counts again.
func TestOvertakenReport(t *testing.T) {
	now := time.Now()
	tracker := trackerAt(observing(), nil, now)
	for _, n := range []uint64{10, 30, 20, 40} {
		evidence := NewEvidence()
		evidence.Counts("r")[New] = Counts{Responses: n, Failures: n / 10}
		tracker.Merge("peer", &Report{Service: "s", Serial: 1, Age: time.Duration(n) * time.Millisecond, Evidence: evidence}, now)
	}
	if got := tracker.services["s"].total.Counts("r")[New]; got.Responses != 40 || got.Failures != 4 {
		t.Errorf("%d failures of %d responses are counted, not 4 of 40", got.Failures, got.Responses)
	}
}
