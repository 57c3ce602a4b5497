package canary

import (
	"fmt"
	"math"
	"time"
)

const (
	// slowFactor is the multiple of the old side's median from which a response counts as slow.
	// Versions are bad from a factor of 3; a response may be half as fast again as another one.
	slowFactor = 2.2
	// minOldTimes is the number of times of the old side from which their median is used.
	minOldTimes = 20
	// maxWindow is the longest time of which the responses are compared together, and
	// windowDivisor that of the permitted time of a rollback. Disruptions of single servers last
	// about half a second, so a finding of slowness needs several windows.
	maxWindow     = 500 * time.Millisecond
	windowDivisor = 10
	minWindow     = 100 * time.Millisecond
	// lookParts is the number of looks in a window.
	lookParts = 5
	// recentWindows is the number of windows that are also looked at alone, for versions that
	// become bad later.
	recentWindows = 5
	// windowResponses is the number of the new side's responses that a window has at least.
	windowResponses = 8
	// minBadPart is the part of the windows in which a version that is slow must have been worse.
	minBadPart = 0.7
	// oldRateFactor and oldRateMargin raise the old side's share of bad responses to that which
	// a good version may have: its few servers differ from the mean of many.
	oldRateFactor = 1.5
	oldRateMargin = 0.01
)

// Levels of significance. They are low, since there are many looks at many routes.
const (
	windowLevel = 0.02 // of one window
	clearLevel  = 1e-6 // of all responses, or recent ones
	earlyLevel  = 1e-4 // once there are earlyBad bad responses
	finalLevel  = 2e-4 // of the last look before all requests move
	doubtLevel  = 1e-2 // of recent responses, at which the exposure is not raised yet
)

const (
	// minBad is the number of bad responses from which a version can be rolled back.
	minBad = 6
	// earlyPart is the part of the slack from which on so many bad responses of a worse version
	// lead to a rollback at once. With a slack of 50 these are 35; the bound of the time to the
	// last request counts from the 50th.
	earlyPart = 0.7
	// minBadFinal is minBad at the last look.
	minBadFinal = 3
	// minCrashed is the number of different new servers whose processes must have ended.
	minCrashedNew = 3
	// crashFactor is how much more often than old servers they must have ended.
	crashFactor = 4
)

// measure is a way in which a response can be bad.
type measure uint8

const (
	failed measure = iota
	slowFirst
	slowGaps
	measures
)

var measureNames = [measures]string{"failures", "slow first bytes", "slow events"}

// neededWindows is the number of windows in which the new side must have been worse.
var neededWindows = [measures]int{failed: 2, slowFirst: 5, slowGaps: 5}

// sample is a cumulative count of both sides.
type sample struct{ oldAll, oldBad, newAll, newBad float64 }

func (s sample) minus(other sample) sample {
	return sample{
		max(0, s.oldAll-other.oldAll), max(0, s.oldBad-other.oldBad),
		max(0, s.newAll-other.newAll), max(0, s.newBad-other.newBad),
	}
}

func (s sample) plus(other sample) sample {
	return sample{s.oldAll + other.oldAll, s.oldBad + other.oldBad, s.newAll + other.newAll, s.newBad + other.newBad}
}

// oldRate returns the share of bad responses that a good version may have.
func (s sample) oldRate() float64 {
	return min(1, oldRateFactor*(s.oldBad+1)/(s.oldAll+10)+oldRateMargin)
}

// series is the history of one measure on one route.
type series struct {
	samples    [recentWindows + 1]sample // of the ends of the last windows
	next       time.Time                 // end of the window, if it has enough responses
	windows    int
	badWindows int
	recentBad  [recentWindows]bool
}

// persistsRecently reports whether the new side was worse in most of the last windows. A single
// server's disruption ends within two.
func (h *series) persistsRecently() bool {
	n := 0
	for _, bad := range h.recentBad {
		if bad {
			n++
		}
	}
	return n == min(recentWindows, h.windows)
}

// persists reports whether the new side was worse in a good part of all windows.
func (h *series) persists() bool { return float64(h.badWindows) >= minBadPart*float64(h.windows) }

// seriesKey names a series; the route is empty for all routes together.
type seriesKey struct {
	all     bool
	route   string
	measure measure
}

// analysis compares the two sides of an order.
type analysis struct {
	window   time.Duration
	earlyBad float64
	series   map[seriesKey]*series
	next     time.Time // time of the next look
	doubtful bool      // the new side was worse lately, but not clearly
}

// Finding says why a version is bad. The zero value means that it is not.
type Finding struct {
	Bad    bool
	Reason string
}

func newAnalysis(bounds Bounds) analysis {
	return analysis{
		window:   min(maxWindow, max(minWindow, bounds.Rollback/windowDivisor)),
		earlyBad: max(minBad, earlyPart*bounds.Slack),
	}
}

