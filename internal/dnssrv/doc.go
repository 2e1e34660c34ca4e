// Package dnssrv reads lists of storage nodes from DNS. A list consists of SRV records (RFC 2782) with the addresses of
// their targets. The shard, zone, kind and share of a node come from its name or its TXT records.
//
// Rule: a list is queried again before its lifetime ends. Addresses and TXT records of targets are cached for their
// lifetimes. A server that failed is tried last for a growing time. If all servers fail, expired addresses are used for
// a limited time (RFC 8767). A target whose addresses cannot be resolved is not treated as removed; its last endpoint
// stays in the list.
//
// State: a Resolver owns the cache, the lookups in progress, the servers' health and the query rate limit, all under
// one lock. Its methods may be called by many goroutines. A Watcher owns the endpoints of one name. Run is the only
// goroutine that uses them and ends with its context. A restart loses all state.
package dnssrv
