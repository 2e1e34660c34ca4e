package broker

import (
	"fmt"
	"maps"
	"slices"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
	"junctionwharf/timingwheel"
)

// Event is something that happened; State.Reduce takes it.
type Event interface{ event() }

// The events.
type (
	// Arrived tells of a new request; its ID is new. Its client's time runs from FromUnixMilli, 0 for the turn that hears of it.
	Arrived struct {
		ID      uint64
		Request *Request
		At      Micros
	}
	// Left tells that a client no longer waits.
	Left struct{ ID uint64 }
	// Hastened tells that a client sends nothing more and may have left, while it is owed its answer: that is given now.
	Hastened struct{ ID uint64 }
	// Ended tells how an attempt ended by itself.
	Ended struct {
		ID      uint64
		Attempt int
		Result  Result
	}
	// Stopped tells how far an attempt that Stop ended had come.
	Stopped struct {
		ID       uint64
		Attempt  int
		Progress Progress
	}
	// Probed is the result of a probe.
	Probed struct {
		Node   string
		Took   Micros
		Result Result
	}
	// NodesListed is news of the list of storage nodes.
	NodesListed struct {
		Kind    scheduler.UpdateKind
		Version uint64
		Nodes   []Node
	}
	// PeerMessage is a message of another broker.
	PeerMessage struct {
		From int
		Data []byte
	}
	// SettingsChanged brings new settings, which were checked. Requests under way keep their class.
	SettingsChanged struct{ Settings scheduler.Settings }
	// ProcessesChanged tells that so many processes are this broker together, as while one replaces another, and how many more may be
	// without its being known.
	ProcessesChanged struct{ Processes, Unseen int }
	// Given tells that a Streaming value was given to its client whole, or never will be.
	Given struct {
		ID    uint64
		Whole bool
	}
	// RecordSchedulingLag tells how long whatever could run in this process has lately waited for a processor, in the mean. Unknown ends that.
	Lagged struct {
		Waited  Micros
		Unknown bool
	}
	// ShuttingDown tells that the process ends: what is owed is to be answered now, and so is what still comes.
	ShuttingDown struct{}
)

// Node is an entry of the list with the address at which this broker reaches it.
type Node struct {
	scheduler.Endpoint
	Address   string
	LastStart Micros // its last start on the loop's clock, 0 for long ago
}

func (Arrived) event()          {}
func (Left) event()             {}
func (Hastened) event()         {}
func (Ended) event()            {}
func (Stopped) event()          {}
func (Probed) event()           {}
func (NodesListed) event()      {}
func (PeerMessage) event()      {}
func (SettingsChanged) event()  {}
func (ProcessesChanged) event() {}
func (Given) event()            {}
func (Lagged) event()           {}
func (ShuttingDown) event()     {}

// Effect is something that the reducer wants done.
type Effect interface{ effect() }

// The effects.
type (
	// Start begins an attempt.
	Start struct {
		ID      uint64
		Number  int
		Attempt Attempt
	}
	// Stop ends an attempt and asks for Stopped.
	Stop struct {
		ID     uint64
		Number int
	}
	// StopSending bars an attempt from sending more to its node.
	Halt struct {
		ID     uint64
		Number int
	}
	// CancelUnlessWritten ends an attempt whose client has left, or which came too late to its node, unless it was written whole.
	Abandon struct {
		ID     uint64
		Number int
	}
	// Answer gives the final answer to a request's client.
	Answer struct {
		ID    uint64
		Final Response
	}
	// SendToPeer sends bytes to one broker, or to all others.
	Tell struct {
		Peer int
		Data []byte
	}
	// Probe asks for a probe of a node.
	Probe struct{ Node, Address string }
	// CloseIdle asks to close idle connections.
	CloseIdle struct{ Address string }
	// Drop gives up a value that no client takes any more.
	Drop struct{ Value any }
	// Log is a line for the people on call.
	Log struct{ Text string }
)

