package controller

import "slices"

// maxLoads is the number of weight loads that may run at once in an environment.
const maxLoads = 2

// orderKind says what an order does.
type orderKind string

const (
	orderLoad   orderKind = "load"
	orderUnload orderKind = "unload"
)

// order is an order to one engine.
type order struct {
	kind    orderKind
	server  *server
	weights weights
}

// planner finds the orders that may be given now.
type planner struct {
	wanted    desired
	groups    map[string][]*server // by group, in the order of names
	running   []load               // loads that may be running
	available func(weights) bool   // whether the weight store has them
	orders    []order
}

// plan returns the orders to give now. It never plans more loads than may run.
func (p *planner) plan() []order {
	for _, first := range []bool{true, false} {
		for _, g := range p.wanted {
			for _, w := range g.weights {
				p.planLoads(p.groups[g.group], g.weights, w, first)
			}
		}
	}
	for _, g := range p.wanted {
		for _, w := range g.weights {
			p.planUnloads(p.groups[g.group], g.weights, w)
		}
	}
	return p.orders
}

// missing counts the wanted weights that reporting servers lack.
func (p *planner) missing() int64 {
	var n int64
	for _, g := range p.wanted {
		for _, w := range g.weights {
			for _, s := range p.groups[g.group] {
				if s.reporting() && !s.holds(w) {
					n++
				}
			}
		}
	}
	return n
}

// planLoads loads weights beside the old ones where they are missing. The first
// pass gives each set of weights one server before any gets two.
func (p *planner) planLoads(servers []*server, wanted []weights, w weights, first bool) {
	for _, s := range servers {
		if first && (p.isRunning(w) || slices.ContainsFunc(servers, func(t *server) bool { return t.reporting() && t.holds(w) })) {
			return
		}
		if len(p.running) >= maxLoads {
			return
		}
		if p.mayLoad(s, w, wanted) {
			p.running = append(p.running, load{Server: s.address, Weights: w})
			p.add(orderLoad, s, w)
		}
	}
}

// mayLoad says whether s may load w. An adapter comes after its base.
func (p *planner) mayLoad(s *server, w weights, wanted []weights) bool {
	if w != under(w) && slices.Contains(wanted, under(w)) && !s.holds(under(w)) {
		return false
	}
	return s.ready() && !s.holds(w) && !p.isRunningAt(s, w) && p.available(w) &&
		(!s.refused[w] || !s.holdsOther(w))
}

func (p *planner) isRunning(w weights) bool {
	return slices.ContainsFunc(p.running, func(l load) bool { return l.Weights == w })
}

func (p *planner) isRunningAt(s *server, w weights) bool {
	return slices.Contains(p.running, load{Server: s.address, Weights: w})
}

// planUnloads removes other versions of w that no model of the group names. Base
// weights go after their adapters.
func (p *planner) planUnloads(servers []*server, wanted []weights, w weights) {
	for _, s := range servers {
		for _, old := range s.loaded {
			if baseOf(old) != baseOf(w) || slices.Contains(wanted, old) || s.holdsAdapterOf(old) || !s.ready() {
				continue
			}
			if p.isReplaced(servers, s, w) || p.needsRoom(servers, s, w) {
				p.add(orderUnload, s, old)
			}
		}
	}
}

// isReplaced says whether s no longer needs old versions: it and another server,
// if there is one, have reported w, and no server is still to load it.
func (p *planner) isReplaced(servers []*server, s *server, w weights) bool {
	if !s.holds(w) {
		return false
	}
	others := 0
	holders := 0
	for _, t := range servers {
		if t == s || t.leaving() {
			continue
		}
		others++
		if t.reporting() && t.holds(w) {
			holders++
			continue
		}
		if t.reporting() && !t.refused[w] {
			return false
		}
	}
	return others == 0 || holders > 0
}

// needsRoom says whether s may give up an old version because its engine refuses
// to hold w beside it: another server keeps serving the model meanwhile, and
// few servers are without the model at once.
func (p *planner) needsRoom(servers []*server, s *server, w weights) bool {
	if !(s.refused[w] || s.refused[under(w)]) || s.holds(w) || !p.available(w) || len(p.running) >= maxLoads {
		return false
	}
	serving, without := 0, 0
	for _, t := range servers {
		switch {
		case t == s || t.leaving():
		case t.holdsBase(w) && t.reporting():
			serving++
		case !t.holdsBase(w) && t.seen:
			without++
		}
	}
	return serving > 0 && without < maxLoads
}

func (p *planner) add(kind orderKind, s *server, w weights) {
	s.giving = &order{kind: kind, server: s, weights: w}
	p.orders = append(p.orders, *s.giving)
}
