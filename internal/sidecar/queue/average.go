package queue

import "time"

// minSampleWeight is the weight of a new sample once there are enough samples; the
// first ones get equal weights.
const minSampleWeight = 0.1

// average is an exponentially weighted moving average of durations.
type average struct {
	seconds float64
	samples int
}

func (a *average) add(d time.Duration) {
	a.samples++
	weight := max(minSampleWeight, 1/float64(a.samples))
	a.seconds += weight * (d.Seconds() - a.seconds)
}

// total returns the expected duration of count samples.
func (a *average) total(count float64) time.Duration {
	return time.Duration(count * a.seconds * float64(time.Second))
}
