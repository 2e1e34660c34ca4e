package telemetry

import (
	"math/rand/v2"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The summary of 20,000 random times agrees with that of HdrHistogram within 1/32 of each percentile.
func TestHistogram(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	reference := hdrhistogram.New(1, maxMicros, 4)
	var h Histogram
	for range 20_000 {
		micros := int64(1) << random.IntN(26)
		micros = clampMicros(micros + random.Int64N(micros))
		h.add(bucketOf(micros), micros)
		_ = reference.RecordValue(micros) // the time is within the reference's range
	}
	summary := NewSummarizer().Summarize(&h)
	for _, test := range []struct {
		percentile float64
		got        int64
	}{
		{50, summary.P50},
		{90, summary.P90},
		{99, summary.P99},
		{99.9, summary.P999},
		{100, summary.Max},
	} {
		want := reference.ValueAtPercentile(test.percentile)
		if diff := test.got - want; diff > want/32+1 || -diff > want/32+1 {
			t.Errorf("p%v is %d, want %d", test.percentile, test.got, want)
		}
	}
	if summary.Count != 20_000 {
		t.Errorf("summary %+v, want a count of 20000", summary)
	}
	if NewSummarizer().Summarize(nil) != (Summary{}) {
		t.Error("the summary of a nil histogram is not empty")
	}
}

// The middle of each bucket belongs to that bucket.
func TestMiddleOfBucket(t *testing.T) {
	for bucket := range bucketCount {
		if bucketOf(middleOf(bucket)) != bucket {
			t.Fatalf("the middle of bucket %d belongs to bucket %d", bucket, bucketOf(middleOf(bucket)))
		}
	}
}
