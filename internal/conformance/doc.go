// Package conformance runs one test suite against both protocol servers, RESP2 and SFTP. A broker runs between fake
// clients and fake storage nodes on loopback sockets, and the same checks apply to both protocols. The package has only
// tests.
//
// Rule. Each request gets one final answer in time. A write has at most one effect. Two attempts of a request are never
// in flight at once. A draining node is sent nothing after its grace period.
//
// State and owner. A testbed is the broker of one test with its nodes and client; the test's cleanup ends all of them.
// A recorder stores what the fake nodes received, under its own lock, and checks the rules.
//
// Units. Times are time.Duration of the real clock, since the suite tests the behavior of real sockets.
package conformance
