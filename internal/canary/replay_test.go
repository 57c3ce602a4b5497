package canary

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// behavior is how a server of the new version differs from one of the old ones.
type behavior struct {
	fails, slow float64 // parts of the responses
	factor      float64 // of slow ones
	after       time.Duration
	underLoad   float64 // only from this load, as a part of an old server's
	route       string  // only on it; empty: on all
}

// load is a pattern of requests and faults that is replayed without a network.
type load struct {
	gateways, old, new int
	rate               float64 // requests per second
	noise              float64 // part of the responses that fail on both sides
	disrupt            bool    // servers of both sides are slow for half a second, or end
	starts             time.Duration
	cut                bool // gateways hear nothing of each other for 3 s, and restart
	behavior           behavior
}

const (
	replayShare    = 0.1
	replaySlack    = 50
	replayDuration = 12 * time.Second
	replayTick     = 10 * time.Millisecond
)

// outcome is what a replay showed.
type outcome struct {
	state               *State
	ended               time.Duration
	requests, sent, bad int
	fiftieth, lastNew   time.Duration // of bad responses; of sends to the new version
	oldAtEnd            int           // requests at old servers when the order was completed
	unserved            int
}

type replayServer struct {
	id, version            string
	count                  int // of requests in the last half second
	disrupted, down, since time.Duration
}

type replayEnd struct {
	at      time.Duration
	attempt *Attempt
	server  *replayServer
	outcome Outcome
	first   time.Duration
}

