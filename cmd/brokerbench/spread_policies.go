package main

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"junctionwharf/balancer"
)

// Names of the policies in tables and JSON files, and constants of the policies.
const (
	policyListed       = "listed"        // fewest in flight, ties to the first listed node: the broker's first policy
	policyUniform      = "uniform"       // a random node
	policyLeast        = "least out"     // fewest in flight, random choice among ties
	policyTwoChoices   = "two choices"   // of two random nodes, the one with fewer in flight
	policyTwoReported  = "two by report" // of two random nodes, the one with the lower reported load
	policyLeastReport  = "least report"  // the lowest reported load of all nodes
	policySubset       = "subset"        // fewest in flight in a deterministic subset
	policyRendezvous   = "rendezvous"    // a random node of a subset by rendezvous hashing
	policyBalancerAll  = "turns of all"  // package balancer without subsetting
	policyBalancer     = "turns"         // package balancer
	policyOracle       = "oracle"        // fewest requests of all brokers, which no broker can know
	spreadSubsetSize   = balancer.DefaultSubsetSize
	subsetShuffleSeed  = 5 // any constant, the same for all brokers
	reportDecaySeconds = 1 // time in which the weight of a report decays to 1/e
)

// spreadPolicies lists the policies in the order of tables and files.
var spreadPolicies = []string{
	policyListed, policyUniform, policyLeast, policyTwoChoices, policyTwoReported, policyLeastReport,
	policySubset, policyRendezvous, policyBalancerAll, policyBalancer, policyOracle,
}

// spreadPolicy chooses nodes for the requests of one broker and receives their outcomes.
type spreadPolicy interface {
	choose(now time.Duration) int
	sent(now time.Duration, node int)
	answered(now time.Duration, node int, latency time.Duration, inFlight int)
}

// newSpreadPolicy returns the policy of one broker. For policyOracle, the model chooses the nodes, and the returned
// policy is not used.
func newSpreadPolicy(name string, ordinal, brokers, nodes int, seed uint64) spreadPolicy {
	view := newBrokerView(ordinal, nodes, seed)
	switch name {
	case policyListed:
		return listedPolicy{view}
	case policyUniform:
		return uniformPolicy{view}
	case policyTwoChoices:
		return twoChoicesPolicy{view}
	case policyTwoReported:
		return twoReportedPolicy{view}
	case policyLeastReport:
		return leastReportPolicy{view}
	case policySubset:
		return newSubsetPolicy(view, ordinal, nodes, spreadSubsetSize)
	case policyRendezvous:
		return newRendezvousPolicy(view, ordinal, nodes, spreadSubsetSize)
	case policyBalancerAll:
		return newBalancerPolicy(ordinal, brokers, nodes, nodes)
	case policyBalancer:
		return newBalancerPolicy(ordinal, brokers, nodes, spreadSubsetSize)
	}
	return leastPolicy{view}
}

// brokerView is what a broker knows of the nodes. Its slices are indexed by node.
type brokerView struct {
	random     *rand.Rand
	inFlight   []int           // this broker's requests at the node
	reported   []float64       // requests at the node, by the node's last report
	reportedAt []time.Duration // time of the last report
	sentSince  []int           // this broker's requests sent since the last report
}

func newBrokerView(ordinal, nodes int, seed uint64) *brokerView {
	return &brokerView{
		random:     rand.New(rand.NewPCG(seed, uint64(ordinal))),
		inFlight:   make([]int, nodes),
		reported:   make([]float64, nodes),
		reportedAt: make([]time.Duration, nodes),
		sentSince:  make([]int, nodes),
	}
}

func (v *brokerView) sent(_ time.Duration, node int) {
	v.inFlight[node]++
	v.sentSince[node]++
}

func (v *brokerView) answered(now time.Duration, node int, _ time.Duration, inFlight int) {
	v.inFlight[node]--
	v.reported[node] = float64(inFlight)
	v.reportedAt[node] = now
	v.sentSince[node] = 0
}

// randomPair returns two random nodes, which may be the same.
func (v *brokerView) randomPair() (first, second int) {
	first = v.random.IntN(len(v.inFlight))
	second = v.random.IntN(len(v.inFlight))
	return first, second
}

// estimate returns the node's last report, which decays toward 0 with its age, plus the requests that this broker has
// sent since then.
func (v *brokerView) estimate(now time.Duration, node int) float64 {
	age := (now - v.reportedAt[node]).Seconds()
	return v.reported[node]*math.Exp(-age/reportDecaySeconds) + float64(v.sentSince[node])
}

type uniformPolicy struct{ *brokerView }

func (p uniformPolicy) choose(time.Duration) int { return p.random.IntN(len(p.inFlight)) }

type listedPolicy struct{ *brokerView }

