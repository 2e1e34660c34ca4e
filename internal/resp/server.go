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
	budget    *clientconn.ByteBudget // of the requests and answers that are buffered
	ids       *requestIDs
	malformed *malformedLog
}

// NewServer returns a server that holds at most maxConnections, and at most maxBytes of requests and answers. Beyond
// maxIdle connections idle ones end.
func NewServer(loop *broker.Loop, limits RequestLimits, maxConnections, maxIdle, maxBytes int,
	logger *slog.Logger) *Server {
	logger = logger.With("front", "clients")
	s := &Server{
		Table:     clientconn.NewTable(maxConnections, maxIdle, logger),
		loop:      loop,
		logger:    logger,
		budget:    clientconn.NewByteBudget(maxBytes),
		ids:       newRequestIDs(),
		malformed: &malformedLog{logger: logger},
	}
	s.SetLimits(limits)
	return s
}

// RejectOverLimit answers and ends up to maxRejections connections at a time over the limit. It must be called before
// Serve.
func (s *Server) RejectOverLimit(maxRejections int) {
	s.Table.RejectOverLimit(maxRejections, s.reject, s.loop.SheddingLoad)
}

// SetLimits changes what requests may ask for from now on.
func (s *Server) SetLimits(limits RequestLimits) {
	limits.busyLine = busyLine(limits.RetryAfter)
	s.limits.Store(&limits)
}

// ResizeBudget changes how many bytes of requests and answers there may be.
func (s *Server) ResizeBudget(maxBytes int) { s.budget.Resize(maxBytes) }

// OnRequestChange sets a function that is called for each request id that opens or ends, to notify the other process
// of the broker during a handover. The function must not block. It must be called before Serve.
func (s *Server) OnRequestChange(notify func(id string, opened bool)) { s.ids.onChange = notify }

// OpenRequestIDs returns the ids of the requests that wait for their answer.
func (s *Server) OpenRequestIDs() []string { return s.ids.all() }

// UpdateRemoteRequests applies the changes of the requests of the broker's other process.
func (s *Server) UpdateRemoteRequests(opened, ended []string) { s.ids.updateRemote(opened, ended) }

// ForgetRemoteRequests forgets the requests of the other process, which has gone.
func (s *Server) ForgetRemoteRequests() { s.ids.clearRemote() }

// Serve serves the clients of a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	guarded := &guardedListener{Listener: ln, table: s.Table}
	closed := func(redcon.Conn, error) { guarded.redconConns.Done() }
	server := redcon.NewServerNetwork(ln.Addr().Network(), ln.Addr().String(), s.serveDetached, nil, closed)
	return server.Serve(guarded)
}

// guardedListener hands redcon connections with an input guard, as many as there are slots for.
type guardedListener struct {
	net.Listener
	table       *clientconn.Table
	redconConns sync.WaitGroup // connections that redcon has not detached yet
}

// Accept implements net.Listener. When the listener ends it waits until redcon has detached all connections: redcon
// closes those that it still has, and requests on them count as taken.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.table.Accept(l.Listener)
	if err != nil {
		l.redconConns.Wait()
		return nil, err
	}
	l.redconConns.Add(1)
	return &inputGuard{Conn: conn}, nil
}

// serveDetached gets a connection's first command, which the guard has made, and takes the connection from redcon,
// whose own loop would read nothing more before a request is answered.
func (s *Server) serveDetached(conn redcon.Conn, _ redcon.Command) {
	c := newClient(s, conn.Detach(), conn.NetConn().(*inputGuard))
	c.awaitingFirst = s.Add(c)
	go c.read()
	go c.write()
}
