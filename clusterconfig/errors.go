package clusterconfig

import (
	"errors"
	"fmt"
)

// Errors of rejected proposals. Their texts are for operators. Code must use errors.Is, not the texts.
var (
	// ErrVersionConflict is returned for a proposal or an entry that is not based on the active version.
	ErrVersionConflict = errors.New("proposal is not based on the active version")
	// ErrChangePending is returned for a proposal that is made while another change is pending.
	ErrChangePending = errors.New("another change is pending")
	// ErrNotLeader is returned by a voter that is not the leader, or whose leadership is not confirmed.
	ErrNotLeader = errors.New("this voter cannot act as leader")

	ErrMissing      = errors.New("value is missing")
	ErrNoChanges    = errors.New("proposal contains no changes")
	ErrUnknownKey   = errors.New("unknown key")
	ErrDuplicateKey = errors.New("duplicate key")
)

// Errors of entries and commands that cannot be applied, and of versions that cannot be read.
var (
	ErrOutOfSequence  = errors.New("entry is out of sequence")
	ErrForkedHistory  = errors.New("entry belongs to another history")
	ErrAltered        = errors.New("entry does not match its hash")
	ErrNotPending     = errors.New("change is not pending")
	ErrNothingPending = errors.New("no change is pending")
	ErrNotYetActive   = errors.New("version is not active yet")
	ErrDocumentExists = errors.New("cannot adopt a document: the epoch already has a version or a pending change")
	ErrEmptyCommand   = errors.New("command is empty")
)

// FieldError is a fault in one field of a proposal.
type FieldError struct {
	Field string // JSON name of the field; for a change, its index and its key follow
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the fault without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// TruncatedError is returned when a document of an earlier version cannot be restored, because the version, or the
// value of a key at that version, is older than the kept history.
type TruncatedError struct {
	Key     string // empty if the whole version is too old
	Version uint64
}

func (e *TruncatedError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("version %d is older than the kept history", e.Version)
	}
	return fmt.Sprintf("%s: the value at version %d was set before the kept history begins", e.Key, e.Version)
}

// HeadError is returned for a history that does not end at the document's last entry.
type HeadError struct {
	History, Document uint64 // last version of each
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("history ends at version %d, but the document is at version %d", e.History, e.Document)
}
