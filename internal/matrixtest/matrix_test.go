package matrixtest

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	// recoveryTimeout is the time within which the system serves requests again after
	// a fault.
	recoveryTimeout = 3 * time.Second
	// slots is the number of requests that a sidecar admits at once.
	slots = 8
	// floodCost is the cost of a request of the flood, in tokens. At probeRate, that
	// many tokens take longer to refill than a limiter waits.
	floodCost = 300
)

// noFaultReason returns why no fault can affect a request of a kind at a step,
// or "".
func noFaultReason(k kind, s step) string {
	switch {
	case s == stepRecord && k != kindOrder:
		return "nothing is recorded"
	case k != kindStream && (s == stepFirstFrame || s == stepMidStream):
		return "the response is one frame; see last frame"
	default:
		return ""
	}
}

// emptyReason returns why a cell of the matrix is empty, or "" if it is not.
func (f *fault) emptyReason(k kind, s step) string {
	if reason := noFaultReason(k, s); reason != "" || f.notApplicable == nil {
		return reason
	}
	return f.notApplicable(k, s)
}

// TestFaultMatrix injects each fault at each step of each kind of request.
func TestFaultMatrix(t *testing.T) {
	for i := range faults {
		f := &faults[i]
		for _, s := range steps {
			for _, k := range kinds {
				if f.emptyReason(k, s) != "" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%s", f.name, s, k), func(t *testing.T) {
					t.Parallel()
					runCell(t, k, injection{f, s})
				})
			}
		}
	}
}

// pairKinds are the kinds of requests that are tested with pairs of faults. A lookup
// takes the path of an order, without its record.
var pairKinds = []kind{kindStream, kindOrder}

// TestPairsOfFaults injects two faults into one request, among them the same fault
// twice.
func TestPairsOfFaults(t *testing.T) {
	for i := range faults {
		for j := range faults {
			for _, k := range pairKinds {
				injections, ok := pairOf(k, &faults[i], &faults[j])
				if !ok {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%s", faults[i].name, faults[j].name, k), func(t *testing.T) {
					t.Parallel()
					runCell(t, k, injections...)
				})
			}
		}
	}
}

// pairOf returns two faults at the first two steps at which they can occur.
func pairOf(k kind, first, second *fault) ([]injection, bool) {
	candidates := []step{stepDispatch, stepFirstFrame, stepMidStream, stepLastFrame, stepLimit, stepQueue}
	for _, a := range candidates {
		for _, b := range candidates {
			later := slices.Index(steps, b) > slices.Index(steps, a)
			if later && first.emptyReason(k, a) == "" && second.emptyReason(k, b) == "" {
				return []injection{{first, a}, {second, b}}, true
			}
		}
	}
	return nil, false
}

// injection is a fault at a step.
type injection struct {
	fault *fault
	step  step
}

// runCell sends a request during which faults are injected and checks the invariants.
func runCell(t *testing.T, k kind, injections ...injection) {
	want := faultFreeBody(t, k)
	queued := slices.ContainsFunc(injections, func(inj injection) bool { return inj.step == stepQueue })
	admitted := slots
	if queued {
		admitted = 1
	}
	cluster := newCluster(t, admitted)
	for _, inj := range injections {
		cluster.triggers = append(cluster.triggers, &trigger{step: inj.step, fault: inj.fault.inject})
	}
	c := &cell{t: t, cluster: cluster, kind: k, want: want, start: time.Now()}
	if queued {
		defer cluster.fillQueues(k)()
	}
	c.request()
	if len(injections) == 1 { // the first fault of a pair may end the request
		eventually(t, recoveryTimeout, fmt.Sprintf("the fault was injected; the last response was %s", c.last), cluster.triggers[0].fired.Load)
		mustSucceed := injections[0].fault.mustSucceed
		if c.completeCount == 0 && mustSucceed != nil && mustSucceed(k, injections[0].step) {
			t.Errorf("the caller did not get the complete response; the last was %s", c.last)
		}
	}
	cluster.disarm()
	cluster.repair()
	c.finish(cluster.injected(injections))
}

// injected returns the injections that took place: the first fault of a pair may end
// the request before the second one's step.
func (c *cluster) injected(injections []injection) []injection {
	var fired []injection
	for i, t := range c.triggers {
		if t.fired.Load() {
			fired = append(fired, injections[i])
		}
	}
	return fired
}

// cell is the run of one cell of the matrix.
type cell struct {
	t             *testing.T
	cluster       *cluster
	kind          kind
	want          string
	start         time.Time
	completeCount int // complete responses to the request under test
	last          *response
}

const (
	orderName = "order-1"
	// maxReconnects limits how often a caller sends a request.
	maxReconnects = 6
)

// request sends the request under test and retries it as a caller would: through the
// other router if its router was killed, and after a wait if it is over its rate
// limit.
func (c *cell) request() {
	cluster := c.cluster
	before, lastID := "", ""
	for i := range maxReconnects {
		resp := cluster.send(cluster.router(i%routerCount), newRequest(c.kind, cluster.key, orderName, lastID))
		c.check(resp, before)
		c.last = resp
		refused := resp.code == string(verdict.CodeRateLimited)
		if refused {
			time.Sleep(limitWait) // a restarted router's buckets are empty at first
		}
		if (!resp.routerKilled || resp.complete) && !refused {
			break
		}
		if resp.lastID != "" {
			before, lastID = before+resp.body, resp.lastID
		}
	}
	if c.kind == kindOrder {
		c.retry()
	}
}

