// Package dnssrv reads lists of storage nodes from DNS. A list consists of SRV records (RFC 2782) with the addresses of
// their targets. The shard, zone, kind and share of a node come from its name or its TXT records.
//
// Rule: a list is queried again before its lifetime ends. Addresses and TXT records of targets are cached for their
// lifetimes. A server that failed is tried last for a time that grows with each failure. If all servers fail, expired
// addresses and TXT records are used for a limited time (RFC 8767). A target that cannot be resolved is not treated as
// removed. If the previous list has an endpoint for the target, that endpoint stays in the list.
//
// State: a Resolver owns the cache, the lookups in progress, the servers' health and the query rate limit, all under
// one lock. Its methods may be called by many goroutines. A Watcher owns the endpoints of one name. Only the
// goroutine of its method Run uses them, and Run ends with its context. A restart loses all state.
package dnssrv