func (Start) effect()     {}
func (Stop) effect()      {}
func (Halt) effect()      {}
func (Abandon) effect()   {}
func (Answer) effect()    {}
func (Tell) effect()      {}
func (Probe) effect()     {}
func (CloseIdle) effect() {}
func (Drop) effect()      {}
func (Log) effect()       {}

// entry is a request from its arrival until it is answered and no attempt is out.
type entry struct {
	req      *Request
	arrived  Micros
	deadline Micros
	begunAt  Micros // when the first attempt was sent, 0 before
	sentAt   Micros
	ranAt    Micros // when the first attempt that may have run was sent, if ran
	ran      bool
	attempts int
	node     string // where an attempt is out
	out      bool
	stopping scheduler.Outcome // why the attempt out was stopped, if stopped
	stopped  bool
	answered bool
	overdue  timingwheel.Handle // alarms that wait for it
	timeout  timingwheel.Handle
	window   timingwheel.Handle
}

// listing is what the list says of a node.
type listing struct {
	address string // empty until one was told
	shard   int
	leaving bool   // it was told to be draining or gone
	listed  uint64 // State.lists when a list last named it
}

// State is all that the broker knows. It does no I/O and reads no clock.
type State struct {
	gateway *scheduler.Scheduler
	entries map[uint64]*entry
	free    []*entry            // that are over, for requests to come
	nodes   map[string]*listing // by name
	lists   uint64              // how many were taken
	alarms  timingwheel.Wheel[alarm]
	now     Micros
	news    []scheduler.Event // what the gateway is told next
	spare   []scheduler.Event // memory for it
	effects []Effect
	facts   []telemetry.Fact
	ending  bool                      // the process ends
	lag     Micros                    // how long work waits for a processor here
	giving  map[uint64]telemetry.Fact // requests whose Streaming value is on its way to the client
}

// NewState returns the state of a broker that has taken nothing yet.
func NewState(set scheduler.Settings, seed uint64) (*State, error) {
	gateway, err := scheduler.New(set, seed)
	if err != nil {
		return nil, err
	}
	return &State{gateway: gateway, entries: map[uint64]*entry{}, nodes: map[string]*listing{},
		giving: map[uint64]telemetry.Fact{}}, nil
}

// rounds bounds how often the gateway may act on the news of its own actions within one turn.
const rounds = 8

// Reduce takes the events of one turn of the loop and returns what is to be done, in order. The slice is good until the next
// Reduce.
func (s *State) Reduce(now Micros, events []Event) []Effect {
	s.now = now
	clear(s.effects)
	s.effects = s.effects[:0]
	clear(s.facts)
	s.facts = s.facts[:0]
	for _, e := range events {
		s.take(e)
	}
	for a, _, due := s.alarms.Pop(int64(now)); due; a, _, due = s.alarms.Pop(int64(now)) {
		s.ring(a)
	}
	for i := 0; i == 0 || len(s.news) > 0 && i < rounds; i++ {
		news := s.news
		s.news, s.spare = s.spare[:0], nil
		for _, action := range s.gateway.Reduce(now.Duration(), news) {
			s.act(action)
		}
		clear(news)
		s.spare = news[:0]
	}
	return s.effects
}

// Facts returns what telemetry is to hear of the last Reduce, in order. It is good until the next.
func (s *State) Facts() []telemetry.Fact { return s.facts }

// Next tells when Reduce wants to be called again at the latest.
func (s *State) Next() (at Micros, any bool) {
	if len(s.news) > 0 {
		return s.now, true
	}
	next, any := s.alarms.Next()
	return Micros(next), any
}

// Knows tells whether a request has arrived and is not over.
func (s *State) Knows(id uint64) bool { return s.entries[id] != nil }

// OpenRequests tells how many requests still wait for their final answer.
func (s *State) OpenRequests() int {
	open := 0
	for _, e := range s.entries {
		if !e.answered {
			open++
		}
	}
	return open
}

func (s *State) do(e Effect)            { s.effects = append(s.effects, e) }
func (s *State) tell(e scheduler.Event) { s.news = append(s.news, e) }

// wake sets an alarm.
func (s *State) wake(at Micros, a alarm) timingwheel.Handle { return s.alarms.Set(int64(at), a) }

