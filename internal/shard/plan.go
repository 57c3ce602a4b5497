package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/membership"
)

const (
	// maxOwners is the largest number of routers that own shards.
	maxOwners = Count
	// levelParts is the number of released shards over which the levels are split.
	levelParts = 4
)

// plan is a change to the table.
type plan struct {
	revoke         []int
	release        []int
	claim          []int
	levels         map[string]int64 // to hand over with the released shards
	waiting        []string         // in the next table
	waitingChanged bool             // this router joins or leaves the waiting routers
}

func (p *plan) empty() bool {
	return len(p.revoke)+len(p.release)+len(p.claim) == 0 && !p.waitingChanged
}

// apply returns the table with the plan's changes and the next epoch.
func (p *plan) apply(t *Table, self string) *Table {
	next := *t
	next.Epoch++
	next.Waiting = p.waiting
	for _, i := range p.revoke {
		next.Owners[i] = Owner{SinceEpoch: next.Epoch, Revoked: true}
	}
	parts := min(len(p.release), levelParts)
	for n, i := range p.release {
		next.Owners[i] = Owner{SinceEpoch: next.Epoch}
		if n < parts {
			next.Owners[i].Levels = nthPart(p.levels, int64(n), int64(parts))
		}
	}
	for _, i := range p.claim {
		next.Owners[i] = Owner{Address: self, SinceEpoch: next.Epoch, Levels: next.Owners[i].Levels}
	}
	return &next
}

// nthPart returns the n-th, from 0, of equal parts of the levels. Remainders are spread
// so that the parts add up to the levels.
func nthPart(levels map[string]int64, n, parts int64) map[string]int64 {
	split := make(map[string]int64, len(levels))
	for workspace, tokens := range levels {
		if part := tokens*(n+1)/parts - tokens*n/parts; part > 0 {
			split[workspace] = part
		}
	}
	return split
}

func (p *plan) log(log logging.Logger, epoch uint64) {
	if p.empty() {
		return
	}
	log.Info(logging.Fields{
		"epoch": epoch, "revoked": len(p.revoke), "released": len(p.release), "claimed": len(p.claim),
	}, "shard table changed")
}

// plan returns the changes to the known table that the view requires of this router.
func (m *Manager) plan(view *membership.View, viewRead time.Time, eligible []string) plan {
	m.observe(view, viewRead)
	var p plan
	if !view.HasRouter(m.self) || m.leaving {
		return p
	}
	p.revoke = m.revocable(viewRead)
	p.waiting = m.otherWaiters()
	owned := m.knownTable().OwnedBy(m.self)
	active := m.active(eligible)
	if len(active) == 0 {
		return p // no other router would use the shards
	}
	target := targetCount(active, m.self)
	if len(owned) > target {
		p.release = excess(owned, target)
		p.levels = m.releaseShards(p.release)
		return p
	}
	free := m.claimable()
	p.claim = pickFree(free, owned, min(len(free), target-len(owned)))
	if len(owned)+len(p.claim) < target {
		m.joinWaiting(&p)
	}
	return p
}

// joinWaiting adds this router to the waiting routers. After waitTimeout it leaves
// them for one Reconcile, so that the others restart the time-out.
func (m *Manager) joinWaiting(p *plan) {
	since, waits := m.waiting[m.self]
	expired := waits && time.Since(since) >= waitTimeout
	p.waitingChanged = !waits || expired
	if !expired {
		p.waiting = append(p.waiting, m.self)
	}
}

// active returns the eligible routers that own shards or wait for some, and this
// router. A listed router whose process does not run gets no shards.
func (m *Manager) active(eligible []string) []string {
	waiters := m.otherWaiters()
	return slices.DeleteFunc(slices.Clone(eligible), func(address string) bool {
		return address != m.self && !slices.Contains(waiters, address) && len(m.knownTable().OwnedBy(address)) == 0
	})
}

// otherWaiters returns the other routers that have waited for less than waitTimeout.
func (m *Manager) otherWaiters() []string {
	var waiters []string
	for _, address := range m.knownTable().Waiting {
		if address != m.self && time.Since(m.waiting[address]) < waitTimeout {
			waiters = append(waiters, address)
		}
	}
	return waiters
}

// releaseShards stops using the shards and returns the tokens of all shards released
// for the pending write.
func (m *Manager) releaseShards(list []int) map[string]int64 {
	m.released = append(m.released, list...)
	if m.levels == nil {
		m.levels = make(map[string]int64)
	}
	for workspace, tokens := range m.limiter.Release(m.known.Epoch, list) {
		m.levels[workspace] += tokens
	}
	return m.levels
}

