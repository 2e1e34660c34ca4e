package agreement

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

const (
	// dialTimeout is the time limit for establishing a connection. With a longer limit, an address that does not answer
	// would keep a broker without a lease for longer, although another voter would answer.
	dialTimeout = time.Second
	// welcomeTimeout is the time limit for the answer to a hello. It must exceed the other side's handshakeTimeout.
	welcomeTimeout = 2 * time.Second

	// The pause between attempts doubles from minBackoff to maxBackoff, and is multiplied by a random factor between
	// 0.5 and 1.5. With shorter pauses, all brokers together would overload a voter that restarts. Longer pauses would
	// leave a broker without a lease for longer. maxBackoffDoublings prevents an overflow of the doubled pause.
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = 2 * time.Second
	maxBackoffDoublings = 10

	// maxDescents is the number of failed attempts of a search for a parent after which the search no longer descends
	// from full brokers to their children. It exceeds the depth of any tree. Without the limit, full brokers could
	// refer a broker to each other's children forever.
	maxDescents = 64
	// In a search for a parent, the pause doubles after every attemptsPerBackoff failed attempts, at most
	// maxParentDoublings times.
	attemptsPerBackoff = 3
	maxParentDoublings = 5
)

var (
	errNoWelcome = errors.New("the answer to the hello is not a welcome")
	errCycle     = errors.New("attaching to this parent would create a cycle in the tree")
)

// wrongPeerError is returned if a broker of another name answers at a voter's address.
type wrongPeerError struct{ name string }

func (e *wrongPeerError) Error() string {
	return fmt.Sprintf("another broker answers at the voter's address: %q", e.name)
}

// rejectedError is returned if the dialed broker rejects this one.
type rejectedError struct {
	reason       string
	alternatives []string // addresses of other brokers to try
}

func (e *rejectedError) Error() string { return e.reason }

