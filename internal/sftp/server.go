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
	budget    *clientconn.ByteBudget
	logger    *slog.Logger
}

// NewServer returns a server for at most maxConnections connections, which sends commands to nodes over transport. The
// caller must have called mapping.Check. The bytes of commands and answers are reserved in budget.
func NewServer(loop *broker.Loop, transport broker.Transport, mapping *Mapping, maxConnections int,
	budget *clientconn.ByteBudget, logger *slog.Logger) *Server {
	logger = logger.With("front", "files")
	s := &Server{
		Table:     clientconn.NewTable(maxConnections, maxConnections, logger),
		loop:      loop,
		transport: transport,
		budget:    budget,
		logger:    logger,
	}
	s.SetMapping(mapping)
	return s
}

// SetMapping changes the mapping of later commands. Commands that have arrived on an accepted connection, read or not,
// keep the mapping that they came under. The caller must have called mapping.Check.
func (s *Server) SetMapping(mapping *Mapping) {
	if replaced := s.mapping.Load(); replaced != nil {
		s.Each(func(conn clientconn.Connection) {
			if c, ok := conn.(*session); ok {
				c.generations.Replace(c.conn, replaced)
			}
		})
	}
	s.mapping.Store(mapping)
}

// Serve serves the clients of a listener until Close or StopAccepting is called.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := s.Accept(ln)
		if err != nil {
			return nil // Accept fails only with net.ErrClosed, after Close or StopAccepting
		}
		client := newSession(s, conn)
		client.awaitingFirst = s.Add(client)
		go client.read()
		go client.write()
	}
}
