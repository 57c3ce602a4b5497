package execute

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

const (
	// stallCheckDelay is the time without a chunk after which the engine's state
	// is checked.
	stallCheckDelay = 2 * time.Second
	// stateTimeout is the time-out for a request of the engine's state.
	stateTimeout = 2 * time.Second
)

// watchdog cancels a stream if its engine has restarted, or neither sends chunks
// nor reports its state. An engine may send no chunk of a stream for a long time
// while it computes other prompts, so a time-out on chunks alone would cancel
// healthy streams.
type watchdog struct {
	engine      engine.Engine
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// newWatchdog returns a watchdog. Its ctx is the context for the stream; stop ends
// both.
func newWatchdog(ctx context.Context, e engine.Engine, incarnation uint64) *watchdog {
	w := &watchdog{engine: e, incarnation: incarnation}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallCheckDelay, w.check)
	return w
}

// chunkReceived restarts the timer.
func (w *watchdog) chunkReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(stallCheckDelay)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.cancel(nil)
}

// check cancels the stream if the engine does not report its state or has
// restarted.
func (w *watchdog) check() {
	if err := w.checkState(); err != nil {
		w.cancel(err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() == nil {
		w.timer.Reset(stallCheckDelay)
	}
}

func (w *watchdog) checkState() error {
	ctx, cancel := context.WithTimeout(w.ctx, stateTimeout)
	defer cancel()
	state, err := w.engine.State(ctx)
	if err != nil {
		return errors.Wrap(err, "engine sends no chunk and does not report its state")
	}
	if state.Incarnation != w.incarnation {
		return errors.Errorf("engine restarted: incarnation %d after %d", state.Incarnation, w.incarnation)
	}
	return nil
}

// withCause returns the cause as an ErrBroken if the context of the stream ended,
// and otherwise err.
func (w *watchdog) withCause(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return errors.Wrap(engine.ErrBroken, cause.Error())
	}
	return err
}