// retry sends the order again through both routers at once.
func (c *cell) retry() {
	cluster := c.cluster
	responses := make([]*response, 2*routerCount)
	var callers sync.WaitGroup
	for i := range responses {
		callers.Go(func() {
			responses[i] = cluster.send(cluster.router(i%routerCount), newRequest(c.kind, cluster.key, orderName, ""))
		})
	}
	callers.Wait()
	for _, resp := range responses {
		c.check(resp, "")
	}
}

// check checks a response. before is the body received before a reconnection.
func (c *cell) check(resp *response, before string) {
	c.t.Helper()
	if resp.routerKilled && !resp.complete {
		if resp.lastID != "" && !strings.HasPrefix(c.want, before+resp.body) {
			c.t.Errorf("the body before the router was killed is %q, not the beginning of %q", before+resp.body, c.want)
		}
		return
	}
	switch {
	case resp.complete && before+resp.body != c.want:
		c.t.Errorf("the response is %q, want %q", before+resp.body, c.want)
	case resp.complete:
		c.completeCount++
	case resp.code == "" || resp.verdict == "":
		c.t.Errorf("neither complete nor an explicit error: %s", resp)
	case resp.status == http.StatusOK && !strings.HasPrefix(c.want, before+resp.body):
		c.t.Errorf("the failed stream %q is not the beginning of %q", before+resp.body, c.want)
	}
	if resp.verdict == "not-run" && c.cluster.received(resp.requestID) > 0 {
		c.t.Errorf("verdict not-run, but backend servers received it %d times: %s", c.cluster.received(resp.requestID), resp)
	}
}

// received returns how often backend servers received a request.
func (c *cluster) received(requestID string) int {
	total := 0
	for _, s := range c.servers() {
		total += s.received(requestID)
	}
	return total
}

// finish checks the invariants after the faults.
func (c *cell) finish(injections []injection) {
	cluster := c.cluster
	c.recover(slices.ContainsFunc(injections, func(inj injection) bool { return inj.fault.withdrawsKey }))
	for _, inj := range injections {
		if inj.fault.verify == nil {
			continue
		}
		if err := inj.fault.verify(cluster); err != nil {
			c.t.Errorf("%s: %v", inj.fault.name, err)
		}
	}
	if c.kind == kindOrder {
		c.checkOrder()
	}
	c.flood()
}

// recover checks that each router serves requests again within recoveryTimeout.
func (c *cell) recover(withdrawn bool) {
	cluster := c.cluster
	key := cluster.key
	if withdrawn {
		key = cluster.otherKey
	}
	for i := range routerCount {
		n := 0
		var last *response
		if !eventually(c.t, recoveryTimeout, fmt.Sprintf("router %d serves again", i), func() bool {
			n++
			last = cluster.send(cluster.router(i), newRequest(c.kind, key, fmt.Sprintf("again-%d-%d", i, n), ""))
			return last.complete && last.body == c.want
		}) {
			c.t.Logf("last response: %s", last)
		}
	}
}

// checkOrder checks that the order ran at most once, and exactly once if a response
// reported success.
func (c *cell) checkOrder() {
	ran := 0
	for _, s := range c.cluster.services {
		for _, execution := range s.service.Executions().All {
			if execution.Body == orderBody(orderName) {
				ran++
			}
		}
	}
	if ran > 1 || c.completeCount > 0 && ran == 0 {
		c.t.Errorf("the order ran %d times, with %d complete responses", ran, c.completeCount)
	}
}

// flood acquires tokens until both routers refuse, and checks the rate limit over
// the flood and over the whole run.
func (c *cell) flood() {
	cluster := c.cluster
	before, began := cluster.admissions.total(), time.Now()
	for i := range routerCount {
		limiter := countedLimiter{cluster.router(i).limiter, &cluster.admissions}
		for n := range 2 * probeBurst / floodCost {
			if _, err := limiter.Acquire(context.Background(), probeWorkspace, floodCost, fmt.Sprint("flood-", i, n)); err != nil {
				break
			}
		}
	}
	c.checkBound(cluster.admissions.total()-before, time.Since(began))
	c.checkBound(cluster.admissions.total(), time.Since(c.start.Add(-clusterStart)))
}

// clusterStart is the longest time that a cluster exists before its cell starts.
const clusterStart = time.Second

func (c *cell) checkBound(admitted int64, length time.Duration) {
	c.t.Helper()
	bound := probeBurst + int64(probeRate*length.Seconds())
	if admitted > bound {
		c.t.Errorf("%d tokens admitted in %v, bound %d", admitted, length, bound)
	}
}

var faultFree struct {
	sync.Mutex
	bodies map[kind]string
}

// faultFreeBody returns the body of the fault-free response to a kind of request.
func faultFreeBody(t *testing.T, k kind) string {
	t.Helper()
	faultFree.Lock()
	defer faultFree.Unlock()
	if body, ok := faultFree.bodies[k]; ok {
		return body
	}
	c := newCluster(t, slots)
	resp := c.send(c.router(0), newRequest(k, c.key, orderName, ""))
	if !resp.complete {
		t.Fatalf("fault-free %s: %s", k, resp)
	}
	if faultFree.bodies == nil {
		faultFree.bodies = make(map[kind]string)
	}
	faultFree.bodies[k] = resp.body
	return resp.body
}

func rawRequest(method, path, key, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	return r
}
