// Package rollout makes the engines load the target versions of the weights. Of all
// gateways, only the one that holds a lease sends orders to load.
//
// Targets change while requests run, often before the previous version is loaded
// everywhere. An engine refuses requests while it loads, and the output of a request
// is worthless if the weights changed during it. Therefore few engines load at a time,
// each is quiesced first, and versions that have been replaced are skipped.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// enginesPerLoad is the number of engines per concurrent load. More concurrent loads
	// slow each other down.
	enginesPerLoad = 6
	// quiescedAhead is the number of engines that are quiesced before they may load, so
	// that the next load starts as soon as one ends.
	quiescedAhead = 1
	// loadingDivisor bounds concurrent loads to a fraction of the engines, so that the rest
	// can serve.
	loadingDivisor = 2 // one in two
)

// phase is the progress of an engine's load.
type phase uint8

const (
	phaseIdle      phase = iota
	phaseQuiescing       // gets no new requests, and finishes running ones
	phaseLoading         // is being ordered to load, or loads
)

// engine is the state of an engine on which planning depends.
type engine struct {
	id       string
	phase    phase
	outdated bool // its weights are older than the target version
	weights  uint64
	running  int
	retryAt  time.Time // earliest time of the next load
	draining bool
}

// maxLoads returns how many of n engines may load concurrently.
func maxLoads(n int) int {
	byRate := (n + enginesPerLoad - 1) / enginesPerLoad
	return max(1, min(byRate, n/loadingDivisor))
}

// pickNext returns the engines whose loads start now: those with the oldest weights
// first, as these expire first, and among them the least busy.
func pickNext(engines []engine, now time.Time) []string {
	busy := 0
	var waiting []*engine
	for i := range engines {
		e := &engines[i]
		switch {
		case e.draining:
		case e.phase != phaseIdle:
			busy++
		case e.outdated && !now.Before(e.retryAt):
			waiting = append(waiting, e)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.weights, b.weights), cmp.Compare(a.running, b.running), cmp.Compare(a.id, b.id))
	})
	free := max(0, min(len(waiting), maxLoads(usable(engines))+quiescedAhead-busy))
	ids := make([]string, 0, free)
	for _, e := range waiting[:free] {
		ids = append(ids, e.id)
	}
	return ids
}

// usable returns the number of engines that are not draining.
func usable(engines []engine) int {
	n := 0
	for i := range engines {
		if !engines[i].draining {
			n++
		}
	}
	return n
}
