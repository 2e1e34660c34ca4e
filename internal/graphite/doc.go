// Package graphite encodes points in two formats of Carbon, the receiver of Graphite: plaintext lines, and batches in
// pickle protocol 2, each preceded by its length in four bytes.
//
// # Rules
//
// Names from settings, nodes and clients are escaped, so that no name can break a line or a path, and different names
// stay different. A frame contains whole points. If a sink could not write a frame completely, it sends the whole
// interval of the frame again.
//
// # State and owners
//
// A Writer belongs to the goroutine that created it. It stores the frames of one interval until Frames returns them.
// The package does no I/O.
//
// Timestamps are Unix seconds and sizes are in bytes. Values are whole numbers, and the name of a series includes their
// unit.
package graphite
