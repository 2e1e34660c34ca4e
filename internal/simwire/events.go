package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"junctionwharf/internal/config"
	"junctionwharf/scheduler"
)

const (
	// maxRequestID is the highest request ID of the protocol. The simulator's numbers are exact up to this value.
	maxRequestID = 1 << 52
	// maxTimerToken is the highest token of a timer.
	maxTimerToken = 1 << 63
)

// parseItem decodes an event line.
func (r *Reader) parseItem(text string) (*Item, error) {
	word, _, _ := strings.Cut(text, " ")
	kind := eventKind(word)
	count, known := eventFields[kind]
	if !known {
		return nil, fmt.Errorf("%w %.40q", ErrUnknownEvent, word)
	}
	f := splitFields(text, count)
	f.word()
	item := &Item{Line: r.line, Instance: f.word()}
	if f.err == nil && item.Instance == "" {
		f.fail("an event without an instance")
	}
	switch kind {
	case instanceStarted:
		item.Start = f.start()
	case instanceKilled:
		item.Killed = true
	case endpointUpdate:
		item.Event = r.endpointUpdate(f)
	default:
		item.Event = f.event(kind)
	}
	if f.err != nil {
		return nil, fmt.Errorf("%s: %w", kind, f.err)
	}
	return item, nil
}

// start decodes the seed and the settings document of a new instance.
func (f *fields) start() *Start {
	start := &Start{Seed: f.unsigned(math.MaxUint64)}
	if f.err != nil {
		return start
	}
	settings, err := config.ParseSettings([]byte(f.word()))
	if err != nil {
		f.fail("settings: %w", err)
		return start
	}
	start.Settings = settings.Scheduler
	return start
}

// endpointUpdate decodes the kind and version of an update and looks up the endpoint list by its number. A failed
// update has no list.
func (r *Reader) endpointUpdate(f *fields) scheduler.Event {
	update := scheduler.EndpointUpdate{Kind: lookUp(f, updateKinds), Version: f.unsigned(math.MaxUint64)}
	list := f.word()
	if update.Kind == scheduler.FailedUpdate || f.err != nil {
		return update
	}
	number, err := strconv.Atoi(list)
	endpoints, known := r.lists[number]
	if err != nil || !known {
		f.fail("endpoint list %q was not received", list)
	}
	update.Endpoints = endpoints
	return update
}

// event decodes the events that need no state of the Reader. Go evaluates the fields of a composite literal in source
// order, so each literal lists its fields in the order of the wire.
func (f *fields) event(kind eventKind) scheduler.Event {
	switch kind {
	case requestArrived:
		return f.request()
	case timerFired:
		return scheduler.TimerFired{Token: f.unsigned(maxTimerToken)}
	case clientGone:
		return scheduler.ClientGone{ID: f.unsigned(maxRequestID)}
	case healthCheckResult:
		return scheduler.HealthCheckResult{
			Latency: f.duration(),
			Node:    f.word(),
			Outcome: lookUp(f, outcomes),
			Load:    f.loadReport(),
		}
	case peerMessage:
		return scheduler.PeerMessage{From: f.signed(), Data: f.bytes()}
	case attemptEnded:
		return f.attemptEnded()
	default: // responseStarted, the only remaining kind
		return scheduler.ResponseStarted{
			ID:      f.unsigned(maxRequestID),
			Node:    f.word(),
			Latency: f.duration(),
			Attempt: f.signed(),
		}
	}
}

func (f *fields) request() scheduler.Request {
	return scheduler.Request{
		ID:        f.unsigned(maxRequestID),
		Class:     f.word(),
		Plan:      f.word(),
		Key:       f.word(),
		Remaining: f.duration(),
		Volume:    f.word(),
		Units:     f.number(),
		Shard:     f.signed(),
		Brokers:   f.signed(),
		Retry:     f.flag(),
		Write:     f.flag(),
	}
}

func (f *fields) attemptEnded() scheduler.AttemptEnded {
	return scheduler.AttemptEnded{
		ID:              f.unsigned(maxRequestID),
		Attempt:         f.signed(),
		Node:            f.word(),
		Outcome:         lookUp(f, outcomes),
		Latency:         f.duration(),
		Finished:        f.flag(),
		RateUsed:        f.signed(),
		ServedElsewhere: f.number(),
		Load:            f.loadReport(),
	}
}

// endpoint decodes a row of an endpoint list after the row's first word.
func (f *fields) endpoint() scheduler.Endpoint {
	return scheduler.Endpoint{
		Name:      f.word(),
		Zone:      f.word(),
		Kind:      f.word(),
		Shard:     f.signed(),
		State:     lookUp(f, nodeStates),
		Weight:    f.number(),
		StartedAt: f.duration(),
	}
}
