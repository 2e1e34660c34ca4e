package scheduler

import (
	"container/heap"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// scheduledEvent is an event for a given time.
type scheduledEvent struct {
	at       Time
	sequence int
	event    Event
}

// eventQueue is a min-heap of events by time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation sends the same events to two schedulers. The scheduler under test scans only shards that may have changed.
// The reference scans all queued requests in every step. Both must make the same decisions. Each node serves one
// request after another.
type simulation struct {
	t           *testing.T
	scheduler   *Scheduler
	reference   *Scheduler // nil for none
	now         Time
	sequence    int
	events      eventQueue
	serviceTime time.Duration
	freeAt      map[string]Time // when the node has served all its requests
	attempts    map[uint64]int
	forwards    map[uint64]int
	answers     map[uint64]int // rejections and failures
	maxQueued   int
}

func newSimulation(t *testing.T, settings Settings, seed uint64) *simulation {
	t.Helper()
	m := &simulation{
		t:           t,
		now:         100 * time.Second,
		serviceTime: 5 * time.Millisecond,
		freeAt:      map[string]Time{},
		attempts:    map[uint64]int{},
		forwards:    map[uint64]int{},
		answers:     map[uint64]int{},
	}
	m.scheduler = newScheduler(t, settings, seed)
	m.reference = newScheduler(t, settings, seed)
	m.reference.scans.exhaustive = true
	return m
}

func newScheduler(t *testing.T, settings Settings, seed uint64) *Scheduler {
	t.Helper()
	s, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// schedule schedules an event after a delay.
func (m *simulation) schedule(after time.Duration, event Event) {
	m.sequence++
	heap.Push(&m.events, scheduledEvent{m.now + after, m.sequence, event})
}

// step passes events to both schedulers, compares their actions and carries out the actions.
func (m *simulation) step(events ...Event) {
	m.t.Helper()
	actions := m.scheduler.Reduce(m.now, events)
	if m.reference != nil {
		if want := m.reference.Reduce(m.now, events); !reflect.DeepEqual(actions, want) {
			m.t.Fatalf("actions at %v are %v, want those of the reference: %v", m.now, actions, want)
		}
	}
	queued := 0
	for _, sh := range m.scheduler.shards.byID {
		queued += len(sh.queue)
	}
	m.maxQueued = max(m.maxQueued, queued)
	for _, action := range actions {
		switch a := action.(type) {
		case SetTimer:
			m.schedule(a.After, TimerFired{Token: a.Token})
		case Reject:
			m.answers[a.ID]++
		case Fail:
			m.answers[a.ID]++
		case Forward:
			m.serve(a)
		}
	}
}

// serve schedules the end of an attempt at a node, after all earlier attempts at the node.
func (m *simulation) serve(a Forward) {
	m.forwards[a.ID]++
	m.freeAt[a.Node] = max(m.freeAt[a.Node], m.now) + m.serviceTime
	latency := m.freeAt[a.Node] - m.now
	m.schedule(latency, AttemptEnded{
		ID: a.ID, Attempt: m.attempts[a.ID], Node: a.Node,
		Outcome: Success, Latency: latency, Finished: true, Load: NoLoadReport,
	})
	m.attempts[a.ID]++
}

// runUntil processes the scheduled events up to a time.
func (m *simulation) runUntil(end Time) {
	m.t.Helper()
	for len(m.events) > 0 && m.events[0].at <= end {
		m.now = m.events[0].at
		var events []Event
		for len(m.events) > 0 && m.events[0].at <= m.now {
			events = append(events, heap.Pop(&m.events).(scheduledEvent).event)
		}
		m.step(events...)
	}
	m.now = end
}

// readClass returns a class of idempotent requests.
func readClass() Class {
	return Class{
		Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1,
	}
}

// queueSettings returns the settings of a deployment with urgent, patient and non-idempotent requests, and with volumes
// that have few or many tokens.
func queueSettings() Settings {
	return Settings{
		Brokers: 1, MeanUnits: 2, MaxUnits: 8, SpareWeight: 0.05, ShareWeight: 0.4,
		Classes: []Class{
			{
				Name: "read", LatencyObjective: 150 * time.Millisecond, Deadline: 750 * time.Millisecond,
				PriorityWeight: 3,
			},
			{
				Name: "bulk", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond,
				PriorityWeight: 1,
			},
			{
				Name: "write", LatencyObjective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond,
				PriorityWeight: 2, Idempotency: NotIdempotent,
			},
		},
		Plans: []Plan{
			{Name: "small", Rate: 2, ReservedRate: 1, Weight: 1, Price: 1},
			{Name: "large", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1},
		},
		Capabilities: Capabilities{MaxAttempts: 3},
	}
}

// listNodes sends an endpoint list with the given number of nodes, which are distributed over the shards in turn.
func (m *simulation) listNodes(nodes, shards int) []Endpoint {
	var list []Endpoint
	for i := range nodes {
		list = append(list, Endpoint{Name: fmt.Sprint("n", i), Shard: i % shards})
	}
	m.step(EndpointUpdate{Kind: FullUpdate, Version: 1, Endpoints: list})
	return list
}

// fillQueue sends a number of requests at once. If change is not nil, it modifies each request first.
func (m *simulation) fillQueue(requests int, change func(i int, r *Request)) {
	m.t.Helper()
	var events []Event
	for i := range requests {
		r := Request{
			ID: uint64(i + 1), Class: "read", Plan: "large", Volume: fmt.Sprint("v", i%100),
			Units: 1, Brokers: 1, Remaining: 750 * time.Millisecond,
		}
		if change != nil {
			change(i, &r)
		}
		events = append(events, r)
	}
	m.step(events...)
}
