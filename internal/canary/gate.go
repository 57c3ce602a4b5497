package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// creditShare is the part of the permitted share that a gateway uses. The rest covers
	// streams, which are assigned by hash, and requests that a restarted gateway forgot.
	creditShare = 0.8
	// maxCredit bounds the sends that a gateway can make at once after a pause, so that the
	// new version's load stays even.
	maxCredit = 3
	// reservedCredit is the credit that is kept for routes that have had less than their part.
	reservedCredit = 1
	// maxStaleness is how long after the last confirmation by the store or a peer a gateway
	// sends to the new version.
	maxStaleness = 2 * time.Second
	// moveFraction is the part of an order's duration within which all new requests move.
	moveFraction = 0.05
	// maxRoutes bounds the routes of a service that are counted separately.
	maxRoutes = 64
)

// Bounds are what is permitted for a version that turns out to be bad.
type Bounds struct {
	Share    float64       // of all requests between an order and its deadline
	Slack    float64       // requests beyond the share
	Rollback time.Duration // from its 50th bad response to the last request
}

// Server is a backend server that takes requests.
type Server struct {
	ID       string
	Software string
	Slots    int
}

// View is what a gateway knows of a service. It is immutable.
type View struct {
	Order   *Order // nil: none
	State   *State // nil: none
	Servers []Server
}

// Side is one of the two sets of versions of an order.
type Side uint8

// The sides.
const (
	Old Side = iota
	New
)

// Choice says at which servers an attempt may be made.
type Choice struct {
	Any      bool // at all of them
	Reason   string
	versions []string
	servers  map[string]bool // of these versions; nil: all
}

// Allows reports whether an attempt may be made at a server.
func (c *Choice) Allows(id, software string) bool {
	return c.Any || slices.Contains(c.versions, software) && (c.servers == nil || c.servers[id])
}

// standing is what follows from a View for all requests.
type standing struct {
	old      []string
	new      string // empty: no order is running
	phase    Phase
	barred   []string
	exposed  map[string]bool // servers that get the share of the new version in Observe
	oldGone  bool            // no old server takes requests
	newGone  bool
	exposure float64
	open     bool // no version is known to be established
}

// newStanding derives the standing from a View. share is the permitted share of a new version;
// isDown reports whether a server could not be reached lately.
func newStanding(v *View, share float64, isDown func(id string) bool) standing {
	s := v.State
	if s == nil {
		if v.Order == nil {
			return standing{open: true}
		}
		old := slices.DeleteFunc(versionsOf(v.Servers), func(version string) bool { return version == v.Order.To })
		if len(old) == 0 {
			old = []string{v.Order.To}
		}
		return standing{old: old, newGone: true}
	}
	st := standing{old: s.Established(), barred: s.Barred}
	if s.Phase.running() {
		if v.Order == nil || *v.Order == s.Order {
			st.new, st.phase = s.Order.To, s.Phase
			st.exposure = min(s.Exposure, creditShare*share)
		} else if !slices.Contains(st.old, s.Order.To) {
			st.barred = append(slices.Clone(s.Barred), s.Order.To) // replaced
		}
	}
	oldSlots, newSlots := 0, 0
	var newServers []string
	for _, server := range v.Servers {
		switch {
		case slices.Contains(st.old, server.Software):
			oldSlots += max(1, server.Slots)
		case server.Software == st.new && st.new != "":
			newSlots += max(1, server.Slots)
			newServers = append(newServers, server.ID)
		}
	}
	st.oldGone, st.newGone = oldSlots == 0, newSlots == 0
	if st.oldGone && st.new == "" {
		st.old = st.fallback(v)
	}
	if st.phase == Observe && newSlots > 0 {
		needed := int(math.Ceil(st.exposure * float64(oldSlots) * float64(len(newServers)) / float64(newSlots)))
		st.exposed = expose(newServers, max(1, needed), isDown)
	}
	return st
}

