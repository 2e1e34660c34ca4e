// Package metricsexport sends a broker's metrics to Graphite and collectd, as package telemetry decides. At each
// interval the broker's loop hands over a snapshot of all rows; everything else, from summaries to a sink that does not
// read, happens here, on goroutines that no request waits for.
//
// # Rules
//
// One registry serves all sinks. The loop takes a snapshot at the greatest common divisor of the sinks' intervals; each
// sink merges snapshots in a rollup until its own interval is over, encodes them and queues the batch. A snapshot that
// the loop does not deliver within snapshotTimeout is left out, and the interval goes on.
//
// A sink is replaced when any of its settings changes, the key included: its queue is dropped then.
//
// # State and owners
//
//	registry, enabled     the broker's loop alone
//	rollups, timestamps   the goroutine of Exporter.Run
//	Exporter.sinks        written by Run, guarded by Exporter.mu
//	sink: state machine, connection, timer   guarded by sink.mu
//
// Exporter.Run owns the sinks: it starts them when settings name them, and ends them when settings drop them or when
// its context ends. A sink has at most one connection, with a goroutine for the dial, one that reads to hear of its
// end, and one for the write in progress. Disconnecting ends all three: it cancels the dial and closes the
// connection.
//
// All of it is lost with the process. Exporter.Shutdown sends the last interval first, as far as its deadline allows.
//
// Intervals are time.Duration values, timestamps are Unix seconds, sizes are bytes; sinks get latencies in µs.
package metricsexport
