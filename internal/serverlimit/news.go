package serverlimit

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// News returns the limits to tell another gateway: what has changed recently, or with all
// set, all that hold.
func (l *Limits) News(all bool, now time.Time) []*wire.NamedLimit {
	if !l.any.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var news []*wire.NamedLimit
	for id, s := range l.servers {
		recent := now.Sub(s.toldFrom) < tellTime
		if len(news) >= maxTold || !recent && !(all && s.holds(now)) {
			continue
		}
		age := now.Sub(s.named)
		if s.limit == 0 {
			age = now.Sub(s.ended)
		}
		news = append(news, &wire.NamedLimit{Server: id, Incarnation: s.incarnation, Limit: s.limit, AgeMs: age.Milliseconds()})
	}
	return news
}

// Merge merges another gateway's news of servers for which listed returns the same
// incarnation. It ignores impossible values.
func (l *Limits) Merge(news []*wire.NamedLimit, listed func(id string) (incarnation int64, ok bool), now time.Time) {
	for _, entry := range news[:min(len(news), maxTold)] {
		incarnation, ok := listed(entry.GetServer())
		if !ok || incarnation != entry.GetIncarnation() || entry.GetAgeMs() < 0 || entry.GetAgeMs() > expiry.Milliseconds() {
			continue
		}
		l.mergeEntry(entry, now.Add(-time.Duration(entry.GetAgeMs())*time.Millisecond), now)
	}
}

func (l *Limits) mergeEntry(entry *wire.NamedLimit, at, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[entry.GetServer()]
	switch limit := entry.GetLimit(); {
	case valid(limit):
		l.name(entry.GetServer(), entry.GetIncarnation(), limit, at, now)
	case limit == 0 && s != nil && s.limit > 0 && at.Sub(s.named) > endAfter:
		l.end(entry.GetServer(), s, at)
	}
}