// excess returns the shards to release to get to target. It takes the highest shards
// of the classes with the most shards: a router's lowest shard of a class identifies
// its draws.
func excess(owned []int, target int) []int {
	remaining := slices.Clone(owned)
	var released []int
	for len(remaining) > target {
		counts := classCounts(remaining)
		last := slices.MaxFunc(remaining, func(a, b int) int {
			return cmp.Or(cmp.Compare(counts[a%Classes], counts[b%Classes]), cmp.Compare(a, b))
		})
		remaining = slices.DeleteFunc(remaining, func(i int) bool { return i == last })
		released = append(released, last)
	}
	return released
}

// pickFree returns n free shards, from the classes of which the router owns fewest.
func pickFree(free, owned []int, n int) []int {
	free = slices.Clone(free)
	counts := classCounts(owned)
	var picked []int
	for range n {
		next := slices.MinFunc(free, func(a, b int) int {
			return cmp.Or(cmp.Compare(counts[a%Classes], counts[b%Classes]), cmp.Compare(a, b))
		})
		free = slices.DeleteFunc(free, func(i int) bool { return i == next })
		counts[next%Classes]++
		picked = append(picked, next)
	}
	return picked
}

// classCounts returns the number of shards of each class.
func classCounts(list []int) [Classes]int {
	var counts [Classes]int
	for _, i := range list {
		counts[i%Classes]++
	}
	return counts
}

// observe records since when owners are unlisted, shards are revoked, and other routers
// wait.
func (m *Manager) observe(view *membership.View, viewRead time.Time) {
	now := time.Now()
	present := make(map[string]struct{})
	for i := range m.knownTable().Owners {
		o := &m.knownTable().Owners[i]
		present[o.Address] = struct{}{}
		if !o.Revoked {
			delete(m.quarantined, i)
		} else if m.quarantined[i].epoch != o.SinceEpoch {
			m.quarantined[i] = quarantine{epoch: o.SinceEpoch, since: now}
		}
		if _, ok := m.unlistedSince[o.Address]; !ok && o.Address != "" && !view.HasRouter(o.Address) {
			m.unlistedSince[o.Address] = viewRead
		}
	}
	m.observeWaiting(now)
	for address := range m.unlistedSince {
		if _, ok := present[address]; !ok || view.HasRouter(address) {
			delete(m.unlistedSince, address)
		}
	}
}

// observeWaiting records since when routers wait.
func (m *Manager) observeWaiting(now time.Time) {
	for address := range m.waiting {
		if !slices.Contains(m.knownTable().Waiting, address) {
			delete(m.waiting, address)
		}
	}
	for _, address := range m.knownTable().Waiting {
		if _, ok := m.waiting[address]; !ok {
			m.waiting[address] = now
		}
	}
}

// revocable returns the shards of owners that have been unlisted for at least
// revokeAfter.
func (m *Manager) revocable(viewRead time.Time) []int {
	var list []int
	for i := range m.knownTable().Owners {
		since, ok := m.unlistedSince[m.knownTable().Owners[i].Address]
		if ok && viewRead.Sub(since) >= m.revokeAfter {
			list = append(list, i)
		}
	}
	return list
}

// claimable returns the free shards, except revoked ones still in quarantine.
func (m *Manager) claimable() []int {
	var list []int
	now := time.Now()
	for i := range m.knownTable().Owners {
		o := &m.knownTable().Owners[i]
		available := !o.Revoked || now.Sub(m.quarantined[i].since) >= quarantineTime
		if o.Address == "" && available {
			list = append(list, i)
		}
	}
	return list
}

// eligibleOwners returns the addresses of the routers that may own shards, ordered by
// their hash, so that few shards move when a router joins or leaves.
func eligibleOwners(view *membership.View) []string {
	var live []string
	for i := range view.Routers {
		if !view.Routers[i].Leaving {
			live = append(live, view.Routers[i].Address)
		}
	}
	slices.SortFunc(live, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return live[:min(len(live), maxOwners)]
}

// rank returns the index of address, or -1.
func rank(eligible []string, address string) int { return slices.Index(eligible, address) }

// targetCount returns the number of shards that the router at address should own.
func targetCount(addresses []string, address string) int {
	i := rank(addresses, address)
	if i < 0 {
		return 0
	}
	target := Count / len(addresses)
	if i < Count%len(addresses) {
		target++
	}
	return target
}
