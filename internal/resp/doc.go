// Package resp implements RESP2, the protocol of Redis. Server serves the platform's clients, and Transport sends
// attempts to storage nodes.
//
// # Rules
//
// Each request gets one answer. The answers of a connection are written in the order of its requests. After malformed
// input the server writes the pending answers and an error, then closes the connection. An inputGuard checks all input
// before redcon's reader sees it, so that no length in the input can make that reader allocate or index without bound.
//
// The end of a connection must not destroy an answer. Closing a socket with unread input resets the connection, and the
// reset may overtake an answer that was already written. So only the reading goroutine closes an idle connection, after
// it has found no unread input, and the input after a malformed command is read and discarded.
//
// A value larger than maxValueBytes is not buffered. A stream forwards the value from the node to the client piece by
// piece.
//
// # State and owners
//
// Server owns the table of connections (clientconn.Table), the IDs of open requests (requestIDs) and the budget of
// buffered bytes. Each client connection has two goroutines: client.read reads and handles commands, and client.write
// writes answers. Both end with the connection. While client.read is blocked, a third goroutine checks whether the
// client has disconnected. No state outlives the process, except for the IDs of open requests, which are sent to the
// broker's other process.
//
// Sizes are in bytes, times on the wire in milliseconds, and values of type broker.Micros in microseconds.
package resp
