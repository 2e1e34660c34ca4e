package broker

import (
	"sync"

	"junctionwharf/telemetry"
)

// inbox holds the events and calls that other goroutines queue for the loop. mu guards all fields but wakeUp.
type inbox struct {
	mu sync.Mutex
	// events are queued for the next turns, in order of arrival.
	events []Event
	// cancellations are handled before events, so that no attempt is started for a client that has disconnected.
	cancellations []Event
	// calls are run after the next turn.
	calls []func()
	// newClients are the clients of the requests in events.
	newClients map[uint64]client
	// rejections are observations of requests that admission control rejected, for telemetry.
	rejections []telemetry.Observation
	// since is when an event was last queued while events was empty. It is set only with an admission controller.
	since Micros
	// lag is the longest time that an event was queued since the last RecordSchedulingLag.
	lag Micros
	// hasCapacity is signaled at each turn, when events may have become shorter, and when the loop has ended.
	hasCapacity *sync.Cond
	ended       bool // the loop runs no more turns

	wakeUp chan struct{} // holds one token, so that waking never blocks
}

func (b *inbox) init() {
	b.newClients = map[uint64]client{}
	b.hasCapacity = sync.NewCond(&b.mu)
	b.wakeUp = make(chan struct{}, 1)
}

const (
	// maxTurnEvents bounds the events of one turn. Deadlines, timers and cancellations are handled once a turn, and
	// later events stay queued. With a larger value, answers would be late after a burst. With a smaller value, the
	// fixed cost of a turn would become significant.
	maxTurnEvents = 1 << 10
	// maxQueuedEvents is the number of queued events from which on protocol servers read no further requests. With a
	// smaller value, short bursts would delay connections. With a larger value, a loop that is far behind would queue
	// more requests that cannot meet their deadlines.
	maxQueuedEvents = 16 * maxTurnEvents
	// maxQueuedRejections bounds the observations of rejections that are queued for telemetry. Further rejections are
	// counted only by the metrics. With a smaller value, telemetry would miss rejections during an overload. With a
	// larger value, an overload would take more memory.
	maxQueuedRejections = 1 << 12
)

// Now returns the time on the loop's clock.
func (l *Loop) Now() Micros { return l.clock.Now() }

// Submit submits a request and returns its id, or 0 if admission control rejected it. The loop's goroutine calls reply
// once with the final answer, unless it handles a Cancel of the request first. reply must not block.
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
	at := request.ReceivedAt
	if at == 0 {
		at = l.clock.Now()
	}
	l.overload.noteOpen(l.Metrics.open.Add(1))
	l.inbox.mu.Lock()
	l.inbox.newClients[id] = client{request.Class, reply}
	l.enqueue(RequestArrived{ID: id, Request: request, At: at})
	l.inbox.mu.Unlock()
	l.Wake()
	return id
}

// Cancel reports that a request's client has disconnected.
func (l *Loop) Cancel(id uint64) { l.Post(RequestCancelled{ID: id}) }

// ClientHalfClosed reports that a request's client has closed its sending side. The client may have disconnected, or
// may still expect an answer, so the loop ends and answers the request as soon as possible.
func (l *Loop) ClientHalfClosed(id uint64) { l.Post(ClientHalfClosed{ID: id}) }

// OpenRequests returns the number of requests that have no final answer yet, or whose Streaming value is still being
// delivered.
func (l *Loop) OpenRequests() int { return int(l.Metrics.open.Load()) }

// Post queues an event for the loop.
func (l *Loop) Post(e Event) {
	l.inbox.mu.Lock()
	l.enqueue(e)
	l.inbox.mu.Unlock()
	l.Wake()
}

// Do queues a function that the loop's goroutine runs after a turn. Functions run in the order of the calls of Do and
// must be short.
func (l *Loop) Do(call func()) {
	l.inbox.mu.Lock()
	l.inbox.calls = append(l.inbox.calls, call)
	l.inbox.mu.Unlock()
	l.Wake()
}

// Wake makes the loop run a turn as soon as possible, even if no event is queued.
func (l *Loop) Wake() {
	select {
	case l.inbox.wakeUp <- struct{}{}:
	default:
	}
}

// enqueue queues an event. The caller holds inbox.mu.
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

// applyToAdmission applies changed settings to admission control immediately, before the turn that handles the event,
// because requests are admitted outside of turns. The caller holds inbox.mu.
func (l *Loop) applyToAdmission(e Event) {
	if changed, is := e.(SettingsChanged); is && l.dependencies.Admission != nil {
		l.dependencies.Admission.ApplySettings(changed.Settings)
	}
}

// Backlogged reports whether so many events are queued that WaitForCapacity would wait.
func (l *Loop) Backlogged() bool {
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	return len(l.inbox.events) >= maxQueuedEvents && !l.inbox.ended
}

// WaitForCapacity blocks while maxQueuedEvents or more events are queued, the loop runs and givenUp returns false.
// givenUp is checked at each turn. Protocol servers call WaitForCapacity before they read a request, without holding a
// lock. This bounds the number of requests that were read and are not handled yet.
func (l *Loop) WaitForCapacity(givenUp func() bool) {
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	for len(l.inbox.events) >= maxQueuedEvents && !l.inbox.ended && !givenUp() {
		l.inbox.hasCapacity.Wait()
	}
}

// end marks the loop as ended and releases the goroutines in WaitForCapacity.
func (l *Loop) end() {
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	l.inbox.ended = true
	l.inbox.hasCapacity.Broadcast()
}

// collect takes the queued calls and up to maxTurnEvents of the queued events. The inbox reuses spare as its buffer of
// events. more reports whether events are left.
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

// takeEvents takes the events of one turn and reports whether some are left. The caller holds mu.
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

// insertCancellations puts the cancellations of known requests before all events. A cancellation of a request whose
// arrival is still queued is put directly behind that arrival, in this turn or a later one. This way a cancellation is
// not delayed while the loop is behind, and no attempt is started for a client whose cancellation is queued.
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
