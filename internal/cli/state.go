package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxStaleness is the age above which a gateway's cached state is a problem:
// twice the longest regular time between two responses of the store.
const maxStaleness = 2 * follower.MaxPollInterval

// cachedState is a gateway's view of the deployment, cached from the platform's store.
type cachedState struct {
	Position         uint64         `json:"position"` // of the platform's store, in its era
	StoreEra         uint64         `json:"store_era"`
	StalenessSeconds float64        `json:"store_silence_seconds"`
	Leader           string         `json:"leader,omitempty"`
	Gateways         uint32         `json:"gateways"`
	TargetVersions   []modelWeights `json:"wanted_weights"`
	Servers          []serverState  `json:"servers"`
}

// modelWeights is a version of a model's weights.
type modelWeights struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// serverState is a backend server in a gateway's cached state.
type serverState struct {
	ID               string         `json:"id"`
	Service          string         `json:"service"`
	Address          string         `json:"address"`
	AvailabilityZone string         `json:"availability_zone"`
	Draining         bool           `json:"draining"`
	Loading          bool           `json:"loading"`
	Suspect          bool           `json:"suspect"`
	Running          uint32         `json:"running"`
	FailureRate      float64        `json:"failure_rate"`
	Weights          []modelWeights `json:"weights"`
}

func newCachedState(reply *wire.Belief) *cachedState {
	state := &cachedState{
		Position:         reply.Position,
		StoreEra:         reply.StoreEra,
		StalenessSeconds: seconds(reply.StoreSilenceMs),
		Leader:           reply.Leader,
		Gateways:         reply.Gateways,
		TargetVersions:   newModelWeights(reply.Wanted),
		Servers:          []serverState{},
	}
	for _, server := range reply.Servers {
		state.Servers = append(state.Servers, serverState{
			ID: server.Id, Service: server.Service, Address: server.Address, AvailabilityZone: server.Zone,
			Draining: server.Draining, Loading: server.Loading, Suspect: server.Suspect,
			Running: server.Running, FailureRate: server.FailureRate, Weights: newModelWeights(server.Weights),
		})
	}
	return state
}

func newModelWeights(list []*wire.ModelWeights) []modelWeights {
	weights := make([]modelWeights, 0, len(list))
	for _, w := range list {
		weights = append(weights, modelWeights{Model: w.Model, Version: w.Version})
	}
	return weights
}

// writeCachedState writes the gateway's cached state, one line per backend server.
func (d *daemonStatus) writeCachedState(w io.Writer) {
	state := d.CachedState
	fmt.Fprintf(w, "\n%s believes: position %s, heard %.1f s ago, %d gateways, wanted weights %s\n",
		d.Name, platform.NewVersion(platform.Era(state.StoreEra), state.Position), state.StalenessSeconds, state.Gateways, weightsText(state.TargetVersions))
	table := newTable(w)
	fmt.Fprintln(table, "SERVER\tSERVICE\tADDRESS\tZONE\tSTATE\tRUNNING\tFAILURES\tWEIGHTS")
	for i := range state.Servers {
		s := &state.Servers[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%s\n",
			s.ID, s.Service, s.Address, s.AvailabilityZone, s.state(), s.Running, s.FailureRate, weightsText(s.Weights))
	}
	_ = table.Flush()
}

func (s *serverState) state() string {
	switch {
	case s.Draining:
		return "draining"
	case s.Loading:
		return "loading"
	case s.Suspect:
		return "suspect"
	}
	return "serving"
}

func weightsText(list []modelWeights) string {
	if len(list) == 0 {
		return "-"
	}
	texts := make([]string, 0, len(list))
	for _, w := range list {
		texts = append(texts, fmt.Sprintf("%s/%d", w.Model, w.Version))
	}
	return strings.Join(texts, ",")
}
