package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"junctionwharf/internal/config"
	"junctionwharf/internal/handover"
	"junctionwharf/internal/pool"
)

// expiryInterval is the time between two checks for connections to nodes that exceeded their idle timeout. With a
// larger value, connections stay open longer than the settings allow. With a smaller value, an idle broker wakes up
// more often.
const expiryInterval = time.Second

// errNotAccepting is the result of the console's check call before the broker has started and while it stops.
var errNotAccepting = errors.New("no clients are taken")

// Serve runs the broker until ctx ends, and then shuts it down: it answers the accepted requests in the time that
// computeShutdownTimes allows. On each signal from reload it loads the configuration again with load. It returns an
// error if the broker cannot start or a server fails.
func Serve(
	ctx context.Context, c *config.Config, log *slog.Logger,
	reload <-chan os.Signal, load func() (*config.Config, error),
) error {
	limitRuntime(c.Limits)
	s, err := newService(c, log)
	if err != nil {
		return err
	}
	if err := c.CheckComplete(); err != nil {
		log.Warn("configuration is incomplete; a reload of it would be rejected", "reason", err)
	}
	if err := s.start(ctx, reload, load); err != nil {
		s.parts.stop()
		return err
	}
	defer s.parts.stop()
	s.accepting.Store(true)
	log.Info("serving", "what", "clients", "address", c.Listen)

	select {
	case err := <-s.failed:
		return fmt.Errorf("serve clients: %w", err)
	case <-ctx.Done():
	}
	s.shutDown()
	log.Info("stopped")
	return nil
}

// start starts all subsystems. They run until parts.stop is called. The end of the context ending, which begins the
// shutdown, does not stop them.
func (s *service) start(ending context.Context, reload <-chan os.Signal, load func() (*config.Config, error)) error {
	running, cancel := context.WithCancel(context.Background())
	s.parts = slices.Concat(
		s.ports(),
		subsystems{
			{stop: cancel}, // ends the goroutines of all parts below
			{start: s.startHandover, stop: s.closeHandover},
		},
		s.workers(),
		s.requestParts(),
		subsystems{
			s.metricsExport(),
			{start: func(ctx context.Context) error { return s.startPresenceWatch(ctx, ending) }},
			{start: s.startClients},
			background(func(ctx context.Context) { s.runReloads(ctx, reload, load) }),
		},
	)
	if err := s.openConsole(s.check, s.consoleOnlyMetrics); err != nil {
		return err
	}
	return s.parts.start(running)
}

// requestParts returns the subsystems that carry requests, except for the server for clients, which starts after them.
func (s *service) requestParts() subsystems {
	always := s.config.Site.Admission.LagMS > 0
	parts := subsystems{background(func(ctx context.Context) { watchLag(ctx, s.loop, always) })}
	for _, nodes := range s.pools {
		parts = append(parts, background(func(ctx context.Context) { closeExpired(ctx, nodes) }))
	}
	return append(parts, subsystem{start: s.listen}, subsystem{start: s.startFiles})
}

// check returns an error while clients are not accepted.
func (s *service) check() error {
	if !s.accepting.Load() {
		return errNotAccepting
	}
	return nil
}

// listen binds the port for clients.
func (s *service) listen(context.Context) error {
	s.addressWasInUse = handover.AddressInUse(s.config.Listen)
	listener, err := handover.Listen(s.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listeners = append(s.listeners, listener)
	return nil
}

// startFiles binds the port for file commands and starts its server, if it is enabled. The server ends with shutDown or
// with the process.
func (s *service) startFiles(context.Context) error {
	if s.files == nil {
		return nil
	}
	address := s.config.Site.SFTP.Listen
	listener, err := handover.Listen(address)
	if err != nil {
		return fmt.Errorf("sftp.listen: %w", err)
	}
	s.listeners = append(s.listeners, listener)
	go func() { s.failed <- s.files.Serve(listener) }()
	s.log.Info("serving", "what", "file commands", "address", address)
	return nil
}

// startClients starts the server for clients. The server ends with shutDown or with the process.
func (s *service) startClients(context.Context) error {
	listener := s.listeners[0]
	go s.serveClients(listener)
	return nil
}

func (s *service) serveClients(listener net.Listener) {
	s.failed <- s.clients.Serve(listener)
}

// closeExpired closes idle connections to nodes until ctx ends.
func closeExpired(ctx context.Context, nodes *pool.Pool) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			nodes.CloseExpired(now)
		}
	}
}
