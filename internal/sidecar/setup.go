package sidecar

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/buffer"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/sidecar/latecrash"
	"github.com/wasabigate/wasabigate/internal/sidecar/once"
	"github.com/wasabigate/wasabigate/internal/sidecar/pieces"
	"github.com/wasabigate/wasabigate/internal/sidecar/processend"
	"github.com/wasabigate/wasabigate/internal/sidecar/queue"
	"github.com/wasabigate/wasabigate/internal/sidecar/verify"
)

// BlockSource lists the KV cache blocks that the engine has cached.
type BlockSource interface {
	// Digest returns the engine's incarnation and up to maxBlocks block hashes,
	// most recently used first.
	Digest(maxBlocks int) *wire.DigestReply
	pieces.Index
}

// Options configure a Sidecar.
type Options struct {
	Settings    *config.SidecarSettings
	Source      control.Source
	Executor    Executor
	KV          platform.KV   // for calls that run at most once
	Engine      engine.Engine // nil for plain services
	Environment string
	Blocks      BlockSource // nil for plain services
	// PieceStore stores KV cache; nil for none. It needs Engine and Blocks.
	PieceStore platform.PieceStore
	// Ended reports whether no process serves the backend server's address; nil: unknown.
	Ended func(context.Context) bool
	// Numbers counts the ends of a plain service's processes; it is that of the executor.
	Numbers *processend.Numbers
	// Name is the backend server's, and Quarantine gets the crashes that are noticed late; nil:
	// none are.
	Name       string
	Quarantine *quarantine.Quarantine
	// OnRevisions is called with revisions from messages that are newer than the
	// snapshot's, so that the control loop fetches them. May be nil.
	OnRevisions func(*wire.Revisions)
}

// New returns a Sidecar and builds its filter chain.
func New(opts Options) *Sidecar {
	s := &Sidecar{source: opts.Source, executor: opts.Executor, blocks: opts.Blocks}
	s.leaving = &leaving{ended: opts.Ended, onChange: func() { s.queue.RefuseWaiting() }}
	s.engine = newEngineState(opts.Engine, func() { s.leaving.end("the engine has restarted") })
	s.engine.paused = func() bool { return s.queue.Pause(time.Now()) > 0 }
	s.usage = newWeightsUsage(s.engine.incarnation)
	s.orders = newOrders(opts.Engine, s.usage, s.orderRefusal)
	s.buffers = buffer.New(buffer.Options{Settings: opts.Settings, Revisions: s.revisions})
	s.queue = queue.New(opts.Settings)
	s.once = once.New(once.Options{KV: opts.KV, Environment: opts.Environment})
	s.verify = verify.New(verify.Options{
		Settings:    opts.Settings,
		Source:      opts.Source,
		OnRevisions: opts.OnRevisions,
		Draining:    s.isDraining,
		Loaded:      s.engine.loadedWeights,
	})
	last := pipeline.HandlerFunc[*job.Job, job.Outcome](s.execute)
	filters := []job.Filter{s.verify, s.queue, s.once}
	if opts.PieceStore != nil {
		filters = append(filters, pieces.New(pieces.Options{
			Store: opts.PieceStore, Engine: opts.Engine, Index: opts.Blocks, Load: s.Load,
		}))
	}
	if opts.Quarantine != nil && opts.Ended != nil {
		filters = append(filters, latecrash.New(latecrash.Options{
			Server: opts.Name, Quarantine: opts.Quarantine, Ended: opts.Ended, Incarnation: s.engine.incarnation, Leaving: s.isDraining, Numbers: opts.Numbers,
		}))
	}
	s.chain = pipeline.Chain(last, filters...)
	return s
}
