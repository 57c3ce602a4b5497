package controller

import (
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// weights identifies a set of model weights. It is comparable.
type weights = platform.Weights

// modelKey identifies a model and adapter regardless of the version.
type modelKey struct {
	model   string
	adapter string
}

func modelKeyOf(w weights) modelKey { return modelKey{w.Model, w.Adapter} }

// baseWeights returns the base weights of an adapter; base weights are returned
// as they are.
func baseWeights(w weights) weights { return weights{Model: w.Model, Version: w.Version} }

func weightsFromWire(w *wire.Weights) weights {
	return weights{Model: w.GetModel(), Adapter: w.GetAdapter(), Version: w.GetVersion()}
}

func weightsToWire(w weights) *wire.Weights {
	return &wire.Weights{Model: w.Model, Adapter: w.Adapter, Version: w.Version}
}

// groupWeights are the weights that all engines of a group should hold.
type groupWeights struct {
	group   string
	weights []weights
}

// targetState lists the weights that the config document names, in the order of
// the document.
type targetState []groupWeights

// targetStateOf returns the target state of the current config document. It is
// empty if there is none yet.
func targetStateOf(snapshot *control.Snapshot) targetState {
	if snapshot.Config == nil {
		return nil
	}
	document := snapshot.Config.Document
	var target targetState
	for i := range document.Groups {
		if document.Groups[i].Kind == config.GroupEngines {
			name := document.Groups[i].Name
			target = append(target, groupWeights{group: name, weights: weightsOfGroup(document, name)})
		}
	}
	return target
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
