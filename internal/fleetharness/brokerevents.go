package fleetharness

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"syscall"
)

// applyBrokerEvent applies an event to all its brokers concurrently and waits until the event is over.
func (f *Fleet) applyBrokerEvent(ctx context.Context, event Event) error {
	if event.Kind.ofAgreement() {
		f.partitionFor(ctx, event)
		return nil
	}
	known := f.discovery.currentList()
	failures := make(chan error, len(event.Brokers))
	var wait sync.WaitGroup
	for _, number := range event.Brokers {
		b := f.brokers[number]
		wait.Go(func() {
			switch event.Kind {
			case BrokerKill:
				failures <- f.endAndRestart(ctx, b, event, syscall.SIGKILL, known)
			case BrokerTerminate:
				failures <- f.endAndRestart(ctx, b, event, syscall.SIGTERM, known)
			case BrokerStop:
				f.stopFor(ctx, b, event)
			default:
				f.faultFor(ctx, b, event)
			}
		})
	}
	wait.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// partitionFor blocks the links over which the configuration is replicated for the event's duration.
func (f *Fleet) partitionFor(ctx context.Context, event Event) {
	dropsSent := event.Kind != AgreementDeaf
	dropsReceived := event.Kind != AgreementMute
	heal := f.Partition(dropsSent, dropsReceived, event.Brokers...)
	if event.DurationS > 0 {
		sleepFor(ctx, seconds(event.DurationS))
		heal()
	}
}

// endAndRestart terminates a broker and restarts it after the event's duration, if the event has one. known is the
// endpoint list that the broker had.
func (f *Fleet) endAndRestart(
	ctx context.Context, b *broker, event Event, signal syscall.Signal, known json.RawMessage,
) error {
	f.terminate(b, signal)
	_, done := b.process()
	<-done
	f.recorder.excuse(b.number)
	if event.DurationS == 0 {
		return nil
	}
	sleepFor(ctx, seconds(event.DurationS))
	if ctx.Err() != nil {
		return nil
	}
	startedAt := Now()
	err := f.startBroker(b, known)
	if err == nil {
		err = f.awaitReady(ctx, b)
	}
	if err == nil {
		f.mu.Lock()
		f.restartTimes = append(f.restartTimes, Now()-startedAt)
		f.mu.Unlock()
	}
	f.recorder.excuse(b.number)
	b.setDown(false)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// stopFor stops a broker's process for the event's duration. During a long stop clients give up before the process
// resumes, so the broker's pending requests are excused both when it is stopped and when it resumes.
func (f *Fleet) stopFor(ctx context.Context, b *broker, event Event) {
	process, _ := b.process()
	b.setDown(true)
	_ = process.Signal(syscall.SIGSTOP) // fails if the process has exited
	f.recorder.excuse(b.number)
	sleepFor(ctx, seconds(event.DurationS))
	f.recorder.excuse(b.number)
	_ = process.Signal(syscall.SIGCONT)
	b.setDown(false)
}

// faultFor sets a fault of a broker's links or discovery view for the event's duration or until the end of the run.
func (f *Fleet) faultFor(ctx context.Context, b *broker, event Event) {
	f.setBrokerFault(b, event)
	if event.DurationS > 0 {
		sleepFor(ctx, seconds(event.DurationS))
		f.clearBrokerFault(b, event.Kind)
	}
}

// setBrokerFault sets a fault of a broker's links or discovery view.
func (f *Fleet) setBrokerFault(b *broker, event Event) {
	quality := linkQuality{delay: milliseconds(event.DelayMS), jitter: milliseconds(event.JitterMS)}
	switch event.Kind {
	case BrokerDeaf:
		b.changeLinks(func() { b.peerQuality.loss = cmp.Or(event.Amount, 1) })
	case BrokerDatagrams:
		b.changeLinks(func() {
			b.peerQuality.delay = quality.delay
			b.peerQuality.jitter = quality.jitter
		})
	case BrokerClientDelay:
		b.changeLinks(func() { b.clients.linkQuality = quality })
	case BrokerClientPace:
		b.changeLinks(func() { b.clients.bytesPerSecond = event.Amount })
	case BrokerClientCut:
		b.changeLinks(func() { b.clients.cutAt = int(event.Amount) })
	case BrokerBurst:
		b.changeLinks(func() { b.clients.burst = event.Amount })
	default:
		f.discovery.setView(b.number, f.viewOf(event))
	}
}

// clearBrokerFault clears a fault that setBrokerFault set.
func (f *Fleet) clearBrokerFault(b *broker, kind EventKind) {
	switch kind {
	case BrokerDeaf:
		b.changeLinks(func() { b.peerQuality.loss = 0 })
	case BrokerDatagrams, BrokerClientDelay, BrokerClientPace, BrokerClientCut, BrokerBurst:
		f.setBrokerFault(b, Event{Kind: kind})
	default:
		f.discovery.setView(b.number, discoveryView{})
	}
}

// changeLinks calls change, which modifies the quality of the broker's links, with b.mu held.
func (b *broker) changeLinks(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// viewOf returns the faults of a broker's discovery view during an event.
func (f *Fleet) viewOf(event Event) discoveryView {
	view := discoveryView{
		stale:       event.Kind == ViewStale,
		unavailable: event.Kind == ViewUnavailable,
		empty:       event.Kind == ViewEmpty,
	}
	if event.Kind == ViewLate {
		view.delay = milliseconds(event.DelayMS)
	}
	if event.Kind == ViewContradicts {
		for _, i := range event.Nodes {
			view.draining = append(view.draining, f.nodes[i].name)
		}
	}
	return view
}