// dial connects to a broker and performs the handshake. Its error may be a *rejectedError.
func (s *Service) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if s.options.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: s.options.LocalIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c, err := s.dialHandshake(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// dialHandshake sends this broker's hello and reads the welcome of the dialed broker.
func (s *Service) dialHandshake(conn net.Conn) (*connection, error) {
	hellos := make(chan hello, 1)
	s.do(func() { hellos <- s.hello() })
	var h hello
	select {
	case h = <-hellos:
	case <-s.done:
		return nil, errStopping
	}
	_ = conn.SetDeadline(time.Now().Add(welcomeTimeout)) // on a closed connection, the write fails, too
	if _, err := writeFrame(conn, frame{Hello: &h}); err != nil {
		return nil, err
	}
	in := bufio.NewReader(conn)
	f, _, err := readFrame(in, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	w := f.Welcome
	if w == nil {
		return nil, errNoWelcome
	}
	if w.Rejection != "" {
		return nil, &rejectedError{w.Rejection, w.Alternatives}
	}
	p := peer{name: w.Name, raftID: w.RaftID, uninitialized: w.Uninitialized, path: w.Path}
	return newConnection(conn, in, p, &s.traffic), nil
}

// hello returns this broker's hello. It runs on the service goroutine.
func (s *Service) hello() hello {
	h := hello{
		Cluster:       s.options.Cluster,
		SharedOptions: s.sharedOptions,
		Name:          s.options.Name,
		ListenAddress: s.options.ListenAddress,
		IsVoter:       s.voting != nil,
	}
	if s.voting != nil {
		h.RaftID = s.voting.voter.ID()
		h.Uninitialized = s.voting.voter.Uninitialized()
	}
	return h
}

// receiveFromAbove handles the downstream messages of a connection that this broker dialed, until the connection ends.
func (s *Service) receiveFromAbove(c *connection) {
	go c.writeLoop()
	err := c.readLoop(func(f frame) error {
		if f.Downstream == nil {
			return nil
		}
		grants, err := f.Downstream.unpackGrants()
		if err != nil {
			return err
		}
		s.do(func() { s.deliver(grants, *f.Downstream) })
		return nil
	})
	s.options.Log.Debug("connection ended", "name", c.name, "reason", err)
}

// backOff pauses before another attempt. The pause grows with the number of attempts, and ends early if ctx ends.
func backOff(ctx context.Context, attempts int) {
	span := min(maxBackoff, minBackoff<<min(attempts, maxBackoffDoublings))
	timer := time.NewTimer(span/2 + rand.N(span))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// keepVoterConnected maintains a connection to another voter until ctx ends.
func (s *Service) keepVoterConnected(ctx context.Context, voter Voter) {
	for attempts := 0; ctx.Err() == nil; attempts++ {
		c, err := s.dialVoter(ctx, voter)
		if err != nil {
			s.options.Log.Debug("voter unreachable", "name", voter.Name, "reason", err)
			backOff(ctx, attempts)
			continue
		}
		attempts = 0
		s.do(func() { s.voting.addOutgoing(voter.Name, c) })
		s.receiveFromAbove(c)
		s.do(func() { s.voting.removeConnection(c) })
		backOff(ctx, 0)
	}
}

func (s *Service) dialVoter(ctx context.Context, voter Voter) (*connection, error) {
	c, err := s.dial(ctx, voter.Address)
	if err != nil {
		return nil, err
	}
	if c.name != voter.Name {
		c.close()
		return nil, &wrongPeerError{c.name}
	}
	return c, nil
}

// keepParentConnected maintains a connection to a parent until ctx ends.
func (s *Service) keepParentConnected(ctx context.Context) {
	search := parentSearch{voters: s.options.Voters}
	for ctx.Err() == nil {
		address := search.next()
		c, err := s.dialParent(ctx, address)
		if err != nil {
			s.options.Log.Debug("parent unreachable", "address", address, "reason", err)
			search.failed(ctx, err)
			continue
		}
		search.reset()
		s.do(func() { s.attach(c) })
		s.receiveFromAbove(c)
		s.do(func() { s.detach(c) })
		backOff(ctx, 0)
	}
}

func (s *Service) dialParent(ctx context.Context, address string) (*connection, error) {
	c, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if slices.Contains(c.path, s.options.Name) {
		c.close()
		return nil, errCycle
	}
	return c, nil
}

// attach sets the connection to the parent, and schedules an immediate renewal.
func (s *Service) attach(c *connection) {
	now := s.now()
	s.tree.parent = c
	s.tree.lastGrant = now
	s.nextRenewal = now
}

func (s *Service) detach(c *connection) {
	if s.tree.parent == c {
		s.tree.parent = nil
	}
}

// parentSearch selects the addresses at which a broker tries to attach to the tree: the voters in random order, and
// after a full broker, that is one with the maximum number of children, a random child of that broker.
type parentSearch struct {
	voters    []Voter
	addresses []string
	attempts  int
}

func (p *parentSearch) next() string {
	if len(p.addresses) == 0 {
		for _, v := range p.voters {
			p.addresses = append(p.addresses, v.Address)
		}
		rand.Shuffle(len(p.addresses), func(i, j int) {
			p.addresses[i], p.addresses[j] = p.addresses[j], p.addresses[i]
		})
	}
	address := p.addresses[0]
	p.addresses = p.addresses[1:]
	return address
}

// failed handles a failed attempt. If the dialed broker rejected this one and named its children, failed selects one of
// them as the next address, unless maxDescents attempts have failed. If it named no children, failed pauses.
func (p *parentSearch) failed(ctx context.Context, err error) {
	var alternatives []string
	if rejected, ok := errors.AsType[*rejectedError](err); ok {
		alternatives = rejected.alternatives
	}
	if len(alternatives) > 0 && p.attempts < maxDescents {
		child := alternatives[rand.IntN(len(alternatives))]
		p.addresses = slices.Insert(p.addresses, 0, child)
	}
	p.attempts++
	if len(alternatives) == 0 {
		backOff(ctx, min(p.attempts/attemptsPerBackoff, maxParentDoublings))
	}
}

func (p *parentSearch) reset() {
	p.attempts = 0
	p.addresses = nil
}
