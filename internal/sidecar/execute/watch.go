package execute

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

const (
	// stallCheck is the time without a chunk after which the engine is asked
	// whether it still works.
	stallCheck = 2 * time.Second
	// stateTimeout bounds the wait for an engine's report.
	stateTimeout = 2 * time.Second
)

// watch ends a stream whose engine neither sends chunks nor reports its state,
// or has restarted. A stream may rest for long while an engine works on other
// prompts, so that a timeout on chunks alone would break sound ones.
type watch struct {
	engine      engine.Engine
	incarnation uint64
	ctx         context.Context
	end         context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// newWatch returns a watch and the context for its stream. Stop ends both.
func newWatch(ctx context.Context, e engine.Engine, incarnation uint64) *watch {
	w := &watch{engine: e, incarnation: incarnation}
	w.ctx, w.end = context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallCheck, w.check)
	return w
}

// alive notes that a chunk has come.
func (w *watch) alive() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(stallCheck)
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.end(nil)
}

// check ends the stream if the engine is lost.
func (w *watch) check() {
	if err := w.askEngine(); err != nil {
		w.end(err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() == nil {
		w.timer.Reset(stallCheck)
	}
}

func (w *watch) askEngine() error {
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

// explain adds the watch's reason to the error of a stream that it ended.
func (w *watch) explain(err error) error {
	if cause := context.Cause(w.ctx); cause != nil {
		return errors.Wrap(engine.ErrBroken, cause.Error())
	}
	return err
}
