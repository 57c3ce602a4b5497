package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

const (
	listLag        = 2 * time.Second
	sidecarLag     = 2 * time.Second // until every sidecar has a new table
	simulationStep = 50 * time.Millisecond
	controlStep    = time.Second
)

// simulation runs routers step by step in one goroutine of a synctest bubble, with
// faults generated from a seed, and records the admissions.
type simulation struct {
	random       *rand.Rand
	store        *kv.Store
	workspace    config.Workspace
	nodes        []*node
	tables       []publishedTable
	admissions   []*admission
	openRequests []*openRequest
	lostDebt     int64
	depth        int  // of nested message delays
	faulty       bool // messages get lost and delayed
	lateSidecars bool // sidecars get tables only from dispatches
	lastID       int
	refusalTime  time.Duration // 0: as of routers
	delayedCalls []func()      // that run at the next step
}

// node is a VM with a router process.
type node struct {
	simulation  *simulation
	address     string
	local       *Local
	manager     *shard.Manager
	source      *control.AtomicSource
	up          bool
	pausedUntil time.Time
	unlisted    time.Time // zero: listed
	view        *membership.View
	viewRead    time.Time
	lastControl time.Time
	cutList     bool
	cutKV       bool
	cutPeers    bool
	working     int                               // nested runs of its background work
	debits      map[string]map[drawKey]*admission // by request
}

// publishedTable is a table that some router has had since at.
type publishedTable struct {
	at    time.Time
	table *shard.Table
}

// drawKey identifies a draw from a peer.
type drawKey struct {
	owner             string
	incarnation, mark uint64
}

// admission is a number of tokens, with the time at which their owner subtracted
// them and the debt of all routers at that time.
type admission struct {
	at     time.Time
	tokens int64
	debt   int64
}

// openRequest is a request that is not settled.
type openRequest struct {
	node  *node
	grant Grant
	cost  int64
	parts []*admission // own tokens first
}

func newSimulation(seed uint64, routers int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), store: kv.New(seed), workspace: badges}
	for range routers {
		s.addNode()
	}
	s.advance(12 * time.Second)
	return s
}

func (s *simulation) addNode() {
	s.lastID++
	n := &node{simulation: s, address: fmt.Sprintf("router-%d", s.lastID), debits: map[string]map[drawKey]*admission{}}
	s.nodes = append(s.nodes, n)
	n.boot()
}

// boot starts the node's process without any state.
func (n *node) boot() {
	n.view = membership.NewView(nil)
	n.source = control.NewAtomicSource(&control.Snapshot{Config: revisionOf(n.simulation.workspace), View: n.view})
	n.local = New(Options{Self: n.address, Source: n.source, Peers: n})
	n.local.refusalTime = n.simulation.refusalTime
	n.local.spawn = n.spawn
	n.manager = shard.NewManager(shard.Options{
		Self: n.address, Environment: "test", KV: reachableKV{n.simulation.store, n}, Limiter: n.local, VMListLag: listLag,
	})
	n.up = true
	n.pausedUntil = time.Time{}
}

// spawn runs a call in the simulation's own goroutine. It delays some debits until after
// the request has given them up, if the node does so before callTimeout.
func (n *node) spawn(call func()) {
	s := n.simulation
	if s.faulty && s.refusalTime > 0 && n.working == 0 && s.random.IntN(4) == 0 {
		s.delayedCalls = append(s.delayedCalls, call)
		return
	}
	call()
}

func (n *node) crash() {
	s := n.simulation
	s.lostDebt += n.debt()
	s.openRequests = slices.DeleteFunc(s.openRequests, func(r *openRequest) bool { return r.node == n })
	n.up = false
}

func (n *node) debt() int64 {
	b := n.local.state.Load().buckets[n.simulation.workspace.Name]
	if !n.up || b == nil {
		return 0
	}
	return max(0, -b.level)
}

// hasRevokedShards reports whether the shards that n owns by its own table are
// revoked. Its surplus and debt are then not charged to any bucket.
func (n *node) hasRevokedShards() bool {
	var newest *shard.Table
	for _, p := range n.simulation.tables {
		if newest == nil || p.table.Epoch > newest.Epoch {
			newest = p.table
		}
	}
	return newest != nil && !newest.ValidForAny(n.address, n.local.state.Load().epoch)
}

func (n *node) running() bool { return n.up && !time.Now().Before(n.pausedUntil) }

// control runs one step of the process's control loop.
func (n *node) control() {
	n.lastControl = time.Now()
	if !n.cutList {
		n.view, n.viewRead = n.simulation.view(), time.Now()
	}
	for _, peer := range n.simulation.nodes {
		table := peer.source.Snapshot().Shards
		if n.canReach(peer) && table != nil && table.Epoch > n.local.state.Load().epoch {
			n.manager.Merge(received(table))
		}
	}
	table, _ := n.manager.Reconcile(context.Background(), n.view, n.viewRead)
	n.publish(table)
}

// received returns the table as a peer decodes it.
func received(table *shard.Table) *shard.Table {
	data, err := shard.Encode(table)
	if err != nil {
		panic(err)
	}
	decoded, err := shard.Decode(data)
	if err != nil {
		panic(err)
	}
	return decoded
}

func (n *node) publish(table *shard.Table) {
	n.source.Publish(&control.Snapshot{
		Config: n.source.Snapshot().Config, Shards: table, View: n.view, Listed: n.view.HasRouter(n.address),
	})
	n.local.current()
	known := n.simulation.tables
	if table != nil && (len(known) == 0 || known[len(known)-1].table != table) {
		n.simulation.tables = append(n.simulation.tables, publishedTable{at: time.Now(), table: table})
		n.simulation.loseDebts()
	}
}

