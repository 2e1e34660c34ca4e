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
	k := &control{config: c, log: log, clock: broker.NewClock()}
	dependencies := broker.Dependencies{Log: log, Admission: gate}
	if err := k.listenForPeers(); err != nil {
		return nil, err
	}
	if k.peers != nil {
		dependencies.SendToPeer = k.peers.Send
	}
	loop := &loopProxy{}
	if err := k.joinAgreement(loop); err != nil {
		k.closePeers()
		return nil, err
	}
	if k.agreement != nil {
		dependencies.ConfigChanges = k.agreement.ConfigChanges
	}
	k.exportedMetrics = k.ownMetrics
	k.exporter = metricsexport.New(metricsexport.Options{
		Name:    c.Name,
		Loop:    loop,
		Metrics: func() []broker.Metric { return k.exportedMetrics() },
		Log:     log,
	})
	dependencies.Observe = k.exporter.Observe
	k.loop = broker.NewLoop(state, k.clock, transport, dependencies)
	loop.Loop = k.loop
	k.postEndpoints = k.loop.Post
	if k.agreement != nil {
		k.postEndpoints = k.agreement.HandleEndpoints
	}
	k.handlePeerMessage = func(message broker.PeerMessage) { k.loop.Post(message) }
	k.initialEndpoints = func() *discovery.EndpointList { return c.CachedEndpoints }
	k.watcher = discovery.NewWatcher(c.Discovery, k.watcherOptions(c))
	k.endpoints = members.New(k.clock, k.postEndpoints, log)
	return k, nil
}

// loopProxy stands for the loop before there is one: the exporter and the replicated configuration need it, and it
// needs them.
type loopProxy struct {
	*broker.Loop
}

func (k *control) listenForPeers() error {
	c := k.config
	if c.PeerListen == "" || !c.Settings.Scheduler.Capabilities.Peers {
		return nil
	}
	var err error
	k.peers, err = peer.Listen(c.PeerListen, c.Peers, c.PeersAll, c.Settings.Scheduler.Ordinal)
	return err
}

// joinAgreement listens for other brokers of the replicated configuration, if it is on.
func (k *control) joinAgreement(loop *loopProxy) error {
	settings := k.config.Site.Agreement
	if !settings.Enabled() {
		return nil
	}
	options := agreement.Options{
		Name:          k.config.Name,
		Cluster:       settings.Cluster,
		ListenAddress: settings.Listen,
		DataDir:       settings.Dir,
		LocalIP:       net.ParseIP(k.config.LocalAddress),
		Timing:        settings.Timing(),
		LimitFloors:   settings.Limits,
		MaxChildren:   settings.MaxChildren,
		Seed:          k.config.Seed,
		Now:           k.clock.Now,
		Log:           k.log,
	}
	for _, voter := range settings.Members {
		options.Voters = append(options.Voters, agreement.Voter{Name: voter.Name, Address: voter.Address})
	}
	post := func(event broker.Event) { loop.Post(event) }
	wake := func() { loop.Wake() }
	var err error
	k.agreement, err = agreement.New(options, k.config.Settings.Scheduler, post, wake)
	return err
}

// openConsole opens the admin server, where there is one. check reports whether clients are accepted, more are further
// metrics.
func (k *control) openConsole(check func() error, more func() []broker.Metric) error {
	if k.config.Console == "" {
		return nil
	}
	handlers := console.Handlers{
		Check: check,
		Vars:  func() []byte { return metrics.FormatStatsD(k.consoleMetrics(more())) },
		Nodes: func() []byte { return append(k.endpoints.Table(), formatShares(k.loop.NodeShares())...) },
	}
	if k.agreement != nil {
		handlers.Agree = k.agreement.HandleCommand
	}
	var err error
	k.console, err = console.Listen(k.config.Console, handlers, k.log)
	return err
}

// ownMetrics are those of the core, the sources of the endpoint list and the replicated configuration.
func (k *control) ownMetrics() []broker.Metric {
	return slices.Concat(k.loop.Metrics.Read(), k.endpoints.Metrics(), k.agreementMetrics())
}

// consoleMetrics are those that the console shows.
func (k *control) consoleMetrics(more []broker.Metric) []broker.Metric {
	return slices.Concat(
		k.loop.Metrics.Read(),
		k.exporter.Metrics(),
		k.endpoints.Metrics(),
		k.agreementMetrics(),
		shareMetrics(k.loop.NodeShares()),
		more,
	)
}

