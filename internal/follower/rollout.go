package follower

import (
	"slices"
	"strings"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// maxFormerOrders bounds the replaced orders of a service that are remembered.
const maxFormerOrders = 16

// rollout returns a copy of what is known of a service's rollout, to be changed and stored.
func (st *state) rollout(service string) *deployment.Rollout {
	if known := st.rollouts[service]; known != nil {
		changed := *known
		return &changed
	}
	return &deployment.Rollout{}
}

// applyOrder applies a rollout order as written at a version of the store. A restored store may
// bring back an order that was replaced.
func (st *state) applyOrder(order *canary.Order, version platform.Version) bool {
	r := st.rollout(order.Service)
	former := st.former[order.Service]
	switch {
	case r.Order == nil:
	case *r.Order == *order:
		r.OrderVersion = max(r.OrderVersion, version)
		st.rollouts[order.Service] = r
		return true
	case version <= r.OrderVersion:
		return false
	case st.restored && slices.Contains(former, *order):
		logger.Warn(fields{"service": order.Service, "to": order.To}, "restored rollout order was replaced before; ignored")
		return false
	default:
		former = slices.DeleteFunc(slices.Clone(former), func(o canary.Order) bool { return o == *order || o == *r.Order })
		former = append(former, *r.Order)
		st.former[order.Service] = former[max(0, len(former)-maxFormerOrders):]
	}
	r.Order, r.OrderVersion = order, version
	st.rollouts[order.Service] = r
	logger.Info(fields{"service": order.Service, "to": order.To, "duration_ms": order.Duration.Milliseconds(), "version": version.String()}, "rollout ordered")
	return true
}

// applyRolloutState applies the entry of a rollout's state. One that is older than the known
// state, as in a restored store, only tells what the store has.
func (st *state) applyRolloutState(event *platform.Event) {
	service := strings.TrimPrefix(event.Key, CanaryPrefix)
	r := st.rollout(service)
	if event.Deleted {
		r.Revision, r.Lost = 0, r.State != nil
		st.rollouts[service] = r
		return
	}
	r.Revision = event.Version
	next, err := canary.Decode(service, event.Value)
	switch {
	case err != nil:
		logger.Warn(fields{"key": event.Key, "revision": event.Version.Revision(), "error": err.Error()}, "entry not decoded")
		r.Lost = r.State != nil
	case next.Supersedes(r.State):
		r.State, r.Lost = next, false
	default:
		r.Lost = r.State.Supersedes(next)
	}
	st.rollouts[service] = r
}

// loseRollouts notes which states are missing in a full read of the store. They are kept, since
// the store may have lost them.
func (st *state) loseRollouts(keys map[string]struct{}) {
	for service, known := range st.rollouts {
		if known.State != nil && !contains(keys, CanaryPrefix+service) {
			r := *known
			r.Revision, r.Lost = 0, true
			st.rollouts[service] = &r
		}
	}
	if !contains(keys, CanaryOwnerKey) {
		st.owner = ""
	}
}
