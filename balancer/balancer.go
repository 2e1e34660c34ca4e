// Package balancer ranks the nodes of a shard for one of many brokers that each see little of the load, so that their sum is
// even. It does no I/O, reads no clock and starts nothing; it is not safe for concurrent use.
//
// The rule. A broker uses a bounded part of a shard's nodes, its cover (cover.go), and takes them in turn: each node has a
// place in a virtual time, and a request moves it on by one over the node's weight, so that over any stretch a node gets its
// weight's part of this broker's requests, within one. Where a broker begins in that turn, and in what order, is drawn from its
// name and the nodes': no two brokers are in step after a common event, and what rounding leaves cancels out over them. Attempts
// that are out count as turns taken. A node that could not be taken for a while is owed a drawn part of a turn at the most, and
// one that was silent begins anew, so that brokers do not rush at it together when it is back.
//
// What is judged of a node by its answers (judge.go) lowers its weight, and never takes away more than a stated part of a shard.
//
// Priorities are those of SRV records (RFC 2782): the lower goes first while it has room.
//
// What it promises needs no other broker: with no news at all the turns go on. What peers tell of silent nodes can only lower
// a weight, within the same bound. It costs some 200 bytes a node and broker, and no message but those of judge.go.
package balancer

import (
	"iter"
	"math"
	"slices"
	"time"
)

// Time is a point on the caller's clock.
type Time = time.Duration

// Options are of one broker. The zero value stands for the defaults.
type Options struct {
	Disabled        bool    // nodes are taken by the attempts out there alone, the first listed of equals, as before there were turns
	SubsetSize      int     // of a shard that a broker uses while its rate is low; 0: DefaultSubsetSize
	MaxEjectedShare float64 // the most of a shard's weight that judging may take away; 0: DefaultMaxEjectedShare
	TrialShare      float64 // the part of its weight that a node judged silent keeps, as trials; 0: DefaultTrialShare
	NoGossip        bool    // peers are told nothing of silent nodes, and what they tell is dropped
	Name            string  // the broker's name
	Ordinal         int     // its number among Brokers, from 0
	Brokers         int     // that share the load; below 2 the cover goes by the name alone
}

// The defaults.
const (
	DefaultSubsetSize      = 24
	DefaultMaxEjectedShare = 0.5
	DefaultTrialShare      = 0.02
)

