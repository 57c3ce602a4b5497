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

// lateVMList answers a read only when its caller has given up.
type lateVMList struct{}

func (lateVMList) VMs(ctx context.Context) ([]platform.VM, error) {
	<-ctx.Done()
	time.Sleep(time.Millisecond)
	return []platform.VM{{Name: "r1", Address: "r1", Group: platform.GroupRouters, State: platform.VMLive}}, nil
}

// A worker that has something to tell when the loop stops must not keep it from
// ending.
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
			t.Fatal("the loop has not ended a minute after its context")
		}
	})
}
