package matrixtest

import (
	"net/http"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// awaitServing waits until the sidecars respond over their links.
func (c *cluster) awaitServing(servers ...*server) {
	c.t.Helper()
	dialer := rpc.NewDialer(nil)
	defer dialer.Close()
	for _, s := range servers {
		eventually(c.t, recoveryTimeout, s.vm.Name+" responds", func() bool {
			_, err := wire.NewDRPCBackendClient(dialer.Conn(c.ctx, s.vm.Address)).GetLoad(c.ctx, &wire.LoadRequest{})
			return err == nil
		})
	}
}

// fillQueues occupies the slots of all sidecars of a kind's group. Once the
// request under test is queued, the faults of stepQueue are injected, and then the
// slots are freed. wait waits until the requests that occupied them have finished.
func (c *cluster) fillQueues(k kind) (wait func()) {
	group := c.services
	if k == kindStream {
		group = c.engines
	}
	dialer := rpc.NewDialer(nil)
	var blockers sync.WaitGroup
	releases := make([]func(), 0, len(group))
	for _, s := range group {
		releases = append(releases, s.blockOtherJobs())
		blockers.Go(func() { c.sendBlocker(dialer, s, k) })
		eventually(c.t, recoveryTimeout, s.vm.Name+" is busy", func() bool { return s.sidecar.Load().GetRunning() > 0 })
	}
	blockers.Go(func() {
		c.awaitQueued(group)
		for _, release := range releases {
			release()
		}
	})
	return func() {
		blockers.Wait()
		_ = dialer.Close()
	}
}

// awaitQueued waits until a request is queued and injects the faults of
// stepQueue.
func (c *cluster) awaitQueued(group []*server) {
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, s := range group {
			if s.sidecar.QueueStatus().GetUrgent()+s.sidecar.QueueStatus().GetDeferrable() > 0 {
				c.trigger(stepQueue, location{server: s})
				return
			}
		}
	}
}

// sendBlocker sends a request of the other workspace, which occupies its slot.
func (c *cluster) sendBlocker(dialer *rpc.Dialer, s *server, k kind) {
	req := &wire.ExecuteRequest{
		RequestId: "blocker-" + s.vm.Name, Attempt: 1, Workspace: "south", KeyId: "south-1",
		Route: "lookup", PatienceMs: recoveryTimeout.Milliseconds(),
		Call: &wire.Call{Method: http.MethodGet, Path: "/lookup/1"},
	}
	if k == kindStream {
		req.Route, req.Call = "completions", nil
		req.Generation = &wire.Generation{Model: modelName, WeightsVersion: weights, Prompt: "hold", MaxTokens: 1}
	}
	stream, err := wire.NewDRPCBackendClient(dialer.Conn(c.ctx, s.vm.Address)).Execute(c.ctx, req)
	for err == nil {
		_, err = stream.Recv()
	}
}
