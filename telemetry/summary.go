package telemetry

import "github.com/HdrHistogram/hdrhistogram-go"

// Summary describes the times of one interval as sinks receive them. Times are in µs.
type Summary struct {
	Count                    uint64
	P50, P90, P99, P999, Max int64
}

// significantDigits is the precision of the histogram from which percentiles are read. Two digits match the precision
// of Histogram. A third digit would take eight times as long. With one digit, percentiles would be up to 10 % off.
const significantDigits = 2

// Summarizer computes summaries. It is not safe for concurrent use: its histogram is reused.
type Summarizer struct{ scratch *hdrhistogram.Histogram }

// NewSummarizer returns a Summarizer with an empty histogram.
func NewSummarizer() *Summarizer {
	return &Summarizer{scratch: hdrhistogram.New(1, maxMicros, significantDigits)}
}

// Summarize returns the summary of h. The summary of a nil or empty histogram is the zero value.
func (s *Summarizer) Summarize(h *Histogram) Summary {
	if h == nil || h.total == 0 {
		return Summary{}
	}
	s.scratch.Reset()
	for bucket := h.lowest; bucket <= h.highest; bucket++ {
		if count := h.counts[bucket]; count > 0 {
			// RecordValues cannot fail: clampMicros keeps all times within the range of scratch.
			_ = s.scratch.RecordValues(min(middleOf(bucket), h.max), int64(count))
		}
	}
	values := s.scratch.ValueAtPercentiles([]float64{50, 90, 99, 99.9})
	return Summary{
		Count: h.total,
		P50:   min(values[50], h.max),
		P90:   min(values[90], h.max),
		P99:   min(values[99], h.max),
		P999:  min(values[99.9], h.max),
		Max:   h.max,
	}
}
