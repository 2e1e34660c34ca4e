// Package balancer ranks the replicas of a shard for one of many brokers. Each broker sees only a small part of the
// load, but the load of each replica from all brokers together must follow the replica's weight. The package does no
// I/O, reads no clock and starts no goroutine.
//
// The rule. A broker uses a bounded subset of a shard's replicas (subset.go) and sends requests to them in turn
// (candidates.go), as weighted fair queueing does. Each replica has a position in a virtual time. A request advances
// the position of its replica by one divided by the replica's weight. So while the weights do not change and each
// replica can serve, the number of requests that a replica receives from this broker stays within 2 of its weight's
// share. The order of the first turns is derived from the names of the broker and the replicas. So brokers are not in
// step after a common event, and their differences cancel out over all brokers. Attempts in flight count as turns
// taken. A replica that could not be used for a while gets at most a random part of a turn in compensation. An
// unresponsive replica that recovers starts at a new random position, so that brokers do not all send to it at once.
//
// Outlier detection (outlier.go) lowers the weight of replicas that fail, are slow or do not answer. It never removes
// more than a configured share of the weight of a broker's subset. Its statistics (statistics.go) decay over time.
// Brokers report unresponsive replicas to each other (gossip.go).
//
// Priorities are those of SRV records (RFC 2782): replicas with a lower value come first while they have a free slot.
// Trials of unresponsive replicas are an exception.
//
// State and its owner. A Balancer belongs to one shard of the scheduler. Only the scheduler's goroutine calls it. The
// state is lost at a restart, and all replicas then count as sound.
//
// Units. A Time is a point on the caller's clock. In the virtual time, a turn of a replica of weight 1 takes 1. Weights
// are relative. Latencies are kept as natural logarithms of seconds.
//
// The turns do not depend on other brokers: they continue without gossip. Gossip can only lower weights, within the
// same bound, and change the time of trials. The package uses about 200 bytes for each replica and sends no messages
// other than those of gossip.go.
package balancer
