// Package scheduler decides when a gateway sends which request to which storage node. All decisions
// are in this file; the types that it takes and gives are in scheduler/api.go.
package scheduler

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"junctionwharf/balancer"
	"junctionwharf/quota"
)

// The tuned values. All are without dimension or bounds on a count of requests.
const (
	ticksPerAim = 6.0  // ticks in the smallest aim: fewer make grants late, more cost messages
	boundStart  = 2.0  // first bound on requests out at a node: what keeps most nodes at work
	boundMost   = 8.0  // largest bound: above it the queue forms at the node, where order is lost
	queueShare  = 0.22 // part of the smallest aim that answers may take before the bound shrinks
	jamShare    = 0.36 // part of it that even the quickest answers take in a jam; less idles sound slow nodes
	boundCut    = 0.9  // factor on the bound in a tick with slow answers
	tellTicks   = 3    // each volume in demand is told once in so many ticks
	newsTicks   = 9    // ticks for which told demand counts: two messages may be lost
	newsScale   = 16.0 // steps of a told unit
	newsReport  = 2    // first byte of a message to a volume's keeper; others are dropped
	newsAnswer  = 3    // first byte of the keeper's answer
	newsBytes   = 7    // length of a message
	smoothing   = 0.2  // weight of the newest measurement in running means
	fading      = 0.03 // part by which news of a jam fades in a tick in which nothing is out at the node
	newChoices  = 8    // sound nodes looked at for a new object
	overtakes   = 4    // later answers of a node after which an earlier attempt is presumed lost
	overtime    = 3.0  // and only when it is out for this many times what its size takes
	silenceAims = 3.0  // largest aims without any answer after which a node with work out is silent
	watchRetry  = 0.25 // first wait before asking for the list again, as a part of PollDeadline
	logTicks    = 100  // ticks between two log lines of one kind
	idleTicks   = 2400 // ticks without a request after which a volume's accounts are forgotten
)

const timerTick = 1

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

// ---- events

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

// log writes a line for the people on call, each kind at most once in logTicks.
func (g *Scheduler) log(kind, format string, args ...any) {
	if last, seen := g.logged[kind]; seen && g.ticks-last < logTicks {
		return
	}
	g.logged[kind] = g.ticks
	g.act(Log{Text: kind + ": " + fmt.Sprintf(format, args...)})
}

func (g *Scheduler) takeRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	g.taken = append(g.taken, g.now)
	class, plan := g.classes[e.Class], g.plans[e.Plan]
	if class == nil || plan == nil {
		g.log("unknown class or plan", "%s, %s", e.Class, e.Plan)
		g.act(Fail{ID: e.ID})
		return
	}
	r := &request{Request: e, class: class, deadline: g.now + e.Remaining}
	g.requests[e.ID] = r
	r.from = g.firstAsked(e, class)
	r.due = min(r.from+class.LatencyObjective, r.deadline)
	r.volume = g.volumeOf(e, plan)
	r.volume.arrived += e.Units
	r.part = g.due(r.volume, e.Units)
	r.value = class.PriorityWeight * plan.Price * r.part
	g.queueTurn(r)
	g.hold(r)
}

// try is what the tries of a client for one thing have in common.
type try struct {
	class, volume, key string
	units              float64
}

// patience is since when a client waits, and until when it may.
type patience struct{ from, till Time }

// firstAsked tells since when a client waits: the aim runs from its first try. A request like one that
// was not served, within the patience left of that, is its next try; any other with little time left
// comes from an impatient client. It errs where other clients ask for the same at once.
func (g *Scheduler) firstAsked(e Request, class *Class) Time {
	p, known := g.unserved[try{e.Class, e.Volume, e.Key, e.Units}]
	if known && g.now+e.Remaining <= p.till {
		return p.from
	} else if e.Retry {
		return min(g.now, g.now+e.Remaining-class.Deadline)
	}
	return g.now
}

// ---- volume accounts

