package clientconn

import "time"

// Connection is one client connection, as its server shows it to the table. The table calls its methods with its own
// lock held: they must neither block nor call the table.
type Connection interface {
	// Wake makes the connection check whether it should go on (see Table.ShouldClose).
	Wake()
	// State returns what the connection does, and how long it has been idle.
	State() (State, time.Duration)
	// Evict asks the connection to end soon, and reports whether it will: it will not if something has come by now.
	Evict() bool
}

// State is what a connection does.
type State int

// The states of a connection.
const (
	Busy           State = iota // it waits for an answer, or one is being written
	Idle                        // nothing has come, or nothing since its last answer
	PartialCommand              // a part of a command has come
)

const (
	// FirstCommandTimeout bounds the time from connecting to the end of the first command. With CommandTimeout it
	// keeps silent clients from holding slots; lower, slow clients would be cut off. Malformed input gets its error,
	// or its end, within three seconds.
	FirstCommandTimeout = 2500 * time.Millisecond
	// CommandTimeout bounds the time from a command's first byte to its last.
	CommandTimeout = 2500 * time.Millisecond
)
