package client

import (
	"context"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// KV calls the key-value service. It implements platform.KV.
type KV struct {
	caller
	watchIdleTimeout time.Duration
}

var _ platform.KV = (*KV)(nil)

// NewKV returns a client whose calls time out after timeout.
func NewKV(baseURL string, timeout time.Duration) *KV {
	return &KV{
		caller:           newCaller(baseURL, timeout),
		watchIdleTimeout: defaultWatchIdleTimeout,
	}
}

// Get implements platform.KV.
func (k *KV) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry httpapi.Entry
	query := url.Values{httpapi.QueryKey: {key}}
	if err := k.read(ctx, httpapi.PathEntry, query, &entry); err != nil {
		return platform.Entry{}, err
	}
	return platform.Entry(entry), nil
}

// List implements platform.KV.
func (k *KV) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var response httpapi.Entries
	query := url.Values{httpapi.QueryPrefix: {prefix}}
	if err := k.read(ctx, httpapi.PathEntries, query, &response); err != nil {
		return nil, err
	}
	entries := make([]platform.Entry, len(response.Entries))
	for i, entry := range response.Entries {
		entries[i] = platform.Entry(entry)
	}
	return entries, nil
}

// CompareAndSwap implements platform.KV.
func (k *KV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	if len(value) > platform.MaxValueSize {
		return 0, errors.Wrapf(platform.ErrTooLarge, "key %q: %d bytes", key, len(value))
	}
	request := httpapi.SwapRequest{Key: key, Value: value, Expected: expected, Lease: lease}
	var response httpapi.SwapResponse
	if err := k.write(ctx, httpapi.PathSwap, request, &response); err != nil {
		return 0, err
	}
	return response.Version, nil
}

// Delete implements platform.KV.
func (k *KV) Delete(ctx context.Context, key string, expected platform.Version) error {
	request := httpapi.DeleteRequest{Key: key, Expected: expected}
	return k.write(ctx, httpapi.PathDelete, request, &httpapi.Done{})
}

// GrantLease implements platform.KV.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	request := httpapi.LeaseRequest{TTLMilliseconds: ttl.Milliseconds()}
	var response httpapi.LeaseResponse
	if err := k.write(ctx, httpapi.PathLeaseGrant, request, &response); err != nil {
		return 0, err
	}
	return response.ID, nil
}

// RenewLease implements platform.KV.
func (k *KV) RenewLease(ctx context.Context, id platform.LeaseID) error {
	return k.write(ctx, httpapi.PathLeaseRenew, httpapi.LeaseRequest{ID: id}, &httpapi.Done{})
}

// RevokeLease implements platform.KV.
func (k *KV) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	return k.write(ctx, httpapi.PathLeaseRevoke, httpapi.LeaseRequest{ID: id}, &httpapi.Done{})
}
