package balancer

import (
	"math"
	"slices"
	"time"
)

// Time is a point on the caller's clock: an alias, so that time.Duration and scheduler.Time pass.
type Time = time.Duration

// Options are those of one broker. The zero value stands for the defaults.
type Options struct {
	Disabled        bool    // the caller ranks replicas by their attempts in flight alone
	SubsetSize      int     // replicas of a shard that a broker uses while its rate is low; 0: DefaultSubsetSize
	MaxEjectedShare float64 // of a shard's weight that outlier detection may take away; 0: DefaultMaxEjectedShare
	TrialShare      float64 // of its weight that an unresponsive replica keeps, as trials; 0: DefaultTrialShare
	NoGossip        bool    // peers are told nothing of unresponsive replicas, and what they tell is dropped
	Name            string  // of the broker
	Ordinal         int     // its number among Brokers, from 0
	Brokers         int     // that share the load; below 2 the subset goes by the name alone
}

// The defaults.
const (
	// DefaultSubsetSize is a count of replicas. Higher, connections idle between requests and are opened
	// anew; lower, the load of replicas is uneven.
	DefaultSubsetSize = 24
	// DefaultMaxEjectedShare is a part of a shard's weight. Higher, a common fault sends all load to few
	// replicas; lower, more requests go to replicas at fault.
	DefaultMaxEjectedShare = 0.5
	// DefaultTrialShare is a part of a replica's weight. Higher, more requests are lost to dead replicas;
	// lower, a replica that is back is found late.
	DefaultTrialShare = 0.02
)

// WithDefaults returns the options with the defaults where nothing is said.
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

const (
	// minWeight keeps a turn finite. Higher, an ejected replica gets a share of its own; lower, sums lose
	// their precision.
	minWeight = 1e-6
	// minTotalWeight keeps shares finite where no replica has a weight. Higher, the console shows too small
	// shares for replicas with tiny weights; lower, shares lose their precision.
	minTotalWeight = 1e-9
	// evaluationPeriod is how often weights are evaluated, besides at once when a replica becomes
	// unresponsive, errs or comes back. Higher, slow replicas keep their load for longer; lower, processor
	// time grows with replicas.
	evaluationPeriod = time.Second
)

// Replica is a node of the shard as one broker sees it. The fields before the blank line are the caller's.
type Replica struct {
	Name          string
	Priority      int
	Weight        float64 // its size against others; 0 or less counts as 1
	InFlight      int     // attempts
	CapacityShare float64 // part of its capacity that it has, of one that has just started; 0 counts as 1
	Ref           any     // the caller's own

	statistics
	outlierState
	position       float64 // in virtual time, where its turn is
	brokerOrder    []int32 // the first brokers in the replica's own order, as many as were wanted so far
	evenFactor     float64 // of its weight, that has the subsets of all brokers add up evenly
	factor         float64 // of its weight, by outlier detection, within the bound of the shard
	previousFactor float64 // the factor before the last evaluation
	share          float64 // of this broker's requests
	visit          uint64  // Balancer.visits when it was last yielded
	hash           uint32  // its name in messages to peers
}

// Share is the part of this broker's requests to the shard that is meant for the replica now.
func (r *Replica) Share() float64 { return r.share }

// size is its weight against others by the endpoint list.
func (r *Replica) size() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// weight is what its turns go by now.
func (r *Replica) weight() float64 {
	weight := r.size() * r.evenFactor * r.factor
	if r.CapacityShare > 0 {
		weight *= r.CapacityShare
	}
	return max(minWeight, weight)
}

// Balancer ranks the replicas of one shard. It is not safe for concurrent use.
type Balancer struct {
	options    Options
	replicas   []*Replica
	subset     []*Replica // those that this broker uses, by priority
	doublings  int        // of the subset, by the request rate
	requests   requestRate
	evenedAt   Time // when the factors of evenSubsets were last worked out
	evenStale  bool // replicas have changed since
	nextPeriod Time // when weights are evaluated again
	stale      bool // they are to be evaluated at once

	virtualNow      float64
	visits          uint64   // counts calls of Candidates
	earliest        *Replica // whose position is the first, if nextInTurn has just seen that; nil for not known
	proven          bool     // the request of this call wants a replica that answered lately
	anyUnresponsive bool     // a replica of the subset is

	decay     decayCache
	byLatency []*Replica // the subset by mean latency
	alarmAt   Time       // when a replica was last found unresponsive, by this broker or by peers
	gossip    gossipQueue
}

// New returns a balancer without replicas.
func New(options Options) *Balancer { return &Balancer{options: options.WithDefaults()} }

// SetReplicas takes the replicas that could serve. One keeps its state as long as its Replica is the same.
func (b *Balancer) SetReplicas(now Time, replicas []*Replica) {
	known := map[*Replica]bool{}
	for _, r := range b.replicas {
		known[r] = true
	}
	count := b.brokersPerReplica(len(replicas))
	for _, r := range replicas {
		if known[r] {
			continue
		}
		r.evenFactor = 1
		r.factor = 1
		r.hash = gossipHash(r.Name)
		r.brokerOrder = b.brokersOf(r.Name, count<<b.doublings)
		r.position = b.virtualNow + unitInterval(hash(b.options.Name, r.Name, saltStart))/r.weight()
	}
	b.replicas = slices.Clone(replicas)
	b.evenStale = true
	b.chooseSubset(now)
}

// Replicas are all replicas of the shard, those in use told by Share or Priority.
func (b *Balancer) Replicas() []*Replica { return b.replicas }

// SubsetSize is how many replicas this broker uses.
func (b *Balancer) SubsetSize() int { return len(b.subset) }

// evaluate brings weights and shares up to date.
func (b *Balancer) evaluate(now Time) {
	if !b.stale && now < b.nextPeriod {
		return
	}
	b.stale = false
	b.nextPeriod = now + evaluationPeriod
	b.anyUnresponsive = slices.ContainsFunc(b.subset, (*Replica).Unresponsive)
	b.detectOutliers(now)
	total := 0.0 // of those that go first
	for _, r := range b.subset {
		r.share = 0
		if r.Priority == b.subset[0].Priority {
			r.share = r.weight()
			total += r.share
		}
	}
	for _, r := range b.subset {
		r.share /= max(minTotalWeight, total)
	}
}

// rateSpan is over which the request rate is averaged, in seconds. Higher, the subset grows late in a surge;
// lower, it changes with each burst.
const rateSpan = 10.0

// requestRate is a broker's requests to the shard a second, in the mean over rateSpan.
type requestRate struct {
	perSecond float64
	updatedAt Time
}

// record counts a request.
func (q *requestRate) record(now Time) {
	elapsed := (now - q.updatedAt).Seconds()
	q.perSecond = q.perSecond*math.Exp(-elapsed/rateSpan) + 1/rateSpan
	q.updatedAt = now
}
