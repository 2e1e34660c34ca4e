package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// ticksPerObjective is the number of ticks in the smallest latency objective. With a smaller value tokens and
// limits follow a surge late, and more answers miss the objective. With a larger value ticks and gossip use
// more processor time.
const ticksPerObjective = 6.0

// tickTimer is the token of the tick timer. The scheduler sets no other timer.
const tickTimer = 1

// Scheduler schedules the requests of one broker. It is not safe for concurrent use.
type Scheduler struct {
	settings      Settings
	table         settingsTable   // of settings
	earlierTables []settingsTable // of earlier generations, the oldest first
	minObjective  time.Duration   // smallest latency objective of all classes
	tickPeriod    time.Duration
	processes     processCount
	rng           *rand.Rand

	started    bool
	now        Time
	lastTickAt Time
	ticks      int
	actions    []Action // of this call of Reduce
	handled    int      // events that the last Reduce has handled
	logs       logLimiter

	requests  map[uint64]*request
	unserved  map[retryKey]unservedRecord
	keyQueues map[string]*keyQueue
	volumes   volumeTable
	debts     debtTable
	nodes     nodeTable
	shards    shardTable
	scans     scanSchedule
	kept      lowestValueFirst // buffer that deprioritizeLate reuses

	demand    demandAggregator
	budget    retryBudget
	failovers failoverGuard
	endpoints endpointWatch
}

// processCount is the number of processes of this broker, which is above 1 while one process replaces
// another.
type processCount struct {
	known  float64 // known processes, including this one
	unseen float64 // further processes that may run undetected
}

// request is a client's request from its arrival until its final answer and the end of its last attempt.
type request struct {
	Request
	class        *Class
	volume       *volume
	keyQueue     *keyQueue // queue of the requests with its key, nil if the class is not ordered
	firstArrival Time      // when the client first sent the request
	softDeadline Time      // end of the latency objective, or the deadline if that is earlier
	deadline     Time

	queuedAt      *shard // shard whose queue contains the request, nil if the request is not queued
	timeDependent bool   // while queued, the request may become forwardable by the passing of time alone
	deprioritized bool   // not all queued requests can be in time, and this one has too low a value

	valueShare float64 // fraction of its value that the request earns under its volume's plan, 0 to 1
	value      float64 // value of a unit: class weight times plan price times valueShare

	attempts       int
	inFlightAt     *node // node of the attempt in flight, nil for none
	sentAt         Time  // when the last attempt was sent
	overtaken      int   // number of later attempts that the node has answered
	lost           bool  // the attempt in flight is presumed lost and does not occupy a slot of the node
	failover       failover
	executedOn     *node // node of the first attempt that may have executed, nil for none
	firstExecution Time  // when that attempt was sent
	limited        bool  // its own plan has a rate limit
	limitCharged   bool  // the quota of the volume's rate limit was charged, or need not be
	answered       bool  // the request has its final answer
}

// New returns a scheduler without nodes and requests. Equal settings, seeds and events give equal actions.
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
		debts:     debtTable{max: defaultMaxVolumes},
		nodes:     nodeTable{byName: map[string]*node{}},
		shards:    shardTable{byID: map[int]*shard{}},
		demand:    demandAggregator{reports: map[uint32][]demandReport{}},
	}
	s.applySettings(settings, FirstGeneration)
	return s, nil
}

// applySettings applies settings at the start or later. Requests that have already arrived keep their class,
// and those that came under an earlier generation of the settings get theirs.
func (s *Scheduler) applySettings(settings Settings, generation uint64) {
	s.settings = settings
	s.replaceTable(newSettingsTable(settings, generation))
	s.nodes.recount = true
	s.scans.generation++
	s.volumes.resetEvictionOrder()
	for _, v := range s.volumes.list {
		s.updatePlans(v)
	}
	shorter := func(a, b Class) int { return int(a.LatencyObjective - b.LatencyObjective) }
	s.minObjective = slices.MinFunc(settings.Classes, shorter).LatencyObjective
	s.tickPeriod = time.Duration(float64(s.minObjective) / ticksPerObjective)
}

// Classes returns the configured classes of requests.
func (s *Scheduler) Classes() []Class { return s.settings.Classes }

// Nodes returns the number of listed nodes and the number of those that are avoided. A node is avoided if it
// is draining, unresponsive (it then gets one attempt at a time) or backing off for a whole latency
// objective.
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

// Reduce handles the events of one point in time and returns the resulting actions. The slice is valid until
// the next call.
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
	for s.handled = 0; s.handled < len(events); s.handled++ {
		s.handle(events[s.handled])
	}
	s.dispatchPending()
	return s.actions
}

// Handled returns the number of events that the last call of Reduce has handled. After a panic in Reduce, it
// is the index of the event that caused it, or the number of events if none did.
func (s *Scheduler) Handled() int { return s.handled }

// Actions returns the actions of the last call of Reduce, after a panic in it those until then.
func (s *Scheduler) Actions() []Action { return s.actions }

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
		s.applySettings(e.Settings, e.Generation)
	case VolumeLimitChanged:
		s.limitVolumes(e.MaxVolumes)
	case ProcessesChanged:
		s.scans.generation++
		s.volumes.resetEvictionOrder()
		s.processes.known = float64(max(1, e.Processes))
		s.processes.unseen = float64(max(0, e.Unseen))
	}
}

// emit appends an action to the result of Reduce.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// onTick ends a tick. The order of its steps affects decisions.
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
