package pool

import "time"

const (
	// minHedgeDelay is the minimum time before a dial is hedged. With a smaller value, a short pause of this process
	// would cause unnecessary second connections to its nodes.
	minHedgeDelay = 5 * time.Millisecond
	// lateDialFactor is the multiple of the smoothed dial time after which a dial is hedged. With a smaller value, more
	// connections would be made twice. With a larger value, attempts would wait longer for a connection that is never
	// established.
	lateDialFactor = 8
	// dialTimeStep is the fraction of the smoothed dial time by which each measured dial time moves it. With a larger
	// value, a few late connections would raise the hedge delay. With a smaller value, the smoothed dial time would
	// follow a change of the network path too slowly.
	dialTimeStep = 0.05
	// minDialTimeIncrease allows a smoothed dial time of 0 to grow. It is far below any real dial time.
	minDialTimeIncrease = 50 * time.Microsecond
	// hedgesPerDial is the number of hedge tokens added per dial. If no connections are established, hedges increase
	// the number of connections that nodes see by at most this fraction, after the saved tokens are used.
	hedgesPerDial = 0.5
	// maxHedgeTokens bounds the saved hedge tokens. A larger value would allow more hedges at once after a quiet time.
	maxHedgeTokens = 8
)

// dialTimes tracks how long connections take to be established and how many hedges are allowed.
type dialTimes struct {
	smoothed    time.Duration // close to the median; even if a third of all connections are late, it hardly changes
	hedgeTokens float64       // each hedge takes one token
}

// hedgeDelay adds hedge tokens for a new dial and returns the time after which the dial is hedged. This time is at most
// half of the connect timeout, but at least minHedgeDelay.
func (p *Pool) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialTimes.hedgeTokens = min(maxHedgeTokens, p.dialTimes.hedgeTokens+hedgesPerDial)
	return max(minHedgeDelay, min(lateDialFactor*p.dialTimes.smoothed, p.connectTimeout/2))
}

// recordDialTime moves the smoothed dial time one step toward the time that a connection took.
func (p *Pool) recordDialTime(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	smoothed := p.dialTimes.smoothed
	step := time.Duration(dialTimeStep * float64(smoothed))
	if took < smoothed {
		p.dialTimes.smoothed -= step
	} else {
		p.dialTimes.smoothed += max(step, minDialTimeIncrease)
	}
}

// takeHedge takes a hedge token and then a slot for the hedge. It reports whether both were available.
func (p *Pool) takeHedge() bool {
	p.mu.Lock()
	allowed := p.dialTimes.hedgeTokens >= 1
	if allowed {
		p.dialTimes.hedgeTokens--
	}
	p.mu.Unlock()
	return allowed && p.slots.TryAcquire()
}
