// Package members provides the core's list of storage nodes. The sources of the list are discovery's watch, DNS and
// files, and package membership merges them. If a site configures a snapshot file, the last good list is kept across a
// restart.
//
// # Rule
//
// Package membership decides which nodes are listed. This package queries the sources and passes their answers to
// package membership. A source that fails or returns a list without entries changes nothing. The first list that is
// posted to the core is a full one, so that it replaces the core's earlier list. After that, only changes are posted.
//
// # State and owner
//
// Members owns the membership.State and guards it by its lock. Each DNS and file source has a goroutine, which ends
// when the source is removed from the settings or Members is closed. Only the snapshot survives a restart. It is a file
// that is replaced as a whole, two seconds after the first change since the last write, and when Members is closed. Its
// nodes stay listed until all sources have answered.
//
// # Units
//
// Times are broker.Micros of the loop's clock. Times in the snapshot are Unix milliseconds.
package members
