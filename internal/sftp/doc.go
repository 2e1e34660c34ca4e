// Package sftp speaks the packets of SFTP version 3 (draft-ietf-secsh-filexfer-02) over plain TCP, without SSH:
// Server serves file commands of clients, and Transport carries them to storage nodes.
//
// # Rules
//
// A client's handles live in the server only. Each command that goes to a node opens a handle of its own there and
// closes it afterwards, so that no command depends on where an earlier one went. Commands of one connection on one file
// keep their order where it can be seen; others go out side by side. A command that has waited past its deadline for
// an earlier one is rejected: it was never sent, so that trying again is harmless.
//
// A connection ends only when no command is owed an answer and no byte of the client stands unread: closing a socket
// with unread input resets the peer, and the reset may overtake an answer that was already written.
//
// # State and owners
//
// Server owns the table of connections (clientconn.Table) and the mapping of paths. Each session has two goroutines:
// session.read, which takes packets, and session.write, which writes answers; both end with the connection.
// session.mu guards the commands that are owed an answer, and the handles; it is taken before the loop's own locks,
// never under the table's. Nothing outlives the process.
//
// Sizes are bytes, deadlines in the mapping are milliseconds.
package sftp