func (p listedPolicy) choose(time.Duration) int {
	best := 0
	for node := range p.inFlight {
		if p.inFlight[node] < p.inFlight[best] {
			best = node
		}
	}
	return best
}

type leastPolicy struct{ *brokerView }

func (p leastPolicy) choose(time.Duration) int {
	best := 0
	ties := 0
	for node := range p.inFlight {
		switch {
		case p.inFlight[node] < p.inFlight[best] || node == 0:
			best = node
			ties = 1
		case p.inFlight[node] == p.inFlight[best]:
			ties++
			if p.random.IntN(ties) == 0 {
				best = node
			}
		}
	}
	return best
}

type twoChoicesPolicy struct{ *brokerView }

func (p twoChoicesPolicy) choose(time.Duration) int {
	first, second := p.randomPair()
	if p.inFlight[second] < p.inFlight[first] {
		return second
	}
	return first
}

type twoReportedPolicy struct{ *brokerView }

func (p twoReportedPolicy) choose(now time.Duration) int {
	first, second := p.randomPair()
	if p.estimate(now, second) < p.estimate(now, first) {
		return second
	}
	return first
}

// leastReportPolicy shows herding: brokers with the same reports choose the same node.
type leastReportPolicy struct{ *brokerView }

func (p leastReportPolicy) choose(now time.Duration) int {
	best := 0
	least := math.Inf(1)
	for node := range p.inFlight {
		if estimate := p.estimate(now, node); estimate < least {
			best = node
			least = estimate
		}
	}
	return best
}

// subsetPolicy uses a deterministic subset. Consecutive brokers form a round, and the brokers of a round divide one
// shuffle of the nodes among themselves.
type subsetPolicy struct {
	*brokerView
	subset []int
}

func newSubsetPolicy(view *brokerView, ordinal, nodes, size int) subsetPolicy {
	size = min(size, nodes)
	brokersPerRound := max(1, nodes/size)
	round := uint64(ordinal / brokersPerRound)
	order := rand.New(rand.NewPCG(round, subsetShuffleSeed)).Perm(nodes)
	start := ordinal % brokersPerRound * size
	return subsetPolicy{brokerView: view, subset: order[start : start+size]}
}

// choose draws a random number for the first node of the subset too, unlike leastPolicy. The stored measurements depend
// on the sequence of draws.
func (p subsetPolicy) choose(time.Duration) int {
	best := p.subset[0]
	ties := 0
	for _, node := range p.subset {
		switch {
		case p.inFlight[node] < p.inFlight[best]:
			best = node
			ties = 1
		case p.inFlight[node] == p.inFlight[best]:
			ties++
			if p.random.IntN(ties) == 0 {
				best = node
			}
		}
	}
	return best
}

// rendezvousPolicy chooses a random node of the subset that rendezvous hashing gives to the broker.
type rendezvousPolicy struct {
	*brokerView
	subset []int
}

func newRendezvousPolicy(view *brokerView, ordinal, nodes, size int) rendezvousPolicy {
	scores := make([]float64, nodes)
	order := make([]int, nodes)
	for node := range nodes {
		scores[node] = rand.New(rand.NewPCG(uint64(ordinal), uint64(node))).Float64()
		order[node] = node
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
	return rendezvousPolicy{brokerView: view, subset: order[:min(size, nodes)]}
}

func (p rendezvousPolicy) choose(time.Duration) int { return p.subset[p.random.IntN(len(p.subset))] }

// balancerPolicy uses package balancer, the policy of the product.
type balancerPolicy struct {
	balancer *balancer.Balancer
	replicas []*balancer.Replica // by node
}

func newBalancerPolicy(ordinal, brokers, nodes, subsetSize int) *balancerPolicy {
	p := &balancerPolicy{balancer: balancer.New(balancer.Options{
		Name:       fmt.Sprint("broker-", ordinal),
		Ordinal:    ordinal,
		Brokers:    brokers,
		SubsetSize: subsetSize,
		NoGossip:   true,
	})}
	for node := range nodes {
		p.replicas = append(p.replicas, &balancer.Replica{Name: fmt.Sprint("node-", node), Ref: node})
	}
	p.balancer.SetReplicas(0, p.replicas)
	return p
}

func (p *balancerPolicy) choose(now time.Duration) int {
	for replica := range p.balancer.Candidates(now, false) {
		return replica.Ref.(int)
	}
	return 0
}

func (p *balancerPolicy) sent(now time.Duration, node int) {
	p.replicas[node].InFlight++
	p.balancer.RecordSent(now, p.replicas[node])
}

func (p *balancerPolicy) answered(now time.Duration, node int, latency time.Duration, _ int) {
	p.replicas[node].InFlight--
	p.balancer.RecordAnswer(now, p.replicas[node], latency)
}
