package main

import (
	"errors"
	"fmt"

	"junctionwharf/internal/simwire"
	"junctionwharf/scheduler"
)

// errNotRunning reports an event for an instance that was not started or has been killed.
var errNotRunning = errors.New("instance is not running")

// adapter owns the schedulers of the running instances.
type adapter struct {
	schedulers map[string]*scheduler.Scheduler // by instance
	writer     *simwire.Writer
}

func newAdapter(writer *simwire.Writer) *adapter {
	return &adapter{schedulers: map[string]*scheduler.Scheduler{}, writer: writer}
}

// eventQueue groups the events of a batch by instance.
type eventQueue struct {
	order  []string // instances by their first event; an instance that restarts within a batch may occur twice
	events map[string][]scheduler.Event
}

func (q *eventQueue) add(instance string, event scheduler.Event) {
	if q.events[instance] == nil {
		q.order = append(q.order, instance)
	}
	q.events[instance] = append(q.events[instance], event)
}

// drop discards the events of an instance that was killed or restarted after them.
func (q *eventQueue) drop(instance string) { delete(q.events, instance) }

// reply processes a batch and writes the reply.
func (a *adapter) reply(batch *simwire.Batch) error {
	queue := eventQueue{events: map[string][]scheduler.Event{}}
	for _, item := range batch.Items {
		if err := a.receive(item, &queue); err != nil {
			return err
		}
	}
	done := map[string]bool{}
	for _, instance := range queue.order {
		if a.schedulers[instance] == nil || done[instance] {
			continue
		}
		done[instance] = true
		if err := a.decide(instance, batch.Now, queue.events[instance]); err != nil {
			return err
		}
	}
	return a.writer.EndReply(batch.Number)
}

// receive starts or removes an instance, or queues an event for it.
func (a *adapter) receive(item simwire.Item, queue *eventQueue) error {
	switch {
	case item.Start != nil:
		state, err := scheduler.New(item.Start.Settings, item.Start.Seed)
		if err != nil {
			err = fmt.Errorf("start %s: %w", item.Instance, err)
			return &simwire.LineError{Line: item.Line, Err: err}
		}
		a.schedulers[item.Instance] = state
		queue.drop(item.Instance)
	case a.schedulers[item.Instance] == nil:
		err := fmt.Errorf("event for %s: %w", item.Instance, errNotRunning)
		return &simwire.LineError{Line: item.Line, Err: err}
	case item.Killed:
		delete(a.schedulers, item.Instance)
		queue.drop(item.Instance)
	default:
		queue.add(item.Instance, item.Event)
	}
	return nil
}

// decide passes the events to the scheduler of an instance and writes the scheduler's actions, or its failure.
func (a *adapter) decide(instance string, now scheduler.Time, events []scheduler.Event) error {
	actions, err := reduce(a.schedulers[instance], now, events)
	if err != nil {
		return a.writer.WriteFailure(instance, err.Error())
	}
	for _, action := range actions {
		if err := a.writer.WriteAction(instance, action); err != nil {
			return err
		}
	}
	return nil
}

// panicError is the error for a panic of a scheduler.
type panicError struct{ value any }

func (e *panicError) Error() string { return fmt.Sprint("panic: ", e.value) }

// reduce calls a scheduler and converts a panic into an error. Otherwise one faulty instance would end the whole
// simulation, and the simulator could not report which instance failed.
func reduce(
	state *scheduler.Scheduler, now scheduler.Time, events []scheduler.Event,
) (actions []scheduler.Action, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &panicError{value: value}
		}
	}()
	return state.Reduce(now, events), nil
}
