// Package dnssrv gets lists of storage nodes from DNS: SRV records (RFC 2782) with the addresses of their targets,
// and what a site's names or TXT records say of each.
//
// The rule: a list is asked for anew before its lifetime ends; addresses and texts of targets are cached for theirs.
// A server that fails rests for a growing time, and where all fail a cached address serves on for a while (RFC 8767).
// A target whose address cannot be had is not one that was removed: it stays as it was.
//
// State: a Resolver owns the cache, the queries in flight, the servers' health and the rate limit, under one lock; it
// is for many goroutines. A Watcher owns the endpoints of one name; its Run is the only goroutine that uses them and
// ends with its context. A restart loses all of it.
package dnssrv
