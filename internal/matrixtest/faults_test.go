package matrixtest

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/service"
)

const (
	// downTime is how long a crashed backend server is down.
	downTime = 100 * time.Millisecond
	// freezeTime is how long a frozen backend server or link is stopped.
	freezeTime = 200 * time.Millisecond
	// responseDelay is the delay of late responses.
	responseDelay = 150 * time.Millisecond
	// storeDelay is the delay of a slow key-value service.
	storeDelay = 150 * time.Millisecond
	// operatorTimeout limits the concurrent changes of two operators.
	operatorTimeout = time.Second
)

// fault is a row of the matrix.
type fault struct {
	name   string
	inject func(c *cluster, at location)
	// notApplicable returns why the fault can't affect a request of a kind at a
	// step, or "" if it can.
	notApplicable func(k kind, s step) string
	// verify checks the required effect of the fault itself.
	verify func(c *cluster) error
	// mustSucceed reports whether the caller must get the complete response in
	// spite of the fault; nil: an explicit error is enough.
	mustSucceed func(k kind, s step) bool
	// withdrawsKey is set if the fault withdraws the key under test.
	withdrawsKey bool
}

var faults = []fault{
	{name: "backend server crash", inject: crash, mustSucceed: streamsAfterDispatch},
	{name: "crash before the effect", inject: crashBefore, notApplicable: servicesUntilQueue},
	{name: "response lost after the effect", inject: loseResponse, notApplicable: untilQueue},
	{name: "late response", inject: delayResponse, notApplicable: untilQueue, mustSucceed: always},
	{name: "crossed response", inject: crossResponse, notApplicable: untilQueue},
	{name: "backend server frozen", inject: freezeBackend, mustSucceed: onlyStreams},
	{name: "cache events lost", inject: loseEvents, mustSucceed: onlyStreams, notApplicable: onlyGenerations("plain services have no prefix cache"), verify: indexNotAhead},
	{name: "hot prefix shift", inject: shiftPrefix, mustSucceed: onlyStreams, notApplicable: onlyGenerations("plain calls have no prefix")},
	{name: "old fencing token", inject: sendOldFence, mustSucceed: onlyStreams, notApplicable: onlyGenerations("plain services take no orders"), verify: weightsUnchanged},
	{name: "connections cut", inject: cutLinks, mustSucceed: onlyStreams},
	{name: "network frozen", inject: freezeLinks, mustSucceed: always},
	{name: "backend server gone, VM list lags", inject: goneButListed, mustSucceed: streamsAfterDispatch},
	{name: "router killed", inject: killRouter, mustSucceed: onlyStreams},
	{name: "all routers restart at once", inject: restartAll, mustSucceed: onlyStreams},
	{name: "key withdrawn, routers know first", inject: withdrawAtRouters, withdrawsKey: true, verify: keyRefused},
	{name: "key withdrawn, sidecars know first", inject: withdrawAtSidecars, withdrawsKey: true, verify: keyRefused},
	{name: "key-value service down", inject: storeFault(kv.Faults{Down: true}), mustSucceed: exceptOrders},
	{name: "key-value service slow", inject: storeFault(kv.Faults{Delay: storeDelay}), mustSucceed: always},
	{name: "key-value service's response lost after the effect", inject: storeFault(kv.Faults{LoseAnswers: 1}), mustSucceed: exceptOrders},
	{name: "shards lost while their owner is paused", inject: moveShards},
	{name: "operators race", inject: raceOperators, mustSucceed: always},
}

func always(kind, step) bool { return true }

func onlyStreams(k kind, _ step) bool { return k == kindStream }

func exceptOrders(k kind, _ step) bool { return k != kindOrder }

// streamsAfterDispatch selects the streams whose backend server was chosen: the fault
// affects only this server, and another one resumes the stream.
func streamsAfterDispatch(k kind, s step) bool {
	return k == kindStream && slices.Index(steps, s) >= slices.Index(steps, stepDispatch)
}

// untilQueue excludes the steps after the backend server has started its response.
func untilQueue(_ kind, s step) string {
	if slices.Index(steps, s) > slices.Index(steps, stepQueue) {
		return "the backend server has started its response"
	}
	return ""
}

func servicesUntilQueue(k kind, s step) string {
	if k == kindStream {
		return "an engine has no effect before its first chunk; see backend server crash"
	}
	return untilQueue(k, s)
}

