package configstore

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
)

// Errors of the store.
var (
	// ErrNoDocument means that the environment has no document yet.
	ErrNoDocument = errors.New("the environment has no document")
	// ErrDigestMismatch means that the source environment holds another document
	// than the one to be promoted.
	ErrDigestMismatch = errors.New("the source environment holds another document")
	// ErrKeyWithdrawn means that a key id was withdrawn before and stays so.
	ErrKeyWithdrawn = errors.New("the key id is withdrawn")
	// ErrUnsettled means that an answer was lost, and reading back did not
	// settle whether the change took effect.
	ErrUnsettled = errors.New("the change may have taken effect")
)

// ConflictError means that another operator's change came first. The change
// that met it has no effect.
type ConflictError struct {
	Base    uint64           // revision that the author had read; 0: no document
	Current *config.Revision // revision in the key-value service
	Diff    string           // lines, from the current document to the author's
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change is based on revision %d, but revision %d is current", e.Base, e.Current.Number)
}
