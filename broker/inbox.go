package broker

import (
	"sync"

	"junctionwharf/telemetry"
)

// inbox holds what other goroutines hand to the loop. mu guards all fields but wakeUp.
type inbox struct {
	mu sync.Mutex
	// events wait for their turn, in the order in which they came.
	events []Event
	// cancellations overtake events: what nobody waits for is not sent on.
	cancellations []Event
	// calls are run between two turns.
	calls []func()
	// newClients are those of the requests in events.
	newClients map[uint64]client
	// rejections are what admission control rejected, for telemetry.
	rejections []telemetry.Observation
	// since is when the first of events came; kept only where admission control wants to know.
	since Micros
	// lag is the longest that one waited since RecordSchedulingLag.
	lag Micros
	// hasCapacity is signalled when events has become shorter, or the loop has ended.
	hasCapacity *sync.Cond
	ended       bool // the loop turns no more

	wakeUp chan struct{} // holds one token, so that waking never blocks
}

func (b *inbox) init() {
	b.newClients = map[uint64]client{}
	b.hasCapacity = sync.NewCond(&b.mu)
	b.wakeUp = make(chan struct{}, 1)
}

const (
	// maxTurnEvents bounds a turn: deadlines, timers and cancellations are looked at between turns, and what came
	// later waits. If it were higher, answers would come late after a burst; if it were lower, the fixed cost of a turn
	// would count.
	maxTurnEvents = 1 << 10
	// maxQueuedEvents bounds the events that wait for a turn before a protocol server reads no further request. If it
	// were lower, short bursts would hold up connections; if it were higher, a loop far behind would hold more
	// requests that cannot be in time.
	maxQueuedEvents = 16 * maxTurnEvents
	// maxQueuedRejections bounds the observations of rejections that wait for the loop; metrics count the others too.
	// If it were lower, telemetry would miss rejections of an overload; if it were higher, an overload would take
	// more memory.
	maxQueuedRejections = 1 << 12
)

// Submit takes a request and returns its id, 0 for one that admission control rejected. reply is called once with the
// final answer, unless Cancel comes before; it must not block.
func (l *Loop) Submit(request *Request, reply func(Response)) uint64 {
	if rejected := l.Admit(request); rejected != nil {
		l.Do(func() { reply(*rejected) })
		return 0
	}
	return l.SubmitAdmitted(request, reply)
}

// SubmitAdmitted is Submit for a request that Admit has admitted.
func (l *Loop) SubmitAdmitted(request *Request, reply func(Response)) uint64 {
	id := l.nextID.Add(1)
	at := l.clock.Now()
	l.overload.noteOpen(l.Metrics.open.Add(1))
	l.inbox.mu.Lock()
	l.inbox.newClients[id] = client{request.Class, reply}
	l.enqueue(RequestArrived{ID: id, Request: request, At: at})
	l.inbox.mu.Unlock()
	l.Wake()
	return id
}

// Cancel reports that the client of a request no longer waits.
func (l *Loop) Cancel(id uint64) { l.Post(RequestCancelled{ID: id}) }

// ClientHalfClosed reports that the client of a request closed its sending side: it may have disconnected, and wants
// an answer now if it has not.
func (l *Loop) ClientHalfClosed(id uint64) { l.Post(ClientHalfClosed{ID: id}) }

// OpenRequests reports how many requests wait for their final answer.
func (l *Loop) OpenRequests() int { return int(l.Metrics.open.Load()) }

// Post hands an event to the loop.
func (l *Loop) Post(e Event) {
	l.inbox.mu.Lock()
	l.enqueue(e)
	l.inbox.mu.Unlock()
	l.Wake()
}

// Do has a function run between two turns, on the loop's own goroutine. Functions run in the order of Do, and must be
// short.
func (l *Loop) Do(call func()) {
	l.inbox.mu.Lock()
	l.inbox.calls = append(l.inbox.calls, call)
	l.inbox.mu.Unlock()
	l.Wake()
}

// Wake has the loop run a turn now, even without an event.
func (l *Loop) Wake() {
	select {
	case l.inbox.wakeUp <- struct{}{}:
	default:
	}
}

