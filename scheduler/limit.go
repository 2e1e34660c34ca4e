package scheduler

import (
	"junctionwharf/quota"
)

// limit is this process's even part of a volume's limit. While another may live beside it unseen, as one that
// starts before this one has ended, each keeps to half. It hurts a volume whose traffic leans on one host.
func (g *Scheduler) limit(v *volume) *quota.Quota {
	limit := quota.Limit{Rate: v.plan.Limit, Burst: v.plan.LimitBurst + v.plan.LimitOverdraft}
	v.limit.Refill(g.now, limit, 1/v.hosts/(g.processes+g.unseen))
	return &v.limit
}
