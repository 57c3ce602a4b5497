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
	// refreshInterval is the time between periodic digest reads, each of one
	// server at random.
	refreshInterval = 500 * time.Millisecond
	refreshTimeout  = time.Second
	// scanInterval is how often the view is checked for new servers.
	scanInterval = 50 * time.Millisecond
	// initialBlocks limits the blocks read from a server that is new to this
	// router, refreshBlocks those of a periodic read.
	initialBlocks = 4096
	refreshBlocks = 256
	// maxInitialReads limits the new servers that are read in one scan, so that
	// many routers that start together do not overload the servers.
	maxInitialReads = 32
)

// DigestReader reads digests of the prefixes that engines hold.
type DigestReader interface {
	Digest(ctx context.Context, address string, maxBlocks uint32) (*wire.DigestReply, error)
}

// Refresher adds to the index what the responses to this router's own requests do
// not show. At the start it reads the prefixes of many engines, to avoid a
// cold start; after that it reads one engine at a time, for the prefixes that
// other routers sent there.
type Refresher struct {
	filter  *Filter
	digests DigestReader
	seen    map[string]bool // RPC addresses of the servers of earlier views
	warm    bool            // the first servers were read
}

// NewRefresher returns a Refresher that updates the index and the loads of
// filter.
func NewRefresher(filter *Filter, digests DigestReader) *Refresher {
	return &Refresher{filter: filter, digests: digests, seen: make(map[string]bool)}
}

// Run reads digests until ctx is done.
func (r *Refresher) Run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		servers := engines(r.filter.source.Snapshot())
		r.readNew(ctx, servers)
		if len(servers) > 0 && time.Since(last) >= refreshInterval {
			last = time.Now()
			r.read(ctx, servers[rand.IntN(len(servers))].Address, refreshBlocks)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// engines returns the servers of all engine groups.
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

// readNew reads the digests of new servers concurrently.
func (r *Refresher) readNew(ctx context.Context, servers []membership.Server) {
	var reading sync.WaitGroup
	reads := 0
	for _, i := range rand.Perm(len(servers)) {
		address := servers[i].Address
		if r.seen[address] {
			continue
		}
		r.seen[address] = true
		if reads == maxInitialReads {
			continue
		}
		reads++
		reading.Go(func() { r.read(ctx, address, initialBlocks) })
	}
	reading.Wait()
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
		logger.Debug(logging.Fields{"server": address, "error": err.Error()}, "reading prefix digest failed")
		return
	}
	if reply.GetLoad() != nil {
		r.filter.recordLoad(address, reply.GetLoad())
	}
	if len(reply.GetBlocks()) > 0 {
		r.filter.index.Restore(reply.GetBlocks(), address, reply.GetIncarnation())
	}
}
