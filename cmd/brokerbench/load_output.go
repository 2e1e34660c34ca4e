package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junctionwharf/internal/load"
)

// forEachStats calls each for the statistics of every class, of every plan and of all requests.
func forEachStats(r *load.Result, each func(group, name string, s *load.Stats)) {
	for i, s := range r.ByClass {
		each("class", r.Traffic.Classes[i].Name, s)
	}
	for i, s := range r.ByPlan {
		each("plan", r.Traffic.Plans[i], s)
	}
	each("all", "", r.All)
}

// printResult prints the table of a result.
func printResult(w io.Writer, r *load.Result) error {
	table := newTable(w)
	_, _ = fmt.Fprintln(table, "\tsent\tserved\tbusy\tfailed\tlost\tclosed\tp50 ms\tp90\tp99\tp99.9\tmax\t")
	forEachStats(r, func(group, name string, s *load.Stats) {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t", strings.TrimSpace(group+" "+name), s.Sent(),
			s.Counts[load.Served], s.Counts[load.Rejected], s.Counts[load.Failed],
			s.Counts[load.Lost], s.Counts[load.Closed])
		for _, p := range []float64{50, 90, 99, 99.9, 100} {
			_, _ = fmt.Fprintf(table, "%.1f\t", float64(s.Latency.ValueAtPercentile(p))/1000)
		}
		_, _ = fmt.Fprintln(table)
	})
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w,
		"latency counts from the intended send time; requests were sent up to %v late, over %d connections\n",
		r.MaxSendLag.Round(time.Microsecond), r.Dials)
	return err
}

// statsJSON contains the statistics of a group of requests in the file of --json.
type statsJSON struct {
	Group    string `json:"group"`
	Name     string `json:"name,omitempty"`
	Sent     int    `json:"sent"`
	Served   int    `json:"served"`
	Rejected int    `json:"busy"`
	Failed   int    `json:"failed"`
	Lost     int    `json:"lost"`
	Closed   int    `json:"closed"`
	P50US    int64  `json:"p50_us"`
	P90US    int64  `json:"p90_us"`
	P99US    int64  `json:"p99_us"`
	P999US   int64  `json:"p99_9_us"`
	MaxUS    int64  `json:"max_us"`
	MeanUS   int64  `json:"mean_us"`
	StdevUS  int64  `json:"stdev_us"`
}

// resultJSON is the content of the file of --json.
type resultJSON struct {
	Seed         uint64      `json:"seed"`
	Rate         float64     `json:"rate"`
	LengthS      float64     `json:"length_s"`
	MaxSendLagUS int64       `json:"behind_us"`
	Stats        []statsJSON `json:"tallies"`
}

func newStatsJSON(group, name string, s *load.Stats) statsJSON {
	latency := s.Latency
	return statsJSON{
		Group:    group,
		Name:     name,
		Sent:     s.Sent(),
		Served:   s.Counts[load.Served],
		Rejected: s.Counts[load.Rejected],
		Failed:   s.Counts[load.Failed],
		Lost:     s.Counts[load.Lost],
		Closed:   s.Counts[load.Closed],
		P50US:    latency.ValueAtPercentile(50),
		P90US:    latency.ValueAtPercentile(90),
		P99US:    latency.ValueAtPercentile(99),
		P999US:   latency.ValueAtPercentile(99.9),
		MaxUS:    latency.Max(),
		MeanUS:   int64(latency.Mean()),
		StdevUS:  int64(latency.StdDev()),
	}
}

func writeJSON(w io.Writer, r *load.Result) error {
	out := resultJSON{
		Seed:         r.Traffic.Seed,
		Rate:         r.Traffic.Rate,
		LengthS:      r.Traffic.Duration.Seconds(),
		MaxSendLagUS: r.MaxSendLag.Microseconds(),
	}
	forEachStats(r, func(group, name string, s *load.Stats) {
		out.Stats = append(out.Stats, newStatsJSON(group, name, s))
	})
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

// writeHDR writes a log for the tools of HdrHistogram, with an interval for each second, in µs.
func writeHDR(w io.Writer, r *load.Result) error {
	log := hdrhistogram.NewHistogramLogWriter(w)
	if err := log.OutputLogFormatVersion(); err != nil {
		return err
	}
	if err := log.OutputComment("[latency in microseconds from the intended time of each request]"); err != nil {
		return err
	}
	start := r.StartedAt.UnixMilli()
	if err := log.OutputStartTime(start); err != nil {
		return err
	}
	log.SetBaseTime(start)
	if err := log.OutputLegend(); err != nil {
		return err
	}
	for i, histogram := range r.LatencyBySecond {
		histogram.SetStartTimeMs(start + int64(i)*1000)
		histogram.SetEndTimeMs(start + int64(i+1)*1000)
		if err := log.OutputIntervalHistogram(histogram); err != nil {
			return err
		}
	}
	return nil
}