func (s *State) log(f string, a ...any) { s.do(Log{fmt.Sprintf(f, a...)}) }

func (s *State) take(event Event) {
	switch e := event.(type) {
	case Arrived:
		s.arrive(e)
	case Left:
		if r := s.entries[e.ID]; r != nil && !r.answered {
			r.answered = true
			s.facts = append(s.facts, s.ended(r, telemetry.Left))
			s.tell(scheduler.ClientGone{ID: e.ID})
			if r.out && !r.stopped { // its connection may come up later: what nobody waits for is not sent on
				s.do(Abandon{ID: e.ID, Number: r.attempts - 1})
			}
			s.forget(e.ID, r)
		}
	case Hastened:
		s.hasten(e.ID)
	case Given:
		s.given(e)
	case Ended:
		if r := s.entries[e.ID]; r != nil && r.out && r.attempts-1 == e.Attempt && !r.stopped {
			outcome := e.Result.outcome()
			if r.answered && e.Result.Err != nil { // abandoned: that it broke says nothing of the node
				outcome = scheduler.NotSent
				if e.Result.Err.Progress == FullyWritten {
					outcome = scheduler.Canceled
				}
			}
			s.end(e.ID, r, outcome, e.Result)
		} else {
			s.drop(e.Result.Value)
		}
	case Stopped:
		if r := s.entries[e.ID]; r != nil && r.out && r.attempts-1 == e.Attempt {
			outcome := r.stopping
			if e.Progress != FullyWritten {
				outcome = scheduler.Unreachable // proved never to have run
			}
			s.end(e.ID, r, outcome, Result{Load: scheduler.NoLoadReport})
		}
	case Probed:
		s.tell(scheduler.HealthCheckResult{Node: e.Node, Latency: e.Took.Duration(), Outcome: e.Result.outcome(), Load: e.Result.Load})
	case NodesListed:
		s.list(e)
	case PeerMessage:
		s.tell(scheduler.PeerMessage{From: e.From, Data: e.Data})
	case SettingsChanged:
		s.tell(scheduler.SettingsChanged{Settings: e.Settings})
	case ProcessesChanged:
		s.tell(scheduler.ProcessesChanged{Processes: e.Processes, Unseen: e.Unseen})
	case Lagged:
		if s.lag += (e.Waited - s.lag) / 4; e.Unknown {
			s.lag = 0
		}
	case ShuttingDown:
		s.endAll()
	}
}

// endAll guards what is still owed when the process ends.
func (s *State) endAll() {
	s.ending = true
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		s.hasten(id)
	}
}

// hasten answers a request now: an attempt that is out stops, and what was never sent is refused.
func (s *State) hasten(id uint64) {
	r := s.entries[id]
	if r == nil {
		return
	}
	if r.attempts == 0 && !r.answered {
		s.overrule(id, r, Rejected)
		return
	}
	s.ring(alarm{kind: overdue, id: id})
}

// overrule gives a final answer in the gateway's stead, which forgets the request.
func (s *State) overrule(id uint64, r *entry, verdict Verdict) {
	s.answer(id, r, Response{Verdict: verdict})
	s.tell(scheduler.ClientGone{ID: id})
	s.forget(id, r)
}

func (s *State) arrive(e Arrived) {
	id, req, at := e.ID, e.Request, s.now
	if e.At > 0 { // it waited for this turn: its client's time, and what is told to the gateway, is less by that
		at = min(at, e.At)
	}
	var r *entry
	if last := len(s.free) - 1; last >= 0 {
		r, s.free = s.free[last], s.free[:last]
	} else {
		r = &entry{}
	}
	*r = entry{req: req, arrived: at, deadline: max(s.now, at+max(0, req.Timeout))}
	s.entries[id] = r
	if s.ending { // nobody would be left to answer it
		s.conclude(id, Response{Verdict: Rejected})
		return
	}
	r.overdue = s.wake(r.deadline, alarm{kind: overdue, id: id})
	s.tell(scheduler.Request{ID: id, Class: req.Class, Plan: req.Plan, Key: req.Key, Remaining: (r.deadline - s.now).Duration(),
		Volume: req.Volume, Units: req.Units, Shard: req.Shard, Brokers: req.Brokers, Retry: req.Retry, Write: req.Write})
}

