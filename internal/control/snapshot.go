// Package control owns a daemon's control state. One goroutine changes it and
// publishes immutable snapshots; traffic goroutines only read them.
package control

import (
	"sync/atomic"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
)

// Snapshot is the control state at one point in time. It is immutable.
type Snapshot struct {
	Config   *config.Revision // nil until a document is known
	Shards   *shard.Table     // nil until a table is known
	View     *membership.View // never nil
	Listed   bool             // the VM list has this daemon's VM as live
	Draining bool             // this daemon accepts no new work
}

// Revisions returns the document revision and shard epoch to send to peers. Each is
// 0 while unknown.
func (s *Snapshot) Revisions() *wire.Revisions {
	revisions := &wire.Revisions{}
	if s.Config != nil {
		revisions.Document = s.Config.Number
	}
	if s.Shards != nil {
		revisions.ShardEpoch = s.Shards.Epoch
	}
	return revisions
}

// Source provides the current snapshot. It is safe for concurrent use.
type Source interface {
	Snapshot() *Snapshot
}

// AtomicSource is a Source whose snapshot can be replaced atomically.
type AtomicSource struct {
	current atomic.Pointer[Snapshot]
}

// NewAtomicSource returns an AtomicSource that holds snapshot.
func NewAtomicSource(snapshot *Snapshot) *AtomicSource {
	source := &AtomicSource{}
	source.current.Store(snapshot)
	return source
}

// Snapshot implements Source.
func (s *AtomicSource) Snapshot() *Snapshot { return s.current.Load() }

// Publish replaces the snapshot.
func (s *AtomicSource) Publish(snapshot *Snapshot) { s.current.Store(snapshot) }
