package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scheduler decides for one host. It is not safe for concurrent use.
type Scheduler struct {
	set           Settings
	processes     float64 // that are this host together: while one replaces another, 2
	unseen        float64 // others that may be this host too without being known
	classes       map[string]*Class
	plans         map[string]*Plan
	rng           *rand.Rand
	started       bool
	listed        bool          // a list has named nodes
	aim, tick     time.Duration // the smallest aim of a class, and a part of it
	now, lastTick Time
	ticks         int
	out           []Action

	requests      map[uint64]*request
	volumes       map[string]*volume
	inOrder       []*volume // volumes in the order in which they were first seen, but for gaps
	active        []*volume // those that a tick works on; the others wait until they are looked at
	volumesSeen   int
	swept         int // how far forgetVolumes came
	nodes         map[string]*node
	nodeList      []*node // nodes in the order in which they were first seen
	working               // those of them that a tick works on
	shards        map[int]*shard
	shardIDs      []int
	waiting       []*shard // those to be looked at, by id
	holding       []*shard // those that hold requests, by id, and some that did
	asleep        sleepers // those that only time can move
	plain         bool     // each look goes through all that is held, as a reference for tests
	worths        byWorth  // memory for shed
	stirred, woke uint64   // what may move held requests of any shard, and the last that woke all
	turns         map[string]*turn
	byID          map[uint32]*volume
	kept          map[uint32][]news // what peers told of the volumes this host keeps
	unserved      map[try]patience  // since when clients wait for what they were not served
	taken, extras []Time            // requests taken and further attempts made in the budget's span
	logged        map[string]int    // tick of the last log line of a kind

	spreading
	watching  bool
	askAt     Time // not before is the list asked for again
	watchWait time.Duration
}

// request is one client request from its arrival until its final answer and last outcome.
type request struct {
	Request
	class    *Class
	volume   *volume
	turn     *turn // the order it keeps, nil for none
	from     Time  // when its client first asked
	due      Time  // when its aim ends or its client leaves
	deadline Time
	lane     *shard // where it is held, nil if it is not
	fickle   bool   // while it is held, time alone may let it go
	attempts int
	outAt    *node // where an attempt is out
	sentAt   Time
	firstRun Time    // send of the first attempt that may have run
	ranAt    *node   // and its node, nil if none may have run
	counted  bool    // its units were taken from the limit
	part     float64 // part of its worth that its volume is still due
	value    float64 // worth of a unit, by class, plan, and what its volume is still due
	shed     bool    // not all held can be in time, and this one counts least
	over     bool    // the final answer is out
	passed   int     // answers to later sends since this attempt went out
	lost     bool    // its attempt is presumed lost and holds no room at the node
	moved    moved
}

// New starts a gateway that knows nothing but its settings.
func New(set Settings, seed uint64) (*Scheduler, error) {
	if err := set.Validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &Scheduler{processes: 1, rng: rand.New(rand.NewPCG(seed, uint64(set.Ordinal))),
		requests: map[uint64]*request{},
		volumes:  map[string]*volume{}, nodes: map[string]*node{}, shards: map[int]*shard{},
		turns: map[string]*turn{}, byID: map[uint32]*volume{}, kept: map[uint32][]news{},
		unserved: map[try]patience{}, logged: map[string]int{}}
	g.follow(set)
	return g, nil
}

// follow takes settings, at the start or later. Requests that are under way keep their class.
func (g *Scheduler) follow(set Settings) {
	g.set, g.classes, g.plans, g.resum = set, map[string]*Class{}, map[string]*Plan{}, true
	g.stirred++
	for _, c := range set.Classes {
		g.classes[c.Name] = &c
	}
	for _, p := range set.Plans {
		g.plans[p.Name] = &p
	}
	for _, v := range g.inOrder {
		v.catchUp(g)
		if p := g.plans[v.plan.Name]; p != nil {
			v.plan, v.size = p, max(p.Rate, p.ReservedRate)+set.MaxUnits
			v.level = min(v.level, v.size)
		}
	}
	shorter := func(a, b Class) int { return int(a.LatencyObjective - b.LatencyObjective) }
	g.aim = slices.MinFunc(set.Classes, shorter).LatencyObjective
	g.tick = time.Duration(float64(g.aim) / ticksPerAim)
}

// Classes are the classes of requests that it knows.
func (g *Scheduler) Classes() []Class { return g.set.Classes }

// Endpoints counts the nodes in the list, and those of them that are avoided now: they drain, are silent or
// rest for long.
func (g *Scheduler) Nodes() (listed, avoided int) {
	for _, n := range g.nodeList {
		if n.state != Removed {
			listed++
			if n.state != Ready || n.silent(g) || g.now < n.restTill && n.rest >= g.aim {
				avoided++
			}
		}
	}
	return listed, avoided
}

// Reduce takes the events of one point of the clock and returns what is to be done. The slice is good until
// the next Reduce.
func (g *Scheduler) Reduce(now Time, events []Event) []Action {
	clear(g.out)
	g.now, g.out = now, g.out[:0]
	if !g.started {
		g.started, g.lastTick = true, now
		g.act(SetTimer{Token: timerTick, After: g.tick})
		g.ask()
	}
	for _, event := range events {
		g.take(event)
	}
	g.dispatchAll()
	return g.out
}

func (g *Scheduler) take(event Event) {
	switch e := event.(type) {
	case Request:
		g.takeRequest(e)
	case AttemptEnded:
		g.endAttempt(e)
	case ResponseStarted:
		if r := g.requests[e.ID]; r != nil {
			r.over = true
		}
	case ClientGone:
		if r := g.requests[e.ID]; r != nil {
			g.leaveUnserved(r)
		}
	case TimerFired:
		if e.Token == timerTick {
			g.endTick()
		}
	case PeerMessage:
		g.hear(e)
	case EndpointUpdate:
		g.takeList(e)
	case SettingsChanged:
		e.Settings.Brokers, e.Settings.Ordinal = g.set.Brokers, g.set.Ordinal // peers know this host by them
		g.follow(e.Settings)
	case ProcessesChanged:
		g.stirred++
		g.processes, g.unseen = float64(max(1, e.Processes)), float64(max(0, e.Unseen))
	}
}

func (g *Scheduler) act(a Action) { g.out = append(g.out, a) }

const timerTick = 1

// endTick grants tokens by equation 12 of the paper and tells peers this host's demand.
func (g *Scheduler) endTick() {
	g.order()
	g.orderNodes()
	g.ticks++
	g.stirred++
	now, span := g.now, (g.now - g.lastTick).Seconds()
	g.lastTick = now
	room := g.room()
	total := 0.0
	for _, v := range g.active {
		total += v.arrived + g.heard(v.told)
	}
	for _, v := range g.active {
		grant := v.plan.ReservedRate / v.hosts * span
		if total > 0 {
			grant += max(0, v.arrived/total*(room-v.level))
		}
		v.level = min(v.level+grant, v.size)
		v.demand += smoothing * (v.arrived - v.demand)
		v.arrived = 0
		v.excess *= math.Exp(-span)
		v.tick, v.tickAt = g.ticks, now
	}
	g.tellAll()
	g.rest()
	g.ask()
	for _, n := range g.atWork {
		g.findLost(n)
		g.judge(n)
	}
	g.restNodes()
	for _, s := range g.holding {
		g.shed(s)
	}
	g.trimBudget()
	g.forget()
	g.clean()
	g.act(SetTimer{Token: timerTick, After: g.tick})
}
