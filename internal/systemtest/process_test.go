package systemtest

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	stopTimeout = 30 * time.Second
	// startTimeout limits the start of a process, on a busy machine.
	startTimeout = 20 * time.Second
)

// process is a running daemon.
type process struct {
	name     string
	settings string // path of its INI file
	command  *exec.Cmd
	log      lockedBuffer
	exited   chan struct{}
	exitErr  error
	ended    bool // the test has ended the process
}

// lockedBuffer collects a process's log.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// newProcess starts a daemon with the given settings. It is killed when the test ends.
func newProcess(t *testing.T, name, settings string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, settings: path}
	p.start(t)
	t.Cleanup(func() {
		p.checkRunning(t)
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.log.String())
		}
	})
	return p
}

// start starts the process, or starts it again after it has exited.
func (p *process) start(t *testing.T) {
	t.Helper()
	p.ended = false
	p.command = exec.Command(daemonPath, "--config", p.settings)
	p.command.Stdout = &p.log
	p.command.Stderr = &p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		p.exitErr = command.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.ended = true
	}
	_ = p.command.Process.Signal(s)
}

// checkRunning fails the test if the process has exited although the test did not end it.
func (p *process) checkRunning(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		if !p.ended {
			t.Errorf("%s exited by itself: %v", p.name, p.exitErr)
		}
	default:
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// terminate sends SIGTERM to the process and waits until it has exited.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not stop within %v", p.name, stopTimeout)
	}
}
