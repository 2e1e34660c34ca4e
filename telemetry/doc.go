// Package telemetry decides what a broker reports to metrics sinks: which series exist, what each of them counts, and
// when a sink is dialled, written to, waited for or left alone. It reads no clock, does no I/O and starts no goroutine.
//
// # Rules
//
// Every request and every attempt is counted once in each dimension (class, plan, node, volume): in a row of its own
// or in the dimension's row Other. So the sum over any dimension is the broker's total at every snapshot, however many
// volumes come and go, while the number of series and their memory stay under Options.MaxSeries and Options.MaxBytes.
//
// Classes and plans always have rows. Nodes have rows while they are listed. Volumes compete for the rest: Sketch
// finds the heaviest among those without a row, and selectVolumes lets them replace the lightest.
//
// A sink gets whole intervals, oldest first. One that does not keep up loses the oldest intervals, whole and counted;
// nothing in the broker waits for it.
//
// # State and owners
//
//	Registry           the rows; owned by the broker's loop, which calls Observe and Snapshot
//	Snapshot           the rows at one moment; owned by its reader until it is handed back to Registry.Snapshot
//	Rollup             snapshots merged into one sink's interval; owned by the exporter's goroutine
//	TimestampSequence  the timestamps of intervals; owned by the exporter's goroutine
//	Sink               queue, connection state and backoff of one sink; guarded by the lock of its driver
//
// The package has no locks: each value belongs to one goroutine at a time. All of it is lost with the process, and the
// counters of the next one start at 0.
//
// # Units
//
// Times of observations and histograms are in µs. Units of work are counted in thousandths. Points on the sink's clock
// are Micros; timestamps of intervals are Unix seconds; sizes are bytes.
package telemetry
