package broker

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/admission"
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// Clock counts whole microseconds of the monotonic clock. It starts an hour up, so that nodes which
// started shortly before this process have a start above 0 too.
type Clock struct{ start time.Time }

// clockStart is what a new Clock shows.
const clockStart = 3600 * Second

// NewClock starts a clock.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now reads the clock.
func (c *Clock) Now() Micros { return clockStart + MicrosOf(time.Since(c.start)) }

// FromUnixMilli turns a point of the system's clock, in Unix milliseconds, into one of this clock: 0 for long ago.
func (c *Clock) FromUnixMilli(unixMilli int64) Micros {
	if unixMilli <= 0 {
		return 0
	}
	return max(0, clockStart+Micros((unixMilli-c.start.UnixMilli())*1000))
}

// Dependencies is what a Loop acts on besides transports. Its methods do not block.
type Dependencies struct {
	SendToPeer    func(peer int, data []byte)  // nil without peers
	Observe       func(facts []telemetry.Fact) // nil for none; it does not keep the slice
	Log           *slog.Logger                 // nil for none
	ConfigChanges func(now Micros) []Event     // what a turn has to go over to before it decides anything, by the clock that it reads; nil for nothing agreed
	Admission     *admission.Controller        // decides who comes in at all, nil for everybody; the loop's own from now on
}

type attemptKey struct {
	id     uint64
	number int
}

// client is who waits for a request's answer.
type client struct {
	class string
	reply func(Response)
}

// Loop runs a State: it gathers events, reads the clock once a turn and carries out the effects.
type Loop struct {
	Metrics Metrics

	state     *State
	clock     *Clock
	transport Transport
	outside   Dependencies
	ids       atomic.Uint64
	clients   map[uint64]client // of the loop's own goroutine, as is handles
	handles   map[attemptKey]Handle
	countAt   Micros // when nodes are counted again
	refused   []telemetry.Fact

	overloaded atomic.Bool
	busy       chan struct{}
	slow       atomic.Bool // the lag is above that of a crowd
	crowd      int64       // admission.Settings.Crowd, 0 for none
	crowded    atomic.Bool // requests were turned away by RejectOverload since the last RecordSchedulingLag
	parts      atomic.Pointer[[]scheduler.NodeShare]
	partsAt    Micros // when parts is to be taken again

	early map[uint64]struct{} // requests whose clients left while the request itself stands in inbox still

	mu     sync.Mutex
	inbox  []Event
	leaves []Event // those of inbox that do not wait for their turn: what nobody waits for is not sent on
	calls  []func()
	added  map[uint64]client // of the requests in inbox
	room   *sync.Cond        // told when inbox has become shorter
	ended  bool              // it turns no more
	since  Micros            // when the first event in inbox came
	lag    Micros            // the longest that one waited since RecordSchedulingLag
	turned []telemetry.Fact  // what admission control refused
	notify chan struct{}
}

// NewLoop returns a loop over a new state. Requests that name no transport go through transport.
func NewLoop(state *State, clock *Clock, transport Transport, outside Dependencies) *Loop {
	if outside.Log == nil {
		outside.Log = slog.New(slog.DiscardHandler)
	}
	l := &Loop{state: state, clock: clock, transport: transport, outside: outside,
		clients: map[uint64]client{}, handles: map[attemptKey]Handle{}, added: map[uint64]client{}, early: map[uint64]struct{}{},
		notify: make(chan struct{}, 1)}
	l.room = sync.NewCond(&l.mu)
	if outside.Admission != nil {
		l.crowd = int64(outside.Admission.MaxOpenOverloaded())
	}
	l.busy = make(chan struct{}, 1)
	l.Metrics.list(state.gateway.Classes())
	return l
}

// Submit takes a request and returns its id. reply is called once with the final answer, unless Cancel comes before; it must
// not block.
func (l *Loop) Submit(req *Request, reply func(Response)) uint64 {
	if refused := l.Admit(req); refused != nil {
		l.Do(func() { reply(*refused) })
		return 0
	}
	return l.SubmitAdmitted(req, reply)
}

