package limit

const historySize = 16

// history remembers how little headroom a bucket had at least since each
// earlier time. Tokens that come back late are worth only what the bucket would
// have kept, had they been in it all the while.
type history struct {
	mark uint64
	n    int
	lows [historySize]low // marks and tokens both increase
}

// low says that the headroom after any mark before this one was at most tokens.
type low struct {
	mark   uint64
	tokens int64
}

// observe notes the present headroom.
func (h *history) observe(headroom int64) {
	h.mark++
	for h.n > 0 && h.lows[h.n-1].tokens >= headroom {
		h.n--
	}
	if h.n == historySize {
		h.merge()
	}
	h.lows[h.n] = low{mark: h.mark, tokens: headroom}
	h.n++
}

// least returns the least headroom observed after mark.
func (h *history) least(mark uint64) int64 {
	for _, l := range h.lows[:h.n] {
		if l.mark > mark {
			return l.tokens
		}
	}
	return 0
}

// fill notes that tokens were in the bucket since mark.
func (h *history) fill(mark uint64, tokens int64) {
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

// merge joins the two neighbours that are closest to each other, to the lower
// of their tokens.
func (h *history) merge() {
	closest := 0
	for i := 1; i < h.n-1; i++ {
		if h.gap(i) < h.gap(closest) {
			closest = i
		}
	}
	h.lows[closest].mark = h.lows[closest+1].mark
	copy(h.lows[closest+1:], h.lows[closest+2:h.n])
	h.n--
}

func (h *history) gap(i int) int64 { return h.lows[i+1].tokens - h.lows[i].tokens }
