package resp

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"junctionwharf/broker"
)

// errMalformed is the error of a command that cannot be parsed or served. Its text, and the texts of the errors that
// wrap it, are sent to the client.
var errMalformed = errors.New("malformed command")

// The indexes of a command's arguments.
const (
	argName = iota
	argKey
	argID
	argOptions
	argValue
)

// command is a client's command as received. Transport forwards it to nodes. It is the Message of its broker.Request.
type command struct {
	raw     []byte
	options []byte // the list of name=value pairs, a slice of raw
	timeout []byte // the value of optionTimeout, a slice of options
	memory  *requestMemory
	// forwarded is set when an attempt is started. An attempt may still write raw after its request is answered. Only
	// the loop's goroutine uses forwarded.
	forwarded bool
}

// parseCommand parses a command. The strings of the returned request are copies, but its Message refers to raw.
func parseCommand(raw []byte, args [][]byte) (*broker.Request, error) {
	write := len(args) == argValue+1 && bytes.EqualFold(args[argName], []byte(commandWrite))
	read := len(args) == argOptions+1 && bytes.EqualFold(args[argName], []byte(commandRead))
	if !write && !read {
		return nil, fmt.Errorf("%w: neither BLK.READ nor BLK.WRITE with its parts", errMalformed)
	}
	id := args[argID]
	if !isKey(args[argKey]) || len(id) == 0 || len(id) > maxIDBytes {
		return nil, fmt.Errorf("%w: piece or id", errMalformed)
	}
	cmd := &command{raw: raw, options: args[argOptions]}
	request := &broker.Request{Key: string(args[argKey]), Write: write, Shard: -1, Brokers: 1, Message: cmd}
	count := 0
	for rest := cmd.options; len(rest) > 0; {
		if count++; count > maxOptions {
			return nil, fmt.Errorf("%w: more than %d names", errMalformed, maxOptions)
		}
		var option []byte
		option, rest, _ = bytes.Cut(rest, []byte{','})
		if err := cmd.parseOption(request, option); err != nil {
			return nil, err
		}
	}
	if cmd.timeout == nil {
		return nil, fmt.Errorf("%w: d is missing", errMalformed)
	}
	return request, nil
}

// parseOption parses one name=value pair of a command's options. It ignores unknown names, which are meant for the
// nodes.
func (c *command) parseOption(request *broker.Request, option []byte) error {
	name, value, ok := bytes.Cut(option, []byte{'='})
	if !ok {
		return fmt.Errorf("%w: %.20q is no name=value", errMalformed, option)
	}
	text := string(value)
	var err error
	switch string(name) {
	case optionClass:
		request.Class = text
	case optionPlan:
		request.Plan = text
	case optionVolume:
		request.Volume = text
	case optionTimeout:
		if c.timeout != nil {
			return fmt.Errorf("%w: d stands twice", errMalformed)
		}
		c.timeout = value
		var millis int64
		millis, err = strconv.ParseInt(text, 10, 32)
		request.Timeout = broker.MicrosOf(time.Duration(millis) * time.Millisecond)
	case optionUnits:
		request.Units, err = strconv.ParseFloat(text, 64)
	case optionShard:
		request.Shard, err = strconv.Atoi(text)
	case optionBrokers:
		request.Brokers, err = strconv.Atoi(text)
	case optionRetry:
		request.Retry = text == "1"
	}
	if err != nil {
		return fmt.Errorf("%w: %.20q", errMalformed, option)
	}
	return nil
}

// isKey reports whether text has the format of a key or a volume.
func isKey(text []byte) bool {
	if len(text) != keyDigits {
		return false
	}
	for _, c := range text {
		if !isHexDigit(c) {
			return false
		}
	}
	return true
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// forward returns the buffers of the command for a node: the client's bytes with the client's timeout replaced by the
// given one. The new timeout is rounded down to milliseconds, but is at least 1 ms.
func (c *command) forward(timeout broker.Micros) net.Buffers {
	digits := strconv.AppendInt(nil, max(1, int64(timeout/1000)), 10)
	optionsAt := offsetIn(c.raw, c.options)
	timeoutAt := offsetIn(c.raw, c.timeout)
	behindTimeout := timeoutAt + len(c.timeout)
	headerAt := bytes.LastIndexByte(c.raw[:optionsAt], '$') // start of the header $n\r\n of the options
	header := bulkHeader(len(c.options) - len(c.timeout) + len(digits))
	return net.Buffers{c.raw[:headerAt], header, c.raw[optionsAt:timeoutAt], digits, c.raw[behindTimeout:]}
}

// offsetIn returns the offset at which part begins in whole. part must be a slice of whole without a reduced capacity.
func offsetIn(whole, part []byte) int { return cap(whole) - cap(part) }
