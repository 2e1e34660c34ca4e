package admission

// reservedCapacity is the token bucket of a volume's reserved capacity.
type reservedCapacity struct {
	units     float64
	updatedAt Micros
}

// takeReserved reports whether a request is within its volume's reserved capacity, and deducts the request's units if
// so.
func (c *Controller) takeReserved(now Micros, r *Request) bool {
	rate := c.plans[r.Plan].ReservedRate / float64(max(1, r.Brokers))
	if rate <= 0 {
		return false
	}
	capacity := rate + c.maxUnits
	v := c.volumes[r.Volume]
	if v == nil {
		if len(c.volumes) >= c.settings.MaxVolumes && !c.forgetIdleVolume(now) {
			return false // too many volumes: volumes that are tracked already keep their reserved capacity
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

// forgetIdleVolume checks the next few volumes of the sweep order. If one has been idle for reserveIdleTime,
// forgetIdleVolume drops it and returns true.
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
