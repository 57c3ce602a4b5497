package execute

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/sidecar/processend"
)

// serviceEnds notices the ends of a plain service's processes. It is safe for concurrent
// use.
type serviceEnds struct {
	ended   func(ctx context.Context) bool // nil: ends are not noticed
	numbers *processend.Numbers
}

// observe returns the number of the process that has ended under a call that was sent at
// the given time and failed; 0: none did. Calls that were lost together get the same number.
func (e *serviceEnds) observe(ctx context.Context, sent time.Time, err error) uint64 {
	if e.ended == nil || ctx.Err() != nil || !errors.Is(err, engine.ErrBroken) {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if !e.ended(ctx) {
		return 0
	}
	return e.numbers.Of(sent)
}
