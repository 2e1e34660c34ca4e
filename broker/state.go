package broker

import (
	"fmt"
	"log/slog"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
	"junctionwharf/timingwheel"
)

// State is the complete state of a broker's core. It does no I/O and reads no clock. It is not safe for concurrent
// use: the loop owns it.
type State struct {
	scheduler *scheduler.Scheduler
	now       Micros // time of the current Reduce

	requests     map[uint64]*requestState
	freeRequests []*requestState                  // states of finished requests, for reuse
	streaming    map[uint64]telemetry.Observation // by id: requests whose Streaming value is being delivered

	nodes       map[string]*nodeState // by name
	listUpdates uint64                // number of list updates that were applied

	timers timingwheel.Wheel[timer]

	schedulerEvents      []scheduler.Event // for the next call of the scheduler
	spareSchedulerEvents []scheduler.Event // buffer for the events after these

	effects      []Effect
	observations []telemetry.Observation
	panics       []any // causes, contained since the start of the current Reduce

	shuttingDown  bool
	schedulingLag Micros // smoothed time that runnable work waits for a processor in this process
}

// NewState returns the state of a broker that has no requests and knows no nodes. It fails if the scheduler rejects
// the settings.
func NewState(settings scheduler.Settings, seed uint64) (*State, error) {
	s, err := scheduler.New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &State{
		scheduler: s,
		requests:  map[uint64]*requestState{},
		nodes:     map[string]*nodeState{},
		streaming: map[uint64]telemetry.Observation{},
	}, nil
}

// maxSchedulerRounds bounds how many times the scheduler is called within one turn, to react to the results of its own
// actions. With a smaller value, an attempt that could not be sent would be assigned to another node one turn later.
// Without a bound, a fault in the scheduler could block the loop forever.
const maxSchedulerRounds = 8

// Reduce applies the events of one turn of the loop and returns the effects to execute, in order. The slice is valid
// until the next call of Reduce.
func (s *State) Reduce(now Micros, events []Event) []Effect {
	s.now = now
	clear(s.effects)
	s.effects = s.effects[:0]
	clear(s.observations)
	s.observations = s.observations[:0]
	s.panics = nil
	for next := 0; next < len(events); {
		next = s.handleEvents(events, next)
	}
	for done := false; !done; {
		done = s.fireTimers()
	}
	for round := 0; round == 0 || len(s.schedulerEvents) > 0 && round < maxSchedulerRounds; round++ {
		s.runScheduler()
	}
	return s.effects
}

// runScheduler passes the pending events to the scheduler and carries out its actions, which may cause further events.
func (s *State) runScheduler() {
	events := s.schedulerEvents
	s.schedulerEvents = s.spareSchedulerEvents[:0]
	s.spareSchedulerEvents = nil
	s.reduceScheduler(events)
	clear(events)
	s.spareSchedulerEvents = events[:0]
}

// Observations returns the last Reduce's observations for telemetry, in order. The slice is valid until the next call
// of Reduce.
func (s *State) Observations() []telemetry.Observation { return s.observations }

// Next returns the latest time at which Reduce must be called again. ok is false if no timer is set and no scheduler
// event is pending.
func (s *State) Next() (at Micros, ok bool) {
	if len(s.schedulerEvents) > 0 {
		return s.now, true
	}
	next, ok := s.timers.Next()
	return Micros(next), ok
}

// Knows reports whether a request has arrived and is still tracked.
func (s *State) Knows(id uint64) bool { return s.requests[id] != nil }

// OpenRequests returns the number of requests that have no final answer yet.
func (s *State) OpenRequests() int {
	open := 0
	for _, r := range s.requests {
		if !r.answered {
			open++
		}
	}
	return open
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) notifyScheduler(e scheduler.Event) { s.schedulerEvents = append(s.schedulerEvents, e) }

func (s *State) record(observation telemetry.Observation) {
	s.observations = append(s.observations, observation)
}

// handle applies one event.
func (s *State) handle(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		s.handleArrival(e)
	case RequestCancelled:
		s.handleCancellation(e.ID)
	case ClientHalfClosed:
		s.answerNow(e.ID)
	case StreamEnded:
		s.handleStreamEnd(e)
	case AttemptEnded:
		s.handleAttemptEnd(e)
	case AttemptStopped:
		s.handleAttemptStop(e)
	case HealthCheckEnded:
		s.notifyScheduler(scheduler.HealthCheckResult{
			Node:    e.Node,
			Latency: e.Latency.Duration(),
			Outcome: e.Result.outcome(),
			Load:    e.Result.Load,
		})
	case NodesListed:
		s.handleNodeList(e)
	case PeerMessage:
		s.notifyScheduler(scheduler.PeerMessage{From: e.From, Data: e.Data})
	case SettingsChanged:
		s.notifyScheduler(scheduler.SettingsChanged{Settings: e.Settings, Generation: e.Generation})
	case VolumeLimitChanged:
		s.notifyScheduler(scheduler.VolumeLimitChanged{MaxVolumes: e.MaxVolumes})
	case ProcessesChanged:
		s.notifyScheduler(scheduler.ProcessesChanged{Processes: e.Processes, Unseen: e.Unseen})
	case LagMeasured:
		s.handleLag(e)
	case ShuttingDown:
		s.handleShutdown()
	}
}

// apply executes one action of the scheduler.
func (s *State) apply(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Forward:
		s.send(a)
	case scheduler.Reject:
		s.conclude(a.ID, Response{Verdict: Rejected, RetryAfter: MicrosOf(a.After)})
	case scheduler.Fail:
		s.conclude(a.ID, Response{Verdict: Failed})
	case scheduler.Cancel:
		if r := s.requests[a.ID]; r != nil && r.attempts-1 == a.Attempt {
			s.stopAttempt(a.ID, r, scheduler.Canceled)
		}
	case scheduler.HealthCheck:
		s.emit(CheckNodeHealth{Node: a.Node, Address: s.address(a.Node)})
	case scheduler.SendToPeer:
		s.emit(SendToPeer{Peer: a.Peer, Data: a.Data})
	case scheduler.SetTimer:
		s.setTimer(s.now+MicrosOf(a.After), timer{kind: schedulerTimer, id: a.Token})
	case scheduler.CloseIdleConnections:
		s.emit(CloseIdle{Address: s.address(a.Node)})
	case scheduler.Log:
		s.emit(Log{Message: a.Message, Attributes: a.Attributes})
	case scheduler.WatchEndpoints, scheduler.FetchEndpoints: // endpoint discovery runs at all times
	default:
		s.emit(Log{
			Message:    "scheduler returned an unknown action",
			Attributes: []slog.Attr{slog.String("type", fmt.Sprintf("%T", action))},
		})
	}
}
