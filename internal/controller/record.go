package controller

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// recordKey returns the key of the load record of an environment.
func recordKey(environment string) string { return keyPrefix + environment + "/loads" }

// load is a load of weights at an engine, possibly still running.
type load struct {
	Server  string  `json:"server"` // RPC address of the sidecar
	Weights weights `json:"weights"`
}

// record lists the loads that may be running, so that the next lease holder
// counts them towards maxLoads. It is written before each load order. The write
// is conditional on the version of the previous one, so that a superseded
// holder cannot write it.
type record struct {
	Fence uint64 `json:"fence"` // of the holder that wrote it
	Write uint64 `json:"write"` // number of the write by that holder
	Loads []load `json:"loads"`
}

// errSuperseded means that a later lease holder has written the record.
var errSuperseded = errors.New("superseded by a later controller")

// recordStore stores the record. It is not safe for concurrent use.
type recordStore struct {
	kv      platform.KV
	key     string
	version platform.Version
	record  record
}

// takeOver reads the record of the previous holder and rewrites it with this
// holder's fencing token.
func (s *recordStore) takeOver(ctx context.Context, fence uint64) error {
	last, version, err := s.read(ctx)
	if err != nil {
		return err
	}
	if last.Fence > fence {
		return errors.Wrapf(errSuperseded, "load record has fence %d, own fence is %d", last.Fence, fence)
	}
	s.version = version
	s.record = record{Fence: fence}
	return s.write(ctx, last.Loads)
}

func (s *recordStore) read(ctx context.Context) (record, platform.Version, error) {
	entry, err := s.kv.Get(ctx, s.key)
	if errors.Is(err, platform.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var read record
	if err := json.Unmarshal(entry.Value, &read); err != nil {
		return record{}, 0, errors.Wrap(err, "load record")
	}
	return read, entry.Version, nil
}

// write replaces the loads. The record in memory changes only if the write took
// effect.
func (s *recordStore) write(ctx context.Context, loads []load) error {
	next := record{Fence: s.record.Fence, Write: s.record.Write + 1, Loads: slices.Clone(loads)}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "load record")
	}
	version, err := s.kv.CompareAndSwap(ctx, s.key, value, s.version, 0)
	switch {
	case err == nil:
		s.version, s.record = version, next
		return nil
	case errors.Is(err, platform.ErrOutcomeUnknown), errors.Is(err, platform.ErrConflict):
		return s.resolveWrite(ctx, next, err)
	default:
		return err
	}
}

// resolveWrite reads the record to find out whether a write took effect whose
// reply, or that of an earlier write, was lost.
func (s *recordStore) resolveWrite(ctx context.Context, next record, cause error) error {
	last, version, err := s.read(ctx)
	if err != nil {
		return err
	}
	if last.Fence > next.Fence {
		return errors.Wrapf(errSuperseded, "load record has fence %d, own fence is %d", last.Fence, next.Fence)
	}
	s.version = version
	if last.Fence == next.Fence && last.Write == next.Write && slices.Equal(last.Loads, next.Loads) {
		s.record = next
		return nil
	}
	s.record.Write = max(s.record.Write, next.Write)
	return errors.Wrap(cause, "write load record")
}
