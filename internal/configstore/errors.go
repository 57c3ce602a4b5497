package configstore

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
)

// Errors of a Store.
var (
	// ErrNoDocument means that the environment has no document.
	ErrNoDocument = errors.New("the environment has no document")
	// ErrDigestMismatch means that the document in the source environment is not
	// the one to promote.
	ErrDigestMismatch = errors.New("the source environment holds another document")
	// ErrKeyWithdrawn means that a key id was withdrawn, which is permanent.
	ErrKeyWithdrawn = errors.New("the key id is withdrawn")
	// ErrOutcomeUnknown means that the response to a write was lost, and reading back
	// did not show whether the change took effect.
	ErrOutcomeUnknown = errors.New("the change may have taken effect")
)

// ConflictError means that another change came first and this one has no effect.
type ConflictError struct {
	Base    uint64           // revision that the change is based on; 0 if there was no document
	Current *config.Revision // revision in the key-value service
	Diff    string           // from the current document to that of the change
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change is based on revision %d, but revision %d is current", e.Base, e.Current.Number)
}
