package streamversion

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// maxOverload is the load of a version, as a multiple of its share of the capacity, up
	// to which no slots move. Each move leaves streams that cannot be taken up elsewhere.
	maxOverload = 1.25
	// minMove is the number of slots by which a version's share must differ for a move.
	minMove = 4
)

// Plan returns the assignment for the capacities of the versions that are in service, in any
// unit, or nil if the current one, nil for none, need not change. era is the store's.
func Plan(current *Assignment, capacities map[string]int, era platform.Era) *Assignment {
	return plan(current, capacities, "", era)
}

// plan is Plan with a version, unless it is empty, whose share must be exact.
func plan(current *Assignment, capacities map[string]int, exact string, era platform.Era) *Assignment {
	wanted := shares(capacities)
	if len(wanted) == 0 {
		return nil
	}
	if current == nil {
		return newAssignment(wanted, era)
	}
	next := current.next(era)
	changed := false
	if current.Era != era {
		// The store was restored from a copy of itself and may have lost later assignments.
		changed = true
		for i := range next.slots {
			next.slots[i].open = true
		}
	}
	have := current.Shares()
	if needsMove(have, wanted) || exact != "" && have[exact] != wanted[exact] {
		changed = true
		next.move(wanted)
	}
	if !changed {
		return nil
	}
	return next
}

func newAssignment(wanted map[string]int, era platform.Era) *Assignment {
	a := &Assignment{Epoch: 1, Era: era}
	i := 0
	for _, version := range slices.Sorted(maps.Keys(wanted)) {
		for range wanted[version] {
			a.slots[i] = slot{version: version, open: true}
			i++
		}
	}
	return a
}

// next returns a copy with the next epoch.
func (a *Assignment) next(era platform.Era) *Assignment {
	copied := *a
	copied.Epoch, copied.Era, copied.Revision = a.Epoch+1, era, 0
	return &copied
}

// shares divides the slots among versions in proportion to their capacities.
func shares(capacities map[string]int) map[string]int {
	total := 0
	for _, capacity := range capacities {
		total += max(0, capacity)
	}
	if total == 0 {
		return nil
	}
	wanted := make(map[string]int, len(capacities))
	left := Slots
	versions := slices.Sorted(maps.Keys(capacities))
	for _, version := range versions {
		if capacity := capacities[version]; capacity > 0 {
			wanted[version] = Slots * capacity / total
			left -= wanted[version]
		}
	}
	remainder := func(version string) int { return Slots * max(0, capacities[version]) % total }
	slices.SortStableFunc(versions, func(a, b string) int { return cmp.Compare(remainder(b), remainder(a)) })
	for _, version := range versions[:left] {
		wanted[version]++
	}
	return wanted
}

// needsMove reports whether a version is not in service, overloaded, or in service without
// any slot.
func needsMove(have, wanted map[string]int) bool {
	for version, n := range have {
		target, inService := wanted[version]
		if !inService || float64(n) > maxOverload*float64(target)+minMove {
			return true
		}
	}
	for version, n := range wanted {
		if have[version] == 0 && n > minMove {
			return true
		}
	}
	return false
}

// move moves slots so that each version has its wanted share. Slots that are not settled
// move first.
func (a *Assignment) move(wanted map[string]int) {
	have := a.Shares()
	var receivers []string
	for _, version := range slices.Sorted(maps.Keys(wanted)) {
		for range wanted[version] - have[version] {
			receivers = append(receivers, version)
		}
	}
	order := make([]int, Slots)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(settledRank(&a.slots[i]), settledRank(&a.slots[j])) })
	for _, i := range order {
		version := a.slots[i].version
		if len(receivers) == 0 || have[version] <= wanted[version] {
			continue
		}
		have[version]--
		a.slots[i] = a.slots[i].moveTo(receivers[0])
		receivers = receivers[1:]
	}
}

func settledRank(s *slot) int {
	if s.settled() {
		return 1
	}
	return 0
}

// Settle returns the assignment in which the slots whose former streams have ended name no
// former versions any more, or nil if there are none. age is the time since a slot changed,
// lifetime the longest of a stream.
func Settle(current *Assignment, age func(slot int) time.Duration, lifetime time.Duration) *Assignment {
	next := current.next(current.Era)
	changed := false
	for i := range next.slots {
		if s := &next.slots[i]; !s.settled() && age(i) >= lifetime {
			*s = slot{version: s.version}
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}
