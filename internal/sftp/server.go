package sftp

import (
	"log/slog"
	"net"
	"sync/atomic"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
)

// Server serves file commands of clients. Its methods may be called from any goroutine.
type Server struct {
	*clientconn.Table
	loop      *broker.Loop
	transport broker.Transport
	mapping   atomic.Pointer[Mapping]
	logger    *slog.Logger
}

// NewServer returns a server that holds at most maxConnections and sends commands on over a transport. The mapping must
// have been checked.
func NewServer(loop *broker.Loop, transport broker.Transport, mapping *Mapping, maxConnections int,
	logger *slog.Logger) *Server {
	logger = logger.With("front", "files")
	s := &Server{
		Table:     clientconn.NewTable(maxConnections, maxConnections, logger),
		loop:      loop,
		transport: transport,
		logger:    logger,
	}
	s.SetMapping(mapping)
	return s
}

// SetMapping changes how commands are mapped from now on. The mapping must have been checked.
func (s *Server) SetMapping(mapping *Mapping) { s.mapping.Store(mapping) }

// Serve serves the clients of a listener until Close.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := s.Accept(ln)
		if err != nil {
			return nil // Accept fails with net.ErrClosed only, after Close
		}
		client := newSession(s, conn)
		client.awaitingFirst = s.Add(client)
		go client.read()
		go client.write()
	}
}
