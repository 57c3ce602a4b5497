package replaytest

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/placement"
)

// policy is a way to place requests.
type policy struct {
	name string
	pick forward.Picker
}

// policies are the gateway's own and the simpler ways it is measured against.
func policies() []policy {
	return []policy{
		{"own", placement.Pick},
		{"least loaded", chooser(leastLoaded)},
		{"hash only", chooser(hashOnly)},
		{"bounded hash", chooser(boundedHash)},
	}
}

// boundFactor is how far above the mean a server's load may be with a bounded hash.
const boundFactor = 1.25

// chooser makes a picker of a function that orders the servers, the best first.
func chooser(order func(q *placement.Query, servers []placement.Server)) forward.Picker {
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

// boundedHash takes the first server by hash whose load is not far above the mean.
func boundedHash(q *placement.Query, servers []placement.Server) {
	total := 1
	for i := range servers {
		total += servers[i].Running
	}
	bound := boundFactor * float64(total) / float64(len(servers))
	hashOnly(q, servers)
	slices.SortStableFunc(servers, func(a, b placement.Server) int {
		return cmp.Compare(over(&a, bound), over(&b, bound))
	})
}

func over(s *placement.Server, bound float64) int {
	if float64(s.Running+1) > max(1, bound) {
		return 1
	}
	return 0
}

// sharedOf returns where the shared parts are, if the prompt has any.
func sharedOf(q *placement.Query, s *placement.Server) placement.Shared {
	if q.Shared == nil {
		return placement.Shared{}
	}
	return q.Shared(s.Weights)
}
