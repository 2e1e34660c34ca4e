package scheduler

import "slices"

// keyQueue keeps the requests of ordered classes with one key in the order of arrival.
type keyQueue struct {
	waiting    []*request // the first is the next to run
	quietUntil Time       // an earlier attempt may still run until then
}

// joinKeyQueue puts a request of an ordered class behind the others with its key.
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

// isNextOfKey tells whether a request may run as far as others with its key go. A retry need not wait for its
// own earlier attempt.
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