func (s *State) list(e NodesListed) {
	s.lists++
	infos := make([]scheduler.Endpoint, 0, len(e.Nodes))
	var leaving map[string]bool
	leave := func(name string, node *listing, now bool) {
		if now && !node.leaving {
			if leaving == nil {
				leaving = map[string]bool{}
			}
			leaving[name] = true
			s.facts = append(s.facts, telemetry.Fact{Kind: telemetry.NodeLeaving, Node: name})
			s.do(CloseIdle{Address: node.address})
		}
		node.leaving = now
	}
	for i := range e.Nodes {
		n := &e.Nodes[i]
		node := s.nodes[n.Name]
		if node == nil {
			node = &listing{}
			s.nodes[n.Name] = node
			s.facts = append(s.facts, telemetry.Fact{Kind: telemetry.NodeListed, Node: n.Name})
		}
		if n.Address != "" {
			node.address = n.Address
		}
		node.shard, node.listed = n.Shard, s.lists
		leave(n.Name, node, n.State != scheduler.Ready)
		if n.State == scheduler.Removed {
			s.lose(n.Name, node)
		}
		info := n.Endpoint
		info.StartedAt = n.LastStart.Duration()
		infos = append(infos, info)
	}
	if e.Kind != scheduler.DeltaUpdate {
		for name, node := range s.nodes {
			if node.listed != s.lists {
				leave(name, node, true)
				s.lose(name, node)
			}
		}
	}
	s.halt(leaving)
	s.tell(scheduler.EndpointUpdate{Kind: e.Kind, Version: e.Version, Endpoints: infos})
}

// lose forgets a node that is gone: each that replaces one comes under a new name, and the process may run for
// months.
func (s *State) lose(name string, node *listing) {
	s.do(CloseIdle{Address: node.address})
	s.facts = append(s.facts, telemetry.Fact{Kind: telemetry.NodeUnlisted, Node: name})
	delete(s.nodes, name)
}

// address is where a node is reached, empty for one that is not known.
func (s *State) address(node string) string {
	if n := s.nodes[node]; n != nil {
		return n.address
	}
	return ""
}

