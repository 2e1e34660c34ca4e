package scheduler

import "slices"

// keyQueue keeps the unfinished requests of ordered classes with one key in the order of arrival.
type keyQueue struct {
	waiting    []*request // only the first may run
	quietUntil Time       // until this time an earlier attempt may still run at its node
}

// joinKeyQueue appends a request of an ordered class to the queue of its key.
func (s *Scheduler) joinKeyQueue(r *request) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	r.keyQueue = s.keyQueues[r.Key]
	if r.keyQueue == nil {
		r.keyQueue = &keyQueue{}
		s.keyQueues[r.Key] = r.keyQueue
	}
	r.keyQueue.waiting = append(r.keyQueue.waiting, r)
}

// isNextOfKey reports whether a request may run according to the order of requests with its key: it is the
// first of its queue, and the quiet period has ended. The quiet period does not apply to a retry.
func (r *request) isNextOfKey(now Time) bool {
	if r.keyQueue == nil {
		return true
	}
	return r.keyQueue.waiting[0] == r && (now >= r.keyQueue.quietUntil || r.attempts > 0)
}

func (r *request) leaveKeyQueue() {
	if r.keyQueue == nil {
		return
	}
	at := slices.Index(r.keyQueue.waiting, r)
	r.keyQueue.waiting = slices.Delete(r.keyQueue.waiting, at, at+1)
}
