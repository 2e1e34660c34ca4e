package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ticksPerObjective is how many ticks there are in the smallest latency objective. With fewer, tokens and
// limits follow a surge late and more answers miss the objective; with more, ticks and gossip cost more
// processor time.
const ticksPerObjective = 6.0

// tickTimer is the token of the timer that ends a tick, the only timer that is set.
const tickTimer = 1

// Scheduler decides for one broker. It is not safe for concurrent use: one goroutine calls it.
type Scheduler struct {
	settings     Settings
	classes      map[string]*Class
	plans        map[string]*Plan
	minObjective time.Duration // the smallest latency objective of a class
	tickPeriod   time.Duration
	processes    processCount
	rng          *rand.Rand

	started    bool
	now        Time
	lastTickAt Time
	ticks      int
	actions    []Action // of this call of Reduce
	logs       logLimiter

	requests  map[uint64]*request
	unserved  map[retryKey]unservedRecord
	keyQueues map[string]*keyQueue
	volumes   volumeTable
	nodes     nodeTable
	shards    shardTable
	scans     scanSchedule
	kept      lowestValueFirst // memory for deprioritizeLate

	demand    demandAggregator
	budget    retryBudget
	failovers failoverGuard
	endpoints endpointWatch
}

// processCount says how many processes are this broker together, as while one replaces another.
type processCount struct {
	known  float64 // this one included
	unseen float64 // that may run without being known
}

// request is one client request from its arrival until its final answer and its last outcome.
type request struct {
	Request
	class        *Class
	volume       *volume
	keyQueue     *keyQueue // the order that it keeps, nil for none
	firstArrival Time      // when its client first asked
	softDeadline Time      // when its latency objective ends or its client leaves
	deadline     Time

	queuedAt      *shard // nil while it is not queued
	timeDependent bool   // while it is queued, time alone may make it forwardable
	deprioritized bool   // not all that is queued can be in time, and this one is worth least

	valueShare float64 // part of its value that its volume still earns, 0 to 1
	value      float64 // of a unit, by class, plan and valueShare

	attempts       int
	inFlightAt     *node // where an attempt is in flight, nil for none
	sentAt         Time  // of the last attempt
	overtaken      int   // answers to later attempts at that node
	lost           bool  // its attempt is presumed lost and takes no place in the node's limit
	failover       failover
	executedOn     *node // of the first attempt that may have executed, nil for none
	firstExecution Time  // when that was sent
	limitCharged   bool  // its units were taken from the quota of its volume's rate limit
	answered       bool  // the final answer is out
}

// New returns a scheduler that knows nothing but its settings. Equal seeds and events give equal actions.
func New(settings Settings, seed uint64) (*Scheduler, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Scheduler{
		processes: processCount{known: 1},
		rng:       rand.New(rand.NewPCG(seed, uint64(settings.Ordinal))),
		logs:      logLimiter{lastTick: map[string]int{}},
		requests:  map[uint64]*request{},
		unserved:  map[retryKey]unservedRecord{},
		keyQueues: map[string]*keyQueue{},
		volumes:   newVolumeTable(),
		nodes:     nodeTable{byName: map[string]*node{}},
		shards:    shardTable{byID: map[int]*shard{}},
		demand:    demandAggregator{reports: map[uint32][]demandReport{}},
	}
	s.applySettings(settings)
	return s, nil
}

// applySettings takes settings, at the start or later. Requests that are under way keep their class.
func (s *Scheduler) applySettings(settings Settings) {
	s.settings = settings
	s.classes = map[string]*Class{}
	s.plans = map[string]*Plan{}
	s.nodes.recount = true
	s.scans.generation++
	for _, class := range settings.Classes {
		s.classes[class.Name] = &class
	}
	for _, plan := range settings.Plans {
		s.plans[plan.Name] = &plan
	}
	for _, v := range s.volumes.list {
		v.catchUp(s.ticks, s.lastTickAt)
		if plan := s.plans[v.plan.Name]; plan != nil {
			v.applyPlan(plan, settings.MaxUnits)
		}
	}
	shorter := func(a, b Class) int { return int(a.LatencyObjective - b.LatencyObjective) }
	s.minObjective = slices.MinFunc(settings.Classes, shorter).LatencyObjective
	s.tickPeriod = time.Duration(float64(s.minObjective) / ticksPerObjective)
}

// Classes returns the classes of requests that it knows.
func (s *Scheduler) Classes() []Class { return s.settings.Classes }

// Nodes counts the listed nodes, and those of them that are avoided: draining, unresponsive (one
// attempt at a time) or backing off for a whole objective.
func (s *Scheduler) Nodes() (listed, avoided int) {
	for _, n := range s.nodes.list {
		if n.state == Removed {
			continue
		}
		listed++
		backingOff := s.now < n.health.backoffUntil && n.health.backoff >= s.minObjective
		if n.state != Ready || n.unresponsive(s.now, s.minObjective) || backingOff {
			avoided++
		}
	}
	return listed, avoided
}

// Reduce takes the events of one point in time and returns what is to be done. The slice is good until the
// next call.
func (s *Scheduler) Reduce(now Time, events []Event) []Action {
	clear(s.actions)
	s.now = now
	s.actions = s.actions[:0]
	if !s.started {
		s.started = true
		s.lastTickAt = now
		s.emit(SetTimer{Token: tickTimer, After: s.tickPeriod})
		s.subscribe()
	}
	for _, event := range events {
		s.handle(event)
	}
	s.dispatchPending()
	return s.actions
}

func (s *Scheduler) handle(event Event) {
	switch e := event.(type) {
	case Request:
		s.handleArrival(e)
	case AttemptEnded:
		s.onAttemptEnded(e)
	case ResponseStarted:
		if r := s.requests[e.ID]; r != nil {
			r.answered = true
		}
	case ClientGone:
		if r := s.requests[e.ID]; r != nil {
			s.endUnserved(r)
		}
	case TimerFired:
		if e.Token == tickTimer {
			s.onTick()
		}
	case PeerMessage:
		s.receivePeerMessage(e)
	case EndpointUpdate:
		s.applyUpdate(e)
	case SettingsChanged:
		// peers know this broker by its ordinal
		e.Settings.Brokers = s.settings.Brokers
		e.Settings.Ordinal = s.settings.Ordinal
		s.applySettings(e.Settings)
	case ProcessesChanged:
		s.scans.generation++
		s.processes.known = float64(max(1, e.Processes))
		s.processes.unseen = float64(max(0, e.Unseen))
	}
}

// emit adds an action to those that Reduce returns.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// onTick ends a tick. The order of its steps is part of the decisions.
func (s *Scheduler) onTick() {
	s.volumes.sortActive()
	s.sortActiveNodes()
	s.ticks++
	s.scans.generation++
	elapsed := (s.now - s.lastTickAt).Seconds()
	s.lastTickAt = s.now
	s.refillTokens(elapsed)
	s.gossip()
	s.retireVolumes()
	s.subscribe()
	for _, n := range s.nodes.active {
		s.detectLost(n)
		s.adjustLimit(n)
	}
	s.retireNodes()
	for _, sh := range s.scans.queued {
		s.deprioritizeLate(sh)
	}
	s.budget.trim(s.now, s.settings.Rules.RetryBudgetWindow)
	s.forget()
	s.forgetExpired()
	s.emit(SetTimer{Token: tickTimer, After: s.tickPeriod})
}
