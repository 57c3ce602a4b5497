// Package roster keeps the list of gateways: each one registers itself in the
// platform's store under a lease, and all derive from the list who owns which
// shard of the workspaces' buckets.
package roster

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("roster")

type fields = logging.Fields

const (
	// leaseTime is how long a gateway stays listed that renews no more.
	leaseTime = 10 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 3 * time.Second
	// retryPause is the mean pause after a call that failed.
	retryPause = 500 * time.Millisecond
	// callTimeout bounds the calls of one registration.
	callTimeout = 5 * time.Second
)

// Registration lists this process.
type Registration struct {
	kv  platform.LeaseKV
	key string
}

// NewRegistration returns a Registration under prefix, an address and a number
// of this incarnation.
func NewRegistration(kv platform.LeaseKV, prefix, address string) *Registration {
	return &Registration{kv: kv, key: prefix + address + "/" + strconv.FormatUint(rand.Uint64(), 36)}
}

// Run keeps the process listed until ctx ends, and ends its lease then.
func (r *Registration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			logger.Warn(fields{"error": err.Error()}, "gateway not registered")
			clock.Sleep(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		logger.Info(fields{"key": r.key}, "gateway registered")
		r.keep(ctx, lease)
	}
}

// register writes the entry. A write whose answer was lost is made again under
// another lease; the former one lapses.
func (r *Registration) register(ctx context.Context) (platform.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := r.kv.GrantLease(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	entry, err := r.kv.Get(ctx, r.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	_, err = r.kv.CompareAndSwap(ctx, r.key, []byte("{}"), entry.Version, lease)
	return lease, err
}

// keep renews the lease until it has ended.
func (r *Registration) keep(ctx context.Context, lease platform.LeaseID) {
	pause := renewInterval
	for {
		clock.Sleep(ctx, pause)
		if ctx.Err() != nil {
			r.end(ctx, lease)
			return
		}
		err := r.kv.RenewLease(ctx, lease)
		if errors.Is(err, platform.ErrNotFound) {
			logger.Warn(nil, "registration lapsed")
			return
		}
		pause = renewInterval
		if err != nil {
			pause = retryPause/2 + rand.N(retryPause)
		}
	}
}

func (r *Registration) end(ctx context.Context, lease platform.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := r.kv.RevokeLease(ctx, lease); err != nil {
		logger.Warn(fields{"error": err.Error()}, "registration not ended, its lease lapses")
	}
}
