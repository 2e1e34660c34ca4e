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

// expiryInterval is the time between two looks for idle connections to nodes that are over their timeout. Higher,
// they stay longer than the settings say; lower, an idle broker wakes up more often.
const expiryInterval = time.Second

// errNotAccepting is what the check says before the start is done and after the end has begun.
var errNotAccepting = errors.New("no clients are taken")

// Serve runs the broker until ctx ends, and then until what it accepted is answered. On reload it loads the
// configuration again.
func Serve(
	ctx context.Context, c *config.Config, log *slog.Logger,
	reload <-chan os.Signal, load func() (*config.Config, error),
) error {
	limitRuntime(c.Limits)
	s, err := newService(c, log)
	if err != nil {
		return err
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
		return fmt.Errorf("clients: %w", err)
	case <-ctx.Done():
	}
	s.shutDown()
	log.Info("stopped")
	return nil
}

// start starts all parts. They outlive ending, which begins the shutdown, and end with parts.stop.
func (s *service) start(ending context.Context, reload <-chan os.Signal, load func() (*config.Config, error)) error {
	running, cancel := context.WithCancel(context.Background())
	s.parts = slices.Concat(
		s.ports(),
		subsystems{
			{stop: cancel}, // the goroutines of all parts that follow
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

// requestParts are the subsystems that carry requests, but for the server of clients, which starts last.
func (s *service) requestParts() subsystems {
	always := s.config.Site.Admission.LagMS > 0
	parts := subsystems{background(func(ctx context.Context) { watchLag(ctx, s.loop, always) })}
	for _, nodes := range s.pools {
		parts = append(parts, background(func(ctx context.Context) { closeExpired(ctx, nodes) }))
	}
	return append(parts, subsystem{start: s.listen}, subsystem{start: s.startFiles})
}

// check tells operators whether clients are accepted.
func (s *service) check() error {
	if !s.accepting.Load() {
		return errNotAccepting
	}
	return nil
}

// listen binds the clients' port.
func (s *service) listen(context.Context) error {
	s.addressWasInUse = handover.AddressInUse(s.config.Listen)
	listener, err := handover.Listen(s.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.listeners = append(s.listeners, listener)
	return nil
}

// startFiles binds the port for file commands and serves it, if it is on. The server ends with shutDown, or with the
// process.
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

// startClients serves clients. The server ends with shutDown, or with the process.
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
