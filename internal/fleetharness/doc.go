// Package fleetharness runs many daemon processes against fake nodes, a fake discovery service and clients. All
// connections pass through links on which the harness can inject faults. The harness checks the rules of the protocol
// on every byte that nodes and clients receive.
//
// Rule. A scenario describes a fleet, its traffic and a list of events. All random choices come from the scenario's
// seed. The recorder stores the path of each request through client and nodes and each log line of a process, on one
// time axis. A broken rule is reported as a Violation with the request's trace. Two brokers that act on contradicting
// configurations are reported as a Conflict. Each broker is a separate process of the daemon. Hollow brokers share
// processes and run only the control code of the daemon.
//
// Addresses. All addresses are in one block 127.B of the loopback range and need no privilege. Each broker calls from
// its own address (local_address), so the source address identifies the caller. A broker sends to a peer through the
// peer's relay in the harness. The relays cut links, delay data and drop datagrams.
//
// State and owner. Fleet owns all processes, listeners, relays and the directory of their files. New acquires them and
// Close releases them. The processes never outlive the harness: the kernel kills them when the thread that started
// them ends. Each fake node, relay and client has its own goroutines, which end when Close closes their connections.
//
// Units. Fields that end in S are in seconds, in MS in milliseconds, in US in microseconds. All other times are
// time.Duration. Points in time are readings of CLOCK_MONOTONIC, which all processes of a machine share.
package fleetharness
