package fleetharness

import (
	"math/rand/v2"
	"slices"
)

const (
	// balanceWindowS is over how long load is looked at for being balanced, in seconds. Shorter, chance alone makes it
	// uneven; longer, the time until it is balanced is too coarse.
	balanceWindowS = 2.0
	// balanceStepS is the time between two such looks, in seconds.
	balanceStepS = 0.25
	// minHitShare is the part of the mean that nodes which an event hit must get again.
	minHitShare = 0.8
	// maxOverRandom is how many times more than with random placement the fullest node may get.
	maxOverRandom = 1.2
	// randomDraws is how often a phase is placed at random for the comparison: a worst second of one draw scatters by a
	// tenth.
	randomDraws = 41
)

// balancedAfter is how long after an event's end load is balanced again, in seconds: the nodes that it hit get
// minHitShare of the mean or more, and the fullest no more than maxOverRandom times what random placement gives it. It
// is -1 for not within the run.
func (f *Fleet) balancedAfter(event Event) float64 {
	if event.DurationS == 0 {
		return 0
	}
	end := event.AtS + event.DurationS
	for from := end; from+balanceWindowS <= f.scenario.DurationS; from += balanceStepS {
		if f.isBalanced(from, event.Nodes) {
			return from - end
		}
	}
	return -1
}

// isBalanced reports whether load is balanced in the window from a time on, after an event that hit some nodes.
func (f *Fleet) isBalanced(from float64, hitNodes []int) bool {
	f.recorder.mu.Lock()
	counts := f.attemptsBetween(from, from+balanceWindowS)
	f.recorder.mu.Unlock()
	sum, hit := 0, 0
	for i, count := range counts {
		sum += count
		if slices.Contains(hitNodes, i) {
			hit += count
		}
	}
	if sum == 0 {
		return false
	}
	random := rand.New(rand.NewPCG(f.scenario.Seed, balancedLoadStream))
	ratio, _ := maxOverMean(counts)
	if ratio > maxOverRandom*randomMaxOverMean(random, counts, f.allNodes()) {
		return false
	}
	mean := float64(sum) / float64(len(counts))
	return len(hitNodes) == 0 || float64(hit) >= minHitShare*mean*float64(len(hitNodes))
}

// randomWorstSecond is the median over draws of a phase's worst second, had each request gone to a random node of those
// that no event kept from serving for any of that second.
func (f *Fleet) randomWorstSecond(from float64, bySecond [][]int) float64 {
	random := rand.New(rand.NewPCG(f.scenario.Seed, randomLoadStream))
	worst := make([]float64, randomDraws)
	for i, second := range bySecond {
		usable := f.usableNodes(from+float64(i), from+float64(i)+1)
		for draw := range worst {
			worst[draw] = max(worst[draw], randomMaxOverMean(random, second, usable))
		}
	}
	slices.Sort(worst)
	return worst[randomDraws/2]
}

// usableNodes are the indexes of nodes that serve all brokers through a stretch of the run, or of all if there is none.
func (f *Fleet) usableNodes(from, to float64) []int {
	startedAt := f.recorder.start()
	var indexes []int
	for i, n := range f.nodes {
		joinsLater := n.startedAt > 0 && (n.startedAt-startedAt).Seconds() > from
		if !joinsLater && !f.scenario.keepsOut(n.number, from, to) {
			indexes = append(indexes, i)
		}
	}
	if len(indexes) == 0 {
		return f.allNodes()
	}
	return indexes
}

// keepsOut reports whether an event keeps a node from serving any broker for some of a stretch.
func (s *Scenario) keepsOut(node int, from, to float64) bool {
	return slices.ContainsFunc(s.Events, func(event Event) bool {
		end := event.AtS + event.DurationS
		if event.DurationS == 0 {
			end = s.DurationS
		}
		return event.keepsOut() && slices.Contains(event.Nodes, node) && event.AtS < to && end > from
	})
}

// keepsOut reports whether an event keeps its nodes from serving any broker.
func (e Event) keepsOut() bool {
	unusable := []EventKind{NodeSilent, NodeAnswersLost, NodeCrash, NodeDrain}
	return slices.Contains(unusable, e.Kind) && len(e.Brokers) == 0
}

// allNodes are the indexes of all nodes.
func (f *Fleet) allNodes() []int {
	indexes := make([]int, len(f.nodes))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// randomMaxOverMean is what maxOverMean would be, had each of these requests gone to a random one of some nodes.
func randomMaxOverMean(random *rand.Rand, counts, indexes []int) float64 {
	drawn := make([]int, len(counts))
	for _, count := range counts {
		for range count {
			drawn[indexes[random.IntN(len(indexes))]]++
		}
	}
	ratio, _ := maxOverMean(drawn)
	return ratio
}

// maxOverMean is the largest count over the mean, and how many are 0.
func maxOverMean(counts []int) (ratio float64, idle int) {
	sum, largest := 0, 0
	for _, count := range counts {
		sum += count
		largest = max(largest, count)
		if count == 0 {
			idle++
		}
	}
	if sum == 0 {
		return 0, idle
	}
	return float64(largest) * float64(len(counts)) / float64(sum), idle
}