// look compares the sides several times in each window. final is set for the last look before
// all requests move. servers are the numbers of servers of both sides that have requests.
func (a *analysis) look(e *Evidence, servers [2]int, final bool, now time.Time) Finding {
	if now.Before(a.next) && !final {
		return Finding{}
	}
	a.next, a.doubtful = now.Add(a.window/lookParts), false
	if a.series == nil {
		a.series = make(map[seriesKey]*series)
	}
	var sums [measures]sample
	var found Finding
	for route, counts := range e.Routes {
		for m := range measures {
			s, ok := sampleOf(counts, m)
			if !ok {
				continue
			}
			sums[m] = sums[m].plus(s)
			if f := a.compare(seriesKey{route: route, measure: m}, s, final, now); f.Bad {
				found = f
			}
		}
	}
	for m := range measures {
		if f := a.compare(seriesKey{all: true, measure: m}, sums[m], final, now); f.Bad {
			found = f
		}
	}
	oldCrashed, newCrashed := len(e.Crashed[Old]), len(e.Crashed[New])
	if newCrashed >= minCrashedNew && newCrashed*max(1, servers[Old]) > crashFactor*(oldCrashed+1)*max(1, servers[New]) {
		found = Finding{Bad: true, Reason: fmt.Sprintf("%d new servers ended under requests, %d old ones", newCrashed, oldCrashed)}
	}
	return found
}

// sampleOf returns the counts of a measure on a route. ok is false if the old side shows too
// little to compare with.
func sampleOf(counts *[2]Counts, m measure) (s sample, ok bool) {
	o, n := &counts[Old], &counts[New]
	if m == failed {
		return sample{float64(o.Responses), float64(o.Failures), float64(n.Responses), float64(n.Failures)}, true
	}
	oldTimes, newTimes := &o.First, &n.First
	if m == slowGaps {
		oldTimes, newTimes = &o.Gaps, &n.Gaps
	}
	limit, ok := slowLimit(oldTimes)
	if !ok {
		return sample{}, false
	}
	return sample{oldTimes.total(), oldTimes.above(limit), newTimes.total(), newTimes.above(limit)}, true
}

// slowLimit returns the position on the scale of the buckets from which a time is slow. ok is
// false if there are too few times of the old side.
func slowLimit(old *Histogram) (position float64, ok bool) {
	if old.total() < minOldTimes {
		return 0, false
	}
	return old.median() + bucketsPerOctave*math.Log2(slowFactor), true
}

// compare adds a sample to its series and tests it.
func (a *analysis) compare(key seriesKey, s sample, final bool, now time.Time) Finding {
	h := a.series[key]
	if h == nil {
		if len(a.series) > 4*int(measures)*maxRoutes {
			return Finding{}
		}
		h = &series{}
		a.series[key] = h
	}
	if delta := s.minus(h.samples[recentWindows]); !now.Before(h.next) && delta.newAll >= windowResponses {
		h.next = now.Add(a.window)
		isBad := delta.newBad >= 2 && tail(delta.newAll, delta.newBad, max(s.oldRate(), delta.oldRate())) < windowLevel
		copy(h.recentBad[:], h.recentBad[1:])
		h.recentBad[recentWindows-1] = isBad
		if isBad {
			h.badWindows++
		}
		h.windows++
		copy(h.samples[:], h.samples[1:])
		h.samples[recentWindows] = s
	}
	recent := s.minus(h.samples[0])
	needed, slow := neededWindows[key.measure], key.measure != failed
	a.doubtful = a.doubtful || isWorse(recent, max(s.oldRate(), recent.oldRate()), minBadFinal, doubtLevel)
	reason := ""
	switch {
	case isWorse(s, s.oldRate(), minBad, clearLevel) && h.badWindows >= needed && (!slow || h.persists()):
		reason = "clear"
	case isWorse(recent, max(s.oldRate(), recent.oldRate()), minBad, clearLevel) && h.badWindows >= needed && (!slow || h.persistsRecently()):
		reason = "recent"
	case isWorse(s, s.oldRate(), a.earlyBad, earlyLevel) && s.newBad*s.oldAll > 2*s.oldBad*s.newAll && h.badWindows >= needed-1 && (!slow || h.persistsRecently()):
		reason = "early"
	case final && isWorse(s, s.oldRate(), minBadFinal, finalLevel) && h.badWindows >= needed-1 && (!slow || h.persists()):
		reason = "final"
	default:
		return Finding{}
	}
	where := "all routes"
	if !key.all {
		where = "route " + key.route
	}
	return Finding{Bad: true, Reason: fmt.Sprintf("%s on %s (%s): %.0f of %.0f responses of the new version, %.0f of %.0f of the old ones",
		measureNames[key.measure], where, reason, s.newBad, s.newAll, s.oldBad, s.oldAll)}
}

// isWorse reports whether the new side has more bad responses than a rate explains.
func isWorse(s sample, rate, least, level float64) bool {
	return s.newBad >= least && tail(s.newAll, s.newBad, rate) < level
}

// tail returns the probability of at least k of n events of probability p each.
func tail(n, k, p float64) float64 {
	switch {
	case k <= 0 || p >= 1:
		return 1
	case k > n:
		k = n
	}
	if k <= n*p {
		return 1 // above one half; not significant in any case
	}
	lg := func(x float64) float64 { v, _ := math.Lgamma(x + 1); return v }
	term := math.Exp(lg(n) - lg(k) - lg(n-k) + k*math.Log(p) + (n-k)*math.Log1p(-p))
	sum := 0.0
	for i := k; i <= n && term > 1e-15*sum; i++ {
		sum += term
		term *= (n - i) / (i + 1) * p / (1 - p)
	}
	return sum
}
