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
	// handshakeTimeout is the time limit for the hello of a connection. With a longer limit, connections that send
	// nothing would occupy slots for longer. A shorter limit would reject brokers on a slow network path.
	handshakeTimeout = time.Second
	// spareConnections is the number of slots for the handshakes of brokers that will be rejected. With fewer slots, a
	// full broker could not name its children to several brokers at once.
	spareConnections = 8
	// acceptPause is the pause after a failed accept, for example when the process has no free file descriptors.
	// Without the pause, the accept loop would use a whole core.
	acceptPause = 50 * time.Millisecond
)

var (
	errNoHello  = errors.New("the first frame is not a hello")
	errRejected = errors.New("rejected") // the rejected broker has received the reason
	errStopping = errors.New("stopping") // the service goroutine has ended
)

// acceptLoop accepts connections of other brokers until the listener is closed. Each connection has its own goroutine,
// which ends with the connection. Run closes all connections.
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

// serve performs the handshake on a connection that another broker dialed, and reads from it until it ends.
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

// acceptHandshake reads the hello and answers it on the service goroutine.
func (s *Service) acceptHandshake(conn net.Conn) (*connection, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // on a closed connection, the read fails, too
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

// answerHello accepts or rejects the broker that sent a hello, on the service goroutine. The answer fits into the
// socket's buffer, so that writing it does not block this goroutine.
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

// decideHandshake decides whether a broker may attach, and registers its connection if it may.
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

// Reasons for rejecting a broker. The rejected broker logs them at level debug. This broker logs the reasons that
// rejection returns, as "peer rejected", but not those that childRejection returns.
const (
	rejectedOptions = "lease, limits or members are set differently here"
	rejectedName    = "that name is not yours"
	rejectedVoter   = "no voter"
	rejectedNoPath  = "no way to a voter from here"
	rejectedCycle   = "a circle"
	rejectedFull    = "enough are fed here"
)

// rejection returns the reason why a broker may not connect to this one, or "" if it may.
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

// childRejection returns the reason why a broker cannot be a child of this one, or "" if it can.
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

// receiveFromBelow handles a frame from a broker that dialed this one.
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
