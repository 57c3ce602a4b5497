package controller

import "slices"

// maxLoads is the maximum number of concurrent weight loads in an environment.
const maxLoads = 2

// orderKind is the kind of an order.
type orderKind string

const (
	orderLoad   orderKind = "load"
	orderUnload orderKind = "unload"
)

// order is an order to one engine to load or unload weights.
type order struct {
	kind    orderKind
	server  *server
	weights weights
}

// planner determines the orders that may be sent now.
type planner struct {
	target         targetState
	serversByGroup map[string][]*server // by group; servers ordered by name
	running        []load               // loads that may be running
	available      func(weights) bool   // reports whether the weight store has them
	orders         []order
}

// plan returns the orders to send now. The loads that run with them do not
// exceed maxLoads.
func (p *planner) plan() []order {
	for _, firstPass := range []bool{true, false} {
		for _, g := range p.target {
			for _, w := range g.weights {
				p.planLoads(p.serversByGroup[g.group], g.weights, w, firstPass)
			}
		}
	}
	for _, g := range p.target {
		for _, w := range g.weights {
			p.planUnloads(p.serversByGroup[g.group], g.weights, w)
		}
	}
	return p.orders
}

// missingWeights counts the target weights that reporting servers do not hold.
func (p *planner) missingWeights() int64 {
	var n int64
	for _, g := range p.target {
		for _, w := range g.weights {
			for _, s := range p.serversByGroup[g.group] {
				if s.isReporting() && !s.holds(w) {
					n++
				}
			}
		}
	}
	return n
}

// planLoads orders loads of w where it is missing, beside any old version. In
// the first pass w is loaded at one server only, so that each set of weights
// has one server before any has two.
func (p *planner) planLoads(servers []*server, target []weights, w weights, firstPass bool) {
	for _, s := range servers {
		if firstPass && (p.isRunning(w) || slices.ContainsFunc(servers, func(t *server) bool { return t.isReporting() && t.holds(w) })) {
			return
		}
		if len(p.running) >= maxLoads {
			return
		}
		if p.mayLoad(s, w, target) {
			p.running = append(p.running, load{Server: s.address, Weights: w})
			p.addOrder(orderLoad, s, w)
		}
	}
}

// mayLoad reports whether s may load w. An adapter is loaded after its base
// weights.
func (p *planner) mayLoad(s *server, w weights, target []weights) bool {
	if w != baseWeights(w) && slices.Contains(target, baseWeights(w)) && !s.holds(baseWeights(w)) {
		return false
	}
	return s.isReady() && !s.holds(w) && !p.isRunningAt(s, w) && p.available(w) &&
		(!s.refused[w] || !s.holdsOtherVersion(w))
}

func (p *planner) isRunning(w weights) bool {
	return slices.ContainsFunc(p.running, func(l load) bool { return l.Weights == w })
}

func (p *planner) isRunningAt(s *server, w weights) bool {
	return slices.Contains(p.running, load{Server: s.address, Weights: w})
}

// planUnloads orders unloads of other versions of w that no model of the group
// uses. Base weights are unloaded after their adapters.
func (p *planner) planUnloads(servers []*server, target []weights, w weights) {
	for _, s := range servers {
		for _, old := range s.loaded {
			if modelKeyOf(old) != modelKeyOf(w) || slices.Contains(target, old) || s.holdsAdapterOf(old) || !s.isReady() {
				continue
			}
			if p.oldVersionsUnneeded(servers, s, w) || p.mustUnloadFirst(servers, s, w) {
				p.addOrder(orderUnload, s, old)
			}
		}
	}
}

// oldVersionsUnneeded reports whether s no longer needs old versions: s holds
// w, another server, if there is one, has reported w, and no reporting server
// has yet to load w, except those whose engine refused it.
func (p *planner) oldVersionsUnneeded(servers []*server, s *server, w weights) bool {
	if !s.holds(w) {
		return false
	}
	others := 0
	holders := 0
	for _, t := range servers {
		if t == s || t.isLeaving() {
			continue
		}
		others++
		if t.isReporting() && t.holds(w) {
			holders++
			continue
		}
		if t.isReporting() && !t.refused[w] {
			return false
		}
	}
	return others == 0 || holders > 0
}

// mustUnloadFirst reports whether s may unload an old version because its
// engine refuses to hold w beside it. Another server must keep serving the
// model meanwhile, and fewer than maxLoads others may be without it.
func (p *planner) mustUnloadFirst(servers []*server, s *server, w weights) bool {
	if !(s.refused[w] || s.refused[baseWeights(w)]) || s.holds(w) || !p.available(w) || len(p.running) >= maxLoads {
		return false
	}
	serving, without := 0, 0
	for _, t := range servers {
		switch {
		case t == s || t.isLeaving():
		case t.holdsAnyVersion(w) && t.isReporting():
			serving++
		case !t.holdsAnyVersion(w) && t.reportedInTerm:
			without++
		}
	}
	return serving > 0 && without < maxLoads
}

func (p *planner) addOrder(kind orderKind, s *server, w weights) {
	s.pendingOrder = &order{kind: kind, server: s, weights: w}
	p.orders = append(p.orders, *s.pendingOrder)
}
