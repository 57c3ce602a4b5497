package controller

import (
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// weights are a set of model weights. They are comparable.
type weights = platform.Weights

// base names the model and adapter of weights, whatever their version.
type base struct {
	model   string
	adapter string
}

func baseOf(w weights) base { return base{w.Model, w.Adapter} }

// under returns the weights that an adapter goes over; of base weights, these
// themselves.
func under(w weights) weights { return weights{Model: w.Model, Version: w.Version} }

func weightsOf(w *wire.Weights) weights {
	return weights{Model: w.GetModel(), Adapter: w.GetAdapter(), Version: w.GetVersion()}
}

func wireOf(w weights) *wire.Weights {
	return &wire.Weights{Model: w.Model, Adapter: w.Adapter, Version: w.Version}
}

// groupWeights are the weights that all engines of a group should hold.
type groupWeights struct {
	group   string
	weights []weights
}

// desired is the state that the document asks for, in its order.
type desired []groupWeights

// desiredOf reads the document in force. It is empty while none is known.
func desiredOf(snapshot *control.Snapshot) desired {
	if snapshot.Config == nil {
		return nil
	}
	document := snapshot.Config.Document
	var wanted desired
	for i := range document.Groups {
		if document.Groups[i].Kind == config.GroupEngines {
			name := document.Groups[i].Name
			wanted = append(wanted, groupWeights{group: name, weights: weightsOfGroup(document, name)})
		}
	}
	return wanted
}

func weightsOfGroup(document *config.Document, group string) []weights {
	var found []weights
	for i := range document.Models {
		m := &document.Models[i]
		if m.Group == group {
			found = append(found, weights{Model: m.Base, Adapter: m.Adapter, Version: m.WeightsVersion})
		}
	}
	return found
}
