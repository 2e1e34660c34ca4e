// Package members feeds the core's list of storage nodes from several sources, as package membership decides:
// discovery's watch, DNS and files. It keeps the last good list across a restart where a site wants that.
//
// # Rule
//
// Package membership says which nodes are listed. Here sources are asked and what they answer is passed on; a source
// that fails or answers nothing changes nothing. The first list that is posted is a full one, so that it replaces
// what the core held before; all others are changes.
//
// # State and owner
//
// Members owns the membership.State and guards it by its lock. Each DNS and file source has a goroutine, which ends
// when its source leaves the settings or Members is closed. Lost at a restart is all but the snapshot, a file that is
// rewritten whole at most every two seconds; it stands until all sources have answered.
//
// # Units
//
// Times are broker.Micros of the loop's clock; the snapshot has Unix milliseconds.
package members
