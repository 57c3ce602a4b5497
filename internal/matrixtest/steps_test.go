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

// step is a point on a request's path.
type step string

// The steps, in order.
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

// midStreamFrame is the token frame that counts as stepMidStream.
const midStreamFrame = 4

// trigger runs a fault when the request under test first reaches a step.
type trigger struct {
	step  step
	fault func(c *cluster, at location)
	once  sync.Once
	fired atomic.Bool
}

// location is the router or backend server that a request has reached. server is nil
// before one was chosen.
type location struct {
	router *router
	server *server
}

// trigger injects the faults of a step.
func (c *cluster) trigger(s step, at location) {
	for _, t := range c.triggers {
		if t.step == s {
			t.once.Do(func() {
				t.fault(c, at)
				t.fired.Store(true)
			})
		}
	}
}

// disarm prevents the faults that were not injected yet.
func (c *cluster) disarm() {
	for _, t := range c.triggers {
		t.once.Do(func() {})
	}
}

// stepFilter injects the faults of a step before the next filter of the router.
type stepFilter struct {
	cluster *cluster
	router  *router
	step    step
}

func (f stepFilter) Name() string { return "step" }

func (f stepFilter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	if req.Credential == f.cluster.key || req.Workspace == probeWorkspace {
		f.cluster.trigger(f.step, location{f.router, f.cluster.server(req.Target.Address)})
	}
	return next.Handle(ctx, req)
}

const probeWorkspace = "north"

// server returns the backend server at an address, or nil.
func (c *cluster) server(address string) *server {
	for _, s := range c.servers() {
		if s.vm.Address == address {
			return s
		}
	}
	return nil
}

// stepKV injects the faults of stepRecord before a response is recorded.
type stepKV struct {
	platform.KV
	cluster *cluster
	server  *server
}

func (k stepKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	if strings.HasPrefix(key, "wasabigate/once/") && expected != 0 {
		k.cluster.trigger(stepRecord, location{server: k.server})
	}
	return k.KV.CompareAndSwap(ctx, key, value, expected, lease)
}

// frameStep returns the step that a frame of a job marks, or "".
func frameStep(frame *wire.Frame, tokens int) step {
	switch {
	case frame.GetHead() != nil:
		return stepFirstFrame
	case frame.GetTokens() != nil && tokens == midStreamFrame:
		return stepMidStream
	default:
		return ""
	}
}
