package replaytest

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/placement"
)

// policy is a placement policy.
type policy struct {
	name string
	pick forward.Picker
}

// policies returns the gateway's own policy and the simpler ones it is compared with.
func policies() []policy {
	return []policy{
		{"own", placement.Pick},
		{"least loaded", newPicker(leastLoaded)},
		{"hash only", newPicker(hashOnly)},
		{"bounded hash", newPicker(boundedHash)},
	}
}

// boundFactor is the allowed ratio of a server's load to the mean with the bounded hash.
const boundFactor = 1.25

// newPicker returns a picker of the first usable server in the given order, which sorts
// the best one first.
func newPicker(order func(q *placement.Query, servers []placement.Server)) forward.Picker {
	return func(q *placement.Query, servers []placement.Server) (placement.Choice, bool) {
		usable := slices.DeleteFunc(slices.Clone(servers), func(s placement.Server) bool {
			return s.Draining || s.Loading || s.Suspect || q.Tried(s.ID)
		})
		if len(usable) == 0 {
			return placement.Choice{}, false
		}
		order(q, usable)
		choice := placement.Choice{Server: &usable[0], PrefillTokens: q.OwnTokens}
		if holders := sharedOf(q, &usable[0]).Holders; !slices.Contains(holders[:], usable[0].ID) {
			choice.PrefillTokens += q.SharedTokens
		}
		return choice, true
	}
}

func leastLoaded(_ *placement.Query, servers []placement.Server) {
	slices.SortFunc(servers, func(a, b placement.Server) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
}

func hashOnly(q *placement.Query, servers []placement.Server) {
	slices.SortFunc(servers, func(a, b placement.Server) int {
		return cmp.Compare(xxhash.Sum64String(q.HomeKey+b.ID), xxhash.Sum64String(q.HomeKey+a.ID))
	})
}

// boundedHash prefers the first server by hash whose load is within boundFactor of the mean.
func boundedHash(q *placement.Query, servers []placement.Server) {
	total := 1
	for i := range servers {
		total += servers[i].Running
	}
	bound := boundFactor * float64(total) / float64(len(servers))
	hashOnly(q, servers)
	slices.SortStableFunc(servers, func(a, b placement.Server) int {
		return cmp.Compare(overBound(&a, bound), overBound(&b, bound))
	})
}

func overBound(s *placement.Server, bound float64) int {
	if float64(s.Running+1) > max(1, bound) {
		return 1
	}
	return 0
}

// sharedOf returns which servers hold the prompt's shared parts, if it has any.
func sharedOf(q *placement.Query, s *placement.Server) placement.Shared {
	if q.Shared == nil {
		return placement.Shared{}
	}
	return q.Shared(s.Weights)
}
