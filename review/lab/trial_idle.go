package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["trial-idle-channels"] = idleChannels }

// limitFiles sets the number of descriptors that a process may have, as the platform does.
func limitFiles(pid, n int) {
	limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		cannotRun("prlimit: %v", errno)
	}
}

func openFiles(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// idleChannels: consumers open a new channel for each request and leave it open, idle for longer
// than idle_timeout_ms.
func idleChannels(dir string) {
	const (
		maxFiles = 4100
		perTick  = 3 // of 50 ms: 60 a second
		contact  = 3 * time.Second
	)
	s := newStore()
	s.put("op/config", manifest(1, nil))
	for _, id := range serverIDs[:3] {
		(&server{id: id, service: "desk-app", store: s, work: 15 * time.Millisecond, quiet: true, keepAlive: 15}).start()
	}
	g := newGateways(dir, 1, s.listen)[0]
	g.start()
	limitFiles(g.cmd.Process.Pid, maxFiles)
	g.awaitReady(10 * time.Second)
	time.Sleep(4 * time.Second)
	probe, err := net.Dial("tcp", g.ready) // the platform's channel for its questions
	check(err)
	probes := bufio.NewReader(probe)
	ready := func() bool {
		probe.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(probe, "GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
		resp, err := http.ReadResponse(probes, nil)
		if err != nil {
			return false
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == 200
	}

	// ask sends one lookup on a new channel, and returns the channel, or nil if there is no answer
	// with success within a second. It counts the answers of any status.
	var statuses sync.Map
	var lastTaken atomic.Int64 // when a new channel was last answered, since the start
	ask := func(i int) net.Conn {
		conn, err := net.DialTimeout("tcp", g.front, time.Second)
		if err != nil {
			return nil
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(conn, "GET /look/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n\r\n", i, host, i, key)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil {
			n, _ := statuses.LoadOrStore(resp.StatusCode, new(atomic.Int64))
			n.(*atomic.Int64).Add(1)
			lastTaken.Store(int64(time.Since(began)))
		}
		if err != nil || resp.StatusCode != 200 {
			conn.Close()
			return nil
		}
		return conn
	}
	var good, bad, reported atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	ticker := time.NewTicker(50 * time.Millisecond)
	var lastGood atomic.Int64
	for i := 0; time.Since(start) < 80*time.Second; i++ {
		<-ticker.C
		if i > 100 && time.Since(start)-time.Duration(lastGood.Load()) > 2*time.Second {
			break
		}
		for k := range perTick {
			group.Go(func() {
				conn := ask(i*perTick + k)
				if conn == nil {
					bad.Add(1)
					return
				}
				good.Add(1)
				lastGood.Store(int64(time.Since(start)))
				if trouble {
					onExit(func() { conn.Close() }) // left open and idle
				} else {
					conn.Close()
				}
			})
		}
		if sec := int64(time.Since(start).Seconds()); sec%5 == 0 && reported.Swap(sec) != sec {
			note("%d lookups answered, %d not; the gateway has %d descriptors, ready: %v", good.Load(), bad.Load(), openFiles(g.cmd.Process.Pid), ready())
		}
	}
	group.Wait()
	note("%d lookups answered, %d not; the gateway has %d descriptors", good.Load(), bad.Load(), openFiles(g.cmd.Process.Pid))

	// Ten consumers try new channels for contact_ms and more.
	var tried, taken atomic.Int64
	readyAll := true
	statuses.Clear()
	longest := time.Duration(0) // in which no new channel was taken
	end := time.Now().Add(15 * time.Second)
	for c := range 10 {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				tried.Add(1)
				if conn := ask(1<<20 + c<<10 + i); conn != nil {
					taken.Add(1)
					if !trouble {
						conn.Close()
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		r := ready()
		readyAll = readyAll && r
		longest = max(longest, time.Since(began)-time.Duration(lastTaken.Load()))
		note("ready: %v; %d of %d lookups on new channels answered, the last %v ago", r, taken.Load(), tried.Load(), (time.Since(began) - time.Duration(lastTaken.Load())).Round(time.Millisecond))
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	statuses.Range(func(status, n any) bool {
		note("answers with status %d: %d", status, n.(*atomic.Int64).Load())
		return true
	})
	if longest > contact && readyAll {
		broken("the gateway says that it is ready, and took no new channel for %v, while ten consumers tried; %d of %d lookups were answered with success; it holds %d descriptors", longest.Round(time.Millisecond), taken.Load(), tried.Load(), openFiles(g.cmd.Process.Pid))
	}
	held("%d of %d lookups on new channels were answered with success; no new channel taken for at most %v; ready: %v", taken.Load(), tried.Load(), longest.Round(time.Millisecond), readyAll)
}
