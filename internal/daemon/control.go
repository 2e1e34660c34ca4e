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

// control is what a broker does beside carrying requests: the core with its decisions, the watch of discovery and of
// other sources, messages between brokers, the replicated configuration, and metrics. A service adds servers and
// connections to nodes; a hollow broker makes up what those would say.
type control struct {
	config    *config.Config // of the start
	log       *slog.Logger
	clock     *broker.Clock
	loop      *broker.Loop
	peers     *peer.Endpoint     // nil without peers
	agreement *agreement.Service // nil if off
	endpoints *members.Members
	watcher   *discovery.Watcher
	exporter  *metricsexport.Exporter
	console   *console.Server // nil if off

	// Hooks, which newControl sets; newService replaces some before the start.
	postEndpoints     func(broker.Event)             // lists of discovery and of other sources
	handlePeerMessage func(broker.PeerMessage)       // datagrams of peers
	initialEndpoints  func() *discovery.EndpointList // the list held before the start; nil for none
	exportedMetrics   func() []broker.Metric         // the broker's own, as they are exported

	parts subsystems
}

// newControl builds it; nothing runs yet, but ports are bound. Attempts of requests that name no transport go through
// transport; gate decides whom to admit, nil for everybody.
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

// loopProxy stands for the loop before there is one: the exporter and the replicated configuration need it, and it
// needs them.
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

// joinAgreement listens for other brokers of the replicated configuration, if it is on.
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

// openConsole opens the admin server, where there is one. check reports whether clients are accepted, more are further
// metrics.
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

// ownMetrics are those of the core, the sources of the endpoint list and the replicated configuration.
func (ctl *control) ownMetrics() []broker.Metric {
	return slices.Concat(ctl.loop.Metrics.Read(), ctl.endpoints.Metrics(), ctl.agreementMetrics())
}

// consoleMetrics are those that the console shows.
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

// ports are the subsystems that hold ports, and the sources of the endpoint list. They are stopped last.
func (ctl *control) ports() subsystems {
	return subsystems{
		{stop: ctl.closePeers},
		{stop: ctl.endpoints.Close},
		{start: ctl.startConsole, stop: ctl.closeConsole},
	}
}

// workers are the subsystems that run until the context ends.
func (ctl *control) workers() subsystems {
	return subsystems{
		{start: ctl.startEndpoints},
		background(ctl.loop.Run),
		{start: ctl.startAgreement},
		background(func(ctx context.Context) { ctl.watcher.Run(ctx, ctl.clock, ctl.endpointHandler()) }),
		{start: ctl.startPeers},
	}
}

// metricsExport starts with the settings of the start.
func (ctl *control) metricsExport() subsystem {
	return subsystem{start: func(ctx context.Context) error {
		ctl.exporter.ApplySettings(exportSettings(ctl.config))
		go ctl.exporter.Run(ctx)
		return nil
	}}
}

func (ctl *control) closePeers() {
	if ctl.peers != nil {
		_ = ctl.peers.Close() // a datagram socket; its receiver ends with it
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
		_ = ctl.console.Close() // a listener; calls under way end by their deadlines
	}
}

func (ctl *control) startAgreement(ctx context.Context) error {
	if ctl.agreement != nil {
		go ctl.agreement.Run(ctx)
	}
	return nil
}

// mergesSources reports whether the endpoint list comes from several sources, of which discovery may be one.
func (ctl *control) mergesSources() bool {
	return len(ctl.config.Site.Membership.Sources) > 0
}

// startEndpoints starts the sources of the endpoint list and passes on the list held before the start.
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

// endpointHandler takes the lists of discovery: they are applied as they are, or merged with other sources.
func (ctl *control) endpointHandler() func(broker.Event) {
	if ctl.mergesSources() {
		return ctl.endpoints.HandleDiscovery
	}
	return ctl.postEndpoints
}

// watcherOptions are what a configuration says of the watch of discovery.
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

// exportSettings are what a configuration says of the export of metrics.
func exportSettings(c *config.Config) metricsexport.Settings {
	return metricsexport.Settings{
		Registry: c.Site.Telemetry.Options(c.Settings.Scheduler),
		Graphite: c.Site.Graphite,
		Collectd: c.Site.Collectd,
	}
}

// errNothingToControl is of a control process without the replicated configuration.
var errNothingToControl = errors.New("agreement: no cluster and listen: a process for control has nothing else to do")

// errSendsNothing is of an attempt in a control process.
var errSendsNothing = errors.New("a process for control sends nothing")

// ServeControl runs what a machine set aside for control does, until ctx ends: it votes on the replicated
// configuration, and passes it on to brokers that have no children themselves. It accepts no clients and sends
// nothing to storage nodes.
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

// startAlone starts a control without servers and nodes; its parts end with ctx and parts.stop.
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
