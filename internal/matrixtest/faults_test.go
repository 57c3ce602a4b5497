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
	// freezeTime is how long a frozen part stands still.
	freezeTime = 200 * time.Millisecond
	// lateTime is the lateness of late answers.
	lateTime = 150 * time.Millisecond
	// storeDelay is the delay of a slow key-value service.
	storeDelay = 150 * time.Millisecond
	// operatorTimeout bounds the changes of two operators.
	operatorTimeout = time.Second
)

// fault is a row of the matrix.
type fault struct {
	name   string
	inject func(w *world, at place)
	// untouched says why the fault can't touch a request of a kind at a step, ""
	// if it can.
	untouched func(k kind, s step) string
	// after checks what the fault itself must have led to.
	after func(w *world) error
	// hidden says whether a caller must get the whole answer in spite of the
	// fault; nil: an explicit error will do.
	hidden func(k kind, s step) bool
	// withdraws says that the fault withdraws the key under test.
	withdraws bool
}

var faults = []fault{
	{name: "backend server crash", inject: crash, hidden: streamsWithServer},
	{name: "crash before the effect", inject: crashBefore, untouched: servicesBeforeTheCall},
	{name: "answer lost after the effect", inject: loseAnswer, untouched: beforeTheCall},
	{name: "late answer", inject: delayAnswer, untouched: beforeTheCall, hidden: always},
	{name: "crossed answer", inject: crossAnswer, untouched: beforeTheCall},
	{name: "backend server frozen", inject: freezeBackend, hidden: streams},
	{name: "cache events lost", inject: loseEvents, hidden: streams, untouched: onlyGenerations("plain services have no prefix cache"), after: indexNotAhead},
	{name: "hot prefix shift", inject: shiftPrefix, hidden: streams, untouched: onlyGenerations("plain calls have no prefix")},
	{name: "old fencing number", inject: oldFence, hidden: streams, untouched: onlyGenerations("plain services take no orders"), after: weightsStay},
	{name: "connections cut", inject: cutLinks, hidden: streams},
	{name: "network frozen", inject: freezeLinks, hidden: always},
	{name: "backend server gone, VM list lags", inject: goneButListed, hidden: streamsWithServer},
	{name: "router killed", inject: killRouter, hidden: streams},
	{name: "all routers restart at once", inject: restartAll, hidden: streams},
	{name: "key withdrawn, routers know first", inject: withdrawAtRouters, withdraws: true, after: keyRefused},
	{name: "key withdrawn, sidecars know first", inject: withdrawAtSidecars, withdraws: true, after: keyRefused},
	{name: "key-value service down", inject: storeFault(kv.Faults{Down: true}), hidden: withoutRecord},
	{name: "key-value service slow", inject: storeFault(kv.Faults{Delay: storeDelay}), hidden: always},
	{name: "key-value service's answer lost after the effect", inject: storeFault(kv.Faults{LoseAnswers: 1}), hidden: withoutRecord},
	{name: "shards lost while their owner is paused", inject: moveShards},
	{name: "operators race", inject: raceOperators, hidden: always},
}

func always(kind, step) bool { return true }

func streams(k kind, _ step) bool { return k == kindStream }

func withoutRecord(k kind, _ step) bool { return k != kindOrder }

// streamsWithServer are the streams whose backend server was chosen: the fault
// strikes it alone, and another one goes on.
func streamsWithServer(k kind, s step) bool {
	return k == kindStream && slices.Index(steps, s) >= slices.Index(steps, stepDispatch)
}

// beforeTheCall marks faults of the backend server's answer.
func beforeTheCall(_ kind, s step) string {
	if slices.Index(steps, s) > slices.Index(steps, stepQueue) {
		return "the backend server has begun its answer"
	}
	return ""
}

func servicesBeforeTheCall(k kind, s step) string {
	if k == kindStream {
		return "an engine has no effect before its first chunk; see backend server crash"
	}
	return beforeTheCall(k, s)
}

func onlyGenerations(reason string) func(kind, step) string {
	return func(k kind, _ step) string {
		if k == kindStream {
			return ""
		}
		return reason
	}
}

// hit returns the backend servers that a fault strikes: the one that was chosen,
// or all before that.
func (w *world) hit(at place) []*server {
	if at.server != nil {
		return []*server{at.server}
	}
	return w.servers()
}

func crash(w *world, at place) {
	for _, s := range w.hit(at) {
		if s.engine != nil {
			s.engine.Crash(downTime)
			w.onMend(func() { w.awaitEngine(s) })
			continue
		}
		s.service.SetFaults(service.Faults{Down: true})
		up := func() { s.service.SetFaults(service.Faults{}) }
		time.AfterFunc(downTime, up)
		w.onMend(up)
	}
}

func (w *world) awaitEngine(s *server) {
	eventually(w.t, recovery, s.vm.Name+" is up", func() bool {
		_, err := s.engine.State(w.ctx)
		return err == nil
	})
}

func crashBefore(w *world, at place) {
	setFaults(w, at, model.Faults{}, service.Faults{CrashBefore: 1, DownTime: downTime})
}

func loseAnswer(w *world, at place) {
	setFaults(w, at, model.Faults{CutAfterChunks: 3, CutStreams: 1}, service.Faults{CutAfter: 1})
}

func delayAnswer(w *world, at place) {
	setFaults(w, at, model.Faults{AnswerDelay: lateTime}, service.Faults{Delay: lateTime})
}

func crossAnswer(w *world, at place) {
	setFaults(w, at, model.Faults{CrossStreams: 1}, service.Faults{CrossIDs: 1})
}