// Admit has admission control decide on a request. What it refuses has its final answer, which is returned, and must not be entered;
// nil lets it in.
func (l *Loop) Admit(req *Request) *Response {
	if l.outside.Admission == nil {
		return nil
	}
	asked := admission.Request{Class: req.Class, Plan: req.Plan, Volume: req.Volume, Units: req.Units, Brokers: req.Brokers, Wait: int64(req.Timeout)}
	now, open := int64(l.clock.Now()), l.OpenRequests()
	l.mu.Lock()
	why, after := l.outside.Admission.Admit(now, open, &asked)
	if why != admission.Admitted && len(l.turned) < mostTurned && l.outside.Observe != nil {
		l.turned = append(l.turned, telemetry.Fact{Kind: telemetry.RequestEnded, End: telemetry.Busy, Class: req.Class, Plan: req.Plan,
			Volume: req.Volume, Units: req.Units})
	}
	l.mu.Unlock()
	if why == admission.Admitted {
		return nil
	}
	l.Metrics.taken.Add(1)
	l.Metrics.turned.Add(1)
	l.Metrics.ended(req.Class, Rejected)
	return &Response{Verdict: Rejected, RetryAfter: Micros(after)}
}

// NodeShares tells how requests were spread over the nodes of shards that have several, up to a second ago.
func (l *Loop) NodeShares() []scheduler.NodeShare {
	if parts := l.parts.Load(); parts != nil {
		return *parts
	}
	return nil
}

// Overloaded tells whether more requests wait than the processor can do, so that a front may refuse one before it reads it. It takes
// no lock.
func (l *Loop) Overloaded() bool {
	return l.crowd > 0 && l.slow.Load() && l.Metrics.open.Load() >= l.crowd
}

// RejectOverload counts such a refusal.
func (l *Loop) RejectOverload(class string) {
	l.crowded.Store(true)
	l.Metrics.taken.Add(1)
	l.Metrics.turned.Add(1)
	if known := l.Metrics.known(class); known != nil {
		known.refused.Add(1)
	}
}

// SheddingLoad tells whether admission control refuses requests.
func (l *Loop) SheddingLoad() bool { return l.overloaded.Load() }

// mostTurned bounds the facts of refusals that wait for the loop; figures count the others too.
const mostTurned = 1 << 12

// SubmitAdmitted is Submit for a request that was let in.
func (l *Loop) SubmitAdmitted(req *Request, reply func(Response)) uint64 {
	id, at := l.ids.Add(1), l.clock.Now()
	if l.Metrics.open.Add(1) == l.many() && l.crowd > 0 {
		select {
		case l.busy <- struct{}{}:
		default:
		}
	}
	l.mu.Lock()
	l.added[id] = client{req.Class, reply}
	l.put(Arrived{ID: id, Request: req, At: at})
	l.mu.Unlock()
	l.wake()
	return id
}

// put queues an event; the caller holds l.mu.
func (l *Loop) put(e Event) {
	if len(l.inbox) == 0 && l.outside.Admission != nil {
		l.since = l.clock.Now()
	}
	if r, is := e.(SettingsChanged); is && l.outside.Admission != nil {
		l.outside.Admission.ApplySettings(r.Settings)
	}
	if _, is := e.(Left); is {
		l.leaves = append(l.leaves, e)
		return
	}
	l.inbox = append(l.inbox, e)
}

// RecordSchedulingLag tells admission control, now and then, for how long whatever could run waited for a processor meanwhile. The loop's own
// queue says less: Go runs next what was woken last, which may be the loop, while hundreds wait to read what has come.
func (l *Loop) RecordSchedulingLag(waited Micros) {
	l.mu.Lock()
	if l.outside.Admission != nil {
		if l.crowded.Swap(false) {
			l.outside.Admission.RecordOverload()
		}
		l.outside.Admission.RecordLag(int64(l.clock.Now()), int64(max(waited, l.lag)))
		l.slow.Store(l.outside.Admission.Overloaded())
		l.overloaded.Store(l.outside.Admission.Shedding())
	}
	l.lag = 0
	l.mu.Unlock()
	l.Post(Lagged{Waited: waited}) // which wakes an idle loop: else this would wait for the next event, and count as its lag
}

