// Package collectd encodes values and notifications in the binary protocol of collectd's network plugin, plain, signed
// or encrypted, as the page "Binary protocol" of collectd's documentation describes it. It also reads key files.
//
// # Rules
//
// A packet stands alone: it begins with host, time, interval and plugin, and keeps to MaxPacket with its protection. A
// part that is the same as in the value list before is not repeated within a packet.
//
// # State and owners
//
// An Encoder has no state but its settings, and may be used by several goroutines. Only ReadKey does I/O.
//
// Times in packets are in units of 2^-30 s, sizes are bytes.
package collectd
