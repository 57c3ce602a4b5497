package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

const (
	deadlyBody = "print badge 0"
	deadlyPath = "/x/1"
	// crashesOfRequest is the users' bound: requests that crash servers must not reach
	// more than maxLateCrashing servers later than blameTime after the third has ended.
	crashesOfRequest = 3
)

// Repeats of one request that crashes the servers that begin it stop reaching servers, for
// each kind of request, also if servers end before they respond and beside streams that have
// just begun. Sound requests of the same caller with its path, its body or its prompt are
// served, and one that starts later learns of the blame.
func TestRequestThatCrashesServers(t *testing.T) {
	for _, test := range []struct {
		name  string
		kind  deployment.Kind
		every int
		early bool
		pause time.Duration
	}{
		{"idempotent", deployment.Idempotent, 4, false, 10 * time.Millisecond},
		{"at most once", deployment.AtMostOnce, 4, false, 10 * time.Millisecond},
		{"stream", deployment.Stream, 4, false, 10 * time.Millisecond},
		{"stream beside young ones", deployment.Stream, 12, true, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			checkDeadlyRequest(t, test.kind, test.every, func(e *engines) { e.early, e.pause = test.early, test.pause })
		})
	}
}

// checkDeadlyRequest sends the deadly request as each one in every requests, and checks
// that few reach servers late.
func checkDeadlyRequest(t *testing.T, kind deployment.Kind, every int, change func(*engines)) {
	t.Helper()
	store := &memoryStore{}
	e := startEngines(t, store, 4)
	change(e)
	e.deadly = func(r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		return err == nil && string(body) == deadlyBody && r.URL.Path == deadlyPath
	}
	c := testConfig(1, kind)
	c.Workspaces[0].Rate, c.Workspaces[0].Burst = 0, 0
	store.set(c, e.listed...)
	gateways := []*system{startGateway(t, store, "g1"), startGateway(t, store, "g2")}
	for _, g := range gateways {
		g.waitReady(t)
	}
	parts := ""
	if kind == deployment.Stream {
		parts = "rules own"
	}
	sendRepeats(gateways, parts, every, 2*blameTime)
	gateways = append(gateways, startGateway(t, store, "g3"))
	gateways[2].waitReady(t)
	served := sendRepeats(gateways, parts, every, blameTime)
	ended, late := e.lateCrashing(crashesOfRequest)
	if ended == 0 {
		t.Fatal("no server has ended: the request crashes none")
	}
	if late > maxLateCrashing {
		t.Errorf("the request reached servers %d times later than %v after %d had ended, %d ended in all; allowed %d",
			late, blameTime, crashesOfRequest, ended, maxLateCrashing)
	}
	for name, counts := range served {
		if name != "deadly" && counts[http.StatusOK] < total(counts)*9/10 {
			t.Errorf("%s: %d of %d served: %v", name, counts[http.StatusOK], total(counts), counts)
		}
	}
}

// sendRepeats sends the deadly request, as each one in every, and sound ones to random
// gateways for a time, and returns the number of responses by name and status.
func sendRepeats(gateways []*system, parts string, every int, length time.Duration) map[string]map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[string]map[int]int)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	ticker := time.NewTicker(30 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		name, path, body := "same path", deadlyPath, fmt.Sprint("print badge ", n+1)
		switch n % every {
		case 0:
			name, body = "deadly", deadlyBody
		case 1:
			name, path, body = "same body", "/x/2", deadlyBody
		}
		g := gateways[rand.IntN(len(gateways))]
		group.Go(func() {
			status := g.call(fmt.Sprint("r", n), path, body, parts)
			mu.Lock()
			defer mu.Unlock()
			if statuses[name] == nil {
				statuses[name] = make(map[int]int)
			}
			statuses[name][status]++
		})
	}
	group.Wait()
	return statuses
}
