package systemtest

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// untrustedMemory is the memory limit of a daemon, and the bound on its peak.
	untrustedMemory = 96 << 20
	untrustedHold   = 2 * time.Second
)

// peakMemory returns the largest resident memory of a daemon so far.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kib, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatalf("%s ended: %v", p.name, err)
	}
	return kib << 10
}

// crowd sends a head and a part of its body on many connections, which stay open, and checks
// that the daemon's memory stays within its limit.
func (p *process) crowd(t *testing.T, address string, clients int, head string, body []byte) {
	t.Helper()
	var sending sync.WaitGroup
	for range clients {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(untrustedHold)) // an error shows in the write
		sending.Go(func() {
			if _, err := conn.Write([]byte(head)); err == nil {
				_, _ = conn.Write(body) // ends when the daemon closes the connection
			}
		})
	}
	time.Sleep(untrustedHold)
	sending.Wait()
	peak := p.peakMemory(t)
	t.Logf("%s: peak %d MiB", p.name, peak>>20)
	if peak > untrustedMemory {
		t.Errorf("%s held %d MiB, bound %d MiB", p.name, peak>>20, untrustedMemory>>20)
	}
}

// Clients that send endless heads, or bodies that stop just short of their end, to a router or to
// a sidecar's RPC listener must not end the process, nor keep it from serving others.
func TestUntrustedClients(t *testing.T) {
	limit := fmt.Sprintf("memory_limit = %dB\n", untrustedMemory)
	s := start(t, plan{routers: 1, engines: 1, services: 1, router: limit, sidecar: limit})
	r, sidecar := s.routers[0], s.services[0].sidecar
	address := strings.TrimPrefix(r.url, "http://")
	r.crowd(t, address, 150, "GET /desk/lookup/1 HTTP/1.1\r\nHost: h\r\nX-Fill: ", make([]byte, 960<<10))
	r.crowd(t, address, 30, "POST /desk/orders HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n", make([]byte, 8<<20-64<<10))
	// One frame of an RPC message of 4 MiB, which lacks its end.
	sidecar.crowd(t, s.services[0].vm.Address, 40, "\x05\x01\x01\x80\x80\x80\x02", make([]byte, 4<<20-64<<10))
	var status int
	for range 20 {
		request, err := http.NewRequest(http.MethodGet, r.url+"/desk/lookup/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+s.key)
		response, err := s.caller.Do(request)
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		if status == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Errorf("an ordinary request is not served: status %d", status)
}
