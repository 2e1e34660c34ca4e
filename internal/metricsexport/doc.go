// Package metricsexport sends a broker's metrics to Graphite and collectd, as package telemetry decides. At each
// interval the broker's loop takes a snapshot of all rows. All other work runs in this package on its own goroutines,
// so that no request waits for summaries, encoding or a sink that does not read.
//
// # Rules
//
// One registry serves all sinks. The loop takes a snapshot at the greatest common divisor of the sinks' intervals. Each
// sink merges snapshots in a rollup until its own interval is over, then encodes the interval and queues the batch. If
// the loop does not begin a snapshot within snapshotTimeout, this snapshot is skipped and the interval continues.
//
// A sink is replaced when any of its settings changes, including its key. The queue of the old sink is then dropped.
//
// # State and owners
//
//	registry, enabled     only the broker's loop
//	rollups, timestamps   the goroutine of Exporter.Run
//	Exporter.sinks        written by Run, guarded by Exporter.mu
//	sink: state machine, connection, timer   guarded by sink.mu
//
// Exporter.Run owns the sinks. It starts a sink when the settings add it, and ends it when the settings remove it or
// when the context ends. A sink has at most one connection. The connection has one goroutine for the dial, one that
// reads to detect the end of the connection, and one for the write in progress. Disconnecting ends all three, since it
// cancels the dial and closes the connection.
//
// All state is lost when the process ends. Exporter.Shutdown first sends the last interval if its deadline allows.
//
// Intervals are time.Duration values, timestamps are Unix seconds, and sizes are in bytes. Sinks receive latencies in
// µs.
package metricsexport
