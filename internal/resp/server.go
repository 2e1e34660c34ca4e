package resp

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
)

// Server serves the platform's clients. Its methods may be called from any goroutine.
type Server struct {
	*clientconn.Table
	loop      *broker.Loop
	logger    *slog.Logger
	limits    atomic.Pointer[RequestLimits]
	memory    *serverMemory // of buffered requests and answers
	ids       *requestIDs
	malformed *malformedLog

	inputDrain *clientconn.InputDrain
}

// NewServer returns a server for at most maxConnections connections and at most maxBytes of buffered requests, answers
// and request IDs. If more than maxIdle connections have sent a request, the server closes idle ones among them.
func NewServer(loop *broker.Loop, limits RequestLimits, maxConnections, maxIdle, maxBytes int,
	logger *slog.Logger) *Server {
	logger = logger.With("front", "clients")
	requestBytes, idBytes := splitBudget(maxBytes)
	s := &Server{
		Table:     clientconn.NewTable(maxConnections, maxIdle, logger),
		loop:      loop,
		logger:    logger,
		memory:    newServerMemory(requestBytes),
		ids:       newRequestIDs(idBytes),
		malformed: &malformedLog{logger: logger},

		inputDrain: clientconn.NewInputDrain(),
	}
	s.SetLimits(limits)
	return s
}

// RejectOverLimit makes the server answer and close connections over the limit, up to maxRejections at a time. It must
// be called before Serve.
func (s *Server) RejectOverLimit(maxRejections int) {
	s.Table.RejectOverLimit(maxRejections, s.reject, s.loop.SheddingLoad)
}

// SetLimits sets the limits for requests that arrive from now on. Requests that have arrived on an accepted connection,
// read or not, keep the limits that they came under.
func (s *Server) SetLimits(limits RequestLimits) {
	limits.busyLine = busyLine(limits.RetryAfter)
	if replaced := s.limits.Load(); replaced != nil {
		s.Each(func(conn clientconn.Connection) {
			if c, ok := conn.(*client); ok {
				c.input.generations.Replace(c.socket, replaced)
			}
		})
	}
	s.limits.Store(&limits)
	s.ids.setRetention(limits.MaxTimeout)
}

// ResizeBudget sets the maximum number of bytes of buffered requests, answers and request IDs.
func (s *Server) ResizeBudget(maxBytes int) {
	requestBytes, idBytes := splitBudget(maxBytes)
	s.memory.budget.Resize(requestBytes)
	s.ids.resize(idBytes)
}

// Budget returns the budget of buffered requests and answers, which servers of other protocols may share.
func (s *Server) Budget() *clientconn.ByteBudget { return s.memory.budget }

// MemoryMetrics returns the metrics of the memory of buffered requests and answers.
func (s *Server) MemoryMetrics() []broker.Metric { return s.memory.metrics() }

// OnRequestChange sets a function that is called when a request opens, ends or is abandoned. During a handover the
// function notifies the broker's other process. It must not block. OnRequestChange must be called before Serve.
func (s *Server) OnRequestChange(notify func(id string, change IDChange)) { s.ids.onChange = notify }

// RequestIDs returns the IDs of the requests whose answers are not written yet, and the IDs that are refused because
// their requests may have run and their clients have left without the answers.
func (s *Server) RequestIDs() (open, abandoned []string) { return s.ids.all() }

// UpdateRemoteRequests records the IDs of requests that were opened, have ended or were abandoned at the broker's other
// process.
func (s *Server) UpdateRemoteRequests(opened, ended, abandoned []string) {
	s.ids.updateRemote(opened, ended, abandoned)
}

// AbandonRemoteRequests records that the broker's other process has ended. The IDs of its open requests stay refused
// for a while.
func (s *Server) AbandonRemoteRequests() { s.ids.abandonRemote() }

// Serve serves the clients of a listener until Close or StopAccepting is called.
func (s *Server) Serve(ln net.Listener) error {
	guarded := &guardedListener{Listener: ln, table: s.Table}
	closed := func(redcon.Conn, error) { guarded.redconConns.Done() }
	server := redcon.NewServerNetwork(ln.Addr().Network(), ln.Addr().String(), s.serveDetached, nil, closed)
	return server.Serve(guarded)
}

// guardedListener wraps each accepted connection in an inputGuard. The table limits the number of connections.
type guardedListener struct {
	net.Listener
	table       *clientconn.Table
	redconConns sync.WaitGroup // connections that are not detached from redcon yet
}

// Accept implements net.Listener. After the listener was closed, Accept waits until all connections are detached from
// redcon. When Accept fails, redcon closes the connections that it still has, but their clients may have sent requests.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.table.Accept(l.Listener)
	if err != nil {
		l.redconConns.Wait()
		return nil, err
	}
	l.redconConns.Add(1)
	return &inputGuard{Conn: conn}, nil
}

// serveDetached receives a connection's first command, which inputGuard generated, and detaches the connection from
// redcon. redcon's own loop would not read a further command before the previous one is answered.
func (s *Server) serveDetached(conn redcon.Conn, _ redcon.Command) {
	c := newClient(s, conn.NetConn().(*inputGuard))
	conn.Detach() // redcon's reader and its buffers are not used any longer
	c.awaitingFirst = s.Add(c)
	go c.read()
	go c.write()
}
