// Package clientconn holds what the servers for client protocols share: the table of open client connections with its
// limits, the eviction of connections to make room, graceful shutdown, and a budget for buffered bytes.
//
// # Rules
//
// A connection that waits for an answer is never evicted. If the table is full the connections that cost their
// clients least go first: those that have sent no request, then the ones that have been idle for longest, then those
// that are still sending their first command. If none can go, the newcomer is rejected with an answer, up to a limit,
// so that no client waits in the kernel's accept queue past its timeout.
//
// A drain ends connections as soon as they are idle and goes on accepting; a close accepts nothing but what the
// kernel has accepted already, since requests on such connections count as taken. Closing a socket with unread input
// resets the peer and may destroy an answer that was already written, so evictions only ask: the connection's own
// reader ends it.
//
// # State and owners
//
// Table owns its entries and lists and the listener's end; Table.mu guards them. It starts no goroutine but one for
// each connection that it rejects, which ends with the rejection. Each connection belongs to the server that accepted
// it: the server must give it back with Remove. ByteBudget guards itself. Nothing outlives the process.
//
// All times are time.Duration values; sizes are bytes.
package clientconn
