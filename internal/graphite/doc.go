// Package graphite encodes points in the formats that Carbon, the receiver of Graphite, takes: plaintext lines, and
// batches pickled by protocol 2 behind four bytes of length.
//
// # Rules
//
// Names that come from settings, nodes and clients are escaped, so that none can break a line or a path, and different
// names stay different. A frame holds whole points: a sink writes it whole or not at all.
//
// # State and owners
//
// A Writer belongs to the goroutine that made it, and holds the frames of one interval until Frames hands them over.
// The package does no I/O.
//
// Timestamps are Unix seconds, sizes are bytes; values are whole numbers whose unit stands in the series' name.
package graphite