func setFaults(w *world, at place, engines model.Faults, services service.Faults) {
	for _, s := range w.hit(at) {
		if s.engine != nil {
			s.engine.SetFaults(engines)
			w.onMend(func() { s.engine.SetFaults(model.Faults{}) })
			continue
		}
		s.service.SetFaults(services)
		w.onMend(func() { s.service.SetFaults(service.Faults{}) })
	}
}

// freezeBackend stops engines. A service has no work of its own to stop, so that
// its answers are held up.
func freezeBackend(w *world, at place) {
	for _, s := range w.hit(at) {
		if s.engine != nil {
			s.engine.Freeze(freezeTime)
			continue
		}
		s.service.SetFaults(service.Faults{Delay: freezeTime})
		w.onMend(func() { s.service.SetFaults(service.Faults{}) })
	}
}

func loseEvents(w *world, _ place) {
	for _, s := range w.engines {
		s.engine.LoseEvents(2, 0.5)
		w.onMend(func() { s.engine.LoseEvents(0, 0) })
	}
}

// indexNotAhead checks that no sidecar believes its engine to hold blocks that
// it does not hold.
func indexNotAhead(w *world) error {
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

func shiftPrefix(w *world, _ place) {
	for i := range hotRequests {
		w.work.Go(func() {
			body := fmt.Sprintf(`{"model":%q,"prompt":"another hot prefix %s %d","max_tokens":4}`, modelName, promptText, i%2)
			w.ask(w.router(i%routerCount), rawRequest(http.MethodPost, "/v1/completions", w.otherKey, body))
		})
	}
}

// oldFence sends an order of a new controller and then one of an old controller
// that unloads the weights.
func oldFence(w *world, at place) {
	for _, s := range w.hit(at) {
		if s.engine == nil {
			continue
		}
		_, _ = s.sidecar.Order(w.ctx, &wire.OrderRequest{Fence: 7, Role: "mixed"})
		_, err := s.sidecar.Order(w.ctx, &wire.OrderRequest{Fence: 6, Unload: &wire.Weights{Model: modelName, Version: weights}})
		if err == nil {
			w.t.Errorf("%s took an order with an old fencing number", s.vm.Name)
		}
	}
}

func weightsStay(w *world) error {
	for _, s := range w.engines {
		state, err := s.engine.State(w.ctx)
		if err != nil || len(state.Loaded) != 1 {
			return errors.Errorf("%s holds %v, %v", s.vm.Name, state.Loaded, err)
		}
	}
	return nil
}

func cutLinks(w *world, at place) {
	for _, s := range w.hit(at) {
		s.link.Cut()
	}
}

func freezeLinks(w *world, at place) {
	for _, s := range w.hit(at) {
		s.link.Freeze(freezeTime)
	}
}

// goneButListed takes a backend server's VM away while the VM list still shows
// it. Mended, the list shows it as gone.
func goneButListed(w *world, at place) {
	gone := []*server{w.engines[0], w.services[0]}
	if at.server != nil {
		gone = []*server{at.server}
	}
	for _, s := range gone {
		s.link.SetDown(true)
	}
	w.onMend(func() {
		for _, s := range gone {
			s.link.SetDown(false)
		}
		w.awaitServing(gone...)
	})
}

func killRouter(w *world, _ place) { w.restart(0) }

func restartAll(w *world, _ place) {
	for i := range routerCount {
		w.restart(i)
	}
}

// withdrawn returns the configuration with the key under test withdrawn.
func (w *world) withdraw() {
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

func withdrawAtRouters(w *world, _ place) {
	w.withdraw()
	w.publishRouters()
	w.onMend(w.publishSidecars)
}

func withdrawAtSidecars(w *world, _ place) {
	w.withdraw()
	w.publishSidecars()
	w.onMend(w.publishRouters)
}

// keyRefused checks that the withdrawn key works nowhere, also with a sidecar
// whose router has not heard of the withdrawal.
func keyRefused(w *world) error {
	for i := range routerCount {
		for _, k := range kinds {
			a := w.ask(w.router(i), newRequest(k, w.key, "after the withdrawal", ""))
			if a.complete || a.code != "key_withdrawn" || a.verdict != "not-run" {
				return errors.Errorf("router %d answers the withdrawn key with %s", i, a)
			}
		}
	}
	return nil
}

func storeFault(f kv.Faults) func(*world, place) {
	return func(w *world, _ place) {
		w.kv.SetFaults(f)
		w.onMend(func() { w.kv.SetFaults(kv.Faults{}) })
	}
}

// moveShards gives the shards of the first router to the second one. The first
// router, which is paused, does not see the new table until it is mended.
func moveShards(w *world, _ place) {
	w.mu.Lock()
	w.table = tableOf(w.table.Epoch+1, routerAddress(1))
	w.mu.Unlock()
	w.publishSidecars()
	w.mu.Lock()
	snapshot := w.snapshot()
	w.mu.Unlock()
	w.router(1).cell.Publish(snapshot)
	w.onMend(w.publishRouters)
}

// raceOperators lets two operators change the document that both have read.
// Exactly one may win.
func raceOperators(w *world, _ place) {
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
		w.t.Error("both operators won")
	}
	for _, result := range results {
		if result != nil {
			w.accepted(result.Revision)
		}
	}
}

// accepted puts a document in force, at the sidecars first.
func (w *world) accepted(revision *config.Revision) {
	w.mu.Lock()
	if revision.Number > w.config.Number {
		w.config = revision
	}
	w.mu.Unlock()
	w.publishSidecars()
	w.onMend(w.publishRouters)
}
