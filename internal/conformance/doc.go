// Package conformance runs one suite over both servers for clients, RESP2 and SFTP: a broker between fake clients and
// fake storage nodes on loopback sockets, with the same checks of the protocol's rules for both. It has tests only.
//
// Rule. Each request gets one final answer, in time; a write has at most one effect; two attempts of a request are
// never in flight at once; a draining node is sent nothing after its grace period.
//
// State and owner. A testbed is one test's broker with its nodes and client; the test's cleanup ends all of them. A
// recorder keeps what the fake nodes saw, under its own lock, and checks the rules.
//
// Units. Times are time.Duration of the real clock: the subject is the behaviour of real sockets.
package conformance
