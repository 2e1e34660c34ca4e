package scheduler

import "junctionwharf/quota"

// refillQuota refills this process's quota of a volume's rate limit up to now, and returns the quota. The
// limit is split evenly over the brokers that receive the volume's requests, and over the processes of each
// broker. A process that may run undetected, for example one that starts before this process has ended,
// counts as a process. As a trade-off, a volume whose requests all arrive through one of several brokers gets
// only that broker's even part of its limit.
//
// While the volume is under a plan without a limit, the quota is refilled under its last limit: requests that
// came under that plan may still wait, and the volume may return to it.
func (s *Scheduler) refillQuota(v *volume) *quota.Quota {
	var limit quota.Limit
	if v.limited != nil {
		limit = quota.Limit{Rate: v.limited.Limit, Burst: v.limited.LimitBurst + v.limited.LimitOverdraft}
	}
	v.quota.Refill(s.now, limit, quotaShare(v.brokers, s.processes))
	return &v.quota
}

// limitedOnly returns the plan if it has a rate limit, or nil.
func limitedOnly(plan *Plan) *Plan {
	if plan.Limit > 0 {
		return plan
	}
	return nil
}

// isLimited reports whether a request is charged to its volume's rate limit: if the limit belongs to the plan
// of the request, or to a plan that the volume has changed to since the request came.
func (r *request) isLimited() bool { return r.limited || r.volume.plan.Limit > 0 }

// quotaShare returns one process's fraction of a rate limit, from 0 to 1.
func quotaShare(brokers float64, processes processCount) float64 {
	return 1 / brokers / (processes.known + processes.unseen)
}
