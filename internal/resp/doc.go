// Package resp implements RESP2, the protocol of Redis. Server serves the platform's clients. Transport sends attempts
// to storage nodes: an attempt is one try to have a request executed by one node. A client's command is a request
// (BLK.READ or BLK.WRITE) or a greeting (PING). Server submits requests to the broker's loop (broker.Loop).
//
// # Rules
//
// A command that is read and well formed gets one answer, unless its connection fails first: an error if it cannot be
// served. The answers of a connection are written in the order of its commands. A command is judged by the settings
// that it came under, also if it is read later. After input that is not a sequence of commands the server writes the
// pending answers and an error, and then closes the connection. A commandReader reads the commands one by one and
// checks all input before the parser of the redcon library sees it, so that no length in the input can make that parser
// allocate or index without bound.
//
// Commands and answers share a byte budget (requestMemory). A request waits for memory only while an earlier answer of
// its connection is pending, because its client's time does not run then. Otherwise it is rejected, or its value is
// streamed, if there is no memory.
//
// The end of a connection must not destroy an answer. Closing a socket with unread input resets the connection, and the
// reset may overtake an answer that was already written. Therefore only the reading goroutine closes an idle connection
// that has sent a request, after it has found no unread input. The input after a malformed command is read and
// discarded. As long as a connection owes answers, its client is watched, whether or not its input is read.
//
// A node's value is called long if it has more than maxValueBytes. A long value, or one for which there is no memory,
// is not buffered as a whole. A stream forwards it from the node to the client piece by piece.
//
// # State and owners
//
// Server owns the table of connections (clientconn.Table), the IDs of open requests (requestIDs) and the memory of
// buffered requests and answers (serverMemory). Each client connection has two goroutines: client.read reads and
// handles commands, and client.write writes answers. Both end with the connection. While client.read waits for
// something other than input, a third goroutine checks whether the client has disconnected. The process stores no state
// outside its memory, but during a handover it sends the IDs of its open requests to the broker's other process.
//
// Sizes are in bytes, times on the wire in milliseconds, and values of type broker.Micros in microseconds.
package resp
