package queue

import "time"

// averageWeight is the weight of a new sample.
const averageWeight = 0.1

// average is an exponentially weighted moving average of durations.
type average struct {
	seconds float64
	samples int
}

func (a *average) add(d time.Duration) {
	a.samples++
	weight := max(averageWeight, 1/float64(a.samples))
	a.seconds += weight * (d.Seconds() - a.seconds)
}

// times returns count times the average.
func (a *average) times(count float64) time.Duration {
	return time.Duration(count * a.seconds * float64(time.Second))
}
