package clientconn

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/clientmem"
	"github.com/wasabigate/wasabigate/internal/logging"
)

var logger = logging.For("clientconn")

// Reasons for which clients are refused or cut off.
const (
	ReasonConnections   = "connections"    // too many connections
	ReasonUnused        = "unused"         // an unused connection was closed for a new one
	ReasonHeadSize      = "head_size"      // a head above the limit
	ReasonHeadMemory    = "head_memory"    // no memory for a long head
	ReasonMessageMemory = "message_memory" // no memory for a message over RPC
	ReasonBodyMemory    = "body_memory"    // no memory for a body
	ReasonBodySlow      = "body_slow"      // a body without sufficient progress
	ReasonUnread        = "unread"         // a response that the client did not read
	ReasonAnswerMemory  = "answer_memory"  // no memory for a response
)

var refused, _ = otel.Meter("wasabigate/clientconn").Int64Counter("wasabigate.clients.refused",
	metric.WithUnit("{client}"),
	metric.WithDescription("Clients that were refused or cut off to protect the process, by listener and reason."))

// logInterval is the shortest time between two log lines of a listener and reason.
const logInterval = time.Second

type reasonKey struct{ listener, reason string }

// counts holds what was counted since the last log line.
var counts = struct {
	sync.Mutex
	since  map[reasonKey]int
	logged map[reasonKey]time.Time
}{since: make(map[reasonKey]int), logged: make(map[reasonKey]time.Time)}

// Count counts a client that is refused or cut off. It logs at most one line a second for each
// listener and reason.
func Count(listener, reason string) {
	refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", listener), attribute.String("reason", reason)))
	key, now := reasonKey{listener, reason}, time.Now()
	counts.Lock()
	counts.since[key]++
	number := counts.since[key]
	due := now.Sub(counts.logged[key]) >= logInterval
	if due {
		counts.since[key], counts.logged[key] = 0, now
	}
	counts.Unlock()
	if due {
		logger.Warn(logging.Fields{"listener": listener, "reason": reason, "count": number}, "client refused")
	}
}

// RegisterMemoryGauge registers a gauge of what an account holds for clients.
func RegisterMemoryGauge(account *clientmem.Account) {
	meter := otel.Meter("wasabigate/clientconn")
	_, err := meter.Int64ObservableGauge("wasabigate.clients.memory", metric.WithUnit("By"),
		metric.WithDescription("Memory held for clients, of the account derived from memory_limit."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(account.Used())
			return nil
		}))
	if err != nil {
		otel.Handle(err)
	}
}
