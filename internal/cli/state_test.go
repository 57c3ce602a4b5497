package cli

import (
	"testing"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

func gatewayNode(name string, silenceMs int64) *fakeNode {
	return &fakeNode{status: &wire.StatusReply{
		Name: name, Role: "gateway", Zone: "a", Environment: "trial", Revisions: &wire.Revisions{Document: 42},
		Belief: &wire.Belief{
			Position: 70, StoreSilenceMs: silenceMs, Leader: "g1", Gateways: 2,
			Wanted: []*wire.ModelWeights{{Model: "m", Version: 5}},
			Servers: []*wire.BelievedServer{
				{Id: "i-1", Service: "engines", Address: "10.0.0.1:1", Loading: true, Weights: []*wire.ModelWeights{{Model: "m", Version: 4}}},
				{Id: "i-2", Service: "desk", Address: "10.0.0.2:1", Suspect: true},
			},
		},
	}}
}

func TestStatusOfGateways(t *testing.T) {
	for _, c := range []struct {
		name      string
		silenceMs int64
		code      ExitCode
		wants     []string
	}{
		{"in touch", 300, ExitOK, []string{
			"g1 believes: position 70, heard 0.3 s ago, 2 gateways, wanted weights m/5", "loading", "m/4", "suspect",
		}},
		{"out of touch", 9000, ExitDegraded, []string{"last heard of the platform's store 9.0 s ago"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t)
			env.add(gatewayNode("g1", c.silenceMs), "gateways")
			for _, want := range c.wants {
				env.run("", "status").expect(c.code, want)
			}
		})
	}
}
