package fleetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
)

const (
	// hotBrokerPart is the number of brokers per hot broker. Scenario.HotFactor sets the rate of the hot brokers.
	hotBrokerPart = 20
	// minRatePart bounds the rate of the other brokers: it is at least the mean rate divided by minRatePart, so that no
	// broker is without traffic.
	minRatePart = 10
)

// Run runs the traffic and the events, checks the rules and returns the report.
func (f *Fleet) Run(ctx context.Context) (*Report, error) {
	before := f.readMeters()
	startedAt := Now()
	f.recorder.moveStart(startedAt)
	until := startedAt + seconds(f.scenario.DurationS)

	var wait sync.WaitGroup
	for _, client := range f.newClients() {
		wait.Go(func() { client.run(ctx, until) })
	}
	var proposals map[string]int
	if f.scenario.Agreement.ChangeIntervalS > 0 {
		wait.Go(func() { proposals = f.proposeChanges(ctx, until) })
	}
	failures := make(chan error, len(f.scenario.Events))
	for i, event := range f.scenario.Events {
		wait.Go(func() {
			if err := f.applyEvent(ctx, event); err != nil {
				failures <- fmt.Errorf("event[%d]: %w", i, err)
			}
		})
	}
	wait.Wait()
	f.recorder.checkAtEnd()
	select {
	case err := <-failures:
		return nil, err
	default:
	}
	after := f.readMeters()
	report := f.buildReport()
	report.HollowBrokers = f.scenario.Hollow.Brokers
	report.Costs = f.costs(before, after)
	if f.scenario.Agreement.Voters > 0 {
		report.Agreement = newAgreementReport(f.LongestConflict(), proposals, report.Costs)
	}
	return report, ctx.Err()
}

// newClients creates the clients of all brokers that serve clients. The first brokers are the hot ones. The rate of the
// other brokers is lowered to keep the mean at Scenario.Rate, but not below Scenario.Rate/minRatePart.
func (f *Fleet) newClients() []*trafficClient {
	s := f.scenario
	hot := 0
	rate := s.Rate
	if s.HotFactor > 1 {
		hot = max(1, s.Brokers/hotBrokerPart)
		rate = s.Rate * (float64(s.Brokers) - float64(hot)*s.HotFactor) / float64(s.Brokers-hot)
	}
	var clients []*trafficClient
	for i, b := range f.brokers[:s.Brokers] {
		if f.isDedicatedVoter(i) {
			continue
		}
		client := &trafficClient{
			fleet:  f,
			broker: b,
			random: rand.New(rand.NewPCG(s.Seed, trafficStream+uint64(i))),
			rate:   max(rate, s.Rate/minRatePart),
		}
		if i < hot {
			client.rate = s.Rate * s.HotFactor
		}
		clients = append(clients, client)
	}
	return clients
}

// applyEvent applies one event at its time and undoes it after its duration.
func (f *Fleet) applyEvent(ctx context.Context, event Event) error {
	sleepFor(ctx, f.recorder.start()+seconds(event.AtS)-Now())
	if ctx.Err() != nil {
		return nil
	}
	if event.Kind.ofBrokers() {
		return f.applyInWaves(ctx, event)
	}
	undo, err := f.applyNodeEvent(event)
	if err != nil {
		return err
	}
	if event.DurationS > 0 {
		sleepFor(ctx, seconds(event.DurationS))
		undo()
	}
	return nil
}

// applyInWaves applies a broker event to one group of brokers after another.
func (f *Fleet) applyInWaves(ctx context.Context, event Event) error {
	remaining := event.Brokers
	for waves := max(1, event.Waves); len(remaining) > 0 && ctx.Err() == nil; waves-- {
		count := (len(remaining) + waves - 1) / waves
		event.Brokers = remaining[:count]
		remaining = remaining[count:]
		if err := f.applyBrokerEvent(ctx, event); err != nil {
			return err
		}
	}
	return nil
}
