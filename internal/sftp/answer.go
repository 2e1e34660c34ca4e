package sftp

import (
	"fmt"
	"net"
	"strings"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// busyText begins the text of a FAILURE status by which a node, or this broker, rejects a command without executing it.
const busyText = "BUSY"

// answer is what a node gave: a packet's type and body, or a whole directory.
type answer struct {
	kind  byte
	body  []byte
	names [][]byte // bodies of NAME packets
}

// packet encodes the answer for a client. A directory is handed out by session.readdir instead.
func (a answer) packet(id uint32) net.Buffers { return encodePacket(a.kind, id, a.body) }

// resultOf judges a node's packet. A status that settles the command is an answer like any other.
func resultOf(p packet) (broker.Result, error) {
	result := broker.Result{Load: scheduler.NoLoadReport, Value: answer{kind: p.kind, body: p.body}}
	switch p.kind {
	case typeData, typeAttrs, typeName:
		return result, nil
	case typeStatus:
		return resultOfStatus(p, result)
	}
	return broker.Result{Load: scheduler.NoLoadReport}, fmt.Errorf("%w: type %d", errPacket, p.kind)
}

// resultOfStatus judges a STATUS packet; answered is the result if it settles the command.
func resultOfStatus(p packet, answered broker.Result) (broker.Result, error) {
	rejected := broker.Result{Load: scheduler.NoLoadReport, Reply: broker.ReplyRejected}
	failed := broker.Result{Load: scheduler.NoLoadReport, Reply: broker.ReplyError}
	if len(p.body) < 4 { // without a code
		return broker.Result{Load: scheduler.NoLoadReport}, errPacket
	}
	f := fields{rest: p.body}
	code := f.uint32()
	text := string(f.string(maxPacketBytes))
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

// encodeRejection encodes the answer to a command that was not executed.
func encodeRejection(id uint32, retryAfter broker.Micros) net.Buffers {
	text := busyText
	if retryAfter > 0 {
		millis := (retryAfter + 999) / 1000 // rounded up: earlier would be too early
		text = fmt.Sprintf("%s: come again after %d ms", busyText, millis)
	}
	return encodeStatus(id, statusFailure, text)
}

// encodeFailure encodes the answer to a command of which nothing is promised.
func encodeFailure(id uint32) net.Buffers {
	return encodeStatus(id, statusFailure, "failed: it may or may not have run")
}
