// Package balancer ranks the replicas of a shard for one of many brokers that each see little of the load, so
// that their sum is even. It does no I/O, reads no clock and starts nothing.
//
// The rule. A broker uses a bounded subset of a shard's replicas (subset.go) and takes them in turn
// (candidates.go), as weighted fair queueing does: each replica has a position in a virtual time, and a
// request moves it on by one over the replica's weight. So over any stretch a replica gets its weight's share
// of this broker's requests, within one. Where a broker begins in that turn, and in what order, is drawn from
// its name and the replicas': no two brokers are in step after a common event, and what rounding leaves
// cancels out over them. Attempts in flight count as turns taken. A replica that could not be taken for a
// while is owed a random part of a turn at the most, and one that was unresponsive begins anew, so that
// brokers do not rush at it together when it is back.
//
// Outlier detection (outlier.go) lowers the weight of replicas that err, are slow or say nothing, and never
// takes away more than a stated share of a shard. Its statistics (statistics.go) decay over time. Brokers
// tell each other which replicas are unresponsive (gossip.go).
//
// Priorities are those of SRV records (RFC 2782): the lower goes first while it has a free slot.
//
// State and its owner. A Balancer belongs to one shard of the scheduler, whose goroutine alone calls it. It
// is lost at a restart: all replicas then count as sound.
//
// Units. Time is a duration on the caller's clock. The virtual time counts turns. Weights are relative.
// Latencies are kept as natural logarithms of seconds.
//
// What it promises needs no other broker: without any gossip the turns go on, and gossip can only lower a
// weight, within the same bound. It costs some 200 bytes for each replica, and no message but those of
// gossip.go.
package balancer
