package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// ExitCode is the exit status of the command-line tool.
type ExitCode int

// The exit codes. docs/CLI.md lists them.
const (
	ExitOK             ExitCode = 0  // done, or healthy
	ExitFailure        ExitCode = 1  // any other error
	ExitUsage          ExitCode = 2  // wrong command, flag or argument
	ExitInvalid        ExitCode = 3  // the document has faults
	ExitConflict       ExitCode = 4  // another operator's change came first; nothing changed
	ExitOutcomeUnknown ExitCode = 5  // the change may have taken effect
	ExitUnavailable    ExitCode = 6  // the platform can't be reached; nothing changed
	ExitRefused        ExitCode = 7  // the command's condition does not hold; nothing changed
	ExitUnconfirmed    ExitCode = 8  // changed, but daemons have not confirmed
	ExitDiffers        ExitCode = 9  // config diff found differences
	ExitDegraded       ExitCode = 10 // status: serving, with problems
	ExitDown           ExitCode = 11 // status: some requests can't be served
	ExitWarnings       ExitCode = 12 // config check: valid, with warnings
)

// ExitCodes returns the exit codes with their meanings.
func ExitCodes() map[ExitCode]string {
	return map[ExitCode]string{
		ExitOK:             "done, or healthy",
		ExitFailure:        "another error",
		ExitUsage:          "wrong command, flag or argument",
		ExitInvalid:        "the document has faults; nothing changed",
		ExitConflict:       "another operator's change came first; nothing changed",
		ExitOutcomeUnknown: "an answer was lost and the change may have taken effect",
		ExitUnavailable:    "the platform or a daemon can't be reached; nothing changed",
		ExitRefused:        "the command's condition does not hold; nothing changed",
		ExitUnconfirmed:    "the change is accepted, but some daemons have not confirmed it",
		ExitDiffers:        "config diff found differences",
		ExitDegraded:       "status: serving, with problems",
		ExitDown:           "status: some requests can't be served",
		ExitWarnings:       "config check: valid, with warnings",
	}
}

// commandError is an error with its exit code and a hint for the operator.
type commandError struct {
	code ExitCode
	hint string
	err  error // nil if the command's output already gives the reason
}

func (e *commandError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func (e *commandError) Unwrap() error { return e.err }

// ExitCode implements the library's ExitCoder.
func (e *commandError) ExitCode() int { return int(e.code) }

func fail(code ExitCode, hint, format string, args ...any) error {
	return &commandError{code: code, hint: hint, err: errors.Errorf(format, args...)}
}

// exitWith returns an error that only sets the exit code, for commands whose
// output has already given the reason.
func exitWith(code ExitCode) error { return &commandError{code: code} }

// classify returns err with its exit code and hint.
func classify(err error) *commandError {
	var command *commandError
	var faults config.Faults
	var conflict *configstore.ConflictError
	switch {
	case errors.As(err, &command):
		return command
	case errors.As(err, &faults):
		return &commandError{ExitInvalid, "mend the lines named above; docs/CONFIGURATION.md lists every setting", err}
	case errors.As(err, &conflict):
		return &commandError{ExitConflict, conflictHint(conflict), err}
	case errors.Is(err, configstore.ErrOutcomeUnknown):
		return &commandError{ExitOutcomeUnknown, "run \"wasabigate config history\" when the key-value service answers; do not repeat the change before", err}
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled), errors.Is(err, context.DeadlineExceeded):
		return &commandError{ExitUnavailable, "nothing changed; check --key-value and --vm-list, or raise --timeout", err}
	case errors.Is(err, configstore.ErrNoDocument):
		return &commandError{ExitRefused, "apply a first document: wasabigate config apply FILE", err}
	case errors.Is(err, configstore.ErrDigestMismatch):
		return &commandError{ExitRefused, "the source changed meanwhile; check it and promote again", err}
	case errors.Is(err, configstore.ErrKeyWithdrawn):
		return &commandError{ExitRefused, "choose another --id", err}
	case errors.Is(err, config.ErrNoSection):
		return &commandError{ExitRefused, "see \"wasabigate config show\"", err}
	}
	return &commandError{ExitFailure, "", err}
}

func conflictHint(conflict *configstore.ConflictError) string {
	return fmt.Sprintf("nothing changed and nothing is lost; take the lines below into account and apply with --base %d", conflict.Current.Number)
}

// errorReport is an error as written in JSON.
type errorReport struct {
	Error    string        `json:"error"`
	ExitCode ExitCode      `json:"exit_code"`
	Hint     string        `json:"hint,omitempty"`
	Faults   config.Faults `json:"faults,omitempty"`
	Current  uint64        `json:"current_revision,omitempty"`
	Diff     string        `json:"diff,omitempty"`
}

// report writes err in the output format and returns the exit code.
func report(w io.Writer, format string, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	explained := classify(err)
	if explained.err == nil {
		return explained.code
	}
	out := errorReport{Error: explained.Error(), ExitCode: explained.code, Hint: explained.hint}
	var conflict *configstore.ConflictError
	if errors.As(err, &conflict) {
		out.Current, out.Diff = conflict.Current.Number, conflict.Diff
	}
	if format == outputJSON {
		errors.As(err, &out.Faults)
		_ = writeJSON(w, out)
		return out.ExitCode
	}
	out.writeText(w)
	return out.ExitCode
}

func (r *errorReport) writeText(w io.Writer) {
	fmt.Fprintln(w, "wasabigate:", strings.ReplaceAll(r.Error, "\n", "\nwasabigate: "))
	if r.Hint != "" {
		fmt.Fprintln(w, "hint:", r.Hint)
	}
	if r.Diff != "" {
		fmt.Fprint(w, "difference from the current document to yours:\n", r.Diff)
	}
}

// exitCodeRow returns the table row of an exit code in docs/CLI.md.
func exitCodeRow(code ExitCode, meaning string) string {
	return fmt.Sprintf("| %d | %s |", code, meaning)
}
