// Package discovery follows the list of storage nodes by HTTP long polling.
//
// Rule: the broker applies a drain within the drain grace of the settings after discovery announces it, even if polls
// are lost in the meantime. pollTimeouts derives the timeouts from this rule. A list that is older than the current one
// is not applied, but the nodes that it reports as draining receive no new requests.
//
// State: a Watcher owns the address, the version of the latest list and the current full list. Run is its only
// goroutine and ends with its context. A restart loses the list, unless a handover or the known list of the
// configuration provides it.
//
// Units: a version is a count of changes at the service. Times in a list are Unix times of the service's clock in
// milliseconds.
package discovery
