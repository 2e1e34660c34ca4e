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
	// minCountsLength is long enough for the receivers to stall, die and return in quarters of it.
	minCountsLength = 12 * time.Second
	// flushTime is how long the broker may take to send what it queued while the receivers were away.
	flushTime = 3 * time.Second
	// socketTime is how long the receivers may take to read what their sockets hold.
	socketTime = 100 * time.Millisecond
)

// Series of the broker n1 at Graphite and collectd.
const (
	graphiteBroker    = "wharf.n1."
	collectdServed    = "n1/junctionwharf-all/junctionwharf_requests/0"
	collectdBusy      = "n1/junctionwharf-all/junctionwharf_requests/1"
	collectdFailed    = "n1/junctionwharf-all/junctionwharf_requests/2"
	graphiteAllServed = graphiteBroker + "all.served"
)

// checkCounts has both receivers stall, die and return under load, and checks that what they got in the end is what the
// broker counted and clients saw, exactly.
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

// disturbReceivers waits, has the receivers stall, then die, then starts new ones at the same addresses.
func (b *testbed) disturbReceivers(targets metricsTargets, pause time.Duration) error {
	time.Sleep(pause)
	b.carbon.SetMode(fakes.NotReading)
	time.Sleep(pause)
	b.carbon.Close()
	b.collectd.Close()
	time.Sleep(pause)
	return b.startReceivers(targets.graphite, targets.collectd)
}

// receivedCounts is what the receivers got by the end of a run.
type receivedCounts struct {
	carbon   map[string]fakes.Point
	collectd map[string]fakes.Point
	faults   []string
	kinds    []load.RequestClass
}

// all is a count over all requests at Graphite.
func (r *receivedCounts) all(outcome string) float64 {
	return r.carbon[graphiteBroker+"all."+outcome].Value
}

// counted is the sum of the broker's own counters of an outcome over the classes.
func (r *receivedCounts) counted(outcome string) (total float64) {
	for _, kind := range r.kinds {
		total += r.carbon[graphiteBroker+outcome+"."+kind.Name].Value
	}
	return total
}

// compare prints the counts and returns an error where they differ.
func (r *receivedCounts) compare(w io.Writer, clients *load.Stats) error {
	got := clients.Counts
	_, _ = fmt.Fprintf(w, "sinks stalled, killed and returned under load: clients were served %d, refused %d, "+
		"failed %d, lost %d\n", got[load.Served], got[load.Rejected], got[load.Failed], got[load.Lost])
	_, _ = fmt.Fprintf(w, "the broker counted %.0f, %.0f, %.0f; Graphite got %.0f, %.0f, %.0f; "+
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
		return fmt.Errorf("the counts differ; faults %q", r.faults)
	}
	_, _ = fmt.Fprintln(w, "all counts are equal")
	return nil
}

// compareDimensions checks that the rows of each dimension add up to all requests.
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
			return fmt.Errorf("the sum over %s is %.0f, not %.0f", dimension, total, served)
		}
	}
	return nil
}
