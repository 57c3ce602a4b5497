package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// lateVMList responds only after its caller's context has ended.
type lateVMList struct{}

func (lateVMList) VMs(ctx context.Context) ([]platform.VM, error) {
	<-ctx.Done()
	time.Sleep(time.Millisecond)
	return []platform.VM{{Name: "r1", Address: "r1", Group: platform.GroupRouters, State: platform.VMLive}}, nil
}

// A worker that is sending an event when the loop stops must not block Run from
// returning.
func TestRunEndsWhileAWorkerSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := NewLoop(Options{
			Settings: &config.Settings{
				Daemon:   config.DaemonSettings{Role: config.RoleRouter, RPCAddress: "r1"},
				Platform: config.PlatformSettings{Timeout: time.Hour},
			},
			KV:        kv.New(1),
			ConfigKey: configKey,
			VMs:       lateVMList{},
			Peers:     peerClient{&network{loops: make(map[string]*Loop), isolated: make(map[string]bool)}, "r1"},
			Codec:     codec(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			loop.Run(ctx)
			close(ended)
		}()
		time.Sleep(time.Second)
		cancel()
		select {
		case <-ended:
		case <-time.After(time.Minute):
			t.Fatal("Run has not returned a minute after its context ended")
		}
	})
}