// volume holds the accounts of one volume. Units are the size of requests.
type volume struct {
	name    string
	id      uint32 // short name in peer messages
	plan    *Plan
	hosts   float64 // gateways through which it works
	level   float64 // tokens; below zero is debt
	size    float64 // bucket size: a second of the whole rate, since a volume may lean on one host
	arrived float64 // units that arrived in this tick: V
	demand  float64 // V of the last tick, smoothed
	due     float64 // units of the reserve that are due here by news of peers
	dueAt   Time    // when due was last filled
	excess  float64 // units beyond the reserve, smoothed over ticks
	told    news    // demand at all peers
	limit   quota.Quota
	asked   int  // tick of the last request
	number  int  // of its first coming
	tick    int  // up to which level, demand and excess are brought
	tickAt  Time // when that was
	stirs   bool // it stands among the active
}

func (g *Scheduler) volumeOf(e Request, plan *Plan) *volume {
	v, h := g.volumes[e.Volume], fnv.New32a()
	if v == nil {
		h.Write([]byte(e.Volume))
		v = &volume{name: e.Volume, id: h.Sum32(), plan: plan, limit: quota.New(g.now)}
		g.volumes[e.Volume], g.byID[v.id] = v, v
		g.inOrder = append(g.inOrder, v)
		v.number, v.tick, v.tickAt = g.volumesSeen, g.ticks, g.lastTick
		g.volumesSeen++
	}
	v.asked = g.ticks
	v.stir(g)
	hosts := float64(max(1, min(e.Brokers, g.set.Brokers)))
	if hosts != v.hosts {
		v.hosts = hosts
		v.size = max(plan.Rate, plan.ReservedRate) + max(g.set.MaxUnits, e.Units)
		v.level = min(v.level, v.size)
		g.stirred++
	}
	return v
}

// due tells what part of its worth a unit earns: all inside the reserve, less the more the volume asks
// beyond it against its weight. The reserve counts here by where the volume's demand is.
func (g *Scheduler) due(v *volume, units float64) float64 {
	part := 1 / v.hosts
	if told := g.heard(v.told); told > 0 || v.demand > 0 {
		part = max(part, (v.demand+1)/(v.demand+told+v.hosts))
	}
	most := v.plan.ReservedRate*part + g.set.MaxUnits
	v.due, v.dueAt = min(most, v.due+v.plan.ReservedRate*part*(g.now-v.dueAt).Seconds()), g.now
	if v.plan.ReservedRate > 0 && v.due >= units {
		v.due -= units
		return 1
	}
	v.excess += units
	usual := max(v.plan.Rate, v.plan.ReservedRate) / v.hosts
	return g.set.SpareWeight + (g.set.ShareWeight-g.set.SpareWeight)/(1+v.excess/max(1, usual))
}

// limit is this process's even part of a volume's limit. While another may live beside it unseen, as one that
// starts before this one has ended, each keeps to half. It hurts a volume whose traffic leans on one host.
func (g *Scheduler) limit(v *volume) *quota.Quota {
	limit := quota.Limit{Rate: v.plan.Limit, Burst: v.plan.LimitBurst + v.plan.LimitOverdraft}
	v.limit.Refill(g.now, limit, 1/v.hosts/(g.processes+g.unseen))
	return &v.limit
}

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

// room is W of equation 11: what ready nodes finished for this host plus what they may still take.
func (g *Scheduler) room() float64 {
	room := g.idleBound * g.set.MeanUnits
	for _, n := range g.atWork {
		if n.state == Ready && !n.silent(g) {
			room += n.finished + max(0, n.bound-float64(n.out))*g.set.MeanUnits
		}
		n.finished = 0
	}
	return room
}

// ---- node state

type node struct {
	Endpoint
	state    NodeState
	out      int     // attempts out
	bound    float64 // most attempts out
	full     bool    // the bound held something back since it was judged
	judged   int     // tick in which answers last moved the bound
	pacedAt  Time    // last send, from which a bound below one paces the next
	finished float64 // units served for this host in this tick
	took     float64 // running mean of seconds from send to answer
	standing float64 // least of the recent times, which rises slowly
	futile   bool    // an attempt was called off since its last answer
	answers  int     // answers in this tick
	waited   float64 // seconds that they took together
	lastSent Time    // first send since the last outcome
	heard    Time    // last answer of any kind
	restTill Time    // nothing is sent before: it turned attempts away
	rest     time.Duration
	faults   int  // attempts that failed since its last answer that served
	bornAt   Time // earliest start that fits what is known, for the cold guard
	cold     bool
	savings  float64 // units that may be sent to it while it is cold
	savedAt  Time
	flight   []*request // attempts out, in the order sent
	home     *shard     // among whose nodes it stands
	member   *balancer.Replica
	listed   uint64 // Scheduler.stirred when a list last named it
	number   int    // of its first coming
	works    bool   // it stands among those at work
}

