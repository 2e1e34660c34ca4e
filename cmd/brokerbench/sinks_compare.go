package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// bootstrapSamples is the number of means drawn for an interval. With fewer, the interval's ends vary more.
	bootstrapSamples = 4000
	// bootstrapTail sets the interval's ends: one in bootstrapTail means lies beyond each end, 5% in total.
	bootstrapTail = 40
)

// sinkFigures are the compared latencies.
var sinkFigures = []struct {
	name  string
	value func(sinkRun) float64 // µs
}{
	{"p50", func(r sinkRun) float64 { return r.P50 }},
	{"p99", func(r sinkRun) float64 { return r.P99 }},
	{"p99.9", func(r sinkRun) float64 { return r.P999 }},
}

// sinkSummary summarizes the runs of one variant.
type sinkSummary struct {
	runs        int
	total       sinkRun     // sums of the counts, and the maximum of PeakKB
	means       []float64   // by figure, ms
	differences [][]float64 // by figure, the differences from "off" of the same round, ms
}

// compareSinks prints each variant's mean quantiles and their mean difference from "off" of the same round, with a 95%
// bootstrap interval.
func compareSinks(w io.Writer, runs []sinkRun, random *rand.Rand) error {
	table := newTable(w)
	_, _ = fmt.Fprint(table, "\truns\tserved\tbusy\tfailed\tlost\tpeak MiB\t")
	for _, figure := range sinkFigures {
		_, _ = fmt.Fprintf(table, "%s ms, mean\tless off\t95%% interval\t", figure.name)
	}
	_, _ = fmt.Fprintln(table)
	for _, variant := range sinkVariants {
		s := summarizeSinks(runs, variant)
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t", variant, s.runs,
			s.total.Served, s.total.Busy, s.total.Failed, s.total.Lost, s.total.PeakKB>>10)
		for i := range sinkFigures {
			low, high := bootstrap(s.differences[i], random)
			_, _ = fmt.Fprintf(table, "%.2f\t%+.2f\t%+.2f to %+.2f\t", s.means[i], mean(s.differences[i]), low, high)
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

func summarizeSinks(runs []sinkRun, variant string) sinkSummary {
	s := sinkSummary{
		means:       make([]float64, len(sinkFigures)),
		differences: make([][]float64, len(sinkFigures)),
	}
	for _, r := range runs {
		if r.Variant != variant {
			continue
		}
		s.runs++
		s.total.Served += r.Served
		s.total.Busy += r.Busy
		s.total.Failed += r.Failed
		s.total.Lost += r.Lost
		s.total.PeakKB = max(s.total.PeakKB, r.PeakKB)
		off := slices.IndexFunc(runs, func(o sinkRun) bool { return o.Round == r.Round && o.Variant == sinksOff })
		for i, figure := range sinkFigures {
			s.means[i] += figure.value(r) / 1000
			if off >= 0 {
				difference := (figure.value(r) - figure.value(runs[off])) / 1000
				s.differences[i] = append(s.differences[i], difference)
			}
		}
	}
	for i := range s.means {
		s.means[i] /= float64(s.runs)
	}
	return s
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / math.Max(1, float64(len(values)))
}

// bootstrap returns the 95% percentile interval of the mean of values.
func bootstrap(values []float64, random *rand.Rand) (low, high float64) {
	if len(values) == 0 {
		return 0, 0
	}
	means := make([]float64, bootstrapSamples)
	for i := range means {
		total := 0.0
		for range values {
			total += values[random.IntN(len(values))]
		}
		means[i] = total / float64(len(values))
	}
	slices.Sort(means)
	tail := len(means) / bootstrapTail
	return means[tail], means[len(means)-1-tail]
}
