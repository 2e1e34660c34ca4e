// Package agreement has a broker take part in the replicated cluster configuration: it connects brokers, drives the
// decisions of clusterconfig and internal/consensus by the clock, and has the broker's core act on the result.
//
// Rule. A few brokers vote; they replicate the configuration by raft, and their leader grants leases. Every other
// broker attaches to a parent: a voter, or, where that has enough children, a child of it. This tree lets a leader
// that has a few connections reach hundreds of brokers. Renewals and operator calls go up in batches; grants fan out
// by the way on which their renewals came. The promise rests on nothing here: a batch that is late, lost, or takes
// another way only makes a lease end sooner. A broker that receives no grant goes on serving, restricted, when its
// lease ends.
//
// State and owner. Service.Run starts the service goroutine, which owns the voter, the tree, the batch, the pending
// calls and the proposals; other goroutines reach these through Service.do. configuration is what the scheduling turn
// looks at; it has its own lock. Each connection has a reader and a writer goroutine; closing the connection ends
// both. Run ends all of them before it returns. Only a voter's raft state lasts, where Options.DataDir is set.
//
// Units. Times are clusterconfig.Micros of the process's monotonic clock, time.Duration where the runtime's timers are
// used; sizes are bytes.
//
// Cost. A broker sends four renewals a lease to its parent, in batches of at most 15 ms; a change costs each link one
// message each way in each of its two phases.
package agreement
