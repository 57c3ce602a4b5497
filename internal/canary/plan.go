package canary

import (
	"slices"
	"time"
)

const (
	// observeFraction is the part of an order's duration until which a version is observed.
	observeFraction = 0.6
	// doubtFraction is the part of the duration until which a version that was worse lately is
	// observed further.
	doubtFraction = 0.66
	// listedFraction is the part of the duration until which gateways that the store lists are
	// waited for although nothing is heard of them.
	listedFraction = 0.9
	// minCapacity is the capacity of the new servers, as a part of that of the old ones, with
	// which all requests can move. Half of the servers may be down.
	minCapacity = 0.4
	// baselineTime is how long the versions in service must have been the same before they
	// count as established without an order: at a start, servers are listed one by one.
	baselineTime = 5 * time.Second
	// elapsedInterval is the longest time between two writes of a running order's state, so
	// that its elapsed time is known after the loss of all gateways.
	elapsedInterval = time.Second
)

// exposureSteps are the steps of the exposure, as parts of the largest one, from parts of an
// order's duration on.
var exposureSteps = []struct{ after, part float64 }{{0, 0.25}, {0.05, 0.5}, {0.1, 1}}

// Input is what the owner knows of a service.
type Input struct {
	View
	Share   float64       // permitted share of a new version
	Elapsed time.Duration // since the order arrived, by any gateway
	Stable  time.Duration // since the versions in service changed
	Finding Finding       // of any gateway
	Doubt   bool          // the new version was worse lately, but not clearly
	// Idle reports whether every gateway follows a phase, or a later one, and has no request
	// at an old server. withSilent includes listed gateways of which nothing is heard.
	Idle func(phase Phase, withSilent bool) bool
}

// Next returns the state that is to replace the current one, or nil.
func Next(in *Input) *State {
	s := in.State
	if in.Order != nil && (s == nil || s.Order != *in.Order) {
		return start(in)
	}
	if s == nil {
		versions := versionsOf(in.Servers)
		if len(versions) == 0 || len(versions) > maxVersions || in.Stable < baselineTime {
			return nil
		}
		return &State{Epoch: 1, Old: versions}
	}
	if !s.Phase.running() {
		return nil
	}
	next := *s
	next.Epoch++
	next.Elapsed = max(s.Elapsed, in.Elapsed)
	if in.Finding.Bad {
		return next.rollBack(in.Finding.Reason)
	}
	return next.advance(in, s)
}

// start returns the state in which the order of the input begins.
func start(in *Input) *State {
	next := &State{Serial: 1, Epoch: 1, Order: *in.Order, Phase: Observe, Elapsed: in.Elapsed}
	established := versionsOf(in.Servers)
	if s := in.State; s != nil {
		next.Serial, next.Epoch, next.Barred = s.Serial+1, s.Epoch+1, slices.Clone(s.Barred)
		established = s.Established()
		if s.Phase.running() && !slices.Contains(established, s.Order.To) {
			next.bar(s.Order.To) // its order is replaced
		}
	}
	isNew := func(version string) bool { return version == in.Order.To }
	next.Old = slices.DeleteFunc(slices.Clone(established), isNew)
	next.Barred = slices.DeleteFunc(next.Barred, isNew)
	if len(next.Old) == 0 && len(established) > 0 {
		next.Phase = Completed // it serves alone already
		return next
	}
	next.Exposure = exposureAt(in.Share, next.Elapsed, next.Order.Duration)
	return next
}

func (s *State) bar(version string) {
	s.Barred = append(slices.DeleteFunc(slices.Clone(s.Barred), func(v string) bool { return v == version }), version)
	s.Barred = s.Barred[max(0, len(s.Barred)-maxVersions):]
}

func (s *State) rollBack(reason string) *State {
	s.Phase, s.Reason, s.Exposure = RolledBack, reason, 0
	s.bar(s.Order.To)
	return s
}

// exposureAt returns the share of the new version at a time of Observe.
func exposureAt(share float64, elapsed, duration time.Duration) float64 {
	part := 0.0
	for _, step := range exposureSteps {
		if float64(elapsed) >= step.after*float64(duration) {
			part = step.part
		}
	}
	return creditShare * share * part
}

// advance returns the next phase, or nil if nothing changes. s is the copy to change.
func (s *State) advance(in *Input, current *State) *State {
	duration := float64(s.Order.Duration)
	elapsed := float64(s.Elapsed)
	withSilent := elapsed < listedFraction*duration
	switch s.Phase {
	case Observe:
		if elapsed >= duration {
			return s.rollBack("too few servers of the new version until the deadline")
		}
		if elapsed >= observeFraction*duration && in.hasCapacity() && (!in.Doubt || elapsed >= doubtFraction*duration) {
			s.Phase = Move
			return s
		}
		if !in.Doubt {
			s.Exposure = max(s.Exposure, exposureAt(in.Share, s.Elapsed, s.Order.Duration))
		}
		if s.Exposure == current.Exposure && s.Elapsed < current.Elapsed+elapsedInterval {
			return nil
		}
		return s
	case Move:
		if s.Elapsed-current.Elapsed >= time.Duration(moveFraction*duration) {
			s.Phase = Settle
			return s
		}
	case Settle:
		if in.Idle(Settle, withSilent) {
			s.Phase = Seal
			return s
		}
	case Seal:
		if in.Idle(Seal, withSilent) {
			s.Phase = Completed
			return s
		}
	}
	return nil
}

// hasCapacity reports whether the new servers can take all requests.
func (in *Input) hasCapacity() bool {
	oldSlots, newSlots := 0, 0
	for _, server := range in.Servers {
		switch {
		case server.Software == in.State.Order.To:
			newSlots += max(1, server.Slots)
		case slices.Contains(in.State.Old, server.Software):
			oldSlots += max(1, server.Slots)
		}
	}
	return newSlots > 0 && float64(newSlots) >= minCapacity*float64(oldSlots)
}
