package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// judgeServer judges the parts of all requests under which a server ended, since those of
// a higher stage explain the others. The caller holds the lock.
func (q *Quarantine) judgeServer(server string) {
	for part := range q.partsLostAt(server) {
		q.judge(part)
	}
}

// partsLostAt returns the parts of all requests under which a server ended. The caller
// holds the lock.
func (q *Quarantine) partsLostAt(server string) map[Part]struct{} {
	parts := make(map[Part]struct{})
	for _, crash := range q.crashes {
		if crash.Server == server {
			for _, part := range crash.Parts {
				parts[part] = struct{}{}
			}
		}
	}
	return parts
}

// judge decides whether a part is blamed. A whole request that another part explains is blamed
// too, but its probe is due at once: if it is as bad, only the probe ends a server. Prompts of
// many requests may share an explained part of a prompt, so that one is not blamed. The caller
// holds the lock.
func (q *Quarantine) judge(part Part) {
	before := q.blamed[part]
	open, counted := q.evidence(part)
	explained := len(counted) >= minCrashes && q.isExplained(part, open, counted)
	if len(counted) < minCrashes || explained && !part.IsRequest() {
		if before != nil {
			delete(q.blamed, part)
			logCleared(part)
		}
	} else {
		now := &blame{common: q.common(part, counted), servers: len(counted), explained: explained}
		now.crashes = q.lostWith(part, now.common)
		now.until = now.last().Ended
		if !explained {
			now.until = q.holdUntil(part, now.crashes)
		}
		if before != nil && before.until.Equal(now.until) {
			now.asked = before.asked
		}
		q.blamed[part] = now
		if before == nil {
			logBlamed(part, now)
			q.spreadEvidence(counted)
		}
	}
	q.blames.Store(len(q.blamed) > 0)
}

// isExplained reports whether another part explains all the crashes against a part: requests
// with it were lost at the same servers, and it has more crashes, or fewer requests that
// were lost, so that holding it back costs less, or servers had got further with it. A
// crashing part is then not blamed together with sound ones that it took with it. If it is
// the wrong one, the next crash tells. The caller holds the lock.
func (q *Quarantine) isExplained(part Part, open, counted []*Crash) bool {
	common := q.common(part, counted)
	for other := range q.partsLostAt(counted[0].Server) {
		if len(q.byPart[other]) < minCrashes || slices.Contains(common, other) {
			continue
		}
		otherOpen, otherCounted := q.evidence(other)
		if len(otherCounted) < minCrashes || !allAtServersOf(counted, otherOpen) {
			continue
		}
		order := cmp.Or(
			cmp.Compare(countServers(otherOpen), countServers(open)),
			cmp.Compare(len(open), len(otherOpen)),
			cmp.Compare(q.countFurthest(otherOpen, counted), q.countFurthest(open, counted)),
			cmp.Compare(part, other),
		)
		if order > 0 {
			return true
		}
	}
	return false
}

// allAtServersOf reports whether each of the crashes is of a server of the others.
func allAtServersOf(crashes, others []*Crash) bool {
	return !slices.ContainsFunc(crashes, func(c *Crash) bool { return !ofServer(others, c.Server) })
}

// countFurthest returns at how many of the servers of counted a crash has the highest stage
// of all crashes there. The caller holds the lock.
func (q *Quarantine) countFurthest(crashes, counted []*Crash) int {
	return countServers(slices.Collect(func(yield func(*Crash) bool) {
		for _, c := range crashes {
			if c.Stage == q.servers[c.Server].stage && ofServer(counted, c.Server) && !yield(c) {
				return
			}
		}
	}))
}

func countServers(crashes []*Crash) int {
	servers := make(map[string]struct{})
	for _, c := range crashes {
		servers[c.Server] = struct{}{}
	}
	return len(servers)
}

