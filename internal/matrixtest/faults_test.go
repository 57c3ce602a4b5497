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
	inject func(w *cluster, at location)
	// notApplicable returns why the fault can't affect a request of a kind at a
	// step, or "" if it can.
	notApplicable func(k kind, s step) string
	// verify checks the required effect of the fault itself.
	verify func(w *cluster) error
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
func (w *cluster) targets(at location) []*server {
	if at.server != nil {
		return []*server{at.server}
	}
	return w.servers()
}

func crash(w *cluster, at location) {
	for _, s := range w.targets(at) {
		if s.engine != nil {
			s.engine.Crash(downTime)
			w.onRepair(func() { w.awaitEngine(s) })
			continue
		}
		s.service.SetFaults(service.Faults{Down: true})
		up := func() { s.service.SetFaults(service.Faults{}) }
		time.AfterFunc(downTime, up)
		w.onRepair(up)
	}
}

func (w *cluster) awaitEngine(s *server) {
	eventually(w.t, recoveryTimeout, s.vm.Name+" is up", func() bool {
		_, err := s.engine.State(w.ctx)
		return err == nil
	})
}

func crashBefore(w *cluster, at location) {
	setFaults(w, at, model.Faults{}, service.Faults{CrashBefore: 1, DownTime: downTime})
}

func loseResponse(w *cluster, at location) {
	setFaults(w, at, model.Faults{CutAfterChunks: 3, CutStreams: 1}, service.Faults{CutAfter: 1})
}

func delayResponse(w *cluster, at location) {
	setFaults(w, at, model.Faults{AnswerDelay: responseDelay}, service.Faults{Delay: responseDelay})
}

func crossResponse(w *cluster, at location) {
	setFaults(w, at, model.Faults{CrossStreams: 1}, service.Faults{CrossIDs: 1})
}

func setFaults(w *cluster, at location, engines model.Faults, services service.Faults) {
	for _, s := range w.targets(at) {
		if s.engine != nil {
			s.engine.SetFaults(engines)
			w.onRepair(func() { s.engine.SetFaults(model.Faults{}) })
			continue
		}
		s.service.SetFaults(services)
		w.onRepair(func() { s.service.SetFaults(service.Faults{}) })
	}
}

// freezeBackend stops engines. A service has no background work to stop, so its
// responses are delayed.
func freezeBackend(w *cluster, at location) {
	for _, s := range w.targets(at) {
		if s.engine != nil {
			s.engine.Freeze(freezeTime)
			continue
		}
		s.service.SetFaults(service.Faults{Delay: freezeTime})
		w.onRepair(func() { s.service.SetFaults(service.Faults{}) })
	}
}

func loseEvents(w *cluster, _ location) {
	for _, s := range w.engines {
		s.engine.LoseEvents(2, 0.5)
		w.onRepair(func() { s.engine.LoseEvents(0, 0) })
	}
}

// indexNotAhead checks that no sidecar's index has more blocks than its engine
// holds.
func indexNotAhead(w *cluster) error {
	for _, s := range w.engines {
		state, err := s.engine.State(w.ctx)
		if err != nil {
			return err
		}
		if known := s.index.Len(); known > state.CachedBlocks {
			return errors.Errorf("%s: %d blocks in the index, %d in the engine", s.vm.Name, known, state.CachedBlocks)
		}
	}
	return nil
}

// hotRequests is the number of requests with a new hot prefix.
const hotRequests = 8