// many is how many open requests are worth a look at how long work waits: half of those at which it decides.
func (l *Loop) many() int64 { return max(1, l.crowd/2) }

// LagMeasurementWanted tells each time that many requests have come to be open at once, so that somebody may begin to measure.
func (l *Loop) LagMeasurementWanted() <-chan struct{} { return l.busy }

// KeepMeasuringLag tells whether it is worth measuring on: many requests are open, or work lately waited for a processor.
func (l *Loop) KeepMeasuringLag() bool {
	return l.Metrics.open.Load() >= l.many() || l.slow.Load() || l.overloaded.Load()
}

// SetLagMeasured tells that RecordSchedulingLag will be called from now on, or not any more: what was known before counts no longer.
func (l *Loop) SetLagMeasured(begins bool) {
	l.mu.Lock()
	l.lag = 0
	l.mu.Unlock()
	if !begins {
		l.Post(Lagged{Unknown: true})
	}
}

// Cancel tells that the client of a request no longer waits.
func (l *Loop) Cancel(id uint64) { l.Post(Left{ID: id}) }

// Expedite tells that the client of a request may have left, but wants an answer if it has not.
func (l *Loop) Expedite(id uint64) { l.Post(Hastened{ID: id}) }

// OpenRequests tells how many requests wait for their final answer.
func (l *Loop) OpenRequests() int { return int(l.Metrics.open.Load()) }

// Post hands an event to the loop.
func (l *Loop) Post(e Event) {
	l.mu.Lock()
	l.put(e)
	l.mu.Unlock()
	l.wake()
}

func (l *Loop) wake() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// Do has a function run between two turns, on the loop's own goroutine. It must be short.
func (l *Loop) Do(call func()) {
	l.mu.Lock()
	l.calls = append(l.calls, call)
	l.mu.Unlock()
	l.wake()
}

// mostEvents bounds a turn: deadlines, timers and clients that left are looked at between turns, and what came later waits.
const mostEvents = 1 << 10

// mostQueued bounds the events that wait for a turn before a front reads no further request.
const mostQueued = 16 * mostEvents

// Backlogged tells whether the loop is far behind, so that WaitForCapacity would wait.
func (l *Loop) Backlogged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.inbox) >= mostQueued && !l.ended
}

// WaitForCapacity waits while the loop is far behind, unless given up is true at the end of a turn. Fronts call it before they take a request,
// holding no lock: so what is read and not yet decided is bounded, whatever clients send.
func (l *Loop) WaitForCapacity(givenUp func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.inbox) >= mostQueued && !l.ended && !givenUp() {
		l.room.Wait()
	}
}

// collect takes what came since the last turn, up to the bound, in memory that it gets back. more tells that events are left.
func (l *Loop) collect(now Micros, spare []Event) (events []Event, calls []func(), more bool) {
	clear(spare)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inbox) > 0 {
		l.lag = max(l.lag, now-l.since)
	}
	events, calls = l.inbox, l.calls
	l.inbox, l.calls = spare[:0], nil
	if more = len(events) > mostEvents; more {
		l.inbox = append(l.inbox, events[mostEvents:]...)
		clear(events[mostEvents:])
		events = events[:mostEvents]
	}
	l.room.Broadcast()
	l.refused, l.turned = l.turned, l.refused[:0]
	for id, c := range l.added {
		l.clients[id] = c
	}
	clear(l.added)
	events = l.place(l.leaves, events)
	clear(l.leaves)
	l.leaves = l.leaves[:0]
	return events, calls, more
}