// WithDefaults has the defaults where nothing is said.
func (o Options) WithDefaults() Options {
	if o.SubsetSize <= 0 {
		o.SubsetSize = DefaultSubsetSize
	}
	if o.MaxEjectedShare <= 0 {
		o.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if o.TrialShare <= 0 {
		o.TrialShare = DefaultTrialShare
	}
	return o
}

// reuse is how often a broker should meet each node that it uses: a connection that stands idle for longer is of no use, and
// one that takes more requests would be better spread. A broker with more to send covers more nodes.
const reuse = 4 * time.Second

// For a request that can't be tried again a node is proved alive that answered so lately and owes no answer. It may be as many
// turns ahead of its own: else a broker that has only such requests would meet the same few nodes. For alarmTime after a node of the
// shard was found silent neither bound holds.
const (
	freshTime = 2 * time.Second
	freshLead = 2.0

	provedBack = 3
	alarmTime  = 5 * time.Second
)

// Replica is a node as one broker sees it. The fields before the blank line are the caller's.
type Replica struct {
	Name          string
	Priority      int
	Weight        float64 // its size against others; 0 or less counts as 1
	InFlight      int     // attempts out there
	CapacityShare float64 // part of its capacity that it has, of one that has just started; 0 counts as 1
	Ref           any     // the caller's own

	judgement
	at      float64 // its place in virtual time
	brokers []int32 // the first in the node's own order of brokers, as many as were wanted so far
	balance float64 // factor that has the covers of all brokers sum up evenly
	factor  float64 // of its weight, by judgement, within the bound of the shard
	before  float64 // and until it was last judged
	part    float64 // its part of this broker's load
	visited uint64
	id      uint32 // in messages to peers
}

func (m *Replica) size() float64 {
	if m.Weight > 0 {
		return m.Weight
	}
	return 1
}

func (m *Replica) weight() float64 {
	w := m.size() * m.balance * m.factor
	if m.CapacityShare > 0 {
		w *= m.CapacityShare
	}
	return max(1e-6, w)
}

// Share is the part of this broker's requests to the shard that is meant for the node now.
func (m *Replica) Share() float64 { return m.part }

// Balancer is the nodes of one shard.
type Balancer struct {
	opt    Options
	all    []*Replica
	used   []*Replica // the cover, by priority
	now    float64    // virtual time
	visits uint64
	hushed bool     // a node of the cover is silent
	first  *Replica // whose place is the earliest, if next has just seen that; nil for not known
	sure   bool     // the request that looks for a node wants a proved one
	rate   float64  // requests a second, in the mean over some seconds
	rated  Time
	wide   int  // doublings of the cover
	stale  bool // parts are to be reckoned anew
	evenAt Time // when balances were last reckoned
	uneven bool // nodes have changed since
	evidence
}

// New returns a group without nodes.
func New(opt Options) *Balancer { return &Balancer{opt: opt.WithDefaults()} }

// SetReplicas takes the nodes that could serve. A node keeps its place as long as its Replica is the same.
func (g *Balancer) SetReplicas(now Time, members []*Replica) {
	known := map[*Replica]bool{}
	for _, m := range g.all {
		known[m] = true
	}
	count := g.cover(len(members))
	for _, m := range members {
		if known[m] {
			continue
		}
		m.balance, m.factor, m.id = 1, 1, uint32(hash("", m.Name, 3))
		m.brokers = g.brokersOf(m.Name, count<<g.wide)
		m.at = g.now + unit(hash(g.opt.Name, m.Name, 1))/m.weight()
	}
	g.all = slices.Clone(members)
	g.uneven = true
	g.choose(now)
}

// choose takes the cover from all nodes.
func (g *Balancer) choose(now Time) {
	count := g.cover(len(g.all))
	for _, m := range g.used {
		m.part = 0
	}
	g.used = g.used[:0]
	for _, m := range g.all {
		if len(g.all) <= g.opt.SubsetSize || g.opt.Brokers > 1 && g.covers(m, count<<g.wide) {
			g.used = append(g.used, m)
		}
	}
	if len(g.used) == 0 { // no node has this broker early in its order: any few are better than all
		g.used = append(g.used, g.nearest()...)
	}
	slices.SortStableFunc(g.used, func(a, b *Replica) int { return a.Priority - b.Priority })
	g.ranked = g.ranked[:0]
	if g.uneven && (g.evenAt == 0 || now-g.evenAt >= time.Second) {
		g.uneven, g.evenAt = false, max(1, now)
		g.even()
	}
	g.stale = true
}

// Candidates yields the nodes in the order in which they are to be asked; the caller takes the first that may serve. With proved, for
// a request that can't be tried again or was, those that answered a moment ago come first, and none is taken for a trial. SubsetSize
// beyond the cover follow last.
func (g *Balancer) Candidates(now Time, proved bool) iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		if g.uneven && now-g.evenAt >= time.Second {
			g.choose(now)
		}
		g.reckon(now)
		g.visits++
		g.sure = proved
		for _, next := range []func(Time) *Replica{g.trial, g.proved, g.next} {
			for {
				best := next(now)
				if best == nil {
					break
				}
				best.visited = g.visits
				if !yield(best) {
					return
				}
			}
		}
		if len(g.used) == len(g.all) {
			return
		}
		for _, m := range g.all {
			if m.visited != g.visits && !yield(m) {
				return
			}
		}
	}
}

// trial is a silent node that is to be asked once more, by a request that may run twice.
func (g *Balancer) trial(now Time) *Replica {
	if g.sure || !g.hushed {
		return nil
	}
	for _, m := range g.used {
		if m.visited != g.visits && m.Unresponsive() && m.regain == 0 && m.InFlight == 0 && now >= m.trialAt {
			return m
		}
	}
	return nil
}

