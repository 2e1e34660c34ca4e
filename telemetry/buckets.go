package telemetry

import (
	"math/bits"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The geometry of Buckets: 2^subBits buckets to each power of two, so a value is known within 1/32 of itself, the
// middle of a bucket within 1/64. Times of over maxMicros count as that.
const (
	subBits   = 5
	maxMicros = 1<<26 - 1 // 67 s
	slots     = (26 - subBits + 1) << subBits
)

// Buckets counts times of one interval, in µs. It is HdrHistogram's layout in 32-bit counts: one index is worked out for a
// time and serves the series of all dimensions, and a histogram takes 2.8 KB where the library's own takes 17.
type Buckets struct {
	counts    [slots]uint32
	n         uint64
	most      int64
	low, high int // the buckets in use lie within them: reading and clearing need not look at all
}

// slotOf is the bucket of a time, which must lie within 0 and maxMicros.
func slotOf(micros int64) int {
	shift := max(0, bits.Len64(uint64(micros))-subBits-1)
	return shift<<subBits + int(micros>>shift)
}

// middleOf is the time in the middle of a bucket.
func middleOf(slot int) int64 {
	shift := max(0, slot>>subBits-1)
	return int64(slot-shift<<subBits)<<shift + (1<<shift)>>1
}

func (b *Buckets) add(slot int, micros int64) {
	if b.n == 0 {
		b.low, b.high = slot, slot
	}
	b.low, b.high = min(b.low, slot), max(b.high, slot)
	b.counts[slot]++
	b.n++
	b.most = max(b.most, micros)
}

// merge adds what other counted.
func (b *Buckets) merge(other *Buckets) {
	if other.n == 0 {
		return
	}
	if b.n == 0 {
		b.low, b.high = other.low, other.high
	}
	b.low, b.high = min(b.low, other.low), max(b.high, other.high)
	for i := other.low; i <= other.high; i++ {
		b.counts[i] += other.counts[i]
	}
	b.n += other.n
	b.most = max(b.most, other.most)
}

// reset empties b.
func (b *Buckets) reset() {
	if b.n > 0 {
		clear(b.counts[b.low : b.high+1])
	}
	b.n, b.most = 0, 0
}

// Summary is what is told of the times of one interval. Times are in µs.
type Summary struct {
	Count                    uint64
	P50, P90, P99, P999, Max int64
}

// Summarizer works out summaries; it is for one goroutine.
type Summarizer struct{ scratch *hdrhistogram.Histogram }

// NewSummarizer returns a Summarizer. Two digits are as fine as Buckets are; a third would take eight times as long.
func NewSummarizer() *Summarizer {
	return &Summarizer{hdrhistogram.New(1, maxMicros, 2)}
}

// Of summarizes what b counted; nil counted nothing.
func (s *Summarizer) Of(b *Buckets) Summary {
	if b == nil || b.n == 0 {
		return Summary{}
	}
	s.scratch.Reset()
	for slot := b.low; slot <= b.high; slot++ {
		if n := b.counts[slot]; n > 0 {
			_ = s.scratch.RecordValues(min(middleOf(slot), b.most), int64(n)) // within range by slotOf
		}
	}
	q := s.scratch.ValueAtPercentiles([]float64{50, 90, 99, 99.9})
	return Summary{Count: b.n, P50: min(q[50], b.most), P90: min(q[90], b.most), P99: min(q[99], b.most), P999: min(q[99.9], b.most), Max: b.most}
}
