package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["ghost"] = ghost }

// ghost: six gateways, of which one doesn't watch the store itself. The others are killed at the
// same moment and start again; meanwhile a server leaves without reporting draining.
func ghost(dir string) {
	const (
		down      = 500 * time.Millisecond
		exitAfter = 8 * time.Second // the server serves so long after its entry was removed
		observe   = 12 * time.Second
	)
	s := newStore()
	s.put("op/config", manifest(1, nil))
	var servers []*server
	for _, id := range serverIDs[:3] {
		sv := &server{id: id, service: "desk-app", store: s, work: 60 * time.Millisecond}
		sv.start()
		servers = append(servers, sv)
	}
	gateways := newGateways(dir, 6, s.listen)
	for _, g := range gateways {
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady(10 * time.Second)
	}
	time.Sleep(6 * time.Second)
	before := map[string]int{}
	for _, g := range gateways {
		before[g.name] = s.watches(g.name)
	}
	time.Sleep(5 * time.Second)
	var reader *gateway // reads the others' state, and doesn't watch the store
	for _, g := range gateways {
		n := s.watches(g.name) - before[g.name]
		note("%s has made %d watch calls in 5 s", g.name, n)
		if n == 0 {
			reader = g
		}
	}
	if reader == nil {
		cannotRun("all gateways watch the store")
	}

	// Badge prints through the gateway that isn't disturbed, 20 a second.
	var sent, good atomic.Int64
	var group sync.WaitGroup
	stop := make(chan struct{})
	group.Go(func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			group.Go(func() {
				r := &request{id: fmt.Sprintf("%016x", 0xb000+i), method: "POST", host: host, path: "/print/2f", key: key, deadline: 1500 * time.Millisecond, body: []byte("print a badge")}
				sent.Add(1)
				a := send(reader.front, r)
				if a.status == 200 && a.whole {
					good.Add(1)
					return
				}
				note("consumer of %s, through %s, gets %v", r.id, reader.name, a)
			})
		}
	})
	time.Sleep(2 * time.Second)

	fresh := &server{id: serverIDs[3], service: "desk-app", store: s, work: 60 * time.Millisecond}
	fresh.start() // a release: the new server starts first
	time.Sleep(time.Second)
	if trouble {
		for _, g := range gateways {
			if g != reader {
				g.kill()
			}
		}
	}
	time.Sleep(50 * time.Millisecond)
	leaving := servers[0]
	for _, sv := range servers { // the one that the orders go to
		if len(sv.allRuns()) > len(leaving.allRuns()) {
			leaving = sv
		}
	}
	leaving.leave()
	acked := time.Now()
	note("the entry of server %s is removed; it never reports draining, and serves for %v", leaving.id, exitAfter)
	time.AfterFunc(exitAfter, leaving.stop)
	time.Sleep(down)
	if trouble {
		for _, g := range gateways {
			if g != reader {
				g.start()
			}
		}
	}
	time.Sleep(observe)
	close(stop)
	group.Wait()
	late, cut := 0, 0
	var last time.Duration
	for _, r := range leaving.allRuns() {
		if after := r.at.Sub(acked); after > drainMs*time.Millisecond {
			late++
			last = max(last, after)
			if r.ended.IsZero() {
				cut++
			}
		}
	}
	log, err := os.ReadFile(reader.output)
	check(err)
	gone := false
	for _, line := range strings.Split(string(log), "\n") {
		gone = gone || strings.Contains(line, leaving.id) && strings.Contains(line, "backend server gone")
	}
	note("%v after the removal, %s has logged that the server is gone: %v", since(acked), reader.name, gone)
	note("%d badge prints sent, %d answered", sent.Load(), good.Load())
	if late > 0 {
		broken("%d badge prints reached server %s later than drain_ms after it was gone, the last after %v; %d were running as it exited; %d of %d were answered", late, leaving.id, last.Round(time.Millisecond), cut, good.Load(), sent.Load())
	}
	held("no request reached a server later than drain_ms after it was gone; %d of %d were answered", good.Load(), sent.Load())
}
