package daemon

import (
	"bytes"
	"fmt"
	"math"
	"text/tabwriter"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// maxNodeMetrics bounds the nodes that have metrics of their own on the console. Higher, its answer for a large
// deployment is long; lower, an operator misses nodes there, but not in the table.
const maxNodeMetrics = 200

// columnGap is the space between the columns of a table.
const columnGap = 2

// thousandths is the unit of the shares among the metrics.
const thousandths = 1000

// formatShares is what the console's nodes call shows of load balancing: of each node of a shard that has several its
// weight, what outlier detection leaves of it, the share of this broker's requests that it gets, and why.
func formatShares(shares []scheduler.NodeShare) []byte {
	if len(shares) == 0 {
		return nil
	}
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nnode\tshard\tweight\tleft of it\tpart\twhy") // to memory
	for _, s := range shares {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%g\t%.2f\t%.3f\t%s\n",
			s.Node, s.Shard, s.Weight, s.Factor, s.Share, s.Reason)
	}
	_ = table.Flush() // to memory
	return text.Bytes()
}

// shareMetrics is the same in thousandths, and how many nodes get less than their weight.
func shareMetrics(shares []scheduler.NodeShare) []broker.Metric {
	if len(shares) == 0 {
		return nil
	}
	var all []broker.Metric
	reduced := uint64(0)
	for i, s := range shares {
		if s.Factor < 1 {
			reduced++
		}
		if i >= maxNodeMetrics {
			continue
		}
		all = append(all,
			broker.Metric{Name: "spread_part." + s.Node, Value: inThousandths(s.Share)},
			broker.Metric{Name: "spread_left." + s.Node, Value: inThousandths(s.Factor)},
		)
	}
	return append(all, broker.Metric{Name: "spread_judged", Value: reduced})
}

func inThousandths(fraction float64) uint64 {
	return uint64(math.Round(thousandths * fraction))
}
