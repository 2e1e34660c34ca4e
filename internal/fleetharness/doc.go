// Package fleetharness runs many processes of the daemon against fake nodes, discovery and clients, over links that it
// owns and breaks, and checks the rules of the protocol on every byte that nodes and clients see.
//
// Rule. A scenario is a fleet, its traffic and a list of events; all that is random in it comes from its seed. The
// recorder holds each request's way through client and nodes and each line that a process logs, on one time axis; a
// broken rule is a Violation with the request's trace, and two brokers that act on contradicting configurations are a
// Conflict. Brokers are the daemon's own processes; hollow brokers, many to a process, run only its control code.
//
// Addresses. All lie in one block 127.B of the loopback range, so that the source address tells who calls: brokers have
// one of their own (local_address), and no privilege is needed. What a broker sends to another goes to that one's relay
// in the harness, which is where links are cut, delayed and lossy.
//
// State and owner. Fleet owns all processes, listeners, relays and the directory of their files; New acquires them and
// Close ends them. Processes die with the harness in any case: the kernel kills them when the thread that started them
// ends. Each fake node, relay and client has goroutines of its own, which end when Close closes their connections.
//
// Units. Fields that end in S are seconds, in MS milliseconds, in US microseconds; the rest are time.Duration. Times
// are of CLOCK_MONOTONIC, which all processes of a machine share.
package fleetharness