// halt guards the rule on drains against attempts of several messages, which would go on sending to nodes that leave: they
// are halted at once, while the gateway may still find them another node in time.
func (s *State) halt(leaving map[string]bool) {
	if len(leaving) == 0 {
		return
	}
	var ids []uint64
	for id, r := range s.entries {
		if r.out && leaving[r.node] && !r.stopped {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.do(Halt{ID: id, Number: s.entries[id].attempts - 1})
	}
}

// end tells the gateway of an attempt's one outcome and passes a served answer on.
func (s *State) end(id uint64, r *entry, outcome scheduler.Outcome, result Result) {
	r.out, r.stopped = false, false
	if !r.ran && outcome.MayHaveExecuted() {
		r.ran, r.ranAt = true, r.sentAt
	}
	s.facts = append(s.facts, telemetry.Fact{Kind: telemetry.AttemptEnded, Outcome: outcomes[outcome], Class: r.req.Class, Plan: r.req.Plan,
		Volume: r.req.Volume, Node: r.node, Units: r.req.Units, AtNode: int64(s.now - r.sentAt)})
	if outcome == scheduler.Success && !r.answered {
		s.answer(id, r, Response{Verdict: Served, Value: result.Value})
	} else {
		s.drop(result.Value)
	}
	s.tell(scheduler.AttemptEnded{ID: id, Attempt: r.attempts - 1, Node: r.node, Outcome: outcome,
		Latency: s.atNode(s.now - r.sentAt).Duration(), Finished: r.answered, RateUsed: result.RateUsed, ServedElsewhere: result.ServedElsewhere,
		Load: result.Load})
	s.forget(id, r)
}

// ownHops is how often an attempt waits for a processor here: to be written, for its answer to be seen, read, and taken.
const ownHops = 4

// atNode takes out of an attempt's time what this process itself let it wait. It guards sound nodes against being thought
// slow, and sent less, where the broker has too much to do.
func (s *State) atNode(took Micros) Micros { return max(took/10, took-ownHops*s.lag) }

// drop guards what a value holds, such as a node's connection, where nobody takes it.
func (s *State) drop(value any) {
	if value != nil {
		s.do(Drop{Value: value})
	}
}

func (s *State) answer(id uint64, r *entry, final Response) {
	r.answered = true
	fact := s.ended(r, [...]telemetry.End{Served: telemetry.Served, Rejected: telemetry.Busy, Failed: telemetry.Failed}[final.Verdict])
	if _, lasts := final.Value.(Streaming); lasts {
		s.giving[id] = fact
	} else {
		s.facts = append(s.facts, fact)
	}
	s.do(Answer{ID: id, Final: final})
}

// given tells how a request ended whose value took its time.
func (s *State) given(e Given) {
	fact, waits := s.giving[e.ID]
	if !waits {
		return
	}
	delete(s.giving, e.ID)
	if !e.Whole {
		fact.End = telemetry.Failed
	}
	s.facts = append(s.facts, fact)
}

// outcomes words an attempt's outcome for telemetry. Void is one that was abandoned before it was sent.
var outcomes = [...]telemetry.Outcome{scheduler.Success: telemetry.Success, scheduler.Failure: telemetry.Failure, scheduler.Overloaded: telemetry.Overloaded,
	scheduler.TimedOut: telemetry.TimedOut, scheduler.Unreachable: telemetry.Unreachable, scheduler.ConnectionBroken: telemetry.Broken, scheduler.Canceled: telemetry.Withdrawn, scheduler.NotSent: telemetry.Withdrawn}

// ended is what telemetry hears of a request that ends now.
func (s *State) ended(r *entry, end telemetry.End) telemetry.Fact {
	begun := r.begunAt
	if r.attempts == 0 || begun == 0 {
		begun = s.now
	}
	return telemetry.Fact{Kind: telemetry.RequestEnded, End: end, Class: r.req.Class, Plan: r.req.Plan, Volume: r.req.Volume, Node: r.node,
		Units: r.req.Units, Whole: int64(s.now - r.arrived), Waiting: int64(begun - r.arrived)}
}

func (s *State) forget(id uint64, r *entry) {
	if r.answered && !r.out {
		s.alarms.Cancel(r.overdue)
		s.alarms.Cancel(r.timeout)
		s.alarms.Cancel(r.window)
		delete(s.entries, id)
		if len(s.free) < mostFree { // events name it by its id, which does not come again: none can meet its next use
			*r = entry{}
			s.free = append(s.free, r)
		}
	}
}

// mostFree bounds the entries that are kept for later requests.
const mostFree = 1 << 12

// stop ends the attempt that is out.
func (s *State) stop(id uint64, r *entry, why scheduler.Outcome) {
	if r.out && !r.stopped {
		r.stopped, r.stopping = true, why
		s.do(Stop{ID: id, Number: r.attempts - 1})
	}
}

// ring takes an alarm that fell due.
func (s *State) ring(a alarm) {
	r := s.entries[a.id]
	switch {
	case a.kind == timer:
		s.tell(scheduler.TimerFired{Token: a.id})
	case r == nil:
	case a.kind == timeout:
		if r.attempts-1 == a.attempt {
			s.stop(a.id, r, scheduler.TimedOut)
		}
	case a.kind == window: // what is not written whole by now would run twice
		if r.out && !r.stopped && r.attempts-1 == a.attempt {
			s.do(Abandon{ID: a.id, Number: a.attempt})
		}
	case r.out:
		s.stop(a.id, r, scheduler.TimedOut)
		r.overdue = s.wake(s.now+grace, alarm{kind: overdue, id: a.id})
	case !r.answered:
		// Guards against a gateway that holds a request past its client's patience.
		s.overrule(a.id, r, Failed)
	}
}

// grace is how long past a deadline the gateway may take to answer by itself.
const grace Micros = 5000

func (s *State) act(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Forward:
		s.send(a)
	case scheduler.Reject:
		s.conclude(a.ID, Response{Verdict: Rejected, RetryAfter: MicrosOf(a.After)})
	case scheduler.Fail:
		s.conclude(a.ID, Response{Verdict: Failed})
	case scheduler.Cancel:
		if r := s.entries[a.ID]; r != nil && r.attempts-1 == a.Attempt {
			s.stop(a.ID, r, scheduler.Canceled)
		}
	case scheduler.HealthCheck:
		s.do(Probe{Node: a.Node, Address: s.address(a.Node)})
	case scheduler.SendToPeer:
		s.do(Tell{Peer: a.Peer, Data: a.Data})
	case scheduler.SetTimer:
		s.wake(s.now+MicrosOf(a.After), alarm{kind: timer, id: a.Token})
	case scheduler.CloseIdleConnections:
		s.do(CloseIdle{Address: s.address(a.Node)})
	case scheduler.Log:
		s.do(Log{a.Text()})
	case scheduler.WatchEndpoints, scheduler.FetchEndpoints: // discovery is always watched
	default:
		s.log("unknown action %T", action)
	}
}

