package clusterconfig

import (
	"errors"
	"fmt"
)

// Why a proposal is rejected. The texts are shown to operators and must not change.
var (
	// ErrVersionConflict is the fault of a proposal that builds on another version than the active one.
	ErrVersionConflict = errors.New("another version is in force")
	// ErrChangePending is the fault of a proposal that comes while another change is pending.
	ErrChangePending = errors.New("another change is under way")
	// ErrNotLeader is returned by a voter that does not lead, or cannot be sure that it still does.
	ErrNotLeader = errors.New("this member does not lead")

	ErrMissing      = errors.New("missing")
	ErrNoChanges    = errors.New("none")
	ErrUnknownKey   = errors.New("unknown key")
	ErrDuplicateKey = errors.New("stands twice")
)

// Why an entry or a command does not apply.
var (
	ErrOutOfSequence  = errors.New("does not follow")
	ErrForkedHistory  = errors.New("builds on another history")
	ErrAltered        = errors.New("was altered")
	ErrNotPending     = errors.New("is not under way")
	ErrNothingPending = errors.New("nothing is under way")
	ErrNotYetActive   = errors.New("is not in force yet")
	ErrDocumentExists = errors.New("there is a document")
	ErrEmptyCommand   = errors.New("an empty command")
)

// FieldError is a fault of one field of a proposal.
type FieldError struct {
	Field string // as in the proposal's JSON, with the key for a change
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the fault itself.
func (e *FieldError) Unwrap() error { return e.Err }

// TruncatedError is returned for a version or a value that the kept history does not reach.
type TruncatedError struct {
	Key     string // empty if the whole version is out of reach
	Version uint64
}

func (e *TruncatedError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("version %d is older than what is kept", e.Version)
	}
	return fmt.Sprintf("%s: its value at version %d was set before what is kept", e.Key, e.Version)
}

// HeadError is returned for a history that does not end at the document's version.
type HeadError struct {
	History, Document uint64 // versions
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("the trail ends at version %d, the document is of version %d", e.History, e.Document)
}