// enqueue queues an event; the caller holds inbox.mu.
func (l *Loop) enqueue(e Event) {
	if len(l.inbox.events) == 0 && l.dependencies.Admission != nil {
		l.inbox.since = l.clock.Now()
	}
	l.applyToAdmission(e)
	if _, is := e.(RequestCancelled); is {
		l.inbox.cancellations = append(l.inbox.cancellations, e)
		return
	}
	l.inbox.events = append(l.inbox.events, e)
}

// applyToAdmission has admission control follow settings at once, before the turn that takes them: it admits requests
// outside the turns. The caller holds inbox.mu.
func (l *Loop) applyToAdmission(e Event) {
	if changed, is := e.(SettingsChanged); is && l.dependencies.Admission != nil {
		l.dependencies.Admission.ApplySettings(changed.Settings)
	}
}

// Backlogged reports whether the loop is far behind, so that WaitForCapacity would wait.
func (l *Loop) Backlogged() bool {
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	return len(l.inbox.events) >= maxQueuedEvents && !l.inbox.ended
}

// WaitForCapacity waits while the loop is far behind, unless givenUp is true at the end of a turn. Protocol servers
// call it before they take a request, holding no lock: so what is read and not yet decided is bounded, whatever
// clients send.
func (l *Loop) WaitForCapacity(givenUp func() bool) {
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	for len(l.inbox.events) >= maxQueuedEvents && !l.inbox.ended && !givenUp() {
		l.inbox.hasCapacity.Wait()
	}
}

// end releases those that wait for capacity.
func (l *Loop) end() {
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	l.inbox.ended = true
	l.inbox.hasCapacity.Broadcast()
}

// collect takes what came since the last turn, up to the bound, in memory that the inbox gets back by spare. more
// reports that events are left.
func (l *Loop) collect(now Micros, spare []Event) (events []Event, calls []func(), more bool) {
	clear(spare)
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	if len(l.inbox.events) > 0 {
		l.inbox.lag = max(l.inbox.lag, now-l.inbox.since)
	}
	events, more = l.inbox.takeEvents(spare)
	calls = l.inbox.calls
	l.inbox.calls = nil
	l.inbox.hasCapacity.Broadcast()
	l.rejections, l.inbox.rejections = l.inbox.rejections, l.rejections[:0]
	for id, c := range l.inbox.newClients {
		l.clients[id] = c
	}
	clear(l.inbox.newClients)
	events = l.insertCancellations(l.inbox.cancellations, events)
	clear(l.inbox.cancellations)
	l.inbox.cancellations = l.inbox.cancellations[:0]
	return events, calls, more
}

// takeEvents takes the events of one turn and reports whether some are left; the caller holds mu.
func (b *inbox) takeEvents(spare []Event) (events []Event, more bool) {
	events = b.events
	b.events = spare[:0]
	if len(events) <= maxTurnEvents {
		return events, false
	}
	b.events = append(b.events, events[maxTurnEvents:]...)
	clear(events[maxTurnEvents:])
	return events[:maxTurnEvents], true
}

// insertCancellations puts cancellations before all else, and behind the arrival of a request that is not known yet:
// so none waits for as long as the loop is behind, and no request is sent to a storage node for a client that has
// disconnected.
func (l *Loop) insertCancellations(cancellations, events []Event) []Event {
	if len(cancellations) == 0 && len(l.cancelledBeforeArrival) == 0 {
		return events
	}
	ordered := make([]Event, 0, len(cancellations)+len(events))
	for _, e := range cancellations {
		id := e.(RequestCancelled).ID
		if _, waits := l.clients[id]; !waits {
			continue
		}
		if l.state.Knows(id) {
			ordered = append(ordered, e)
		} else {
			l.cancelledBeforeArrival[id] = struct{}{}
		}
	}
	for _, e := range events {
		ordered = append(ordered, e)
		arrival, is := e.(RequestArrived)
		if !is {
			continue
		}
		if _, cancelled := l.cancelledBeforeArrival[arrival.ID]; cancelled {
			delete(l.cancelledBeforeArrival, arrival.ID)
			ordered = append(ordered, RequestCancelled{ID: arrival.ID})
		}
	}
	return ordered
}
