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

// healthCheckTimeout bounds a health check from the moment it has its connection. Higher, a stalled node would be found
// out later; lower, slow nodes would be taken for failed.
const healthCheckTimeout = time.Second

// healthCheckCommand asks a node for its load report.
const healthCheckCommand = "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"

var errNotRESP = errors.New("not a RESP request")

// Transport carries attempts to storage nodes, each alone on its connection. It implements broker.Transport.
type Transport struct{ pool *pool.Pool }

// NewTransport returns a transport over connections from a pool.
func NewTransport(p *pool.Pool) *Transport { return &Transport{pool: p} }

// Start implements broker.Transport.
func (t *Transport) Start(attempt broker.Attempt, onResult func(broker.Result)) broker.Handle {
	cmd, ok := attempt.Request.Message.(*command)
	if !ok {
		return pool.FailAttempt(errNotRESP, onResult)
	}
	call := func(e *pool.Exchange) (broker.Result, error) { return exchange(e, cmd, attempt.Timeout) }
	return t.pool.Start(attempt.Address, call, 0, attempt.OnWritten, onResult)
}

// exchange sends a command and reads the reply to its end.
func exchange(e *pool.Exchange, cmd *command, timeout broker.Micros) (broker.Result, error) {
	message := cmd.forward(timeout - broker.MicrosOf(e.Elapsed()))
	if err := e.Send(message, pool.MessageSize(message)); err != nil {
		return broker.Result{}, err
	}
	result, rest, err := readReply(e.Reader)
	if err == nil && rest.streamed > 0 {
		err = streamValue(e, rest.streamed, result)
	}
	if err == nil && rest.parts > 0 {
		readRest(e, rest, &result)
	}
	return result, err
}

// streamValue hands a long value to whoever waits for it and returns when that has taken it whole.
func streamValue(e *pool.Exchange, size int, result broker.Result) error {
	value := newStream(size, e.Reader, e.SetReadTimeout)
	result.Value = value
	if !e.Deliver(result) {
		return errStreamAbandoned
	}
	return value.wait(e.Stopped())
}

// readRest reads what follows a value. The client waits for it only if all of it has come: figures may be late, or so
// spoilt that they never end.
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