func (k *control) agreementMetrics() []broker.Metric {
	if k.agreement == nil {
		return nil
	}
	return k.agreement.Metrics()
}

// ports are the subsystems that hold ports, and the sources of the endpoint list. They are stopped last.
func (k *control) ports() subsystems {
	return subsystems{
		{stop: k.closePeers},
		{stop: k.endpoints.Close},
		{start: k.startConsole, stop: k.closeConsole},
	}
}

// workers are the subsystems that run until the context ends.
func (k *control) workers() subsystems {
	return subsystems{
		{start: k.startEndpoints},
		background(k.loop.Run),
		{start: k.startAgreement},
		background(func(ctx context.Context) { k.watcher.Run(ctx, k.clock, k.endpointHandler()) }),
		{start: k.startPeers},
	}
}

// metricsExport starts with the settings of the start.
func (k *control) metricsExport() subsystem {
	return subsystem{start: func(ctx context.Context) error {
		k.exporter.ApplySettings(exportSettings(k.config))
		go k.exporter.Run(ctx)
		return nil
	}}
}

func (k *control) closePeers() {
	if k.peers != nil {
		_ = k.peers.Close() // a datagram socket; its receiver ends with it
	}
}

func (k *control) startPeers(context.Context) error {
	if k.peers != nil {
		go k.peers.Run(k.handlePeerMessage) // ends with closePeers
	}
	return nil
}

func (k *control) startConsole(context.Context) error {
	if k.console == nil {
		return nil
	}
	go k.console.Serve() // ends with closeConsole
	k.log.Info("serving", "what", "operators", "address", k.config.Console)
	return nil
}

func (k *control) closeConsole() {
	if k.console != nil {
		_ = k.console.Close() // a listener; calls under way end by their deadlines
	}
}

func (k *control) startAgreement(ctx context.Context) error {
	if k.agreement != nil {
		go k.agreement.Run(ctx)
	}
	return nil
}

// mergesSources reports whether the endpoint list comes from several sources, of which discovery may be one.
func (k *control) mergesSources() bool {
	return len(k.config.Site.Membership.Sources) > 0
}

// startEndpoints starts the sources of the endpoint list and passes on the list held before the start.
func (k *control) startEndpoints(context.Context) error {
	initial := k.initialEndpoints()
	if k.mergesSources() {
		if err := k.endpoints.ApplySettings(k.config.Site.Membership); err != nil {
			return fmt.Errorf("membership: %w", err)
		}
		if initial != nil {
			k.endpoints.Restore(initial.Event(scheduler.CachedUpdate, k.clock))
		}
		return nil
	}
	if initial != nil {
		k.postEndpoints(initial.Event(scheduler.CachedUpdate, k.clock))
	}
	return nil
}

// endpointHandler takes the lists of discovery: they are applied as they are, or merged with other sources.
func (k *control) endpointHandler() func(broker.Event) {
	if k.mergesSources() {
		return k.endpoints.HandleDiscovery
	}
	return k.postEndpoints
}

// watcherOptions are what a configuration says of the watch of discovery.
func (k *control) watcherOptions(c *config.Config) discovery.Options {
	set := c.Settings.Scheduler
	return discovery.Options{
		Brokers:       set.Brokers,
		DrainGrace:    set.Rules.DrainGrace,
		SharedService: set.Subscribe,
		Local:         net.ParseIP(c.LocalAddress),
		Log:           k.log,
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
	k, err := newControl(c, noTransport{}, nil, log)
	if err != nil {
		return err
	}
	if err := k.startAlone(ctx, func() error { return nil }); err != nil {
		return err
	}
	defer k.parts.stop()
	log.Info("serving", "what", "control", "address", c.Site.Agreement.Listen)
	<-ctx.Done()
	log.Info("stopped")
	return nil
}

// startAlone starts a control without servers and nodes; its parts end with ctx and parts.stop.
func (k *control) startAlone(ctx context.Context, check func() error) error {
	noMetrics := func() []broker.Metric { return nil }
	k.parts = slices.Concat(k.ports(), k.workers(), subsystems{k.metricsExport()})
	err := k.openConsole(check, noMetrics)
	if err == nil {
		err = k.parts.start(ctx)
	}
	if err != nil {
		k.parts.stop()
	}
	return err
}
