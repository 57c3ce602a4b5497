// Package guard keeps a panic over one message from outside from ending the process. It
// belongs where a message is handled whose loss does no harm; a fault in the process's
// own state must still end it.
package guard

import (
	"context"
	"runtime/debug"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/logging"
)

var logger = logging.For("guard")

var panics, _ = otel.Meter("wasabigate/guard").Int64Counter("wasabigate.guard.panics",
	metric.WithUnit("{message}"),
	metric.WithDescription("Messages that were dropped because handling them panicked, by kind."))

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 2 << 10

// ErrPanic means that handling a message panicked. The message is dropped.
var ErrPanic = errors.New("panic while handling a message")

// Call calls handle for a message of the given kind. If handle panics, the panic is
// logged and counted, and Call returns ErrPanic.
func Call(kind string, handle func() error) (err error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		stack := debug.Stack()
		logger.Error(logging.Fields{"kind": kind, "panic": p, "stack": string(stack[:min(len(stack), maxStackBytes)])}, "message dropped")
		panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
		err = errors.Wrapf(ErrPanic, "%s: %v", kind, p)
	}()
	return handle()
}
