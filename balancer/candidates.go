package balancer

import (
	"iter"
	"time"
)

const (
	// provenTime is for how long an answer proves that a replica lives. Higher, requests that can't be
	// retried go to replicas that died meanwhile; lower, a broker with few requests finds none proven.
	provenTime = 2 * time.Second
	// provenLead is how many turns a proven replica may be ahead of the mean. Higher, a broker that has only
	// requests that can't be retried meets the same few replicas; lower, it sends more of them to replicas
	// that are not proven.
	provenLead = 2.0
	// provenChoices is from how many of the last replicas that answered one is taken: the last of them, since
	// the first has just had a request. Higher, the answer is older; lower, brokers meet at the same replica.
	provenChoices = 3
	// alarmTime is for how long after a replica was found unresponsive the replica that answered last is
	// taken without these bounds. Higher, load is uneven for longer; lower, requests that can't be retried
	// are lost with a zone.
	alarmTime = 5 * time.Second
	// lastResort is added to the position of an unresponsive replica, in turns: it is taken where nothing
	// else may serve. It is beyond any position; lower, a long-running broker would take such replicas in
	// turn.
	lastResort = 1e12
)

// Candidates yields the replicas in the order in which they are to be asked; the caller takes the first that
// may serve. With proven, for a request that can't be retried or was, those that answered lately come first,
// and none is asked for a trial. Replicas beyond the subset follow last.
func (b *Balancer) Candidates(now Time, proven bool) iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		if b.evenStale && now-b.evenedAt >= evenPeriod {
			b.chooseSubset(now)
		}
		b.evaluate(now)
		b.visits++
		b.proven = proven
		for _, next := range [...]func(Time) *Replica{b.nextTrial, b.nextProven, b.nextInTurn} {
			for r := next(now); r != nil; r = next(now) {
				r.visit = b.visits
				if !yield(r) {
					return
				}
			}
		}
		if len(b.subset) == len(b.replicas) {
			return
		}
		for _, r := range b.replicas {
			if r.visit != b.visits && !yield(r) {
				return
			}
		}
	}
}

// nextTrial is an unresponsive replica that is due to be asked once more, by a request that may run twice;
// nil for none.
func (b *Balancer) nextTrial(now Time) *Replica {
	if b.proven || !b.anyUnresponsive {
		return nil
	}
	for _, r := range b.subset {
		untried := r.Unresponsive() && r.recovery == 0 && r.InFlight == 0
		if r.visit != b.visits && untried && now >= r.nextTrial {
			return r
		}
	}
	return nil
}

// nextProven is a replica that answered lately, for a request that may not run twice; nil for none. It is the
// one that did last while there is an alarm; else the third last, since the last has just had a request, and
// two within a moment add up over brokers.
func (b *Balancer) nextProven(now Time) *Replica {
	if !b.proven {
		return nil
	}
	var latest [provenChoices]*Replica // those that answered last, the latest first
	mean := b.meanPosition()
	alarm := b.alarmAt > 0 && now-b.alarmAt < alarmTime
	for _, r := range b.subset {
		if !b.isSound(r) || !alarm && !r.isProven(now, mean) {
			continue
		}
		for i, other := range latest {
			if other == nil || r.lastAnswer > other.lastAnswer {
				copy(latest[i+1:], latest[i:])
				latest[i] = r
				break
			}
		}
	}
	if alarm {
		return latest[0]
	}
	for i := len(latest) - 1; i > 0; i-- {
		if latest[i] != nil {
			return latest[i]
		}
	}
	return latest[0]
}

// isSound tells whether nothing speaks against a replica that was not yet yielded: it answered before, owes
// no answer, goes first by priority and has its whole weight.
func (b *Balancer) isSound(r *Replica) bool {
	if r.visit == b.visits || r.lastAnswer == 0 || r.Unresponsive() || r.InFlight > 0 {
		return false
	}
	return r.Priority == b.subset[0].Priority && r.factor >= 1
}

// isProven tells whether a replica answered lately and is not too many turns ahead of the mean.
func (r *Replica) isProven(now Time, meanPosition float64) bool {
	return now-r.lastAnswer <= provenTime && r.position-meanPosition <= provenLead/r.weight()
}

// meanPosition is the mean position of the replicas that are not unresponsive.
func (b *Balancer) meanPosition() float64 {
	sum, count := 0.0, 0.0
	for _, r := range b.subset {
		if !r.Unresponsive() {
			sum += r.position
			count++
		}
	}
	return sum / max(1, count)
}

// nextInTurn is the replica of the subset whose turn comes first among those that were not yet yielded; nil
// for none.
func (b *Balancer) nextInTurn(Time) *Replica {
	var best *Replica
	earliest := 0.0
	isFirst := !b.anyUnresponsive // no position of the subset is before that of best
	for _, r := range b.subset {
		if r.visit == b.visits {
			isFirst = false
			continue
		}
		if best != nil && r.Priority > best.Priority {
			isFirst = false
			break
		}
		turn := r.position
		if r.InFlight > 0 {
			turn += float64(r.InFlight) / r.weight()
			isFirst = false
		}
		if r.Unresponsive() && r.recovery == 0 && r.factor <= b.options.TrialShare {
			turn += lastResort
		}
		if best == nil || turn < earliest {
			best = r
			earliest = turn
		}
	}
	b.earliest = nil
	if isFirst {
		b.earliest = best
	}
	return best
}

// RecordSent notes that a request went to a replica.
func (b *Balancer) RecordSent(now Time, r *Replica) {
	turn := 1 / r.weight()
	r.position = max(r.position, b.virtualNow-turn*b.jitter(now, r))
	if r == b.earliest { // the mean is not before it either: the sum over the subset is spared
		b.virtualNow = max(b.virtualNow, r.position)
	} else {
		b.virtualNow = max(b.virtualNow, min(r.position, b.meanPosition()))
	}
	b.earliest = nil
	r.position += turn
	b.requests.record(now)
	b.resizeSubset(now)
}

// jitter is a random number from 0 to below 1 that differs between brokers and times.
func (b *Balancer) jitter(now Time, r *Replica) float64 {
	return unitInterval(hash(b.options.Name, r.Name, uint64(now)))
}
