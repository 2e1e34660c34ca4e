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
	"junctionwharf/scheduler"
)

// Streams of random numbers of one seed. Requests and answers draw from different streams, so that the answers do not
// influence the requests.
const (
	requestStream = 1
	answerStream  = 2
)

// errHollow is the result of the console's check call at a hollow broker.
var errHollow = errors.New("no clients are taken: this broker is hollow")

// SyntheticLoad describes the simulated clients and nodes of a hollow broker. The fleet harness passes it to its
// processes as JSON.
type SyntheticLoad struct {
	Rate         float64       `json:"Rate"`    // requests per second, at random times; 0 for none
	Volumes      int           `json:"Volumes"` // number of distinct volumes, the same at all brokers; below 1: one
	ResponseTime time.Duration `json:"Answer"`  // mean response time of a node; exponentially distributed
	Seed         uint64        `json:"Seed"`
}

// ServeHollow runs the part of a broker that carries no requests, with the same constructor as Serve, until ctx ends:
// the watch of discovery, the replicated configuration, messages between brokers, metrics, and the decisions on
// synthetic requests, which are never sent. Many hollow brokers can run in one process. They show the cost of that part
// in a fleet of more brokers than one machine could run as processes.
func ServeHollow(ctx context.Context, c *config.Config, load SyntheticLoad, log *slog.Logger) error {
	transport := &syntheticTransport{
		random:       rand.New(rand.NewPCG(load.Seed, answerStream)),
		responseTime: load.ResponseTime,
	}
	ctl, err := newControl(c, transport, nil, log)
	if err != nil {
		return err
	}
	if err := ctl.startAlone(ctx, func() error { return errHollow }); err != nil {
		return err
	}
	defer ctl.parts.stop()
	ctl.submitRequests(ctx, load)
	<-ctx.Done()
	return nil
}

// submitRequests submits random requests at load.Rate until ctx ends.
func (ctl *control) submitRequests(ctx context.Context, load SyntheticLoad) {
	random := rand.New(rand.NewPCG(load.Seed, requestStream))
	for load.Rate > 0 {
		timer := time.NewTimer(time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		ctl.loop.Submit(ctl.drawRequest(random, load), func(broker.Response) {})
	}
}

// drawRequest returns a random request. The order of the draws determines the requests of a seed and must not change.
func (ctl *control) drawRequest(random *rand.Rand, load SyntheticLoad) *broker.Request {
	set := ctl.config.Settings.Scheduler
	class := set.Classes[random.IntN(len(set.Classes))]
	volume := random.IntN(max(1, load.Volumes))
	shard := random.IntN(max(1, ctl.config.Settings.Shards))
	return &broker.Request{
		Class:   class.Name,
		Plan:    set.Plans[volume%len(set.Plans)].Name,
		Volume:  fmt.Sprintf("%016x", volume),
		Units:   1,
		Shard:   shard,
		Brokers: set.Brokers,
		Timeout: broker.MicrosOf(class.Deadline),
		Write:   class.Idempotency != scheduler.Idempotent,
	}
}

// syntheticTransport answers attempts after random times without a node. The loop calls it from one goroutine.
type syntheticTransport struct {
	random       *rand.Rand
	responseTime time.Duration
}

// Start implements broker.Transport.
func (t *syntheticTransport) Start(attempt broker.Attempt, done func(broker.Result)) broker.Handle {
	attempt.OnWritten()
	latency := time.Duration(t.random.ExpFloat64() * float64(t.responseTime))
	timer := time.AfterFunc(latency, func() { done(broker.Result{Load: scheduler.NoLoadReport}) })
	return &syntheticAttempt{timer: timer}
}

// CheckHealth implements broker.Transport.
func (t *syntheticTransport) CheckHealth(_ string, done func(broker.Result)) {
	go done(broker.Result{Load: scheduler.NoLoadReport})
}

// CloseIdle implements broker.Transport.
func (t *syntheticTransport) CloseIdle(string) {}

// syntheticAttempt is an attempt whose answer is pending.
type syntheticAttempt struct {
	timer *time.Timer
}

// Stop implements broker.Handle.
func (a *syntheticAttempt) Stop() broker.Progress {
	a.timer.Stop()
	return broker.FullyWritten
}

// StopSending implements broker.Handle. It does nothing, since the attempt is already fully written.
func (a *syntheticAttempt) StopSending() {}

// CancelUnlessWritten implements broker.Handle. It does nothing, for the same reason as StopSending.
func (a *syntheticAttempt) CancelUnlessWritten() {}