// silent tells whether a node with work out has said nothing for long, be it dead, cut off or stuck.
func (n *node) silent(g *Scheduler) bool {
	return len(n.flight) > 0 && g.now-max(n.heard, n.lastSent) > time.Duration(silenceAims*float64(g.aim))
}

// jammed tells whether even the quickest of a node's recent answers are slow: a queue stands there.
func (n *node) jammed(g *Scheduler) bool { return n.standing > jamShare*g.aim.Seconds() }

// judge moves a node's bound by the time that its answers took, for each tick since the last answer up to
// three. Below one it guards a node that many hosts share, each with little: while even the quickest of the
// recent answers are slow, a queue stands there and sends are paced, in the mean down to this host's part of
// what one host alone may have out. It should catch any jam at a node, whatever the cause, and let pauses,
// flushes and large requests of a sound node pass. It hurts where few of many hosts use a jammed node.
func (g *Scheduler) judge(n *node) {
	if n.silent(g) {
		g.log("silent node", "%s with %d out", n.Name, n.out)
		n.bound = min(n.bound, 1)
	}
	if n.answers == 0 {
		if len(n.flight) == 0 && n.took > queueShare*g.aim.Seconds() { // old news of a jam fades
			n.took *= 1 - fading
		}
		return
	}
	ticks := float64(min(g.ticks-n.judged, 3))
	mean := n.waited / float64(n.answers)
	n.took += (1 - math.Pow(1-smoothing, ticks)) * (mean - n.took)
	n.standing = min(mean, n.standing+smoothing*(mean-n.standing))
	if n.took > queueShare*g.aim.Seconds() && n.bound > 1 {
		n.bound = max(1, n.bound*math.Pow(boundCut, ticks))
	} else if n.jammed(g) {
		n.bound = max(min(1, boundMost/float64(g.set.Brokers)), n.bound*math.Pow(boundCut, ticks))
	} else if n.full && n.took < queueShare*g.aim.Seconds() || n.bound < 1 {
		n.bound = min(boundMost, n.bound+0.25*min(1, n.bound)*ticks)
	}
	n.answers, n.waited, n.full, n.judged = 0, 0, false, g.ticks
}

// coldRoom guards a node that may have just started, whatever the reason, from falling over. What a node
// served it was able to do; beyond that each host saves up its part of what a cold node surely bears: by
// the even split, or by what the shard served this host when warm, since all hosts together had no more
// than a whole node. The part grows as slowly as a node may warm; where it is less than a request, whole
// savings pay for one. Refused and lost attempts weigh too. It hurts when few hosts have work for the node.
func (g *Scheduler) coldRoom(n *node, units float64) bool {
	rules := g.set.Rules
	age := g.now - n.bornAt
	if !n.cold || rules.OverloadWindow <= 0 || age >= rules.WarmUpTime+rules.OverloadWindow {
		n.cold = false
		return true
	}
	multiple, span := max(2, rules.OverloadMultiple), rules.OverloadWindow.Seconds()
	own := g.shards[n.Shard].served * rules.InitialCapacity * multiple * span
	part := max(g.set.SlowStartUnits/float64(g.set.Brokers), own) * (1 - 1/multiple) / 2 / g.processes
	if rules.InitialCapacity > 0 && rules.WarmUpTime > 0 {
		warm := max(0, (age-rules.OverloadWindow).Seconds()) / rules.WarmUpTime.Seconds()
		part *= 1 + warm*(1-rules.InitialCapacity)/rules.InitialCapacity
	}
	n.savings = min(part, n.savings+part*(g.now-n.savedAt).Seconds()/span)
	n.savedAt = g.now
	return n.savings >= min(units, part)
}

