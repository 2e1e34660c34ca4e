// Package consensus implements one of the few voters that replicate the cluster configuration.
//
// Rule. A voter consists of raft's core (go.etcd.io/raft, a state machine that its caller steps), the replicated state
// built from its log, and, while the voter is the leader, the lessor that grants leases and coordinates changes.
// Committed commands survive any crash, partition or stop as long as a majority of the voters keep their stored state.
// A raft identity whose state is lost is never used again: the voter draws a new identity and is added as another
// member. A voter whose storage fails stops and reports the error. If a majority of the voters is lost, no change is
// committed and leases end. Brokers then keep serving, restricted. docs/agreement.md has the safety argument and
// discusses the other libraries that were considered.
//
// State. Voter holds raft's state, clusterconfig.State and clusterconfig.Lessor. Storage holds the log and the
// snapshot, in memory (MemoryStorage) or in a bbolt file (DiskStorage).
//
// Owner. The package starts no goroutine, reads no clock and does no I/O except through Storage. Messages, renewals and
// the time are arguments, and messages to be sent are return values. The same code therefore runs in the daemon and in
// a simulated cluster. A Voter is not safe for concurrent use. The service goroutine of internal/agreement owns it.
//
// Units. Times are clusterconfig.Micros of the caller's monotonic clock. Sizes are in bytes.
package consensus
