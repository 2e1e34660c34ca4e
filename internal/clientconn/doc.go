// Package clientconn contains what the servers for client protocols share: the table of open client connections and its
// limits, the eviction of connections, graceful shutdown, and a budget for buffered bytes.
//
// # Rules
//
// A connection whose client waits for an answer is never evicted. If the table is full, the connections whose loss
// costs clients the least are evicted first: connections that have sent no request, then the connections that have been
// idle for longest, then connections that are still sending their first command. If no connection can be evicted, a
// table with RejectOverLimit rejects the new connection with an answer, so that its client does not wait in the
// kernel's accept queue past the client's timeout. The number of simultaneous rejections is limited.
//
// While the table drains, it closes connections as soon as they are idle and still accepts new connections. After a
// close it accepts only connections that the kernel has already accepted, since their clients may have sent requests.
// Closing a socket with unread input resets the connection, which may destroy an answer that was already written. An
// eviction therefore normally only asks a connection to close, and the connection closes itself.
//
// All bytes that a server buffers for requests and answers are reserved in a ByteBudget before they are read. Requests
// that may wait for memory use half of it, in the order in which they began to wait. All others get an answer at once.
//
// # State and owners
//
// Table owns its entries and lists, and decides when the listener ends. Table.mu guards this state. Table starts one
// goroutine for each connection that it rejects, which ends with the rejection, and no other goroutines. Each
// connection belongs to the server that accepted it, and the server must call Remove for it. ByteBudget has its own
// lock. Nothing is kept outside the process.
//
// All times are time.Duration values; sizes are bytes.
package clientconn
