package quarantine

import (
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// rumorSends is how often this process tells what it has learned. Each process that
	// learns of it does the same, so that a few sends reach thousands of processes.
	rumorSends = 16
	// maxRumors bounds what waits to be told, maxTold the crashes in one message.
	maxRumors = 128
	maxTold   = 32
	// maxAge bounds the ages in a message. The first crashes for which a part is blamed may be
	// that old.
	maxAge = 100 * maxHold
	// maxServerBytes bounds the name of a server in a message.
	maxServerBytes = 256
)

// rumor is a crash or a success to be told.
type rumor struct {
	crash   *Crash
	success Part // if crash is nil
	sends   int  // made so far
}

// spread queues a rumor; the oldest gives way. The caller holds the lock.
func (q *Quarantine) spread(r *rumor) {
	if len(q.rumors) >= maxRumors {
		q.rumors = slices.Delete(q.rumors, 0, 1)
	}
	q.rumors = append(q.rumors, r)
	select {
	case q.learned <- struct{}{}:
	default:
	}
}

// Learned returns a channel that gets a signal when there is something new to tell.
func (q *Quarantine) Learned() <-chan struct{} { return q.learned }

// spreadEvidence tells the crashes against a newly blamed part once more, since some
// processes may not hear from those that saw them. The caller holds the lock.
func (q *Quarantine) spreadEvidence(crashes []*Crash) {
	for _, crash := range crashes {
		if !slices.ContainsFunc(q.rumors, func(r *rumor) bool { return r.crash == crash }) {
			q.spread(&rumor{crash: crash})
		}
	}
}

// Digest returns a hash of the findings. Processes with the same findings have the same.
func (q *Quarantine) Digest() uint64 {
	if !q.Blames() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.digest()
}

// digest is Digest for a caller that holds the lock.
func (q *Quarantine) digest() uint64 {
	digest := uint64(0)
	for part, b := range q.blamed {
		digest ^= uint64(PartOf(b.last().Server, "")) * (uint64(part) | 1)
	}
	return digest
}

