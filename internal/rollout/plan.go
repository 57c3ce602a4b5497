// Package rollout brings the engines to the weights that operators want. Of all
// gateways, the one that holds a lease gives orders.
//
// The load pattern it answers: new weights are named while requests run, often
// before the former ones are everywhere. An engine refuses requests while it
// loads, and what a run makes after its weights changed is worth nothing. So few
// engines load at a time, each is emptied first, and versions that were replaced
// already are skipped.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// enginesPerLoad is the number of engines for each one that may load at a time:
	// loads take longer when more run at once.
	enginesPerLoad = 6
	// aheadLoads is the number of engines that are emptied before their turn to load,
	// so that the next load begins when one ends.
	aheadLoads = 1
	// minServing is the part of the engines that must stay able to serve.
	minServing = 2 // one in two
)

// phase is where an engine stands.
type phase uint8

const (
	phaseIdle     phase = iota
	phaseEmptying       // gets no new requests; running ones may end
	phaseLoading        // was ordered to load
)

// engine is what a plan needs of an engine.
type engine struct {
	id       string
	phase    phase
	behind   bool // its weights are older than the wanted ones
	weights  uint64
	running  int
	retryAt  time.Time // not before
	draining bool
}

// maxLoads returns how many of n engines may load at once.
func maxLoads(n int) int {
	byRate := (n + enginesPerLoad - 1) / enginesPerLoad
	return max(1, min(byRate, n/minServing))
}

// pick returns the engines to begin with now: those with the oldest weights, which
// may not be used for much longer, and of these the least busy.
func pick(engines []engine, now time.Time) []string {
	busy := 0
	var waiting []*engine
	for i := range engines {
		e := &engines[i]
		switch {
		case e.draining:
		case e.phase != phaseIdle:
			busy++
		case e.behind && !now.Before(e.retryAt):
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.weights, b.weights), cmp.Compare(a.running, b.running), cmp.Compare(a.id, b.id))
	})
	free := max(0, min(len(waiting), maxLoads(usable(engines))+aheadLoads-busy))
	ids := make([]string, 0, free)
	for _, e := range waiting[:free] {
		ids = append(ids, e.id)
	}
	return ids
}

// usable counts the engines that do not leave.
func usable(engines []engine) int {
	n := 0
	for i := range engines {
		if !engines[i].draining {
			n++
		}
	}
	return n
}
