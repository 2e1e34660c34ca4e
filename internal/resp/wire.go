package resp

import (
	"net"
	"strconv"

	"junctionwharf/broker"
)

// The commands of clients.
const (
	commandPing  = "PING"
	commandRead  = "BLK.READ"
	commandWrite = "BLK.WRITE"
)

// The options of a command: the names of its name=value list.
const (
	optionClass   = "c"
	optionPlan    = "t"
	optionVolume  = "volume"
	optionTimeout = "d" // milliseconds that the client waits
	optionUnits   = "units"
	optionShard   = "shard"
	optionBrokers = "hosts" // brokers through which the volume's requests come
	optionRetry   = "r"     // 1 for a request that the client sends once more
)

const (
	// maxValueBytes bounds the value of a request, and a node's value that is buffered. The protocol sets it.
	maxValueBytes = 64 << 10
	// maxArgs bounds the parts of a command; the longest command has five.
	maxArgs = 8
	// maxIDBytes bounds a request's id. Higher, the ids of open requests could take more memory.
	maxIDBytes = 128
	// keyDigits is the number of hex digits of a key or a volume. The protocol sets it.
	keyDigits = 16
)

// The lines of answers.
const (
	lineEnd     = "\r\n"
	pongLine    = "+PONG\r\n"
	failedLine  = "-ERR failed\r\n"
	errorPrefix = "-ERR "
	busyPrefix  = "-BUSY"
)

// pingCommand is a PING as clients send it.
const pingCommand = "*1\r\n$4\r\nPING\r\n"

// encodeResponse encodes the final answer to a request. The value of a stream follows what it returns.
func encodeResponse(response broker.Response) net.Buffers {
	switch response.Verdict {
	case broker.Served:
		if long, ok := response.Value.(*stream); ok {
			return net.Buffers{bulkHeader(long.size)}
		}
		value, _ := response.Value.([]byte)
		return net.Buffers{bulkHeader(len(value)), value, []byte(lineEnd)}
	case broker.Rejected:
		return net.Buffers{busyLine(response.RetryAfter)}
	case broker.Failed:
	}
	return net.Buffers{[]byte(failedLine)}
}

// busyLine is the rejection of a request with, unless retryAfter is 0, the number of milliseconds after which it may
// send it again.
func busyLine(retryAfter broker.Micros) []byte {
	line := []byte(busyPrefix)
	if retryAfter > 0 {
		millis := (retryAfter + 999) / 1000 // rounded up: earlier would be too early
		line = append(line, ' ')
		line = strconv.AppendInt(line, int64(millis), 10)
	}
	return append(line, lineEnd...)
}

// bulkHeader is the line before a bulk string of size bytes.
func bulkHeader(size int) []byte {
	line := strconv.AppendInt([]byte{'$'}, int64(size), 10)
	return append(line, lineEnd...)
}
