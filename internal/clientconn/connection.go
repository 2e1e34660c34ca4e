package clientconn

import "time"

// Connection is a client connection as the table sees it. The table calls its methods while holding the table's lock,
// so the methods must neither block nor call the table.
type Connection interface {
	// Wake makes the connection check whether it should close (see Table.ShouldClose).
	Wake()
	// State returns the connection's state and how long the connection has been idle.
	State() (State, time.Duration)
	// Evict asks the connection to close soon and reports whether it will. It returns false if the connection has
	// received data in the meantime.
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
	// disconnected. A client that sends malformed input receives an error or is disconnected within three seconds.
	FirstCommandTimeout = 2500 * time.Millisecond
	// CommandTimeout bounds the time from the first byte of a command to its last byte.
	CommandTimeout = 2500 * time.Millisecond
)
