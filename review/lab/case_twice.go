package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["lost-answer"] = lostAnswer }

// lostAnswer: consumers place orders without a body, whose Idempotency-Key header is empty. One
// of two servers loses the answer of one order in twenty that it runs.
func lostAnswer(dir string) {
	const orders, consumers = 600, 6
	s := newStore()
	s.put("op/config", manifest(1, nil))
	var servers []*server
	for i, id := range serverIDs[:2] {
		sv := &server{id: id, service: "desk-app", store: s, work: 15 * time.Millisecond}
		if trouble && i == 0 {
			sv.lose = func(n int) bool { return n%20 == 19 }
		}
		sv.start()
		servers = append(servers, sv)
	}
	g := newGateways(dir, 1, s.listen)[0]
	g.start()
	g.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)

	header := map[string]string{"Idempotency-Key": ""}
	switch os.Getenv("HEADER") { // to compare
	case "none":
		header = nil
	case "set":
		header = map[string]string{"Idempotency-Key": "k1"}
	}
	answers := map[string]answer{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for c := range consumers {
		group.Go(func() {
			for i := range orders / consumers {
				r := &request{
					id: fmt.Sprintf("%08x%08x", 0xe0+c, i), method: http.MethodPost, host: host, path: fmt.Sprintf("/print/badge/%d/%d", c, i), key: key,
					deadline: 1500 * time.Millisecond, header: header,
				}
				a := send(g.front, r)
				mu.Lock()
				answers[r.id] = a
				mu.Unlock()
				note("consumer of %s gets %v", r.id, a)
			}
		})
	}
	group.Wait()
	runs := map[string]int{}
	for _, sv := range servers {
		for _, r := range sv.allRuns() {
			runs[r.id]++
		}
	}
	twice, good := 0, 0
	for id, a := range answers {
		if a.status == 200 && a.whole {
			good++
		}
		if runs[id] > 1 {
			twice++
			note("%s ran %d times; its consumer got %v", id, runs[id], a)
		}
	}
	if twice > 0 {
		broken("%d of %d orders ran more than once; %d were answered with success", twice, orders, good)
	}
	held("no order ran more than once; %d of %d were answered with success", good, orders)
}
