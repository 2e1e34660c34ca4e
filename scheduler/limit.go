package scheduler

import "junctionwharf/quota"

// refillQuota refills this process's quota of a volume's rate limit up to now, and returns the quota. The
// limit is split evenly over the brokers that receive the volume's requests, and over the processes of each
// broker. A process that may run undetected, for example one that starts before this process has ended,
// counts as a process. As a trade-off, a volume whose requests all arrive through one of several brokers gets
// only that broker's even part of its limit.
func (s *Scheduler) refillQuota(v *volume) *quota.Quota {
	limit := quota.Limit{Rate: v.plan.Limit, Burst: v.plan.LimitBurst + v.plan.LimitOverdraft}
	v.quota.Refill(s.now, limit, quotaShare(v.brokers, s.processes))
	return &v.quota
}

// quotaShare returns one process's fraction of a rate limit, from 0 to 1.
func quotaShare(brokers float64, processes processCount) float64 {
	return 1 / brokers / (processes.known + processes.unseen)
}
