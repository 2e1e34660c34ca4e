package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/load"
)

const (
	// minCountsLength is the minimum length of the load. In its four quarters, the receivers are healthy, stalled,
	// stopped and restarted. It is long enough for each of these states.
	minCountsLength = 12 * time.Second
	// flushTime is how long the broker may take to send the metrics that it queued while the receivers were down.
	flushTime = 3 * time.Second
	// socketTime is how long the receivers may take to read the data in their socket buffers.
	socketTime = 100 * time.Millisecond
)

// Series of the broker n1 in Graphite and collectd.
const (
	graphiteBroker    = "wharf.n1."
	collectdServed    = "n1/junctionwharf-all/junctionwharf_requests/0"
	collectdBusy      = "n1/junctionwharf-all/junctionwharf_requests/1"
	collectdFailed    = "n1/junctionwharf-all/junctionwharf_requests/2"
	graphiteAllServed = graphiteBroker + "all.served"
)

// checkCounts stalls, stops and restarts both receivers under load. It checks that the counts that they received by the
// end of the run are exactly those of the broker and of the clients.
func (b *testbed) checkCounts(ctx context.Context, cmd *cli.Command, w io.Writer) error {
	targets := metricsTargets{graphite: b.carbon.Address(), collectd: b.collectd.Address(), interval: 1}
	process, err := b.startBroker(ctx, targets)
	if err != nil {
		return err
	}
	traffic, err := b.traffic(cmd, cmd.Float("rate"), uint64(cmd.Uint("seed")))
	if err != nil {
		process.kill()
		return err
	}
	traffic.Duration = max(traffic.Duration, minCountsLength)
	disturbed := make(chan error, 1)
	go func() { disturbed <- b.disturbReceivers(targets, traffic.Duration/4) }()
	result, err := load.Run(ctx, traffic, load.Options{
		Addresses: []string{process.address}, MaxConnections: sinksConnections, WaitForConnection: true,
		Progress: progress(traffic.Duration),
	})
	clearProgress()
	if err := errors.Join(err, <-disturbed); err != nil {
		process.kill()
		return err
	}
	time.Sleep(flushTime)
	if err := process.stop(); err != nil {
		return err
	}
	time.Sleep(socketTime)
	received := receivedCounts{
		carbon:   b.carbon.Latest(),
		collectd: b.collectd.Latest(),
		faults:   append(b.carbon.Errors(), b.collectd.Errors()...),
		kinds:    traffic.Classes,
	}
	return received.compare(w, result.All)
}

// disturbReceivers stalls the receivers, stops them and starts new ones at the same addresses, with a pause before each
// step. Only Graphite's receiver stalls.
func (b *testbed) disturbReceivers(targets metricsTargets, pause time.Duration) error {
	time.Sleep(pause)
	b.carbon.SetMode(fakes.NotReading)
	time.Sleep(pause)
	b.carbon.Close()
	b.collectd.Close()
	time.Sleep(pause)
	return b.startReceivers(targets.graphite, targets.collectd)
}

// receivedCounts contains the metrics that the receivers have at the end of a run.
type receivedCounts struct {
	carbon   map[string]fakes.Point
	collectd map[string]fakes.Point
	faults   []string
	kinds    []load.RequestClass
}

// all returns Graphite's count of an outcome over all requests.
func (r *receivedCounts) all(outcome string) float64 {
	return r.carbon[graphiteBroker+"all."+outcome].Value
}

// counted returns the sum over the classes of the broker's own counters of an outcome.
func (r *receivedCounts) counted(outcome string) (total float64) {
	for _, kind := range r.kinds {
		total += r.carbon[graphiteBroker+outcome+"."+kind.Name].Value
	}
	return total
}

// compare prints the counts and returns an error if they differ.
func (r *receivedCounts) compare(w io.Writer, clients *load.Stats) error {
	got := clients.Counts
	_, _ = fmt.Fprintf(w, "receivers stalled, stopped and restarted under load: clients counted %d served, "+
		"%d rejected, %d failed, %d lost\n", got[load.Served], got[load.Rejected], got[load.Failed], got[load.Lost])
	_, _ = fmt.Fprintf(w, "served, rejected, failed: broker %.0f, %.0f, %.0f; Graphite %.0f, %.0f, %.0f; "+
		"collectd %.0f, %.0f, %.0f; %d faults\n",
		r.counted("success"), r.counted("busy"), r.counted("failure"),
		r.all("served"), r.all("busy"), r.all("failed"),
		r.collectd[collectdServed].Value, r.collectd[collectdBusy].Value, r.collectd[collectdFailed].Value,
		len(r.faults))
	if err := r.compareDimensions(w); err != nil {
		return err
	}
	served := r.all("served")
	busy := r.all("busy")
	equal := served == r.counted("success") && served == float64(got[load.Served]) &&
		busy == r.counted("busy") && busy == float64(got[load.Rejected]) &&
		r.collectd[collectdServed].Value == served
	if !equal || len(r.faults) > 0 {
		return fmt.Errorf("counts differ or receivers found faults: %q", r.faults)
	}
	_, _ = fmt.Fprintln(w, "all counts are equal")
	return nil
}

// compareDimensions checks that the served requests of each dimension add up to those of all requests.
func (r *receivedCounts) compareDimensions(w io.Writer) error {
	served := r.all("served")
	stamp := r.carbon[graphiteAllServed].Timestamp
	for _, dimension := range []string{"class", "plan", "node", "volume"} {
		total := 0.0
		rows := 0
		prefix := graphiteBroker + dimension + "."
		for series, point := range r.carbon {
			if strings.HasPrefix(series, prefix) && strings.HasSuffix(series, ".served") && point.Timestamp == stamp {
				total += point.Value
				rows++
			}
		}
		_, _ = fmt.Fprintf(w, "sum over %d rows of %s: %.0f\n", rows, dimension, total)
		if total != served {
			return fmt.Errorf("sum of served requests over %s is %.0f, want %.0f", dimension, total, served)
		}
	}
	return nil
}
