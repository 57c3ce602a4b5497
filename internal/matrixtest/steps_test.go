package matrixtest

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// step is a place on a request's way.
type step string

// The steps, in their order.
const (
	stepAuthenticate step = "authenticate"
	stepLimit        step = "limit"
	stepRoute        step = "route"
	stepDispatch     step = "dispatch"
	stepQueue        step = "queue"
	stepFirstFrame   step = "first frame"
	stepMidStream    step = "mid-stream"
	stepLastFrame    step = "last frame"
	stepRecord       step = "record"
)

var steps = []step{
	stepAuthenticate, stepLimit, stepRoute, stepDispatch, stepQueue,
	stepFirstFrame, stepMidStream, stepLastFrame, stepRecord,
}

// midFrame is the token frame at which stepMidStream is.
const midFrame = 4

// trigger runs a fault when the request under test first reaches a step.
type trigger struct {
	step  step
	fault func(w *world, at place)
	once  sync.Once
	fired atomic.Bool
}

// place says where a request is. Its server is nil before one was chosen.
type place struct {
	router *router
	server *server
}

// reached runs the faults that wait for a step.
func (w *world) reached(s step, at place) {
	for _, t := range w.triggers {
		if t.step == s {
			t.once.Do(func() {
				t.fault(w, at)
				t.fired.Store(true)
			})
		}
	}
}

// disarm keeps the faults away that have not come yet.
func (w *world) disarm() {
	for _, t := range w.triggers {
		t.once.Do(func() {})
	}
}

// stepFilter stands before a filter of the router.
type stepFilter struct {
	world  *world
	router *router
	step   step
}

func (f stepFilter) Name() string { return "step" }

func (f stepFilter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	if req.Credential == f.world.key || req.Workspace == probeWorkspace {
		f.world.reached(f.step, place{f.router, f.world.server(req.Target.Address)})
	}
	return next.Handle(ctx, req)
}

const probeWorkspace = "north"

// server returns the backend server at an address, or nil.
func (w *world) server(address string) *server {
	for _, s := range w.servers() {
		if s.vm.Address == address {
			return s
		}
	}
	return nil
}

// stepKV reaches stepRecord before a reply is written.
type stepKV struct {
	platform.KV
	world  *world
	server *server
}

func (k stepKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	if strings.HasPrefix(key, "wasabigate/once/") && expected != 0 {
		k.world.reached(stepRecord, place{server: k.server})
	}
	return k.KV.CompareAndSwap(ctx, key, value, expected, lease)
}

// frameStep returns the step that a frame of a job is at, or "".
func frameStep(frame *wire.Frame, tokens int) step {
	switch {
	case frame.GetHead() != nil:
		return stepFirstFrame
	case frame.GetTokens() != nil && tokens == midFrame:
		return stepMidStream
	default:
		return ""
	}
}
