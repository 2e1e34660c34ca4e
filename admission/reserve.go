package admission

// reservedCapacity is the token bucket of a volume's reserved capacity.
type reservedCapacity struct {
	units     float64
	capacity  float64 // units
	rate      float64 // units per second, 0 while the volume's plan reserves nothing
	updatedAt Micros
}

// level returns the units in the bucket at a time.
func (v *reservedCapacity) level(now Micros) float64 {
	return min(v.capacity, v.units+v.rate*float64(now-v.updatedAt)/1e6)
}

// refill refills the bucket up to now, and switches to a rate and capacity. A larger rate thus has no effect on the time
// before this call.
func (v *reservedCapacity) refill(now Micros, rate, capacity float64) {
	v.units = min(capacity, v.level(now))
	v.rate = rate
	v.capacity = capacity
	v.updatedAt = now
}

// isForgettable reports whether the volume may be dropped: tracked again, it would have no more than it has now.
func (v *reservedCapacity) isForgettable(now Micros) bool {
	if v.rate <= 0 {
		return now-v.updatedAt >= unreservedIdleTime
	}
	return now-v.updatedAt >= reserveIdleTime && v.level(now) >= v.capacity
}

// takeReserved reports whether a request is within its volume's reserved capacity, and deducts the request's units if
// so.
func (c *Controller) takeReserved(now Micros, r *Request) bool {
	rate := c.plans[r.Plan].ReservedRate / float64(max(1, r.Brokers))
	capacity := rate + c.maxUnits
	v := c.volumes[r.Volume]
	if v == nil {
		if rate <= 0 {
			return false
		}
		if len(c.volumes) >= c.settings.MaxVolumes && !c.forgetIdleVolume(now) {
			return false // too many volumes: volumes that are tracked already keep their reserved capacity
		}
		v = &reservedCapacity{units: capacity, capacity: capacity, rate: rate, updatedAt: now}
		c.volumes[r.Volume] = v
		c.sweepOrder = append(c.sweepOrder, r.Volume)
	}
	if rate <= 0 {
		v.refill(now, 0, v.capacity)
		return false
	}
	v.refill(now, rate, capacity)
	if v.units < r.Units {
		return false
	}
	v.units -= r.Units
	return true
}

// forgetIdleVolume checks the next few volumes of the sweep order. If one is forgettable, forgetIdleVolume drops it and
// returns true.
func (c *Controller) forgetIdleVolume(now Micros) bool {
	for range min(sweepBatch, len(c.sweepOrder)) {
		name := c.sweepOrder[0]
		c.sweepOrder = c.sweepOrder[1:]
		if v := c.volumes[name]; v != nil && v.isForgettable(now) {
			delete(c.volumes, name)
			return true
		}
		c.sweepOrder = append(c.sweepOrder, name)
	}
	return false
}
