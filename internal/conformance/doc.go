// Package conformance holds the suite that runs both servers for clients (RESP2 and file commands) against fake clients and
// storage nodes on loopback sockets, with identical checks of the protocol's rules. It has no code of its own but tests.
package conformance
