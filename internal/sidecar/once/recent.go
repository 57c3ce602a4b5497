package once

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// recentTime is how long records are remembered: longer than the age of the copy that
	// the key-value service is restored from.
	recentTime = time.Minute
	// maxRecent bounds the records that are remembered.
	maxRecent = 10_000
	// eraPollInterval is the time between two checks of the era while records are
	// remembered.
	eraPollInterval = time.Second
	// settleTime is how long no call is executed after a restore, so that each sidecar can
	// notice it and write its records again.
	settleTime = 3 * time.Second
)

// errRestored means that a restore of the key-value service may have lost the record of an
// earlier attempt.
var errRestored = errors.New("the key-value service was restored a moment ago")

// recentRecord is a record that was written lately.
type recentRecord struct {
	intent  *wire.Intent
	written time.Time
}

// recent remembers the records written lately, since a restore of the key-value service
// may lose them, and tracks its era. It is safe for concurrent use.
type recent struct {
	mu      sync.Mutex
	records map[string]recentRecord
	polling bool
	known   bool         // era is set
	era     platform.Era // whose restore this process has dealt with, or is waiting for
	settled time.Time    // when calls may be executed again in that era
}

// add remembers a record, and reports whether polling of the era must start.
func (c *recent) add(r *record, now time.Time) (startPolling bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.records) >= maxRecent {
		c.prune(now)
	}
	if c.records == nil {
		c.records = make(map[string]recentRecord)
	}
	if len(c.records) < maxRecent {
		c.records[r.key] = recentRecord{intent: r.intent, written: now}
	}
	startPolling = !c.polling
	c.polling = true
	return startPolling
}

func (c *recent) remove(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.records, key)
}

// prune forgets records that were written more than recentTime ago.
func (c *recent) prune(now time.Time) {
	for key, r := range c.records {
		if now.Sub(r.written) >= recentTime {
			delete(c.records, key)
		}
	}
}

// keepPolling reports whether records are still remembered, and else ends the polling. key
// is that of any record.
func (c *recent) keepPolling(now time.Time) (key string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	for key := range c.records {
		return key, true
	}
	c.polling = false
	return "", false
}

// observe takes note of the era of the latest response, and returns the records to write
// again if it is a new one.
func (c *recent) observe(era platform.Era, now time.Time) map[string]*wire.Intent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && era <= c.era {
		return nil
	}
	first := !c.known
	c.known, c.era = true, era
	if first {
		return nil
	}
	c.settled = now.Add(settleTime)
	lost := make(map[string]*wire.Intent, len(c.records))
	for key, r := range c.records {
		lost[key] = r.intent
	}
	logger.Warn(logging.Fields{"era": uint64(era), "records": len(lost)}, "key-value service restored; calls wait until records are written again")
	return lost
}

// settledIn reports whether calls may be executed.
func (c *recent) settledIn(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.settled)
}

// observeEra writes the remembered records again if the service was restored. It returns
// errRestored while other sidecars may not have done so.
func (s *store) observeEra() error {
	now := time.Now()
	if lost := s.recent.observe(s.kv.Era(), now); len(lost) > 0 {
		go s.writeAgain(lost)
	}
	if !s.recent.settledIn(now) {
		return errRestored
	}
	return nil
}

// remember remembers a record that is being written.
func (s *store) remember(r *record) {
	if s.recent.add(r, time.Now()) {
		time.AfterFunc(eraPollInterval, s.pollEra)
	}
}

// pollEra reads from the service to notice a restore, and is called again while records
// are remembered.
func (s *store) pollEra() {
	key, ok := s.recent.keepPolling(time.Now())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), eraPollInterval)
	defer cancel()
	_, _ = s.kv.Get(ctx, key) // the era is in any response
	_ = s.observeEra()        // calls that arrive meanwhile get the error
	time.AfterFunc(eraPollInterval, s.pollEra)
}

// writeAgain writes records that a restore may have lost, until settleTime has passed.
func (s *store) writeAgain(lost map[string]*wire.Intent) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	for key, intent := range lost {
		if err := s.restoreRecord(ctx, &record{key: key, intent: intent}); err != nil {
			logger.Error(logging.Fields{"request_id": intent.RequestId, "error": err.Error()}, "record of a call lost in a restore")
		}
	}
}

// restoreRecord writes a record if a restore lost it, or its reply. It retries until ctx
// ends.
func (s *store) restoreRecord(ctx context.Context, r *record) error {
	var expected platform.Version
	for pause := minBackoff; ; pause = nextBackoff(pause) {
		_, err := s.write(ctx, r, expected)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			entry, readErr := s.kv.Get(ctx, r.key)
			stored := &wire.Intent{}
			if readErr == nil && proto.Unmarshal(entry.Value, stored) == nil {
				if stored.AttemptId != r.intent.AttemptId || stored.Reply != nil || r.intent.Reply == nil {
					return nil
				}
				expected = entry.Version
			}
		}
		if sleep(ctx, pause) != nil {
			return err
		}
	}
}
