package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["trial-stop"] = trialStop }

// trialStop: SIGTERM while many kept channels send, and while bodies come slowly.
func trialStop(dir string) {
	s := newStore()
	s.put("op/config", manifest(1, nil))
	models := []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	var servers []*server
	for _, id := range serverIDs[:4] {
		a := &server{id: id, service: "desk-app", store: s, work: 15 * time.Millisecond, quiet: true, slots: 50}
		a.start()
		b := &server{id: id + "m", service: "lm-pool", store: s, stream: 20, gap: 80 * time.Millisecond, models: models, slots: 64, quiet: true}
		b.start()
		servers = append(servers, a, b)
	}
	g := newGateways(dir, 1, s.listen)[0]
	g.start()
	g.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	type loss struct {
		id         string
		sent, ends time.Time
		begun      time.Time
		kind       string
		err        error
	}
	var losses []loss
	var termAt time.Time
	term := func() time.Time { mu.Lock(); defer mu.Unlock(); return termAt }
	var group sync.WaitGroup
	end := time.Now().Add(16 * time.Second)
	for c := range 300 {
		group.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for i := 0; time.Now().Before(end); i++ {
				time.Sleep(time.Duration(50+rand.IntN(3500)) * time.Millisecond)
				if conn == nil {
					if !term().IsZero() && time.Since(term()) > 2*time.Second {
						return // the platform gives it no new channels
					}
					var err error
					if conn, err = net.DialTimeout("tcp", g.front, time.Second); err != nil {
						conn = nil
						continue
					}
					reader = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("%08x%08x", 0x1000+c, i)
				kind, head, body, pause := "print", "", []byte("print a badge"), time.Duration(0)
				deadline := 1500
				path := "/print/2f"
				if c%3 == 0 {
					kind, path, deadline = "draft", "/greet/2f", 12000
					head = fmt.Sprintf("Model: %s\r\nToken-Count: 826,58\r\nPrompt-Prefix: 5c1e%04x:119,91bd%04x:79,e440%04x:628\r\n", model, c%7, c, c)
					if c%6 == 0 {
						kind = "slow draft"
						pause = time.Duration(rand.IntN(6000)) * time.Millisecond
					}
				}
				conn.SetDeadline(time.Now().Add(time.Duration(deadline) * time.Millisecond))
				begun := time.Now()
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", path, host, id, deadline, key, head, len(body), body[:5])
				time.Sleep(pause)
				conn.Write(body[5:])
				sent := time.Now()
				resp, err := http.ReadResponse(reader, nil)
				var data []byte
				if err == nil {
					data, err = io.ReadAll(resp.Body)
				}
				_ = data
				if err != nil {
					mu.Lock()
					losses = append(losses, loss{id, sent, time.Now(), begun, kind, err})
					mu.Unlock()
				}
				if err != nil || resp.Close {
					conn.Close()
					conn = nil
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	termAt = time.Now()
	mu.Unlock()
	g.signal(syscall.SIGTERM)
	group.Go(func() {
		<-g.exited
		note("%s has ended %v after SIGTERM", g.name, since(termAt))
	})
	group.Wait()
	ran := map[string]run{}
	for _, sv := range servers {
		for _, r := range sv.allRuns() {
			ran[r.id] = r
		}
	}
	counted := 0
	for _, l := range losses {
		r, passed := ran[l.id]
		late := l.ends.Sub(l.sent) > 200*time.Millisecond
		t := func(at time.Time) float64 { return at.Sub(termAt).Seconds() }
		note("%s %s: begun %.3f, sent whole %.3f, channel ends %.3f after SIGTERM; passed on: %v at %.3f; %v", l.kind, l.id, t(l.begun), t(l.sent), t(l.ends), passed, t(r.at), l.err)
		excused := t(l.sent) <= 3 && t(l.ends) >= 8*5.0/6
		if (passed || late) && !excused {
			counted++
		}
	}
	if counted > 0 {
		broken("%d requests lost in a planned stop", counted)
	}
	held("%d channels ended without an answer, none of them counts", len(losses))
}
