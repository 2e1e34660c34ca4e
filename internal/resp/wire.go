package resp

import (
	"net"
	"strconv"

	"junctionwharf/broker"
)

// The names of the clients' commands.
const (
	commandPing  = "PING"
	commandRead  = "BLK.READ"
	commandWrite = "BLK.WRITE"
)

// The names of the options in a command's name=value list.
const (
	optionClass   = "c"
	optionPlan    = "t"
	optionVolume  = "volume"
	optionTimeout = "d" // milliseconds that the client waits
	optionUnits   = "units"
	optionShard   = "shard"
	optionBrokers = "hosts" // the number of brokers to which the volume's requests are sent
	optionRetry   = "r"     // 1 for a request that the client sends again
)

const (
	// maxValueBytes bounds the bulk strings of a request, and a node's value that is buffered. The protocol defines it.
	maxValueBytes = 64 << 10
	// maxArgs bounds the number of arguments of a command. The longest command has five.
	maxArgs = 8
	// maxOptions bounds the name=value pairs of a command. With a larger value, a command of very many short pairs would
	// take processor time from other clients. A client sends about ten.
	maxOptions = 64
	// maxIDBytes bounds a request's ID. With a larger value the IDs of open requests could take more memory.
	maxIDBytes = 128
	// keyDigits is the number of hex digits of a key or a volume. The protocol defines it.
	keyDigits = 16
)

// The lines of answers and their prefixes.
const (
	lineEnd     = "\r\n"
	pongLine    = "+PONG\r\n"
	failedLine  = "-ERR failed\r\n"
	errorPrefix = "-ERR "
	busyPrefix  = "-BUSY"
)

// pingCommand is an encoded PING.
const pingCommand = "*1\r\n$4\r\nPING\r\n"

// encodeResponse encodes the final answer to a request. For a stream it encodes only the header; the writer then
// forwards the value.
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

// errorLine returns the line that answers input or a command that cannot be served.
func errorLine(err error) []byte { return []byte(errorPrefix + err.Error() + lineEnd) }

// busyLine returns the line that rejects a request. Unless retryAfter is 0, the line contains the number of
// milliseconds after which the client may retry.
func busyLine(retryAfter broker.Micros) []byte {
	line := []byte(busyPrefix)
	if retryAfter > 0 {
		millis := (retryAfter + 999) / 1000 // rounded up, so that no client retries too early
		line = append(line, ' ')
		line = strconv.AppendInt(line, int64(millis), 10)
	}
	return append(line, lineEnd...)
}

// bulkHeader returns the header line of a bulk string of size bytes.
func bulkHeader(size int) []byte {
	line := strconv.AppendInt([]byte{'$'}, int64(size), 10)
	return append(line, lineEnd...)
}
