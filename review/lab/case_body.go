package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["slow-body"] = slowBody }

// slowBody: consumers send the bodies of greeting drafts over slow links. While they do, one of
// the eight model servers reports that it is draining.
func slowBody(dir string) {
	const (
		consumers = 24
		pause     = 2600 * time.Millisecond // between the halves of a body
		exitAfter = 3200 * time.Millisecond // the draining server exits so long after its report
	)
	s := newStore()
	s.put("op/config", manifest(1, nil))
	models := []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	var servers []*server
	for _, id := range serverIDs {
		sv := &server{id: id, service: "lm-pool", store: s, stream: 20, gap: 40 * time.Millisecond, models: models, slots: 64}
		sv.start()
		servers = append(servers, sv)
	}
	g := newGateways(dir, 1, s.listen)[0]
	g.start()
	g.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second) // longer than contact_ms: the machine is in touch

	draft := func(i int, pause time.Duration) *request {
		return &request{
			id: fmt.Sprintf("%016x", 0xd0+i), method: "POST", host: host, path: "/greet/2f", key: key, deadline: 12 * time.Second, pause: pause,
			header: map[string]string{"Model": model, "Token-Count": "826,58", "Prompt-Prefix": fmt.Sprintf("5c1e%04x:119,91bd%04x:79,e440%04x:628", i%3, i%consumers, i)},
			body:   bytes.Repeat([]byte("x"), 1700),
		}
	}
	for i := range consumers {
		if a := send(g.front, draft(consumers+i, 0)); a.status != 200 || !a.whole {
			cannotRun("a first request: %v", a)
		}
	}
	leaving := servers[0] // the one that most prompts have their home at
	for _, sv := range servers {
		if len(sv.allRuns()) > len(leaving.allRuns()) {
			leaving = sv
		}
	}
	answers := make([]answer, consumers)
	var group sync.WaitGroup
	for i := range consumers {
		group.Go(func() {
			r := draft(i, pause)
			note("consumer sends the head and half of the body of %s, the rest %v later", r.id, pause)
			answers[i] = send(g.front, r)
			note("consumer of %s gets %v", r.id, answers[i])
		})
	}
	time.Sleep(100 * time.Millisecond)
	var acked time.Time
	if trouble {
		leaving.announce("draining")
		acked = time.Now()
		note("server %s reports draining, the store has acknowledged it", leaving.id)
		time.AfterFunc(exitAfter, leaving.stop)
	}
	group.Wait()
	late, lost := 0, 0
	if trouble {
		for _, r := range leaving.allRuns() {
			if after := r.at.Sub(acked); after > drainMs*time.Millisecond {
				late++
				note("%s reached server %s %d ms after the ack of its draining", r.id, leaving.id, after.Milliseconds())
				if r.ended.IsZero() {
					lost++
				}
			}
		}
	}
	good := 0
	for _, a := range answers {
		if a.status == 200 && a.whole {
			good++
		}
	}
	if late > 0 {
		broken("%d of %d requests reached a server later than drain_ms after the ack of its draining, %d of them were cut as it left; %d got a whole answer", late, consumers, lost, good)
	}
	if good < consumers {
		broken("only %d of %d requests got a whole answer", good, consumers)
	}
	held("no request reached a server later than drain_ms after it left; %d of %d got a whole answer", good, consumers)
}
