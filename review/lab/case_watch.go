package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cut-watch"] = cutWatch }

// cutWatch: the store cuts the watches that wait, once. A second later a server leaves without
// reporting draining.
func cutWatch(dir string) {
	n, cutAfter, leaveAfter := 4, 1200*time.Millisecond, 1350*time.Millisecond
	if v, err := strconv.Atoi(os.Getenv("GATEWAYS")); err == nil {
		n = v
	}
	for name, d := range map[string]*time.Duration{"CUT_AFTER": &cutAfter, "LEAVE_AFTER": &leaveAfter} { // to compare
		if v, err := time.ParseDuration(os.Getenv(name)); err == nil {
			*d = v
		}
	}
	const exitAfter = 2400 * time.Millisecond // the server serves so long after its entry was removed
	s := newStore()
	s.put("op/config", manifest(1, nil))
	var servers []*server
	for _, id := range serverIDs[:3] {
		sv := &server{id: id, service: "desk-app", store: s, work: 60 * time.Millisecond}
		sv.start()
		servers = append(servers, sv)
	}
	gateways := newGateways(dir, n, s.listen)
	for _, g := range gateways {
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady(10 * time.Second)
	}
	time.Sleep(6 * time.Second)

	// Badge prints, 20 a second through each gateway.
	var sent, good, failed atomic.Int64
	var group sync.WaitGroup
	stop := make(chan struct{})
	for k, g := range gateways {
		group.Go(func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				group.Go(func() {
					r := &request{id: fmt.Sprintf("%08x%08x", 0xb0+k, i), method: "POST", host: host, path: "/print/2f", key: key, deadline: 1500 * time.Millisecond, body: []byte("print a badge")}
					sent.Add(1)
					a := send(g.front, r)
					if a.status == 200 && a.whole {
						good.Add(1)
						return
					}
					failed.Add(1)
					note("consumer of %s, through %s, gets %v", r.id, g.name, a)
				})
			}
		})
	}
	fresh := &server{id: serverIDs[3], service: "desk-app", store: s, work: 60 * time.Millisecond}
	fresh.start() // a release: the new server starts first
	time.Sleep(3 * time.Second)
	for { // the store is quiet: all gateways' watches wait for a change
		if waited, waiting := s.waits(); waiting == n && waited >= cutAfter {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		s.cutWatches()
		note("the store cuts the watches that wait")
	}
	time.Sleep(leaveAfter)
	leaving := servers[0]
	for _, sv := range servers { // the one that most orders go to
		if len(sv.allRuns()) > len(leaving.allRuns()) {
			leaving = sv
		}
	}
	leaving.leave()
	acked := time.Now()
	note("the entry of server %s is removed; it never reports draining, and serves for %v", leaving.id, exitAfter)
	time.AfterFunc(exitAfter, leaving.stop)
	time.Sleep(5 * time.Second)
	close(stop)
	group.Wait()
	late, cut := 0, 0
	var last time.Duration
	through := map[string]bool{} // gateways, as the ids of their requests begin
	for _, r := range leaving.allRuns() {
		after := r.at.Sub(acked)
		if after > drainMs*time.Millisecond {
			late++
			last = max(last, after)
			through[r.id[:8]] = true
		}
		if after > 0 && r.ended.IsZero() {
			cut++
		}
	}
	note("%d of %d gateways sent a badge print there so late", len(through), n)
	note("%d badge prints sent, %d answered with success", sent.Load(), good.Load())
	if late > 0 {
		broken("%d badge prints reached server %s later than drain_ms after it was gone, the last after %v; %d were running as it exited; %d of %d were answered", late, leaving.id, last.Round(time.Millisecond), cut, good.Load(), sent.Load())
	}
	held("no request reached a server later than drain_ms after it was gone; %d were running as it exited; %d of %d were answered", cut, good.Load(), sent.Load())
}
