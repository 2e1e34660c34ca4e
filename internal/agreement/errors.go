package agreement

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"junctionwharf/clusterconfig"
	"junctionwharf/internal/consensus"
)

// errorKind classifies the error of a call for scripts. The values are part of the wire protocol and of the console's
// answers. The command line maps them to exit codes.
type errorKind string

const (
	kindExpected errorKind = "expected" // another version is active, or another change is pending
	kindUnknown  errorKind = "unknown"  // it is not known whether the change was committed
	kindInvalid  errorKind = "invalid"  // the call or the proposal is invalid
	kindNoLeader errorKind = "none"     // no leader answers
)

// kindOf returns the kind of the error with which the leader answers a call.
func kindOf(err error) errorKind {
	switch {
	case errors.Is(err, clusterconfig.ErrVersionConflict), errors.Is(err, clusterconfig.ErrChangePending):
		return kindExpected
	case errors.Is(err, consensus.ErrOutcomeUnknown):
		return kindUnknown
	case errors.Is(err, clusterconfig.ErrNotLeader):
		return kindNoLeader
	}
	return kindInvalid
}

// callError is the console's answer to a call that failed.
type callError struct {
	Error string    `json:"error"`
	Kind  errorKind `json:"kind"`
}

func failure(kind errorKind, message string) []byte {
	line, err := json.Marshal(callError{message, kind})
	if err != nil { // cannot happen: two strings can always be encoded
		panic(err)
	}
	return append(line, '\n')
}

// publicTypeNames replaces the names of Go types in the errors for an invalid proposal by the names that the console
// has always shown, so that renaming a type or its package does not change the console's answers.
var publicTypeNames = strings.NewReplacer(
	"type "+reflect.TypeFor[[]clusterconfig.Change]().String(), "type []agree.Change",
	"type "+reflect.TypeFor[clusterconfig.Change]().String(), "type agree.Change",
	"type "+reflect.TypeFor[clusterconfig.Proposal]().String(), "type agree.Proposal",
	"field "+reflect.TypeFor[clusterconfig.Change]().Name()+".", "field Change.",
	"field "+reflect.TypeFor[clusterconfig.Proposal]().Name()+".", "field Proposal.",
)

// publicMessage returns the text of an error as the console shows it.
func publicMessage(err error) string {
	if _, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return publicTypeNames.Replace(err.Error())
	}
	return err.Error()
}
