package streamversion

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("streamversion")

type fields = logging.Fields

const (
	// stepInterval is the time between two checks of the assignments.
	stepInterval = 100 * time.Millisecond
	// turnDelay is how long a gateway waits for each one whose turn to write is before its
	// own: a write and its way back through a watch.
	turnDelay = 400 * time.Millisecond
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
)

// ViewMargin is added to the longest time that a stream can last: a gateway that is cut off or
// paused begins streams by an older assignment for so long.
const ViewMargin = 5 * time.Second

// ServiceState is what a gateway knows of a service whose streams can be resumed.
type ServiceState struct {
	Name       string
	Pool       Pool
	Capacities map[string]int // of the servers that take requests, by software version
	Exact      string         // version whose share must be exact, since it is being rolled out; empty: none
	// Lifetime is how long a stream can last, over all attempts of its client.
	Lifetime time.Duration
}

// KeeperOptions configure a Keeper.
type KeeperOptions struct {
	KV     platform.LeaseKV
	Prefix string // of the keys; the name of the service follows
	// Services returns the services, or nil while the state of the store is out of date.
	Services func() []ServiceState
	// Turn is the position of this gateway among those that write; negative: it does not.
	Turn func() int
}

// Keeper keeps the assignments in the store up to date. Several gateways run one: a write
// holds only if the entry has not changed meanwhile, so the turns just save calls.
type Keeper struct {
	opts     KeeperOptions
	services map[string]*keptService
}

// keptService is a service as a Keeper has seen it.
type keptService struct {
	slots    [Slots]slot
	since    [Slots]time.Time // when this process saw the slot change last
	due      time.Time        // when a change was first needed; zero: none is
	notUntil time.Time        // after a write
}

// NewKeeper returns a Keeper. Run starts it.
func NewKeeper(opts KeeperOptions) *Keeper {
	return &Keeper{opts: opts, services: make(map[string]*keptService)}
}

// Run keeps the assignments up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for clock.Sleep(ctx, stepInterval) == nil {
		k.step(ctx, time.Now())
	}
}

// step writes the assignments whose change is due.
func (k *Keeper) step(ctx context.Context, now time.Time) {
	states := k.opts.Services()
	turn := k.opts.Turn()
	for i := range states {
		state := &states[i]
		kept := k.services[state.Name]
		if kept == nil {
			kept = &keptService{}
			k.services[state.Name] = kept
		}
		if next := kept.plan(state, turn, now); next != nil {
			k.write(ctx, state, next)
			kept.notUntil = time.Now().Add(turnDelay)
		}
	}
}

// plan returns the assignment that this gateway is to write now, or nil.
func (k *keptService) plan(state *ServiceState, turn int, now time.Time) *Assignment {
	current := state.Pool.Assignment
	if current != nil {
		k.observe(current, now)
	}
	next := plan(current, state.Capacities, state.Exact, state.Pool.Era)
	if next == nil && current != nil {
		next = Settle(current, func(i int) time.Duration { return now.Sub(k.since[i]) }, state.Lifetime+ViewMargin)
	}
	switch {
	case next == nil:
		k.due = time.Time{}
		return nil
	case k.due.IsZero():
		k.due = now
	}
	if turn < 0 || now.Before(k.notUntil) || now.Before(k.due.Add(time.Duration(turn)*turnDelay)) {
		return nil
	}
	return next
}

// observe records when slots change.
func (k *keptService) observe(a *Assignment, now time.Time) {
	for i := range a.slots {
		if k.since[i].IsZero() || !k.slots[i].equal(&a.slots[i]) {
			k.slots[i], k.since[i] = a.slots[i], now
		}
	}
}

// write writes an assignment. If it does not hold, or its outcome is unknown, the next steps
// see what the store has.
func (k *Keeper) write(ctx context.Context, state *ServiceState, next *Assignment) {
	text, err := next.Encode()
	if err != nil {
		logger.Error(fields{"service": state.Name, "error": err.Error()}, "assignment of streams not encoded")
		return
	}
	var expected platform.Version
	if state.Pool.Assignment != nil {
		expected = state.Pool.Assignment.Revision
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry := fields{"service": state.Name, "epoch": next.Epoch, "shares": next.Shares(), "unsettled": next.Unsettled()}
	if _, err := k.opts.KV.CompareAndSwap(ctx, k.opts.Prefix+state.Name, text, expected, 0); err != nil {
		entry["error"] = err.Error()
		logger.Warn(entry, "assignment of streams not written")
		return
	}
	logger.Info(entry, "streams assigned to software versions")
}
