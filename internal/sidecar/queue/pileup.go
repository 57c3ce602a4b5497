package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	samplePeriod = time.Second
	// growthSamples is the number of samples over which growth is measured.
	growthSamples = 10
	// urgentAgeLimit is the age of an urgent request beyond which the queue counts
	// as piled up.
	urgentAgeLimit = 5 * time.Second
	// growingDrainLimit is the projected drain time beyond which a growing queue
	// counts as piled up.
	growingDrainLimit = 30 * time.Second
	// samplesToEnd is the number of consecutive samples below all limits that end a
	// pile-up.
	samplesToEnd = 5
	// samplesPerLog is the number of samples between two log lines while a pile-up
	// lasts.
	samplesPerLog = 30
)

// monitor samples the queue once per samplePeriod while requests wait or a pile-up
// lasts, and logs pile-ups.
type monitor struct {
	timer             *time.Timer        // nil while the queue is empty and no pile-up lasts
	lengths           [growthSamples]int // queue lengths of the last samples, a ring buffer
	samples           int
	growth            float64 // requests per second
	piledUp           bool
	startedAt         time.Time // start of the pile-up
	clearSamples      int       // consecutive samples below all limits
	samplesSinceStart int       // since the start of the pile-up
}

func (q *Queue) startMonitorLocked() {
	if q.monitor.timer == nil {
		q.monitor.timer = time.AfterFunc(samplePeriod, q.sample)
	}
}

func (q *Queue) sample() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.measureGrowthLocked()
	q.updatePileUpLocked(now)
	if q.waitingLocked() == 0 && !q.monitor.piledUp {
		q.monitor = monitor{}
		return
	}
	q.monitor.timer.Reset(samplePeriod)
}

func (q *Queue) measureGrowthLocked() {
	m := &q.monitor
	length := q.waitingLocked()
	index := m.samples % growthSamples
	if m.samples >= growthSamples {
		window := time.Duration(growthSamples) * samplePeriod
		m.growth = float64(length-m.lengths[index]) / window.Seconds()
	}
	m.lengths[index] = length
	m.samples++
}

// piledUpLocked reports whether the queue is beyond a limit that operators must
// be alerted to.
func (q *Queue) piledUpLocked(now time.Time) bool {
	if q.lanes[laneUrgent].age(now) > urgentAgeLimit {
		return true
	}
	if q.lanes[laneDeferrable].age(now) > q.ageingBound {
		return true
	}
	return q.monitor.growth > 0 && q.drainTimeLocked() > growingDrainLimit
}

func (q *Queue) updatePileUpLocked(now time.Time) {
	m := &q.monitor
	if !q.piledUpLocked(now) {
		q.checkPileUpEndLocked(now)
		return
	}
	m.clearSamples = 0
	if !m.piledUp {
		m.piledUp = true
		m.startedAt = now
		m.samplesSinceStart = 0
		logger.Warn(q.pileUpFieldsLocked(now), "pile-up started")
		return
	}
	m.samplesSinceStart++
	if m.samplesSinceStart%samplesPerLog == 0 {
		logger.Warn(q.pileUpFieldsLocked(now), "pile-up lasts")
	}
}

func (q *Queue) checkPileUpEndLocked(now time.Time) {
	m := &q.monitor
	if !m.piledUp {
		return
	}
	m.clearSamples++
	if m.clearSamples < samplesToEnd {
		return
	}
	m.piledUp = false
	logger.Info(q.pileUpFieldsLocked(now), "pile-up ended")
}

func (q *Queue) pileUpFieldsLocked(now time.Time) logging.Fields {
	return logging.Fields{
		"urgent":     q.lanes[laneUrgent].waiting,
		"deferrable": q.lanes[laneDeferrable].waiting,
		"oldest":     q.maxAgeLocked(now).Round(time.Millisecond).String(),
		"growth":     q.monitor.growth,
		"drain":      q.drainTimeLocked().Round(time.Millisecond).String(),
		"lasted":     now.Sub(q.monitor.startedAt).Round(time.Second).String(),
	}
}
