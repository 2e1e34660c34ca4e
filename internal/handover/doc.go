// Package handover lets a new process of a broker take over from the old one while both run.
//
// Both processes listen at the same addresses (SO_REUSEPORT) and connect over a Unix socket in $TMPDIR. Over it they
// share the state that they need to act as one broker: the endpoint list, the ids of open requests, and the datagrams
// of peers, each of which reaches only one of the two processes. On SIGTERM the old process makes the kernel direct
// all new connections to the new process.
//
// If the processes cannot connect, a PresenceWatcher reports whether another process listens at the same address.
//
// State: a Coordinator owns the Unix socket and at most one connection, either to the predecessor or to the successor.
// No state survives a restart. The socket's file may remain; the next process replaces the file.
//
// Goroutines: Open starts them, and Coordinator.Close ends them. For one connection, only one goroutine at a time calls
// the callbacks.
//
// Messages are JSON objects, one per line. Their keys stay the same in all versions of the program, since the two
// processes are of different versions during an upgrade.
package handover
