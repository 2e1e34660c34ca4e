// Package resp speaks RESP2, the protocol of Redis: Server serves the platform's clients, and Transport carries
// attempts to storage nodes.
//
// # Rules
//
// Each request gets one answer, in the order of the requests on its connection. A client that sends something
// malformed gets an error after its other answers, and its connection ends. Input is checked by inputGuard before
// redcon's reader sees it, so that no length in it can make that reader allocate or index without bound.
//
// A connection that ends must not lose an answer: closing a socket with unread input resets the peer, and the reset
// may overtake an answer that was already written. So only the goroutine that reads ends an idle connection, after it
// has found nothing unread, and what follows a malformed command is read and discarded.
//
// A value of over maxValueBytes is not buffered: a stream passes it from the node to the client piece by piece.
//
// # State and owners
//
// Server owns the table of connections (clientconn.Table), the ids of open requests (requestIDs) and the budget of
// buffered bytes. Each client connection has two goroutines: client.read, which takes commands, and client.write,
// which writes answers; both end with the connection. While client.read has to wait, a third one watches whether the
// client has gone. Nothing outlives the process but the ids of open requests, of which the broker's other process
// is notified.
//
// Sizes are bytes, times on the wire are milliseconds, broker.Micros are microseconds.
package resp
