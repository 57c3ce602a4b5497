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
	listLag     = 2 * time.Second
	sidecarLag  = 2 * time.Second // until every sidecar knows a new table
	worldStep   = 50 * time.Millisecond
	controlStep = time.Second
)

// world runs routers step by step in one goroutine of a synctest bubble, with
// faults drawn from a seed, and records what was admitted.
type world struct {
	random    *rand.Rand
	store     *kv.Store
	workspace config.Workspace
	nodes     []*node
	tables    []published
	history   []*admission
	open      []*running
	lostDebt  int64
	depth     int
	faulty    bool // messages get lost and delayed
	late      bool // sidecars learn of tables from dispatches alone
	names     int
}

// node is a VM with its router's process.
type node struct {
	world      *world
	address    string
	local      *Local
	manager    *shard.Manager
	cell       *control.Cell
	up         bool
	pausedTill time.Time
	unlisted   time.Time // zero: listed
	view       *membership.View
	viewRead   time.Time
	stepped    time.Time
	cutList    bool
	cutKV      bool
	cutPeers   bool
	debits     map[string][]*admission // by request
}

// published is a table that some router has known since a time.
type published struct {
	at    time.Time
	table *shard.Table
}

// admission is a number of tokens, dated when their owner subtracted them, and
// the debt of all routers at that time.
type admission struct {
	at     time.Time
	tokens int64
	debt   int64
}

// running is a request that is not settled.
type running struct {
	node  *node
	grant Grant
	cost  int64
	parts []*admission // own tokens first
}

func newWorld(seed uint64, routers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), store: kv.New(seed), workspace: badges}
	for range routers {
		w.addNode()
	}
	w.advance(12 * time.Second)
	return w
}

func (w *world) addNode() {
	w.names++
	n := &node{world: w, address: fmt.Sprintf("router-%d", w.names), debits: map[string][]*admission{}}
	w.nodes = append(w.nodes, n)
	n.boot()
}

// boot starts the node's process, which knows nothing.
func (n *node) boot() {
	n.view = membership.NewView(nil)
	n.cell = control.NewCell(&control.Snapshot{Config: revisionOf(n.world.workspace), View: n.view})
	n.local = New(Options{Self: n.address, Source: n.cell, Peers: n})
	n.manager = shard.NewManager(shard.Options{
		Self: n.address, Environment: "test", KV: reachableKV{n.world.store, n}, Ledger: n.local, VMListLag: listLag,
	})
	n.up = true
	n.pausedTill = time.Time{}
}

func (n *node) crash() {
	w := n.world
	w.lostDebt += n.debt()
	w.open = slices.DeleteFunc(w.open, func(r *running) bool { return r.node == n })
	n.up = false
}

func (n *node) debt() int64 {
	b := n.local.state.Load().buckets[n.world.workspace.Name]
	if !n.up || b == nil {
		return 0
	}
	return max(0, -b.level)
}

// orphaned says whether the shards that n believes to own are revoked. Its
// surplus and debt are then charged to nobody.
func (n *node) orphaned() bool {
	var newest *shard.Table
	for _, p := range n.world.tables {
		if newest == nil || p.table.Epoch > newest.Epoch {
			newest = p.table
		}
	}
	return newest != nil && !newest.Holds(n.address, n.local.state.Load().epoch)
}

func (n *node) runs() bool { return n.up && !time.Now().Before(n.pausedTill) }

// control is one step of the process's control loop.
func (n *node) control() {
	n.stepped = time.Now()
	if !n.cutList {
		n.view, n.viewRead = n.world.view(), time.Now()
	}
	for _, peer := range n.world.nodes {
		table := peer.cell.Snapshot().Shards
		if n.reaches(peer) && table != nil && table.Epoch > n.local.state.Load().epoch {
			n.manager.Learn(received(table))
		}
	}
	table, _ := n.manager.Step(context.Background(), n.view, n.viewRead)
	n.publish(table)
}

// received returns a table as it arrives at a peer.
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
	n.cell.Publish(&control.Snapshot{
		Config: n.cell.Snapshot().Config, Shards: table, View: n.view, Listed: n.view.HasRouter(n.address),
	})
	n.local.current()
	known := n.world.tables
	if table != nil && (len(known) == 0 || known[len(known)-1].table != table) {
		n.world.tables = append(n.world.tables, published{at: time.Now(), table: table})
		n.world.loseDebts()
	}
}

