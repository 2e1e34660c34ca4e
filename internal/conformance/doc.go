// Package loopback holds the suite that runs both fronts against stand-in clients and storage nodes on
// loopback sockets, with identical rule checks. It has no code of its own but tests.
package conformance
