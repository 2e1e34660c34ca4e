package scheduler

const (
	// defaultMaxVolumes is the number of volumes that are remembered at most until VolumeLimitChanged. With a
	// smaller value, a large deployment would lose the tokens and demand of volumes that it uses. With a
	// larger value, requests under ever new names would fill the memory.
	defaultMaxVolumes = 1 << 16
	// evictionSample is the number of volumes of which the one that was not used for longest is forgotten to
	// make room. With a smaller value, volumes in steady use would be forgotten more often. With a larger
	// value, a request under a new name would cost more.
	evictionSample = 16
)

// limitVolumes bounds the remembered volumes and unserved requests, and forgets volumes above the bound.
// Volumes with open requests stay.
func (s *Scheduler) limitVolumes(maxVolumes int) {
	s.volumes.max = max(1, maxVolumes)
	for len(s.volumes.list) > s.volumes.max && s.volumes.evict() {
	}
}

// hasRoomFor reports whether a volume is remembered or may be, after another one was forgotten if necessary.
func (t *volumeTable) hasRoomFor(name string) bool {
	return t.byName[name] != nil || len(t.list) < t.max || t.evict()
}

// evict forgets the volume without open requests that was not used for longest, among the next volumes of the
// list. It reports whether there was one. A forgotten volume that returns has lost its saved tokens or its
// overdraft, and its quota of a rate limit is empty.
func (t *volumeTable) evict() bool {
	for checked := 0; checked < len(t.list); checked += evictionSample {
		oldest := -1
		for range min(evictionSample, len(t.list)-checked) {
			t.evictPosition = (t.evictPosition + 1) % len(t.list)
			v := t.list[t.evictPosition]
			if v.openRequests == 0 && (oldest < 0 || v.lastUsedTick < t.list[oldest].lastUsedTick) {
				oldest = t.evictPosition
			}
		}
		if oldest >= 0 {
			t.forget(t.list[oldest])
			t.closeGap(oldest, oldest+1)
			return true
		}
	}
	return false
}

// forget removes a volume from all but the list. The active volumes drop it at the next tick.
func (t *volumeTable) forget(v *volume) {
	v.forgotten = true
	delete(t.byName, v.name)
	if t.byHash[v.hash] == v {
		delete(t.byHash, v.hash)
	}
}
