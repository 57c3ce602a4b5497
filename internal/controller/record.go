package controller

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// recordKey is the key of an environment's record of loads.
func recordKey(environment string) string { return keyPrefix + environment + "/loads" }

// load is a load of weights that may be running.
type load struct {
	Server  string  `json:"server"` // rpc address of the sidecar
	Weights weights `json:"weights"`
}

// record names the loads that may be running, so that the next holder of the
// lease counts them. It is written before each load order; because the write
// depends on the version of the last one, a holder that was overtaken can't
// write it.
type record struct {
	Fence uint64 `json:"fence"` // of the holder that wrote it
	Write uint64 `json:"write"` // counts the holder's writes
	Loads []load `json:"loads"`
}

// errOvertaken means that a later holder of the lease has written the record.
var errOvertaken = errors.New("a later controller has taken over")

// ledger keeps the record. One goroutine uses it.
type ledger struct {
	kv      platform.KV
	key     string
	version platform.Version
	record  record
}

// takeOver reads the last holder's record and makes it this holder's.
func (l *ledger) takeOver(ctx context.Context, fence uint64) error {
	last, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	if last.Fence > fence {
		return errors.Wrapf(errOvertaken, "fence %d after %d", last.Fence, fence)
	}
	l.version = version
	l.record = record{Fence: fence}
	return l.write(ctx, last.Loads)
}

func (l *ledger) read(ctx context.Context) (record, platform.Version, error) {
	entry, err := l.kv.Get(ctx, l.key)
	if errors.Is(err, platform.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var read record
	if err := json.Unmarshal(entry.Value, &read); err != nil {
		return record{}, 0, errors.Wrap(err, "record of loads")
	}
	return read, entry.Version, nil
}

// write replaces the loads. The ledger keeps them only if the write took effect.
func (l *ledger) write(ctx context.Context, loads []load) error {
	next := record{Fence: l.record.Fence, Write: l.record.Write + 1, Loads: slices.Clone(loads)}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "record of loads")
	}
	version, err := l.kv.CompareAndSwap(ctx, l.key, value, l.version, 0)
	switch {
	case err == nil:
		l.version, l.record = version, next
		return nil
	case errors.Is(err, platform.ErrUnsure), errors.Is(err, platform.ErrConflict):
		return l.settle(ctx, next, err)
	default:
		return err
	}
}

// settle finds out what became of a write whose answer was lost, now or earlier.
func (l *ledger) settle(ctx context.Context, next record, cause error) error {
	last, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	if last.Fence > next.Fence {
		return errors.Wrapf(errOvertaken, "fence %d after %d", last.Fence, next.Fence)
	}
	l.version = version
	if last.Fence == next.Fence && last.Write == next.Write && slices.Equal(last.Loads, next.Loads) {
		l.record = next
		return nil
	}
	l.record.Write = max(l.record.Write, next.Write)
	return errors.Wrap(cause, "record of loads not written")
}
