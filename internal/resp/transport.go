package resp

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
)

// healthCheckTimeout bounds a health check from the time at which it has a connection. With a larger value a stalled
// node would be detected later. With a smaller value slow nodes would be considered failed.
const healthCheckTimeout = time.Second

// healthCheckCommand requests a node's load report.
const healthCheckCommand = "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"

var errNotRESP = errors.New("request is not a RESP command")

// Transport sends attempts to storage nodes, one at a time on each connection. It implements broker.Transport.
type Transport struct{ pool *pool.Pool }

// NewTransport returns a transport that uses the connections of a pool.
func NewTransport(p *pool.Pool) *Transport { return &Transport{pool: p} }

// Start implements broker.Transport.
func (t *Transport) Start(attempt broker.Attempt, onResult func(broker.Result)) broker.Handle {
	cmd, ok := attempt.Request.Message.(*command)
	if !ok {
		return pool.FailAttempt(errNotRESP, onResult)
	}
	cmd.forwarded = true
	call := func(e *pool.Exchange) (broker.Result, error) { return exchange(e, cmd, attempt.Timeout) }
	return t.pool.Start(attempt.Address, call, 0, attempt.OnWritten, onResult)
}

// exchange sends a command and reads the complete reply. Transport.Start runs it as a pool.ExchangeFunc.
func exchange(e *pool.Exchange, cmd *command, timeout broker.Micros) (broker.Result, error) {
	message := cmd.forward(timeout - broker.MicrosOf(e.Elapsed()))
	if err := e.Send(message, pool.MessageSize(message)); err != nil {
		return broker.Result{}, err
	}
	result, rest, err := readReply(e.Reader, cmd.memory)
	if err == nil && rest.streamed > 0 {
		err = streamValue(e, rest.streamed, result)
	}
	if err == nil && rest.parts > 0 {
		readRest(e, rest, &result)
	}
	return result, err
}

// streamValue delivers a long value as a stream. It returns nil when the value has been forwarded completely. It fails
// if the stream ends in another way or the attempt is stopped.
func streamValue(e *pool.Exchange, size int, result broker.Result) error {
	value := newStream(size, e.Reader, e.SetReadTimeout)
	result.Value = value
	if !e.Deliver(result) {
		return errStreamAbandoned
	}
	return value.wait(e.Stopped())
}

// readRest reads the parts of a reply after its value. If these parts are malformed or not buffered completely,
// readRest delivers the result before it reads them, since they may arrive late or never end. The result of a streamed
// value has already been delivered.
func readRest(e *pool.Exchange, rest replyRest, result *broker.Result) {
	buffered, _ := e.Reader.Peek(e.Reader.Buffered())
	trial := *result
	copied := bufio.NewReaderSize(bytes.NewReader(buffered), 2*maxLineBytes)
	if rest.streamed == 0 && readTrailer(copied, rest.parts, &trial) != nil {
		e.Deliver(*result)
	}
	e.ReadTrailer(func() error { return readTrailer(e.Reader, rest.parts, result) })
}

// CheckHealth implements broker.Transport.
func (t *Transport) CheckHealth(address string, onResult func(broker.Result)) {
	check := func(e *pool.Exchange) (broker.Result, error) {
		if err := e.Send(net.Buffers{[]byte(healthCheckCommand)}, 0); err != nil {
			return broker.Result{}, err
		}
		return readHealthCheck(e.Reader)
	}
	t.pool.Start(address, check, healthCheckTimeout, nil, onResult)
}

// CloseIdle implements broker.Transport.
func (t *Transport) CloseIdle(address string) { t.pool.CloseIdle(address) }
