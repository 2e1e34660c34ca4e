package sftp

import (
	"math"

	"junctionwharf/internal/clientconn"
)

// operation is a file command with its arguments.
type operation struct {
	command Command
	path    string
	flags   uint32 // flags of the OPEN packet
	attrs   []byte // attributes of the OPEN packet, as received
	offset  uint64
	length  uint32                  // number of bytes to read
	data    []byte                  // data to write
	memory  *clientconn.Reservation // of the command and its answer; nil without a session
}

// size returns the number of bytes that the operation reads or writes, 0 if it does neither.
func (op *operation) size() int { return max(len(op.data), int(op.length)) }

// conflicts reports whether two operations of one connection must keep their order. They must if both access the same
// file, at least one of them changes it, and they do not access separate ranges of it.
func (op *operation) conflicts(other *operation) bool {
	if op.path != other.path || !op.command.mutates() && !other.command.mutates() {
		return false
	}
	if !op.hasRange() || !other.hasRange() {
		return true
	}
	return op.offset < other.end() && other.offset < op.end()
}

// hasRange reports whether the operation accesses only a known range of the file.
func (op *operation) hasRange() bool {
	return (op.command == Read || op.command == Write) && op.flags&flagAppend == 0
}

// end returns the offset after the operation's range, or the maximum offset if the range would exceed it.
func (op *operation) end() uint64 {
	n := uint64(op.size())
	if op.offset > math.MaxUint64-n {
		return math.MaxUint64
	}
	return op.offset + n
}
