// Package sftp implements the packets of SFTP version 3 (draft-ietf-secsh-filexfer-02) over plain TCP, without SSH.
// Server serves file commands of clients, and Transport sends them to storage nodes. An operation is a command with its
// arguments, as it is performed at a node.
//
// # Rules
//
// A client's handles exist only in the server. Each operation that needs a handle at a node opens its own handle there
// and closes it afterwards, so that a command does not depend on which node executed an earlier command. Commands of
// one connection on one file keep their order if a different order could change their results. Other commands run
// concurrently. A command whose deadline passes while it waits for an earlier command is rejected. Such a command was
// never sent, so the client can safely retry it.
//
// Commands and answers share the byte budget of the server for other clients. The only command of a session never waits
// for memory; without memory it is rejected. The pending commands and unwritten answers of a session are bounded.
//
// An eviction or a drain closes a connection only if no command is pending and no input is unread. Closing a socket
// with unread input resets the connection, and the reset may overtake an answer that was already written.
//
// # State and owners
//
// Server owns the table of connections (clientconn.Table) and the mapping of paths. Each session has two goroutines:
// session.read reads packets, and session.write writes answers. Both end with the connection. session.mu guards the
// pending commands and the handles. Locks are acquired in this order: the table's lock, session.mu, the loop's locks.
// Nothing is kept outside the process.
//
// Sizes are in bytes. Timeouts in the mapping are in milliseconds.
package sftp
