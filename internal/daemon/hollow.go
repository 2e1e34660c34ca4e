package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// SyntheticLoad is what a hollow broker's clients and nodes are drawn to do.
type SyntheticLoad struct {
	Rate         float64       `json:"Rate"`    // requests a second, each of its own time; 0 for none
	Volumes      int           `json:"Volumes"` // drawn from evenly, the same ones at all brokers; at least 1
	ResponseTime time.Duration `json:"Answer"`  // a node's time for a request, in the mean; exponential
	Seed         uint64        `json:"Seed"`
}

// ServeHollow runs the side of a broker that carries no requests, as Serve builds it, until ctx ends: the watch of discovery, the agreed
// document, messages between brokers, figures, and the decisions on requests that are drawn and never sent. Many may run in one process. It
// measures what that side costs in a fleet larger than a machine could hold as processes.
func ServeHollow(ctx context.Context, c *config.Config, demand SyntheticLoad, log *slog.Logger) error {
	k, err := newControl(c, &drawn{random: rand.New(rand.NewPCG(demand.Seed, 2)), answer: demand.ResponseTime}, nil, log)
	if err != nil {
		return err
	}
	defer k.close()
	if err := k.begin(ctx, func() error { return errors.New("no clients are taken: this broker is hollow") }); err != nil {
		return err
	}
	k.demand(ctx, demand)
	<-ctx.Done()
	return nil
}

// ServeControl runs what a machine set aside for control does, until ctx ends: it votes on the agreed document, and feeds brokers that feed
// nobody themselves. It takes no clients and sends nothing to storage nodes.
func ServeControl(ctx context.Context, c *config.Config, log *slog.Logger) error {
	if !c.Site.Agreement.Enabled() || c.Site.Agreement.Listen == "" {
		return errors.New("agreement: no cluster and listen: a process for control has nothing else to do")
	}
	k, err := newControl(c, nowhere{}, nil, log)
	if err != nil {
		return err
	}
	defer k.close()
	if err := k.begin(ctx, func() error { return nil }); err != nil {
		return err
	}
	log.Info("serving", "what", "control", "address", c.Site.Agreement.Listen)
	<-ctx.Done()
	log.Info("stopped")
	return nil
}

// begin has a control run by itself, without fronts and nodes.
func (k *control) begin(ctx context.Context, check func() error) error {
	if err := k.open(check, func() []broker.Metric { return nil }); err != nil {
		return err
	}
	if err := k.run(ctx, k.config.CachedEndpoints, func(e broker.PeerMessage) { k.loop.Post(e) }); err != nil {
		return err
	}
	k.reporter.Retune(reportOf(k.config))
	go k.reporter.Run(ctx)
	return nil
}

// nowhere is the transport of a process that has no requests: none is ever started.
type nowhere struct{}

// Start implements broker.Transport.
func (nowhere) Start(_ broker.Attempt, done func(broker.Result)) broker.Handle {
	return pool.FailAttempt(errors.New("a process for control sends nothing"), done)
}

// Probe implements broker.Transport.
func (nowhere) Probe(_ string, done func(broker.Result)) {
	go done(broker.Result{Err: &broker.AttemptError{Progress: broker.NotConnected, Err: errors.New("a process for control sends nothing")}, Load: scheduler.NoLoadReport})
}

// CloseIdle implements broker.Transport.
func (nowhere) CloseIdle(string) {}

// demand has drawn requests come until ctx ends.
func (k *control) demand(ctx context.Context, d SyntheticLoad) {
	set := k.config.Settings.Scheduler
	random := rand.New(rand.NewPCG(d.Seed, 1))
	for d.Rate > 0 {
		timer := time.NewTimer(time.Duration(random.ExpFloat64() / d.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		class, volume := set.Classes[random.IntN(len(set.Classes))], random.IntN(max(1, d.Volumes))
		k.loop.Submit(&broker.Request{Class: class.Name, Plan: set.Plans[volume%len(set.Plans)].Name, Volume: fmt.Sprintf("%016x", volume), Units: 1,
			Shard: random.IntN(max(1, k.config.Settings.Shards)), Brokers: set.Brokers, Timeout: broker.MicrosOf(class.Deadline), Write: class.Idempotency != scheduler.Idempotent}, func(broker.Response) {})
	}
}

// drawn answers attempts after drawn times, without a node. The loop calls it from one goroutine.
type drawn struct {
	random *rand.Rand
	answer time.Duration
}

// Start implements broker.Transport.
func (d *drawn) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	a.OnWritten()
	took := time.Duration(d.random.ExpFloat64() * float64(d.answer))
	return (*pending)(time.AfterFunc(took, func() { done(broker.Result{Load: scheduler.NoLoadReport}) }))
}

// Probe implements broker.Transport.
func (d *drawn) Probe(_ string, done func(broker.Result)) {
	go done(broker.Result{Load: scheduler.NoLoadReport})
}

// CloseIdle implements broker.Transport.
func (d *drawn) CloseIdle(string) {}

// pending is an attempt whose answer is drawn.
type pending time.Timer

// Stop implements broker.Handle.
func (p *pending) Stop() broker.Progress {
	(*time.Timer)(p).Stop()
	return broker.FullyWritten
}

// StopSending implements broker.Handle. What was written whole stays.
func (p *pending) StopSending() {}

// CancelUnlessWritten implements broker.Handle, as StopSending.
func (p *pending) CancelUnlessWritten() {}
