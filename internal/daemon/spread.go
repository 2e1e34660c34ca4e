package daemon

import (
	"bytes"
	"fmt"
	"math"
	"text/tabwriter"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// mostFigures bounds the nodes of which vars tells.
const mostFigures = 200

// spreadText is what the console's nodes tells of spreading: of each node of a shard that has several, its size, what judging leaves
// of it, the part of this broker's requests that is meant for it, and why.
func spreadText(parts []scheduler.NodeShare) []byte {
	if len(parts) == 0 {
		return nil
	}
	var b bytes.Buffer
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nnode\tshard\tweight\tleft of it\tpart\twhy")
	for _, p := range parts {
		fmt.Fprintf(table, "%s\t%d\t%g\t%.2f\t%.3f\t%s\n", p.Node, p.Shard, p.Weight, p.Factor, p.Share, p.Reason)
	}
	table.Flush()
	return b.Bytes()
}

// spreadFigures is the same in thousandths, and how many nodes are less than sound.
func spreadFigures(parts []scheduler.NodeShare) []broker.Metric {
	if len(parts) == 0 {
		return nil
	}
	var figures []broker.Metric
	judged := uint64(0)
	for i, p := range parts {
		if p.Factor < 1 {
			judged++
		}
		if i < mostFigures {
			figures = append(figures, broker.Metric{Name: "spread_part." + p.Node, Value: uint64(math.Round(1000 * p.Share))},
				broker.Metric{Name: "spread_left." + p.Node, Value: uint64(math.Round(1000 * p.Factor))})
		}
	}
	return append(figures, broker.Metric{Name: "spread_judged", Value: judged})
}