// proved is a node that answered lately, for a request that may not run twice: the one that did last while there is an alarm; else
// the third last, since the last has just had a request, and two within a moment add up over brokers.
func (g *Balancer) proved(now Time) *Replica {
	if !g.sure {
		return nil
	}
	var last [provedBack]*Replica // those that answered last, the latest first
	middle := g.middle()
	alarm := g.alarmAt > 0 && now-g.alarmAt < alarmTime
	for _, m := range g.used {
		if m.visited == g.visits || m.heardAt == 0 || m.Unresponsive() || m.InFlight > 0 || m.Priority != g.used[0].Priority || m.factor < 1 ||
			!alarm && (now-m.heardAt > freshTime || m.at-middle > freshLead/m.weight()) {
			continue
		}
		for i, l := range last {
			if l == nil || m.heardAt > l.heardAt {
				copy(last[i+1:], last[i:])
				last[i] = m
				break
			}
		}
	}
	if alarm {
		return last[0]
	}
	for i := len(last) - 1; i > 0; i-- {
		if last[i] != nil {
			return last[i]
		}
	}
	return last[0]
}

// middle is the mean place of the nodes that are not silent.
func (g *Balancer) middle() float64 {
	sum, n := 0.0, 0.0
	for _, m := range g.used {
		if !m.Unresponsive() {
			sum += m.at
			n++
		}
	}
	return sum / max(1, n)
}

// next is the node of the cover whose turn comes first among those that were not visited.
func (g *Balancer) next(_ Time) *Replica {
	var best *Replica
	least, sure := 0.0, !g.hushed
	for _, m := range g.used {
		if m.visited == g.visits {
			sure = false
			continue
		}
		if best != nil && m.Priority > best.Priority {
			sure = false
			break
		}
		key := m.at
		if m.InFlight > 0 {
			key += float64(m.InFlight) / m.weight()
			sure = false
		}
		if m.Unresponsive() && m.regain == 0 && m.factor <= g.opt.TrialShare {
			key += lastResort
		}
		if best == nil || key < least {
			best, least = m, key
		}
	}
	if g.first = nil; sure {
		g.first = best
	}
	return best
}

// RecordSent notes that a request went to a node.
func (g *Balancer) RecordSent(now Time, m *Replica) {
	step := 1 / m.weight()
	m.at = max(m.at, g.now-step*unit(hash(g.opt.Name, m.Name, uint64(now))))
	if m == g.first { // no place is before its own, so neither is the middle: what follows would come to the same
		g.now = max(g.now, m.at)
	} else {
		g.now = max(g.now, min(m.at, g.middle()))
	}
	g.first = nil
	m.at += step
	span := (now - g.rated).Seconds()
	g.rate = g.rate*math.Exp(-span/rateSpan) + 1/rateSpan
	g.rated = now
	want := g.rate * reuse.Seconds()
	switch most := float64(int(g.opt.SubsetSize) << g.wide); {
	case want > most && g.wide < mostWide && len(g.used) < len(g.all):
		g.wide++
		g.choose(now)
	case want < most/4 && g.wide > 0:
		g.wide--
		g.choose(now)
	}
}

const (
	lastResort = 1e12 // added to the place of a silent node: it is taken for trials, or where nothing else may serve
	rateSpan   = 10.0 // seconds
	mostWide   = 4    // doublings of the cover
)

// reckon brings factors and parts up to date.
func (g *Balancer) reckon(now Time) {
	if !g.stale && now < g.reckonAt {
		return
	}
	g.stale, g.reckonAt = false, now+reckonEach
	g.hushed = slices.ContainsFunc(g.used, (*Replica).Unresponsive)
	g.judge(now)
	sum := 0.0 // of those that go first
	for _, m := range g.used {
		if m.part = 0; m.Priority == g.used[0].Priority {
			m.part = m.weight()
			sum += m.part
		}
	}
	for _, m := range g.used {
		m.part /= max(1e-9, sum)
	}
}

// Replicas are all nodes of the shard, the used ones told by Share or Priority.
func (g *Balancer) Replicas() []*Replica { return g.all }

// SubsetSize tells how many nodes this broker uses.
func (g *Balancer) SubsetSize() int { return len(g.used) }
