// Package agreement implements a broker's part in the replicated cluster configuration. It connects brokers to each
// other, drives the state machines of clusterconfig and internal/consensus by the clock, and applies the resulting
// configuration to the broker's core.
//
// Rule. A few brokers are voters. They replicate the configuration by raft, and their leader grants leases. Every other
// broker attaches to a parent: to a voter or, if that voter has the maximum number of children, to a broker below it.
// This tree lets a leader with a few connections serve hundreds of brokers. Renewals and operator calls are forwarded
// to the leader in batches. Grants return on the route of their renewals. The safety of leases does not depend on this
// package: if a batch is delayed, lost or rerouted, a lease may end early or a change may take longer. A broker that
// receives no grant continues to serve requests, but is restricted from the end of its lease.
//
// State and owner. The goroutine that calls Service.Run is the service goroutine. It owns the voter, the tree, the
// batch, the pending calls and the proposals; other goroutines access these through Service.do. The scheduling turn
// reads configuration, which has its own lock. Each connection has a reader and a writer goroutine; closing the
// connection ends both. Run closes all connections before it returns. Only a voter's raft state is persistent, and only
// if Options.DataDir is set.
//
// Units. Times are clusterconfig.Micros of the process's monotonic clock, and time.Duration for the runtime's timers.
// Sizes are in bytes.
//
// Cost. A broker sends about four renewals per lease to its parent. Each broker on the way to the leader delays a batch
// by at most 15 ms. A change costs one message in each direction per connection in each of its two phases.
package agreement
