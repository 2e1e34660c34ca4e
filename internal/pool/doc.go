// Package pool keeps TCP connections to storage nodes and runs one exchange at a time on each connection. It carries
// the node side of both protocols, RESP2 and SFTP.
//
// # Rules
//
// An exchange has exclusive use of its connection. A connection is reused only if the previous exchange ended without
// an error, the socket holds no unread bytes from the node, the connection has been idle for at least
// Options.ReuseDelay, and the node's idle timeout is not near. Otherwise a late or repeated answer could be read as the
// answer to the next request.
//
// An exchange that ends without an answer reports a *broker.AttemptError, which wraps the cause. The field Progress is
// broker.NotConnected, broker.PartiallyWritten or broker.FullyWritten. The scheduler retries a request that is not
// idempotent only if the node cannot have executed it.
//
// A connection that takes unusually long to be established is hedged: a second dial attempt starts. The connection that
// is established first serves the attempt of the request, and the other one is kept for later attempts.
//
// # State and owners
//
// Pool owns the idle connections, the slots that bound the number of connections, and the smoothed dial time. Pool.mu
// guards this state, except the slots. Pool.Start starts a goroutine for each exchange, which ends with the exchange.
// Each dial runs in its own goroutine, which ends when its dial attempts have ended, at the latest after
// Options.ConnectTimeout. The pool keeps no state outside the process.
//
// All times are time.Duration values; sizes are bytes.
package pool
