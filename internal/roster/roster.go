// Package roster maintains the list of gateways. Each gateway registers itself in the
// platform's store under a lease, and derives from the list which gateway owns which
// shard of the workspaces' token buckets.
package roster

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("roster")

type fields = logging.Fields

const (
	// leaseTTL is how long a gateway stays listed after its last renewal.
	leaseTTL = 10 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 3 * time.Second
	// retryInterval is the mean time until the next try after a failed call.
	retryInterval = 500 * time.Millisecond
	// eraCheckInterval is the time between two checks whether the store was restored.
	eraCheckInterval = 500 * time.Millisecond
	// callTimeout bounds the calls of one registration together.
	callTimeout = 5 * time.Second
)

// Registration keeps this process in the list of gateways.
type Registration struct {
	kv     platform.LeaseKV
	key    string
	narrow func() bool
}

// NewRegistration returns a Registration. Its key is prefix, the address and a random
// number that distinguishes this process from earlier ones at the address. narrow reports whether
// the process's link was found to be narrow; nil: it never is.
func NewRegistration(kv platform.LeaseKV, prefix, address string, narrow func() bool) *Registration {
	if narrow == nil {
		narrow = func() bool { return false }
	}
	return &Registration{kv: kv, key: prefix + address + "/" + strconv.FormatUint(rand.Uint64(), 36), narrow: narrow}
}

// Run keeps the process listed until ctx ends, and then revokes its lease.
func (r *Registration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		narrow := r.narrow()
		lease, era, err := r.register(ctx, narrow)
		if err != nil {
			logger.Warn(fields{"error": err.Error()}, "gateway not registered")
			clock.Sleep(ctx, retryInterval/2+rand.N(retryInterval))
			continue
		}
		logger.Info(fields{"key": r.key, "narrow": narrow}, "gateway registered")
		r.renewLoop(ctx, lease, era, narrow)
	}
}

// register writes the entry under a new lease and returns the era of the write. If the
// response to the write is lost, the caller registers again under another lease and the
// former one expires.
func (r *Registration) register(ctx context.Context, narrow bool) (platform.LeaseID, platform.Era, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := r.kv.GrantLease(ctx, leaseTTL)
	if err != nil {
		return 0, 0, err
	}
	entry, err := r.kv.Get(ctx, r.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, 0, err
	}
	version, err := r.kv.CompareAndSwap(ctx, r.key, deployment.EncodeRegistration(narrow), entry.Version, lease)
	return lease, version.Era(), err
}

// renewLoop renews the lease until it expires, the store is restored, the link turns narrow or wide
// or ctx ends, and revokes it in the latter case. A restored store may have lost the entry, and may
// give out the lease's ID again.
func (r *Registration) renewLoop(ctx context.Context, lease platform.LeaseID, era platform.Era, narrow bool) {
	interval := renewInterval
	for {
		r.sleep(ctx, interval, era, narrow)
		if ctx.Err() != nil {
			r.revoke(ctx, lease, era)
			return
		}
		if r.kv.Era() != era {
			logger.Warn(fields{"era": uint64(r.kv.Era())}, "registering again in the restored store")
			return
		}
		if r.narrow() != narrow {
			return
		}
		err := r.kv.RenewLease(ctx, lease)
		if errors.Is(err, platform.ErrNotFound) {
			logger.Warn(nil, "lease of the registration expired")
			return
		}
		interval = renewInterval
		if err != nil {
			interval = retryInterval/2 + rand.N(retryInterval)
		}
	}
}

// sleep waits for an interval, or until the store is known to be restored or the link is found to
// be narrow or wide.
func (r *Registration) sleep(ctx context.Context, interval time.Duration, era platform.Era, narrow bool) {
	for deadline := time.Now().Add(interval); ctx.Err() == nil && r.kv.Era() == era && r.narrow() == narrow; {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return
		}
		clock.Sleep(ctx, min(remaining, eraCheckInterval))
	}
}

func (r *Registration) revoke(ctx context.Context, lease platform.LeaseID, era platform.Era) {
	if r.kv.Era() != era {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := r.kv.RevokeLease(ctx, lease); err != nil {
		logger.Warn(fields{"error": err.Error()}, "lease of the registration not revoked, will expire")
	}
}