// ---- dispatch

func (g *Scheduler) hold(r *request) {
	id := r.Shard
	if id < 0 {
		id = g.placeNew(r)
	}
	g.shardOf(id).hold(g, r)
}

func earlier(a, b *request) int { return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.ID, b.ID)) }

// placeNew chooses the shard of a new object: of a few sound nodes, drawn so that hosts do not all take the
// same, the one where it will wait least. A cold node is one of them as far as it surely bears the object,
// else after many restarts all new work crowds the old ones; one that is not known counts as no quicker than
// the usual. It hurts when reads of new objects follow to a node that is still cold.
func (g *Scheduler) placeNew(r *request) int {
	best, least, left := -1, math.Inf(1), newChoices
	start := g.rng.IntN(max(1, len(g.nodeList)))
	for i := 0; i < len(g.nodeList) && left > 0; i++ {
		n := g.nodeList[(start+i)%len(g.nodeList)]
		sound := n.state == Ready && !n.silent(g) && g.now >= n.restTill
		if !sound || !inScope(r, n) || !g.coldRoom(n, r.Units) {
			continue
		}
		left--
		took := max(n.took, queueShare*g.aim.Seconds())
		wait := float64(n.out+len(g.shards[n.Shard].held)+1) / n.bound * took
		if wait < least {
			best, least = n.Shard, wait
		}
	}
	return best
}

// inScope keeps a keyed request that may have run with the nodes that drop its repeats.
func inScope(r *request, n *node) bool {
	if r.ranAt == nil || r.class.Idempotency != IdempotentWithKey || r.class.Scope == ScopeAll {
		return true
	}
	return n.Shard == r.ranAt.Shard || r.class.Scope == ScopeZone && n.Zone == r.ranAt.Zone
}

func (g *Scheduler) dispatchAll() {
	g.awaken()
	g.waiting = slices.DeleteFunc(g.waiting, func(s *shard) bool {
		if len(s.held) > 0 && !s.still(g) {
			before := len(s.held)
			g.dispatch(s, s.look(g))
			g.giveUpLate(s)
			s.settle(g, before)
		}
		s.waits = len(s.held) > 0 && !s.sleep(g)
		return !s.waits
	})
}

// shed guards against overload of one node, from a surge, slowness or lost room: where earliest due
// first would make many requests late, the least worthy yield to those that can be in time and leave
// only on spare room. It hurts where the time to serve is judged too long.
func (g *Scheduler) shed(s *shard) {
	n := s.quickest()
	if n == nil || len(s.held) < 2 {
		return
	}
	unit := n.took / max(1, g.set.MeanUnits) / n.bound / s.width()
	wait, kept := n.took, worths{list: g.worths[:0]}
	for _, r := range s.held {
		late := wait+r.Units*unit > (r.due - g.now).Seconds()
		if r.shed = late && kept.leaves(r); r.shed {
			continue
		}
		kept.add(r)
		for wait += r.Units * unit; len(kept.list) > 0 && wait > (r.due-g.now).Seconds(); {
			least := kept.pop()
			least.shed = true
			wait -= least.Units * unit
		}
	}
	g.worths = kept.list
}

func leastWorthy(a, b *request) int { return cmp.Or(cmp.Compare(a.value, b.value), earlier(b, a)) }

func (s *shard) readyNode() *node {
	for _, n := range s.nodes {
		if n.state == Ready {
			return n
		}
	}
	return nil
}

// dispatch sends what may leave of those held, each time earliest due first: paid requests, then unpaid
// ones into debt, then those that were shed.
func (g *Scheduler) dispatch(s *shard, l *look) {
	for l.pass = range 3 {
		l.begin()
		for r := l.now(); r != nil; r = l.now() {
			if r.shed != (l.pass == 2) || !g.pays(r, l.pass > 0) {
				l.skip(r)
			} else if n := g.pick(s, r); n != nil {
				s.drop(r)
				g.send(r, n)
			} else if s.alike(g) || s.packed(g) {
				return // nor will any other find room
			} else {
				l.stay()
			}
		}
	}
}

