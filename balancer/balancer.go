package balancer

import (
	"math"
	"slices"
	"time"
)

// Time is a point on the caller's clock. It is an alias, so that callers can pass time.Duration and scheduler.Time.
type Time = time.Duration

// Options are the options of one broker's Balancer. A field with its zero value means the default.
type Options struct {
	Disabled        bool    // the caller ranks replicas only by their attempts in flight
	SubsetSize      int     // replicas of a shard that a broker uses at a low request rate; 0: DefaultSubsetSize
	MaxEjectedShare float64 // share of the subset's weight that outlier detection may remove; 0: the default
	TrialShare      float64 // share of its weight that an unresponsive replica keeps for trials; 0: DefaultTrialShare
	NoGossip        bool    // send no gossip about replicas to peers, and drop gossip from peers
	Name            string  // name of the broker
	Ordinal         int     // number of this broker among all Brokers, from 0
	Brokers         int     // brokers that share the load; below 2, the subset depends only on Name
}

// The defaults of Options.
const (
	// DefaultSubsetSize is a number of replicas. With a larger subset, connections idle between requests and must
	// be reopened. With a smaller subset, the load of replicas is uneven.
	DefaultSubsetSize = 24
	// DefaultMaxEjectedShare is a share of the subset's weight. With a larger share, a fault common to many replicas
	// moves all load to a few replicas. With a smaller share, more requests go to faulty replicas.
	DefaultMaxEjectedShare = 0.5
	// DefaultTrialShare is a share of a replica's weight. With a larger share, more requests are lost to dead
	// replicas. With a smaller share, a recovered replica is found later.
	DefaultTrialShare = 0.02
)

// WithDefaults returns the options with defaults in place of unset fields.
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
	// minWeight keeps the length of a turn finite. With a larger value, an ejected replica still gets a share of the
	// requests. With a smaller value, sums of positions lose precision.
	minWeight = 1e-6
	// minTotalWeight keeps shares finite when no replica has a weight. With a larger value, the console shows too
	// small a share for replicas with tiny weights. With a smaller value, shares lose precision.
	minTotalWeight = 1e-9
	// evaluationPeriod is the interval between evaluations of the weights. The weights are also evaluated at the
	// next request after an event that may change them, for example when a replica fails or recovers. With a longer
	// period, slow replicas keep their load for longer. A shorter period costs processor time in proportion to the
	// number of replicas.
	evaluationPeriod = time.Second
)

// Replica is a node of the shard as one broker sees it. The caller sets the exported fields.
type Replica struct {
	Name          string
	Priority      int
	Weight        float64 // size relative to other replicas; 0 or less counts as 1
	InFlight      int     // attempts in flight
	CapacityShare float64 // part of its capacity that a replica can use while warming up; 0 counts as 1
	Ref           any     // value for the caller's own use

	statistics
	outlierState
	position       float64 // virtual time from which the replica has its next turn
	brokerOrder    []int32 // the brokers that use the replica first, see brokersOf; computed as far as needed
	evenFactor     float64 // factor of the weight that evens out the subsets of all brokers
	factor         float64 // factor of the weight from outlier detection, within MaxEjectedShare
	previousFactor float64 // the factor before the last evaluation
	share          float64 // share of this broker's requests
	visit          uint64  // value of Balancer.visits when the replica was last yielded
	hash           uint32  // hash of the name in gossip messages
}

// Share returns the share of this broker's requests to the shard that the replica should currently receive.
func (r *Replica) Share() float64 { return r.share }

// size returns the replica's weight from the endpoint list, 1 if the list gives none.
func (r *Replica) size() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// weight returns the current weight, which determines how often the replica has a turn.
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
	subset     []*Replica // replicas that this broker uses, sorted by priority
	doublings  int        // number of times that the subset was doubled for a high request rate
	requests   requestRate
	evenedAt   Time // when evenSubsets last computed its factors
	evenStale  bool // replicas changed after evenedAt
	nextPeriod Time // time of the next regular evaluation of the weights
	stale      bool // the next request evaluates the weights

	virtualNow      float64
	visits          uint64   // number of calls of Candidates
	earliest        *Replica // replica with the first position, if nextInTurn has just found it; otherwise nil
	proven          bool     // the request of the current call needs a replica that answered recently
	anyUnresponsive bool     // at least one replica of the subset is unresponsive

	decay     decayCache
	byLatency []*Replica // the subset, sorted by mean latency
	alarmAt   Time       // when this broker or its peers last found a replica unresponsive
	gossip    gossipQueue
}

// New returns a balancer without replicas.
func New(options Options) *Balancer { return &Balancer{options: options.WithDefaults()} }

// SetReplicas replaces the list of replicas. A replica keeps its state if the list has the same *Replica as before.
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

// Replicas returns all replicas of the shard. A replica outside the subset has a Share of 0.
func (b *Balancer) Replicas() []*Replica { return b.replicas }

// SubsetSize returns the number of replicas that this broker uses.
func (b *Balancer) SubsetSize() int { return len(b.subset) }

// evaluate updates weights and shares if they are stale or the evaluation period is over.
func (b *Balancer) evaluate(now Time) {
	if !b.stale && now < b.nextPeriod {
		return
	}
	b.stale = false
	b.nextPeriod = now + evaluationPeriod
	b.anyUnresponsive = slices.ContainsFunc(b.subset, (*Replica).Unresponsive)
	b.detectOutliers(now)
	total := 0.0 // weight of the replicas with the lowest priority value
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

// rateSpan is the time over which the request rate is averaged, in seconds. With a longer span, the subset grows late
// in a surge. With a shorter span, the subset changes with each burst.
const rateSpan = 10.0

// requestRate is a broker's mean request rate to the shard over rateSpan.
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
