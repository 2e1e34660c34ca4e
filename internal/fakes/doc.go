// Package fakes provides fakes of the systems around a broker: the platform's configuration files, discovery, storage
// nodes, a DNS server, and receivers of metrics (Carbon and collectd). They are shared by tests, the demonstration and the experiments of cmd/brokerbench.
//
// Rule. A fake is written from the public description of its protocol. It shares no code with the code under test, so
// that an encoder and its decoder cannot have the same error. The receivers of metrics record input that they cannot
// parse as an error. Input must not make a fake panic.
//
// State and owner. Each fake listens from its constructor until Close. It owns the goroutines that serve its
// connections. Close makes them end but does not wait for all of them. All exported methods may be called from any
// goroutine. Nothing is stored on disk.
//
// Units. Timestamps of points are Unix time in seconds, TTLs are seconds, and fields that end in MS are milliseconds.
// All other times are time.Duration. Sizes are bytes.
package fakes
