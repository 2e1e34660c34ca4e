package resp

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// Transport carries attempts to storage nodes, each alone on its connection.
type Transport struct{ pool *pool.Pool }

// NewTransport returns a transport over connections from p.
func NewTransport(p *pool.Pool) *Transport { return &Transport{pool: p} }

// Start implements broker.Transport.
func (n *Transport) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	m, ok := a.Request.Message.(*message)
	if !ok {
		return pool.FailAttempt(errors.New("not a RESP request"), done)
	}
	return n.pool.Start(a.Address, func(s *pool.Exchange) (broker.Result, error) {
		command := m.forward(a.Timeout - broker.MicrosOf(s.Elapsed()))
		if err := s.Send(command, pool.MessageSize(command)); err != nil {
			return broker.Result{}, err
		}
		result, left, err := readReply(s.Reader)
		if err == nil && left.long > 0 {
			err = pass(s, left.long, result)
		}
		if err == nil && left.parts > 0 {
			finish(s, left, &result)
		}
		return result, err
	}, 0, a.OnWritten, done)
}

// finish reads what follows a value. The client waits for it only where all of it has come: figures may be late, or
// so spoilt that they never end.
func finish(s *pool.Exchange, left rest, result *broker.Result) {
	at, _ := s.Reader.Peek(s.Reader.Buffered())
	trial := *result
	if left.long == 0 && readRest(bufio.NewReaderSize(bytes.NewReader(at), 2*maxLine), left.parts, &trial) != nil {
		s.Deliver(*result)
	}
	s.ReadTrailer(func() error { return readRest(s.Reader, left.parts, result) })
}

// pass hands a long value to whoever waits for it and returns when that has taken it whole.
func pass(s *pool.Exchange, size int, result broker.Result) error {
	value := newStream(size, s.Reader, s.SetReadTimeout)
	result.Value = value
	if !s.Deliver(result) {
		return errDropped
	}
	return value.wait(s.Stopped())
}

// Probe implements broker.Transport.
func (n *Transport) Probe(address string, done func(broker.Result)) {
	n.pool.Start(address, func(s *pool.Exchange) (broker.Result, error) {
		if err := s.Send(net.Buffers{[]byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")}, 0); err != nil {
			return broker.Result{}, err
		}
		return readProbe(s.Reader)
	}, probeTime, nil, done)
}

const probeTime = time.Second

// readProbe reads a load report, which comes as a bulk string.
func readProbe(r *bufio.Reader) (broker.Result, error) {
	if next, err := r.Peek(1); err != nil || next[0] != '$' {
		result, _, err := readReply(r)
		return result, err
	}
	result := broker.Result{Load: scheduler.NoLoadReport}
	text, err := readBulk(r, maxLine)
	readFigures(text, &result)
	return result, err
}

// CloseIdle implements broker.Transport.
func (n *Transport) CloseIdle(address string) { n.pool.CloseIdle(address) }
