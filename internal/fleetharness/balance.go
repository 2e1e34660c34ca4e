package fleetharness

import (
	"math/rand/v2"
	"slices"
)

const (
	// balanceWindowS is the length of the window in which load is checked for balance, in seconds. In a shorter window,
	// chance alone makes the load uneven. A longer window makes the measured time until balance too coarse.
	balanceWindowS = 2.0
	// balanceStepS is the time between the starts of consecutive windows, in seconds.
	balanceStepS = 0.25
	// minHitShare is the fraction of the mean load that the nodes affected by an event must receive again.
	minHitShare = 0.8
	// maxOverRandom bounds the load of the busiest node as a multiple of its load under random placement.
	maxOverRandom = 1.2
	// randomDraws is the number of random placements of a phase to compare with. The worst second of a single placement
	// varies by a tenth.
	randomDraws = 41
)

// balancedAfter returns the time from an event's end until load is balanced again, in seconds. Load is balanced when
// the affected nodes receive at least minHitShare of the mean load and the busiest node at most maxOverRandom times its
// load under random placement. The result is -1 if load does not become balanced within the run.
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

// isBalanced reports whether load is balanced in the window that starts at from. hitNodes are the nodes that the event
// affected.
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

// randomWorstSecond returns the median, over random placements, of the worst second of a phase. A placement assigns
// each request to a random node that was usable throughout that second.
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

// usableNodes returns the indexes of the nodes that serve all brokers throughout an interval, or of all nodes if there
// are no such nodes.
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

// keepsOut reports whether an event prevents a node from serving any broker during a part of an interval.
func (s *Scenario) keepsOut(node int, from, to float64) bool {
	return slices.ContainsFunc(s.Events, func(event Event) bool {
		end := event.AtS + event.DurationS
		if event.DurationS == 0 {
			end = s.DurationS
		}
		return event.keepsOut() && slices.Contains(event.Nodes, node) && event.AtS < to && end > from
	})
}

// keepsOut reports whether an event prevents its nodes from serving any broker.
func (e Event) keepsOut() bool {
	unusable := []EventKind{NodeSilent, NodeAnswersLost, NodeCrash, NodeDrain}
	return slices.Contains(unusable, e.Kind) && len(e.Brokers) == 0
}

// allNodes returns the indexes of all nodes.
func (f *Fleet) allNodes() []int {
	indexes := make([]int, len(f.nodes))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// randomMaxOverMean returns maxOverMean after a draw that places each counted request on a random node of indexes.
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

// maxOverMean returns the largest count divided by the mean, and the number of counts that are 0.
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
