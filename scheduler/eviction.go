package scheduler

import (
	"container/heap"
	"math"
	"time"
)

const (
	// defaultMaxVolumes is the number of volumes that are remembered at most until VolumeLimitChanged. With a
	// smaller value, a large deployment would lose the tokens and demand of volumes that it uses. With a
	// larger value, requests under ever new names would fill the memory.
	defaultMaxVolumes = 1 << 16
	// notEvictable is the evictionIndex of a volume that is not in the heap.
	notEvictable = -1
)

// evictionHeap is a min-heap of volumes by evictAt (see evictionTime). evictAt may be too early, but not too
// late: it is only computed again for the first volume. A volume with open requests leaves the heap when it
// is the first.
type evictionHeap []*volume

func (h evictionHeap) Len() int           { return len(h) }
func (h evictionHeap) Less(i, j int) bool { return h[i].evictAt < h[j].evictAt }

// Swap swaps two volumes and their positions, for container/heap.
func (h evictionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].evictionIndex, h[j].evictionIndex = i, j
}

// Push adds a volume, for container/heap.
func (h *evictionHeap) Push(x any) {
	v := x.(*volume)
	v.evictionIndex = len(*h)
	*h = append(*h, v)
}

// Pop removes the last volume, for container/heap.
func (h *evictionHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	v.evictionIndex = notEvictable
	(*h)[last] = nil
	*h = (*h)[:last]
	return v
}

// closeRequest records that a request of a volume was deleted.
func (t *volumeTable) closeRequest(v *volume) {
	v.openRequests--
	if v.openRequests == 0 {
		t.makeEvictable(v)
	}
}

// makeEvictable adds a volume without open requests to the heap if it is not in it.
func (t *volumeTable) makeEvictable(v *volume) {
	if v.evictionIndex == notEvictable && !v.forgotten {
		v.evictAt = v.lastUsedAt
		heap.Push(&t.evictable, v)
	}
}

// reconsider lets a volume's evictAt be computed again, after an event that may have filled its buckets.
func (t *volumeTable) reconsider(v *volume, now Time) {
	if v.evictionIndex != notEvictable && v.evictAt > now {
		v.evictAt = now
		heap.Fix(&t.evictable, v.evictionIndex)
	}
}

// resetEvictionOrder makes all times of the heap early enough after a change that may fill buckets sooner.
func (t *volumeTable) resetEvictionOrder() {
	for _, v := range t.evictable {
		v.evictAt = 0
	}
}

// limitVolumes bounds the remembered volumes, their debts and unserved requests, and forgets volumes above
// the bound. Volumes with open requests stay.
func (s *Scheduler) limitVolumes(maxVolumes int) {
	s.volumes.max = max(1, maxVolumes)
	s.debts.resize(s.volumes.max)
	for len(s.volumes.list) > s.volumes.max && s.evict() {
	}
}

// hasRoomFor reports whether a volume is remembered or may be, after another one was forgotten if necessary.
func (s *Scheduler) hasRoomFor(name string) bool {
	return s.volumes.byName[name] != nil || len(s.volumes.list) < s.volumes.max || s.evict()
}

// evict forgets a volume without open requests. It reports whether there was one. It takes the volume that
// was not used for longest among those with full buckets. If there is none, it takes the one whose buckets
// are full first; what they lack is remembered as a debt.
func (s *Scheduler) evict() bool {
	t := &s.volumes
	for len(t.evictable) > 0 {
		v := t.evictable[0]
		if v.openRequests > 0 {
			heap.Pop(&t.evictable)
			continue
		}
		if at := s.evictionTime(v); at > v.evictAt {
			v.evictAt = at
			heap.Fix(&t.evictable, 0)
			continue
		}
		s.forgetVolume(v)
		return true
	}
	return false
}

// evictionTime returns when a volume was last used if its buckets are full, or else when they will be, which
// is later than now. It is endOfTime if they do not fill by time alone.
func (s *Scheduler) evictionTime(v *volume) Time {
	if wait := s.timeToFill(v); wait > 0 {
		return later(s.now, wait)
	}
	return v.lastUsedAt
}

// timeToFill returns the seconds until a volume's buckets are full if no request comes: its quota of a rate
// limit and its reserved bucket. Its tokens count as full if they are no debt: a new volume has none.
func (s *Scheduler) timeToFill(v *volume) float64 {
	v.catchUp(s.ticks, s.lastTickAt)
	wait := s.refillQuota(v).TimeToFill()
	wait = max(wait, secondsFor(-v.tokens, v.plan.ReservedRate/v.brokers))
	if v.plan.ReservedRate <= 0 {
		return wait
	}
	return max(wait, secondsFor(s.missingReserved(v), s.reservedRate(v)))
}

// secondsFor returns the time in which a rate yields units, 0 if there are none to yield.
func secondsFor(units, rate float64) float64 {
	switch {
	case units <= 0:
		return 0
	case rate <= 0:
		return math.Inf(1)
	}
	return units / rate
}

// later returns the time that is a number of seconds after now, endOfTime at most.
func later(now Time, seconds float64) Time {
	wait := seconds * float64(time.Second)
	if wait >= float64(endOfTime-now) {
		return endOfTime
	}
	return now + max(1, Time(wait))
}

// forgetVolume removes a volume, and remembers its debt.
func (s *Scheduler) forgetVolume(v *volume) {
	s.debts.record(s.now, s.debtOf(v))
	s.volumes.remove(v)
}

// remove removes a volume from all but the active volumes, which drop it at the next tick.
func (t *volumeTable) remove(v *volume) {
	v.forgotten = true
	delete(t.byName, v.name)
	if t.byHash[v.hash] == v {
		delete(t.byHash, v.hash)
	}
	if v.evictionIndex != notEvictable {
		heap.Remove(&t.evictable, v.evictionIndex)
	}
	last := len(t.list) - 1
	moved := t.list[last]
	t.list[v.position] = moved
	moved.position = v.position
	t.list[last] = nil
	t.list = t.list[:last]
}
