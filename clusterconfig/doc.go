// Package clusterconfig keeps a replicated, versioned configuration consistent between brokers. The configuration holds
// settings, endpoint drains, and tables of zones and quotas. The safety argument is in docs/agreement.md.
//
// Rule. The raft leader grants every broker a lease on the configuration. A change is committed as pending first. A
// broker that has received the pending change acts only on values that both versions allow. The change is activated
// once every lease holder has prepared it or has lost its lease. Therefore, once any broker acts on version v+1, no
// broker acts on a value of version v that v+1 forbids, except until the end of a scheduling turn that had already
// begun. This guarantee holds under crashes, restarts, partitions in one or both directions, processes stopped for
// minutes, and clocks whose rates differ by up to Timing.DriftPPM. A broker that receives no grant keeps serving after
// its lease ends, restricted to the bottom value of each key. Only keys with the lattice Drain keep their last value.
//
// State. Document is the configuration at one version. State is replicated between the voters by the raft log. Lessor
// is the leader's side of leases and changes. LeaseHolder is each broker's side. The guarantee does not require brokers
// to store anything. Voters store State.
//
// Owner. The package does no I/O, reads no clock and starts no goroutine. Nothing in it is safe for concurrent use.
// internal/consensus owns State and Lessor. internal/agreement owns LeaseHolder.
//
// Units. Times and durations are Micros of the caller's own monotonic clock, passed as arguments.
//
// Cost. Each broker sends a few renewals per lease. A change costs one message to and from each broker in each of its
// two phases. The size of these messages is proportional to the change, not to the document. Only a broker of another
// epoch, or one that lags by many versions, receives the full document.
package clusterconfig

// Micros is a time or a duration in whole microseconds. Unlike broker.Micros it is an alias, so callers can pass int64.
type Micros = int64
