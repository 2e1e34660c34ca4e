// Package fakes has fakes of the systems around a broker: discovery, storage nodes, a DNS server, and receivers of
// metrics (Carbon, collectd). Tests, the demonstration and the experiments of cmd/brokerbench share them.
//
// Rule. A fake is written from its protocol's public description and shares no code with what it checks, so that an
// encoder and its decoder cannot be wrong in the same way. What it cannot read it records as an error; it never panics
// on input.
//
// State and owner. Each fake listens from its constructor until Close, and owns the goroutines that serve its
// connections; Close ends all of them. All exported methods may be called from any goroutine. Nothing is kept on disk.
//
// Units. Timestamps of points are seconds of Unix time, TTLs are seconds, fields that end in MS are milliseconds; the
// rest are time.Duration and bytes.
package fakes
