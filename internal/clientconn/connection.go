package clientconn

import "time"

// Connection is a client connection as the table sees it. The table holds its lock while it calls a connection's
// methods, so these methods must neither block nor call the table.
type Connection interface {
	// Wake makes the connection check whether it should close (see Table.ShouldClose).
	Wake()
	// State returns the connection's state and, if that is Idle, how long the connection has been idle.
	State() (State, time.Duration)
	// Evict asks the connection to close soon and reports whether it will try to. It returns false if the connection
	// must not be closed, for example because it has received data since State was called.
	Evict() bool
}

// State is the current activity of a connection.
type State int

// The states of a connection.
const (
	Busy           State = iota // waiting for an answer, or writing one
	Idle                        // no data received since connecting or since the last answer
	PartialCommand              // part of a command has been received
)

const (
	// FirstCommandTimeout bounds the time from connecting to the end of the first command. Together with
	// CommandTimeout it prevents silent clients from occupying slots. With a smaller value, slow clients would be
	// disconnected. The value must be below three seconds, since a client that sends incomplete input must receive an
	// error or be disconnected within that time.
	FirstCommandTimeout = 2500 * time.Millisecond
	// CommandTimeout bounds the time from the first byte of a command to its last byte.
	CommandTimeout = 2500 * time.Millisecond
)
