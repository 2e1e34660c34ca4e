// Package membership merges what several sources say of storage nodes into the one list that the core works with. It
// does no I/O and reads no clock.
//
// # Rule
//
//  1. An address is a node: entries of any sources with one address are one node. It has the name that the first of
//     the sources gave it when it was listed, and keeps that as long as it is listed: to the core another name is
//     another node.
//  2. A node is listed while a source that may add claims it. A source claims what its last believed answer named,
//     for as long as it says nothing newer: silence, failure and age take nothing away.
//  3. A node is removed as soon as a source that may remove drops what it claimed, or says that it is removed,
//     whatever others claimed by then; until that source or another lists it anew, or that source falls silent for
//     longer than its removals are good (then what others claim counts again).
//  4. A node drains while a source that may drain says so.
//  5. An answer without any entry is never believed from a source that claimed some. One that drops more than half of
//     what the source claimed, and at least three nodes, is suspect: what it drops stays for a stated time and goes
//     when the source still says so after it. A node that an answer names as draining or removed is believed at once.
//  6. An answer to a question that was asked before the one of the present claims was asked is not taken.
//  7. A node that returns is new, and so warming up, unless the source reports that it started before it was removed.
//     One that has come and gone three times within a minute returns later each time, up to a minute; removal is
//     never delayed.
//
// # State and owner
//
// State holds it all, in memory. It takes events and the time as arguments, returns the changes for the core, and
// is not safe for concurrent use: members.Members owns it and guards it by its lock.
//
// # Units
//
// Times are Micros, of whatever clock the caller reads.
package membership
