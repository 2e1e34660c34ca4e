package balancer

import (
	"iter"
	"time"
)

const (
	// provenTime is how long an answer proves that a replica is alive. With a longer time, requests that can't be
	// retried go to replicas that have died since. With a shorter time, a broker with few requests finds no
	// proven replica.
	provenTime = 2 * time.Second
	// provenLead is how many turns a proven replica may be ahead of the mean position. With a larger lead, a broker
	// whose requests can't be retried sends all of them to the same few replicas. With a smaller lead, it sends more
	// of them to replicas that are not proven.
	provenLead = 2.0
	// provenChoices is the number of replicas with the latest answers that nextProven considers. Of these it takes
	// the replica with the oldest answer, because the replica with the latest answer has just had a request. With
	// more choices, the answer of the chosen replica is older. With fewer choices, brokers choose the same replica.
	provenChoices = 3
	// alarmTime is the length of an alarm, which begins when a replica is found unresponsive. During an alarm,
	// nextProven takes the replica with the latest answer, and provenTime, provenLead and provenChoices do not
	// apply. With a longer time, load is uneven for longer. With a shorter time, requests that can't be retried are
	// lost when a zone fails.
	alarmTime = 5 * time.Second
	// lastResort is added to the position of an unresponsive replica, so that the replica is used only if no other
	// replica can serve. It is larger than positions become. With a smaller value, a long-running broker would send
	// requests to unresponsive replicas too.
	lastResort = 1e12
)

// Candidates yields the replicas in order of preference. The caller takes the first replica that can serve the request.
// proven is set for a request that can't be retried or that already is a retry: replicas that answered recently come
// first. For any other request, an unresponsive replica whose trial is due comes first. The other replicas of the
// subset follow in turn. Replicas outside the subset come last.
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

// nextTrial returns an unresponsive replica whose trial is due. It returns nil if there is none, or if the request must
// not be used as a trial because proven is set.
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

// nextProven returns a replica that answered recently, for a request with proven set. It returns nil if there is none.
// During an alarm it returns the replica with the latest answer. Otherwise it returns the replica with the third latest
// answer or, if fewer than three replicas qualify, the one with the oldest answer. The replica with the latest answer
// has just had a request. If every broker sent a second request to it, that replica would get a burst.
func (b *Balancer) nextProven(now Time) *Replica {
	if !b.proven {
		return nil
	}
	var latest [provenChoices]*Replica // replicas with the latest answers, the latest first
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

// isSound reports whether a replica that was not yet yielded shows no sign of a fault: it has answered before, has no
// attempt in flight, has the lowest priority value of the subset and has its whole weight.
func (b *Balancer) isSound(r *Replica) bool {
	if r.visit == b.visits || r.lastAnswer == 0 || r.Unresponsive() || r.InFlight > 0 {
		return false
	}
	return r.Priority == b.subset[0].Priority && r.factor >= 1
}

// isProven reports whether a replica answered recently and is at most provenLead turns ahead of the mean.
func (r *Replica) isProven(now Time, meanPosition float64) bool {
	return now-r.lastAnswer <= provenTime && r.position-meanPosition <= provenLead/r.weight()
}

// meanPosition returns the mean position of the responsive replicas of the subset.
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

// nextInTurn returns the replica with the next turn among the replicas of the subset that were not yet yielded and have
// the lowest priority value of these. It returns nil if there is none.
func (b *Balancer) nextInTurn(Time) *Replica {
	var best *Replica
	earliest := 0.0
	isFirst := !b.anyUnresponsive // best has the first position of the whole subset
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

// RecordSent records that a request was sent to a replica. It advances the replica's position by one turn.
func (b *Balancer) RecordSent(now Time, r *Replica) {
	turn := 1 / r.weight()
	r.position = max(r.position, b.virtualNow-turn*b.jitter(now, r))
	if r == b.earliest { // no position is smaller, so neither is the mean, which need not be computed
		b.virtualNow = max(b.virtualNow, r.position)
	} else {
		b.virtualNow = max(b.virtualNow, min(r.position, b.meanPosition()))
	}
	b.earliest = nil
	r.position += turn
	b.requests.record(now)
	b.resizeSubset(now)
}

// jitter returns a pseudorandom number from 0 to below 1, which differs between brokers, replicas and times.
func (b *Balancer) jitter(now Time, r *Replica) float64 {
	return unitInterval(hash(b.options.Name, r.Name, uint64(now)))
}
