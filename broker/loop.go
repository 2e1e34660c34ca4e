package broker

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"junctionwharf/admission"
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// Dependencies are the functions and components that a Loop uses besides transports. The functions must not block.
type Dependencies struct {
	// SendToPeer sends bytes to another broker, or to all others if peer is scheduler.AllPeers. It is nil for a broker
	// without peers.
	SendToPeer func(peer int, data []byte)
	// Observe receives observations for telemetry. It must not keep the slice. It is nil if there is no telemetry.
	Observe func(observations []telemetry.Observation)
	// Log receives log lines for the operators. If it is nil, nothing is logged.
	Log *slog.Logger
	// ConfigChanges returns the events that a turn must apply before it makes any decision at the time now. It is nil
	// if no configuration is replicated.
	ConfigChanges func(now Micros) []Event
	// Admission decides which requests are admitted. The loop becomes its owner. If it is nil, all requests are
	// admitted.
	Admission *admission.Controller
}

// Loop drives a State: it queues events, reads the clock once a turn and executes the effects. Its methods may be
// called from any goroutine unless their comments say otherwise. Only the goroutine of Run accesses the fields from
// state on.
type Loop struct {
	Metrics Metrics

	clock        *Clock
	transport    Transport
	dependencies Dependencies
	inbox        inbox
	overload     overload
	nextID       atomic.Uint64
	shares       atomic.Pointer[[]scheduler.NodeShare]

	state            *State
	clients          map[uint64]client
	handles          map[attemptKey]Handle
	nextNodeCount    Micros                  // next time to count nodes
	nextSharesUpdate Micros                  // next time to update shares
	rejections       []telemetry.Observation // rejections by admission control, moved from the inbox
	recovering       bool                    // a panic was contained since the last call of answerLost
	// cancelledBeforeArrival holds the ids of requests whose clients disconnected while the RequestArrived event was
	// still queued in the inbox.
	cancelledBeforeArrival map[uint64]struct{}
}

// attemptKey identifies an attempt by the request's id and the attempt's number.
type attemptKey struct {
	id     uint64
	number int
}

// client is where the answer to a request is sent.
type client struct {
	class string
	reply func(Response)
}

// NewLoop returns a loop that drives state. Requests without a transport of their own are sent through transport.
func NewLoop(state *State, clock *Clock, transport Transport, dependencies Dependencies) *Loop {
	if dependencies.Log == nil {
		dependencies.Log = slog.New(slog.DiscardHandler)
	}
	l := &Loop{
		state:                  state,
		clock:                  clock,
		transport:              transport,
		dependencies:           dependencies,
		clients:                map[uint64]client{},
		handles:                map[attemptKey]Handle{},
		cancelledBeforeArrival: map[uint64]struct{}{},
	}
	l.inbox.init()
	l.overload.init(dependencies.Admission)
	l.Metrics.addClasses(state.scheduler.Classes())
	return l
}

// idleWait is how long the loop sleeps when no timer is set. Any event wakes the loop, so the value only has to be
// finite.
const idleWait = time.Hour

// Run executes turns until ctx ends. Its goroutine owns the state.
func (l *Loop) Run(ctx context.Context) {
	defer l.end()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	var spare []Event
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.inbox.wakeUp:
		case <-alarm.C:
		}
		now := l.clock.Now()
		events, calls, more := l.collect(now, spare)
		spare = events
		l.applyConfigChanges(now)
		l.safeTurn(now, events)
		if l.recovering {
			l.answerLost()
		}
		for _, call := range calls {
			l.safely(call)
		}
		if more {
			l.Wake()
		}
		wait := idleWait
		if at, ok := l.state.Next(); ok {
			wait = (at - now).Duration()
		}
		alarm.Reset(max(0, wait))
	}
}

// applyConfigChanges applies the changes of the replicated configuration that are due by now. It runs before the turn
// makes any other decision.
func (l *Loop) applyConfigChanges(now Micros) {
	if l.dependencies.ConfigChanges == nil {
		return
	}
	changes := l.dependencies.ConfigChanges(now)
	if len(changes) == 0 {
		return
	}
	l.inbox.mu.Lock()
	for _, e := range changes {
		l.applyToAdmission(e)
	}
	l.inbox.mu.Unlock()
	l.safeTurn(now, changes)
}

