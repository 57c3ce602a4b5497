package peering

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxCanaries bounds the services in a report whose rollouts are merged.
const maxCanaries = 256

// canaryNews returns what this gateway saw of running rollouts.
func (x *Exchange) canaryNews(now time.Time) []*wire.CanaryNews {
	if x.opts.Canary == nil {
		return nil
	}
	var news []*wire.CanaryNews
	x.opts.Canary.Reports(x.staleness(), now, func(r *canary.Report) { news = append(news, encodeCanary(r)) })
	return news
}

func encodeCanary(r *canary.Report) *wire.CanaryNews {
	n := &wire.CanaryNews{
		Service: r.Service, Serial: r.Serial, AgeMs: r.Age.Milliseconds(), Phase: uint32(r.Phase), OnOld: uint32(max(0, r.OnOld)),
		Bad: r.Finding.Bad, Reason: r.Finding.Reason,
		CrashedOld: slices.Collect(maps.Keys(r.Evidence.Crashed[canary.Old])), CrashedNew: slices.Collect(maps.Keys(r.Evidence.Crashed[canary.New])),
	}
	for route, sides := range r.Evidence.Routes {
		for side := range sides {
			c := &sides[side]
			if c.Responses == 0 && c.First == (canary.Histogram{}) {
				continue
			}
			counts := &wire.CanaryCounts{Route: route, New: canary.Side(side) == canary.New, Responses: c.Responses, Failures: c.Failures}
			counts.FirstOffset, counts.First = encodeHistogram(&c.First)
			counts.GapsOffset, counts.Gaps = encodeHistogram(&c.Gaps)
			n.Counts = append(n.Counts, counts)
		}
	}
	return n
}

// encodeHistogram returns the buckets from the first to the last that is not empty.
func encodeHistogram(h *canary.Histogram) (offset uint32, counts []uint32) {
	first := slices.IndexFunc(h[:], func(n uint32) bool { return n > 0 })
	if first < 0 {
		return 0, nil
	}
	last := len(h) - 1
	for h[last] == 0 {
		last--
	}
	return uint32(first), slices.Clone(h[first : last+1])
}

// decodeHistogram sets h, unless the buckets are out of range.
func decodeHistogram(h *canary.Histogram, offset uint32, counts []uint32) bool {
	if offset > canary.Buckets || len(counts) > canary.Buckets-int(offset) {
		return false
	}
	copy(h[offset:], counts)
	return true
}

// mergeCanaries merges what a peer saw of running rollouts. Malformed counts are left out.
func (x *Exchange) mergeCanaries(sender string, news []*wire.CanaryNews, now time.Time) {
	if x.opts.Canary == nil || len(news) > maxCanaries {
		return
	}
	for _, n := range news {
		r := decodeCanary(n)
		if x.opts.Canary.Merge(sender, r, now) {
			logger.Warn(fields{"service": n.Service, "peer": sender, "reason": n.Reason}, "software version found bad by another gateway")
		}
	}
}

func decodeCanary(n *wire.CanaryNews) *canary.Report {
	r := &canary.Report{
		Service: n.Service, Serial: n.Serial, Age: milliseconds(n.AgeMs), Phase: canary.Phase(min(n.Phase, 255)), OnOld: int(n.OnOld),
		Finding: canary.Finding{Bad: n.Bad, Reason: n.Reason}, Evidence: canary.NewEvidence(),
	}
	for _, c := range n.Counts {
		side := canary.Old
		if c.New {
			side = canary.New
		}
		counts := canary.Counts{Responses: c.Responses, Failures: c.Failures}
		if decodeHistogram(&counts.First, c.FirstOffset, c.First) && decodeHistogram(&counts.Gaps, c.GapsOffset, c.Gaps) {
			r.Evidence.Counts(c.Route)[side] = counts
		}
	}
	for _, server := range n.CrashedOld {
		r.Evidence.Crash(canary.Old, server)
	}
	for _, server := range n.CrashedNew {
		r.Evidence.Crash(canary.New, server)
	}
	return r
}
