// Package collectd encodes values and notifications in the binary protocol of collectd's network plugin: plain, signed
// or encrypted. The page "Binary protocol" of collectd's documentation describes the protocol. The package also reads
// key files.
//
// # Rules
//
// A packet can be read without other packets: a packet of value lists begins with host, time, interval and plugin. Its
// size, including its protection, is at most MaxPacket. Within a packet, a part that is equal to that of the previous
// value list is not repeated.
//
// # State and owners
//
// An Encoder has no state except its settings and may be used by several goroutines. Only ReadKey does I/O.
//
// Times in packets are in units of 2^-30 s. Sizes are in bytes.
package collectd
