package kv

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
)

// watchBuffer is the number of events buffered for a slow reader before its
// watch breaks.
const watchBuffer = 1024

// watcher is an open watch.
type watcher struct {
	prefix string
	events chan platform.Event
}

// Watch implements platform.KV. It first delivers the last change of each key
// that changed after the given version, in order, then every change.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Version) (<-chan platform.Event, error) {
	delay, err := s.admit(ctx, &s.counts.Watches, func() *rate.Limiter { return s.reads })
	if err != nil {
		return nil, err
	}
	if _, err := fault.Wait(ctx, delay); err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	var w *watcher
	err = s.run(func() error {
		if after != 0 && after.Era() != s.era {
			return errors.Wrapf(platform.ErrCompacted, "version of era %d, now %d", after.Era(), s.era)
		}
		w = s.openWatch(prefix, after)
		return nil
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { s.closeWatch(w) })
	return w.events, nil
}

// openWatch registers a watcher whose buffer starts with the changes since after.
func (s *Store) openWatch(prefix string, after platform.Version) *watcher {
	missed := s.changesSince(prefix, after)
	w := &watcher{
		prefix: prefix,
		events: make(chan platform.Event, len(missed)+watchBuffer),
	}
	for _, event := range missed {
		w.events <- event
	}
	s.watchers[w] = struct{}{}
	s.reserveWatchReads()
	return w
}

// changesSince returns the last change of each key under prefix above a
// version, in version order.
func (s *Store) changesSince(prefix string, after platform.Version) []platform.Event {
	var events []platform.Event
	for key, rec := range s.records {
		if rec.changed > after && strings.HasPrefix(key, prefix) {
			events = append(events, rec.event(key))
		}
	}
	slices.SortFunc(events, func(a, b platform.Event) int { return cmp.Compare(a.Version, b.Version) })
	return events
}

// notify sends an event to the watchers. A watch whose buffer is full breaks.
func (s *Store) notify(event platform.Event) {
	for w := range s.watchers {
		if !strings.HasPrefix(event.Key, w.prefix) {
			continue
		}
		select {
		case w.events <- event:
		default:
			s.closeWatchLocked(w)
		}
	}
}

// BreakWatches closes all open watches.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakWatches()
}

func (s *Store) breakWatches() {
	for w := range s.watchers {
		s.closeWatchLocked(w)
	}
}

func (s *Store) closeWatch(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeWatchLocked(w)
}

// closeWatchLocked closes a watch if it is still open.
func (s *Store) closeWatchLocked(w *watcher) {
	if _, ok := s.watchers[w]; !ok {
		return
	}
	delete(s.watchers, w)
	close(w.events)
	s.reserveWatchReads()
}
