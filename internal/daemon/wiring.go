package daemon

import (
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/handover"
	"junctionwharf/internal/pool"
	"junctionwharf/internal/resp"
	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

// reuseDelay is the minimum idle time of a connection to a node before its next request, so that the node's close is
// noticed. With a larger value, more connections are needed. With a smaller value, a request may be sent on a
// connection that the node is closing.
const reuseDelay = 5 * time.Millisecond

// clientServer is a server that can hand its clients over to a successor.
type clientServer interface {
	Drain()
	StopAccepting()
	Close()
	Count() int
	HasBusy() bool
}

// service is a whole broker: a control, and the servers and connection pools that carry requests.
type service struct {
	*control
	pools   []*pool.Pool // connections to nodes, one pool for each server
	clients *resp.Server
	files   *sftp.Server // nil if off
	servers []clientServer

	listeners []net.Listener // of the servers, in the same order
	failed    chan error     // receives the error of a server that ended unexpectedly

	coordinator     *handover.Coordinator   // nil if the handover is off
	handoverOff     bool                    // another process may serve too, without a connection to this one
	addressWasInUse bool                    // another process listened at the address when this one started
	handedOver      *discovery.EndpointList // the predecessor's list; nil for none
	accepting       atomic.Bool             // whether clients are accepted
	generation      uint64                  // of the settings, which only reloads change
	classes         atomic.Pointer[[]scheduler.Class]
	plansHaveLimits atomic.Bool
}

// newService builds a broker without starting it. It already binds the ports for other brokers.
func newService(c *config.Config, log *slog.Logger) (*service, error) {
	size := computeSizes(c, 1)
	poolOptions := pool.Options{
		ConnectTimeout: c.Settings.ConnectTimeout.Duration(),
		IdleTimeout:    c.Settings.ConnIdle.Duration(),
		ReuseDelay:     reuseDelay,
		MaxConnections: size.nodeSockets,
		LocalIP:        net.ParseIP(c.LocalAddress),
		Logger:         log,
	}
	nodes := pool.New(poolOptions)
	gate := c.Site.Admission.Controller(c.Settings.Scheduler, size.maxOpen)
	ctl, err := newControl(c, resp.NewTransport(nodes), gate, log)
	if err != nil {
		return nil, err
	}
	s := &service{control: ctl, failed: make(chan error, 2), generation: scheduler.FirstGeneration}
	ctl.handlePeerMessage = s.handlePeerDatagram
	ctl.initialEndpoints = s.newestEndpoints
	ctl.exportedMetrics = func() []broker.Metric { return append(ctl.ownMetrics(), s.clientMetric()) }
	s.addClients(nodes, size)
	s.storeSettings(c.Settings.Scheduler)
	s.resize(1)
	if c.Site.SFTP.Listen != "" {
		s.addFiles(poolOptions)
	}
	return s, nil
}

// addClients adds the server for clients.
func (s *service) addClients(nodes *pool.Pool, size sizes) {
	limits := resp.NewRequestLimits(s.config.Settings.Scheduler, s.config.Settings.Shards)
	limits.Generation = s.generation
	s.clients = resp.NewServer(s.loop, limits, size.clientSockets, size.idleClients, size.requestBytes, s.log)
	s.clients.RejectOverLimit(size.overflow)
	s.servers = append(s.servers, s.clients)
	s.pools = append(s.pools, nodes)
}

// addFiles adds the server for file commands, with its own connections to nodes.
func (s *service) addFiles(options pool.Options) {
	settings := &s.config.Site.SFTP
	options.Handshake = sftp.Handshake
	nodes := pool.New(options)
	transport := sftp.NewTransport(nodes, settings.NodePort)
	mapping := *settings.Plan()
	mapping.Generation = s.generation
	s.files = sftp.NewServer(s.loop, transport, &mapping, settings.Connections, s.clients.Budget(),
		s.log)
	s.servers = append(s.servers, s.files)
	s.pools = append(s.pools, nodes)
}

// clientMetric returns the number of connected clients of all servers.
func (s *service) clientMetric() broker.Metric {
	return broker.Metric{Name: "clients", Value: uint64(s.clientCount())}
}

// consoleOnlyMetrics returns the metrics that the console shows but that are not exported.
func (s *service) consoleOnlyMetrics() []broker.Metric {
	rejected := broker.Metric{Name: "connections_turned_away", Value: s.clients.Rejected(), Counter: true}
	return append(s.clients.MemoryMetrics(), rejected)
}

func (s *service) clientCount() int {
	sum := 0
	for _, server := range s.servers {
		sum += server.Count()
	}
	return sum
}

// storeSettings stores the parts of the active settings that the shutdown and the presence watch read.
func (s *service) storeSettings(set scheduler.Settings) {
	s.classes.Store(&set.Classes)
	hasLimit := func(plan scheduler.Plan) bool { return plan.Limit > 0 }
	s.plansHaveLimits.Store(slices.ContainsFunc(set.Plans, hasLimit))
}
