package main

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// slotsPerNode is the number of requests that a node of the model executes at a time.
	slotsPerNode = 4
	// slowNodeFactor is the execution time at a slow node over the time at a node of full speed.
	slowNodeFactor = 2
	// hotBrokerShare sets the number of hot brokers: one in hotBrokerShare brokers has a higher rate than the mean.
	hotBrokerShare = 20
	// minRateShare limits the rate of the other brokers to at least 1/minRateShare of the mean rate.
	minRateShare = 10
	// arrivalSeed separates the draws of arrivals from those of policies.
	arrivalSeed = 0x5b
)

// spreadOptions describes a run of the model.
type spreadOptions struct {
	brokers int
	nodes   int
	rate    float64       // mean rate of a broker, requests a second
	uneven  float64       // rate of a hot broker over the mean rate; up to 1, no broker is hot
	slow    float64       // fraction of the nodes with half speed
	load    float64       // load as a fraction of the nodes' capacity
	length  time.Duration // of model time
}

// serviceTime returns the mean execution time of a request that results in the load, at nodes of full speed.
func (o spreadOptions) serviceTime() time.Duration {
	seconds := o.load * float64(o.nodes*slotsPerNode) / (o.rate * float64(o.brokers))
	return time.Duration(seconds * float64(time.Second))
}

// hotBrokers returns the number of hot brokers, which have the lowest ordinals.
func (o spreadOptions) hotBrokers() int {
	if o.uneven > 1 {
		return max(1, o.brokers/hotBrokerShare)
	}
	return 0
}

// rateOf returns the rate of a broker.
func (o spreadOptions) rateOf(broker int) float64 {
	hot := o.hotBrokers()
	if broker < hot {
		return o.rate * o.uneven
	}
	left := float64(o.brokers) - float64(hot)*o.uneven
	return max(o.rate/minRateShare, o.rate*left/float64(o.brokers-hot))
}

func (o spreadOptions) slowNodes() int { return int(o.slow * float64(o.nodes)) }

// spreadRun is the result of one policy in one round.
type spreadRun struct {
	Policy         string  `json:"way"`
	Round          int     `json:"round"`
	MaxOverMean    float64 `json:"fullest_over_mean"` // most requests of a node over the mean, without slow nodes
	WorstSecond    float64 `json:"worst_second"`      // MaxOverMean of the worst second
	IdleNodes      int     `json:"idle_nodes"`
	P50            float64 `json:"p50_ms"`
	P99            float64 `json:"p99_ms"`
	Connections    int     `json:"connections"`     // pairs of a broker and a node that received a request from it
	MaxConnections int     `json:"most_at_a_node"`  // maximum of the connections by node
	SlowNodeShare  float64 `json:"slow_nodes_part"` // mean requests of a slow node over those of another node
}

// spreadEvent is the arrival of a request at a broker or the end of a request at a node.
type spreadEvent struct {
	at     time.Duration
	broker int
	node   int // noNode for an arrival
	sentAt time.Duration
	work   time.Duration // at a node of full speed
}

// noNode is the node of a request that has not been sent.
const noNode = -1

// spreadQueue is a heap of events by time.
type spreadQueue []spreadEvent