type endQueue []replayEnd

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *endQueue) Push(x any)        { *q = append(*q, x.(replayEnd)) }
func (q *endQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// play replays a load from the arrival of an order on. The state reaches a gateway after a lag,
// reports after a tenth of a second.
func (l *load) play(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	var out outcome
	start := time.UnixMilli(1_800_000_000_000)
	order := &Order{Service: "s", To: "v2", Duration: replayDuration}
	servers := make([]*replayServer, 0, l.old+l.new)
	for i := range l.old + l.new {
		s := &replayServer{id: fmt.Sprintf("s%d", i), version: "v1"}
		if i >= l.old {
			s.version, s.since = "v2", l.starts
		}
		servers = append(servers, s)
	}
	bounds := Bounds{Share: replayShare, Slack: replaySlack, Rollback: 5 * time.Second}
	interval := max(100*time.Millisecond, time.Duration(l.gateways)*8*time.Millisecond).Truncate(100 * time.Millisecond)
	trackers := make([]*Tracker, l.gateways)
	lags := make([]time.Duration, l.gateways)
	for i := range trackers {
		trackers[i], lags[i] = NewTracker(bounds), time.Duration(random.IntN(400))*time.Millisecond
	}
	type write struct {
		at    time.Duration
		state *State
	}
	writes := []write{{-time.Second, &State{Epoch: 1, Old: []string{"v1"}}}}
	ends := &endQueue{}
	routes := []string{"a", "a", "a", "a", "b", "b", "c", "d"}
	carry := 0.0
	for t := time.Duration(0); t < 2*replayDuration; t += replayTick {
		now := start.Add(t)
		var listed []Server
		for _, s := range servers {
			if t >= s.since && t >= s.down {
				listed = append(listed, Server{ID: s.id, Software: s.version, Slots: 8})
			}
			if l.disrupt && random.Float64() < 0.1*replayTick.Seconds() {
				s.disrupted = t + 500*time.Millisecond
			}
			if l.disrupt && random.Float64() < 0.01*replayTick.Seconds() && t > s.since {
				s.down = t + 3*time.Second
				for i := range *ends {
					if e := &(*ends)[i]; e.server == s && e.outcome != Broken {
						e.outcome, e.at = Broken, t
					}
				}
				heap.Init(ends)
			}
			if t%(500*time.Millisecond) == 0 {
				s.count = 0
			}
		}
		if l.cut && t%(100*time.Millisecond) == 0 && random.Float64() < 0.05 {
			trackers[1+random.IntN(l.gateways-1)] = NewTracker(bounds)
		}
		exchanges := t%interval == 0 && !(l.cut && t >= 2*time.Second && t < 5*time.Second)
		if t%(100*time.Millisecond) == 0 {
			for i, tracker := range trackers {
				view := &View{Order: order, Servers: listed}
				for _, w := range writes {
					if t >= w.at+lags[i] {
						view.State = w.state
					}
				}
				tracker.Update(map[string]*View{"s": view}, now)
			}
			for i, tracker := range trackers {
				tracker.Step(now)
				if !exchanges {
					continue
				}
				tracker.Reports(0, now, func(r *Report) {
					for j, other := range trackers {
						if i != j {
							other.Merge(fmt.Sprint(i), r, now)
						}
					}
				})
			}
			in, _ := trackers[0].Input("s", nil, 0, now)
			in.State = writes[len(writes)-1].state
			if next := Next(in); next != nil && trackers[0].services["s"].view.State == in.State {
				writes = append(writes, write{t, next})
				if next.Phase.Terminal() {
					out.state, out.ended = next, t
					for _, tracker := range trackers {
						out.oldAtEnd += tracker.services["s"].running["v1"]
					}
				}
			}
		}
		for ; ends.Len() > 0 && (*ends)[0].at <= t; heap.Pop(ends) {
			e := (*ends)[0]
			e.attempt.Events(1, e.attempt.began.Add(e.first))
			e.attempt.End(e.outcome, now)
			if e.outcome == Broken {
				e.attempt.Resolve(true)
			}
		}
		for carry += l.rate * replayTick.Seconds(); carry >= 1; carry-- {
			l.send(random, trackers, servers, routes[random.IntN(len(routes))], ends, t, now, &out)
		}
		if out.state != nil && t > out.ended+2*time.Second {
			break
		}
	}
	return out
}

// send makes one request at a gateway, at a server that is chosen at random.
func (l *load) send(random *rand.Rand, trackers []*Tracker, servers []*replayServer, route string, ends *endQueue, t time.Duration, now time.Time, out *outcome) {
	tracker := trackers[random.IntN(len(trackers))]
	tracker.Arrive("s", route)
	if t < replayDuration {
		out.requests++
	}
	choice, side := tracker.Choose("s", route, 0, now)
	pick := func() *replayServer {
		var usable []*replayServer
		for _, s := range servers {
			if t >= s.since && t >= s.down && choice.Allows(s.id, s.version) {
				usable = append(usable, s)
			}
		}
		if len(usable) == 0 {
			return nil
		}
		return usable[random.IntN(len(usable))]
	}
	server := pick()
	if server == nil && side == New {
		choice, _ = tracker.Withdraw("s", route)
		server = pick()
	}
	if server == nil {
		out.unserved++
		return
	}
	attempt, ok := tracker.Begin("s", route, server.version, server.id, 0, 0, now)
	if !ok {
		return
	}
	server.count++
	median := 30 * time.Millisecond
	if route == "d" {
		median = time.Second
	}
	took := time.Duration(float64(median) * math.Exp(0.3*random.NormFloat64()))
	if t < server.disrupted {
		took += min(3*took, 375*time.Millisecond)
	}
	result := Succeeded
	if random.Float64() < l.noise {
		result = Failed
	}
	if server.version == "v2" {
		out.sent, out.lastNew = out.sent+1, t
		b := &l.behavior
		loaded := float64(server.count) >= b.underLoad*l.rate/2/float64(l.old)
		if t >= b.after && loaded && (b.route == "" || b.route == route) {
			draw := random.Float64()
			if draw < b.fails {
				result = Failed
			} else if draw < b.fails+b.slow {
				took = time.Duration(float64(took) * b.factor)
			}
			if draw < b.fails+b.slow {
				if out.bad++; out.bad == 50 {
					out.fiftieth = t + took
				}
			}
		}
	}
	heap.Push(ends, replayEnd{at: t + took, attempt: attempt, server: server, outcome: result, first: took})
}

// The replays guard against bad versions that get too many requests or are completed, and
// against good ones that are rolled back or late.
func TestReplays(t *testing.T) {
	base := load{gateways: 8, old: 10, new: 10, rate: 400}
	vary := func(change func(l *load)) load { l := base; change(&l); return l }
	for name, c := range map[string]struct {
		load  load
		good  bool
		seeds uint64
	}{
		"good":             {base, true, 20},
		"bad at once":      {vary(func(l *load) { l.behavior = behavior{fails: 0.2} }), false, 20},
		"all bad at once":  {vary(func(l *load) { l.behavior = behavior{fails: 1} }), false, 20},
		"slow at once":     {vary(func(l *load) { l.behavior = behavior{slow: 0.3, factor: 4} }), false, 20},
		"slow by three":    {vary(func(l *load) { l.behavior = behavior{slow: 1, factor: 3} }), false, 20},
		"hangs":            {vary(func(l *load) { l.behavior = behavior{slow: 0.5, factor: 1000} }), false, 20},
		"bad later":        {vary(func(l *load) { l.behavior = behavior{fails: 0.3, after: 4 * time.Second} }), false, 20},
		"slow later":       {vary(func(l *load) { l.behavior = behavior{slow: 0.4, factor: 4, after: 4 * time.Second} }), false, 20},
		"bad under load":   {vary(func(l *load) { l.behavior = behavior{fails: 0.4, underLoad: 0.4} }), false, 20},
		"bad on one route": {vary(func(l *load) { l.behavior = behavior{fails: 0.4, route: "c"} }), false, 20},
		"noisy but good":   {vary(func(l *load) { l.noise, l.disrupt = 0.05, true }), true, 100},
		"noisy and bad":    {vary(func(l *load) { l.noise, l.disrupt, l.behavior = 0.05, true, behavior{fails: 0.4} }), false, 20},
		"half of the old":  {vary(func(l *load) { l.old = 5 }), true, 20},
		"half of the new":  {vary(func(l *load) { l.new, l.disrupt = 5, true }), true, 100},
		"few requests":     {vary(func(l *load) { l.rate = 5 }), true, 20},
		"small service":    {vary(func(l *load) { l.gateways, l.old, l.new, l.rate = 4, 2, 2, 30 }), true, 20},
		"cut off":          {vary(func(l *load) { l.cut, l.behavior = true, behavior{fails: 0.4} }), false, 20},
		"many gateways": {vary(func(l *load) {
			l.gateways, l.old, l.new, l.rate, l.behavior = 60, 40, 40, 1500, behavior{slow: 0.5, factor: 3.5}
		}), false, 5},
		"new ones late": {vary(func(l *load) { l.starts = 4 * time.Second }), true, 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wrong := uint64(0)
			for seed := range c.seeds {
				out := c.load.play(seed)
				switch {
				case out.state == nil:
					t.Fatalf("seed %d: not ended: %+v", seed, out)
				case (out.state.Phase == Completed) != c.good:
					wrong++
					t.Logf("seed %d: %v: %s: %+v", seed, out.state.Phase, out.state.Reason, out)
				case out.state.Phase == Completed && (out.ended >= replayDuration || out.oldAtEnd > 0):
					t.Errorf("seed %d: completed after %v with %d requests at old servers", seed, out.ended, out.oldAtEnd)
				}
				if limit := replayShare*float64(out.requests) + replaySlack; !c.good && float64(out.sent) > limit {
					t.Errorf("seed %d: %d sent to a bad version, permitted are %.0f", seed, out.sent, limit)
				}
				if out.fiftieth > 0 && out.lastNew > out.fiftieth+5*time.Second {
					t.Errorf("seed %d: sent %v after the 50th bad response", seed, out.lastNew-out.fiftieth)
				}
			}
			if wrong > c.seeds/100 {
				t.Errorf("%d of %d wrong", wrong, c.seeds)
			}
		})
	}
}
