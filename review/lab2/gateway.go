package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// settings are the fields from which the platform fills in the template of a gateway, with the
// figures of the small deployment kopano-badges.
func settings(node, host, store string, ports [4]int, seeds []string) map[string]string {
	at := func(port int) string { return fmt.Sprintf("%s:%d", host, port) }
	values := map[string]string{
		"node": node, "zone": "jhb-north", "ip": host, "seeds": strings.Join(seeds, ","), "seeds.0": seeds[0],
		"listen.front": at(ports[0]), "listen.ready": at(ports[1]), "listen.control": at(ports[2]), "port_range.1": fmt.Sprint(ports[3]),
		"provider.address": store,
		"contracts":        "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform", "contracts.0": "base",
		"limits.memory_mb": "134", "limits.max_fds": "4100",
		"bounds.grace_s": "8", "bounds.version_ms": "12000", "bounds.lease_ms": "3000", "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_window_s": "10", "bounds.budget_slack": "54", "bounds.revoke_ms": "5000",
	}
	return values
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills in the template as the platform does: a section without a value is left out.
func fill(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string { return values[placeholder.FindStringSubmatch(text)[1]] })
}

// gateway is a process of the role that the deploy file starts on front machines.
type gateway struct {
	name, front, ready string
	file               string
	command            *exec.Cmd
	log                *os.File
	exited             chan struct{}
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// prepare writes the settings of n gateways.
func prepare(dir, store string, n int) []*gateway {
	template, err := os.ReadFile("deploy/gateway.ini")
	check(err)
	var gateways []*gateway
	var ports [][4]int
	var seeds []string
	for range n {
		p := [4]int{freePort(), freePort(), freePort(), freePort()}
		ports = append(ports, p)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", p[2]))
		}
	}
	for i := range n {
		name := fmt.Sprintf("front-jhb-north-%d", i+1)
		g := &gateway{name: name, file: filepath.Join(dir, name+".ini"), front: fmt.Sprintf("127.0.0.1:%d", ports[i][0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[i][1])}
		text := fill(string(template), settings(name, "127.0.0.1", store, ports[i], seeds))
		check(os.WriteFile(g.file, []byte(text), 0o600))
		gateways = append(gateways, g)
	}
	return gateways
}

// start starts the process with the command of the deploy file, in the repository's root.
func (g *gateway) start() {
	log, err := os.OpenFile(g.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	g.command = exec.Command("target/wasabigated")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WASABIGATE_SETTINGS=" + g.file}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(g.command.Start())
	exited := make(chan struct{})
	g.exited = exited
	command := g.command
	go func() { _ = command.Wait(); close(exited); log.Close() }()
}

func (g *gateway) signal(s os.Signal) { _ = g.command.Process.Signal(s) }

// isReady asks as the platform's balancer does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

func (g *gateway) stop() {
	if g.command == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	_ = g.command.Process.Kill()
	<-g.exited
}
