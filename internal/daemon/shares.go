package daemon

import (
	"bytes"
	"fmt"
	"math"
	"text/tabwriter"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// maxNodeMetrics is the maximum number of nodes with their own metrics on the console. With a larger value, the
// console's answer gets long in a large deployment. With a smaller value, more nodes are missing from the metrics, but
// not from the table of nodes.
const maxNodeMetrics = 200

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// thousandths is the unit of shares in metrics.
const thousandths = 1000

// formatShares formats the load balancing section of the answer to the console's nodes call. It lists the nodes of all
// shards that have several nodes. The columns are the node's weight, the factor that outlier detection applies to the
// weight, the share of this broker's requests that the node receives, and the reason for the factor.
func formatShares(shares []scheduler.NodeShare) []byte {
	if len(shares) == 0 {
		return nil
	}
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nnode\tshard\tweight\tleft of it\tpart\twhy") // a write to memory never fails
	for _, s := range shares {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%g\t%.2f\t%.3f\t%s\n",
			s.Node, s.Shard, s.Weight, s.Factor, s.Share, s.Reason)
	}
	_ = table.Flush() // a write to memory never fails
	return text.Bytes()
}

// shareMetrics returns the shares and factors of at most maxNodeMetrics nodes in thousandths, and the number of all
// nodes whose factor is below 1.
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