// hasRoom tells whether a node's bound lets an attempt out now. Below a bound of one sends are paced, and at
// a jammed node those beyond the reserve in any case, longer the less they are worth. That guards reserved
// work of other hosts, which this host does not see, against any surge. It hurts at nodes slow by themselves.
func (g *Scheduler) hasRoom(n *node, r *request) bool {
	room := float64(n.out) < max(1, math.Floor(n.bound)) && len(n.flight) < 2*boundMost
	paced := n.bound < 1 || r.part < 1 && n.jammed(g)
	room = room && !(paced && (g.now-n.pacedAt).Seconds()*r.part < n.took/n.bound)
	n.full = n.full || !room
	return room && g.now >= n.restTill
}

// pick takes the first of the nodes, in the order that package balancer gives, that may serve a request now.
func (g *Scheduler) pick(s *shard, r *request) *node {
	for n := range g.preferred(s, r) {
		if n.state == Ready && g.hasRoom(n, r) && inScope(r, n) && g.coldRoom(n, r.Units) {
			return n
		}
	}
	return nil
}

// pays tells whether a request's volume can pay for it, or go into debt for it.
func (g *Scheduler) pays(r *request, unpaid bool) bool {
	v, floor := r.volume, 0.0
	v.catchUp(g)
	if unpaid {
		floor = -v.size
	}
	if r.attempts == 0 && v.level-r.Units < floor || !r.counted && !g.limit(v).Allows(r.Units) {
		return false
	}
	return g.hasTurn(r) && (r.attempts == 0 || g.mayTryAgain(r))
}

func (g *Scheduler) send(r *request, n *node) {
	if r.attempts == 0 {
		r.volume.level -= r.Units
	} else {
		g.extras = append(g.extras, g.now)
	}
	if !r.counted {
		r.volume.limit.Take(r.ID, r.Units)
	}
	r.attempts++
	r.counted, r.outAt, r.sentAt = true, n, g.now
	if n.out == 0 {
		n.lastSent = g.now
	}
	r.passed, r.lost, n.flight = 0, false, append(n.flight, r)
	n.savings, n.pacedAt = n.savings-r.Units, g.now
	n.leave(g)
	g.act(Forward{ID: r.ID, Node: n.Name})
}

// giveUpLate answers requests that can no longer be served within their aim, at once.
func (g *Scheduler) giveUpLate(s *shard) {
	service := s.service()
	if s.inTime(g, service) {
		return
	}
	s.seen = 0 // the next to be given up is looked for anew
	for i := 0; i < len(s.held); {
		r := s.held[i]
		if service <= (r.due-g.now).Seconds() && g.now+2*g.tick < r.deadline {
			i++
		} else {
			g.giveUp(r)
		}
	}
}

// ---- further attempts and final answers

func (g *Scheduler) endAttempt(e AttemptEnded) {
	r := g.requests[e.ID]
	if r == nil || r.outAt == nil || r.outAt.Name != e.Node || e.Attempt != r.attempts-1 {
		return
	}
	n := r.outAt
	r.outAt = nil
	n.home.touch(g)
	if at := slices.Index(n.flight, r); at >= 0 {
		n.flight = slices.Delete(n.flight, at, at+1)
	}
	if !r.lost {
		n.out--
	}
	g.learn(n, r, e)
	g.observe(n, r, e)
	if e.Outcome.MayHaveExecuted() && r.ranAt == nil {
		r.ranAt, r.firstRun = n, r.sentAt
		r.volume.limit.Settle(r.ID)
	}
	if r.turn != nil && (e.Outcome == TimedOut || e.Outcome == ConnectionBroken || e.Outcome == Canceled) {
		r.turn.restTo = g.now + g.set.Rules.QuietPeriod + 1
	}
	if e.Finished || r.over || e.Outcome == Success {
		g.finish(r)
		return
	}
	if e.Outcome == TimedOut || !g.mayTryAgain(r) || g.now+2*g.tick >= r.deadline {
		g.giveUp(r)
		return
	}
	g.holdAgain(r, n)
}

