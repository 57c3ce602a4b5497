package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxStoreSilence is the age from which a gateway's belief is a problem: twice the
// longest regular pause between two words from the store.
const maxStoreSilence = 2 * follower.MaxPollInterval

// belief is what a gateway believes of the deployment.
type belief struct {
	Position            uint64           `json:"position"` // of the platform's store
	StoreSilenceSeconds float64          `json:"store_silence_seconds"`
	Leader              string           `json:"leader,omitempty"`
	Gateways            uint32           `json:"gateways"`
	Wanted              []modelWeights   `json:"wanted_weights"`
	Servers             []believedServer `json:"servers"`
}

// modelWeights is a version of a model's weights.
type modelWeights struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// believedServer is a backend server as a gateway sees it.
type believedServer struct {
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

func newBelief(reply *wire.Belief) *belief {
	b := &belief{
		Position:            reply.Position,
		StoreSilenceSeconds: seconds(reply.StoreSilenceMs),
		Leader:              reply.Leader,
		Gateways:            reply.Gateways,
		Wanted:              newModelWeights(reply.Wanted),
		Servers:             []believedServer{},
	}
	for _, server := range reply.Servers {
		b.Servers = append(b.Servers, believedServer{
			ID: server.Id, Service: server.Service, Address: server.Address, AvailabilityZone: server.Zone,
			Draining: server.Draining, Loading: server.Loading, Suspect: server.Suspect,
			Running: server.Running, FailureRate: server.FailureRate, Weights: newModelWeights(server.Weights),
		})
	}
	return b
}

func newModelWeights(list []*wire.ModelWeights) []modelWeights {
	weights := make([]modelWeights, 0, len(list))
	for _, held := range list {
		weights = append(weights, modelWeights{Model: held.Model, Version: held.Version})
	}
	return weights
}

// writeBelief writes what the gateway believes, one line a backend server.
func (d *daemonStatus) writeBelief(w io.Writer) {
	b := d.Belief
	fmt.Fprintf(w, "\n%s believes: position %d, heard %.1f s ago, %d gateways, wanted weights %s\n",
		d.Name, b.Position, b.StoreSilenceSeconds, b.Gateways, weightsText(b.Wanted))
	table := newTable(w)
	fmt.Fprintln(table, "SERVER\tSERVICE\tADDRESS\tZONE\tSTATE\tRUNNING\tFAILURES\tWEIGHTS")
	for i := range b.Servers {
		s := &b.Servers[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\t%s\n",
			s.ID, s.Service, s.Address, s.AvailabilityZone, s.state(), s.Running, s.FailureRate, weightsText(s.Weights))
	}
	_ = table.Flush()
}

func (s *believedServer) state() string {
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
	for _, held := range list {
		texts = append(texts, fmt.Sprintf("%s/%d", held.Model, held.Version))
	}
	return strings.Join(texts, ",")
}
