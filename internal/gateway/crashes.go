package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
)

const (
	// crashesInterval is the time between two comparisons of the findings with the store's.
	crashesInterval = 500 * time.Millisecond
	// crashesTurn is how long only the gateways elected so far write the findings.
	crashesTurn = 2 * time.Second
	// crashesLost is the time after which a write that no snapshot has counts as lost, as in
	// a store that was restored.
	crashesLost = 10 * time.Second
	// crashesTimeout bounds a write of the findings.
	crashesTimeout = 2 * time.Second
)

// savedCrashes keeps what gateways know of requests that crash servers in the platform's
// store, so that it outlasts all processes. While nothing is blamed it calls nothing.
type savedCrashes struct {
	quarantine *quarantine.Quarantine
	store      platform.LeaseKV
	self       string
	snapshot   func() *deployment.Snapshot
	gateways   func(*deployment.Snapshot) []string

	mu      sync.Mutex
	seen    platform.Version // of the entry in the last snapshot
	version platform.Version // of the entry as merged or written last
	digest  uint64           // of its findings
	written time.Time        // zero: the entry was merged
	differs time.Time        // since when the entry differs from the findings; zero: it does not
}

// merge merges the store's entry.
func (s *savedCrashes) merge(snapshot *deployment.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := &snapshot.Crashes
	if entry.Version == s.seen {
		return
	}
	s.seen = entry.Version
	if entry.Version == s.version {
		return // written by this process
	}
	s.version, s.digest, s.written = entry.Version, 0, time.Time{}
	if entry.Version == 0 {
		return
	}
	digest, err := s.quarantine.Restore(entry.Value, time.Now())
	if err != nil {
		logger.Warn(fields{"key": entry.Key, "error": err.Error()}, "entry not decoded")
	}
	s.digest = digest
}

// run writes the findings when they change, until ctx ends.
func (s *savedCrashes) run(ctx context.Context) {
	for clock.Sleep(ctx, crashesInterval) == nil {
		s.update(ctx, time.Now())
	}
}

// update writes the findings if the store's entry has others and this gateway is elected to.
func (s *savedCrashes) update(ctx context.Context, now time.Time) {
	snapshot := s.snapshot()
	turn, differs := s.turn(s.quarantine.Digest(), now)
	expected := snapshot.Crashes.Version
	if !differs || !snapshot.Ready() || !quarantine.Elected(quarantine.PartOf(follower.CrashesKey, expected.String()), turn, s.self, s.gateways(snapshot)) {
		return
	}
	if err := s.write(ctx, expected, now); err != nil {
		logger.Info(fields{"error": err.Error()}, "findings not saved")
	}
}

// turn reports whether the entry has other findings than digest, and the turn of the
// election of the gateway that writes them.
func (s *savedCrashes) turn(digest uint64, now time.Time) (turn int64, differs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := !s.written.IsZero() && s.seen != s.version && now.Sub(s.written) > crashesLost
	if digest == s.digest && !lost {
		s.differs = time.Time{}
		return 0, false
	}
	if s.differs.IsZero() {
		s.differs = now
	}
	return int64(now.Sub(s.differs) / crashesTurn), true
}

func (s *savedCrashes) write(ctx context.Context, expected platform.Version, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, crashesTimeout)
	defer cancel()
	text, digest, err := s.quarantine.Save(now)
	if err != nil {
		return err
	}
	version, err := s.store.CompareAndSwap(ctx, follower.CrashesKey, text, expected, 0)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.version {
		s.version, s.digest, s.written = version, digest, now
	}
	logger.Info(fields{"version": version.String()}, "findings on crashing requests saved")
	return nil
}
