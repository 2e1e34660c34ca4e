// Package quota implements one process's quota of a rate limit that several processes share. A quota is a token bucket
// that is refilled at the process's share of the limit's rate, up to the process's share of the limit's burst.
//
// # Rule
//
// Each process has a share of the rate and of the burst. The shares of all processes that may run at the same time add
// up to at most one. The token bucket of the whole limit is called the store. An overdraft that the store allows counts
// as part of the burst. A quota starts empty, because a previous process with the same share may have just spent it.
// Units that were taken and have not arrived at a storage node are deducted from the quota's burst: until they arrive,
// the store may be full and gain no tokens.
//
// The processes need neither messages nor knowledge of each other. In any window, all processes together take at most
// the burst plus the refill at the limit's rate. This holds if processes die, start, stall or lose their connections,
// and for any delay until units arrive. For each quota, the sum of its tokens and its units in transit stays within its
// share of the store's level. The sum grows only when the store's level does, and it falls when units arrive, as the
// store's level does. The units that a killed process has in transit arrive immediately or never, because the
// connections of the process end with it.
//
// A quota needs memory for each request in transit. Other processes cannot use the quota of a process that is idle or
// is not running.
//
// # State and owner
//
// A Quota belongs to one volume of the scheduler and is lost at a restart. It does no I/O, reads no clock and is not
// safe for concurrent use.
//
// # Units
//
// Units are the size of requests. Rates are in units per second.
package quota

import "time"

// Time is a time on the caller's clock. It is an alias, so that a time.Duration or scheduler.Time can be used without
// conversion.
type Time = time.Duration

// Limit is the rate limit that all processes share.
type Limit struct {
	Rate  float64 // units per second; 0 for no limit
	Burst float64 // size of the shared token bucket in units, including its overdraft
}

// Quota is one process's quota of a Limit. The zero value is a quota without a limit that is empty at time 0.
type Quota struct {
	limit      Limit
	share      float64 // part of the limit, from 0 to 1
	tokens     float64 // units that may be taken
	refilledAt Time

	inTransit float64            // units that were taken and not settled
	requests  map[uint64]float64 // units in transit by request; may be nil
}

// New returns a quota that is empty at the time now.
func New(now Time) Quota { return Quota{refilledAt: now} }

// Refill adds the tokens for the time since the previous call of Refill, at the limit and share given in the previous
// call. It then switches to the given limit and share. A larger limit or share thus has no effect on the time before
// this call.
func (q *Quota) Refill(now Time, limit Limit, share float64) {
	q.tokens += q.limit.Rate * q.share * (now - q.refilledAt).Seconds()
	q.tokens = min(q.tokens, q.limit.Burst*q.share-q.inTransit, limit.Burst*share-q.inTransit)
	q.limit = limit
	q.share = share
	q.refilledAt = now
}

// Tokens returns the units that may be taken. They are below 0 if more units are in transit than the quota's burst.
func (q *Quota) Tokens() float64 { return q.tokens }

// TimeToFill returns the seconds in which the quota is full again if no units are taken, 0 without a limit. Units in
// transit count as taken.
func (q *Quota) TimeToFill() float64 {
	if q.limit.Rate <= 0 {
		return 0
	}
	missing := q.limit.Burst*q.share - q.inTransit - q.tokens
	return max(0, missing) / (q.limit.Rate * q.share)
}

// Owe takes units that were taken before this quota began.
func (q *Quota) Owe(units float64) { q.tokens -= units }

// Allows reports whether the given number of units may be taken now.
func (q *Quota) Allows(units float64) bool {
	return q.limit.Rate <= 0 || q.tokens >= units
}

// Take takes the units of a request, which are then in transit. Without a limit, Take does nothing.
func (q *Quota) Take(request uint64, units float64) {
	if q.limit.Rate <= 0 {
		return
	}
	if q.requests == nil {
		q.requests = map[uint64]float64{}
	}
	q.requests[request] += units
	q.tokens -= units
	q.inTransit += units
}

// Settle records that the units of a request have arrived, or never will, and returns the units. Settle or Refund must
// be called once for each request that took units. Further calls return 0 and do nothing.
func (q *Quota) Settle(request uint64) (units float64) {
	units = q.requests[request]
	delete(q.requests, request)
	q.inTransit -= units
	if len(q.requests) == 0 {
		q.inTransit = 0 // remove rounding errors
	}
	return units
}

// Refund settles a request whose units were not used, and adds the units to the quota again.
func (q *Quota) Refund(request uint64) { q.tokens += q.Settle(request) }
