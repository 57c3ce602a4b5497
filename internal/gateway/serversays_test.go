package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/retrybudget"
)

const (
	// drainTime and pauseSlack are the users' bounds: the time after which a server that
	// leaves gets no request, and that after which one that wants none gets two at most.
	drainTime  = 2 * time.Second
	pauseSlack = 500 * time.Millisecond
)

// saying is a server's answer to every request.
type saying struct {
	leaving    bool
	refuses    bool
	retryAfter string
}

// talkingServer is a backend server whose answers say something of it. Its arrivals are
// recorded by the gateway that sent them.
type talkingServer struct {
	address string

	mu       sync.Mutex
	says     saying
	arrivals map[string][]time.Time // by gateway
	answered map[string]time.Time   // by gateway, when it was first told what the server says
}

func newTalkingServer(t *testing.T) *talkingServer {
	v := &talkingServer{arrivals: make(map[string][]time.Time), answered: make(map[string]time.Time)}
	server := httptest.NewServer(v)
	t.Cleanup(server.Close)
	v.address = server.Listener.Addr().String()
	return v
}

// say changes what the server says.
func (v *talkingServer) say(says saying) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.says = says
	clear(v.answered)
	clear(v.arrivals)
}

// ServeHTTP implements http.Handler. The id of a request begins with its gateway's name.
func (v *talkingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request")
	gateway, _, _ := strings.Cut(id, "-")
	v.mu.Lock()
	says := v.says
	v.arrivals[gateway] = append(v.arrivals[gateway], time.Now())
	if v.answered[gateway].IsZero() {
		v.answered[gateway] = time.Now()
	}
	v.mu.Unlock()
	w.Header().Set("Request", id)
	if says.leaving {
		w.Header().Set("Leaving", "1")
	}
	if !says.refuses {
		w.Header().Set("Signed", "1")
		time.Sleep(5 * time.Millisecond)
		return
	}
	w.Header().Set("Not-Run", "1")
	if says.retryAfter != "" {
		w.Header().Set("Retry-After", says.retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// late returns the number of requests of a gateway from a time after the first answer to it on.
func (v *talkingServer) late(gateway string, after time.Duration) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, at := range v.arrivals[gateway] {
		if at.After(v.answered[gateway].Add(after)) {
			n++
		}
	}
	return n
}

func (v *talkingServer) total() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, arrivals := range v.arrivals {
		n += len(arrivals)
	}
	return n
}

// trial is four gateways before three servers of one service, all listed as ready.
type trial struct {
	gateways []*system
	servers  []*talkingServer
}

func newTrial(t *testing.T, kind deployment.Kind, attempts int) *trial {
	tr := &trial{}
	store := &memoryStore{}
	var listed []*deployment.Server
	for i := range 3 {
		v := newTalkingServer(t)
		tr.servers = append(tr.servers, v)
		server := serverAt(fmt.Sprint("s", i), v.address)
		server.Incarnation = 1
		listed = append(listed, server)
	}
	config := testConfig(1, kind)
	config.Routes[0].MaxAttempts = attempts
	config.Workspaces[0].Rate, config.Workspaces[0].Burst = 100_000, 100_000
	store.set(config, listed...)
	for i := range 4 {
		tr.gateways = append(tr.gateways, startGateway(t, store, fmt.Sprint("g", i)))
	}
	t.Cleanup(func() { // runs before those of the gateways, which wait for the end of each
		for _, g := range tr.gateways {
			g.stop()
		}
	})
	for _, g := range tr.gateways {
		g.waitReady(t)
	}
	return tr
}

// run sends 100 requests a second through the gateways in turn, and returns the number of
// requests with each status.
func (tr *trial) run(t *testing.T, length time.Duration) map[int]int {
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for n := range int(length / (10 * time.Millisecond)) {
		g := tr.gateways[n%len(tr.gateways)]
		group.Go(func() {
			status := g.sendWithID(t, g.settings.Daemon.Name+"-"+strconv.Itoa(n))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return statuses
}

// A server says in all its answers that it leaves, though the store lists it as ready. It gets
// no request later than drainTime after a gateway's first such answer.
func TestServerThatSaysThatItLeaves(t *testing.T) {
	tr := newTrial(t, deployment.AtMostOnce, 1)
	tr.servers[0].say(saying{leaving: true})
	statuses := tr.run(t, 4*time.Second)
	for _, g := range tr.gateways {
		if late := tr.servers[0].late(g.settings.Daemon.Name, drainTime); late > 0 {
			t.Errorf("%d requests of %s reached the leaving server too late", late, g.settings.Daemon.Name)
		}
	}
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want only answers", statuses)
	}
	// It says so no longer, and the gateways learn nothing new: it still leaves.
	tr.servers[0].say(saying{})
	tr.run(t, time.Second)
	if n := tr.servers[0].total(); n > 0 {
		t.Errorf("%d requests reached the leaving server after it stopped saying so", n)
	}
	// Another process of the server does not leave.
	store := tr.gateways[0].store
	restarted := serverAt("s0", tr.servers[0].address)
	restarted.Incarnation = 2
	store.setServers([]*deployment.Server{restarted, store.servers[1], store.servers[2]})
	time.Sleep(time.Second)
	tr.run(t, time.Second)
	if tr.servers[0].total() == 0 {
		t.Error("no request reached the server's next process")
	}
}

// A server refuses every request and names a time. A gateway sends it two requests at most
// within that time, and the requests go to the other servers.
func TestServerThatWantsNothingForATime(t *testing.T) {
	const period = 4 * time.Second
	tr := newTrial(t, deployment.AtMostOnce, 1)
	tr.servers[0].say(saying{refuses: true, retryAfter: "4"})
	const length = 9 * time.Second
	statuses := tr.run(t, length)
	periods := int(length/period) + 1
	for _, g := range tr.gateways {
		if late := tr.servers[0].late(g.settings.Daemon.Name, pauseSlack); late > 2*periods {
			t.Errorf("%d requests of %s reached the server in %d periods", late, g.settings.Daemon.Name, periods)
		}
	}
	const inFirstHalfSecond = 50
	lost := int(length/(10*time.Millisecond)) - statuses[http.StatusOK]
	if allowed := inFirstHalfSecond + 2*periods*len(tr.gateways); lost > allowed {
		t.Errorf("%d requests were not answered, allowed %d: %v", lost, allowed, statuses)
	}
}

// A server refuses every request and names no time. At most a tenth of the requests of an even
// split are lost over ten seconds, and the server is used again soon after its recovery.
func TestServerThatRefuses(t *testing.T) {
	tr := newTrial(t, deployment.AtMostOnce, 1)
	tr.servers[0].say(saying{refuses: true})
	statuses := tr.run(t, 10*time.Second)
	if lost := 1000 - statuses[http.StatusOK]; lost > 1000/3/10 {
		t.Errorf("%d requests were not answered, allowed %d: %v", lost, 1000/3/10, statuses)
	}
	tr.servers[0].say(saying{})
	tr.run(t, 4*time.Second)
	for _, g := range tr.gateways {
		if n := len(tr.servers[0].arrivals[g.settings.Daemon.Name]); n == 0 {
			t.Errorf("%d requests of %s reached the server within 4 s of its recovery", n, g.settings.Daemon.Name)
		}
	}
}

// Where a route allows further attempts, all requests are answered.
func TestServersThatRefuseWithFurtherAttempts(t *testing.T) {
	tr := newTrial(t, deployment.AtMostOnce, 3)
	for _, g := range tr.gateways {
		g.gateway.budget.SetBound(retrybudget.Bound{}, time.Now())
	}
	tr.servers[0].say(saying{refuses: true, retryAfter: "0.2"})
	tr.servers[1].say(saying{refuses: true})
	if statuses := tr.run(t, 3*time.Second); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses %v, want only answers", statuses)
	}
}

// If no server of a service wants requests, they are rejected at once as not run, with the
// earliest time at which one wants them again.
func TestNoServerWantsRequests(t *testing.T) {
	tr := newTrial(t, deployment.AtMostOnce, 3)
	for i, v := range tr.servers {
		v.say(saying{refuses: true, retryAfter: strconv.Itoa(3 + i)})
	}
	tr.run(t, 500*time.Millisecond)
	begun := time.Now()
	response := tr.gateways[0].send(t, http.MethodPost, "/x/1", "good", "")
	took := time.Since(begun)
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.StatusCode != http.StatusServiceUnavailable || took > 100*time.Millisecond || err != nil || wait < 1.5 || wait > 3 {
		t.Errorf("status %d after %v, Retry-After %q, want a refusal at once and 2 to 3 s", response.StatusCode, took, response.Header.Get("Retry-After"))
	}
}
