// Package simwire is the codec of the simulator's text protocol. It decodes batches of events into the types of package
// scheduler and encodes the scheduler's actions. It makes no scheduling decisions.
//
// # Protocol
//
// The input is a sequence of batches. A batch starts with a FRAME line that carries the simulated time and the batch
// number. One line for each event follows, and EOF_BATCH ends the batch. Each event names its instance, which is one
// simulated broker. An endpoint list is sent once, as a LIST line with a list number, followed by one row for each
// endpoint. Later MEMBERSHIP events refer to the list by its number. The reply to a batch has one line for each action
// and ends with a NEXT line that repeats the batch number. Fields are separated by one space, and "-" stands for an
// absent value. words.go maps each word of the protocol to its term in the code.
//
// # State and owner
//
// Reader owns the line number and the received endpoint lists, at most 16. Writer owns its output buffer. Each of them
// is used by one goroutine, and neither starts a goroutine. No state outlives the process.
//
// # Units
//
// Times and durations on the wire are whole microseconds; the code uses time.Duration. A line has at most 64 MiB.
package simwire
