package scheduler

import "slices"

// keyQueue keeps the requests of ordered classes with one key in the order of arrival.
type keyQueue struct {
	waiting    []*request // the first may run next
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

// isNextOfKey reports whether a request may run according to the order of requests with its key. A retry need
// not wait for its own earlier attempt.
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
