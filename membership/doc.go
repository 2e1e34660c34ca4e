// Package membership merges the reports of several sources on storage nodes into the one list that the core uses. It
// does no I/O and reads no clock.
//
// # Rule
//
//  1. The address identifies a node: entries with the same address, from any sources, describe the same node. When a
//     node is listed, it gets its name from the first source in Options.Sources that lists it. It keeps this name as
//     long as it is listed: to the core, another name is another node.
//  2. A node is listed while a source with the permission to add claims it. Only a newer answer of a source changes its
//     claims: silence, failures and age remove no claim.
//  3. A node is removed as soon as a source with the permission to remove drops its claim or reports the node as
//     removed, even if other sources claim the node. The removal overrules all earlier claims. It ends when a source
//     that does not claim the node lists it, or when the source of the removal has been silent for its RemovalTTL. In
//     the latter case the earlier claims apply again.
//  4. A node drains while a source with the permission to drain reports it as draining.
//  5. A full snapshot without entries is rejected if its source has claims. A full snapshot is suspect if it lacks more
//     than half of the source's claims, and at least three nodes. These nodes stay listed for Options.SuspectHold, and
//     are removed if the source's answers still lack them after that time. If an answer explicitly reports a node as
//     draining or removed, this takes effect at once.
//  6. An answer is rejected if its query was sent before the query of the source's last answer.
//  7. A node that returns after its removal is new, and so warms up, unless the source reports that the node started
//     before it was removed. If a node has returned three times within a minute, its further returns are delayed, each
//     for longer than the one before, up to a minute. Removals are never delayed.
//
// # State and owner
//
// State contains all claims and the merged list, in memory. It receives events and the time as arguments and returns
// the changes for the core. It is not safe for concurrent use: Members of internal/members owns it and guards it by a
// lock.
//
// # Units
//
// Times are Micros of the caller's clock.
package membership
