package replaytest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/recording"
)

const (
	modelName     = "m"
	serviceName   = "engines"
	defaultTarget = 800 * time.Millisecond
	// exchangeInterval is the time between two reports of gateways.
	exchangeInterval = 100 * time.Millisecond
	requestTimeout   = 10 * time.Second
)

// outcome is what the callers of a replay saw, and what the engines did for it.
type outcome struct {
	requests, late, failed int
	p50, p95               time.Duration // to the first event
	readAgain              int64         // prompt tokens of shared parts beyond the first reading
}

// lateShare is the part of the requests that had no first event within the target.
func (o *outcome) lateShare() float64 {
	return float64(o.late+o.failed) / float64(max(1, o.requests))
}

// play plays arrivals with a policy. fault runs beside them and may be nil.
func play(t *testing.T, engineCount int, arrivals []recording.Arrival, pick forward.Picker, fault func(*engines)) outcome {
	t.Helper()
	var result outcome
	synctest.Test(t, func(*testing.T) {
		w := newWorld(engineCount, arrivals, pick)
		defer w.engines.close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.exchange(ctx)
		if fault != nil {
			go fault(w.engines)
		}
		w.run(arrivals)
		result = w.outcome(arrivals)
	})
	return result
}

// world is some gateways before engines.
type world struct {
	engines  *engines
	snapshot *deployment.Snapshot
	gateways []*gateway
	byName   map[string]*gateway

	mu     sync.Mutex
	firsts []time.Duration
	late   int
	failed int
}

type gateway struct {
	name  string
	fleet *fleet.Fleet
	cache *kvcache.Directory
	relay *forward.Relay
	told  uint64
}

// freeBudget allows every repeat: the replays ask where requests go.
type freeBudget struct{}

func (freeBudget) RecordRequest(string, time.Time)   {}
func (freeBudget) AllowRetry(string, time.Time) bool { return true }

func newWorld(engineCount int, arrivals []recording.Arrival, pick forward.Picker) *world {
	w := &world{engines: newEngines(engineCount), byName: make(map[string]*gateway)}
	route := deployment.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: deployment.Stream, Public: true, MaxAttempts: 2, Timeout: requestTimeout,
		TargetLatency: defaultTarget, Targets: []deployment.Target{{Service: serviceName, Weight: 1}},
	}
	config := &deployment.Config{
		Version: 1, Routes: []deployment.Route{route},
		Services: []deployment.Service{{Name: serviceName, Engine: &deployment.Engine{}}},
	}
	servers := make(map[string]*deployment.Server)
	for i := range engineCount {
		servers[idOf(i)] = &deployment.Server{
			ID: idOf(i), Service: serviceName, Address: addressOf(i), Slots: 32, Weights: map[string]uint64{modelName: 1},
		}
	}
	w.snapshot = (&deployment.Snapshot{Config: config.Index(), Servers: servers}).Index()
	for i := range arrivals {
		if w.byName[arrivals[i].Gateway] == nil {
			w.add(arrivals[i].Gateway, pick)
		}
	}
	return w
}

func (w *world) add(name string, pick forward.Picker) {
	g := &gateway{name: name, fleet: fleet.New(), cache: kvcache.NewDirectory()}
	g.relay = forward.NewRelay(forward.Relay{
		Source: func() *deployment.Snapshot { return w.snapshot },
		Fleet:  g.fleet, Cache: g.cache, Backend: w.engines, Budget: freeBudget{}, Pick: pick,
	})
	w.gateways = append(w.gateways, g)
	w.byName[name] = g
}

// exchange tells each gateway what the others see.
func (w *world) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, from := range w.gateways {
			uses, told := from.cache.UsesSince(from.told)
			from.told = told
			for _, to := range w.gateways {
				if to != from {
					to.learn(from, uses, now)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(exchangeInterval):
		}
	}
}

func (g *gateway) learn(from *gateway, uses []kvcache.Use, now time.Time) {
	g.fleet.SetRemoteLoad(from.name, from.fleet.OwnLoad(), now)
	for i := range uses {
		g.cache.MergeUse(&uses[i], now)
	}
}

// run sends all arrivals and waits for their ends.
func (w *world) run(arrivals []recording.Arrival) {
	start := time.Now()
	var requests sync.WaitGroup
	for i := range arrivals {
		time.Sleep(time.Until(start.Add(time.Duration(arrivals[i].AtMs) * time.Millisecond)))
		requests.Go(func() { w.send(fmt.Sprint("r", i), &arrivals[i]) })
	}
	requests.Wait()
}

func (w *world) send(id string, a *recording.Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	answer, err := forward.Match{}.Handle(ctx, w.request(id, a, start), w.byName[a.Gateway].relay)
	if err != nil {
		w.note(0, a, true)
		return
	}
	first := time.Since(start)
	defer answer.Events.Close()
	for err == nil {
		_, err = answer.Events.Next(ctx)
	}
	w.note(first, a, err != io.EOF)
}

func (w *world) request(id string, a *recording.Arrival, now time.Time) *forward.Request {
	body, err := json.Marshal(a)
	if err != nil {
		panic(err) // an arrival holds numbers and texts
	}
	req := &forward.Request{
		Metadata: forward.Metadata{ID: id, Model: modelName, PromptTokens: a.SharedTokens + a.OwnTokens, OutputTokens: a.OutputTokens},
		Arrived:  now, Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}, Body: body, Snapshot: w.snapshot,
	}
	if a.Part != "" {
		req.Parts = []forward.Part{{ID: a.Part, Tokens: a.SharedTokens}, {ID: id, Tokens: a.OwnTokens}}
	}
	return req
}

func (w *world) note(first time.Duration, a *recording.Arrival, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if failed {
		w.failed++
		return
	}
	w.firsts = append(w.firsts, first)
	if first > targetOf(a) {
		w.late++
	}
}

func targetOf(a *recording.Arrival) time.Duration {
	if a.TargetMs > 0 {
		return time.Duration(a.TargetMs) * time.Millisecond
	}
	return defaultTarget
}

func (w *world) outcome(arrivals []recording.Arrival) outcome {
	slices.Sort(w.firsts)
	o := outcome{requests: len(arrivals), late: w.late, failed: w.failed}
	if n := len(w.firsts); n > 0 {
		o.p50, o.p95 = w.firsts[n/2], w.firsts[n*95/100]
	}
	parts := make(map[string]bool)
	o.readAgain = w.engines.read
	for i := range arrivals {
		o.readAgain -= arrivals[i].OwnTokens
		if a := &arrivals[i]; !parts[a.Part] {
			parts[a.Part] = true
			o.readAgain -= a.SharedTokens
		}
	}
	return o
}