// callOffLate guards a jammed node against work that earns next to nothing: what is late already is called
// off and answered, so that the node does what can still be in time. It should catch any jam, whoever filled
// the node. Where nodes go on with what was called off it would hide how long they take, so without an
// answer between the next attempt runs to its end. It hurts where late answers earn much.
func (g *Scheduler) callOffLate(n *node, r *request) bool {
	if r.over || g.now <= r.due || !n.jammed(g) || n.futile || !g.set.Capabilities.Cancel {
		return false
	}
	n.futile = true
	n.answers++ // it would have taken this long at least
	n.waited += (g.now - r.sentAt).Seconds()
	g.act(Cancel{ID: r.ID, Attempt: r.attempts - 1})
	g.giveUp(r)
	return true
}

// findLost guards against answers that never come: lost messages, a stuck request, a silent node, a
// half-dead path. An attempt that later ones overtook, or that is out past any likely answer, gives its
// room back; unless it is just late it is called off and tried again where the rules allow. It hurts
// where a node serves out of turn or has become slower at one stroke.
func (g *Scheduler) findLost(n *node) {
	for _, r := range n.flight {
		out := (g.now - r.sentAt).Seconds()
		usual := overtime * n.took * max(1, r.Units/max(1, g.set.MeanUnits))
		if g.callOff(n, r) || r.lost || out < usual || r.passed < overtakes && out < g.aim.Seconds() {
			continue
		}
		r.lost = true
		n.out--
		if r.passed < overtakes { // as far as seen the node is that slow
			n.answers++
			n.waited += out
		}
		g.log("attempt lost", "%s after %.0f ms", n.Name, out*1000)
		again := !r.over && (r.passed >= overtakes || n.silent(g)) // a repeat of a late one is twice the work
		again = again && g.set.Capabilities.Cancel && r.class.Idempotency == Idempotent
		if again && g.now < r.due && g.mayTryAgain(r) {
			g.act(Cancel{ID: r.ID, Attempt: r.attempts - 1})
		}
	}
}

// learn takes what an outcome shows of its node. Only answers that served count as service.
func (g *Scheduler) learn(n *node, r *request, e AttemptEnded) {
	if e.Outcome != TimedOut && e.Outcome != Canceled && e.Outcome != Unreachable && e.Outcome != NotSent {
		n.heard = g.now
	}
	n.lastSent = g.now
	switch e.Outcome {
	case Success:
		n.finished += r.Units
		s, span := g.shards[n.Shard], g.set.Rules.WarmUpTime.Seconds()
		if n.cold && r.sentAt >= n.bornAt {
			n.savings += r.Units
		} else if !n.cold && span > 0 {
			s.served, s.servedAt = s.served*math.Exp(-(g.now-s.servedAt).Seconds()/span)+r.Units/span, g.now
		}
		n.answers++
		n.waited += e.Latency.Seconds()
		n.rest, n.futile, n.faults = 0, false, 0
		for _, other := range n.flight {
			if other.sentAt < r.sentAt {
				other.passed++
			}
		}
		if n.took == 0 {
			n.took = e.Latency.Seconds()
		}
	case NotSent: // it never reached the node, which bears it still
		n.savings += r.Units
		if v := r.volume; r.over && r.attempts == 1 { // nor took anything of what its volume has
			v.level += r.Units
			v.limit.Refund(r.ID)
		}
	case Overloaded, Unreachable, ConnectionBroken:
		// One lost answer among good ones shows nothing of the node's room, two on end may. An error never
		// does: a shard has no other node, and what waits while that rests is given up.
		if n.faults++; n.faults < 2 && e.Outcome == ConnectionBroken {
			return
		}
		n.bound = max(min(1, n.bound), n.bound*boundCut)
		n.rest = min(max(2*n.rest, g.tick), g.aim)
		n.restTill = g.now + n.rest
	}
}