func onlyGenerations(reason string) func(kind, step) string {
	return func(k kind, _ step) string {
		if k == kindStream {
			return ""
		}
		return reason
	}
}

// targets returns the backend servers that a fault affects: the chosen one, or all
// if none was chosen yet.
func (c *cluster) targets(at location) []*server {
	if at.server != nil {
		return []*server{at.server}
	}
	return c.servers()
}

func crash(c *cluster, at location) {
	for _, s := range c.targets(at) {
		if s.engine != nil {
			s.engine.Crash(downTime)
			c.onRepair(func() { c.awaitEngine(s) })
			continue
		}
		s.service.SetFaults(service.Faults{Down: true})
		up := func() { s.service.SetFaults(service.Faults{}) }
		time.AfterFunc(downTime, up)
		c.onRepair(up)
	}
}

func (c *cluster) awaitEngine(s *server) {
	eventually(c.t, recoveryTimeout, s.vm.Name+" is up", func() bool {
		_, err := s.engine.State(c.ctx)
		return err == nil
	})
}

func crashBefore(c *cluster, at location) {
	setFaults(c, at, model.Faults{}, service.Faults{CrashBefore: 1, DownTime: downTime})
}

func loseResponse(c *cluster, at location) {
	setFaults(c, at, model.Faults{CutAfterChunks: 3, CutStreams: 1}, service.Faults{CutAfter: 1})
}

func delayResponse(c *cluster, at location) {
	setFaults(c, at, model.Faults{AnswerDelay: responseDelay}, service.Faults{Delay: responseDelay})
}

func crossResponse(c *cluster, at location) {
	setFaults(c, at, model.Faults{CrossStreams: 1}, service.Faults{CrossIDs: 1})
}

func setFaults(c *cluster, at location, engines model.Faults, services service.Faults) {
	for _, s := range c.targets(at) {
		if s.engine != nil {
			s.engine.SetFaults(engines)
			c.onRepair(func() { s.engine.SetFaults(model.Faults{}) })
			continue
		}
		s.service.SetFaults(services)
		c.onRepair(func() { s.service.SetFaults(service.Faults{}) })
	}
}

// freezeBackend stops engines. A service has no background work to stop, so its
// responses are delayed.
func freezeBackend(c *cluster, at location) {
	for _, s := range c.targets(at) {
		if s.engine != nil {
			s.engine.Freeze(freezeTime)
			continue
		}
		s.service.SetFaults(service.Faults{Delay: freezeTime})
		c.onRepair(func() { s.service.SetFaults(service.Faults{}) })
	}
}

func loseEvents(c *cluster, _ location) {
	for _, s := range c.engines {
		s.engine.LoseEvents(2, 0.5)
		c.onRepair(func() { s.engine.LoseEvents(0, 0) })
	}
}

// indexNotAhead checks that no sidecar's index has more blocks than its engine
// holds.
func indexNotAhead(c *cluster) error {
	for _, s := range c.engines {
		state, err := s.engine.State(c.ctx)
		if err != nil {
			return err
		}
		if indexed := s.index.Len(); indexed > state.CachedBlocks {
			return errors.Errorf("%s: %d blocks in the index, %d in the engine", s.vm.Name, indexed, state.CachedBlocks)
		}
	}
	return nil
}

// hotRequests is the number of requests with a new hot prefix.
const hotRequests = 8

