package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"

	"junctionwharf/admission"
	"junctionwharf/broker"
	"junctionwharf/internal/agreement"
	"junctionwharf/internal/config"
	"junctionwharf/internal/console"
	"junctionwharf/internal/discovery"
	"junctionwharf/internal/members"
	"junctionwharf/internal/metrics"
	"junctionwharf/internal/metricsexport"
	"junctionwharf/internal/peer"
	"junctionwharf/scheduler"
)

// control is the part of a broker that carries no requests: the core with its decisions, the watch of discovery and of
// other sources, messages between brokers, the replicated configuration, and metrics. A service adds servers and
// connections to nodes. A hollow broker replaces them with synthetic requests and answers.
type control struct {
	config    *config.Config // as loaded at the start
	log       *slog.Logger
	clock     *broker.Clock
	loop      *broker.Loop
	peers     *peer.Endpoint     // nil without peers
	agreement *agreement.Service // nil if off
	endpoints *members.Members
	watcher   *discovery.Watcher
	exporter  *metricsexport.Exporter
	console   *console.Server // nil if off

	// Hooks. newControl sets them; newService replaces some of them before the start.
	postEndpoints     func(broker.Event)             // receives endpoint lists from discovery and other sources
	handlePeerMessage func(broker.PeerMessage)       // receives datagrams of peers
	initialEndpoints  func() *discovery.EndpointList // returns the list known before the start, or nil
	exportedMetrics   func() []broker.Metric         // returns the broker's own metrics for export

	parts subsystems
}

// newControl builds a control without starting it. It already binds the ports for other brokers. Attempts of requests
// that do not name a transport use the argument transport. gate decides which requests to admit; nil admits all.
func newControl(
	c *config.Config, transport broker.Transport, gate *admission.Controller, log *slog.Logger,
) (*control, error) {
	c.Settings.Scheduler.Balancer = c.Site.Balancer.Options(c.Name)
	state, err := broker.NewState(c.Settings.Scheduler, c.Seed)
	if err != nil {
		return nil, err
	}
	ctl := &control{config: c, log: log, clock: broker.NewClock()}
	dependencies := broker.Dependencies{Log: log, Admission: gate}
	if err := ctl.listenForPeers(); err != nil {
		return nil, err
	}
	if ctl.peers != nil {
		dependencies.SendToPeer = ctl.peers.Send
	}
	loop := &loopProxy{}
	if err := ctl.joinAgreement(loop); err != nil {
		ctl.closePeers()
		return nil, err
	}
	if ctl.agreement != nil {
		dependencies.ConfigChanges = ctl.agreement.ConfigChanges
	}
	ctl.exportedMetrics = ctl.ownMetrics
	ctl.exporter = metricsexport.New(metricsexport.Options{
		Name:    c.Name,
		Loop:    loop,
		Metrics: func() []broker.Metric { return ctl.exportedMetrics() },
		Log:     log,
	})
	dependencies.Observe = ctl.exporter.Observe
	ctl.loop = broker.NewLoop(state, ctl.clock, transport, dependencies)
	loop.Loop = ctl.loop
	ctl.postEndpoints = ctl.loop.Post
	if ctl.agreement != nil {
		ctl.postEndpoints = ctl.agreement.HandleEndpoints
	}
	ctl.handlePeerMessage = func(message broker.PeerMessage) { ctl.loop.Post(message) }
	ctl.initialEndpoints = func() *discovery.EndpointList { return c.CachedEndpoints }
	ctl.watcher = discovery.NewWatcher(c.Discovery, ctl.watcherOptions(c))
	ctl.endpoints = members.New(ctl.clock, ctl.postEndpoints, log)
	return ctl, nil
}

// loopProxy is a reference to the loop that is set once the loop exists. It resolves a cycle: the constructors of the
// exporter and of the replicated configuration need the loop, and the loop's constructor needs both.
type loopProxy struct {
	*broker.Loop
}

func (ctl *control) listenForPeers() error {
	c := ctl.config
	if c.PeerListen == "" || !c.Settings.Scheduler.Capabilities.Peers {
		return nil
	}
	var err error
	ctl.peers, err = peer.Listen(c.PeerListen, c.Peers, c.PeersAll, c.Settings.Scheduler.Ordinal)
	return err
}

