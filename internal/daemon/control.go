package daemon

import (
	"context"
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

// control is what a broker does beside carrying requests: the core with its decisions, the watch of discovery and of other sources,
// messages between brokers, the agreed document, and figures. The daemon puts fronts and connections to nodes to it; a hollow broker
// draws what those would say.
type control struct {
	config    *config.Config // of the start
	log       *slog.Logger
	clock     *broker.Clock
	loop      *broker.Loop
	link      *peer.Endpoint     // nil without peers
	agreement *agreement.Service // nil if off
	members   *members.Members
	watcher   *discovery.Watcher
	reporter  *metricsexport.Reporter
	console   *console.Server        // nil if off
	post      func(broker.Event)     // what discovery and the sources say
	figures   func() []broker.Metric // the broker's own, as sinks get them
	closes    []func()               // what ends with it, the last first
}

// newControl builds it; nothing runs yet, but ports are bound. Attempts of requests that name no transport go through transport; gate decides who
// comes in, nil for everybody.
func newControl(c *config.Config, transport broker.Transport, gate *admission.Controller, log *slog.Logger) (k *control, err error) {
	k = &control{config: c, log: log, clock: broker.NewClock()}
	defer func() {
		if err != nil {
			k.close()
		}
	}()
	c.Settings.Scheduler.Balancer = c.Site.Balancer.Options(c.Name)
	state, err := broker.NewState(c.Settings.Scheduler, c.Seed)
	if err != nil {
		return nil, err
	}
	outside := broker.Dependencies{Log: log, Admission: gate}
	if c.PeerListen != "" && c.Settings.Scheduler.Capabilities.Peers {
		if k.link, err = peer.Listen(c.PeerListen, c.Peers, c.PeersAll, c.Settings.Scheduler.Ordinal); err != nil {
			return nil, err
		}
		k.closes = append(k.closes, func() { k.link.Close() })
		outside.SendToPeer = k.link.Send
	}
	calls := &loopCalls{}
	if c.Site.Agreement.Enabled() {
		if k.agreement, err = agreementOf(c, k.clock, calls, log); err != nil {
			return nil, err
		}
		outside.ConfigChanges = k.agreement.ConfigChanges
	}
	k.figures = func() []broker.Metric { return slices.Concat(k.loop.Metrics.Read(), k.members.Metrics(), k.agreed()) }
	k.reporter = metricsexport.New(metricsexport.Options{Name: c.Name, Loop: calls, Figures: func() []broker.Metric { return k.figures() }, Log: log})
	outside.Observe = k.reporter.Observe
	k.loop = broker.NewLoop(state, k.clock, transport, outside)
	calls.Loop = k.loop
	k.post = k.loop.Post
	if k.agreement != nil {
		k.post = k.agreement.HandleEndpoints
	}
	k.watcher = discovery.NewWatcher(c.Discovery, k.watch(c))
	k.members = members.New(k.clock, k.post, log)
	k.closes = append(k.closes, k.members.Close)
	return k, nil
}

// open opens the operators' console, where there is one. check tells whether clients are taken, more are further figures.
func (k *control) open(check func() error, more func() []broker.Metric) (err error) {
	if k.config.Console == "" {
		return nil
	}
	k.console, err = console.Listen(k.config.Console, console.Handlers{Check: check,
		Vars: func() []byte {
			return metrics.FormatStatsD(slices.Concat(k.loop.Metrics.Read(), k.reporter.Figures(), k.members.Metrics(), k.agreed(), spreadFigures(k.loop.NodeShares()), more()))
		}, Nodes: func() []byte { return append(k.members.Table(), spreadText(k.loop.NodeShares())...) }, Agree: k.agreeCall()}, k.log)
	if err != nil {
		return err
	}
	k.closes = append(k.closes, func() { k.console.Close() })
	go k.console.Serve()
	k.log.Info("serving", "what", "operators", "address", k.config.Console)
	return nil
}

// run has it all run until ctx ends. known is the list that it held before, nil for none; hear takes peers' messages.
func (k *control) run(ctx context.Context, known *discovery.EndpointList, hear func(broker.PeerMessage)) error {
	listed := k.post // what discovery says is the truth, or one word among others
	if len(k.config.Site.Membership.Sources) > 0 {
		if err := k.members.ApplySettings(k.config.Site.Membership); err != nil {
			return fmt.Errorf("membership: %w", err)
		}
		listed = k.members.HandleDiscovery
		if known != nil {
			k.members.Restore(known.Event(scheduler.CachedUpdate, k.clock))
		}
	} else if known != nil {
		k.post(known.Event(scheduler.CachedUpdate, k.clock))
	}
	go k.loop.Run(ctx)
	if k.agreement != nil {
		go k.agreement.Run(ctx)
	}
	go k.watcher.Run(ctx, k.clock, listed)
	if k.link != nil {
		go k.link.Run(hear)
	}
	return nil
}

// close ends what run does not.
func (k *control) close() {
	for _, end := range slices.Backward(k.closes) {
		end()
	}
}

// watch is what a configuration says of the watch of discovery.
func (k *control) watch(c *config.Config) discovery.Options {
	set := c.Settings.Scheduler
	return discovery.Options{Brokers: set.Brokers, DrainGrace: set.Rules.DrainGrace, SharedService: set.Subscribe, Local: net.ParseIP(c.LocalAddress), Log: k.log}
}

// agreed are the figures of the agreed document.
func (k *control) agreed() []broker.Metric {
	if k.agreement == nil {
		return nil
	}
	return k.agreement.Metrics()
}

// agreeCall answers operators, nil if there is nothing agreed.
func (k *control) agreeCall() func(string) []byte {
	if k.agreement == nil {
		return nil
	}
	return k.agreement.HandleCommand
}