// loseDebts records the debts of routers whose shards are revoked.
func (s *simulation) loseDebts() {
	for _, n := range s.nodes {
		if debt := n.debt(); debt > 0 && n.hasRevokedShards() {
			s.lostDebt += debt
		}
	}
}

// stop releases the node's shards and stops it.
func (n *node) stop() {
	n.publish(n.source.Snapshot().Shards)
	if table := n.source.Snapshot().Shards; table != nil {
		levels := n.local.Release(table.Epoch, table.OwnedBy(n.address))
		_ = n.manager.ReleaseAll(context.Background(), levels)
	}
	n.crash()
	n.unlisted = time.Now()
}

// view returns a read of the VM list, which lags if the simulation is faulty.
func (s *simulation) view() *membership.View {
	seen := time.Now()
	if s.faulty {
		seen = time.Now().Add(-time.Duration(s.random.Int64N(int64(listLag))))
	}
	var vms []platform.VM
	for _, n := range s.nodes {
		if n.unlisted.IsZero() || !n.unlisted.Before(seen) {
			vms = append(vms, platform.VM{Name: n.address, Address: n.address, Group: platform.GroupRouters, State: platform.VMLive})
		}
	}
	return membership.NewView(vms)
}

// advance moves the clock and runs the background work of all processes that are not
// paused.
func (s *simulation) advance(d time.Duration) {
	for ; d > 0; d -= simulationStep {
		time.Sleep(min(d, simulationStep))
		calls := s.delayedCalls
		s.delayedCalls = nil
		for _, call := range calls {
			call()
		}
		for _, n := range slices.Clone(s.nodes) {
			n.work()
		}
	}
}

func (n *node) work() {
	if !n.running() {
		return
	}
	n.working++
	defer func() { n.working-- }()
	n.local.pauseGuard.heartbeat()
	if time.Since(n.lastControl) >= controlStep {
		n.control()
	}
	n.local.rebalance(context.Background())
	n.local.sendRefunds(context.Background())
	n.local.probe(context.Background())
}

// sidecarTable returns the table that the sidecars have.
func (s *simulation) sidecarTable(dispatcher *node) *shard.Table {
	newest := dispatcher.source.Snapshot().Shards
	for _, p := range s.tables {
		if !s.lateSidecars && time.Since(p.at) >= sidecarLag && p.table.Epoch > newest.Epoch {
			newest = p.table
		}
	}
	return newest
}

// acquire sends a request to n and reports whether it was admitted.
func (s *simulation) acquire(n *node, cost int64) bool {
	if !n.running() {
		return false
	}
	s.lastID++
	id := fmt.Sprintf("request-%d", s.lastID)
	own := s.admission(cost)
	grant, err := n.local.Acquire(context.Background(), s.workspace.Name, cost, id)
	if err != nil {
		return false
	}
	table := s.sidecarTable(n)
	for _, d := range grant.Draws() {
		if !table.Valid(int(d.Shard), d.Owner, d.Epoch) {
			grant.Settle(0)
			return false
		}
	}
	r := &openRequest{node: n, grant: grant, cost: cost, parts: []*admission{own}}
	for _, d := range grant.Draws() {
		if debit := n.debits[id][drawKey{d.Owner, d.Incarnation, d.Mark}]; debit != nil && d.Owner != n.address {
			debit.tokens = d.Tokens // the rest is returned
			r.parts = append(r.parts, debit)
			own.tokens -= d.Tokens
		}
	}
	s.admissions = append(s.admissions, r.parts...)
	s.openRequests = append(s.openRequests, r)
	return true
}

func (s *simulation) admission(tokens int64) *admission {
	return &admission{at: time.Now(), tokens: tokens, debt: s.debt()}
}

func (s *simulation) debt() int64 {
	debt := s.lostDebt
	for _, n := range s.nodes {
		debt += n.debt()
	}
	return debt
}

// settle settles the i-th open request. Unused tokens count as never drawn; a surplus
// counts from the time of settlement.
func (s *simulation) settle(i int, used int64) {
	r := s.openRequests[i]
	if !r.node.running() {
		return
	}
	s.openRequests = slices.Delete(s.openRequests, i, i+1)
	r.grant.Settle(used)
	if used > r.cost && r.node.hasRevokedShards() {
		s.lostDebt += used - r.cost
	}
	if used > r.cost {
		s.admissions = append(s.admissions, s.admission(used-r.cost))
	}
	rest := max(0, r.cost-used)
	for _, part := range r.parts {
		unused := min(rest, part.tokens)
		part.tokens -= unused
		rest -= unused
	}
}

// maxExcess returns the largest excess over burst + rate × length of any window. It
// computes the fill level of one exact bucket that never refuses.
func maxExcess(admissions []*admission, limits config.Workspace) int64 {
	slices.SortStableFunc(admissions, func(a, b *admission) int { return a.at.Compare(b.at) })
	var fill, maxExcess float64
	var last time.Time
	for _, a := range admissions {
		if !last.IsZero() {
			fill = max(0, fill-a.at.Sub(last).Seconds()*float64(limits.Rate))
		}
		last = a.at
		fill += float64(a.tokens)
		maxExcess = max(maxExcess, fill-float64(a.debt+limits.Burst))
	}
	return int64(maxExcess)
}