// joinAgreement creates the service of the replicated configuration, if that is enabled. This already binds the
// service's port for other brokers.
func (ctl *control) joinAgreement(loop *loopProxy) error {
	settings := ctl.config.Site.Agreement
	if !settings.Enabled() {
		return nil
	}
	options := agreement.Options{
		Name:          ctl.config.Name,
		Cluster:       settings.Cluster,
		ListenAddress: settings.Listen,
		DataDir:       settings.Dir,
		LocalIP:       net.ParseIP(ctl.config.LocalAddress),
		Timing:        settings.Timing(),
		LimitFloors:   settings.Limits,
		MaxChildren:   settings.MaxChildren,
		Seed:          ctl.config.Seed,
		Now:           ctl.clock.Now,
		Log:           ctl.log,
	}
	for _, voter := range settings.Members {
		options.Voters = append(options.Voters, agreement.Voter{Name: voter.Name, Address: voter.Address})
	}
	post := func(event broker.Event) { loop.Post(event) }
	wake := func() { loop.Wake() }
	var err error
	ctl.agreement, err = agreement.New(options, ctl.config.Settings.Scheduler, post, wake)
	return err
}

// openConsole opens the admin server, if one is configured. The console's check call fails if check returns an error.
// more returns further metrics for the console.
func (ctl *control) openConsole(check func() error, more func() []broker.Metric) error {
	if ctl.config.Console == "" {
		return nil
	}
	handlers := console.Handlers{
		Check: check,
		Vars:  func() []byte { return metrics.FormatStatsD(ctl.consoleMetrics(more())) },
		Nodes: func() []byte { return append(ctl.endpoints.Table(), formatShares(ctl.loop.NodeShares())...) },
	}
	if ctl.agreement != nil {
		handlers.Agree = ctl.agreement.HandleCommand
	}
	var err error
	ctl.console, err = console.Listen(ctl.config.Console, handlers, ctl.log)
	return err
}

// ownMetrics returns the metrics of the core, the sources of the endpoint list and the replicated configuration.
func (ctl *control) ownMetrics() []broker.Metric {
	return slices.Concat(ctl.loop.Metrics.Read(), ctl.endpoints.Metrics(), ctl.agreementMetrics())
}

// consoleMetrics returns the metrics that the console shows.
func (ctl *control) consoleMetrics(more []broker.Metric) []broker.Metric {
	return slices.Concat(
		ctl.loop.Metrics.Read(),
		ctl.exporter.Metrics(),
		ctl.endpoints.Metrics(),
		ctl.agreementMetrics(),
		shareMetrics(ctl.loop.NodeShares()),
		more,
	)
}

func (ctl *control) agreementMetrics() []broker.Metric {
	if ctl.agreement == nil {
		return nil
	}
	return ctl.agreement.Metrics()
}

// ports returns the subsystems that own the sources of the endpoint list and the ports for other brokers and operators.
// They are first in the list of subsystems, so they are stopped last.
func (ctl *control) ports() subsystems {
	return subsystems{
		{stop: ctl.closePeers},
		{stop: ctl.endpoints.Close},
		{start: ctl.startConsole, stop: ctl.closeConsole},
	}
}

// workers returns the subsystems that start the control's goroutines. These end with the context, except for the
// goroutines of the endpoint sources and of the peers' port, which the subsystems of ports stop.
func (ctl *control) workers() subsystems {
	return subsystems{
		{start: ctl.startEndpoints},
		background(ctl.loop.Run),
		{start: ctl.startAgreement},
		background(func(ctx context.Context) { ctl.watcher.Run(ctx, ctl.clock, ctl.endpointHandler()) }),
		{start: ctl.startPeers},
	}
}

// metricsExport returns the subsystem that exports metrics, initially with the settings loaded at the start.
func (ctl *control) metricsExport() subsystem {
	return subsystem{start: func(ctx context.Context) error {
		ctl.exporter.ApplySettings(exportSettings(ctl.config))
		go ctl.exporter.Run(ctx)
		return nil
	}}
}

func (ctl *control) closePeers() {
	if ctl.peers != nil {
		_ = ctl.peers.Close() // no data is lost: it is a datagram socket; the receiving goroutine then ends
	}
}

func (ctl *control) startPeers(context.Context) error {
	if ctl.peers != nil {
		go ctl.peers.Run(ctl.handlePeerMessage) // ends with closePeers
	}
	return nil
}

