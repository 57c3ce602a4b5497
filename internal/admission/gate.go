package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// shortFrom is the occupancy of a service's servers from which less urgent requests are
	// refused, and shortSpan the further occupancy over which the refused share grows to its
	// maximum. Beyond it an engine's steps are slow, its memory holds fewer cached parts of
	// prompts, these are prefilled again, and the engines fall behind all the more.
	shortFrom = 0.4
	shortSpan = 0.25
	// minAdmitted is the share of the less urgent requests that is always admitted, so that
	// no kind of request is shut out.
	minAdmitted = 0.1
	// offerHalfLife is the time after which an offered request counts half.
	offerHalfLife = time.Second
	// fairInterval is the time between two divisions of the admitted requests.
	fairInterval = 100 * time.Millisecond
	// forgottenBelow is the decayed number of offers below which a workspace is forgotten: one
	// offer ten seconds ago.
	forgottenBelow = 0.001
	// maxCredit bounds the requests that a workspace may have admitted at once after a pause.
	maxCredit = 2.0
	// correctionHalfLife is the time after which an offer counts half in the correction of
	// counts, and correctionGain the part of the relative deviation by which a division changes
	// the correction. The deviation disappears within some twenty seconds.
	correctionHalfLife = 2 * time.Second
	correctionGain     = 0.02
	// maxCorrection bounds the correction of a count. A request adds 1 to the count.
	maxCorrection = 0.95
)

// Room is the room of a service's servers at a moment, as reports of all gateways show it.
type Room struct {
	Servers int // that take requests
	// Occupancy is the median over these servers of running requests per slot. The median
	// leaves out servers that are lost but still listed, whose requests never end.
	Occupancy float64
}

// admittedShare returns the share of the less urgent requests that there is room for.
func (r Room) admittedShare() float64 {
	if r.Servers == 0 {
		return 1 // nothing is known; placement refuses what no server can take
	}
	short := (r.Occupancy - shortFrom) / shortSpan
	return max(minAdmitted, 1-min(1, max(0, short)))
}

// Gate divides the room of one service's servers among its less urgent requests. It is safe
// for concurrent use.
//
// It answers the load in which a burst of long, less urgent prompts meets fewer servers than
// usual: admitted all, they fill the servers, urgent requests wait behind them, and the
// servers stay full long after the burst. Each workspace gets its fair share of what is
// admitted, so that one that sends several times its usual loses most.
type Gate struct {
	mu         sync.Mutex
	workspaces map[string]*offers
	divided    time.Time
	share      float64 // admitted of all offers, at divided
	limit      float64 // fair number of offers of a workspace, in decayed offers
	sorted     []float64
	// firstCredit is the credit of the latest workspace that was unknown
	// in a shortage. It goes evenly through 0 to 1:
	// with a whole credit for each, 0.66 of the requests of 1,000 workspaces that send one in
	// 20 s were admitted instead of 0.3, since each is forgotten in between.
	firstCredit float64
	correction  correction
}

// correction is subtracted from the count of a workspace that sends a request. The fair number of
// offers is found from decayed counts at any time, but applied to the count at a request, which
// includes the request. If workspaces have few requests within offerHalfLife, less was admitted
// than there is room for: 0.15 of the requests of 100 workspaces with 0.3 a second each, instead
// of 0.3. The correction of large counts has next to no effect, so it does no harm in a burst.
type correction struct {
	amount  float64
	wanted  float64 // sum of the shares for which there was room, over the offers; decayed
	granted float64 // sum of the shares that these offers got; decayed
}

// update adjusts the amount to the offers so far, and decays them by the time since the last
// update.
func (c *correction) update(age time.Duration) {
	if c.granted > 0 {
		c.amount = min(maxCorrection, max(0, c.amount+correctionGain*(c.wanted/c.granted-1)))
	}
	decay := math.Exp2(-float64(age) / float64(correctionHalfLife))
	c.wanted *= decay
	c.granted *= decay
}

// offers is what a workspace offered lately.
type offers struct {
	count     float64 // decayed to decayedAt
	decayedAt time.Time
	credit    float64 // requests that may be admitted
}

func (o *offers) decay(now time.Time) {
	if age := now.Sub(o.decayedAt); age > 0 {
		o.count *= math.Exp2(-float64(age) / float64(offerHalfLife))
		o.decayedAt = now
	}
}

// NewGate returns a Gate.
func NewGate() *Gate {
	return &Gate{workspaces: make(map[string]*offers), share: 1, limit: math.Inf(1)}
}

// Admit reports whether a less urgent request of a workspace may be sent to a server, and the
// share of the workspace's requests that is admitted.
func (g *Gate) Admit(workspace string, room Room, now time.Time) (admitted bool, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.workspaces[workspace]
	unknown := o == nil
	if unknown {
		o = &offers{credit: 1, decayedAt: now}
		if g.share < 1 {
			g.firstCredit = math.Mod(g.firstCredit+math.Phi, 1)
			o.credit = g.firstCredit
		}
		g.workspaces[workspace] = o
	}
	o.decay(now)
	o.count++
	if now.Sub(g.divided) >= fairInterval {
		g.divide(room.admittedShare(), now)
	}
	share = 1
	if g.share < 1 {
		share = max(minAdmitted, min(1, g.limit/(o.count-g.correction.amount)))
		if unknown {
			share = max(share, g.share)
		}
		g.correction.wanted += g.share
		g.correction.granted += share
	}
	o.credit = min(maxCredit, o.credit+share)
	if o.credit < 1 {
		return false, share
	}
	o.credit--
	return true, share
}

// divide sets the largest number of offers of a workspace that are all admitted, so that a
// share of all offers is admitted.
func (g *Gate) divide(share float64, now time.Time) {
	if share < 1 {
		g.correction.update(now.Sub(g.divided))
	} else {
		g.correction = correction{}
	}
	g.divided, g.share = now, share
	counts := g.sorted[:0]
	total := 0.0
	for name, o := range g.workspaces {
		o.decay(now)
		if o.count < forgottenBelow {
			delete(g.workspaces, name)
			continue
		}
		counts = append(counts, o.count)
		total += o.count
	}
	g.sorted = counts
	slices.SortFunc(counts, func(a, b float64) int { return cmp.Compare(a, b) })
	left := share * total
	for i, count := range counts {
		g.limit = left / float64(len(counts)-i)
		if count > g.limit {
			return
		}
		left -= count
	}
	g.limit = math.Inf(1)
}
