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

// healthCheckTimeout bounds a health check, starting when the check has its connection. With a larger value, a stalled
// node would be detected later. With a smaller value, slow nodes would be considered failed.
const healthCheckTimeout = time.Second

var errNotFileCommand = errors.New("request is not a file command")

// Transport sends file commands to storage nodes. It implements broker.Transport.
type Transport struct {
	pool *pool.Pool
	port int // port for file commands on all nodes; 0 means the port in the endpoint list
}

// NewTransport returns a transport that uses the connections of a pool. Options.Handshake of the pool must be
// Handshake.
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
		return fmt.Errorf("%w: answer to INIT has type %d and version %d, want type %d and version >= %d", errPacket,
			p.kind, p.id, typeVersion, protocolVersion)
	}
	return nil
}

// address returns the address at which a node listens for file commands. listed is its address in the endpoint list.
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

// CheckHealth implements broker.Transport. The check is a STAT of the root directory.
func (t *Transport) CheckHealth(address string, onResult func(broker.Result)) {
	check := &operation{command: Stat, path: "/"}
	t.pool.Start(t.address(address), call(check), healthCheckTimeout, nil, onResult)
}

// CloseIdle implements broker.Transport.
func (t *Transport) CloseIdle(address string) { t.pool.CloseIdle(t.address(address)) }

// call returns an ExchangeFunc that performs an operation.
func call(op *operation) pool.ExchangeFunc {
	return func(e *pool.Exchange) (broker.Result, error) {
		x := exchange{Exchange: e}
		return x.run(op)
	}
}
