package forward

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/placement"
	"github.com/wasabigate/wasabigate/internal/serveraccess"
)

// minCallTime is the least time that a server is given.
const minCallTime = time.Millisecond

// placementQuery returns the query by which a backend server is chosen for the request.
func (r *activeRequest) placementQuery(now time.Time) *placement.Query {
	q := &placement.Query{Zone: r.relay.Zone, Target: r.req.Route.TargetLatency, TargetGap: r.req.Route.TargetGap, MaxReplaced: r.relay.MaxReplaced, Tried: func(id string) bool { return r.tried[id] }}
	service := r.req.Snapshot.Config.Service(r.service)
	if service == nil || service.Engine == nil || r.req.Model == "" {
		return q
	}
	q.Engine = true
	target := r.req.Snapshot.Weights[r.req.Model]
	if target.Version > 0 {
		q.ReplacedFor = func(weights uint64) time.Duration { return target.ReplacedFor(weights, now) }
	}
	q.HomeKey, q.SharedTokens, q.OwnTokens = r.req.Prompt()
	if q.HomeKey != "" {
		q.Shared = r.sharedLocations(q.HomeKey, now)
	}
	return q
}

// sharedLocations returns a function that looks up, for a version of the weights, which
// servers have the prompt cached up to its last shared part. It memoizes the look-ups.
func (r *activeRequest) sharedLocations(last string, now time.Time) func(weights uint64) placement.Shared {
	byWeights := make(map[uint64]placement.Shared, 2) // at most two versions are in use at a time
	return func(weights uint64) placement.Shared {
		shared, ok := byWeights[weights]
		if !ok {
			salt := kvcache.Salt(r.req.Model, weights, r.sharing, r.req.Workspace)
			locations := r.relay.Cache.Locations(salt, last, now)
			shared.Stored, shared.Prefilling = locations.Stored, locations.Prefilling.ID
			for i, holder := range locations.Holders {
				shared.Holders[i] = holder.ID
			}
			byWeights[weights] = shared
		}
		return shared
	}
}

// newCall returns the call of an attempt at the chosen server.
func (r *activeRequest) newCall(choice *placement.Choice, now time.Time) *backend.Call {
	call := &backend.Call{
		RequestID: r.req.ID,
		Address:   choice.Server.Address,
		Method:    r.req.Method,
		URL:       r.req.URL,
		Host:      r.req.Host,
		Header:    r.req.Header,
		Body:      r.req.Body,
		Instructions: backend.Instructions{
			ServerID:    choice.Server.ID,
			Workspace:   r.req.WorkspaceName(),
			LastEventID: r.lastID,
		},
	}
	server := r.req.Snapshot.Servers[choice.Server.ID]
	call.Observe = func(head *backend.Description) { r.relay.Access.Observe(server, r.req.ID, head, now, time.Now()) }
	if !r.req.Deadline.IsZero() {
		call.Timeout = max(minCallTime, r.req.Deadline.Sub(now)) // 0 would leave the server the client's own time
	}
	if r.req.Model != "" {
		r.setEngineFields(call, choice, now)
	}
	return call
}

// setEngineFields sets the fields of a call that only inference engines use.
func (r *activeRequest) setEngineFields(call *backend.Call, choice *placement.Choice, now time.Time) {
	call.Priority, call.HasPriority = enginePriority(r.req), true
	call.WeightsVersion = choice.Server.Weights
	call.CacheSalt = kvcache.Salt(r.req.Model, choice.Server.Weights, r.sharing, r.req.Workspace)
	if len(r.req.Shared()) == 0 || choice.Server.Weights == 0 {
		return
	}
	prompt := newPrompt(r.req, call.CacheSalt)
	if choice.PrefillsShared {
		r.relay.Cache.RecordPrefill(prompt.Salt, prompt.Last(), newHolder(choice.Server), now)
	}
	store := prompt.StoreOf(r.req.Snapshot.Config.KVStores())
	transfers := r.relay.Cache.Plan(prompt, newHolder(choice.Server), store, r.usable, now)
	call.FetchFrom, call.SaveTo = transfers.FetchFrom, transfers.SaveTo
}

// newPrompt returns the shared parts of a request's prompt under a cache salt.
func newPrompt(req *Request, salt string) *kvcache.Prompt {
	prompt := &kvcache.Prompt{Salt: salt}
	_, prompt.SharedTokens, prompt.OwnTokens = req.Prompt()
	for _, part := range req.Shared() {
		prompt.Parts = append(prompt.Parts, part.ID)
	}
	return prompt
}

func newHolder(s *placement.Server) kvcache.Holder {
	return kvcache.Holder{ID: s.ID, Address: s.Address}
}

// usable reports whether cached parts may be fetched from a holder, which must still be
// listed under the same address. One that leaves gives up what it holds.
func (r *activeRequest) usable(holder kvcache.Holder) bool {
	server := r.req.Snapshot.Servers[holder.ID]
	if server == nil || server.Address != holder.Address {
		return false
	}
	reason := r.relay.Access.Check(server, time.Now()).Reason
	return reason == serveraccess.Allowed || reason == serveraccess.Leaving
}

// routePriorities is the number of route priorities within one workspace priority.
const routePriorities = 3

// enginePriority combines the priorities of workspace and route. The workspace's takes
// precedence.
func enginePriority(req *Request) int {
	if req.Workspace == nil || !req.Workspace.HasPriority {
		return req.Route.Priority
	}
	return req.Workspace.Priority*routePriorities + min(req.Route.Priority, routePriorities-1)
}