// mayTryAgain holds the rules on effects, attempts and the budget.
func (g *Scheduler) mayTryAgain(r *request) bool {
	rules, most := g.set.Rules, g.set.Capabilities.MaxAttempts
	late := r.class.Idempotency == IdempotentWithKey && g.now > r.firstRun+r.class.DedupWindow
	if most > 0 && r.attempts >= most || r.ranAt != nil && (late || r.class.Idempotency == NotIdempotent) {
		return false
	}
	if rules.RetryBudgetWindow <= 0 {
		return true
	}
	g.trimBudget()
	return float64(len(g.extras)+1) <= rules.RetryBudgetMin+rules.RetryBudgetRatio*float64(len(g.taken))
}

// trimBudget forgets requests a little early and further attempts a little late, to be safe at the edge.
func (g *Scheduler) trimBudget() {
	span := g.set.Rules.RetryBudgetWindow
	for ; len(g.taken) > 0 && g.now-g.taken[0] >= span; g.taken = g.taken[1:] {
	}
	for ; len(g.extras) > 0 && g.now-g.extras[0] > span; g.extras = g.extras[1:] {
	}
}

// giveUp gives the final answer: a refusal where that is true, else a failure.
func (g *Scheduler) giveUp(r *request) {
	ran := r.ranAt != nil || r.outAt != nil
	harmless := !ran || r.harmless()
	hint := time.Duration(0)
	if g.set.Capabilities.RetryAfter {
		hint = min(g.aim, g.set.Capabilities.MaxRetryAfter)
	}
	if harmless && g.now < r.deadline {
		g.act(Reject{ID: r.ID, After: hint})
	} else {
		g.act(Fail{ID: r.ID})
	}
	g.leaveUnserved(r)
}

func (g *Scheduler) leaveUnserved(r *request) {
	if !r.over {
		g.unserved[try{r.Class, r.Volume, r.Key, r.Units}] = patience{r.from, r.from + r.class.Deadline}
	}
	g.finish(r)
}

// finish ends what is owed for a request; it is forgotten when no attempt is out either.
func (g *Scheduler) finish(r *request) {
	r.over = true
	if r.lane != nil {
		r.lane.drop(r)
	}
	if r.outAt == nil {
		r.volume.limit.Settle(r.ID)
		delete(g.requests, r.ID)
		g.leaveTurn(r)
	}
}

// turn keeps requests of ordered classes with one key in the order of arrival.
type turn struct {
	waiting []*request
	restTo  Time
}

func (g *Scheduler) queueTurn(r *request) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	if r.turn = g.turns[r.Key]; r.turn == nil {
		r.turn = &turn{}
		g.turns[r.Key] = r.turn
	}
	r.turn.waiting = append(r.turn.waiting, r)
}

func (g *Scheduler) hasTurn(r *request) bool {
	return r.turn == nil || r.turn.waiting[0] == r && (g.now >= r.turn.restTo || r.attempts > 0)
}

func (g *Scheduler) leaveTurn(r *request) {
	if r.turn == nil {
		return
	}
	at := slices.Index(r.turn.waiting, r)
	r.turn.waiting = slices.Delete(r.turn.waiting, at, at+1)
}

// ---- peer messages

// news is the demand that was told, in units a tick.
type news struct {
	units      float64
	tick, from int
}

// heard is what news still counts.
func (g *Scheduler) heard(n news) float64 {
	if g.ticks-n.tick > newsTicks {
		return 0
	}
	return n.units
}

// tellPeers tells the demand for volumes that come through other hosts too. Each volume has a keeper
// among the hosts, by its name: it adds up what is told and answers with the demand at all others. So
// messages follow a host's own traffic, however many hosts there are. Without its keeper a volume
// falls back on the even split.
func (g *Scheduler) tellPeers() {
	if !g.set.Capabilities.Peers || g.set.Brokers < 2 {
		return
	}
	for _, v := range g.active {
		if v.hosts < 2 || v.demand*newsScale < 1 || (g.ticks+v.number)%tellTicks > 0 {
			continue
		}
		if keeper := int(v.id % uint32(g.set.Brokers)); keeper != g.set.Ordinal {
			g.tell(keeper, newsReport, v.id, v.demand)
		} else {
			v.told = news{g.keep(v.id, keeper, v.demand), g.ticks, keeper}
		}
	}
}

