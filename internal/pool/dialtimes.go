package pool

import "time"

const (
	// minHedgeDelay is the least time before a hedge. Lower, a moment in which this process did not run would cost
	// its nodes a second connection.
	minHedgeDelay = 5 * time.Millisecond
	// lateDialFactor is how many times the smoothed dial time a connection may take before it is hedged. Lower, more
	// connections would be made twice; higher, attempts would wait longer for one that never comes up.
	lateDialFactor = 8
	// dialTimeStep is the part of the smoothed dial time by which each connection moves it. Higher, a few late
	// connections would raise the hedge delay; lower, a change of the path would be followed late.
	dialTimeStep = 0.05
	// minDialTimeIncrease lets a smoothed dial time of 0 grow. It is far below the time of any real connection.
	minDialTimeIncrease = 50 * time.Microsecond
	// hedgesPerDial is how many hedges each dial allows. While no connection comes up, hedges add no more than this
	// part to the connections that nodes see.
	hedgesPerDial = 0.5
	// maxHedgeTokens bounds the hedges that are saved up. Higher, more could be made at once after a quiet time.
	maxHedgeTokens = 8
)

// dialTimes holds how long connections take to come up and how many hedges may be made.
type dialTimes struct {
	smoothed    time.Duration // about the median: late ones, be they a third of all, hardly move it
	hedgeTokens float64       // each hedge takes one
}

// hedgeDelay counts a dial and returns how long it may take before it is hedged.
func (p *Pool) hedgeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialTimes.hedgeTokens = min(maxHedgeTokens, p.dialTimes.hedgeTokens+hedgesPerDial)
	return max(minHedgeDelay, min(lateDialFactor*p.dialTimes.smoothed, p.connectTimeout/2))
}

// recordDialTime moves the smoothed dial time towards that of a connection that came up.
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

// takeHedge takes a hedge token and the slot of a hedge, and reports whether both were there.
func (p *Pool) takeHedge() bool {
	p.mu.Lock()
	allowed := p.dialTimes.hedgeTokens >= 1
	if allowed {
		p.dialTimes.hedgeTokens--
	}
	p.mu.Unlock()
	return allowed && p.slots.TryAcquire()
}
