// Package handover lets a new process of a broker take over from the old one while both run.
//
// The two processes listen at the same addresses (SO_REUSEPORT) and meet over a Unix socket in $TMPDIR. There they
// share what the rules ask of them as one broker: the endpoint list, the ids of open requests, and the datagrams of
// peers, each of which reaches only one of the two. On SIGTERM the old process has the kernel give all new
// connections to the new one.
//
// State: a Coordinator owns the Unix socket and at most one connection, to the predecessor or to the successor.
// Nothing survives a restart; the socket's file may stay behind and is replaced by the next process. A
// PresenceWatcher answers a narrower question for processes that do not meet: does another one listen at the same
// address?
//
// Goroutines: Open starts them, Coordinator.Close ends them. The callbacks are called from one of them at a time.
//
// Messages are JSON objects, one a line; their keys stay the same between versions of the program, since during an
// upgrade the two processes are of different versions.
package handover
