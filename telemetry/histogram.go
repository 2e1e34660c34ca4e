package telemetry

import "math/bits"

// The geometry of Histogram.
const (
	// subBucketBits gives 2^5 buckets to each power of two, so a time is known within 1/32 of itself. One bit more
	// would double the memory of a row; one less, and a p99 that the operators see could be 6 % off.
	subBucketBits = 5
	// maxBits bounds the times that are told apart to 2^26 µs, 67 s. Higher costs memory in each row; lower, slow
	// requests all show the same maximum.
	maxBits     = 26
	maxMicros   = 1<<maxBits - 1
	bucketCount = (maxBits - subBucketBits + 1) << subBucketBits
)

// Histogram counts the times of one interval, in µs. Times of over maxMicros count as that. It has the layout of
// HdrHistogram with 32-bit counts: one index is computed for a time and serves the rows of all dimensions, and a
// histogram takes 2.8 KB where the library's own takes 17 KB.
type Histogram struct {
	counts [bucketCount]uint32
	total  uint64
	max    int64
	// The buckets in use lie between these two, so that reading and resetting skip the rest.
	lowest, highest int
}

// bucketOf is the bucket of a time, which must lie within 0 and maxMicros.
func bucketOf(micros int64) int {
	shift := max(0, bits.Len64(uint64(micros))-subBucketBits-1)
	return shift<<subBucketBits + int(micros>>shift)
}

// middleOf is the time in the middle of a bucket, in µs.
func middleOf(bucket int) int64 {
	shift := max(0, bucket>>subBucketBits-1)
	lowerBound := int64(bucket-shift<<subBucketBits) << shift
	return lowerBound + (1<<shift)>>1
}

// clampMicros brings a time into the range that a Histogram takes.
func clampMicros(micros int64) int64 { return max(0, min(micros, maxMicros)) }

// add counts a time whose bucket the caller has computed.
func (h *Histogram) add(bucket int, micros int64) {
	if h.total == 0 {
		h.lowest = bucket
		h.highest = bucket
	}
	h.lowest = min(h.lowest, bucket)
	h.highest = max(h.highest, bucket)
	h.counts[bucket]++
	h.total++
	h.max = max(h.max, micros)
}

// merge adds what other counted.
func (h *Histogram) merge(other *Histogram) {
	if other.total == 0 {
		return
	}
	if h.total == 0 {
		h.lowest = other.lowest
		h.highest = other.highest
	}
	h.lowest = min(h.lowest, other.lowest)
	h.highest = max(h.highest, other.highest)
	for bucket := other.lowest; bucket <= other.highest; bucket++ {
		h.counts[bucket] += other.counts[bucket]
	}
	h.total += other.total
	h.max = max(h.max, other.max)
}

// reset empties h.
func (h *Histogram) reset() {
	if h.total > 0 {
		clear(h.counts[h.lowest : h.highest+1])
	}
	h.total = 0
	h.max = 0
}