// evidence returns the crashes against a part since its last success, ordered by time, and
// those of them that count: of different servers, and under requests sent after the one
// counted before had ended. Repeats of a request that has not succeeded lately may have been
// sent together: a sound one that is at several servers when they end together has.
//
// Crashes of the highest stage of their servers count. A server may also end before it
// begins a response: then all crashes count, if they are more than a sound request that waits
// beside a crashing one has. The caller holds the lock.
func (q *Quarantine) evidence(part Part) (open, counted []*Crash) {
	success := q.success[part]
	var furthest []*Crash
	for _, crash := range q.byPart[part] {
		if !crash.Ended.After(success) {
			continue
		}
		open = append(open, crash)
		if crash.Stage == q.servers[crash.Server].stage {
			furthest = append(furthest, crash)
		}
	}
	together := part.IsRequest() && !slices.ContainsFunc(open, func(c *Crash) bool { return c.Proven })
	if counted = countInTurn(furthest, together, 0); len(counted) >= minCrashes {
		return furthest, counted
	}
	enough, shift := minWaitingCrashes, time.Duration(0)
	if together {
		enough, shift = minWaitingRequests, newsShift
	}
	if all := countInTurn(open, false, shift); len(all) >= enough {
		return open, all
	}
	return furthest, counted
}

// countInTurn sorts crashes by time and returns those that count; together says whether
// those under requests that were sent together do. Their times are exact but for shift.
func countInTurn(crashes []*Crash, together bool, shift time.Duration) (counted []*Crash) {
	slices.SortFunc(crashes, func(a, b *Crash) int { return a.Ended.Compare(b.Ended) })
	for _, crash := range crashes {
		if len(counted) == maxCounted {
			break
		}
		follows := len(counted) == 0 || together || !crash.Sent.Before(counted[len(counted)-1].Ended.Add(-shift))
		if follows && !ofServer(counted, crash.Server) {
			counted = append(counted, crash)
		}
	}
	return counted
}

func ofServer(crashes []*Crash, server string) bool {
	return slices.ContainsFunc(crashes, func(c *Crash) bool { return c.Server == server })
}

// common returns the parts that all of the requests had, without those that have succeeded
// in other requests since the first crash. The caller holds the lock.
func (q *Quarantine) common(blamed Part, counted []*Crash) []Part {
	var common []Part
	for _, part := range counted[0].Parts {
		shared := !slices.ContainsFunc(counted[1:], func(c *Crash) bool { return !slices.Contains(c.Parts, part) })
		if part == blamed || shared && !q.success[part].After(counted[0].Ended) {
			common = append(common, part)
		}
	}
	return common
}

// lostWith returns the crashes under requests with a blamed part and all that they have in
// common, since the part's last success, ordered by time. The caller holds the lock.
func (q *Quarantine) lostWith(part Part, common []Part) []*Crash {
	var crashes []*Crash
	for _, crash := range q.byPart[part] {
		if crash.Ended.After(q.success[part]) && containsAll(crash.Parts, common) {
			crashes = append(crashes, crash)
		}
	}
	slices.SortFunc(crashes, func(a, b *Crash) int { return a.Ended.Compare(b.Ended) })
	return crashes
}

// blamesRequest reports whether a part is a whole request that is blamed, and not explained by
// another part. The caller holds the lock.
func (q *Quarantine) blamesRequest(part Part) bool {
	b := q.blamed[part]
	return part.IsRequest() && b != nil && !b.explained
}

// holdUntil returns the time of the next probe of a part, from its crashes in order of time. One
// that came firstHold or more after the one before was a probe, unless fewer than minCrashes
// servers had ended by then. A probe of a request that is blamed itself tells nothing of a part of
// its prompt. The caller holds the lock.
func (q *Quarantine) holdUntil(part Part, crashes []*Crash) time.Time {
	hold := firstHold
	for i, crash := range crashes {
		isProbe := i > 0 && crash.Ended.Sub(crashes[i-1].Ended) >= firstHold-ageRounding && countServers(crashes[:i]) >= minCrashes
		if isProbe && (part.IsRequest() || !slices.ContainsFunc(crash.Parts, q.blamesRequest)) {
			hold = min(maxHold, holdFactor*hold)
		}
	}
	return crashes[len(crashes)-1].Ended.Add(hold)
}

// containsAll reports whether parts contains all of wanted.
func containsAll(parts, wanted []Part) bool {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
