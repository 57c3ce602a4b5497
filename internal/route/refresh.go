package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// refreshInterval is the time between two digests of servers in turn.
	refreshInterval = 500 * time.Millisecond
	refreshTimeout  = time.Second
	// lookInterval is how often the view is searched for new servers.
	lookInterval = 50 * time.Millisecond
	// startBlocks is the number of blocks read of a server that is new to this
	// router, turnBlocks that of one whose turn it is.
	startBlocks = 4096
	turnBlocks  = 256
	// startServers bounds the servers that are read at the start, so that a herd
	// of routers does not flood them.
	startServers = 32
)

// Digests reads what engines hold.
type Digests interface {
	Digest(ctx context.Context, address string, maxBlocks uint32) (*wire.DigestReply, error)
}

// Refresher teaches a router what it can't learn from its own answers: at the
// start what the engines hold, so that there is no cold start, and then, one
// engine at a time, what the other routers made them hold.
type Refresher struct {
	filter  *Filter
	digests Digests
	known   map[string]bool // rpc addresses read at least once
	warm    bool            // the servers of the first view were read
}

// NewRefresher returns a Refresher of the filter's index and load.
func NewRefresher(filter *Filter, digests Digests) *Refresher {
	return &Refresher{filter: filter, digests: digests, known: make(map[string]bool)}
}

// Run refreshes until ctx ends.
func (r *Refresher) Run(ctx context.Context) {
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	last := time.Now()
	for {
		engines := engines(r.filter.source.Snapshot())
		r.readNew(ctx, engines)
		if len(engines) > 0 && time.Since(last) >= refreshInterval {
			last = time.Now()
			r.read(ctx, engines[rand.IntN(len(engines))].Address, turnBlocks)
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}

// engines returns the servers that hold prefixes.
func engines(snapshot *control.Snapshot) []membership.Server {
	if snapshot.Config == nil {
		return nil
	}
	var found []membership.Server
	for i := range snapshot.Config.Document.Groups {
		group := &snapshot.Config.Document.Groups[i]
		if group.Kind == config.GroupEngines {
			found = append(found, snapshot.View.Group(group.Name)...)
		}
	}
	return found
}

// readNew reads the servers that are new to this router, side by side.
func (r *Refresher) readNew(ctx context.Context, servers []membership.Server) {
	var group sync.WaitGroup
	reads := 0
	for _, i := range rand.Perm(len(servers)) {
		address := servers[i].Address
		if r.known[address] {
			continue
		}
		r.known[address] = true
		if reads == startServers {
			continue
		}
		reads++
		group.Go(func() { r.read(ctx, address, startBlocks) })
	}
	group.Wait()
	if !r.warm && len(servers) > 0 {
		r.warm = true
		close(r.filter.warm)
	}
}

func (r *Refresher) read(ctx context.Context, address string, maxBlocks uint32) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	reply, err := r.digests.Digest(ctx, address, maxBlocks)
	if err != nil {
		logger.Debug(logging.Fields{"server": address, "error": err.Error()}, "digest not read")
		return
	}
	if reply.GetLoad() != nil {
		r.filter.learnLoad(address, reply.GetLoad())
	}
	if len(reply.GetBlocks()) > 0 {
		r.filter.index.Restore(reply.GetBlocks(), address, reply.GetIncarnation())
	}
}