// loseDebts notes the debts of routers whose shards belong to others.
func (w *world) loseDebts() {
	for _, n := range w.nodes {
		if debt := n.debt(); debt > 0 && n.orphaned() {
			w.lostDebt += debt
		}
	}
}

// stop is a planned stop with hand-back.
func (n *node) stop() {
	n.publish(n.cell.Snapshot().Shards)
	if table := n.cell.Snapshot().Shards; table != nil {
		levels := n.local.Release(table.Epoch, table.Held(n.address))
		_ = n.manager.HandBack(context.Background(), levels)
	}
	n.crash()
	n.unlisted = time.Now()
}

// view is a read of the VM list, which lags.
func (w *world) view() *membership.View {
	seen := time.Now()
	if w.faulty {
		seen = time.Now().Add(-time.Duration(w.random.Int64N(int64(listLag))))
	}
	var vms []platform.VM
	for _, n := range w.nodes {
		if n.unlisted.IsZero() || !n.unlisted.Before(seen) {
			vms = append(vms, platform.VM{Name: n.address, Address: n.address, Group: platform.GroupRouters, State: platform.VMLive})
		}
	}
	return membership.NewView(vms)
}

// advance moves the clock; the processes that are not paused do their
// background work.
func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= worldStep {
		time.Sleep(min(d, worldStep))
		for _, n := range slices.Clone(w.nodes) {
			n.work()
		}
	}
}

func (n *node) work() {
	if !n.runs() {
		return
	}
	n.local.guard.tick()
	if time.Since(n.stepped) >= controlStep {
		n.control()
	}
	n.local.evenOut(context.Background())
	n.local.sendRefunds(context.Background())
}

// sidecar returns the table that the sidecars know.
func (w *world) sidecar(dispatcher *node) *shard.Table {
	newest := dispatcher.cell.Snapshot().Shards
	for _, p := range w.tables {
		if !w.late && time.Since(p.at) >= sidecarLag && p.table.Epoch > newest.Epoch {
			newest = p.table
		}
	}
	return newest
}

// acquire is a request at n. It reports whether it was admitted.
func (w *world) acquire(n *node, cost int64) bool {
	if !n.runs() {
		return false
	}
	w.names++
	id := fmt.Sprintf("request-%d", w.names)
	own := w.admission(cost)
	grant, err := n.local.Acquire(context.Background(), w.workspace.Name, cost, id)
	if err != nil {
		return false
	}
	table := w.sidecar(n)
	for _, d := range grant.Draws() {
		if !table.Valid(int(d.Shard), d.Owner, d.Epoch) {
			grant.Settle(0)
			return false
		}
	}
	r := &running{node: n, grant: grant, cost: cost, parts: []*admission{own}}
	for _, d := range n.debits[id] {
		r.parts = append(r.parts, d)
		own.tokens -= d.tokens
	}
	w.history = append(w.history, r.parts...)
	w.open = append(w.open, r)
	return true
}

func (w *world) admission(tokens int64) *admission {
	return &admission{at: time.Now(), tokens: tokens, debt: w.debt()}
}

func (w *world) debt() int64 {
	debt := w.lostDebt
	for _, n := range w.nodes {
		debt += n.debt()
	}
	return debt
}

// settle ends the i-th running request. Tokens that were not used count as
// never drawn; a surplus counts when it is settled.
func (w *world) settle(i int, used int64) {
	r := w.open[i]
	if !r.node.runs() {
		return
	}
	w.open = slices.Delete(w.open, i, i+1)
	r.grant.Settle(used)
	if used > r.cost && r.node.orphaned() {
		w.lostDebt += used - r.cost
	}
	if used > r.cost {
		w.history = append(w.history, w.admission(used-r.cost))
	}
	rest := max(0, r.cost-used)
	for _, part := range r.parts {
		unused := min(rest, part.tokens)
		part.tokens -= unused
		rest -= unused
	}
}

// worst returns the largest excess over burst + rate × length of any window, as
// the fill of one exact bucket that never refuses.
func worst(history []*admission, limits config.Workspace) int64 {
	slices.SortStableFunc(history, func(a, b *admission) int { return a.at.Compare(b.at) })
	var fill, worst float64
	var last time.Time
	for _, a := range history {
		if !last.IsZero() {
			fill = max(0, fill-a.at.Sub(last).Seconds()*float64(limits.Rate))
		}
		last = a.at
		fill += float64(a.tokens)
		worst = max(worst, fill-float64(a.debt+limits.Burst))
	}
	return int64(worst)
}
