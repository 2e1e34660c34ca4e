// Package pool keeps TCP connections to storage nodes and runs one exchange at a time on each of them. The node sides
// of both protocols, RESP2 and SFTP, are built on it.
//
// # Rules
//
// An exchange has its connection to itself. The connection is used again only if the exchange ended without an error,
// no byte of the node stands unread on it, it has been idle for Options.ReuseDelay, and it is younger than the node's
// own idle timeout. Otherwise a late or repeated answer could be read as the answer to the next request.
//
// An exchange that ends without an answer reports a *broker.AttemptError. Its Progress says whether the attempt was
// not connected, partially written or fully written: the scheduler retries a request that is not idempotent only
// where the node cannot have executed it. It wraps the cause, for errors.Is and errors.As.
//
// A connection that takes unusually long to come up is hedged: a second dial starts, the first of the two to come up
// serves the attempt, and the other one is kept for later attempts.
//
// # State and owners
//
// Pool owns the idle connections, the slots that bound their number, and the smoothed dial time; Pool.mu guards them.
// Each exchange runs in a goroutine that Pool.Start begins and that ends with the exchange. Each dial runs in a
// goroutine of its own that ends when both of its attempts have ended, at the latest after Options.ConnectTimeout.
// Nothing of the pool outlives the process.
//
// All times are time.Duration values; sizes are bytes.
package pool
