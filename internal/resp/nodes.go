package resp

import (
	"bufio"
	"errors"
	"net"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/front"
	"junctionwharf/internal/pool"
	"junctionwharf/logic"
)

// Nodes carries attempts to storage nodes, each alone on its connection.
type Nodes struct {
	pool   *pool.Pool
	budget *front.Budget
}

// NewNodes returns a transport over connections from p. Large answers that are being read hold so many bytes at
// the most.
func NewNodes(p *pool.Pool, bytes int) *Nodes { return &Nodes{pool: p, budget: front.NewBudget(bytes)} }

// Resize changes how many bytes large answers may hold.
func (n *Nodes) Resize(bytes int) { n.budget.Resize(bytes) }

// Start implements broker.Transport.
func (n *Nodes) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	m, ok := a.Request.Message.(*message)
	if !ok {
		return pool.Refuse(errors.New("not a RESP request"), done)
	}
	return n.pool.Start(a.Address, func(s *pool.Session) (broker.Result, error) {
		command := m.forward(a.Wait - broker.MicrosOf(s.Waited()))
		if err := s.Send(command, pool.Size(command)); err != nil {
			return broker.Result{}, err
		}
		result, parts, err := readReply(s.In, n.budget)
		if err == nil && parts > 0 {
			s.Tidy(func() error { return readRest(s.In, parts, &result) })
		}
		return result, err
	}, 0, a.Written, done)
}

// Probe implements broker.Transport.
func (n *Nodes) Probe(address string, done func(broker.Result)) {
	n.pool.Start(address, func(s *pool.Session) (broker.Result, error) {
		if err := s.Send(net.Buffers{[]byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")}, 0); err != nil {
			return broker.Result{}, err
		}
		return readProbe(s.In)
	}, probeTime, nil, done)
}

const probeTime = time.Second

// readProbe reads a load report, which comes as a bulk string.
func readProbe(r *bufio.Reader) (broker.Result, error) {
	if next, err := r.Peek(1); err != nil || next[0] != '$' {
		result, _, err := readReply(r, nil)
		return result, err
	}
	result := broker.Result{Load: logic.NoLoad}
	text, err := readBulk(r, maxLine, nil)
	readFigures(text, &result)
	return result, err
}

// CloseIdle implements broker.Transport.
func (n *Nodes) CloseIdle(address string) { n.pool.CloseIdle(address) }
