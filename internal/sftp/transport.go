package sftp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
)

// healthCheckTimeout bounds a health check from the moment it has its connection. Higher, a stalled node would be found
// out later; lower, slow nodes would be taken for failed.
const healthCheckTimeout = time.Second

var errNotFileCommand = errors.New("not a file command")

// Transport carries file commands to storage nodes. It implements broker.Transport.
type Transport struct {
	pool *pool.Pool
	port int // where nodes listen for file commands, 0 for the port of the endpoint list
}

// NewTransport returns a transport over connections from a pool, on which Handshake must have opened a session.
func NewTransport(p *pool.Pool, port int) *Transport { return &Transport{pool: p, port: port} }

// Handshake opens a session on a new connection to a node.
func Handshake(conn net.Conn, reader *bufio.Reader) error {
	hello := encodePacket(typeInit, protocolVersion)
	if _, err := hello.WriteTo(conn); err != nil {
		return err
	}
	p, err := readPacket(reader)
	if err != nil {
		return err
	}
	if p.kind != typeVersion || p.id < protocolVersion {
		return fmt.Errorf("%w: want VERSION %d", errPacket, protocolVersion)
	}
	return nil
}

// address is where a node listens for file commands.
func (t *Transport) address(listed string) string {
	host, _, err := net.SplitHostPort(listed)
	if t.port == 0 || err != nil {
		return listed
	}
	return net.JoinHostPort(host, strconv.Itoa(t.port))
}

// Start implements broker.Transport.
func (t *Transport) Start(attempt broker.Attempt, onResult func(broker.Result)) broker.Handle {
	op, ok := attempt.Request.Message.(*operation)
	if !ok {
		return pool.FailAttempt(errNotFileCommand, onResult)
	}
	return t.pool.Start(t.address(attempt.Address), call(op), 0, attempt.OnWritten, onResult)
}

// CheckHealth implements broker.Transport: a STAT of the root.
func (t *Transport) CheckHealth(address string, onResult func(broker.Result)) {
	check := &operation{command: Stat, path: "/"}
	t.pool.Start(t.address(address), call(check), healthCheckTimeout, nil, onResult)
}

// CloseIdle implements broker.Transport.
func (t *Transport) CloseIdle(address string) { t.pool.CloseIdle(t.address(address)) }

// call returns the talk of one operation.
func call(op *operation) pool.ExchangeFunc {
	return func(e *pool.Exchange) (broker.Result, error) {
		x := exchange{Exchange: e}
		return x.run(op)
	}
}
