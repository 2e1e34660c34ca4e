package agreement

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// handshakeTimeout is how long a connection may take to send its hello. Longer would let connections that send
	// nothing hold slots; shorter would reject brokers on a slow path.
	handshakeTimeout = time.Second
	// spareConnections are for the handshakes of brokers that will be rejected. With fewer, a full broker could not
	// name its children to several brokers at once.
	spareConnections = 8
	// acceptPause is the wait after a failed accept, as when there are no more file descriptors. Without it the loop
	// would use a whole core.
	acceptPause = 50 * time.Millisecond
)

var (
	errNoHello  = errors.New("no hello")
	errRejected = errors.New("rejected") // the other broker was told why
	errStopping = errors.New("stopping") // the service goroutine has ended
)

// acceptLoop accepts connections of other brokers until the listener is closed. Each has a goroutine of its own, which
// ends when the connection does; Run closes all connections.
func (s *Service) acceptLoop() {
	slots := make(chan struct{}, s.options.MaxChildren+len(s.options.Voters)+spareConnections)
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.traffic.rejectedConnections.Add(1)
			_ = conn.Close()
			continue
		}
		go func() {
			defer func() { <-slots }()
			s.serve(conn)
		}()
	}
}

// serve carries a connection that another broker dialed, until it ends.
func (s *Service) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c, err := s.acceptHandshake(conn)
	if errors.Is(err, errStopping) {
		return
	}
	if err != nil {
		s.traffic.rejectedConnections.Add(1)
		return
	}
	go c.writeLoop()
	err = c.readLoop(func(f frame) error { return s.receiveFromBelow(c, f) })
	s.do(func() {
		s.tree.removeChild(c)
		if s.voting != nil {
			s.voting.removeConnection(c)
		}
	})
	s.options.Log.Debug("connection ended", "name", c.name, "reason", err)
}

// acceptHandshake reads the hello, and answers it on the service goroutine.
func (s *Service) acceptHandshake(conn net.Conn) (*connection, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // fails on a closed connection, as the read will
	in := bufio.NewReader(conn)
	f, _, err := readFrame(in, maxHelloBytes)
	if err != nil {
		return nil, err
	}
	if f.Hello == nil {
		return nil, errNoHello
	}
	c := newConnection(conn, in, peer{
		name:          f.Hello.Name,
		listenAddress: f.Hello.ListenAddress,
		isVoter:       f.Hello.IsVoter,
		raftID:        f.Hello.RaftID,
		uninitialized: f.Hello.Uninitialized,
	}, &s.traffic)
	answered := make(chan error, 1)
	s.do(func() { answered <- s.answerHello(c, *f.Hello) })
	select {
	case err := <-answered:
		return c, err
	case <-s.done:
		return nil, errStopping
	}
}

// answerHello accepts or rejects a broker. The answer is short: it fits the socket's buffer, and writing it does not
// block the service goroutine.
func (s *Service) answerHello(c *connection, h hello) error {
	w := s.decideHandshake(c, h)
	_, err := writeFrame(c.conn, frame{Welcome: &w})
	if err == nil && w.Rejection != "" {
		err = errRejected
	}
	if err != nil {
		c.close()
	}
	return err
}

// decideHandshake decides who may attach, and takes in a broker that may.
func (s *Service) decideHandshake(c *connection, h hello) welcome {
	w := welcome{Name: s.options.Name}
	if s.voting != nil {
		w.RaftID = s.voting.voter.ID()
		w.Uninitialized = s.voting.voter.Uninitialized()
	}
	w.Rejection = s.rejection(h)
	if w.Rejection != "" {
		s.options.Log.Warn("peer rejected", "name", h.Name, "reason", w.Rejection)
		return w
	}
	if h.IsVoter {
		s.voting.addIncoming(c)
		return w
	}
	s.tree.closeChild(h.Name)
	w.Rejection = s.childRejection(h)
	switch w.Rejection {
	case "":
		if s.tree.parent != nil {
			w.Path = slices.Clone(s.tree.parent.path)
		}
		w.Path = append(w.Path, s.options.Name)
		s.tree.addChild(h.Name, c)
	case rejectedFull:
		w.Alternatives = s.tree.childAddresses()
	}
	return w
}

// Why a broker is rejected. The texts are in the other broker's log, at level debug; this broker logs those of
// rejection, as "peer rejected", but none of childRejection.
const (
	rejectedOptions = "lease, limits or members are set differently here"
	rejectedName    = "that name is not yours"
	rejectedVoter   = "no voter"
	rejectedNoPath  = "no way to a voter from here"
	rejectedCycle   = "a circle"
	rejectedFull    = "enough are fed here"
)

// rejection returns why a broker may not connect at all, empty if it may.
func (s *Service) rejection(h hello) string {
	switch {
	case h.Cluster != s.options.Cluster:
		return fmt.Sprintf("this is cluster %q", s.options.Cluster)
	case h.SharedOptions != s.sharedOptions:
		return rejectedOptions
	case h.Name == s.options.Name || h.Name == "" || h.IsVoter != s.options.isVoter(h.Name):
		return rejectedName
	case h.IsVoter && s.voting == nil:
		return rejectedVoter
	}
	return ""
}

// childRejection returns why a broker cannot be a child of this one, empty if it can.
func (s *Service) childRejection(h hello) string {
	switch {
	case s.voting == nil && !s.tree.attachedToVoter():
		return rejectedNoPath
	case s.tree.parent != nil && slices.Contains(s.tree.parent.path, h.Name):
		return rejectedCycle
	case len(s.tree.children) >= s.options.MaxChildren:
		return rejectedFull
	}
	return ""
}

// receiveFromBelow takes a frame of a broker that dialed this one.
func (s *Service) receiveFromBelow(from *connection, f frame) error {
	switch {
	case f.Raft != nil:
		var m raftpb.Message
		if err := proto.Unmarshal(f.Raft, &m); err != nil {
			return err
		}
		s.do(func() { s.receiveRaft(from, &m) })
	case f.Upstream != nil:
		s.do(func() { s.receiveUpstream(from, *f.Upstream) })
	case f.Bootstrap != nil:
		s.do(func() { s.receiveBootstrap(from, f.Bootstrap) })
	}
	return nil
}
