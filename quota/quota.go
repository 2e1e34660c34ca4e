// Package quota keeps one process's part of a limit that many share: a store of units that starts full and is filled at a rate up to
// its burst. It does no I/O, reads no clock and is not safe for concurrent use.
//
// The rule. Each process has a share of the rate and the burst; the shares of all that may live at a time add up to one at the most. A
// part starts empty, since whoever had that share before may have spent it just now, a slack by which the store may be overdrawn
// included: so a slack is a part of the burst. What was taken and has not reached a storage node yet counts against the burst: the
// store may still be full, and gains nothing meanwhile.
//
// What it promises needs no message, nor that any process knows of another: over any window all processes together draw no more
// than the burst and what the rate gives, whoever dies, starts, stalls or is cut off, and however late what was taken arrives. For
// each part, what it has and what is on its way stay within its share of the store: they grow only as the store does, and fall when
// units arrive, as the store does. What a process that is killed has on its way arrives then or never: its connections end with it.
//
// What it costs: memory for each request on its way. A part that its process does not use is lost to the others, and so is the share of a process that may live and
// does not.
package quota

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Limit is what all processes share.
type Limit struct {
	Rate  float64 // units a second; 0 for no limit
	Burst float64 // units that the store holds, with those by which it may be overdrawn
}

// Quota is one process's part of a Limit. The zero value is an empty part since time 0, without a limit.
type Quota struct {
	limit Limit
	share float64
	level float64 // units that it has
	at    Time    // up to which it is filled

	aloft float64            // units that were taken and have not arrived
	each  map[uint64]float64 // of them, by request; nil for none
}

// New returns a part that is empty now.
func New(now Time) Quota { return Quota{at: now} }

// Refill brings a part up to now, by the limit and share of the last call, and goes over to those given: a limit or a share that rises
// gives nothing for the time before.
func (p *Quota) Refill(now Time, limit Limit, share float64) {
	p.level += p.limit.Rate * p.share * (now - p.at).Seconds()
	p.level = min(p.level, p.limit.Burst*p.share-p.aloft, limit.Burst*share-p.aloft)
	p.limit, p.share, p.at = limit, share, now
}

// Allows tells whether so many units may be taken now.
func (p *Quota) Allows(units float64) bool {
	return p.limit.Rate <= 0 || p.level >= units
}

// Take takes a request's units, which are on their way from now on. Without a limit nothing is noted.
func (p *Quota) Take(request uint64, units float64) {
	if p.limit.Rate <= 0 {
		return
	}
	if p.each == nil {
		p.each = map[uint64]float64{}
	}
	p.each[request] += units
	p.level, p.aloft = p.level-units, p.aloft+units
}

// Settle notes that what a request took has arrived, or never will. It is for each request that took something, and may come again.
func (p *Quota) Settle(request uint64) (units float64) {
	units = p.each[request]
	delete(p.each, request)
	if p.aloft -= units; len(p.each) == 0 {
		p.aloft = 0 // no error of rounding stays
	}
	return units
}

// Refund gives back what a request took, where it counts for nothing.
func (p *Quota) Refund(request uint64) { p.level += p.Settle(request) }
