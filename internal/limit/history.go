package limit

const historySize = 16

// history records a bucket's least headroom since each earlier mark. Of tokens
// that are returned late only as many count as would not have overflowed the
// bucket in the meantime.
type history struct {
	mark uint64                // of the last observation
	n    int                   // entries in use
	lows [historySize]lowPoint // marks and tokens both increase
}

// lowPoint states that the least headroom since any earlier mark was at most
// tokens.
type lowPoint struct {
	mark   uint64
	tokens int64
}

// observe records the current headroom under a new mark.
func (h *history) observe(headroom int64) {
	h.mark++
	for h.n > 0 && h.lows[h.n-1].tokens >= headroom {
		h.n--
	}
	if h.n == historySize {
		h.merge()
	}
	h.lows[h.n] = lowPoint{mark: h.mark, tokens: headroom}
	h.n++
}

// minHeadroom returns the least headroom observed after mark.
func (h *history) minHeadroom(mark uint64) int64 {
	for _, l := range h.lows[:h.n] {
		if l.mark > mark {
			return l.tokens
		}
	}
	return 0
}

// consume reduces the headroom after mark by tokens.
func (h *history) consume(mark uint64, tokens int64) {
	first := h.n
	for i := range h.lows[:h.n] {
		if h.lows[i].mark <= mark {
			continue
		}
		first = min(first, i)
		h.lows[i].tokens -= tokens
	}
	if first == h.n {
		return
	}
	kept := first
	for kept > 0 && h.lows[kept-1].tokens >= h.lows[first].tokens {
		kept--
	}
	copy(h.lows[kept:], h.lows[first:h.n])
	h.n -= first - kept
}

// merge joins the two adjacent low points whose tokens differ least, keeping the
// lower tokens.
func (h *history) merge() {
	closest := 0
	for i := 1; i < h.n-1; i++ {
		if h.difference(i) < h.difference(closest) {
			closest = i
		}
	}
	h.lows[closest].mark = h.lows[closest+1].mark
	copy(h.lows[closest+1:], h.lows[closest+2:h.n])
	h.n--
}

func (h *history) difference(i int) int64 { return h.lows[i+1].tokens - h.lows[i].tokens }
