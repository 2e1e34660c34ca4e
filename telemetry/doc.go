// Package telemetry decides what a broker reports to metrics sinks: which series exist, what each series counts, and
// when to dial a sink, write to it, wait for it or back off. It reads no clock, does no I/O and starts no goroutine.
//
// # Rules
//
// Every request and every attempt is counted once in each dimension (class, plan, node, volume), either in a row of its
// name or in the dimension's row Other. So at every snapshot the sum over any dimension is the broker's total, even if
// volumes appear and disappear. The number of series stays within Options.MaxSeries, and the memory of the rows within
// Options.MaxBytes.
//
// The classes and plans of Options always have rows. Nodes have rows while the endpoint list contains them, up to a
// bound. Volumes compete for the remaining rows: Sketch finds the heaviest volumes without a row, and selectVolumes
// lets them replace the lightest volumes with a row.
//
// A sink is sent intervals in order, the oldest first. If a sink does not keep up, its oldest intervals are dropped as
// a whole and counted. Nothing in the broker waits for a sink, except that a shutdown waits until its deadline.
//
// # State and owners
//
//	Registry           the rows; owned by the broker's loop, which calls Observe and Snapshot
//	Snapshot           the rows at one moment; owned by its reader until the reader returns it to Registry.Snapshot
//	Rollup             snapshots merged into one sink's interval; owned by the exporter's goroutine
//	TimestampSequence  the timestamps of intervals; owned by the exporter's goroutine
//	Sink               queue, connection state and backoff of one sink; guarded by the lock of its driver
//
// The package has no locks: each value belongs to one goroutine at a time. All state is lost when the process ends, and
// the counters of the next process start at 0.
//
// # Units
//
// Times of observations and histograms are in µs. Units of work are counted in thousandths. Points in time on the
// sink's clock are of type Micros. Timestamps of intervals are Unix seconds. Sizes are in bytes.
package telemetry
