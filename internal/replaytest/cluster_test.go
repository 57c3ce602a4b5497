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
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/recording"
)

const (
	modelName     = "m"
	serviceName   = "engines"
	defaultTarget = 800 * time.Millisecond
	// exchangeInterval is the time between two reports of a gateway.
	exchangeInterval = 100 * time.Millisecond
	requestTimeout   = 10 * time.Second
)

// outcome is the result of a replay for its callers and engines.
type outcome struct {
	requests, late, failed int
	p50, p95               time.Duration // time to the first event
	recomputed             int64         // prompt tokens of shared parts computed more than once
}

// lateShare returns the share of requests without a first event within the target.
func (o *outcome) lateShare() float64 {
	return float64(o.late+o.failed) / float64(max(1, o.requests))
}

// play replays arrivals with a policy. fault runs concurrently and may be nil.
func play(t *testing.T, engineCount int, arrivals []recording.Arrival, pick forward.Picker, fault func(*engines)) outcome {
	t.Helper()
	var result outcome
	synctest.Test(t, func(*testing.T) {
		c := newCluster(engineCount, arrivals, pick)
		defer c.engines.close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.exchange(ctx)
		if fault != nil {
			go fault(c.engines)
		}
		c.run(arrivals)
		result = c.outcome(arrivals)
	})
	return result
}

// cluster is a set of gateways in front of engines.
type cluster struct {
	engines  *engines
	snapshot *deployment.Snapshot
	gateways []*gateway
	byName   map[string]*gateway

	mu        sync.Mutex
	latencies []time.Duration
	late      int
	failed    int
}

type gateway struct {
	name     string
	fleet    *fleet.Fleet
	cache    *kvcache.Directory
	relay    *forward.Relay
	reported uint64 // cache uses reported to the others so far

	quarantine *quarantine.Quarantine
}

// unlimitedBudget allows every retry: the replays test placement only.
type unlimitedBudget struct{}

func (unlimitedBudget) RecordRequest(string, time.Time)   {}
func (unlimitedBudget) AllowRetry(string, time.Time) bool { return true }

func newCluster(engineCount int, arrivals []recording.Arrival, pick forward.Picker) *cluster {
	c := &cluster{engines: newEngines(engineCount), byName: make(map[string]*gateway)}
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
	c.snapshot = (&deployment.Snapshot{Config: config.Index(), Servers: servers}).Index()
	for i := range arrivals {
		if c.byName[arrivals[i].Gateway] == nil {
			c.addGateway(arrivals[i].Gateway, pick)
		}
	}
	return c
}

func (c *cluster) addGateway(name string, pick forward.Picker) {
	g := &gateway{name: name, fleet: fleet.New(), cache: kvcache.NewDirectory(), quarantine: quarantine.New(nil)}
	g.relay = forward.NewRelay(forward.Relay{
		Source: func() *deployment.Snapshot { return c.snapshot },
		Fleet:  g.fleet, Cache: g.cache, Backend: c.engines, Budget: unlimitedBudget{}, Pick: pick,
		Quarantine: g.quarantine, ProcessEnded: c.engines.ended,
	})
	c.gateways = append(c.gateways, g)
	c.byName[name] = g
}

// exchange periodically reports each gateway's load and cache uses to the others
// until ctx is cancelled.
func (c *cluster) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for _, from := range c.gateways {
			uses, useCount := from.cache.UsesSince(from.reported)
			from.reported = useCount
			for _, to := range c.gateways {
				if to != from {
					to.merge(from, uses, now)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(exchangeInterval):
		}
	}
}

func (g *gateway) merge(from *gateway, uses []kvcache.Use, now time.Time) {
	g.fleet.SetRemoteLoad(from.name, from.fleet.OwnLoad(), now)
	g.quarantine.Merge(from.quarantine.News(g.quarantine.Digest(), now), now)
	for i := range uses {
		g.cache.MergeUse(&uses[i], now)
	}
}

// run sends all requests and waits for them to finish.
func (c *cluster) run(arrivals []recording.Arrival) {
	start := time.Now()
	var requests sync.WaitGroup
	for i := range arrivals {
		time.Sleep(time.Until(start.Add(time.Duration(arrivals[i].AtMs) * time.Millisecond)))
		requests.Go(func() { c.send(fmt.Sprint("r", i), &arrivals[i]) })
	}
	requests.Wait()
}

func (c *cluster) send(id string, a *recording.Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := time.Now()
	resp, err := forward.Match{}.Handle(ctx, c.request(id, a, start), c.byName[a.Gateway].relay)
	if err != nil {
		c.record(0, a, true)
		return
	}
	first := time.Since(start)
	defer resp.Events.Close()
	for err == nil {
		_, err = resp.Events.Next(ctx)
	}
	c.record(first, a, err != io.EOF)
}

func (c *cluster) request(id string, a *recording.Arrival, now time.Time) *forward.Request {
	body, err := json.Marshal(a)
	if err != nil {
		panic(err) // an arrival holds only numbers and strings
	}
	req := &forward.Request{
		Metadata: forward.Metadata{ID: id, Model: modelName, PromptTokens: a.SharedTokens + a.OwnTokens, OutputTokens: a.OutputTokens},
		Arrived:  now, Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}, Body: body, Snapshot: c.snapshot,
	}
	if a.Part != "" {
		req.Parts = []forward.Part{{ID: a.Part, Tokens: a.SharedTokens}, {ID: id, Tokens: a.OwnTokens}}
	}
	return req
}

func (c *cluster) record(first time.Duration, a *recording.Arrival, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if failed {
		c.failed++
		return
	}
	c.latencies = append(c.latencies, first)
	if first > targetOf(a) {
		c.late++
	}
}

func targetOf(a *recording.Arrival) time.Duration {
	if a.TargetMs > 0 {
		return time.Duration(a.TargetMs) * time.Millisecond
	}
	return defaultTarget
}

func (c *cluster) outcome(arrivals []recording.Arrival) outcome {
	slices.Sort(c.latencies)
	o := outcome{requests: len(arrivals), late: c.late, failed: c.failed}
	if n := len(c.latencies); n > 0 {
		o.p50, o.p95 = c.latencies[n/2], c.latencies[n*95/100]
	}
	parts := make(map[string]bool)
	o.recomputed = c.engines.computed
	for i := range arrivals {
		o.recomputed -= arrivals[i].OwnTokens
		if a := &arrivals[i]; !parts[a.Part] {
			parts[a.Part] = true
			o.recomputed -= a.SharedTokens
		}
	}
	return o
}
