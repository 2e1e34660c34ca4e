package scheduler

import "math"

// smoothing is the weight of the newest measurement in a running mean, from 0 to 1. With a larger value a
// single burst or pause makes the means of demand and node latency jump. With a smaller value they follow an
// outage several ticks late.
const smoothing = 0.2

// bucketCapacity returns the capacity of a volume's token bucket in units: the larger of the plan's normal
// and reserved rates, over a second, plus one request of the largest size. The rate is not split over
// brokers, since a volume may send all its requests through one broker.
func bucketCapacity(plan *Plan, maxUnits float64) float64 {
	return max(plan.Rate, plan.ReservedRate) + maxUnits
}

// refillTokens grants tokens to the active volumes by equation 12 of the paper by Pencheva and Atanasov (see
// the package comment). The sum of demand includes the demand that peers reported. elapsed is the time since
// the last tick in seconds.
func (s *Scheduler) refillTokens(elapsed float64) {
	capacity := s.availableCapacity()
	totalDemand := 0.0
	for _, v := range s.volumes.active {
		totalDemand += v.arrivedUnits + v.peerDemand.current(s.ticks)
	}
	decay := math.Exp(-elapsed)
	for _, v := range s.volumes.active {
		v.tokens = min(v.tokens+v.grant(elapsed, totalDemand, capacity), v.capacity)
		v.demand += smoothing * (v.arrivedUnits - v.demand)
		v.arrivedUnits = 0
		v.excess *= decay
		v.caughtUpTick = s.ticks
		v.caughtUpAt = s.lastTickAt
	}
}

// grant returns the tokens u(t) that equation 12 grants a volume, in units:
//
//	u(t) = guarantee + V(t) / sum of V(t) * (W(t) - tokens)
//
// The guarantee is this broker's even part of the volume's reserved rate over elapsed seconds. V(t) is the
// number of the volume's units that arrived in this tick. The sum is totalDemand, over all active volumes.
// W(t) is capacity, by equation 11. A negative second term counts as 0.
func (v *volume) grant(elapsed, totalDemand, capacity float64) float64 {
	grant := v.plan.ReservedRate / v.brokers * elapsed
	if totalDemand > 0 {
		grant += max(0, v.arrivedUnits/totalDemand*(capacity-v.tokens))
	}
	return grant
}

// valueShare returns the fraction of its value that a request with the given units earns. Within this
// broker's part of the volume's reserved rate the fraction is 1. Beyond it, the fraction falls as the
// volume's excess grows relative to its normal rate. For the value, the broker's part is proportional to its
// part of the volume's demand, and at least the even part.
func (s *Scheduler) valueShare(v *volume, units float64) float64 {
	s.refillReserved(v)
	if v.plan.ReservedRate > 0 && v.reserved.tokens >= units {
		v.reserved.tokens -= units
		return 1
	}
	v.excess += units
	normalRate := max(v.plan.Rate, v.plan.ReservedRate) / v.brokers
	spare, share := s.settings.SpareWeight, s.settings.ShareWeight
	return spare + (share-spare)/(1+v.excess/max(1, normalRate))
}

// refillReserved refills the token bucket of this broker's part of a volume's reserved rate.
func (s *Scheduler) refillReserved(v *volume) {
	rate := s.reservedRate(v)
	v.reserved.refill(s.now, rate, rate+s.settings.MaxUnits)
}

// missingReserved returns the units that a volume's reserved bucket lacks now.
func (s *Scheduler) missingReserved(v *volume) float64 {
	s.refillReserved(v)
	return max(0, s.reservedRate(v)+s.settings.MaxUnits-v.reserved.tokens)
}

// reservedRate returns this broker's part of a volume's reserved rate, by demand, in units a second.
func (s *Scheduler) reservedRate(v *volume) float64 {
	return v.plan.ReservedRate * v.demandShare(v.peerDemand.current(s.ticks))
}

// refill adds the units that a rate, in units a second, yields since the last refill, up to a capacity in
// units.
func (b *reservedBucket) refill(now Time, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// demandShare estimates the fraction of a volume's demand that arrives at this broker. The result is at least
// the broker's even part. peerDemand is in units a tick.
func (v *volume) demandShare(peerDemand float64) float64 {
	share := 1 / v.brokers
	if peerDemand > 0 || v.demand > 0 {
		share = max(share, (v.demand+1)/(v.demand+peerDemand+v.brokers))
	}
	return share
}

// mayForward reports whether a request's volume has enough tokens and quota, whether the request is the next
// of its key, and whether it may run again if it was sent before. With overdraft, the volume's tokens may
// fall below zero by the capacity of the bucket. A retry needs no tokens, because its first attempt has paid.
func (s *Scheduler) mayForward(r *request, overdraft bool) bool {
	v := r.volume
	v.catchUp(s.ticks, s.lastTickAt)
	floor := 0.0
	if overdraft {
		floor = -v.capacity
	}
	if r.attempts == 0 && v.tokens-r.Units < floor {
		return false
	}
	if !r.limitCharged && r.isLimited() && !s.refillQuota(v).Allows(r.Units) {
		return false
	}
	return r.isNextOfKey(s.now) && (r.attempts == 0 || s.mayRetry(r))
}
