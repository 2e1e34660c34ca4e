// Package logging creates the program's loggers. They write JSON or human-readable lines and sample repeated lines.
//
// Rule. A repeated fault must neither fill the disk nor hide other log lines. Therefore only a few lines with the same
// message and level pass in a window of time, and the next such line that
// passes says how many were left out. Lines that answer an operator's command, such as a reload, all pass (Unsampled).
// A JSON line also contains the time of the machine's monotonic clock, which orders the lines of all processes of the machine.
//
// State. A logger and all loggers derived from it share one table of the lines that passed recently, guarded by a lock.
// The table is kept in memory only.
package logging
