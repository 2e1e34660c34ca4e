// Package discovery follows the list of storage nodes by HTTP long polling.
//
// Rule: the broker applies a drain within the time that the platform allows, even if up to two polls are lost. The
// method pollTimeouts describes this time and derives the timeouts of the polls from it. A list that is older than the
// current one is not applied, but the nodes that it reports as draining or removed receive no new requests. A poll of a
// service that all brokers share goes on when its answer is late, beside the polls that follow it.
//
// State: a Watcher owns the address, the version of the latest list and the current full list. Run and the goroutines of
// its polls end with its context. After a restart, the watcher has no list unless Resume sets the list from a handover.
// The known list of the configuration is passed to the core alone, not to the watcher.
//
// Units: a version is a count of changes at the service. Times in a list are Unix times of the service's clock in
// milliseconds.
package discovery
