package admission

// reservedCapacity follows what a volume has left of its reserved capacity: a token bucket.
type reservedCapacity struct {
	units     float64
	updatedAt Micros
}

// takeReserved reports whether a request is within its volume's reserved capacity, and takes it from there.
func (c *Controller) takeReserved(now Micros, r *Request) bool {
	rate := c.plans[r.Plan].ReservedRate / float64(max(1, r.Brokers))
	if rate <= 0 {
		return false
	}
	capacity := rate + c.maxUnits
	v := c.volumes[r.Volume]
	if v == nil {
		if len(c.volumes) >= c.settings.MaxVolumes && !c.forgetIdleVolume(now) {
			return false // more volumes than are followed: those that came first keep their reserved capacity
		}
		v = &reservedCapacity{units: capacity, updatedAt: now}
		c.volumes[r.Volume] = v
		c.sweepOrder = append(c.sweepOrder, r.Volume)
	}
	v.units = min(capacity, v.units+rate*float64(now-v.updatedAt)/1e6)
	v.updatedAt = now
	if v.units < r.Units {
		return false
	}
	v.units -= r.Units
	return true
}

// forgetIdleVolume drops a volume that has been idle for long, if it finds one among the next few.
func (c *Controller) forgetIdleVolume(now Micros) bool {
	for range min(sweepBatch, len(c.sweepOrder)) {
		name := c.sweepOrder[0]
		c.sweepOrder = c.sweepOrder[1:]
		if v := c.volumes[name]; v != nil && now-v.updatedAt >= reserveIdleTime {
			delete(c.volumes, name)
			return true
		}
		c.sweepOrder = append(c.sweepOrder, name)
	}
	return false
}