func (q spreadQueue) Len() int           { return len(q) }
func (q spreadQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q spreadQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *spreadQueue) Push(x any)        { *q = append(*q, x.(spreadEvent)) }
func (q *spreadQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// spreadModel simulates one policy: brokers with Poisson arrivals, and nodes with slots and a first-in-first-out queue.
type spreadModel struct {
	options  spreadOptions
	policy   string
	policies []spreadPolicy // by broker
	queue    spreadQueue
	busy     []int           // slots in use, by node
	waiting  [][]spreadEvent // waiting requests, by node

	counts     []int   // requests sent, by node
	perSecond  [][]int // requests sent, by second and node
	pairs      map[[2]int]bool
	latencies  []time.Duration
	slowNodes  int
	usesOracle bool
}

// playSpread runs the model with one policy.
func playSpread(options spreadOptions, policy string, seed uint64) spreadRun {
	m := &spreadModel{
		options:    options,
		policy:     policy,
		busy:       make([]int, options.nodes),
		waiting:    make([][]spreadEvent, options.nodes),
		counts:     make([]int, options.nodes),
		perSecond:  make([][]int, int(options.length/time.Second)),
		pairs:      map[[2]int]bool{},
		slowNodes:  options.slowNodes(),
		usesOracle: policy == policyOracle,
	}
	for second := range m.perSecond {
		m.perSecond[second] = make([]int, options.nodes)
	}
	for broker := range options.brokers {
		p := newSpreadPolicy(policy, broker, options.brokers, options.nodes, seed)
		m.policies = append(m.policies, p)
	}
	m.drawArrivals(rand.New(rand.NewPCG(seed, arrivalSeed)))
	for len(m.queue) > 0 {
		event := heap.Pop(&m.queue).(spreadEvent)
		if event.node == noNode {
			m.arrive(event)
		} else {
			m.finish(event)
		}
	}
	return m.result()
}

// drawArrivals draws all requests in advance, so that they are the same for each policy.
func (m *spreadModel) drawArrivals(random *rand.Rand) {
	service := float64(m.options.serviceTime())
	end := m.options.length.Seconds()
	for broker := range m.options.brokers {
		rate := m.options.rateOf(broker)
		for at := random.ExpFloat64() / rate; at < end; at += random.ExpFloat64() / rate {
			m.queue = append(m.queue, spreadEvent{
				at:     time.Duration(at * float64(time.Second)),
				broker: broker,
				node:   noNode,
				work:   time.Duration(random.ExpFloat64() * service),
			})
		}
	}
	heap.Init(&m.queue)
}

// arrive sends a request to a node, which executes or queues it.
func (m *spreadModel) arrive(event spreadEvent) {
	if m.usesOracle {
		event.node = m.leastLoaded()
	} else {
		policy := m.policies[event.broker]
		event.node = policy.choose(event.at)
		policy.sent(event.at, event.node)
	}
	event.sentAt = event.at
	m.counts[event.node]++
	m.perSecond[int(event.at/time.Second)][event.node]++
	m.pairs[[2]int{event.broker, event.node}] = true
	if m.busy[event.node] < slotsPerNode {
		m.begin(event.at, event)
		return
	}
	m.waiting[event.node] = append(m.waiting[event.node], event)
}

// leastLoaded returns the choice of the oracle: the node with the fewest requests from all brokers.
func (m *spreadModel) leastLoaded() int {
	best := 0
	for node := range m.busy {
		if m.inFlight(node) < m.inFlight(best) {
			best = node
		}
	}
	return best
}

func (m *spreadModel) inFlight(node int) int { return m.busy[node] + len(m.waiting[node]) }

// begin starts the execution of a request at its node.
func (m *spreadModel) begin(now time.Duration, event spreadEvent) {
	m.busy[event.node]++
	work := event.work
	if event.node < m.slowNodes {
		work *= slowNodeFactor
	}
	event.at = now + work
	heap.Push(&m.queue, event)
}

// finish ends a request at its node, which then starts the first request in its queue.
func (m *spreadModel) finish(event spreadEvent) {
	m.busy[event.node]--
	latency := event.at - event.sentAt
	m.latencies = append(m.latencies, latency)
	if waiting := m.waiting[event.node]; len(waiting) > 0 {
		m.waiting[event.node] = waiting[1:]
		m.begin(event.at, waiting[0])
	}
	if !m.usesOracle {
		m.policies[event.broker].answered(event.at, event.node, latency, m.inFlight(event.node))
	}
}

// result computes the figures of a finished run.
func (m *spreadModel) result() spreadRun {
	slices.Sort(m.latencies)
	run := spreadRun{
		Policy:      m.policy,
		P50:         m.latencies[len(m.latencies)/2].Seconds() * 1000,
		P99:         m.latencies[len(m.latencies)*99/100].Seconds() * 1000,
		Connections: len(m.pairs),
		MaxOverMean: maxOverMean(m.counts[m.slowNodes:]),
	}
	connections := make([]int, m.options.nodes)
	for pair := range m.pairs {
		connections[pair[1]]++
	}
	run.MaxConnections = slices.Max(connections)
	for _, counts := range m.perSecond {
		run.WorstSecond = max(run.WorstSecond, maxOverMean(counts[m.slowNodes:]))
	}
	for _, count := range m.counts {
		if count == 0 {
			run.IdleNodes++
		}
	}
	run.SlowNodeShare = m.slowNodeShare()
	return run
}

// slowNodeShare returns the mean requests of a slow node over those of another node, or 0 if no node is slow.
func (m *spreadModel) slowNodeShare() float64 {
	if m.slowNodes == 0 {
		return 0
	}
	slow := float64(sum(m.counts[:m.slowNodes])) / float64(m.slowNodes)
	others := float64(sum(m.counts[m.slowNodes:])) / float64(m.options.nodes-m.slowNodes)
	return slow / max(1, others)
}

func maxOverMean(counts []int) float64 {
	return float64(slices.Max(counts)) * float64(len(counts)) / max(1, float64(sum(counts)))
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