func shiftPrefix(c *cluster, _ location) {
	for i := range hotRequests {
		c.work.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"another hot prefix %s %d","max_tokens":4}`, modelName, promptText, i%2)
			c.send(c.router(i%routerCount), rawRequest(http.MethodPost, "/v1/completions", c.otherKey, body))
		})
	}
}

// sendOldFence sends an order of a new controller and then one of an old controller that
// unloads the weights.
func sendOldFence(c *cluster, at location) {
	for _, s := range c.targets(at) {
		if s.engine == nil {
			continue
		}
		_, _ = s.sidecar.Order(c.ctx, &wire.OrderRequest{Fence: 7, Role: "mixed"})
		_, err := s.sidecar.Order(c.ctx, &wire.OrderRequest{Fence: 6, Unload: &wire.Weights{Model: modelName, Version: weights}})
		if err == nil {
			c.t.Errorf("%s accepted an order with an old fencing token", s.vm.Name)
		}
	}
}

func weightsUnchanged(c *cluster) error {
	for _, s := range c.engines {
		state, err := s.engine.State(c.ctx)
		if err != nil || len(state.Loaded) != 1 {
			return errors.Errorf("%s holds %v, %v", s.vm.Name, state.Loaded, err)
		}
	}
	return nil
}

func cutLinks(c *cluster, at location) {
	for _, s := range c.targets(at) {
		s.link.Cut()
	}
}

func freezeLinks(c *cluster, at location) {
	for _, s := range c.targets(at) {
		s.link.Freeze(freezeTime)
	}
}

// goneButListed makes a backend server unreachable while the VM list still has it.
// The repair makes it reachable again.
func goneButListed(c *cluster, at location) {
	gone := []*server{c.engines[0], c.services[0]}
	if at.server != nil {
		gone = []*server{at.server}
	}
	for _, s := range gone {
		s.link.SetDown(true)
	}
	c.onRepair(func() {
		for _, s := range gone {
			s.link.SetDown(false)
		}
		c.awaitServing(gone...)
	})
}

func killRouter(c *cluster, _ location) { c.restart(0) }

func restartAll(c *cluster, _ location) {
	for i := range routerCount {
		c.restart(i)
	}
}

// withdraw withdraws the key under test in the configuration.
func (c *cluster) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.config
	next.Number++
	next.Withdrawn = maps.Clone(next.Withdrawn)
	if next.Withdrawn == nil {
		next.Withdrawn = make(map[string]struct{})
	}
	next.Withdrawn["north-1"] = struct{}{}
	c.config = &next
}

func withdrawAtRouters(c *cluster, _ location) {
	c.withdraw()
	c.publishRouters()
	c.onRepair(c.publishSidecars)
}

func withdrawAtSidecars(c *cluster, _ location) {
	c.withdraw()
	c.publishSidecars()
	c.onRepair(c.publishRouters)
}

// keyRefused checks that the withdrawn key is refused everywhere, also by a sidecar
// whose router has not yet received the withdrawal.
func keyRefused(c *cluster) error {
	for i := range routerCount {
		for _, k := range kinds {
			resp := c.send(c.router(i), newRequest(k, c.key, "after the withdrawal", ""))
			if resp.complete || resp.code != "key_withdrawn" || resp.verdict != "not-run" {
				return errors.Errorf("router %d responds to the withdrawn key with %s", i, resp)
			}
		}
	}
	return nil
}

func storeFault(f kv.Faults) func(*cluster, location) {
	return func(c *cluster, _ location) {
		c.kv.SetFaults(f)
		c.onRepair(func() { c.kv.SetFaults(kv.Faults{}) })
	}
}

// moveShards moves the shards of the first router to the second one. The first
// router, which is paused, sees the new table only after the repair.
func moveShards(c *cluster, _ location) {
	c.mu.Lock()
	c.table = tableOf(c.table.Epoch+1, routerAddress(1))
	c.mu.Unlock()
	c.publishSidecars()
	c.mu.Lock()
	snapshot := c.snapshot()
	c.mu.Unlock()
	c.router(1).source.Publish(snapshot)
	c.onRepair(c.publishRouters)
}

// raceOperators lets two operators change the same revision of the document. At
// most one change may be accepted.
func raceOperators(c *cluster, _ location) {
	ctx, cancel := context.WithTimeout(c.ctx, operatorTimeout)
	defer cancel()
	base, err := c.store.Read(ctx)
	if err != nil {
		return // the key-value service is down as well
	}
	texts := []string{c.document("[workspace east]\nrate = 5\nburst = 5\n"), c.document("[workspace west]\nrate = 5\nburst = 5\n")}
	results := make([]*configstore.Result, len(texts))
	var operators sync.WaitGroup
	for i, text := range texts {
		operators.Go(func() {
			results[i], _ = c.store.Apply(ctx, base, []byte(text), fmt.Sprint("operator ", i))
		})
	}
	operators.Wait()
	if results[0] != nil && results[1] != nil {
		c.t.Error("the changes of both operators were accepted")
	}
	for _, result := range results {
		if result != nil {
			c.publishRevision(result.Revision)
		}
	}
}

// publishRevision publishes an accepted revision, to the sidecars first.
func (c *cluster) publishRevision(revision *config.Revision) {
	c.mu.Lock()
	if revision.Number > c.config.Number {
		c.config = revision
	}
	c.mu.Unlock()
	c.publishSidecars()
	c.onRepair(c.publishRouters)
}