// expose chooses the servers that get the share of a new version, so many that each has the load
// of an old one. All gateways choose the same, but for those that are down.
func expose(servers []string, needed int, isDown func(id string) bool) map[string]bool {
	type ranked struct {
		id   string
		down bool
		hash uint64
	}
	order := make([]ranked, 0, len(servers))
	for _, id := range servers {
		order = append(order, ranked{id, isDown(id), xxhash.Sum64String(id)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.down != b.down {
			if a.down {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	exposed := make(map[string]bool, needed)
	for _, server := range order[:min(len(order), needed)] {
		exposed[server.id] = true
	}
	return exposed
}

// versionsOf returns the software versions of servers, sorted.
func versionsOf(servers []Server) []string {
	var versions []string
	for i := range servers {
		if !slices.Contains(versions, servers[i].Software) {
			versions = append(versions, servers[i].Software)
		}
	}
	slices.Sort(versions)
	return versions
}

// routeCount counts a route's requests and its sends to the new version.
type routeCount struct{ requests, sent float64 }

// gate decides which attempts of one service may go to the new version of one order.
type gate struct {
	credit   float64
	requests float64
	sent     float64
	moved    float64 // in Move, the part of the next request that may go to the new version
	routes   map[string]*routeCount
}

// route returns the counts of a route; those beyond maxRoutes share theirs.
func (g *gate) route(name string) *routeCount {
	if g.routes == nil {
		g.routes = make(map[string]*routeCount)
	}
	count := g.routes[name]
	if count == nil {
		if len(g.routes) >= maxRoutes {
			name = ""
		}
		if count = g.routes[name]; count == nil {
			count = &routeCount{}
			g.routes[name] = count
		}
	}
	return count
}

// arrive counts a request and grants its credit.
func (g *gate) arrive(route string, exposure float64) {
	g.requests++
	g.route(route).requests++
	g.credit = min(maxCredit, g.credit+exposure)
}

// due reports whether the credit allows a send of a route. Routes that have had their part
// leave one send to those that have not.
func (g *gate) due(route string) bool {
	count := g.route(route)
	if g.credit < 1 {
		return false
	}
	return g.credit >= 1+reservedCredit || count.sent*g.requests <= g.sent*count.requests
}

// spend takes the credit of a send. That of streams, which are assigned by hash, may be taken
// in advance.
func (g *gate) spend(route string) {
	g.credit--
	g.sent++
	g.route(route).sent++
}

// refund gives back the credit of a send that was not made.
func (g *gate) refund(route string) {
	g.credit++
	g.sent--
	g.route(route).sent--
}

// mayUseNew reports whether any attempt may be made at the new version.
func (st *standing) mayUseNew(bad bool, staleness time.Duration) bool {
	return st.new != "" && !st.newGone && !bad && (staleness <= maxStaleness || st.oldGone)
}

// decide chooses the side of an attempt. moving is the time since Move began. The credit of a
// choice for the new side is spent.
func (st *standing) decide(g *gate, route string, bad bool, staleness, moving time.Duration, duration time.Duration) (Choice, Side) {
	if st.open {
		return Choice{Any: true, Reason: "no_order"}, Old
	}
	if !st.mayUseNew(bad, staleness) {
		return st.oldChoice(bad, staleness), Old
	}
	newChoice := func(reason string) (Choice, Side) {
		g.spend(route)
		return Choice{versions: []string{st.new}, servers: st.exposed, Reason: reason}, New
	}
	switch {
	case st.oldGone:
		choice, side := newChoice("old_gone")
		choice.servers = nil
		return choice, side
	case st.phase == Observe && g.due(route):
		return newChoice("credit")
	case st.phase == Move:
		part := 1.0
		if window := moveFraction * float64(duration); window > 0 {
			part = min(1, float64(moving)/window)
		}
		if g.moved += part; g.moved >= 1 {
			g.moved--
			return newChoice("move")
		}
	case st.phase == Settle || st.phase == Seal:
		return newChoice(st.phase.String())
	}
	return Choice{versions: st.old, Reason: "old"}, Old
}

// mayUseOld reports whether any attempt may be made at the old versions. In Seal they are about
// to be stopped, also if the new version was found bad since the last report: the owner may
// write that the order is completed before it learns of the finding. A gateway that is cut off
// uses them once the owner no longer counts it among those it has heard of.
func (st *standing) mayUseOld(staleness time.Duration) bool {
	return st.phase != Seal || staleness > maxStaleness+reportTTL
}

// oldChoice is the choice of an attempt that may not use the new version.
func (st *standing) oldChoice(bad bool, staleness time.Duration) Choice {
	reason := "established"
	switch {
	case bad:
		reason = "bad"
	case st.new != "" && staleness > maxStaleness:
		reason = "stale"
	case st.new != "" && st.newGone:
		reason = "no_new_server"
	}
	if !st.mayUseOld(staleness) {
		return Choice{Reason: "sealed"}
	}
	return Choice{versions: st.old, Reason: reason}
}

// allows reports whether an attempt may be made at a version now.
func (st *standing) allows(version string, bad bool, staleness time.Duration) bool {
	switch {
	case st.open:
		return true
	case slices.Contains(st.old, version):
		return st.mayUseOld(staleness)
	case version == st.new && st.new != "":
		return st.mayUseNew(bad, staleness)
	}
	return false
}

// isBarred reports whether a version gets no further requests.
func (st *standing) isBarred(version string, bad bool) bool {
	return slices.Contains(st.barred, version) || bad && version == st.new && st.new != ""
}

// fallback returns the versions that may be used if no established one is in service and no
// order is running: those that were neither rolled back nor replaced.
func (st *standing) fallback(v *View) []string {
	return slices.DeleteFunc(versionsOf(v.Servers), func(version string) bool {
		return slices.Contains(st.barred, version) || v.State.Phase == Completed && slices.Contains(v.State.Old, version)
	})
}
