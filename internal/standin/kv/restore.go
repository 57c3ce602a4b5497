package kv

import (
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// maxRestoreAge is the age of the oldest copy that the service can be restored from.
const maxRestoreAge = time.Minute

// undo holds what a change of a key replaced.
type undo struct {
	at      time.Time
	key     string
	before  *record // nil: the key had no record
	version platform.Version
}

// logUndo records a key before its change and forgets changes older than maxRestoreAge.
func (s *Store) logUndo(key string) {
	now := time.Now()
	u := undo{at: now, key: key, version: s.lastVersion}
	if rec, ok := s.records[key]; ok {
		before := *rec
		u.before = &before
	}
	s.undoLog = append(s.undoLog, u)
	recent := slices.IndexFunc(s.undoLog, func(u undo) bool { return now.Sub(u.at) <= maxRestoreAge })
	s.undoLog = s.undoLog[recent:]
}

// Era implements platform.KV.
func (s *Store) Era() platform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Restore replaces the content by a copy that is age old, at most maxRestoreAge. The
// changes and leases since the copy are lost, their versions and lease IDs are given out
// again, and all watches break.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	s.breakWatches()
	revision := s.lastVersion.Revision()
	for len(s.undoLog) > 0 {
		last := s.undoLog[len(s.undoLog)-1]
		if !last.at.After(copied) {
			break
		}
		s.undoLog = s.undoLog[:len(s.undoLog)-1]
		revision = last.version.Revision()
		if last.before == nil {
			delete(s.records, last.key)
		} else {
			s.records[last.key] = last.before
		}
	}
	s.forgetLeases(copied)
	s.startEra(revision)
}

// forgetLeases removes the leases granted after the copy was made, and the keys whose
// leases are gone.
func (s *Store) forgetLeases(copied time.Time) {
	s.lastLease = 0
	for id, l := range s.leases {
		if l.granted.After(copied) {
			l.timer.Stop()
			delete(s.leases, id)
			continue
		}
		s.lastLease = max(s.lastLease, id)
		clear(l.keys)
	}
	for key, rec := range s.records {
		id := rec.current.lease
		if id == 0 {
			continue
		}
		if l, ok := s.leases[id]; ok {
			l.keys[key] = struct{}{}
		} else {
			delete(s.records, key)
		}
	}
}

// startEra gives all content versions of a new era that goes on after a revision.
func (s *Store) startEra(revision uint64) {
	s.era++
	inEra := func(v platform.Version) platform.Version { return platform.NewVersion(s.era, v.Revision()) }
	for _, rec := range s.records {
		rec.current.version = inEra(rec.current.version)
		rec.previous = rec.current
		rec.changed = inEra(rec.changed)
	}
	s.undoLog = nil
	s.lastVersion = platform.NewVersion(s.era, revision+1) - 1
}
