// Package balancer ranks the replicas of a shard for one of many brokers. Each broker sees only a small part of the
// load, and the sum over all brokers must be even. The package does no I/O, reads no clock and starts no goroutine.
//
// The rule. A broker uses a bounded subset of a shard's replicas (subset.go) and sends requests to them in turn
// (candidates.go), as weighted fair queueing does. Each replica has a position in a virtual time. A request advances
// the position of its replica by one divided by the replica's weight. So over any period, the number of requests that
// a replica receives from this broker differs from its weight's share by at most one. The order of the first turns is
// derived from the names of the broker and the replicas. So no two brokers are in step after a common event, and
// rounding errors cancel out over all brokers. Attempts in flight count as turns taken. A replica that could not be
// used for a while is owed at most a random part of a turn. An unresponsive replica that recovers starts at a new
// position, so that brokers do not all send to it at once.
//
// Outlier detection (outlier.go) lowers the weight of replicas that fail, are slow or do not answer. It never removes
// more than a configured share of a shard's weight. Its statistics (statistics.go) decay over time. Brokers report
// unresponsive replicas to each other (gossip.go).
//
// Priorities are those of SRV records (RFC 2782): replicas with the lowest value come first while they have a free
// slot.
//
// State and its owner. A Balancer belongs to one shard of the scheduler. Only the scheduler's goroutine calls it. The
// state is lost at a restart, and all replicas then count as sound.
//
// Units. Time is a duration on the caller's clock. The virtual time counts turns. Weights are relative. Latencies are
// kept as natural logarithms of seconds.
//
// The guarantees above do not depend on other brokers: the turns continue without gossip, and gossip can only lower
// weights, within the same bound. The package uses about 200 bytes for each replica and sends no messages other than
// those of gossip.go.
package balancer