// place puts what clients that left are told of before all else, and behind the arrival of a request that is not known yet: so none
// waits for as long as the loop is behind, and none goes to a storage node for nobody.
func (l *Loop) place(leaves, events []Event) []Event {
	if len(leaves) == 0 && len(l.early) == 0 {
		return events
	}
	placed := make([]Event, 0, len(leaves)+len(events))
	for _, e := range leaves {
		id := e.(Left).ID
		if _, waits := l.clients[id]; !waits {
			continue
		}
		if l.state.Knows(id) {
			placed = append(placed, e)
		} else {
			l.early[id] = struct{}{}
		}
	}
	for _, e := range events {
		placed = append(placed, e)
		if a, is := e.(Arrived); is {
			if _, left := l.early[a.ID]; left {
				delete(l.early, a.ID)
				placed = append(placed, Left{ID: a.ID})
			}
		}
	}
	return placed
}

// Run turns until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.end()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	var events []Event
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.notify:
		case <-alarm.C:
		}
		now := l.clock.Now()
		taken, calls, more := l.collect(now, events)
		events = taken
		l.agree(now)
		l.safeTurn(now, events)
		for _, call := range calls {
			l.safely(call)
		}
		if more {
			l.wake()
		}
		wait := time.Hour
		if at, any := l.state.Next(); any {
			wait = (at - now).Duration()
		}
		alarm.Reset(max(0, wait))
	}
}

// agree has the core go over to what is agreed as of now, before it decides anything else.
func (l *Loop) agree(now Micros) {
	if l.outside.ConfigChanges == nil {
		return
	}
	first := l.outside.ConfigChanges(now)
	if len(first) == 0 {
		return
	}
	l.mu.Lock()
	for _, e := range first {
		if r, is := e.(SettingsChanged); is && l.outside.Admission != nil {
			l.outside.Admission.ApplySettings(r.Settings)
		}
	}
	l.mu.Unlock()
	l.safeTurn(now, first)
}

// Wake has the loop turn now, though nothing has come.
func (l *Loop) Wake() { l.wake() }

// end lets those go that wait for room.
func (l *Loop) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.room.Broadcast()
}

// safeTurn guards the requests that are open against a fault met by one event: the turn ends, and what it left
// undone is answered by its deadline.
func (l *Loop) safeTurn(now Micros, events []Event) {
	l.safely(func() { l.turn(now, events) })
}

func (l *Loop) safely(call func()) {
	defer func() {
		if r := recover(); r != nil {
			l.outside.Log.Error("panic", "front", "core", "panic", r)
		}
	}()
	call()
}

// observe comes after the effects were carried out, and a fault in it is its own: telemetry costs no request its answer.
func (l *Loop) observe() {
	if len(l.refused) > 0 {
		l.outside.Observe(l.refused)
		clear(l.refused)
		l.refused = l.refused[:0]
	}
	if facts := l.state.Facts(); len(facts) > 0 && l.outside.Observe != nil {
		l.outside.Observe(facts)
	}
}

// turn reduces events, and again what stopping attempts brought, at the same point of the clock.
func (l *Loop) turn(now Micros, events []Event) {
	for again := true; again; {
		for _, e := range events {
			l.count(e)
		}
		effects := l.state.Reduce(now, events)
		l.countNodes(now, events)
		events = nil
		for _, effect := range effects {
			if e := l.run(effect, now); e != nil {
				events = append(events, e)
			}
		}
		l.safely(l.observe)
		again = len(events) > 0
	}
}

// countEach is how often the nodes that are avoided are counted: it takes a look at each node.
const countEach = Second / 40

// countNodes keeps the figures of the list: at once when it changes, else now and then.
func (l *Loop) countNodes(now Micros, events []Event) {
	if now < l.countAt && !slices.ContainsFunc(events, func(e Event) bool { _, is := e.(NodesListed); return is }) {
		return
	}
	l.countAt = now + countEach
	if now >= l.partsAt {
		l.partsAt = now + Second
		if parts := l.state.gateway.NodeShares(); len(parts) > 0 || l.parts.Load() != nil {
			l.parts.Store(&parts)
		}
	}
	listed, down := l.state.gateway.Nodes()
	l.Metrics.listed.Store(int64(listed))
	l.Metrics.down.Store(int64(down))
}

