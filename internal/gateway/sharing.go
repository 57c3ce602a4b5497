package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
)

const (
	// sharingInterval is the time between two looks at what is to be stored.
	sharingInterval = 50 * time.Millisecond
	// sharingTurn is how long only the gateways elected so far write it.
	sharingTurn = 500 * time.Millisecond
	// sharingTimeout bounds a write.
	sharingTimeout = time.Second
)

// savedSharing keeps in the platform's store since when workspaces share KV cache under their
// present name. It calls nothing while no workspace was isolated or let go.
type savedSharing struct {
	store    platform.LeaseKV
	self     string
	snapshot func() *deployment.Snapshot
	gateways func(*deployment.Snapshot) []string

	due time.Time // since when the store has something else; zero: it has not
}

// run writes the entry when it changes, until ctx ends.
func (s *savedSharing) run(ctx context.Context) {
	for clock.Sleep(ctx, sharingInterval) == nil {
		if err := s.update(ctx, time.Now()); err != nil {
			logger.Info(fields{"key": follower.SharingKey, "error": err.Error()}, "sharing of KV cache not saved")
		}
	}
}

// update writes the entry if the store has another and this gateway is elected to.
func (s *savedSharing) update(ctx context.Context, now time.Time) error {
	snapshot := s.snapshot()
	if snapshot.SharingToStore == nil || snapshot.Position == 0 {
		s.due = time.Time{}
		return nil
	}
	if s.due.IsZero() {
		s.due = now
	}
	turn := int64(now.Sub(s.due) / sharingTurn)
	if !quarantine.Elected(quarantine.PartOf(follower.SharingKey, snapshot.Sharing.Version.String()), turn, s.self, s.gateways(snapshot)) {
		return nil
	}
	text, err := json.Marshal(snapshot.SharingToStore)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sharingTimeout)
	defer cancel()
	_, err = s.store.CompareAndSwap(ctx, follower.SharingKey, text, snapshot.Sharing.Version, 0)
	if errors.Is(err, platform.ErrConflict) {
		return nil // another gateway wrote it, and the next snapshot has that
	}
	return err
}
