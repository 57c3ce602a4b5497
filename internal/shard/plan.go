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
	// maxOwners is the number of routers that own shards.
	maxOwners = Count
	// levelCarriers is the number of freed shards that the levels are split over.
	levelCarriers = 4
)

// plan is a change of the table.
type plan struct {
	revoke  []int
	release []int
	claim   []int
	levels  map[string]int64 // go with the released shards
	waiting []string         // of the next table
	waits   bool             // this router begins to wait
}

func (p *plan) empty() bool {
	return len(p.revoke)+len(p.release)+len(p.claim) == 0 && !p.waits
}

// apply returns the next table.
func (p *plan) apply(t *Table, self string) *Table {
	next := *t
	next.Epoch++
	next.Waiting = p.waiting
	for _, i := range p.revoke {
		next.Owners[i] = Owner{SinceEpoch: next.Epoch, Revoked: true}
	}
	carriers := min(len(p.release), levelCarriers)
	for n, i := range p.release {
		next.Owners[i] = Owner{SinceEpoch: next.Epoch}
		if n < carriers {
			next.Owners[i].Levels = fraction(p.levels, int64(n), int64(carriers))
		}
	}
	for _, i := range p.claim {
		next.Owners[i] = Owner{Address: self, SinceEpoch: next.Epoch, Levels: next.Owners[i].Levels}
	}
	return &next
}

// fraction returns the n-th of equal parts of the levels.
func fraction(levels map[string]int64, n, parts int64) map[string]int64 {
	split := make(map[string]int64, len(levels))
	for workspace, tokens := range levels {
		if part := tokens*(n+1)/parts - tokens*n/parts; part > 0 {
			split[workspace] = part
		}
	}
	return split
}

func (p *plan) log(log logging.Prefixed, epoch uint64) {
	if p.empty() {
		return
	}
	log.Info(logging.Fields{
		"epoch": epoch, "revoked": len(p.revoke), "released": len(p.release), "claimed": len(p.claim),
	}, "shard table changed")
}

// plan compares the known table with the view.
func (m *Manager) plan(view *membership.View, viewRead time.Time, chosen []string) plan {
	m.observe(view, viewRead)
	var p plan
	if !view.HasRouter(m.self) || m.leaving {
		return p
	}
	p.revoke = m.revocable(viewRead)
	p.waiting = m.otherWaiters()
	held := m.base().Held(m.self)
	active := m.active(chosen)
	if len(active) == 0 {
		return p // nobody else would use the shards
	}
	target := targetOf(active, m.self)
	if len(held) > target {
		p.release = excess(held, target)
		p.levels = m.withdraw(p.release)
		return p
	}
	free := m.claimable()
	p.claim = pick(free, held, min(len(free), target-len(held)))
	if len(held)+len(p.claim) < target {
		m.wait(&p)
	}
	return p
}

// wait enters this router among those that wait. After the limit it withdraws
// for one step, so that the others count anew.
func (m *Manager) wait(p *plan) {
	since, waits := m.waiting[m.self]
	expired := waits && time.Since(since) >= waitLimit
	p.waits = !waits || expired
	if !expired {
		p.waiting = append(p.waiting, m.self)
	}
}

// active returns the chosen routers that own shards or wait for some. A listed
// router whose process does not run gets no part.
func (m *Manager) active(chosen []string) []string {
	waiters := m.otherWaiters()
	return slices.DeleteFunc(slices.Clone(chosen), func(address string) bool {
		return address != m.self && !slices.Contains(waiters, address) && len(m.base().Held(address)) == 0
	})
}

// otherWaiters returns the other routers that have not waited for too long.
func (m *Manager) otherWaiters() []string {
	var waiters []string
	for _, address := range m.base().Waiting {
		if address != m.self && time.Since(m.waiting[address]) < waitLimit {
			waiters = append(waiters, address)
		}
	}
	return waiters
}

// withdraw takes shards out of use and returns the tokens that go with them.
func (m *Manager) withdraw(list []int) map[string]int64 {
	m.released = append(m.released, list...)
	if m.levels == nil {
		m.levels = make(map[string]int64)
	}
	for workspace, tokens := range m.ledger.Release(m.known.Epoch, list) {
		m.levels[workspace] += tokens
	}
	return m.levels
}

// excess returns the shards above target, from the classes with the most
// shards, and of these the highest: the lowest one stands for a router's draws.
func excess(held []int, target int) []int {
	kept := slices.Clone(held)
	var released []int
	for len(kept) > target {
		counts := classCounts(kept)
		last := slices.MaxFunc(kept, func(a, b int) int {
			return cmp.Or(cmp.Compare(counts[a%Classes], counts[b%Classes]), cmp.Compare(a, b))
		})
		kept = slices.DeleteFunc(kept, func(i int) bool { return i == last })
		released = append(released, last)
	}
	return released
}

// pick returns n free shards, from the classes of which the router has least.
func pick(free, held []int, n int) []int {
	free = slices.Clone(free)
	counts := classCounts(held)
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

// classCounts returns how many of the shards are of each class.
func classCounts(list []int) [Classes]int {
	var counts [Classes]int
	for _, i := range list {
		counts[i%Classes]++
	}
	return counts
}

// observe notes since when owners are not listed and shards are revoked.
func (m *Manager) observe(view *membership.View, viewRead time.Time) {
	now := time.Now()
	present := make(map[string]struct{})
	for i := range m.base().Owners {
		o := &m.base().Owners[i]
		present[o.Address] = struct{}{}
		if !o.Revoked {
			delete(m.resting, i)
		} else if m.resting[i].epoch != o.SinceEpoch {
			m.resting[i] = rest{epoch: o.SinceEpoch, since: now}
		}
		if _, ok := m.missing[o.Address]; !ok && o.Address != "" && !view.HasRouter(o.Address) {
			m.missing[o.Address] = viewRead
		}
	}
	m.observeWaiting(now)
	for address := range m.missing {
		if _, ok := present[address]; !ok || view.HasRouter(address) {
			delete(m.missing, address)
		}
	}
}

// observeWaiting notes since when other routers wait.
func (m *Manager) observeWaiting(now time.Time) {
	for address := range m.waiting {
		if !slices.Contains(m.base().Waiting, address) {
			delete(m.waiting, address)
		}
	}
	for _, address := range m.base().Waiting {
		if _, ok := m.waiting[address]; !ok {
			m.waiting[address] = now
		}
	}
}

// revocable returns the shards of owners that were unlisted for long enough.
func (m *Manager) revocable(viewRead time.Time) []int {
	var list []int
	for i := range m.base().Owners {
		since, ok := m.missing[m.base().Owners[i].Address]
		if ok && viewRead.Sub(since) >= m.grace {
			list = append(list, i)
		}
	}
	return list
}

// claimable returns the free shards, those that rested included.
func (m *Manager) claimable() []int {
	var list []int
	now := time.Now()
	for i := range m.base().Owners {
		o := &m.base().Owners[i]
		rested := !o.Revoked || now.Sub(m.resting[i].since) >= restTime
		if o.Address == "" && rested {
			list = append(list, i)
		}
	}
	return list
}

// owners returns the routers that own shards, by a hash of their addresses, so
// that few shards move when a router comes or goes.
func owners(view *membership.View) []string {
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

func position(chosen []string, address string) int { return slices.Index(chosen, address) }

// targetOf returns how many shards the router at address is to own.
func targetOf(chosen []string, address string) int {
	i := position(chosen, address)
	if i < 0 {
		return 0
	}
	target := Count / len(chosen)
	if i < Count%len(chosen) {
		target++
	}
	return target
}