// conclude gives the gateway's own final answer.
func (s *State) conclude(id uint64, final Response) {
	if r := s.entries[id]; r != nil && !r.answered {
		s.answer(id, r, final)
		s.forget(id, r)
	}
}

// send starts an attempt, or tells at once that it is void: an id that is over, time that is up, a
// second copy, an unknown node, or the wrong shard.
func (s *State) send(a scheduler.Forward) {
	r := s.entries[a.ID]
	if r == nil {
		return
	}
	r.attempts++
	address, node := "", s.nodes[a.Node]
	if node != nil {
		address = node.address
	}
	if r.out || r.answered || s.now >= r.deadline || a.Timeout < 0 || address == "" ||
		r.req.Shard >= 0 && node.shard != r.req.Shard {
		s.tell(scheduler.AttemptEnded{ID: a.ID, Attempt: r.attempts - 1, Node: a.Node, Outcome: scheduler.NotSent,
			Finished: r.answered, Load: scheduler.NoLoadReport})
		return
	}
	wait := r.deadline - s.now
	if a.Timeout > 0 && MicrosOf(a.Timeout) < wait {
		wait = MicrosOf(a.Timeout)
		s.alarms.Cancel(r.timeout)
		r.timeout = s.wake(s.now+wait, alarm{kind: timeout, id: a.ID, attempt: r.attempts - 1})
	}
	r.out, r.node, r.sentAt = true, a.Node, s.now
	if r.begunAt == 0 {
		r.begunAt = s.now
	}
	if at, ends := s.windowEnd(r); ends {
		s.alarms.Cancel(r.window)
		r.window = s.wake(at, alarm{kind: window, id: a.ID, attempt: r.attempts - 1})
	}
	s.do(Start{ID: a.ID, Number: r.attempts - 1,
		Attempt: Attempt{Node: a.Node, Address: address, Request: r.req, Timeout: wait}})
}

// windowEnd tells until when a further attempt of a request may be sent, if its class bounds that: nodes drop repeats of a keyed
// request for no longer than its window, which runs from the first attempt that may have run. The gateway keeps to it as it
// decides, but the connection may come up later than that.
func (s *State) windowEnd(r *entry) (at Micros, ends bool) {
	if !r.ran {
		return 0, false
	}
	for _, class := range s.gateway.Classes() {
		if class.Name == r.req.Class {
			return r.ranAt + MicrosOf(class.DedupWindow), class.Idempotency == scheduler.IdempotentWithKey
		}
	}
	return 0, false
}

// ---- alarms

type alarmKind int

const (
	timer alarmKind = iota
	timeout
	window
	overdue
)

type alarm struct {
	kind    alarmKind
	id      uint64 // a request's id, or a timer's token
	attempt int
}
