// Package quota keeps one process's quota of a rate limit that many processes share: a token bucket that is
// refilled at the process's share of the limit's rate, up to its share of the limit's burst.
//
// The rule. Each process has a share of the rate and of the burst; the shares of all that may run at a time
// add up to one at the most. A quota starts empty, since whoever had that share before may have spent it just
// now. An overdraft that the limit's store allows counts as a part of the burst. Units that were taken and
// have not arrived at a storage node count against the burst: the store may still be full, and gains nothing
// meanwhile.
//
// What it promises needs no message, nor that any process knows of another: over any window all processes
// together take no more than the burst and what the rate gives, whoever dies, starts, stalls or is cut off,
// and however late what was taken arrives. For each quota, its tokens and what is in transit stay within its
// share of the store: they grow only as the store does, and fall when units arrive, as the store does. What a
// process that is killed has in transit arrives then or never: its connections end with it.
//
// What it costs: memory for each request in transit. The quota of a process that does not use it is lost to
// the others, and so is that of a process that might run and does not.
//
// State and its owner. A Quota belongs to one volume of the scheduler and is lost at a restart. It does no
// I/O, reads no clock and is not safe for concurrent use. Units are the size of requests, rates are in units
// a second.
package quota

import "time"

// Time is a point on the caller's clock: an alias, so that time.Duration and scheduler.Time pass.
type Time = time.Duration

// Limit is the rate limit that all processes share.
type Limit struct {
	Rate  float64 // units a second; 0 for no limit
	Burst float64 // units that the store holds, with those of its overdraft
}

// Quota is one process's quota of a Limit. The zero value is an empty quota since time 0, without a limit.
type Quota struct {
	limit      Limit
	share      float64 // of the limit, from 0 to 1
	tokens     float64 // units that may be taken
	refilledAt Time

	inTransit float64            // units that were taken and have not arrived
	requests  map[uint64]float64 // of them, by request; nil for none
}

// New returns a quota that is empty now.
func New(now Time) Quota { return Quota{refilledAt: now} }

// Refill brings a quota up to now by the limit and share of the last call, and goes over to those given: a
// limit or a share that rises gives nothing for the time before.
func (q *Quota) Refill(now Time, limit Limit, share float64) {
	q.tokens += q.limit.Rate * q.share * (now - q.refilledAt).Seconds()
	q.tokens = min(q.tokens, q.limit.Burst*q.share-q.inTransit, limit.Burst*share-q.inTransit)
	q.limit = limit
	q.share = share
	q.refilledAt = now
}

// Allows tells whether so many units may be taken now.
func (q *Quota) Allows(units float64) bool {
	return q.limit.Rate <= 0 || q.tokens >= units
}

// Take takes a request's units, which are in transit from now on. Without a limit nothing is noted.
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

// Settle notes that what a request took has arrived, or never will, and returns it. Each request that took
// something is settled once; further calls do nothing.
func (q *Quota) Settle(request uint64) (units float64) {
	units = q.requests[request]
	delete(q.requests, request)
	q.inTransit -= units
	if len(q.requests) == 0 {
		q.inTransit = 0 // drops what rounding left
	}
	return units
}

// Refund gives back what a request took and never used.
func (q *Quota) Refund(request uint64) { q.tokens += q.Settle(request) }
