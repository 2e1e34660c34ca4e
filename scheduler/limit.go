package scheduler

import "junctionwharf/quota"

// refillQuota brings this process's quota of a volume's rate limit up to now: an even part of the limit over
// brokers and processes. While another process may run beside this one unseen, as one that starts before this
// one has ended, each keeps to half. The rule costs a volume whose traffic comes through one broker: that
// broker still has its even part only.
func (s *Scheduler) refillQuota(v *volume) *quota.Quota {
	limit := quota.Limit{Rate: v.plan.Limit, Burst: v.plan.LimitBurst + v.plan.LimitOverdraft}
	v.quota.Refill(s.now, limit, quotaShare(v.brokers, s.processes))
	return &v.quota
}

// quotaShare is one process's part of a rate limit, from 0 to 1.
func quotaShare(brokers float64, processes processCount) float64 {
	return 1 / brokers / (processes.known + processes.unseen)
}
