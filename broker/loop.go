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

// Dependencies is what a Loop acts on besides transports. Its functions do not block.
type Dependencies struct {
	// SendToPeer sends bytes to another broker; nil without peers.
	SendToPeer func(peer int, data []byte)
	// Observe receives observations for telemetry, and does not keep the slice; nil for none.
	Observe func(observations []telemetry.Observation)
	// Log is for the engineers on call; nil for none.
	Log *slog.Logger
	// ConfigChanges returns what a turn has to apply before it decides anything, by the clock that it reads; nil
	// where no configuration is replicated.
	ConfigChanges func(now Micros) []Event
	// Admission decides who comes in at all, nil for everybody; the loop's own from now on.
	Admission *admission.Controller
}

// Loop drives a State: it queues events, reads the clock once a turn and carries out the effects. Its
// methods may be called from any goroutine unless they say otherwise; Run's goroutine alone touches the fields of the
// second group.
type Loop struct {
	Metrics Metrics

	clock        *Clock
	transport    Transport
	dependencies Dependencies
	inbox        inbox
	overload     overload
	nextID       atomic.Uint64
	shares       atomic.Pointer[[]scheduler.NodeShare]

	state          *State
	clients        map[uint64]client
	handles        map[attemptKey]Handle
	nodesCountedAt Micros                  // when nodes are to be counted again
	sharesTakenAt  Micros                  // when shares are to be taken again
	rejections     []telemetry.Observation // of admission control, taken from the inbox
	// cancelledBeforeArrival holds requests whose clients have disconnected while the arrival still waits in the inbox.
	cancelledBeforeArrival map[uint64]struct{}
}

// attemptKey names an attempt: the request's id and the attempt's number.
type attemptKey struct {
	id     uint64
	number int
}

// client is who waits for a request's answer.
type client struct {
	class string
	reply func(Response)
}

// NewLoop returns a loop over a new state. Requests that name no transport go through transport.
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

// idleWait is how long the loop sleeps when nothing is to be done: any event wakes it, so that the hour is only a
// bound.
const idleWait = time.Hour

// Run turns until ctx ends. Its goroutine owns the state.
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

// applyConfigChanges has the core switch to what the replicated configuration says as of now, before it decides
// anything else.
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

// safeTurn guards the requests that are open against a fault met by one event, which shows as a panic in the log: the
// turn ends, and what it left undone is answered by its deadline.
func (l *Loop) safeTurn(now Micros, events []Event) {
	l.safely(func() { l.turn(now, events) })
}

func (l *Loop) safely(call func()) {
	defer func() {
		if r := recover(); r != nil {
			l.dependencies.Log.Error("panic", "front", "core", "panic", r)
		}
	}()
	call()
}

// turn reduces events, and again what stopping attempts brought, at the same point of the clock.
func (l *Loop) turn(now Micros, events []Event) {
	for again := true; again; {
		for _, e := range events {
			l.track(e)
		}
		effects := l.state.Reduce(now, events)
		l.countNodes(now, events)
		events = nil
		for _, effect := range effects {
			if e := l.execute(effect, now); e != nil {
				events = append(events, e)
			}
		}
		l.safely(l.observe)
		again = len(events) > 0
	}
}

// track keeps the metrics, the clients and the handles in step with an event.
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

// observe comes after the effects were carried out, and a fault in it is its own: telemetry costs no request its
// answer.
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
	// nodeCountInterval is how often the nodes that are avoided are counted: 25 ms. If it were lower, a broker with
	// thousands of nodes would spend its turns on a look at each; if it were higher, hosts_down would lag behind.
	nodeCountInterval = Second / 40
	// sharesInterval is how often the shares of the nodes are taken for the console: a second. If it were lower, each
	// turn would cost more; if it were higher, the console would lag behind.
	sharesInterval = Second
)

// countNodes keeps the metrics of the list: at once when it changes, else from time to time.
func (l *Loop) countNodes(now Micros, events []Event) {
	if now < l.nodesCountedAt && !slices.ContainsFunc(events, isNodeList) {
		return
	}
	l.nodesCountedAt = now + nodeCountInterval
	if now >= l.sharesTakenAt {
		l.sharesTakenAt = now + sharesInterval
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

// NodeShares reports how requests are spread over the nodes of shards that have several, as of up to a second ago.
func (l *Loop) NodeShares() []scheduler.NodeShare {
	if shares := l.shares.Load(); shares != nil {
		return *shares
	}
	return nil
}
