// Package consensus is one voter of the few that replicate the cluster configuration.
//
// Rule. A voter is raft's core (go.etcd.io/raft, a value that is stepped), the replicated state that its log builds,
// and, while it leads, the lessor that grants leases and leads changes. Committed commands survive any crash, partition
// or stop as long as a majority of the voters keeps the state of its identities. An identity whose state is lost is
// never used again: the voter draws a new one and is taken in as another member. A voter whose storage fails takes no
// further part, and says so. A lost majority stops changes and ends leases; brokers then go on serving, restricted.
// docs/agreement.md argues this, and says which other libraries were considered.
//
// State. Voter holds raft's state, clusterconfig.State and clusterconfig.Lessor. Storage holds the log and the
// snapshot, in memory (MemoryStorage) or in a bbolt file (DiskStorage).
//
// Owner. The package starts no goroutine, reads no clock and does no I/O but through Storage. Messages, renewals and
// the time are arguments, what is to be sent is returned; so the same code runs in the daemon and in a simulated
// cluster. A Voter is not safe for concurrent use; internal/agreement's service goroutine owns it.
//
// Units. Times are clusterconfig.Micros of the caller's monotonic clock; sizes are bytes.
package consensus
