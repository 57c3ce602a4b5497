package verify

import (
	"net/url"
	"strings"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// checkAll runs all checks against one snapshot. If they pass, it sets the job's
// snapshot and route.
func (f *Filter) checkAll(snapshot *control.Snapshot, j *job.Job) *verdict.Error {
	if snapshot.Config == nil {
		return refuse(verdict.CodeStaleDocument, "no document is known yet")
	}
	route, err := f.checkRoute(snapshot.Config.Document, j.Request)
	if err != nil {
		return err
	}
	if err := checkIdentity(snapshot.Config, route, j.Request); err != nil {
		return err
	}
	if err := checkDraws(snapshot.Shards, j.Request.Draws); err != nil {
		return err
	}
	if err := f.checkWeights(snapshot.Config.Document, j.Request.Generation); err != nil {
		return err
	}
	j.Snapshot = snapshot
	j.Route = route
	return nil
}

func (f *Filter) checkRoute(document *config.Document, req *wire.ExecuteRequest) (*config.Route, *verdict.Error) {
	route := findRoute(document, req.Route)
	if route == nil {
		return nil, refuse(verdict.CodeNotFound, "no route %q", req.Route)
	}
	if route.IsGeneration() != (req.Generation != nil) || route.IsGeneration() == (req.Call != nil) {
		return nil, refuse(verdict.CodeInvalidRequest, "route %q does not take this kind of request", req.Route)
	}
	if route.IsGeneration() {
		return f.checkGenerationRoute(route)
	}
	if route.Group != f.settings.Group {
		return nil, refuse(verdict.CodeNotFound, "route %q does not lead to this group", req.Route)
	}
	if !callMatches(route, req.Call) {
		return nil, refuse(verdict.CodeForbidden, "the call does not match route %q", req.Route)
	}
	return route, nil
}

func (f *Filter) checkGenerationRoute(route *config.Route) (*config.Route, *verdict.Error) {
	if f.settings.Kind != config.GroupEngines {
		return nil, refuse(verdict.CodeNotFound, "route %q does not lead to this group", route.Name)
	}
	return route, nil
}

func findRoute(document *config.Document, name string) *config.Route {
	for i := range document.Routes {
		if document.Routes[i].Name == name {
			return &document.Routes[i]
		}
	}
	return nil
}

// callMatches reports whether method and path belong to the route, so that an
// open route can't be used for calls of another route. The router has removed
// the route's StripPrefix from the path.
func callMatches(route *config.Route, call *wire.Call) bool {
	escaped, _, _ := strings.Cut(call.Path, "?")
	plain, err := url.PathUnescape(escaped)
	if err != nil || hasDotSegments(plain) {
		return false
	}
	full := route.StripPrefix + plain
	return route.Matches(call.Method, full) || route.Matches(call.Method, strings.TrimSuffix(full, "/"))
}

// hasDotSegments reports whether a path has "." or ".." segments, which a service
// could resolve to another path.
func hasDotSegments(plain string) bool {
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func checkIdentity(revision *config.Revision, route *config.Route, req *wire.ExecuteRequest) *verdict.Error {
	if req.KeyId != "" {
		return checkKey(revision, req.Workspace, req.KeyId)
	}
	if route.Access != config.AccessOpen {
		return refuse(verdict.CodeUnauthenticated, "route %q needs a key", route.Name)
	}
	if req.Workspace != "" && req.Workspace != route.Workspace {
		return refuse(verdict.CodeForbidden, "route %q is not open for workspace %q", route.Name, req.Workspace)
	}
	return nil
}

func checkKey(revision *config.Revision, workspace, keyID string) *verdict.Error {
	if revision.KeyWithdrawn(keyID) {
		return refuse(verdict.CodeKeyWithdrawn, "key %q is withdrawn", keyID)
	}
	key := revision.Document.Key(keyID)
	if key == nil {
		return refuse(verdict.CodeUnauthenticated, "key %q is not known", keyID)
	}
	if key.Workspace != workspace || workspace == "" {
		return refuse(verdict.CodeForbidden, "key %q does not belong to workspace %q", keyID, workspace)
	}
	return nil
}

func checkDraws(table *shard.Table, draws []*wire.Draw) *verdict.Error {
	if table == nil {
		return nil
	}
	for _, draw := range draws {
		if !table.Valid(int(draw.Shard), draw.Owner, draw.Epoch) {
			return refuse(verdict.CodeStaleShardEpoch, "shard %d was drawn under epoch %d, which is over", draw.Shard, draw.Epoch)
		}
	}
	return nil
}

// checkWeights refuses weights that neither the document nor the engine's last
// report lists. The executor checks the engine's own state directly before the
// generation.
func (f *Filter) checkWeights(document *config.Document, generation *wire.Generation) *verdict.Error {
	if generation == nil || listedInDocument(document, generation) || isLoaded(f.loaded(), generation) {
		return nil
	}
	return refuse(verdict.CodeWeightsMismatch, "weights %q of model %q are not known here", generation.WeightsVersion, generation.Model)
}

func listedInDocument(document *config.Document, generation *wire.Generation) bool {
	for i := range document.Models {
		model := &document.Models[i]
		if model.Base == generation.Model && model.Adapter == generation.Adapter &&
			model.WeightsVersion == generation.WeightsVersion {
			return true
		}
	}
	return false
}

func isLoaded(loaded []*wire.Weights, generation *wire.Generation) bool {
	for _, weights := range loaded {
		if weights.Model == generation.Model && weights.Adapter == generation.Adapter &&
			weights.Version == generation.WeightsVersion {
			return true
		}
	}
	return false
}
