package main

import (
	"fmt"
	"io"
	"math"

	"junctionwharf/internal/fleetharness"
)

// maxPrintedViolations limits the number of printed violations. One fault may cause thousands of them, and the first
// ones show the cause.
const maxPrintedViolations = 5

// printFleet prints the report of a run. It ignores write errors, which cannot be handled usefully for a terminal.
func printFleet(w io.Writer, version string, r *fleetharness.Report) {
	_, _ = fmt.Fprintf(w, "%s, %s, seed %d: %d brokers, %d nodes; "+
		"%d connections opened to nodes, at most %d at a node; %d discovery calls; %d datagrams\n",
		r.Scenario, version, r.Seed, r.Brokers, r.Nodes, r.Dials, r.PeakConns, r.DiscoveryCalls, r.Datagrams)
	printPhases(w, r)
	if len(r.BalancedAfterS) > 0 {
		_, _ = fmt.Fprintf(w, "seconds from the end of each event until load was balanced: %.2f\n", r.BalancedAfterS)
	}
	printAgreement(w, r)
	printSlowStart(w, r.SlowStart)
	printRestarts(w, r.RestartMS)
	printViolations(w, r)
}

// printPhases prints a row for each phase between events, and a row for the whole run.
func printPhases(w io.Writer, r *fleetharness.Report) {
	table := newTable(w)
	_, _ = fmt.Fprintln(table, "from s\tto s\tsent\tserved\tin aim\trefused\tfailed\tlost\tbroker down\tlate\t"+
		"p50 ms\tp99 ms\tfullest/mean\tworst second\tof a draw\tidle nodes\tworst\t")
	for _, p := range append(r.Phases, r.All) {
		_, _ = fmt.Fprintf(table, "%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t"+
			"%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t%s\t\n",
			p.FromS, p.ToS, p.Sent, p.Served, p.InObjective, p.Rejected, p.Failed, p.Lost, p.Excluded, p.Late,
			float64(p.P50)/1000, float64(p.P99)/1000,
			p.MaxOverMean, p.WorstSecond, p.RandomWorstSecond, p.IdleNodes, p.WorstSecondAt)
	}
	_ = table.Flush()
}

// printAgreement prints the results of the replicated configuration if the scenario has one.
func printAgreement(w io.Writer, r *fleetharness.Report) {
	a := r.Agreement
	if a == nil {
		return
	}
	quantile := func(q float64) float64 {
		if len(a.CommitToAllUS) == 0 {
			return 0
		}
		return float64(atQuantile(a.CommitToAllUS, q)) / 1000
	}
	_, _ = fmt.Fprintf(w, "agreement: %d versions used, proposals %v, longest contradiction %.3f ms; "+
		"from commit to use by all brokers, ms: p50 %.0f, p99 %.0f, maximum %.0f; "+
		"%.0f bytes a second per broker, at most %.0f; %.1f MB per broker\n",
		a.Versions, a.ProposalOutcomes, float64(a.LongestUS)/1000,
		quantile(0.5), quantile(0.99), quantile(1),
		a.MeanBytesPerS, a.MaxBytesPerS, a.MemoryMB)
	if a.Trace != "" {
		_, _ = fmt.Fprintln(w, a.Trace)
	}
}

// atQuantile returns the value at a quantile of sorted values, which must not be empty.
func atQuantile[T any](sorted []T, q float64) T {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// printSlowStart prints, for each second of age of a started node, the window with the highest ratio of units to its
// limit.
func printSlowStart(w io.Writer, seconds []fleetharness.SlowStartSecond) {
	fullest := fullestByAge(seconds)
	if len(fullest) == 0 {
		return
	}
	table := newTable(w)
	_, _ = fmt.Fprintln(table, "age s\tnode\tunits in the window\tbears N\tpart\tN + 2 root N + 2\t")
	for _, s := range fullest {
		if s.Limit > 0 {
			_, _ = fmt.Fprintf(table, "%d\t%s\t%.0f\t%.0f\t%.2f\t%.0f\t\n",
				s.AgeS, s.Node, s.Units, s.Limit, s.Units/s.Limit, s.Limit+2*math.Sqrt(s.Limit)+2)
		}
	}
	_ = table.Flush()
}

// fullestByAge returns, for each age, the window with the highest ratio of units to its limit. Ages without a window
// have the limit 0.
func fullestByAge(seconds []fleetharness.SlowStartSecond) []fleetharness.SlowStartSecond {
	var fullest []fleetharness.SlowStartSecond
	for _, s := range seconds {
		for len(fullest) <= s.AgeS {
			fullest = append(fullest, fleetharness.SlowStartSecond{AgeS: len(fullest)})
		}
		best := fullest[s.AgeS]
		if best.Limit == 0 || s.Units/s.Limit > best.Units/best.Limit {
			fullest[s.AgeS] = s
		}
	}
	return fullest
}

// printRestarts prints how long restarted brokers took to become ready. The values of ms are sorted.
func printRestarts(w io.Writer, ms []float64) {
	if len(ms) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "%d restarts of brokers, ms until ready: "+
		"minimum %.0f, p50 %.0f, p90 %.0f, p99 %.0f, maximum %.0f\n",
		len(ms), ms[0], atQuantile(ms, 0.5), atQuantile(ms, 0.9), atQuantile(ms, 0.99), ms[len(ms)-1])
}

func printViolations(w io.Writer, r *fleetharness.Report) {
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			_, _ = fmt.Fprintf(w, "and %d more breaches\n", len(r.Violations)-i)
			return
		}
		_, _ = fmt.Fprintf(w, "BREACH at %s: %s: %s\n", v.At, v.Rule, v.Trace)
	}
}
