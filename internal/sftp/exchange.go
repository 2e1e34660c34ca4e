package sftp

import (
	"fmt"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// maxListingBytes is the maximum size of a directory listing in bytes. A larger directory is an error. With a higher
// limit, a listing could use more memory.
const maxListingBytes = 1 << 20

// effect indicates whether a packet makes a node execute something once the node has received the whole packet.
type effect bool

const (
	noEffect effect = false
	executes effect = true
)

// exchange performs one operation with a node. An operation that needs a handle opens its own handle and closes it
// afterwards.
type exchange struct {
	*pool.Exchange
	id uint32 // id of the last packet sent
}

// run performs an operation.
func (x *exchange) run(op *operation) (broker.Result, error) {
	switch op.command {
	case Open, OpenWrite:
		return x.open(op)
	case Read, Write:
		return x.transfer(op)
	case List:
		return x.list(op)
	case Remove:
		return x.simple(typeRemove, op)
	case Stat:
	}
	return x.simple(typeStat, op)
}

// request sends a packet and reads its answer. has says whether the packet makes the node execute something.
func (x *exchange) request(has effect, kind byte, parts ...[]byte) (packet, error) {
	x.id++
	message := encodePacket(kind, x.id, parts...)
	executableAfter := 0
	if has == executes {
		executableAfter = pool.MessageSize(message)
	}
	if err := x.Send(message, executableAfter); err != nil {
		return packet{}, err
	}
	return x.readAnswer(x.id)
}

// readAnswer reads the next packet, which must be the answer to the packet with the given id.
func (x *exchange) readAnswer(id uint32) (packet, error) {
	p, err := readPacket(x.Reader)
	if err == nil && p.id != id {
		err = fmt.Errorf("%w: answer to packet %d instead of packet %d", errPacket, p.id, id)
	}
	return p, err
}

// simple performs an operation that consists of one packet with a path.
func (x *exchange) simple(kind byte, op *operation) (broker.Result, error) {
	p, err := x.request(executes, kind, encodeString(op.path))
	if err != nil {
		return broker.Result{Load: scheduler.NoLoadReport}, err
	}
	return resultOf(p)
}

// openHandle sends a packet that opens a handle at the node. If the node returns a handle, openHandle returns it.
// Otherwise handle is nil, and result and err are the outcome of the operation.
func (x *exchange) openHandle(has effect, kind byte, parts ...[]byte) (handle []byte, result broker.Result, err error) {
	p, err := x.request(has, kind, parts...)
	if err != nil {
		return nil, broker.Result{Load: scheduler.NoLoadReport}, err
	}
	if handle = p.handle(); handle != nil {
		return handle, broker.Result{}, nil
	}
	result, err = resultOf(p)
	return nil, result, err
}

// closeHandle closes a handle at the node. It is called after the operation's answer has been read.
func (x *exchange) closeHandle(has effect, handle []byte) {
	x.ReadTrailer(func() error {
		_, err := x.request(has, typeClose, encodeString(handle))
		return err
	})
}

// open opens the file at the node and closes it again, since the client's handle exists only in the server.
func (x *exchange) open(op *operation) (broker.Result, error) {
	handle, result, err := x.openHandle(executes, typeOpen, encodeString(op.path), encodeUint32(op.flags), op.attrs)
	if handle == nil {
		return result, err
	}
	x.closeHandle(executes, handle)
	return broker.Result{Value: answer{kind: typeHandle}, Load: scheduler.NoLoadReport}, nil
}

// transfer reads or writes data. It opens the file at the node without the flags that create or truncate it, so that
// the OPEN changes nothing. The node executes only the READ or WRITE, and only after it has received its last byte.
func (x *exchange) transfer(op *operation) (broker.Result, error) {
	flags := uint32(flagRead)
	if op.command == Write {
		flags = op.flags & (flagWrite | flagAppend)
	}
	noAttrs := encodeUint32(0)
	handle, result, err := x.openHandle(noEffect, typeOpen, encodeString(op.path), encodeUint32(flags), noAttrs)
	if handle == nil {
		return result, err
	}
	transferID := x.id + 1
	closeID := x.id + 2
	x.id = closeID
	handleField := encodeString(handle)
	message := encodePacket(typeRead, transferID, handleField, encodeUint64(op.offset), encodeUint32(op.length))
	if op.command == Write {
		length := encodeUint32(uint32(len(op.data)))
		message = encodePacket(typeWrite, transferID, handleField, encodeUint64(op.offset), length, op.data)
	}
	executableAfter := pool.MessageSize(message) // excludes the CLOSE, which changes nothing if it is cut off
	message = append(message, encodePacket(typeClose, closeID, handleField)...)
	if err := x.Send(message, executableAfter); err != nil {
		return broker.Result{}, err
	}
	p, err := x.readAnswer(transferID)
	if err != nil {
		return broker.Result{Load: scheduler.NoLoadReport}, err
	}
	result, err = resultOf(p)
	if err == nil {
		x.ReadTrailer(func() error {
			_, err := x.readAnswer(closeID)
			return err
		})
	}
	return result, err
}

// list reads a whole directory. It sends many packets, so a drain of the node must be able to end it: after
// StopSending, sending the next packet fails.
func (x *exchange) list(op *operation) (broker.Result, error) {
	handle, result, err := x.openHandle(noEffect, typeOpendir, encodeString(op.path))
	if handle == nil {
		return result, err
	}
	var names [][]byte
	for size := 0; ; {
		p, err := x.request(noEffect, typeReaddir, encodeString(handle))
		if err != nil {
			return broker.Result{}, err
		}
		if p.kind != typeName {
			return x.endListing(p, handle, names)
		}
		size += len(p.body)
		if size > maxListingBytes {
			return broker.Result{}, fmt.Errorf("%w: directory listing exceeds %d bytes", errPacket, maxListingBytes)
		}
		if !op.reserveListing(size) {
			x.closeHandle(noEffect, handle)
			return broker.Result{ValueDiscarded: true, Load: scheduler.NoLoadReport}, nil
		}
		names = append(names, p.body)
	}
}

// endListing handles the packet that follows the last NAME packet of a listing. An EOF status completes the listing.
// Any other packet is the result of the operation.
func (x *exchange) endListing(p packet, handle []byte, names [][]byte) (broker.Result, error) {
	result, err := resultOf(p)
	if err != nil || p.kind != typeStatus || p.statusCode() != statusEOF {
		return result, err
	}
	x.closeHandle(noEffect, handle)
	return broker.Result{Value: answer{kind: typeName, names: names}, Load: scheduler.NoLoadReport}, nil
}
