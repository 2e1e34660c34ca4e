package scheduler

import "time"

// sharedDebtLifetime is how long a slot that several volumes share keeps a debt. With a larger value, a
// process that runs for months would charge ever more new volumes with the debts of others. With a smaller
// value, a volume could lose a debt by being forgotten.
const sharedDebtLifetime = time.Hour

// debt is what the buckets of a forgotten volume lack, compared with those of a new volume. The zero value is
// no debt.
type debt struct {
	hash   uint32 // of the volume's name
	tokens float64
	quota  float64 // of the quota of a rate limit
	// reserved is what the reserved bucket lacks. A new volume has a full one.
	reserved     float64
	reservedRate float64 // units a second that repay tokens and reserved
	quotaRate    float64 // units a second that repay quota
}

// isZero reports whether nothing is owed.
func (d *debt) isZero() bool { return d.tokens <= 0 && d.quota <= 0 && d.reserved <= 0 }

// repay reduces the debt by what the volume's buckets gain in a time.
func (d *debt) repay(elapsed time.Duration) {
	gained := d.reservedRate * elapsed.Seconds()
	d.tokens = max(0, d.tokens-gained)
	d.reserved = max(0, d.reserved-gained)
	d.quota = max(0, d.quota-d.quotaRate*elapsed.Seconds())
}

// merge raises the debt to another one where that is larger, and lowers the rates of repayment to its.
func (d *debt) merge(other debt) {
	d.tokens = max(d.tokens, other.tokens)
	d.quota = max(d.quota, other.quota)
	d.reserved = max(d.reserved, other.reserved)
	d.reservedRate = min(d.reservedRate, other.reservedRate)
	d.quotaRate = min(d.quotaRate, other.quotaRate)
}

// debtSlot holds the debt of one forgotten volume or, if shared, the largest of several.
type debtSlot struct {
	debt
	at         Time // when the debt was last computed
	recordedAt Time // when a debt was last added
	shared     bool
}

// update computes the slot's debt at a time.
func (c *debtSlot) update(now Time) {
	c.repay(now - c.at)
	c.at = now
	expired := c.shared && now-c.recordedAt > sharedDebtLifetime
	if expired || c.isZero() {
		*c = debtSlot{}
	}
}

// debtTable remembers the debts of forgotten volumes, so that a volume cannot lose a debt by being forgotten.
// There are as many slots as volumes may be remembered. The hash of a volume's name selects its slot. Volumes
// that share a slot all come back with its largest debt, as does a new volume of that slot: too much is
// charged rather than too little.
type debtTable struct {
	slots []debtSlot // empty until the first debt
	max   int
}

// resize sets the number of slots. Remembered debts move to their new slots.
func (t *debtTable) resize(slots int) {
	if slots == t.max {
		return
	}
	earlier := t.slots
	t.max = slots
	t.slots = nil
	for _, slot := range earlier {
		if !slot.isZero() {
			t.put(slot)
		}
	}
}

func (t *debtTable) slot(hash uint32) *debtSlot {
	if t.slots == nil {
		t.slots = make([]debtSlot, t.max)
	}
	return &t.slots[hash%uint32(len(t.slots))]
}

// record remembers the debt of a volume that is forgotten now.
func (t *debtTable) record(now Time, owed debt) {
	if owed.isZero() {
		return
	}
	t.slot(owed.hash).update(now)
	t.put(debtSlot{debt: owed, at: now, recordedAt: now})
}

// put adds a debt to its slot.
func (t *debtTable) put(added debtSlot) {
	slot := t.slot(added.hash)
	if slot.isZero() {
		*slot = added
		return
	}
	slot.shared = slot.shared || added.shared || slot.hash != added.hash
	slot.merge(added.debt)
	slot.at = max(slot.at, added.at)
	slot.recordedAt = max(slot.recordedAt, added.recordedAt)
}

// take returns the debt of a volume that comes back now, or of the slot that it shares.
func (t *debtTable) take(now Time, hash uint32) debt {
	if t.slots == nil {
		return debt{}
	}
	slot := t.slot(hash)
	slot.update(now)
	if !slot.shared && slot.hash != hash {
		return debt{}
	}
	owed := slot.debt
	if !slot.shared {
		*slot = debtSlot{}
	}
	return owed
}

// debtOf returns what a volume owes if it is forgotten now.
func (s *Scheduler) debtOf(v *volume) debt {
	v.catchUp(s.ticks, s.lastTickAt)
	owed := debt{
		hash:         v.hash,
		tokens:       max(0, -v.tokens),
		quota:        max(0, -s.refillQuota(v).Tokens()),
		reservedRate: v.plan.ReservedRate / v.brokers,
	}
	if v.limited != nil {
		owed.quotaRate = v.limited.Limit * quotaShare(v.brokers, s.processes)
	}
	if v.plan.ReservedRate > 0 {
		owed.reserved = s.missingReserved(v)
	}
	return owed
}

// charge gives a new volume, whose plan and number of brokers are known, the debt that it came back with.
func (s *Scheduler) charge(v *volume, owed debt) {
	if owed.isZero() {
		return
	}
	v.tokens -= owed.tokens
	s.refillQuota(v)
	v.quota.Owe(owed.quota)
	s.refillReserved(v)
	v.reserved.tokens -= owed.reserved
}
