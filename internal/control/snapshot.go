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

// Snapshot is the control state at one time. It is immutable.
type Snapshot struct {
	Config   *config.Revision // nil until a document is known
	Shards   *shard.Table     // nil until a table is known
	View     *membership.View // never nil
	Listed   bool             // this daemon's own VM is listed as live
	Draining bool             // this daemon takes no new work
}

// Revisions returns the numbers that every message carries.
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

// Source gives the current snapshot to traffic goroutines.
type Source interface {
	Snapshot() *Snapshot
}

// Cell is a Source that one goroutine writes.
type Cell struct {
	current atomic.Pointer[Snapshot]
}

// NewCell returns a Cell that holds snapshot.
func NewCell(snapshot *Snapshot) *Cell {
	cell := &Cell{}
	cell.current.Store(snapshot)
	return cell
}

// Snapshot implements Source.
func (c *Cell) Snapshot() *Snapshot { return c.current.Load() }

// Publish replaces the snapshot.
func (c *Cell) Publish(snapshot *Snapshot) { c.current.Store(snapshot) }