// safeTurn runs a turn. A panic that an event, an effect or the scheduler causes is logged and contained (see
// recovery.go). Then a request that the panic concerned fails, at its deadline at the latest.
func (l *Loop) safeTurn(now Micros, events []Event) {
	l.safely(func() { l.turn(now, events) })
}

func (l *Loop) safely(call func()) {
	defer func() {
		if cause := recover(); cause != nil {
			l.recovering = true
			l.logPanic(cause)
		}
	}()
	call()
}

// turn reduces events and executes the effects. An effect that stops an attempt produces a further event. turn reduces
// these events with the same time, until there are none.
func (l *Loop) turn(now Micros, events []Event) {
	for again := true; again; {
		for _, e := range events {
			l.track(e)
		}
		effects := l.state.Reduce(now, events)
		for _, cause := range l.state.Panics() {
			l.recovering = true
			l.logPanic(cause)
		}
		listed := events
		events = nil
		for next := 0; next < len(effects); {
			next, events = l.executeAll(effects, next, now, events)
		}
		l.safely(func() { l.countNodes(now, listed) })
		l.safely(l.observe)
		again = len(events) > 0
	}
}

// track updates the metrics, the clients and the handles for an event.
func (l *Loop) track(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		l.Metrics.received.Add(1)
	case RequestCancelled:
		if _, waits := l.clients[e.ID]; waits {
			l.Metrics.cancelled.Add(1)
			l.forgetClient(e.ID)
		}
	case AttemptEnded:
		delete(l.handles, attemptKey{e.ID, e.Attempt})
	case SettingsChanged:
		l.Metrics.addClasses(e.Settings.Classes)
	case PeerMessage:
		l.Metrics.peerReceived.Add(1)
	}
}

func (l *Loop) forgetClient(id uint64) {
	delete(l.clients, id)
	l.Metrics.open.Add(-1)
}

// observe passes observations to telemetry. It runs after the effects were executed, and turn contains a panic in it
// separately, so that a panic in telemetry leaves no request without an answer.
func (l *Loop) observe() {
	if len(l.rejections) > 0 {
		l.dependencies.Observe(l.rejections)
		clear(l.rejections)
		l.rejections = l.rejections[:0]
	}
	if observations := l.state.Observations(); len(observations) > 0 && l.dependencies.Observe != nil {
		l.dependencies.Observe(observations)
	}
}

const (
	// nodeCountInterval is the interval at which avoided nodes are counted: 25 ms. With a smaller value, a broker with
	// thousands of nodes would spend its turns on counting them. With a larger value, hosts_down would lag behind.
	nodeCountInterval = Second / 40
	// sharesInterval is the interval at which the console's copy of the node shares is updated: 1 s. With a smaller
	// value, turns would cost more. With a larger value, the console would lag behind.
	sharesInterval = Second
)

// countNodes updates the metrics of the nodes: immediately after a new list, else every nodeCountInterval. With them,
// it updates the shares of the nodes if sharesInterval has passed.
func (l *Loop) countNodes(now Micros, events []Event) {
	if now < l.nextNodeCount && !slices.ContainsFunc(events, isNodeList) {
		return
	}
	l.nextNodeCount = now + nodeCountInterval
	if now >= l.nextSharesUpdate {
		l.nextSharesUpdate = now + sharesInterval
		if shares := l.state.scheduler.NodeShares(); len(shares) > 0 || l.shares.Load() != nil {
			l.shares.Store(&shares)
		}
	}
	listed, down := l.state.scheduler.Nodes()
	l.Metrics.listed.Store(int64(listed))
	l.Metrics.down.Store(int64(down))
}

func isNodeList(e Event) bool {
	_, is := e.(NodesListed)
	return is
}

// NodeShares returns how requests are spread over the nodes of shards with several nodes. The loop updates the shares
// about once a second.
func (l *Loop) NodeShares() []scheduler.NodeShare {
	if shares := l.shares.Load(); shares != nil {
		return *shares
	}
	return nil
}
