// Package clusterconfig keeps a replicated, versioned configuration consistent between brokers: settings, endpoint
// drains, tables of zones and quotas. The safety argument is in docs/agreement.md.
//
// Rule. Raft's leader leases the configuration to every broker. A change is committed as pending first; a broker that
// has received it acts on what both versions allow. The change is activated once every lease holder has prepared it or
// has lost its lease. So from the first moment that any broker acts on version v+1, no broker acts on a value of
// version v that v+1 forbids, except until the end of a scheduling turn that had already begun. This holds for
// crashes, restarts, partitions in one or both directions, processes stopped for minutes, and clocks whose rates
// differ by up to Timing.DriftPPM. A broker that receives no grant goes on serving, restricted to the bottom
// value of each key, when its lease ends.
//
// State. Document is the configuration at one version. State is what the raft log replicates between voters. Lessor
// is the leader's side of leases and changes, LeaseHolder is every broker's side. Nothing here has to be stored by a
// broker for the promise to hold; voters keep State.
//
// Owner. The package does no I/O, reads no clock and starts no goroutine; nothing in it is safe for concurrent use.
// internal/consensus owns State and Lessor, internal/agreement owns LeaseHolder.
//
// Units. Times and spans are Micros of the caller's own monotonic clock, passed as arguments.
//
// Cost. Each broker sends a renewal a few times in a lease. A change costs one message to and from each broker in each
// of its two phases, in proportion to the size of the change and not of the document.
package clusterconfig

// Micros is a time or a span in whole microseconds: an alias, so that int64 passes, unlike broker.Micros.
type Micros = int64
