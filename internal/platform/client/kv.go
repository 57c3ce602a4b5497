package client

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// KV calls the key-value service. It implements platform.KV.
type KV struct {
	caller
	eras             platform.EraTracker
	watchIdleTimeout time.Duration
}

var _ platform.KV = (*KV)(nil)

// NewKV returns a client whose calls time out after timeout.
func NewKV(baseURL string, timeout time.Duration) *KV {
	k := &KV{
		caller:           newCaller(baseURL, timeout),
		watchIdleTimeout: defaultWatchIdleTimeout,
	}
	k.onResponse = func(header http.Header) { k.eraOf(header) }
	return k
}

// Era implements platform.KV.
func (k *KV) Era() platform.Era { return k.eras.Latest() }

// eraOf returns the era of the response with the given header.
func (k *KV) eraOf(header http.Header) platform.Era {
	return k.eras.Observe(header.Get(httpapi.HeaderEra))
}

// withEra returns an entry of a response with the version in its era.
func withEra(entry httpapi.Entry, era platform.Era) platform.Entry {
	entry.Version = platform.NewVersion(era, uint64(entry.Version))
	return platform.Entry(entry)
}

// checkExpected returns ErrConflict for an expected version of an earlier era.
func (k *KV) checkExpected(key string, expected platform.Version) error {
	if expected != 0 && expected.Era() < k.Era() {
		return errors.Wrapf(platform.ErrConflict, "key %q: version of era %d, now %d", key, expected.Era(), k.Era())
	}
	return nil
}

// Get implements platform.KV.
func (k *KV) Get(ctx context.Context, key string) (platform.Entry, error) {
	var entry httpapi.Entry
	query := url.Values{httpapi.QueryKey: {key}}
	header, err := k.read(ctx, httpapi.PathEntry, query, &entry)
	if err != nil {
		return platform.Entry{}, err
	}
	return withEra(entry, k.eraOf(header)), nil
}

// List implements platform.KV.
func (k *KV) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var response httpapi.Entries
	query := url.Values{httpapi.QueryPrefix: {prefix}}
	header, err := k.read(ctx, httpapi.PathEntries, query, &response)
	if err != nil {
		return nil, err
	}
	entries := make([]platform.Entry, len(response.Entries))
	for i, entry := range response.Entries {
		entries[i] = withEra(entry, k.eraOf(header))
	}
	return entries, nil
}

// CompareAndSwap implements platform.KV.
func (k *KV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	if len(value) > platform.MaxValueSize {
		return 0, errors.Wrapf(platform.ErrTooLarge, "key %q: %d bytes", key, len(value))
	}
	if err := k.checkExpected(key, expected); err != nil {
		return 0, err
	}
	request := httpapi.SwapRequest{Key: key, Value: value, Expected: platform.Version(expected.Revision()), Lease: lease}
	var response httpapi.SwapResponse
	header, err := k.write(ctx, httpapi.PathSwap, request, &response)
	if err != nil {
		return 0, err
	}
	era := k.eraOf(header)
	if expected != 0 && expected.Era() != era {
		return 0, errors.Wrapf(platform.ErrOutcomeUnknown, "key %q: restored before the write", key)
	}
	return platform.NewVersion(era, uint64(response.Version)), nil
}

// Delete implements platform.KV.
func (k *KV) Delete(ctx context.Context, key string, expected platform.Version) error {
	if err := k.checkExpected(key, expected); err != nil {
		return err
	}
	request := httpapi.DeleteRequest{Key: key, Expected: platform.Version(expected.Revision())}
	_, err := k.write(ctx, httpapi.PathDelete, request, &httpapi.Done{})
	return err
}

// GrantLease implements platform.KV.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	request := httpapi.LeaseRequest{TTLMilliseconds: ttl.Milliseconds()}
	var response httpapi.LeaseResponse
	if _, err := k.write(ctx, httpapi.PathLeaseGrant, request, &response); err != nil {
		return 0, err
	}
	return response.ID, nil
}

// RenewLease implements platform.KV.
func (k *KV) RenewLease(ctx context.Context, id platform.LeaseID) error {
	_, err := k.write(ctx, httpapi.PathLeaseRenew, httpapi.LeaseRequest{ID: id}, &httpapi.Done{})
	return err
}

// RevokeLease implements platform.KV.
func (k *KV) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	_, err := k.write(ctx, httpapi.PathLeaseRevoke, httpapi.LeaseRequest{ID: id}, &httpapi.Done{})
	return err
}