func (g *Scheduler) tell(peer int, kind byte, id uint32, units float64) {
	data := binary.BigEndian.AppendUint32([]byte{kind}, id)
	steps := uint16(min(math.Round(units*newsScale), math.MaxUint16))
	g.act(SendToPeer{Peer: peer, Data: binary.BigEndian.AppendUint16(data, steps)})
}

// keep notes what one host told of a volume and returns the demand at all others. Old news is dropped.
func (g *Scheduler) keep(id uint32, from int, units float64) float64 {
	sum, replaced := 0.0, func(n news) bool { return n.from == from || g.heard(n) == 0 }
	others := slices.DeleteFunc(g.kept[id], replaced)
	for _, n := range others {
		sum += n.units
	}
	g.kept[id] = append(others, news{units, g.ticks, from})
	return sum
}

// hear takes a peer's message; bytes that are not one are dropped.
func (g *Scheduler) hear(e PeerMessage) {
	bad := e.From < 0 || e.From >= g.set.Brokers || e.From == g.set.Ordinal
	if bad || g.hearSilent(e) || len(e.Data) != newsBytes {
		return
	}
	id := binary.BigEndian.Uint32(e.Data[1:])
	units := float64(binary.BigEndian.Uint16(e.Data[5:])) / newsScale
	if e.Data[0] == newsReport {
		g.tell(e.From, newsAnswer, id, g.keep(id, e.From, units))
	} else if v := g.byID[id]; v != nil && e.Data[0] == newsAnswer {
		v.told = news{units, g.ticks, e.From}
		v.stir(g)
	}
}

// ---- list watch

// ask subscribes to the list, and again after growing waits until a list comes.
func (g *Scheduler) ask() {
	if !g.set.Subscribe || g.watching || g.now < g.askAt {
		return
	}
	g.act(WatchEndpoints{On: true})
	wait := max(g.watchWait, time.Duration(watchRetry*float64(g.set.Rules.PollDeadline)), g.tick)
	g.watchWait = min(2*wait, max(g.set.Rules.PollDeadline, wait))
	g.askAt = g.now + wait + time.Duration(g.rng.Float64()*float64(wait)/2)
}

// takeList follows the list; it acts in the batch in which it is told.
func (g *Scheduler) takeList(e EndpointUpdate) {
	if e.Kind == FailedUpdate {
		g.log("list failed", "asking again")
		g.watching = false
		return
	}
	if e.Kind != CachedUpdate {
		g.watching, g.watchWait = true, 0
	}
	g.stirred++
	g.lists++
	g.resum = true
	first := !g.listed
	g.listed = g.listed || len(e.Endpoints) > 0
	for _, info := range e.Endpoints {
		g.takeNode(info, e.Kind, first)
	}
	if e.Kind == DeltaUpdate {
		return
	}
	for _, n := range g.nodeList {
		if n.listed != g.stirred {
			n.state = Removed
		}
	}
}

func (g *Scheduler) takeNode(info Endpoint, kind UpdateKind, first bool) {
	n := g.nodes[info.Name]
	if n == nil {
		n = &node{bound: boundStart, heard: g.now, number: g.nodesSeen}
		g.nodesSeen++
		g.nodes[info.Name] = n
		g.nodeList = append(g.nodeList, n)
		g.shardOf(info.Shard).add(n)
		n.bornAt, n.cold = g.now, !first
	}
	if info.StartedAt > n.StartedAt || n.state == Removed && info.State == Ready {
		n.bornAt, n.bound = g.now, boundStart
		if info.StartedAt > 0 {
			n.bornAt = min(info.StartedAt, g.now)
		}
		n.cold = true
	}
	if n.cold && n.savedAt < n.bornAt-g.set.Rules.OverloadWindow {
		spread := g.rng.Float64() * (1 - 1/float64(g.set.Brokers)) // keeps first sends of many hosts apart
		n.savings, n.savedAt = -spread*g.set.MeanUnits, g.now
		if g.processes == 1 { // else the other process may have spent what was saved
			n.savedAt -= g.set.Rules.OverloadWindow
		}
	}
	n.Endpoint, n.state, n.listed = info, info.State, g.stirred
	if info.State != Ready {
		g.log("node leaves", "%s", info.Name)
	}
}
