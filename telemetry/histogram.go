package telemetry

import "math/bits"

// The geometry of Histogram.
const (
	// subBucketBits gives 2^5 buckets to each power of two, so a time is accurate to 1/32 of its value. One more bit
	// would double the memory of a row. With one bit less, the p99 that operators see could be 6 % off.
	subBucketBits = 5
	// maxBits bounds the measurable times to 2^26 µs, 67 s. A larger value costs memory in each row. With a smaller
	// value, all slow requests show the same maximum.
	maxBits     = 26
	maxMicros   = 1<<maxBits - 1
	bucketCount = (maxBits - subBucketBits + 1) << subBucketBits
)

// Histogram counts the times of one interval, in µs. Times above maxMicros count as maxMicros. The layout is that of
// HdrHistogram with 32-bit counts. One bucket index is computed for a time and used for the rows of all dimensions. A
// histogram takes 2.8 KB, while one of the HdrHistogram library takes 17 KB.
type Histogram struct {
	counts [bucketCount]uint32
	total  uint64
	max    int64
	// The buckets in use are from lowest to highest, so that reading and resetting can skip the others.
	lowest, highest int
}

// bucketOf returns the bucket of a time, which must be from 0 to maxMicros.
func bucketOf(micros int64) int {
	shift := max(0, bits.Len64(uint64(micros))-subBucketBits-1)
	return shift<<subBucketBits + int(micros>>shift)
}

// middleOf returns the time in the middle of a bucket, in µs.
func middleOf(bucket int) int64 {
	shift := max(0, bucket>>subBucketBits-1)
	lowerBound := int64(bucket-shift<<subBucketBits) << shift
	return lowerBound + (1<<shift)>>1
}

// clampMicros limits a time to the range of Histogram.
func clampMicros(micros int64) int64 { return max(0, min(micros, maxMicros)) }

// add counts a time. The caller passes the bucket of the time, which is the same for all rows.
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

// merge adds the counts of other.
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

// reset sets all counts to 0.
func (h *Histogram) reset() {
	if h.total > 0 {
		clear(h.counts[h.lowest : h.highest+1])
	}
	h.total = 0
	h.max = 0
}
