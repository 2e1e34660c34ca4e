package admission

// advance ends the window when it is over. It guards against a clock that stood still, as in a suspended machine: one
// window ends, however late, so that the allowance is not cut for each window that nobody saw.
func (c *Controller) advance(now Micros) {
	if now < c.windowEnd {
		return
	}
	first := c.windowEnd == 0
	c.windowEnd = now + c.settings.Window
	if !first {
		c.endWindow()
	}
}

func (c *Controller) endWindow() {
	arrived := c.foldArrivals()
	c.smoothLag(arrived)
	c.ageTooMany()
	lag := c.windowLag
	admitted := c.admitted
	aboveTarget := c.settings.TargetLag > 0 && c.lagSamples > 0 && min(lag, c.smoothedLag) > c.settings.TargetLag
	c.windowLag = 0
	c.lagSamples = 0
	c.admitted = 0

	c.peakAdmitted *= 1 - peakDecay
	if !aboveTarget {
		c.peakAdmitted += peakSmoothing * max(0, float64(admitted)-c.peakAdmitted)
	}
	c.meanAdmitted += admittedSmoothing * (float64(admitted) - c.meanAdmitted)
	if c.cutPause > 0 {
		c.cutPause--
	}
	c.excess += excessSmoothing * (float64(arrived+1)/float64(admitted+1) - c.excess)
	if aboveTarget {
		c.cutAllowance()
	} else if c.shedding {
		c.growAllowance(lag)
	}
	if c.shedding {
		c.divideAllowance()
	}
}

// foldArrivals takes the window's arrivals into what is offered by rank, and returns their number.
func (c *Controller) foldArrivals() int {
	total := 0
	for rank, n := range c.arrived {
		total += n
		c.offered[rank] += offeredSmoothing * (float64(n) - c.offered[rank])
		c.arrived[rank] = 0
	}
	return total
}

func (c *Controller) smoothLag(arrived int) {
	if c.lagSamples > 0 {
		c.smoothedLag += (c.windowLag - c.smoothedLag) / lagSmoothingDivisor
	} else if arrived == 0 {
		c.smoothedLag /= idleLagDivisor // nothing came, nothing waited
	}
}

func (c *Controller) ageTooMany() {
	c.tooManyWindows--
	if c.tooMany {
		c.tooManyWindows = calmWindows
	}
	c.tooMany = false
}

// cutAllowance begins to shed load, or sheds more, unless the last cut is too recent to show.
func (c *Controller) cutAllowance() {
	base := c.allowance
	if !c.shedding {
		c.shedding = true
		c.calm = 0
		c.marginalCredit = 0
		base = c.meanAdmitted
	} else if c.cutPause > 0 {
		return
	}
	c.cutPause = windowsBetweenCuts
	c.allowanceAtCut = base
	c.allowance = max(c.floor(), cutFactor*base)
}

// floor is the least allowance.
func (c *Controller) floor() float64 { return max(minAllowance, minPeakShare*c.peakAdmitted) }

// growAllowance raises the allowance: fast up to near where it was cut, fast as well while the lag is far below its
// target, and slowly else.
func (c *Controller) growAllowance(lag Micros) {
	light := float64(lag) < lightLoadLag*float64(c.settings.TargetLag)
	switch {
	case c.allowance < recoveryShare*c.allowanceAtCut:
		c.allowance *= recoveryFactor
	case light && c.allowance < recoveryShare*c.peakAdmitted:
		c.allowance = c.allowance*lightLoadFactor + 1
	default:
		c.allowance = c.allowance*growthFactor + 1
	}
}

// divideAllowance finds the rank up to which all are admitted, by what was offered lately, and the part of the next.
// It ends the shedding of load when there was enough for all for long.
func (c *Controller) divideAllowance() {
	left := c.allowance
	for rank, n := range c.offered {
		if n > left {
			c.marginalRank = rank
			c.marginalPart = left / n
			c.calm = 0
			return
		}
		left -= n
	}
	c.marginalRank = len(c.offered) - 1
	c.marginalPart = 1
	c.calm++
	if c.calm >= calmWindows {
		c.shedding = false
	}
}
