// Package logging makes the loggers that a program hands to its parts: JSON or for human eyes, with lines that repeat
// themselves sampled.
//
// The rule: a fault that repeats itself must neither fill a disk nor hide what else is logged, so of one message and
// level a few lines in a window pass, and the next one says how many were left out. The time of a JSON line is also
// given on the machine's monotonic clock, so that the lines of all its processes have one order.
//
// State: a logger and those derived from it share one table of what passed lately, under a lock; it starts empty with
// the process.
package logging
