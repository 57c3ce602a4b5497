package forward

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/placement"
)

// query describes the request to the placement.
func (r *run) query(now time.Time) *placement.Query {
	q := &placement.Query{Zone: r.relay.Zone, Target: r.req.Route.TargetLatency, MaxReplaced: r.relay.MaxReplaced, Tried: func(id string) bool { return r.tried[id] }}
	service := r.req.Snapshot.Config.Service(r.service)
	if service == nil || service.Engine == nil || r.req.Model == "" {
		return q
	}
	q.Engine = true
	wanted := r.req.Snapshot.Weights[r.req.Model]
	if wanted.Version > 0 {
		q.Replaced = func(weights uint64) time.Duration { return wanted.ReplacedFor(weights, now) }
	}
	q.HomeKey, q.SharedTokens, q.OwnTokens = r.req.Prompt()
	if q.HomeKey != "" {
		q.Shared = r.sharedOf(q.HomeKey, now)
	}
	return q
}

// sharedOf returns the function that tells the placement where the prompt up to its
// last shared part is, for each version of the weights.
func (r *run) sharedOf(last string, now time.Time) func(weights uint64) placement.Shared {
	found := make(map[uint64]placement.Shared, 2) // versions in use at a time
	return func(weights uint64) placement.Shared {
		shared, ok := found[weights]
		if !ok {
			salt := kvcache.Salt(r.req.Model, weights, r.req.Workspace)
			places := r.relay.Cache.Places(salt, last, now)
			shared.Kept, shared.Reader = places.Kept, places.Reader.ID
			for i, holder := range places.Holders {
				shared.Holders[i] = holder.ID
			}
			found[weights] = shared
		}
		return shared
	}
}

// call prepares the attempt at the chosen server.
func (r *run) call(choice *placement.Choice, now time.Time) *backend.Call {
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
	if !r.req.Deadline.IsZero() {
		call.Patience = r.req.Deadline.Sub(now)
	}
	if r.req.Model != "" {
		r.instructEngine(call, choice, now)
	}
	return call
}

// instructEngine adds what only engines know.
func (r *run) instructEngine(call *backend.Call, choice *placement.Choice, now time.Time) {
	call.Priority, call.HasPriority = rank(r.req), true
	call.Weights = choice.Server.Weights
	call.CacheSalt = kvcache.Salt(r.req.Model, choice.Server.Weights, r.req.Workspace)
	if len(r.req.Shared()) == 0 || choice.Server.Weights == 0 {
		return
	}
	prompt := promptOf(r.req, call.CacheSalt)
	if choice.Reads {
		r.relay.Cache.Reading(prompt.Salt, prompt.Last(), holderOf(choice.Server), now)
	}
	store := prompt.StoreOf(r.req.Snapshot.Config.KVStores())
	sources := r.relay.Cache.Plan(prompt, holderOf(choice.Server), store, r.usable, now)
	call.FetchFrom, call.SaveTo = sources.FetchFrom, sources.SaveTo
}

// promptOf describes the shared parts of a request's prompt.
func promptOf(req *Request, salt string) *kvcache.Prompt {
	prompt := &kvcache.Prompt{Salt: salt}
	_, prompt.SharedTokens, prompt.OwnTokens = req.Prompt()
	for _, part := range req.Shared() {
		prompt.Parts = append(prompt.Parts, part.ID)
	}
	return prompt
}

func holderOf(s *placement.Server) kvcache.Holder {
	return kvcache.Holder{ID: s.ID, Address: s.Address}
}

// usable says whether parts may be fetched from a holder: it must be listed still.
func (r *run) usable(holder kvcache.Holder) bool {
	server := r.req.Snapshot.Servers[holder.ID]
	return server != nil && server.Address == holder.Address
}

// priorityRanks is the number of route priorities that fit below one of a
// workspace.
const priorityRanks = 3

// rank joins the priorities of workspace and route: the workspace's goes first.
func rank(req *Request) int {
	if req.Workspace == nil || !req.Workspace.HasPriority {
		return req.Route.Priority
	}
	return req.Workspace.Priority*priorityRanks + min(req.Route.Priority, priorityRanks-1)
}