// News returns what to tell a process whose last message had the given digest: recent
// crashes and successes, and all findings if that process has others. It returns nil if
// there is nothing to tell.
func (q *Quarantine) News(theirs uint64, now time.Time) *wire.QuarantineNews {
	digest := q.Digest()
	if !q.Remembers() && digest == theirs {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	news := &newsWriter{message: &wire.QuarantineNews{Digest: digest}, quarantine: q, now: now}
	if digest != theirs {
		news.addFindings()
	}
	for _, r := range q.rumors {
		if news.add(r) {
			r.sends++
		}
	}
	q.rumors = slices.DeleteFunc(q.rumors, func(r *rumor) bool { return r.sends >= rumorSends })
	return news.message
}

// Findings returns the digest of the findings with the crashes and successes that they rest
// on.
func (q *Quarantine) Findings(now time.Time) *wire.QuarantineNews {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(now)
	news := &newsWriter{message: &wire.QuarantineNews{Digest: q.digest()}, quarantine: q, now: now}
	news.addFindings()
	return news.message
}

// newsWriter builds a message of bounded size.
type newsWriter struct {
	message    *wire.QuarantineNews
	quarantine *Quarantine
	now        time.Time
	told       []*Crash
}

// add adds a rumor, and reports whether it is in the message.
func (w *newsWriter) add(r *rumor) bool {
	if r.crash == nil {
		return w.addSuccess(r.success)
	}
	w.addCrashes([]*Crash{r.crash})
	return slices.Contains(w.told, r.crash)
}

// addFindings adds the crashes for which parts are blamed.
func (w *newsWriter) addFindings() {
	for part, b := range w.quarantine.blamed {
		_, counted := w.quarantine.evidence(part)
		w.addCrashes(counted)
		w.addCrashes(b.crashes[max(0, len(b.crashes)-maxCounted):]) // from which the next probe follows
	}
}

// addCrashes adds crashes together with the successes of their parts, without which the
// receiver would come to other findings.
func (w *newsWriter) addCrashes(crashes []*Crash) {
	for _, crash := range crashes {
		if len(w.told) >= maxTold || slices.Contains(w.told, crash) {
			continue
		}
		w.told = append(w.told, crash)
		entry := &wire.ServerCrash{
			Server: crash.Server, SentAgeMs: w.now.Sub(crash.Sent).Milliseconds(), EndedAgeMs: w.now.Sub(crash.Ended).Milliseconds(), Stage: uint32(crash.Stage),
			Proven: crash.Proven,
		}
		for _, part := range crash.Parts {
			entry.Parts = append(entry.Parts, uint64(part))
			w.addSuccess(part)
		}
		w.message.Crashes = append(w.message.Crashes, entry)
	}
}

func (w *newsWriter) addSuccess(part Part) bool {
	at, ok := w.quarantine.success[part]
	if !ok || slices.ContainsFunc(w.message.Successes, func(s *wire.PartSuccess) bool { return s.Part == uint64(part) }) {
		return ok
	}
	w.message.Successes = append(w.message.Successes, &wire.PartSuccess{Part: uint64(part), AgeMs: w.now.Sub(at).Milliseconds()})
	return true
}

// Merge merges another process's news. Impossible values are ignored.
func (q *Quarantine) Merge(news *wire.QuarantineNews, now time.Time) {
	if len(news.GetCrashes()) == 0 && len(news.GetSuccesses()) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, entry := range news.Crashes[:min(len(news.Crashes), maxTold)] {
		if crash := crashFrom(entry, now); crash != nil && q.add(crash, maxPerServer, now) {
			q.spread(&rumor{crash: crash})
		}
	}
	settled := make(map[string]struct{})
	for _, entry := range news.Successes[:min(len(news.Successes), maxTold*MaxParts)] {
		q.mergeSuccess(Part(entry.GetPart()), entry.GetAgeMs(), now, settled)
	}
	for server := range settled {
		q.judgeServer(server)
	}
	q.forget(now) // a crash that is old counts only if a part is blamed for it
}

// mergeSuccess records another process's success if it settles any crash that is open
// here, and adds the servers to judge again. A success that does not is not kept, since
// ages grow a little with each message. The caller holds the lock.
func (q *Quarantine) mergeSuccess(part Part, ageMs int64, now time.Time, servers map[string]struct{}) {
	at, ok := fromAge(ageMs, now)
	if !ok {
		return
	}
	success := q.success[part]
	settles := slices.ContainsFunc(q.byPart[part], func(c *Crash) bool { return c.Ended.After(success) && !c.Ended.After(at) })
	if settles {
		open := q.openCrashes(part)
		q.clear(part, at, servers)
		if open > 1 {
			q.spread(&rumor{success: part})
		}
	}
}

// crashFrom returns the crash in a message, or nil if it is malformed.
func crashFrom(entry *wire.ServerCrash, now time.Time) *Crash {
	sent, sentOK := fromAge(entry.GetSentAgeMs(), now)
	ended, endedOK := fromAge(entry.GetEndedAgeMs(), now)
	if !sentOK || !endedOK || ended.Before(sent) || entry.GetStage() >= uint32(stages) || entry.GetServer() == "" || len(entry.GetServer()) > maxServerBytes || len(entry.GetParts()) > MaxParts {
		return nil
	}
	crash := &Crash{Server: entry.GetServer(), Sent: sent, Ended: ended, Stage: Stage(entry.GetStage()), Proven: entry.GetProven()}
	for _, part := range entry.GetParts() {
		crash.Parts = append(crash.Parts, Part(part))
	}
	return crash
}

func fromAge(ms int64, now time.Time) (time.Time, bool) {
	if ms < 0 || ms > maxAge.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ms) * time.Millisecond), true
}
