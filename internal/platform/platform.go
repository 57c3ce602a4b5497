// Package platform defines the interfaces of the services that the platform
// provides: a key-value service, a VM list, a weight store and a store of KV cache
// pieces.
package platform

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MaxValueSize is the maximum size of a value in the key-value service, in bytes.
const MaxValueSize = 1 << 20

// Errors of the platform's services. Implementations wrap them; callers test
// with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the condition of a write was not met; the write has no
	// effect. A version of an earlier era meets no condition.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call had no effect and may be retried.
	ErrUnavailable = errors.New("service unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect. The caller
	// must read the key to find out.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrThrottled means that the service rejected the call because of a rate limit.
	ErrThrottled = errors.New("rate exceeded")
	// ErrTooLarge means that the value is larger than MaxValueSize; the write has
	// no effect.
	ErrTooLarge = errors.New("value too large")
	// ErrCorrupt means that the data does not match its checksum.
	ErrCorrupt = errors.New("checksum mismatch")
)

// Era is the number of times that the key-value service was restored from an older copy
// of itself. A restore loses the writes and leases since the copy, and the service then
// gives out their revisions again.
type Era uint64

// Version is the version of a key; 0 means that the key does not exist. Every write
// gives the key a larger version, which is unique among all keys of the service. It
// consists of the era and the service's revision in that era, so that every version of
// a later era is larger.
type Version uint64

// revisionBits is the number of bits of a Version that hold the revision.
const revisionBits = 44

// NewVersion returns the version of a revision in an era. A revision of 0 has the version 0.
func NewVersion(era Era, revision uint64) Version {
	if revision == 0 {
		return 0
	}
	return Version(uint64(era)<<revisionBits | revision)
}

// Era returns the era in which the version was given out.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// String returns the revision, after the era unless that is 0.
func (v Version) String() string {
	if v.Era() == 0 {
		return strconv.FormatUint(v.Revision(), 10)
	}
	return fmt.Sprintf("%d/%d", v.Era(), v.Revision())
}

// Revision returns the service's revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// Entry is a key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Event is a change of a key.
type Event struct {
	Entry
	Deleted bool
}

// KV is the platform's key-value service. Each call, and each watch while it waits,
// counts towards the service's rate limit.
type KV interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's version is expected (0: only if
	// absent). Unless lease is 0, the key is deleted when the lease ends. It returns
	// the new version, or ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error)
	// Delete deletes the key if its version is expected. It returns ErrNotFound if
	// the key does not exist.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch sends the changes of keys under prefix whose versions are larger than
	// after. The channel is closed when the watch breaks or ctx is done; the caller
	// then reads the state again and starts another watch. It returns ErrCompacted if after
	// is of an earlier era.
	Watch(ctx context.Context, prefix string, after Version) (<-chan Event, error)
	// GrantLease creates a lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews the lease. It returns ErrNotFound if the lease has expired.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Era returns the latest era seen in the service's responses.
	Era() Era
}

// VMState is the state of a VM in the VM list.
type VMState string

// The states of a listed VM. A VM that no longer exists is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the VM list.
type VM struct {
	Name             string  `json:"name"`
	Address          string  `json:"address"` // host:port of the daemon's RPC listener
	AvailabilityZone string  `json:"availability_zone"`
	Group            string  `json:"group"` // GroupRouters, or a group of the config document
	State            VMState `json:"state"`
}

// GroupRouters is the VM group of the routers.
const GroupRouters = "routers"

// VMList is the platform's list of VMs. It may be out of date.
type VMList interface {
	// VMs returns all listed VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// Weights identifies a set of model weights.
type Weights struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"` // empty for the base model
	Version string `json:"version"`
}

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Versions returns the weights that are stored for a model.
	Versions(ctx context.Context, model string) ([]Weights, error)
}

// Piece is a stored piece of KV cache: the blocks of a contiguous section of a prompt.
type Piece struct {
	ID     string // prefix.PieceID of its last block
	Salt   string // cache salt of the seed, checked on import
	Data   []byte
	Tokens int
}

// PieceStore stores KV cache outside of the engines, in pieces of about 2000 tokens.
type PieceStore interface {
	// Get returns the piece, or ErrNotFound or ErrCorrupt.
	Get(ctx context.Context, id string) (Piece, error)
	// Put stores a piece. It is idempotent. It returns ErrConflict if a piece with the
	// same ID and another salt is stored.
	Put(ctx context.Context, piece Piece) error
}