func (l *Loop) count(event Event) {
	switch e := event.(type) {
	case Arrived:
		l.Metrics.taken.Add(1)
	case Left:
		if _, waits := l.clients[e.ID]; waits {
			l.Metrics.left.Add(1)
			l.forget(e.ID)
		}
	case Ended:
		delete(l.handles, attemptKey{e.ID, e.Attempt})
	case SettingsChanged:
		l.Metrics.list(e.Settings.Classes)
	case PeerMessage:
		l.Metrics.heard.Add(1)
	}
}

func (l *Loop) forget(id uint64) {
	delete(l.clients, id)
	l.Metrics.open.Add(-1)
}

// run carries out one effect; that of a Stop is an event.
func (l *Loop) run(effect Effect, now Micros) Event {
	switch e := effect.(type) {
	case Start:
		e.Attempt.OnWritten = func() { l.Metrics.attempts.Add(1) }
		l.handles[attemptKey{e.ID, e.Number}] = l.via(e.Attempt.Request).Start(e.Attempt, func(r Result) {
			l.Post(Ended{ID: e.ID, Attempt: e.Number, Result: r})
		})
	case Stop:
		l.Metrics.stopped.Add(1)
		progress := FullyWritten
		if h := l.handles[attemptKey{e.ID, e.Number}]; h != nil {
			progress = h.Stop()
			delete(l.handles, attemptKey{e.ID, e.Number})
		}
		return Stopped{ID: e.ID, Attempt: e.Number, Progress: progress}
	case Halt:
		if h := l.handles[attemptKey{e.ID, e.Number}]; h != nil {
			h.StopSending()
		}
	case Abandon:
		if h := l.handles[attemptKey{e.ID, e.Number}]; h != nil {
			h.CancelUnlessWritten()
		}
	case Answer:
		l.answer(e)
	case Tell:
		if l.outside.SendToPeer != nil {
			l.Metrics.told.Add(1)
			l.outside.SendToPeer(e.Peer, e.Data)
		}
	case Probe:
		l.Metrics.probes.Add(1)
		l.transport.Probe(e.Address, func(r Result) {
			l.Post(Probed{Node: e.Node, Took: l.clock.Now() - now, Result: r})
		})
	case CloseIdle:
		l.transport.CloseIdle(e.Address)
	case Drop:
		drop(e.Value)
	case Log:
		l.say(e.Text)
	}
	return nil
}

func (l *Loop) via(req *Request) Transport {
	if req.Transport != nil {
		return req.Transport
	}
	return l.transport
}

func (l *Loop) answer(e Answer) {
	c, waits := l.clients[e.ID]
	if !waits {
		drop(e.Final.Value)
		l.Post(Given{ID: e.ID})
		return
	}
	if value, lasts := e.Final.Value.(Streaming); lasts {
		delete(l.clients, e.ID)
		value.OnEnd(func(whole bool) {
			l.Metrics.open.Add(-1)
			if whole {
				l.Metrics.ended(c.class, Served)
			} else {
				l.Metrics.ended(c.class, Failed)
			}
			l.Post(Given{ID: e.ID, Whole: whole})
		})
	} else {
		l.forget(e.ID)
		l.Metrics.ended(c.class, e.Final.Verdict)
	}
	c.reply(e.Final)
}

// say logs a line of the module: its kind, and what it is about.
func (l *Loop) say(text string) {
	if kind, detail, found := strings.Cut(text, ": "); found {
		l.outside.Log.Info(kind, "detail", detail)
	} else {
		l.outside.Log.Info(text)
	}
}

// drop closes a value that no client takes.
func drop(value any) {
	if v, ok := value.(io.Closer); ok {
		v.Close()
	}
}
