package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["trial-large-bodies"] = largeBodies }

// anonymous returns the anonymous memory of a process in bytes.
func anonymous(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// largeBodies: many consumers come at once, with bodies as long as the manifest allows.
func largeBodies(dir string) {
	const memory = 134 << 20
	consumers := 24
	if n, err := strconv.Atoi(os.Getenv("CONSUMERS")); err == nil {
		consumers = n
	}
	size := 4194304
	if !trouble {
		size = 1700
	}
	s := newStore()
	s.put("op/config", manifest(1, nil))
	models := []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4"} {
		(&server{id: id, service: "lm-pool", store: s, stream: 20, gap: 40 * time.Millisecond, models: models, slots: 64}).start()
		(&server{id: id + "d", service: "desk-app", store: s, work: 15 * time.Millisecond}).start()
	}
	g := newGateways(dir, 1, s.listen)[0]
	g.start()
	g.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)

	// The platform kills a process that exceeds memory_mb, and starts it again.
	var kills atomic.Int64
	var peak atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			used := anonymous(g.cmd.Process.Pid)
			peak.Store(max(peak.Load(), used))
			if used > memory {
				note("%s uses %d MB, more than memory_mb; the platform kills it", g.name, used>>20)
				kills.Add(1)
				g.kill()
				time.Sleep(500 * time.Millisecond)
				g.start()
			}
		}
	})
	// Kept channels with ordinary drafts.
	var lost, answered atomic.Int64
	for c := range 12 {
		group.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				kept := conn != nil
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", g.front, time.Second); err != nil {
						conn = nil
						time.Sleep(100 * time.Millisecond)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("%08x%08x", 0xc0+c, i)
				conn.SetDeadline(time.Now().Add(12 * time.Second))
				fmt.Fprintf(conn, "POST /greet/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer %s\r\nModel: %s\r\nToken-Count: 826,58\r\nPrompt-Prefix: 5c1e0001:119,91bd0001:79,e44%05x:628\r\nContent-Length: 5\r\n\r\nhello", host, id, key, model, i)
				resp, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err != nil {
					if kept {
						lost.Add(1)
						note("consumer of %s: its kept channel is closed without a whole answer: %v", id, err)
					}
					conn.Close()
					conn = nil
					continue
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(3 * time.Second)
	note("%d consumers come at once, with bodies of %d bytes; the gateway uses %d MB", consumers, size, anonymous(g.cmd.Process.Pid)>>20)
	var large sync.WaitGroup
	for i := range consumers {
		large.Go(func() {
			r := &request{
				id: fmt.Sprintf("%016x", 0xf000+i), method: "POST", host: host, path: "/greet/2f", key: key, deadline: 12 * time.Second,
				header: map[string]string{"Model": model, "Token-Count": "826,58", "Prompt-Prefix": fmt.Sprintf("5c1e0000:119,91bd0000:79,e44%05x:628", i)},
				body:   bytes.Repeat([]byte("x"), size),
			}
			note("consumer of %s gets %v", r.id, send(g.front, r))
		})
	}
	large.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	note("peak %d MB; %d ordinary drafts answered", peak.Load()>>20, answered.Load())
	if kills.Load() > 0 && lost.Load() > 3 {
		broken("the gateway exceeded its memory %d times, and %d requests from kept channels that were passed on got no whole answer; peak %d MB", kills.Load(), lost.Load(), peak.Load()>>20)
	}
	held("the gateway exceeded its memory %d times; %d requests from kept channels were lost; peak %d MB", kills.Load(), lost.Load(), peak.Load()>>20)
}
