package admission

// advance ends the current window once now is past the end of the window. If the clock has jumped over several windows,
// as after a machine was suspended, only one window ends. Otherwise the means would decay and the allowance would
// change in windows without measurements.
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

// foldArrivals adds the window's arrivals to the means of offered requests by rank, and returns the number of arrivals.
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
		c.smoothedLag /= idleLagDivisor // no work arrived, so no work waited
	}
}

func (c *Controller) ageTooMany() {
	c.tooManyWindows--
	if c.tooMany {
		c.tooManyWindows = calmWindows
	}
	c.tooMany = false
}

// cutAllowance starts load shedding, or reduces the allowance further. Within windowsBetweenCuts windows of the last
// cut it does not reduce the allowance, because that cut has not had its full effect.
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

// floor returns the minimum allowance.
func (c *Controller) floor() float64 { return max(minAllowance, minPeakShare*c.peakAdmitted) }

// growAllowance raises the allowance. The allowance grows fast until it is near its value before the last cut. It also
// grows fast while the lag is far below its target and the allowance is well below the peak. Otherwise it grows slowly.
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

// divideAllowance determines, from the recently offered requests, the ranks that are fully admitted and the part of the
// next rank that is admitted. It ends load shedding after calmWindows successive windows with enough allowance for all
// ranks.
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
