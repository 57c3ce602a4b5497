package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// A request that must run once, sent twice at the same moment under one id, runs once, and
// neither copy is told that it has not run if it has. Servers refuse a third of what arrives. A
// request with the id of another one gets its own answer.
func TestOneIDTwiceAtTheSameMoment(t *testing.T) {
	const seed, requests = 1, 30
	random := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	runs := make(map[string]int)
	address := rawServer(t, func(_ int, conn net.Conn, r *http.Request) {
		id := r.Header.Get("Request")
		mu.Lock()
		refuses := random.IntN(3) == 0
		if !refuses {
			runs[id+r.URL.RawQuery]++
		}
		mu.Unlock()
		time.Sleep(300 * time.Millisecond) // the other copy arrives meanwhile
		status := "200 OK\r\nSigned: 1"
		if refuses {
			status = "503 Service Unavailable\r\nNot-Run: 1"
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(r.URL.RawQuery), r.URL.RawQuery)
	})
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", address), serverAt("b", address), serverAt("c", address))
	s.waitReady(t)
	send := func(n int) {
		id := fmt.Sprint("order-", n)
		queries := []string{"a", "a"}
		if n%3 == 2 {
			queries[1] = "b"
		}
		statuses := make([]int, len(queries))
		var together sync.WaitGroup
		for i, query := range queries {
			together.Go(func() {
				request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.settings.Gateway.HTTPAddress+"/x/1?"+query, strings.NewReader("order"))
				request.Host = "api.example"
				request.Header.Set("Request", id)
				request.Header.Set("Key", "good")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Error(err)
					return
				}
				defer response.Body.Close()
				body, _ := io.ReadAll(response.Body)
				if statuses[i] = response.StatusCode; response.StatusCode == http.StatusOK && string(body) != query {
					t.Errorf("%s: answer %q to %q", id, body, query)
				}
			})
		}
		together.Wait()
		mu.Lock()
		for i, query := range queries {
			if got := runs[id+query]; got > 1 || got == 1 && statuses[i] == http.StatusServiceUnavailable {
				t.Errorf("%s: %d runs, statuses %v", id, got, statuses)
			}
		}
		mu.Unlock()
	}
	var all sync.WaitGroup
	for n := range requests {
		all.Go(func() { send(n) })
	}
	all.Wait()
}
