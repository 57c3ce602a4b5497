package forward

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	// listTrustedFor is the staleness of the state up to which the list of servers tells which
	// process runs under an ID: more than the longest time between two responses of a healthy
	// store.
	listTrustedFor = 2 * time.Second
	// processCheckTTL is how long a server that was asked is not asked again.
	processCheckTTL = 500 * time.Millisecond
	// processCheckTimeout bounds that question.
	processCheckTimeout = 300 * time.Millisecond
	// maxProcesses bounds the servers whose answers are remembered.
	maxProcesses = 1 << 13
)

// Processes asks backend servers which process they are.
type Processes interface {
	// Incarnation returns the start of the process that runs under the server's ID, in Unix
	// milliseconds; 0: it does not say.
	Incarnation(ctx context.Context, server *deployment.Server) (int64, error)
}

// processChecks remembers which servers run another process than the one that is listed.
type processChecks struct {
	asked  *lru.Cache[processKey, processAnswer]
	flight singleflight.Group
}

type processKey struct {
	id          string
	incarnation int64
}

type processAnswer struct {
	at       time.Time
	replaced bool
}

func newProcessChecks() *processChecks {
	asked, err := lru.New[processKey, processAnswer](maxProcesses)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &processChecks{asked: asked}
}

// forget makes the next request ask a server again, whose connection has broken.
func (c *processChecks) forget(server *deployment.Server) {
	if key := keyOfProcess(server); !c.replaced(key) {
		c.asked.Remove(key)
	}
}

func (c *processChecks) replaced(key processKey) bool {
	answer, ok := c.asked.Get(key)
	return ok && answer.replaced
}

func keyOfProcess(server *deployment.Server) processKey {
	return processKey{id: server.ID, incarnation: server.Incarnation}
}

// isReplaced reports whether a server says that it is another process than the one that is
// listed. A server that gives no answer counts as the same.
func (c *processChecks) isReplaced(ctx context.Context, processes Processes, server *deployment.Server) bool {
	key := keyOfProcess(server)
	if answer, ok := c.asked.Get(key); ok && (answer.replaced || time.Since(answer.at) < processCheckTTL) {
		return answer.replaced
	}
	_, _, _ = c.flight.Do(server.Address+" "+server.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), processCheckTimeout)
		defer cancel()
		at := time.Now()
		incarnation, err := processes.Incarnation(ctx, server)
		c.asked.Add(key, processAnswer{at: at, replaced: err == nil && incarnation != 0 && server.Incarnation != 0 && incarnation != server.Incarnation})
		return nil, nil
	})
	return c.replaced(key)
}

// checkProcess returns an error if a stream that may be resumed would reach another process
// than the one that is listed, while the list may be out of date. Such a process may have
// another software version.
func (r *activeRequest) checkProcess(ctx context.Context, server *deployment.Server) *verdict.Error {
	service := r.req.Snapshot.Config.Service(r.service)
	if !r.req.resumable() || r.relay.Processes == nil || service == nil || service.Engine == nil || server == nil {
		return nil
	}
	key := keyOfProcess(server)
	if !r.relay.processes.replaced(key) && (r.relay.Staleness == nil || r.relay.Staleness() <= listTrustedFor) {
		return nil
	}
	if !r.relay.processes.isReplaced(ctx, r.relay.Processes, server) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeBackendFailed, "%s is another process than the one that is listed", server.ID)
}