func shiftPrefix(w *cluster, _ location) {
	for i := range hotRequests {
		w.work.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"another hot prefix %s %d","max_tokens":4}`, modelName, promptText, i%2)
			w.send(w.router(i%routerCount), rawRequest(http.MethodPost, "/v1/completions", w.otherKey, body))
		})
	}
}

// sendOldFence sends an order of a new controller and then one of an old controller that
// unloads the weights.
func sendOldFence(w *cluster, at location) {
	for _, s := range w.targets(at) {
		if s.engine == nil {
			continue
		}
		_, _ = s.sidecar.Order(w.ctx, &wire.OrderRequest{Fence: 7, Role: "mixed"})
		_, err := s.sidecar.Order(w.ctx, &wire.OrderRequest{Fence: 6, Unload: &wire.Weights{Model: modelName, Version: weights}})
		if err == nil {
			w.t.Errorf("%s accepted an order with an old fencing token", s.vm.Name)
		}
	}
}

func weightsUnchanged(w *cluster) error {
	for _, s := range w.engines {
		state, err := s.engine.State(w.ctx)
		if err != nil || len(state.Loaded) != 1 {
			return errors.Errorf("%s holds %v, %v", s.vm.Name, state.Loaded, err)
		}
	}
	return nil
}

func cutLinks(w *cluster, at location) {
	for _, s := range w.targets(at) {
		s.link.Cut()
	}
}

func freezeLinks(w *cluster, at location) {
	for _, s := range w.targets(at) {
		s.link.Freeze(freezeTime)
	}
}

// goneButListed makes a backend server unreachable while the VM list still has it.
// The repair makes it reachable again.
func goneButListed(w *cluster, at location) {
	gone := []*server{w.engines[0], w.services[0]}
	if at.server != nil {
		gone = []*server{at.server}
	}
	for _, s := range gone {
		s.link.SetDown(true)
	}
	w.onRepair(func() {
		for _, s := range gone {
			s.link.SetDown(false)
		}
		w.awaitServing(gone...)
	})
}

func killRouter(w *cluster, _ location) { w.restart(0) }

func restartAll(w *cluster, _ location) {
	for i := range routerCount {
		w.restart(i)
	}
}

// withdraw withdraws the key under test in the configuration.
func (w *cluster) withdraw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.config
	next.Number++
	next.Withdrawn = maps.Clone(next.Withdrawn)
	if next.Withdrawn == nil {
		next.Withdrawn = make(map[string]struct{})
	}
	next.Withdrawn["north-1"] = struct{}{}
	w.config = &next
}

func withdrawAtRouters(w *cluster, _ location) {
	w.withdraw()
	w.publishRouters()
	w.onRepair(w.publishSidecars)
}

func withdrawAtSidecars(w *cluster, _ location) {
	w.withdraw()
	w.publishSidecars()
	w.onRepair(w.publishRouters)
}

// keyRefused checks that the withdrawn key is refused everywhere, also by a sidecar
// whose router has not yet received the withdrawal.
func keyRefused(w *cluster) error {
	for i := range routerCount {
		for _, k := range kinds {
			a := w.send(w.router(i), newRequest(k, w.key, "after the withdrawal", ""))
			if a.complete || a.code != "key_withdrawn" || a.verdict != "not-run" {
				return errors.Errorf("router %d responds to the withdrawn key with %s", i, a)
			}
		}
	}
	return nil
}

func storeFault(f kv.Faults) func(*cluster, location) {
	return func(w *cluster, _ location) {
		w.kv.SetFaults(f)
		w.onRepair(func() { w.kv.SetFaults(kv.Faults{}) })
	}
}

// moveShards moves the shards of the first router to the second one. The first
// router, which is paused, sees the new table only after the repair.
func moveShards(w *cluster, _ location) {
	w.mu.Lock()
	w.table = tableOf(w.table.Epoch+1, routerAddress(1))
	w.mu.Unlock()
	w.publishSidecars()
	w.mu.Lock()
	snapshot := w.snapshot()
	w.mu.Unlock()
	w.router(1).source.Publish(snapshot)
	w.onRepair(w.publishRouters)
}

// raceOperators lets two operators change the same revision of the document. At
// most one change may be accepted.
func raceOperators(w *cluster, _ location) {
	ctx, cancel := context.WithTimeout(w.ctx, operatorTimeout)
	defer cancel()
	base, err := w.store.Read(ctx)
	if err != nil {
		return // the key-value service is down as well
	}
	texts := []string{w.document("[workspace east]\nrate = 5\nburst = 5\n"), w.document("[workspace west]\nrate = 5\nburst = 5\n")}
	results := make([]*configstore.Result, len(texts))
	var operators sync.WaitGroup
	for i, text := range texts {
		operators.Go(func() {
			results[i], _ = w.store.Apply(ctx, base, []byte(text), fmt.Sprint("operator ", i))
		})
	}
	operators.Wait()
	if results[0] != nil && results[1] != nil {
		w.t.Error("the changes of both operators were accepted")
	}
	for _, result := range results {
		if result != nil {
			w.publishRevision(result.Revision)
		}
	}
}

// publishRevision publishes an accepted revision, to the sidecars first.
func (w *cluster) publishRevision(revision *config.Revision) {
	w.mu.Lock()
	if revision.Number > w.config.Number {
		w.config = revision
	}
	w.mu.Unlock()
	w.publishSidecars()
	w.onRepair(w.publishRouters)
}
