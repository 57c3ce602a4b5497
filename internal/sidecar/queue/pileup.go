package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	samplePeriod = time.Second
	// growthSamples is the number of samples over which growth is measured.
	growthSamples = 10
	// urgentAgeLimit is the age of an urgent request that makes a pile-up.
	urgentAgeLimit = 5 * time.Second
	// growingDrainLimit is the projected drain time that makes a pile-up of a
	// queue that grows.
	growingDrainLimit = 30 * time.Second
	// settledSamples is the number of quiet samples that end a pile-up.
	settledSamples = 5
	// repeatSamples is the number of samples between two log lines.
	repeatSamples = 30
)

// watch looks at the queue once per samplePeriod while there is something to
// see.
type watch struct {
	timer   *time.Timer // nil while the queue is empty and no pile-up lasts
	lengths [growthSamples]int
	samples int
	growth  float64 // requests per second
	piledUp bool
	since   time.Time
	quiet   int
	lines   int
}

func (q *Queue) watchLocked() {
	if q.watch.timer == nil {
		q.watch.timer = time.AfterFunc(samplePeriod, q.sample)
	}
}

func (q *Queue) sample() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.measureGrowthLocked()
	q.judgePileUpLocked(now)
	if q.waitingLocked() == 0 && !q.watch.piledUp {
		q.watch = watch{}
		return
	}
	q.watch.timer.Reset(samplePeriod)
}

func (q *Queue) measureGrowthLocked() {
	w := &q.watch
	length := q.waitingLocked()
	slot := w.samples % growthSamples
	if w.samples >= growthSamples {
		window := time.Duration(growthSamples) * samplePeriod
		w.growth = float64(length-w.lengths[slot]) / window.Seconds()
	}
	w.lengths[slot] = length
	w.samples++
}

// piledUpLocked says whether the queue is one that operators must hear of.
func (q *Queue) piledUpLocked(now time.Time) bool {
	if q.lanes[laneUrgent].age(now) > urgentAgeLimit {
		return true
	}
	if q.lanes[laneDeferrable].age(now) > q.ageing {
		return true
	}
	return q.watch.growth > 0 && q.drainLocked() > growingDrainLimit
}

func (q *Queue) judgePileUpLocked(now time.Time) {
	w := &q.watch
	if !q.piledUpLocked(now) {
		q.settlePileUpLocked(now)
		return
	}
	w.quiet = 0
	if !w.piledUp {
		w.piledUp = true
		w.since = now
		w.lines = 0
		logger.Warn(q.pileUpFieldsLocked(now), "pile-up started")
		return
	}
	w.lines++
	if w.lines%repeatSamples == 0 {
		logger.Warn(q.pileUpFieldsLocked(now), "pile-up lasts")
	}
}

func (q *Queue) settlePileUpLocked(now time.Time) {
	w := &q.watch
	if !w.piledUp {
		return
	}
	w.quiet++
	if w.quiet < settledSamples {
		return
	}
	w.piledUp = false
	logger.Info(q.pileUpFieldsLocked(now), "pile-up ended")
}

func (q *Queue) pileUpFieldsLocked(now time.Time) logging.Fields {
	return logging.Fields{
		"urgent":     q.lanes[laneUrgent].waiting,
		"deferrable": q.lanes[laneDeferrable].waiting,
		"oldest":     q.oldestLocked(now).Round(time.Millisecond).String(),
		"growth":     q.watch.growth,
		"drain":      q.drainLocked().Round(time.Millisecond).String(),
		"lasted":     now.Sub(q.watch.since).Round(time.Second).String(),
	}
}
