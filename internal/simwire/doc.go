// Package simwire is the codec of the simulator's text protocol: it decodes batches of events into the types of
// package scheduler and encodes the scheduler's actions. It decides nothing.
//
// # Protocol
//
// Input is a sequence of batches. A batch begins with FRAME, the simulated time and the batch's number, holds one
// event a line, and ends with EOF_BATCH. Each event names the instance, one simulated broker, that it is for. An
// endpoint list is sent once, as LIST with one row an endpoint, under a number; the MEMBERSHIP events that follow
// refer to the number. The reply to a batch is one action a line, ended by NEXT with the batch's number. Fields are
// separated by one space, and "-" stands for an absent value. words.go maps each word of the protocol to its term.
//
// # State and owner
//
// Reader owns the line number and the endpoint lists received so far, at most 16; Writer owns its output buffer. Each
// is used by one goroutine, and neither starts any. All of it is lost when the process ends.
//
// # Units
//
// Times and durations on the wire are whole microseconds, in the code time.Duration. A line has at most 64 MiB.
package simwire
