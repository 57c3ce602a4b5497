package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the role 'gateway' of the deploy file, with the settings of a
// machine of kopano-badges.
type gateway struct {
	name     string
	front    string // address for consumers
	ready    string
	control  string
	settings string
	output   string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// loopback is the address of this run's gateways, so that runs beside each other don't meet.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&127, os.Getpid()&255)

// freePorts returns n ports of loopback that were free a moment ago, below the range from which
// the system takes ports by itself.
func freePorts(n int) []int {
	var ports []int
	for len(ports) < n {
		port := 20000 + rand.IntN(10000)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port))
		if err != nil || slices.Contains(ports, port) {
			continue
		}
		l.Close()
		ports = append(ports, port)
	}
	return ports
}

// newGateways prepares n gateways with the store at the addresses that storeAt returns. Their
// seeds are the control addresses of the first three.
func newGateways(dir string, n int, storeAt func(name string) string) []*gateway {
	ports := freePorts(4 * n)
	address := func(port int) string { return fmt.Sprintf("%s:%d", loopback, port) }
	var gateways []*gateway
	var seeds []any
	for i := range n {
		if i < 3 {
			seeds = append(seeds, address(ports[4*i+2]))
		}
	}
	template, err := os.ReadFile("deploy/gateway.ini")
	check(err)
	for i := range n {
		p := ports[4*i:]
		g := &gateway{name: fmt.Sprintf("front-jhb-north-%d", i+1), front: address(p[0]), ready: address(p[1]), control: address(p[2])}
		text := render(string(template), map[string]any{
			"node": g.name, "zone": "jhb-north", "ip": loopback, "seeds": seeds,
			"port_range": []any{p[3], p[3]},
			"listen":     map[string]any{"front": g.front, "ready": g.ready, "control": g.control},
			"limits":     map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 134, "max_fds": 4100},
			"provider":   map[string]any{"address": storeAt(g.name)},
			"bounds": map[string]any{
				"grace_s": 8, "version_ms": 12000, "lease_ms": 3000, "retry_budget_ratio": 0.2,
				"budget_window_s": 10, "budget_slack": 54, "revoke_ms": 5000, "fail_closed": false,
			},
		})
		g.settings = filepath.Join(dir, g.name+".ini")
		g.output = filepath.Join(dir, g.name+".log")
		check(os.WriteFile(g.settings, []byte(text), 0o600))
		gateways = append(gateways, g)
	}
	return gateways
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	out, err := os.OpenFile(g.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	g.cmd = exec.Command("target/wasabigated")
	g.cmd.Env = []string{"WASABIGATE_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	endMu.Lock() // so that an end of the case doesn't miss the process
	err = g.cmd.Start()
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	if err == nil {
		atEnd = append(atEnd, func() { cmd.Process.Kill(); <-exited })
	}
	endMu.Unlock()
	check(err)
	go func() {
		cmd.Wait()
		out.Close()
		close(exited)
	}()
	note("%s starts as process %d, for consumers at %s", g.name, cmd.Process.Pid, g.front)
}

func (g *gateway) kill() {
	note("%s gets SIGKILL", g.name)
	g.cmd.Process.Kill()
	<-g.exited
}

func (g *gateway) signal(s syscall.Signal) {
	note("%s gets %v", g.name, s)
	g.cmd.Process.Signal(s)
}

// isReady asks the process whether it is ready, as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (g *gateway) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	cannotRun("%s isn't ready after %v:\n%s", g.name, limit, tail(g.output))
}

func tail(path string) string {
	data, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}
