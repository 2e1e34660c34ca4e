package sftp

import (
	"fmt"
	"net"
	"strings"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// busyText is the prefix of a FAILURE status text that rejects a command. A node that sends it has not executed the
// command. This broker sends it if the client can safely retry.
const busyText = "BUSY"

// answer is a node's answer to an operation: the type and body of a packet, or a complete directory listing.
type answer struct {
	kind  byte
	body  []byte
	names [][]byte // bodies of NAME packets
}

// packet encodes the answer for a client. Directory listings are encoded by nextNames instead.
func (a answer) packet(id uint32) net.Buffers { return encodePacket(a.kind, id, a.body) }

// resultOf converts a node's answer packet to the result of the operation. A status that completes the operation, for
// example one that reports a missing file, is a normal answer.
func resultOf(p packet) (broker.Result, error) {
	result := broker.Result{Load: scheduler.NoLoadReport, Value: answer{kind: p.kind, body: p.body}}
	switch p.kind {
	case typeData, typeAttrs, typeName:
		return result, nil
	case typeStatus:
		return resultOfStatus(p, result)
	}
	return broker.Result{Load: scheduler.NoLoadReport}, fmt.Errorf("%w: unexpected answer type %d", errPacket, p.kind)
}

// resultOfStatus converts a STATUS packet to the result of an operation. answered is the result that it returns for a
// status that completes the operation.
func resultOfStatus(p packet, answered broker.Result) (broker.Result, error) {
	rejected := broker.Result{Load: scheduler.NoLoadReport, Reply: broker.ReplyRejected}
	failed := broker.Result{Load: scheduler.NoLoadReport, Reply: broker.ReplyError}
	if len(p.body) < 4 { // too short for a status code
		return broker.Result{Load: scheduler.NoLoadReport}, errPacket
	}
	f := fields{rest: p.body}
	code := f.uint32()
	text := string(f.string(MaxPacketBytes))
	switch code {
	case statusOK, statusEOF, statusNoSuchFile, statusDenied, statusBadMessage, statusUnsupported:
		return answered, nil
	case statusFailure:
		if strings.HasPrefix(text, busyText) {
			return rejected, nil
		}
	}
	return failed, nil
}

// encodeRejection encodes the answer to a command that the client can safely retry: it was not executed, or its class
// is idempotent.
func encodeRejection(id uint32, retryAfter broker.Micros) net.Buffers {
	text := busyText
	if retryAfter > 0 {
		millis := (retryAfter + 999) / 1000 // rounded up, so that the client does not retry too early
		text = fmt.Sprintf("%s: come again after %d ms", busyText, millis)
	}
	return encodeStatus(id, statusFailure, text)
}

// encodeFailure encodes the answer to a command that may or may not have been executed.
func encodeFailure(id uint32) net.Buffers {
	return encodeStatus(id, statusFailure, "failed: it may or may not have run")
}