func (ctl *control) startConsole(context.Context) error {
	if ctl.console == nil {
		return nil
	}
	go ctl.console.Serve() // ends with closeConsole
	ctl.log.Info("serving", "what", "operators", "address", ctl.config.Console)
	return nil
}

func (ctl *control) closeConsole() {
	if ctl.console != nil {
		_ = ctl.console.Close() // closes only the listener; pending calls end at their deadlines
	}
}

func (ctl *control) startAgreement(ctx context.Context) error {
	if ctl.agreement != nil {
		go ctl.agreement.Run(ctx)
	}
	return nil
}

// mergesSources reports whether the endpoint list is merged from the sources that the site file lists. Discovery may be
// one of them.
func (ctl *control) mergesSources() bool {
	return len(ctl.config.Site.Membership.Sources) > 0
}

// startEndpoints starts the sources of the endpoint list and forwards the list known before the start.
func (ctl *control) startEndpoints(context.Context) error {
	initial := ctl.initialEndpoints()
	if ctl.mergesSources() {
		if err := ctl.endpoints.ApplySettings(ctl.config.Site.Membership); err != nil {
			return fmt.Errorf("membership: %w", err)
		}
		if initial != nil {
			ctl.endpoints.Restore(initial.Event(scheduler.CachedUpdate, ctl.clock))
		}
		return nil
	}
	if initial != nil {
		ctl.postEndpoints(initial.Event(scheduler.CachedUpdate, ctl.clock))
	}
	return nil
}

// endpointHandler returns the function that receives discovery's lists. If the site file lists sources, the function
// merges discovery's lists with theirs. Otherwise it forwards discovery's lists unchanged.
func (ctl *control) endpointHandler() func(broker.Event) {
	if ctl.mergesSources() {
		return ctl.endpoints.HandleDiscovery
	}
	return ctl.postEndpoints
}

// watcherOptions returns a configuration's options for the watch of discovery.
func (ctl *control) watcherOptions(c *config.Config) discovery.Options {
	set := c.Settings.Scheduler
	return discovery.Options{
		Brokers:       set.Brokers,
		DrainGrace:    set.Rules.DrainGrace,
		SharedService: set.Subscribe,
		Local:         net.ParseIP(c.LocalAddress),
		Log:           ctl.log,
	}
}

// exportSettings returns a configuration's settings for the export of metrics.
func exportSettings(c *config.Config) metricsexport.Settings {
	return metricsexport.Settings{
		Registry: c.Site.Telemetry.Options(c.Settings.Scheduler),
		Graphite: c.Site.Graphite,
		Collectd: c.Site.Collectd,
	}
}

// errNothingToControl is returned if a control process has no replicated configuration. Voting on it and forwarding it
// are the only tasks of a control process.
var errNothingToControl = errors.New("agreement: cluster and listen must be set for a control process")

// errNoRequests is the error of an attempt or a health check in a control process.
var errNoRequests = errors.New("a control process does not send requests")

// ServeControl runs a control process until ctx ends, usually on a dedicated machine. A control process votes on the
// replicated configuration, if it is one of the voters, and forwards it to the brokers that attach to it. It accepts
// no clients and sends no requests to storage nodes.
func ServeControl(ctx context.Context, c *config.Config, log *slog.Logger) error {
	if !c.Site.Agreement.Enabled() || c.Site.Agreement.Listen == "" {
		return errNothingToControl
	}
	ctl, err := newControl(c, noTransport{}, nil, log)
	if err != nil {
		return err
	}
	if err := ctl.startAlone(ctx, func() error { return nil }); err != nil {
		return err
	}
	defer ctl.parts.stop()
	log.Info("serving", "what", "control", "address", c.Site.Agreement.Listen)
	<-ctx.Done()
	log.Info("stopped")
	return nil
}

// startAlone starts a control without servers and connections to nodes. Its subsystems end with ctx and parts.stop.
func (ctl *control) startAlone(ctx context.Context, check func() error) error {
	noMetrics := func() []broker.Metric { return nil }
	ctl.parts = slices.Concat(ctl.ports(), ctl.workers(), subsystems{ctl.metricsExport()})
	err := ctl.openConsole(check, noMetrics)
	if err == nil {
		err = ctl.parts.start(ctx)
	}
	if err != nil {
		ctl.parts.stop()
	}
	return err
}
